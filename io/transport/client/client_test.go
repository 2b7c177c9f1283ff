package client

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		if err := f.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}

// fixture is a service with its clients inside a synctest bubble.
type fixture struct {
	network *network
	service *service
	clients []*Client
}

func newFixture(seed uint64, clients int) *fixture {
	n := &network{random: rand.New(rand.NewPCG(seed, 0))}
	fx := &fixture{network: n, service: newService(n)}
	for i := range clients {
		fx.clients = append(fx.clients, New(n.connect(fx.service), Settings{Random: rand.NewPCG(seed, uint64(i+1))}))
	}
	return fx
}

func (fx *fixture) close() {
	for _, c := range fx.clients {
		c.Close()
	}
}

// drawFixture returns a fixture with faults of the network and delays of the service that are drawn by rapid.
func drawFixture(t *rapid.T, clients int) *fixture {
	fx := newFixture(rapid.Uint64().Draw(t, "seed"), clients)
	rate := rapid.Float64Range(0, 0.3)
	fx.network.loss = rate.Draw(t, "loss")
	fx.network.duplicate = rate.Draw(t, "duplicate")
	fx.network.misdeliver = rate.Draw(t, "misdeliver")
	fx.network.maxDelay = time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
	fx.service.work = time.Duration(rapid.IntRange(0, 700).Draw(t, "work")) * time.Millisecond
	fx.service.renewTicket = rate.Draw(t, "renew")
	return fx
}

var kinds = []string{"answer", "answer", "answer", "refuse", "unknown", "silent", "damaged"}

// mismatch compares the result of Do with the outcome that the payload asks for. It returns a description of the
// difference, or an empty string.
func mismatch(kind, id string, size int, answer []byte, err error) string {
	var notRun *NotRunError
	var unknown *UnknownError
	isNotRun, isUnknown := errors.As(err, &notRun), errors.As(err, &unknown)
	ok := false
	switch kind {
	case "answer":
		ok = err == nil && string(answer) == string(answerTo(id, size))
	case "refuse":
		ok = isNotRun && notRun.Reason == packet.ReasonQueueFull && notRun.RetryAfter == time.Second
	case "unknown":
		ok = isUnknown && unknown.Reason == packet.ReasonConnectionLost
	case "silent", "damaged":
		ok = isUnknown && unknown.Reason == packet.ReasonTimeout
	}
	if ok {
		return ""
	}
	return fmt.Sprintf("kind %s, ID %s, answer of %d bytes: got %d bytes, error %v", kind, id, size, len(answer), err)
}

// TestOutcomes guards against a wrong, partial, missing or second outcome of a request, and against a retransmission
// under another number or ticket, on a network that loses, duplicates, reorders, delays and misdelivers packets.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			fx := drawFixture(t, 2)
			defer fx.close()
			var lock sync.Mutex
			var failures []string
			var running sync.WaitGroup
			for n := range 4 {
				f, err := fx.clients[n%2].Open(context.Background(), Options{Timeout: 10 * time.Minute})
				if err != nil {
					t.Fatalf("open: %v", err)
				}
				defer f.Close()
				for m := range 3 {
					running.Go(func() {
						random := rand.New(rand.NewPCG(uint64(n), uint64(m)))
						for i := range 5 {
							kind, id, size := kinds[random.IntN(len(kinds))], fmt.Sprintf("%d.%d.%d", n, m, i), random.IntN(5000)
							timeout := 10 * time.Minute
							if kind == "silent" || kind == "damaged" {
								timeout = 3 * time.Second
							}
							answer, err := f.Do(context.Background(), Request{
								Payload:    fmt.Appendf(nil, "%s %s %d", kind, id, size),
								Idempotent: i%2 == 0, Timeout: timeout,
							})
							lock.Lock()
							if x := mismatch(kind, id, size, answer, err); x != "" {
								failures = append(failures, x)
							}
							lock.Unlock()
						}
					})
				}
			}
			running.Wait()
			fx.service.lock.Lock()
			defer fx.service.lock.Unlock()
			failures = append(failures, fx.service.violations...)
			for id, n := range fx.service.executed {
				if n != 1 {
					failures = append(failures, fmt.Sprintf("%s executed %d times", id, n))
				}
			}
			if len(failures) > 0 {
				t.Fatalf("%q", failures)
			}
		})
	})
}

// TestFeed guards against gaps, duplicates and reordering in a feed, and against a feed that does not resume, on a
// faulty network with owners that lose the feed.
func TestFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			fx := drawFixture(t, 2)
			defer fx.close()
			from := uint64(rapid.IntRange(1, 1000).Draw(t, "from"))
			losses := rapid.SliceOfN(rapid.IntRange(0, 200), 0, 3).Draw(t, "losses")
			for _, c := range fx.clients {
				f, err := c.Open(context.Background(), Options{Timeout: 10 * time.Minute})
				if err != nil {
					t.Fatalf("open: %v", err)
				}
				d, err := f.Subscribe(context.Background(), "feed", from)
				if err != nil {
					t.Fatalf("subscribe: %v", err)
				}
				for i := range 200 {
					ctx, stop := context.WithTimeout(context.Background(), 10*time.Minute)
					item, err := d.Next(ctx)
					stop()
					want := from + uint64(i)
					if err != nil || item.Sequence != want || string(item.Payload) != string(itemContent(want)) {
						t.Fatalf("got %d %q, error %v; want item %d", item.Sequence, item.Payload, err, want)
					}
					for _, n := range losses {
						if n == i {
							fx.service.loseFeed(f.ID())
						}
					}
				}
				f.Close()
			}
			fx.service.lock.Lock()
			defer fx.service.lock.Unlock()
			for _, f := range fx.service.flows {
				if f.feed != nil {
					f.feed.stopped = true
				}
			}
			if len(fx.service.violations) > 0 {
				t.Fatalf("%q", fx.service.violations)
			}
		})
	})
}

// loseFeed makes the owner lose the feed of a flow.
func (s *service) loseFeed(id packet.FlowID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.flows[id].feed.stopped = true
}

// withFixture runs f with an open flow on a network without faults.
func withFixture(t *testing.T, f func(is *is.I, fx *fixture, x *Flow)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(1, 1)
		defer fx.close()
		x, err := fx.clients[0].Open(context.Background(), Options{Customer: "customer"})
		is.NoErr(err)
		f(is, fx, x)
		x.Close()
		synctest.Wait()
		fx.service.lock.Lock()
		is.Equal(len(fx.service.violations), 0)
		fx.service.lock.Unlock()
		is.Equal(fx.service.count(packet.KindClose), 1)
	})
}

// TestLocalOutcomes guards against a wrong outcome of a request for which the client gets no outcome from a balancer.
func TestLocalOutcomes(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	silent := Request{Payload: []byte("silent a 1"), Timeout: time.Second}
	cases := map[string]struct {
		ctx     func() (context.Context, context.CancelFunc)
		request Request
		want    error
		sent    bool
	}{
		"context ended before":  {fixed(cancelled), silent, &NotRunError{Reason: packet.ReasonCancelled}, false},
		"context ends":          {ending, silent, &UnknownError{Reason: packet.ReasonCancelled}, true},
		"context deadline":      {expiring, silent, &UnknownError{Reason: packet.ReasonTimeout}, true},
		"timeout":               {fixed(context.Background()), silent, &UnknownError{Reason: packet.ReasonTimeout}, true},
		"payload is too large":  {fixed(context.Background()), Request{Payload: make([]byte, 901)}, &NotRunError{Reason: packet.ReasonLimit}, false},
		"idempotent, timed out": {fixed(context.Background()), Request{Payload: silent.Payload, Idempotent: true, Timeout: time.Second}, &UnknownError{Reason: packet.ReasonTimeout}, true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(is *is.I, fx *fixture, x *Flow) {
				ctx, stop := c.ctx()
				defer stop()
				_, err := x.Do(ctx, c.request)
				synctest.Wait()
				is.Equal(fmt.Sprintf("%T %v", err, reasonIn(err)), fmt.Sprintf("%T %v", c.want, reasonIn(c.want)))
				is.Equal(fx.service.count(packet.KindRequest) > 0, c.sent)
				is.Equal(fx.service.count(packet.KindCancel) > 0, c.sent) // nobody waits for the answer any more
			})
		})
	}
}

func fixed(ctx context.Context) func() (context.Context, context.CancelFunc) {
	return func() (context.Context, context.CancelFunc) { return ctx, func() {} }
}

func ending() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(300*time.Millisecond, cancel)
	return ctx, cancel
}

func expiring() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 300*time.Millisecond)
}

func reasonIn(err error) packet.Reason {
	var notRun *NotRunError
	var unknown *UnknownError
	switch {
	case errors.As(err, &notRun):
		return notRun.Reason
	case errors.As(err, &unknown):
		return unknown.Reason
	}
	return packet.ReasonNone
}

// TestOpenRefused guards against an open that never returns, and against one that does not return the reason.
func TestOpenRefused(t *testing.T) {
	cases := map[string]packet.Reason{"refuse": packet.ReasonLimit, "silent": packet.ReasonTimeout}
	for customer, reason := range cases {
		t.Run(customer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(1, 1)
				defer fx.close()
				_, err := fx.clients[0].Open(context.Background(), Options{Customer: customer})
				var notRun *NotRunError
				is.True(errors.As(err, &notRun))
				is.Equal(notRun.Reason, reason)
			})
		})
	}
}

// TestAbandonedOpen guards against a flow that stays open at its owner although its open timed out or was cancelled, and
// against a client that keeps the state of such a flow for ever.
func TestAbandonedOpen(t *testing.T) {
	cases := map[string]struct {
		openTime time.Duration // until the owner answers the open
		closes   int
	}{
		"opened in time":         {openTime: 999 * time.Millisecond, closes: 1},
		"opened at the deadline": {openTime: time.Second, closes: 1},
		"opened after it":        {openTime: 2 * time.Second, closes: 1},
		"opened after the wait":  {openTime: time.Minute, closes: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fx := newFixture(1, 1)
				defer fx.close()
				fx.service.openTime = c.openTime
				f, err := fx.clients[0].Open(context.Background(), Options{Customer: "once", Timeout: time.Second})
				is.Equal(err != nil, f == nil)
				is.True(err == nil || reasonIn(err) == packet.ReasonTimeout)
				if f != nil {
					f.Close()
				}
				time.Sleep(2 * time.Minute)
				is.Equal(fx.service.count(packet.KindClose), c.closes)
				is.Equal(len(fx.clients[0].list()), 0)
				fx.service.lock.Lock()
				defer fx.service.lock.Unlock()
				is.Equal(len(fx.service.violations), 0)
			})
		})
	}
}

// TestOpenClosedClient guards against an open that blocks until its deadline because its client is closed.
func TestOpenClosedClient(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fx := newFixture(1, 1)
		fx.close()
		began := time.Now()
		_, err := fx.clients[0].Open(context.Background(), Options{Customer: "customer"})
		var closed *ClosedError
		is.True(errors.As(err, &closed))
		is.Equal(reasonIn(err), packet.ReasonCancelled) // the same as if it were closed during the open
		is.Equal(time.Since(began), time.Duration(0))
		is.Equal(len(fx.clients[0].list()), 0)
	})
}

// TestAnswerSizes guards against answers that are refused, truncated or never complete because their size is at the
// limit of a segment or of an answer.
func TestAnswerSizes(t *testing.T) {
	for name, size := range map[string]int{
		"empty": 0, "one segment": packet.MaxPayloadBytes, "two segments": packet.MaxPayloadBytes + 1,
		"largest": packet.MaxAnswerBytes,
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(is *is.I, fx *fixture, x *Flow) {
				fx.network.lock.Lock()
				fx.network.loss = 0.2
				fx.network.lock.Unlock()
				answer, err := x.Do(context.Background(), Request{Payload: fmt.Appendf(nil, "answer a %d", size), Timeout: time.Hour})
				is.NoErr(err)
				is.Equal(string(answer), string(answerTo("a", size)))
			})
		})
	}
}

// TestWindow guards against a new request that moves the owner's window of records past a request in progress, whose
// outcome would then be lost.
func TestWindow(t *testing.T) {
	withFixture(t, func(is *is.I, fx *fixture, x *Flow) {
		go func() {
			_, _ = x.Do(context.Background(), Request{Payload: []byte("silent first 1"), Timeout: 10 * time.Second})
		}()
		synctest.Wait()
		for i := range flow.WindowSize - 1 {
			_, err := x.Do(context.Background(), Request{Payload: fmt.Appendf(nil, "answer %d 10", i)})
			is.NoErr(err)
		}
		_, err := x.Do(context.Background(), Request{Payload: []byte("answer early 10"), Timeout: time.Second})
		var notRun *NotRunError
		is.True(errors.As(err, &notRun)) // nothing was sent
		_, err = x.Do(context.Background(), Request{Payload: []byte("answer late 10"), Timeout: 20 * time.Second})
		is.NoErr(err)
	})
}

// TestTicketReplaced guards against requests with an outdated ticket, whose owner may no longer run them, and against a
// delayed packet that makes an outdated ticket current again.
func TestTicketReplaced(t *testing.T) {
	for name, kind := range map[string]packet.Kind{
		"pong": packet.KindPong, "not run": packet.KindNotRun, "unknown": packet.KindUnknown, "opened": packet.KindOpened,
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(is *is.I, fx *fixture, x *Flow) {
				do := func() string {
					_, err := x.Do(context.Background(), Request{Payload: []byte("answer a 10")})
					is.NoErr(err)
					return string(fx.service.lastOf(packet.KindRequest).Ticket)
				}
				first := do()
				fx.service.issue(x.ID(), []byte("second"))
				x.handle(&packet.Packet{Kind: kind, Flow: x.ID(), Request: 99, Ticket: []byte("second")})
				is.Equal(do(), "second")
				x.handle(&packet.Packet{Kind: kind, Flow: x.ID(), Request: 99, Ticket: []byte(first)})
				is.Equal(do(), "second")
				is.Equal(fx.service.count(packet.KindConfirm), 3)
			})
		})
	}
}

// TestFeedEnd guards against a feed that does not return the reason why it ended, and against one that ends because of
// a temporary refusal.
func TestFeedEnd(t *testing.T) {
	withFixture(t, func(is *is.I, fx *fixture, x *Flow) {
		d, err := x.Subscribe(context.Background(), "feed", 0)
		is.NoErr(err)
		_, err = x.Subscribe(context.Background(), "feed", 0)
		var subscribed *SubscribedError
		is.True(errors.As(err, &subscribed))
		x.handle(&packet.Packet{Kind: packet.KindNotRun, Flow: x.ID(), Reason: packet.ReasonNoEndpoint})
		item, err := d.Next(context.Background())
		is.NoErr(err)
		is.Equal(item.Sequence, uint64(1))
		fx.service.loseFeed(x.ID())
		x.handle(&packet.Packet{Kind: packet.KindNotRun, Flow: x.ID(), Reason: packet.ReasonBadTicket})
		for err == nil {
			_, err = d.Next(context.Background())
		}
		is.Equal(reasonIn(err), packet.ReasonBadTicket)
	})
}

// TestSlowReader guards against feed items that have arrived but are not returned, and not acknowledged, before a
// further packet arrives, because more than feedBuffer items waited for Next.
func TestSlowReader(t *testing.T) {
	withFixture(t, func(is *is.I, fx *fixture, x *Flow) {
		d, err := x.Subscribe(context.Background(), "feed", 0)
		is.NoErr(err)
		synctest.Wait()
		fx.service.loseFeed(x.ID())
		const received = feedBuffer + 64
		for n := range uint64(received) {
			x.handle(&packet.Packet{Kind: packet.KindItem, Flow: x.ID(), Sequence: n + 1, Payload: itemContent(n + 1)})
		}
		ended, end := context.WithCancel(context.Background())
		end() // Next returns only items that are ready
		for n := range uint64(received) {
			item, err := d.Next(ended)
			is.NoErr(err)
			is.Equal(item.Sequence, n+1)
		}
		is.Equal(fx.service.lastOf(packet.KindItemAck).Sequence, uint64(received))
	})
}

// TestAnswersOfTwoRuns guards against an answer that is mixed from two runs of an idempotent request, and against
// endless requests for the segments of a run whose owner is gone.
func TestAnswersOfTwoRuns(t *testing.T) {
	is := is.New(t)
	segment := func(answer string, i uint32) *packet.Packet {
		size := uint32(len(answer))
		return &packet.Packet{
			Segment: i, Segments: size, Size: size, Digest: xxhash.Sum64String(answer), Payload: []byte{answer[i]},
		}
	}
	var a assembler
	for i := range uint32(3) {
		_, state := a.add(segment("first", i))
		is.Equal(state, segmentNew)
	}
	is.Equal(a.firstMissing(), uint32(3))
	for _, i := range []uint32{3, 4} {
		_, state := a.add(segment("other", i))
		is.Equal(state, segmentNew)
	}
	is.Equal(a.firstMissing(), uint32(0))
	for i := range uint32(2) {
		_, state := a.add(segment("other", i))
		is.Equal(state, segmentNew)
	}
	answer, state := a.add(segment("other", 2))
	is.Equal(state, segmentComplete)
	is.Equal(string(answer), "other")
	_, state = a.add(&packet.Packet{Segment: 1, Segments: 1, Size: 1, Payload: []byte{1}})
	is.Equal(state, segmentInvalid)
}
