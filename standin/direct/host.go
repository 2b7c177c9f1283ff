package direct

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// host accepts TCP connections at the address of an endpoint, as the host of a running process does. While it is dark it
// does not answer connection attempts, as after a loss of power: its backlog is full and nobody accepts.
type host struct {
	listener *net.TCPListener

	paused chan struct{} // receives a value when run has paused
	resume chan struct{} // lets run continue

	mu     sync.Mutex
	isDark bool
	filler []net.Conn // fill the backlog
}

const (
	usualBacklog = 128
	// maxFiller bounds the connections that fill the backlog. The kernel keeps one more than the backlog says.
	maxFiller = 8
	// fillTimeout is the time after which a connection attempt on loopback shows that the backlog is full.
	fillTimeout = 50 * time.Millisecond
)

// listenHost listens at the address of a packet socket.
func listenHost(address *net.UDPAddr) (*host, error) {
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: address.IP, Port: address.Port})
	if err != nil {
		return nil, errors.Wrap(err, "listen for connections")
	}
	h := &host{listener: l, paused: make(chan struct{}), resume: make(chan struct{})}
	go h.run()
	return h, nil
}

func (h *host) run() {
	for {
		conn, err := h.listener.Accept()
		switch {
		case err == nil:
			_ = conn.Close()
		case errors.Is(err, os.ErrDeadlineExceeded):
			h.paused <- struct{}{}
			<-h.resume
		default:
			return
		}
	}
}

// setDark makes the host dark, or ends that.
func (h *host) setDark(isDark bool) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isDark == h.isDark {
		return nil
	}
	if !isDark {
		if err := h.setBacklog(usualBacklog); err != nil {
			return err
		}
		return h.end()
	}
	if err := h.listener.SetDeadline(time.Unix(1, 0)); err != nil {
		return err
	}
	<-h.paused
	h.isDark = true
	if err := h.setBacklog(0); err != nil {
		return err
	}
	for range maxFiller {
		conn, err := net.DialTimeout("tcp4", h.listener.Addr().String(), fillTimeout)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "fill the backlog")
		}
		h.filler = append(h.filler, conn)
	}
	return errors.Errorf("the backlog is not full after %d connections", maxFiller)
}

// setBacklog changes the number of connections that wait to be accepted.
func (h *host) setBacklog(n int) error {
	raw, err := h.listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return failed
}

// end lets run continue if the host is dark. The caller holds mu.
func (h *host) end() error {
	if !h.isDark {
		return nil
	}
	for _, c := range h.filler {
		_ = c.Close()
	}
	h.isDark, h.filler = false, nil
	err := h.listener.SetDeadline(time.Time{})
	h.resume <- struct{}{}
	return err
}

func (h *host) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.listener.Close()
	_ = h.end() // the listener is closed, so that its deadline cannot be set
}
