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

// kernelTap is a dialer for a single connection that records which bytes the kernel accepted.
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

// startedRuns returns the number of Run frames of which the kernel accepted at least one byte.
func (k *kernelTap) startedRuns(is *is.I) int {
	r := bufio.NewReader(bytes.NewReader(k.bytes))
	runs := 0
	for {
		var m packet.Backend
		switch err := wire.ReadBackend(r, &m); {
		case errors.Is(err, io.ErrUnexpectedEOF):
			return runs + 1 // a Run: only a full socket buffer splits a frame, and pings are too short to be split
		case err != nil:
			is.Equal(err, io.EOF)
			return runs
		case m.Kind == packet.BackendRun:
			runs++
		}
	}
}

func listenTCP(t testing.TB) (net.Listener, netip.AddrPort) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener, listener.Addr().(*net.TCPAddr).AddrPort()
}

// acceptAll serves connections until the listener is closed, and passes frames other than Hello and Ping to onFrame.
func acceptAll(listener net.Listener, onFrame func(conn net.Conn, m *packet.Backend)) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer conn.Close()
			serveUntil(conn, "chamber", time.Now().Add(time.Hour), func(m *packet.Backend) { onFrame(conn, m) })
		}()
	}
}

// resetAfter accepts one connection, sends an Identity, reads up to limit bytes and resets the connection.
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

// TestUnsentIsExact guards against a frame that is reported as unsent although the kernel accepted a part of it, which
// could make a request run twice, and against one that is not reported as unsent although the kernel accepted none of
// it.
func TestUnsentIsExact(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 2))
	listener, to := listenTCP(t)
	withUnsent := 0
	for range 60 {
		limit := random.Int64N(1 << 20)
		size := 1 + random.IntN(64<<10)
		go resetAfter(listener, limit)
		tap := &kernelTap{}
		tr, r := start(t, tap, Settings{})
		tr.Connect(to, "chamber")
		is.NoErr(r.await().err)
		accepted := sendUntilRefused(tr, to, size)
		down := r.await()
		tr.Close()
		is.True(down.err != nil)
		started := tap.startedRuns(is)
		is.Equal(started+len(down.unsent), len(accepted))
		for i, m := range down.unsent {
			is.True(m == accepted[started+i])
		}
		if len(down.unsent) > 0 {
			withUnsent++
		}
	}
	is.True(withUnsent > 0)
}

// sendUntilRefused sends frames until the connection is down, retrying while the queue is full, and returns the
// accepted ones.
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
			time.Sleep(100 * time.Microsecond) // gives the writer time to empty the queue
		default:
			return accepted
		}
	}
}

// TestWantedServiceChanges calls Connect and Disconnect in random order. It guards against handler calls for an old
// connection that come after those for a new one, and against goroutines that outlive Close.
func TestWantedServiceChanges(t *testing.T) {
	is := is.New(t)
	listener, to := listenTCP(t)
	go acceptAll(listener, func(net.Conn, *packet.Backend) {})
	tr, r := start(t, &net.Dialer{}, Settings{})
	random := rand.New(rand.NewPCG(3, 4))
	for range 300 {
		switch random.IntN(4) {
		case 0:
			tr.Disconnect(to)
		case 1:
			tr.Connect(to, "certificate")
		default:
			tr.Connect(to, "chamber")
		}
		_ = tr.Send(to, &packet.Backend{Kind: packet.BackendRun, Service: "chamber"})
		time.Sleep(time.Duration(random.IntN(2000)) * time.Microsecond)
	}
	tr.Connect(to, "chamber")
	for tr.Send(to, &packet.Backend{Kind: packet.BackendRun, Service: "chamber"}) != nil {
		time.Sleep(time.Millisecond) // until the connection requested last is up
	}
	tr.Close()
	is.True(!r.isUp)
	c := tr.Counters()
	is.Equal(c.Connected, c.Disconnected)
}

// TestIdentityAfterEnd guards against an Identity that makes a connection accept frames after it has ended: such frames
// would be neither written nor reported as unsent.
func TestIdentityAfterEnd(t *testing.T) {
	is := is.New(t)
	tr, r := start(t, &net.Dialer{}, Settings{})
	client, server := net.Pipe()
	defer server.Close()
	c := newConnection(tr, endpoint, "chamber", client)
	c.end()
	var disconnected *DisconnectedError
	is.True(errors.As(c.identify(&packet.Backend{Kind: packet.BackendIdentity, Service: "chamber"}), &disconnected))
	var notConnected *NotConnectedError
	is.True(errors.As(c.send(&packet.Backend{Kind: packet.BackendCancel}), &notConnected))
	is.Equal(len(r.events), 0)
}

// BenchmarkExchange measures one request of 200 bytes and its answer over a TCP connection with up to 64 requests in
// flight. The figure includes the work of the other end, which runs in the same process.
func BenchmarkExchange(b *testing.B) {
	is := is.New(b)
	listener, to := listenTCP(b)
	go acceptAll(listener, func(conn net.Conn, m *packet.Backend) {
		reply(conn, &packet.Backend{Kind: packet.BackendAnswer, Attempt: m.Attempt, Payload: m.Payload})
	})
	tr, r := start(b, &net.Dialer{}, Settings{})
	defer tr.Close()
	tr.Connect(to, "chamber")
	is.NoErr(r.await().err)
	m := &packet.Backend{Kind: packet.BackendRun, Service: "chamber", Payload: make([]byte, 200)}
	sent, answered := 0, 0
	b.ReportAllocs()
	for b.Loop() {
		is.NoErr(tr.Send(to, m))
		for sent++; sent-answered >= 64; {
			if e := <-r.events; e.frame != nil && e.frame.Kind == packet.BackendAnswer {
				answered++
			}
		}
	}
}
