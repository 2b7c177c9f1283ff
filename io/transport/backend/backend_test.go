package backend

import (
	"bufio"
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var endpoint = netip.MustParseAddrPort("127.0.0.1:7001")

// event is one handler call: HandleBackend if frame is set, BackendDown if err is set, and BackendUp otherwise.
type event struct {
	at     time.Time
	frame  *packet.Backend
	err    error
	unsent []*packet.Backend
}

// recorder is a handler that records its calls and checks their order.
type recorder struct {
	t      testing.TB
	events chan event
	busy   sync.Mutex
	isUp   bool
	delay  time.Duration // duration of each call
}

func newRecorder(t testing.TB) *recorder { return &recorder{t: t, events: make(chan event, 1<<16)} }

func (r *recorder) record(e event, inOrder func() bool) {
	if !r.busy.TryLock() {
		r.t.Error("two handler calls at once for one endpoint")
		return
	}
	defer r.busy.Unlock()
	if !inOrder() {
		r.t.Error("handler call out of order")
	}
	time.Sleep(r.delay)
	e.at = time.Now()
	r.events <- e
}

func (r *recorder) BackendUp(netip.AddrPort, string, uint64, int, bool) {
	r.record(event{}, func() bool { was := r.isUp; r.isUp = true; return !was })
}

func (r *recorder) HandleBackend(_ netip.AddrPort, m *packet.Backend) {
	r.record(event{frame: m}, func() bool { return r.isUp })
}

func (r *recorder) BackendDown(_ netip.AddrPort, err error, unsent []*packet.Backend) {
	r.record(event{err: err, unsent: unsent}, func() bool { r.isUp = false; return err != nil })
}

// await waits for the next BackendUp or BackendDown and returns it.
func (r *recorder) await() event {
	for {
		if e := <-r.events; e.frame == nil {
			return e
		}
	}
}

// pipeDialer is a dialer that returns in-memory connections and runs the function as the server on their other end.
type pipeDialer func(server net.Conn)

func (p pipeDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		p(server)
	}()
	return client, nil
}

// failingDialer is a dialer whose attempts fail; it records when they were made.
type failingDialer struct{ at []time.Time }

func (d *failingDialer) DialContext(context.Context, string, string) (net.Conn, error) {
	d.at = append(d.at, time.Now())
	return nil, errors.New("refused")
}

func reply(conn net.Conn, m *packet.Backend) {
	b, _ := wire.AppendBackend(nil, m)
	_, _ = conn.Write(b)
}

// serveUntil answers Hello with an Identity that names the service, and answers pings until the given time. It passes
// other frames to onFrame.
func serveUntil(conn net.Conn, service string, end time.Time, onFrame func(m *packet.Backend)) {
	r := bufio.NewReader(conn)
	for {
		var m packet.Backend
		if wire.ReadBackend(r, &m) != nil {
			return
		}
		switch {
		case m.Kind == packet.BackendHello:
			reply(conn, &packet.Backend{Kind: packet.BackendIdentity, Service: service, Incarnation: 1})
		case m.Kind == packet.BackendPing && time.Now().Before(end):
			reply(conn, &packet.Backend{Kind: packet.BackendPong})
		case m.Kind != packet.BackendPing:
			onFrame(&m)
		}
	}
}

func ignore(*packet.Backend) {}

func start(t testing.TB, d Dialer, s Settings) (*Transport, *recorder) {
	s.Dialer = d
	r := newRecorder(t)
	return New(s, SystemClock{}, slog.New(slog.DiscardHandler), r), r
}

// TestSilence guards against a connection that is kept although its backend server has stopped answering pings, and
// against one that is closed although the backend server still answers them.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		begin := time.Now()
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			serveUntil(conn, "chamber", begin.Add(10*time.Second), ignore)
		}), Settings{})
		tr.Connect(endpoint, "chamber")
		is.NoErr(r.await().err)
		down := r.await()
		var silence *SilenceError
		is.True(errors.As(down.err, &silence))
		last := begin.Add(9 * time.Second) // time of the last ping that was answered
		is.True(down.at.Sub(last) >= silenceLimit)
		is.True(down.at.Sub(last) <= silenceLimit+pingInterval)
		up := r.await()
		is.NoErr(up.err)
		is.True(up.at.Sub(down.at) <= maxBackoff)
		is.Equal(tr.Counters().SilenceTimeouts, uint64(1))
		tr.Close()
	})
}

// TestNoIdentity guards against a connection without a time-out for the Identity: the endpoint accepts connections but
// never answers Hello.
func TestNoIdentity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 100))
			_, _ = conn.Read(make([]byte, 100))
		}), Settings{})
		tr.Connect(endpoint, "chamber")
		var silence *SilenceError
		is.True(errors.As(r.await().err, &silence))
		tr.Close()
	})
}

// TestPauseIsNotSilence guards against a process that closes all its connections after it was paused, because it takes
// the time of the pause for silence of the backend servers.
func TestPauseIsNotSilence(t *testing.T) {
	is := is.New(t)
	begin := time.Unix(1000, 0)
	w := silenceWatch{last: begin, pinged: begin}
	is.Equal(w.check(begin.Add(checkInterval), begin), checkInterval)
	resumed := begin.Add(time.Minute)
	is.Equal(w.check(resumed, begin), time.Duration(0))
	is.Equal(w.check(resumed.Add(checkInterval), begin), checkInterval)
}

// TestSlowHandler guards against a connection that is closed for silence because the handler takes longer than
// silenceLimit, during which no frame is read.
func TestSlowHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			serveUntil(conn, "chamber", time.Now().Add(time.Hour), ignore)
		}), Settings{})
		r.delay = 2 * silenceLimit
		tr.Connect(endpoint, "chamber")
		time.Sleep(time.Minute)
		is.Equal(tr.Counters().Disconnected, uint64(0))
		tr.Close()
	})
}

// slowHandler is a handler whose calls take the given time.
type slowHandler time.Duration

func (h slowHandler) BackendUp(netip.AddrPort, string, uint64, int, bool) {
	time.Sleep(time.Duration(h))
}

func (h slowHandler) HandleBackend(netip.AddrPort, *packet.Backend) { time.Sleep(time.Duration(h)) }

func (slowHandler) BackendDown(netip.AddrPort, error, []*packet.Backend) {}

// TestHandlerReturnsDuringCheck guards against a connection that is closed for silence because a slow handler returns
// between the two reads of a silence check: the time of the last frame is read before the handler has returned, the
// handling flag after it. Every call here ends at the time of a check, on many connections.
func TestHandlerReturnsDuringCheck(t *testing.T) {
	const connections = 200
	synctest.Test(t, func(t *testing.T) {
		tr := New(Settings{Dialer: pipeDialer(func(conn net.Conn) {
			serveUntil(conn, "chamber", time.Now().Add(time.Hour), ignore)
		})}, SystemClock{}, slog.New(slog.DiscardHandler), slowHandler(2*silenceLimit))
		for n := range connections {
			tr.Connect(netip.AddrPortFrom(endpoint.Addr(), uint16(1+n)), "chamber")
		}
		time.Sleep(time.Minute)
		is.New(t).Equal(tr.Counters().Disconnected, uint64(0))
		tr.Close()
	})
}

// TestUnexpectedFrame guards against a connection that is kept although the other end sends a frame that a backend
// server must not send, or must not send at this point.
func TestUnexpectedFrame(t *testing.T) {
	identity := &packet.Backend{Kind: packet.BackendIdentity, Service: "chamber"}
	tests := map[string][]*packet.Backend{
		"answer before identity": {{Kind: packet.BackendAnswer}},
		"echoed hello":           {{Kind: packet.BackendHello, Service: "chamber"}},
		"second identity":        {identity, identity},
		"run":                    {identity, {Kind: packet.BackendRun, Service: "chamber"}},
	}
	for name, frames := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tr, r := start(t, pipeDialer(func(conn net.Conn) {
					_, _ = conn.Read(make([]byte, 100))
					for _, m := range frames {
						reply(conn, m)
					}
				}), Settings{})
				tr.Connect(endpoint, "chamber")
				e := r.await()
				for e.err == nil {
					e = r.await()
				}
				var unexpected *FrameError
				is.New(t).True(errors.As(e.err, &unexpected))
				tr.Close()
			})
		})
	}
}

// TestWrongService guards against a frame that reaches a backend server of another service.
func TestWrongService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		see := func(m *packet.Backend) { t.Errorf("frame of kind %d reached the wrong service", m.Kind) }
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			serveUntil(conn, "chamber", time.Now().Add(time.Hour), see)
		}), Settings{})
		run := &packet.Backend{Kind: packet.BackendRun, Service: "certificate"}
		tr.Connect(endpoint, "certificate")
		var wrong *WrongServiceError
		is.True(errors.As(r.await().err, &wrong))
		is.Equal(wrong.Actual, "chamber")
		is.True(errors.As(tr.Send(endpoint, run), &wrong))
		tr.Connect(endpoint, "chamber")
		for r.await().err != nil {
			continue
		}
		is.True(errors.As(tr.Send(endpoint, run), &wrong))
		synctest.Wait()
		tr.Close()
		var notConnected *NotConnectedError
		is.True(errors.As(tr.Send(endpoint, run), &notConnected))
	})
}

// TestQueueBound guards against a queue that grows without bound when the backend server stops reading, and against
// accepted frames that are lost without being reported as unsent.
func TestQueueBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 100))
			reply(conn, &packet.Backend{Kind: packet.BackendIdentity, Service: "chamber"})
			time.Sleep(time.Minute)
		}), Settings{QueueFrames: 10})
		tr.Connect(endpoint, "chamber")
		is.NoErr(r.await().err)
		run := &packet.Backend{Kind: packet.BackendRun, Service: "chamber"}
		for range 11 { // ten fill the queue and one is being written
			is.NoErr(tr.Send(endpoint, run))
			synctest.Wait()
		}
		var full *QueueFullError
		is.True(errors.As(tr.Send(endpoint, run), &full))
		is.Equal(len(r.await().unsent), 11) // the server never read, so no byte was passed on
		tr.Disconnect(endpoint)
		synctest.Wait()
		tr.Close()
		time.Sleep(time.Minute)
	})
}

// TestPingWhileQueueIsFull guards against a connection that is closed for silence because no ping is sent while the queue
// is full: the backend server reads slowly and answers only pings.
func TestPingWhileQueueIsFull(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			serveUntil(conn, "chamber", time.Now().Add(time.Hour), func(*packet.Backend) { time.Sleep(7 * time.Millisecond) })
		}), Settings{QueueFrames: 10})
		tr.Connect(endpoint, "chamber")
		is.NoErr(r.await().err)
		run := &packet.Backend{Kind: packet.BackendRun, Service: "chamber"}
		for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
			for tr.Send(endpoint, run) == nil {
			}
		}
		tr.Close()
		time.Sleep(time.Minute) // the server ends
		is.Equal(tr.Counters().SilenceTimeouts, uint64(0))
	})
}

// TestPingsAreBounded guards against pings that accumulate in the queue of a backend server that sends frames but reads
// none.
func TestPingsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		tr, r := start(t, pipeDialer(func(conn net.Conn) {
			_, _ = conn.Read(make([]byte, 100))
			reply(conn, &packet.Backend{Kind: packet.BackendIdentity, Service: "chamber"})
			for range 60 {
				reply(conn, &packet.Backend{Kind: packet.BackendItem})
				time.Sleep(time.Second)
			}
		}), Settings{})
		tr.Connect(endpoint, "chamber")
		is.NoErr(r.await().err)
		time.Sleep(50 * time.Second)
		c := tr.links[endpoint].current.Load()
		c.mu.Lock()
		waiting := len(c.waiting.entries)
		c.mu.Unlock()
		tr.Close()
		time.Sleep(time.Minute) // the server ends
		is.Equal(waiting, 1)    // another ping is being written
	})
}

// TestBackoff guards against an endpoint that refuses connections and is dialled without backoff, or is dialled again
// after Disconnect.
func TestBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := &failingDialer{}
		tr, r := start(t, d, Settings{})
		tr.Connect(endpoint, "chamber")
		time.Sleep(30 * time.Second)
		tr.Disconnect(endpoint)
		synctest.Wait()
		dials := len(d.at)
		time.Sleep(30 * time.Second)
		is.Equal(len(d.at), dials)
		is.Equal(len(r.events), dials)
		limit := minBackoff
		for i := 1; i < dials; i++ {
			gap := d.at[i].Sub(d.at[i-1])
			is.True(gap >= limit/2)
			is.True(gap <= limit)
			limit = min(2*limit, maxBackoff)
		}
		is.True(dials >= 15)
		tr.Close()
	})
}
