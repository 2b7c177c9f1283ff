package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestFaults guards against a proxy whose faults have no effect: the soak test would then prove nothing.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		fault    Fault
		isSilent bool
		isReset  bool
	}{
		"pass":             {},
		"delay":            {fault: Fault{Mode: Delay, Delay: 10 * time.Millisecond}},
		"drop to target":   {fault: Fault{Mode: DropToTarget}, isSilent: true},
		"drop from target": {fault: Fault{Mode: DropFromTarget}, isSilent: true},
		"reset":            {fault: Fault{Mode: Reset}, isReset: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			target, err := net.Listen("tcp4", "127.0.0.1:0")
			is.NoErr(err)
			defer target.Close()
			go echo(target)
			p, err := Listen("127.0.0.1:0", target.Addr().String())
			is.NoErr(err)
			defer p.Close()
			conn, err := net.Dial("tcp4", p.Address)
			is.NoErr(err)
			defer conn.Close()
			is.NoErr(ask(conn, time.Second))
			p.Set(c.fault)
			err = ask(conn, 200*time.Millisecond)
			is.Equal(err != nil, c.isSilent || c.isReset)
			var timeout net.Error
			if c.isSilent {
				ok := false
				if timeout, ok = err.(net.Error); ok {
					ok = timeout.Timeout()
				}
				is.True(ok) // no answer, but the connection is open
			}
		})
	}
}

func echo(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			b := make([]byte, 100)
			for {
				n, err := conn.Read(b)
				if err != nil {
					return
				}
				if _, err := conn.Write(b[:n]); err != nil {
					return
				}
			}
		}()
	}
}

func ask(conn net.Conn, limit time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	if _, err := conn.Write([]byte("x")); err != nil {
		return err
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}
