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

// world is a service with its clients inside a synctest bubble.
type world struct {
	network *network
	service *service
	clients []*Client
}

func newWorld(seed uint64, clients int) *world {
	n := &network{random: rand.New(rand.NewPCG(seed, 0))}
	w := &world{network: n, service: newService(n)}
	for i := range clients {
		w.clients = append(w.clients, New(n.connect(w.service), Settings{Seed: rand.NewPCG(seed, uint64(i+1))}))
	}
	return w
}

func (w *world) close() {
	for _, c := range w.clients {
		c.Close()
	}
}

// drawWorld returns a world with drawn faults.
func drawWorld(t *rapid.T, clients int) *world {
	w := newWorld(rapid.Uint64().Draw(t, "seed"), clients)
	rate := rapid.Float64Range(0, 0.3)
	w.network.loss = rate.Draw(t, "loss")
	w.network.duplicate = rate.Draw(t, "duplicate")
	w.network.cross = rate.Draw(t, "cross")
	w.network.maxDelay = time.Duration(rapid.IntRange(0, 400).Draw(t, "delay")) * time.Millisecond
	w.service.work = time.Duration(rapid.IntRange(0, 700).Draw(t, "work")) * time.Millisecond
	w.service.renew = rate.Draw(t, "renew")
	return w
}

var kinds = []string{"answer", "answer", "answer", "refuse", "unknown", "silent", "damaged"}

// mismatch compares the result of Do with what the service decided.
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
	return fmt.Sprintf("%s %s of %d bytes: got %d bytes, error %v", kind, id, size, len(answer), err)
}

// TestOutcomes guards against a wrong, partial, missing or second outcome of a request, and against a retransmission
// under another number or ticket, on a network that loses, duplicates, reorders, delays and crosses packets.
func TestOutcomes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			w := drawWorld(t, 2)
			defer w.close()
			var lock sync.Mutex
			var faults []string
			var running sync.WaitGroup
			for n := range 4 {
				f, err := w.clients[n%2].Open(context.Background(), Options{Timeout: 10 * time.Minute})
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
								faults = append(faults, x)
							}
							lock.Unlock()
						}
					})
				}
			}
			running.Wait()
			w.service.lock.Lock()
			defer w.service.lock.Unlock()
			faults = append(faults, w.service.faults...)
			for id, n := range w.service.executed {
				if n != 1 {
					faults = append(faults, fmt.Sprintf("%s executed %d times", id, n))
				}
			}
			if len(faults) > 0 {
				t.Fatalf("%q", faults)
			}
		})
	})
}

// TestFeed guards against gaps, duplicates and reordering in a feed on a faulty network whose owners lose the feed, and
// against a feed that does not come back.
func TestFeed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rapid.SyncTest(t, func(t *rapid.T) {
			w := drawWorld(t, 2)
			defer w.close()
			from := uint64(rapid.IntRange(1, 1000).Draw(t, "from"))
			losses := rapid.SliceOfN(rapid.IntRange(0, 200), 0, 3).Draw(t, "losses")
			for _, c := range w.clients {
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
							w.service.loseFeed(f.ID())
						}
					}
				}
				f.Close()
			}
			w.service.lock.Lock()
			defer w.service.lock.Unlock()
			for _, f := range w.service.flows {
				if f.feed != nil {
					f.feed.stopped = true
				}
			}
			if len(w.service.faults) > 0 {
				t.Fatalf("%q", w.service.faults)
			}
		})
	})
}

// loseFeed makes the owner forget a flow's feed.
func (s *service) loseFeed(id packet.FlowID) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.flows[id].feed.stopped = true
}

// inWorld runs f with an open flow on a network without faults.
func inWorld(t *testing.T, f func(is *is.I, w *world, x *Flow)) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(1, 1)
		defer w.close()
		x, err := w.clients[0].Open(context.Background(), Options{Customer: "customer"})
		is.NoErr(err)
		f(is, w, x)
		x.Close()
		synctest.Wait()
		w.service.lock.Lock()
		is.Equal(len(w.service.faults), 0)
		w.service.lock.Unlock()
		is.Equal(w.service.count(packet.KindClose), 1)
	})
}

// TestLocalOutcomes guards against a wrong outcome where the client decides it alone.
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
			inWorld(t, func(is *is.I, w *world, x *Flow) {
				ctx, stop := c.ctx()
				defer stop()
				_, err := x.Do(ctx, c.request)
				synctest.Wait()
				is.Equal(fmt.Sprintf("%T %v", err, reasonIn(err)), fmt.Sprintf("%T %v", c.want, reasonIn(c.want)))
				is.Equal(w.service.count(packet.KindRequest) > 0, c.sent)
				is.Equal(w.service.count(packet.KindCancel) > 0, c.sent) // work that nobody waits for must stop
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

// TestOpenRefused guards against an open that hangs, or hides the balancer's reason.
func TestOpenRefused(t *testing.T) {
	cases := map[string]packet.Reason{"refuse": packet.ReasonLimit, "silent": packet.ReasonTimeout}
	for customer, reason := range cases {
		t.Run(customer, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(1, 1)
				defer w.close()
				_, err := w.clients[0].Open(context.Background(), Options{Customer: customer})
				var notRun *NotRunError
				is.True(errors.As(err, &notRun))
				is.Equal(notRun.Reason, reason)
			})
		})
	}
}

// TestAnswerSizes guards against answers at the limits of segments that are refused, cut or never complete.
func TestAnswerSizes(t *testing.T) {
	for name, size := range map[string]int{
		"empty": 0, "one segment": packet.MaxPayloadBytes, "two segments": packet.MaxPayloadBytes + 1,
		"largest": packet.MaxAnswerBytes,
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(is *is.I, w *world, x *Flow) {
				w.network.lock.Lock()
				w.network.loss = 0.2
				w.network.lock.Unlock()
				answer, err := x.Do(context.Background(), Request{Payload: fmt.Appendf(nil, "answer a %d", size), Timeout: time.Hour})
				is.NoErr(err)
				is.Equal(string(answer), string(answerTo("a", size)))
			})
		})
	}
}

// TestWindow guards against a request that pushes an unfinished one out of the owner's window of records, which would
// make its outcome unknown.
func TestWindow(t *testing.T) {
	inWorld(t, func(is *is.I, w *world, x *Flow) {
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

// TestTicketReplaced guards against requests under an outdated ticket, which the owner it names may not run any more,
// and against a delayed packet that brings an outdated ticket back.
func TestTicketReplaced(t *testing.T) {
	for name, kind := range map[string]packet.Kind{
		"pong": packet.KindPong, "not run": packet.KindNotRun, "unknown": packet.KindUnknown, "opened": packet.KindOpened,
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, func(is *is.I, w *world, x *Flow) {
				do := func() string {
					_, err := x.Do(context.Background(), Request{Payload: []byte("answer a 10")})
					is.NoErr(err)
					return string(w.service.lastOf(packet.KindRequest).Ticket)
				}
				first := do()
				w.service.issue(x.ID(), []byte("second"))
				x.handle(&packet.Packet{Kind: kind, Flow: x.ID(), Request: 99, Ticket: []byte("second")})
				is.Equal(do(), "second")
				x.handle(&packet.Packet{Kind: kind, Flow: x.ID(), Request: 99, Ticket: []byte(first)})
				is.Equal(do(), "second")
				is.Equal(w.service.count(packet.KindConfirm), 3)
			})
		})
	}
}

// TestFeedEnd guards against a feed that hides why it ended, and one that ends though a refusal is temporary.
func TestFeedEnd(t *testing.T) {
	inWorld(t, func(is *is.I, w *world, x *Flow) {
		d, err := x.Subscribe(context.Background(), "feed", 0)
		is.NoErr(err)
		_, err = x.Subscribe(context.Background(), "feed", 0)
		var subscribed *SubscribedError
		is.True(errors.As(err, &subscribed))
		x.handle(&packet.Packet{Kind: packet.KindNotRun, Flow: x.ID(), Reason: packet.ReasonNoEndpoint})
		item, err := d.Next(context.Background())
		is.NoErr(err)
		is.Equal(item.Sequence, uint64(1))
		w.service.loseFeed(x.ID())
		x.handle(&packet.Packet{Kind: packet.KindNotRun, Flow: x.ID(), Reason: packet.ReasonBadTicket})
		for err == nil {
			_, err = d.Next(context.Background())
		}
		is.Equal(reasonIn(err), packet.ReasonBadTicket)
	})
}

// TestAnswersOfTwoRuns guards against an answer mixed from two runs of an idempotent request, and against asking for
// ever for segments of a run whose owner is gone.
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
	is.Equal(state, segmentWhole)
	is.Equal(string(answer), "other")
	_, state = a.add(&packet.Packet{Segment: 1, Segments: 1, Size: 1, Payload: []byte{1}})
	is.Equal(state, segmentInvalid)
}
