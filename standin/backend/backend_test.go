package backend

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
	"cornellb/standin/content"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// replyLimit bounds the time for which a test waits for a frame. No result depends on it.
const replyLimit = 20 * time.Second

// link is the balancer's end of a connection.
type link struct {
	is     *is.I
	socket net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, s *Server) *link {
	is := is.New(t)
	socket, err := net.Dial("tcp", s.Address().String())
	is.NoErr(err)
	t.Cleanup(func() { socket.Close() })
	return &link{is: is, socket: socket, reader: bufio.NewReader(socket)}
}

func (l *link) send(m *packet.Backend) {
	l.is.Helper()
	encoded, err := wire.AppendBackend(nil, m)
	l.is.NoErr(err)
	_, err = l.socket.Write(encoded)
	l.is.NoErr(err)
}

func (l *link) receive() (m packet.Backend) {
	l.is.Helper()
	l.is.NoErr(l.socket.SetReadDeadline(time.Now().Add(replyLimit)))
	l.is.NoErr(wire.ReadBackend(l.reader, &m))
	return m
}

func (l *link) hello() {
	l.is.Helper()
	l.send(&packet.Backend{Kind: packet.BackendHello, Service: "reminders"})
	l.is.Equal(l.receive().Service, "reminders")
}

func run(attempt uint64, id string) *packet.Backend {
	q := content.Request{ID: id, Service: "reminders", Size: 10}
	return &packet.Backend{
		Kind: packet.BackendRun, Attempt: attempt, Service: "reminders", Customer: "a", Timeout: time.Minute,
		Payload: q.Append(nil),
	}
}

func start(t *testing.T, change func(c *Config)) *Server {
	config := Config{Listen: "127.0.0.1:0", Service: "reminders", Slots: 2, FeedInterval: time.Millisecond}
	change(&config)
	s, err := Start(config)
	is.New(t).NoErr(err)
	t.Cleanup(s.Close)
	return s
}

func withTime(median time.Duration) func(c *Config) {
	return func(c *Config) { c.Times[packet.ClassUrgent].Median = median }
}

// TestSlots guards against work beyond the slots, and against a slot that is not freed by an answer, a cancellation or
// the deadline.
func TestSlots(t *testing.T) {
	s := start(t, withTime(time.Hour))
	l := dial(t, s)
	l.hello()
	l.send(run(1, "a"))
	expiring := run(2, "b")
	expiring.Timeout = 300 * time.Millisecond
	l.send(expiring)
	l.send(run(3, "c"))
	shed := l.receive()
	l.is.Equal([]any{shed.Kind, shed.Attempt, shed.Started, shed.Busy}, []any{packet.BackendShed, uint64(3), false, uint32(2)})
	expired := l.receive()
	l.is.Equal([]any{expired.Kind, expired.Attempt, expired.Started}, []any{packet.BackendCancelled, uint64(2), true})
	l.send(&packet.Backend{Kind: packet.BackendCancel, Attempt: 1})
	cancelled := l.receive()
	l.is.Equal([]any{cancelled.Kind, cancelled.Attempt, cancelled.Started}, []any{packet.BackendCancelled, uint64(1), true})
	l.is.Equal(cancelled.Busy, uint32(0))
	s.SetSlowFactor(1e-9)
	l.send(run(4, "d"))
	l.is.Equal(string(l.receive().Payload), string(content.Request{ID: "d", Service: "reminders", Size: 10}.Answer()))
	r := s.Report()
	l.is.Equal(r.Executions, map[string]int{"a": 1, "b": 1, "d": 1})
	l.is.Equal([]uint64{r.Started, r.Answered, r.Cancelled, r.Expired, r.Shed}, []uint64{3, 1, 1, 1, 1})
	l.is.Equal(r.Work, map[string]float64{"a": 3600})
}

// TestMisplacedWork guards against requests for another service or before Hello that are run or not counted, and
// against late requests that are not counted.
func TestMisplacedWork(t *testing.T) {
	s := start(t, withTime(0))
	l := dial(t, s)
	l.send(run(1, "early"))
	l.is.Equal(l.receive().Kind, packet.BackendShed)
	l.hello()
	other := run(2, "other")
	other.Service = "rendering"
	l.send(other)
	l.is.Equal(l.receive().Kind, packet.BackendShed)
	// The frame is for the right service, its payload for another.
	crossed := run(3, "crossed")
	crossed.Payload = content.Request{ID: "crossed", Service: "rendering"}.Append(nil)
	l.send(crossed)
	l.is.Equal(l.receive().Kind, packet.BackendShed)
	s.SetLeaving(true)
	l.send(run(4, "in time"))
	answer := l.receive()
	l.is.True(answer.Leaving)
	s.lock.Lock()
	s.leavingAt = s.leavingAt.Add(-lateLimit)
	s.lock.Unlock()
	l.send(run(5, "late"))
	l.receive()
	r := s.Report()
	l.is.Equal([]uint64{r.NoHello, r.WrongService, r.LateWork}, []uint64{1, 2, 1})
	l.is.Equal(r.Executions, map[string]int{"in time": 1, "late": 1})
}

// TestFeedWindow guards against more than 64 unacknowledged items of a feed, and against streams that share a window.
func TestFeedWindow(t *testing.T) {
	s := start(t, withTime(0))
	l := dial(t, s)
	l.hello()
	next := map[uint64]uint64{1: 1, 2: 500}
	for stream, from := range next {
		l.send(&packet.Backend{
			Kind: packet.BackendSubscribe, Stream: stream, Service: "reminders", Feed: "x", Sequence: from,
		})
	}
	for range 2 * feedWindow {
		l.item(next)
	}
	l.is.Equal(next, map[uint64]uint64{1: 1 + feedWindow, 2: 500 + feedWindow})
	l.send(&packet.Backend{Kind: packet.BackendItemAck, Stream: 2, Sequence: 500})
	l.item(next)
	l.send(&packet.Backend{Kind: packet.BackendUnsubscribe, Stream: 2})
	l.send(&packet.Backend{Kind: packet.BackendPing})
	l.is.Equal(l.receive().Kind, packet.BackendPong)
	l.is.Equal(next[2], uint64(501+feedWindow))
}

func (l *link) item(next map[uint64]uint64) {
	l.is.Helper()
	m := l.receive()
	l.is.Equal(m.Sequence, next[m.Stream])
	l.is.Equal(m.Payload, content.Item("reminders", "x", m.Sequence))
	next[m.Stream]++
}

// TestFreeze guards against a frozen connection that still runs requests, and against a new one that does not.
func TestFreeze(t *testing.T) {
	s := start(t, withTime(0))
	old := dial(t, s)
	old.hello()
	s.Freeze(false)
	old.send(run(1, "frozen"))
	fresh := dial(t, s)
	fresh.hello()
	fresh.send(run(1, "fresh"))
	fresh.is.Equal(fresh.receive().Kind, packet.BackendAnswer)
	old.is.Equal(s.Report().Executions, map[string]int{"fresh": 1})
	s.Thaw()
	old.is.Equal(old.receive().Kind, packet.BackendAnswer)
	s.Reset()
	var m packet.Backend
	old.is.True(wire.ReadBackend(old.reader, &m) != nil)
}

// TestLoadReport guards against reports of the current count although a lag or a fixed count is set.
func TestLoadReport(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := loadReport{lag: time.Second, fixed: -1}
	l.record(now, 1)
	l.record(now.Add(500*time.Millisecond), 2)
	is.Equal(l.busy(now.Add(900*time.Millisecond), 2), uint32(0))
	is.Equal(l.busy(now.Add(time.Second), 2), uint32(1))
	is.Equal(l.busy(now.Add(1500*time.Millisecond), 2), uint32(2))
	l.fixed = 0
	is.Equal(l.busy(now.Add(1500*time.Millisecond), 2), uint32(0))
	is.Equal((&loadReport{fixed: -1}).busy(now, 3), uint32(3))
}

// TestServiceTime guards against nominal service times that depend on the server or on the order of requests, and
// against slow and cold factors that have no effect.
func TestServiceTime(t *testing.T) {
	is := is.New(t)
	spread := func(c *Config) { c.Times[0] = Distribution{Median: time.Second, Sigma: 0.5} }
	a, b := start(t, spread), start(t, func(c *Config) {
		spread(c)
		c.ColdFactor, c.ColdPeriod = 3, time.Hour
	})
	b.SetSlowFactor(2)
	x, _ := a.serviceTime("other", 0)
	nominal, actual := a.serviceTime("id", 0)
	again, slow := b.serviceTime("id", 0)
	is.True(x != nominal)
	is.Equal([]time.Duration{actual, again}, []time.Duration{nominal, nominal})
	is.True(slow > nominal*5 && slow <= nominal*6)
}

// TestControl guards against control calls that accept invalid values or have no effect.
func TestControl(t *testing.T) {
	s := start(t, withTime(0))
	s.Freeze(true)
	cases := map[string]int{
		"/leaving?on=true": 200, "/leaving?on=perhaps": 400, "/slow?factor=2": 200, "/slow?factor=0": 400,
		"/slow?factor=NaN": 400, "/load?lag=1s&lie=7": 200, "/load?lag=x": 400, "/freeze?all=x": 400, "/thaw": 200,
	}
	for path, status := range cases {
		w := httptest.NewRecorder()
		s.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, nil))
		is.New(t).Equal(w.Code, status)
	}
	l := dial(t, s)
	l.hello()
	l.send(&packet.Backend{Kind: packet.BackendPing})
	pong := l.receive()
	l.is.True(pong.Leaving)
	l.is.Equal(pong.Busy, uint32(7))
}
