package backend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"

	"github.com/matryer/is"
)

// kernelTap is a dialer for a single connection that records which bytes the kernel took.
type kernelTap struct {
	mu     sync.Mutex
	dialed bool
	bytes  []byte
}

type tappedConn struct {
	*net.TCPConn
	tap *kernelTap
}

func (k *kernelTap) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	if k.dialed {
		return nil, errors.New("a second connection would mix its bytes with those of the first")
	}
	k.dialed = true
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return tappedConn{conn.(*net.TCPConn), k}, nil
}

func (c tappedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.tap.mu.Lock()
	defer c.tap.mu.Unlock()
	c.tap.bytes = append(c.tap.bytes, b[:n]...)
	return n, err
}

// begun returns the number of Run frames of which the kernel took at least one byte.
func (k *kernelTap) begun(is *is.I) int {
	r := bufio.NewReader(bytes.NewReader(k.bytes))
	runs := 0
	for {
		var m packet.Backend
		switch err := wire.ReadBackend(r, &m); {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return runs + 1 // pings are too short to be split here, since a split needs a full socket buffer
		case err != nil:
			is.Equal(err, io.EOF)
			return runs
		case m.Kind == packet.BackendRun:
			runs++
		}
	}
}

// resetAfter accepts one connection, reads about limit bytes of it and resets it.
func resetAfter(l net.Listener, limit int64) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	reply(conn, &packet.Backend{Kind: packet.BackendIdentity, Service: "chamber"})
	_, _ = io.CopyN(io.Discard, conn, limit)
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// TestUnsentIsExact guards against a frame that is reported as not sent although the kernel took a part of it, which
// would let a request run twice, and against one that is reported as sent although it was not.
func TestUnsentIsExact(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	to := listener.Addr().(*net.TCPAddr).AddrPort()
	withUnsent := 0
	for range 60 {
		limit := random.Int64N(1 << 20)
		size := 1 + random.IntN(64<<10)
		go resetAfter(listener, limit)
		tap := &kernelTap{}
		tr, r := start(t, tap, Settings{})
		tr.Want(to, "chamber")
		is.NoErr(r.await().err)
		accepted := sendUntilRefused(tr, to, size)
		down := r.await()
		tr.Close()
		is.True(down.err != nil)
		begun := tap.begun(is)
		is.Equal(begun+len(down.unsent), len(accepted))
		for i, m := range down.unsent {
			is.True(m == accepted[begun+i])
		}
		if len(down.unsent) > 0 {
			withUnsent++
		}
	}
	is.True(withUnsent > 0)
}

// sendUntilRefused sends frames until the connection is down and returns the accepted ones.
func sendUntilRefused(tr *Transport, to netip.AddrPort, size int) []*packet.Backend {
	var accepted []*packet.Backend
	payload := make([]byte, size)
	for {
		m := &packet.Backend{Kind: packet.BackendRun, Service: "chamber", Payload: payload}
		err := tr.Send(to, m)
		var full *QueueFullError
		switch {
		case err == nil:
			accepted = append(accepted, m)
		case errors.As(err, &full):
			time.Sleep(100 * time.Microsecond) // lets the writer run
		default:
			return accepted
		}
	}
}

// TestChangingWishes guards against calls for an old connection that come after those for a new one, and against
// goroutines that outlive Close.
func TestChangingWishes(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	to := listener.Addr().(*net.TCPAddr).AddrPort()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serveUntil(conn, "chamber", time.Now().Add(time.Hour), ignore)
			}()
		}
	}()
	tr, r := start(t, &net.Dialer{}, Settings{})
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		switch random.IntN(4) {
		case 0:
			tr.Forget(to)
		case 1:
			tr.Want(to, "certificate")
		default:
			tr.Want(to, "chamber")
		}
		_ = tr.Send(to, &packet.Backend{Kind: packet.BackendRun, Service: "chamber"})
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
	}
	tr.Want(to, "chamber")
	for tr.Send(to, &packet.Backend{Kind: packet.BackendRun, Service: "chamber"}) != nil {
		time.Sleep(time.Millisecond) // until the last wish has come true
	}
	tr.Close()
	is.True(!r.isUp)
	c := tr.Counters()
	is.Equal(c.Ups, c.Downs)
}

// TestIdentityAfterEnd guards against a queue that an Identity reopens after its connection ended: frames accepted then
// would be neither written nor reported.
func TestIdentityAfterEnd(t *testing.T) {
	is := is.New(t)
	tr, r := start(t, &net.Dialer{}, Settings{})
	client, server := net.Pipe()
	defer server.Close()
	c := newConnection(tr, endpoint, "chamber", client)
	c.end()
	var forgotten *ForgottenError
	is.True(errors.As(c.identify(&packet.Backend{Kind: packet.BackendIdentity, Service: "chamber"}), &forgotten))
	var notConnected *NotConnectedError
	is.True(errors.As(c.send(&packet.Backend{Kind: packet.BackendCancel}), &notConnected))
	is.Equal(len(r.events), 0)
}
