package steering_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

// speedWorld simulates clients, balancers of one failure domain and endpoints with two slots and a queue of 8 requests,
// in steps of 1 ms. The work of a request varies by a factor of several, and 3 % have seven times the mean.
type speedWorld struct {
	balancers []*harness
	config    steering.Config
	random    *rand.Rand
	now       time.Duration
	events    map[time.Duration][]func()
	perSecond float64            // new flows of all balancers
	requests  int                // of a flow, one every 300 ms
	factor    map[string]float64 // of the work, by endpoint; 1 if missing
	linkDelay time.Duration      // of the way between the clients and balancer 0, in addition
	busy      map[string]int
	queues    map[string][]func()
	opened    map[string]int
	flows     map[string]int
	times     []time.Duration // responses since the last reset
	rejected  int
	budget    []float64 // bytes that each balancer may still use for reports of fresh speeds
	lost      float64   // part of the reports that is lost
}

const (
	meanWork   = 29 * time.Millisecond
	clientTrip = 6 * time.Millisecond // from a balancer over endpoint and client back to the balancer
)

func newSpeedWorld(balancers, endpoints int, learns bool) *speedWorld {
	w := &speedWorld{
		config: testConfig, random: rand.New(rand.NewPCG(11, 12)), events: map[time.Duration][]func(){}, requests: 1,
		perSecond: 10 * float64(endpoints), factor: map[string]float64{}, busy: map[string]int{},
		queues: map[string][]func(){}, opened: map[string]int{}, flows: map[string]int{}, budget: make([]float64, balancers),
	}
	w.config.LearnsSpeed = learns
	var list []*directory.Endpoint
	for i := range endpoints {
		e := endpoint(fmt.Sprintf("i-%d", i), "attiki-1")
		e.Slots = 2
		list = append(list, e)
	}
	for i := range balancers {
		h := newHarness(list...)
		h.Forwarder = steering.New(w.config, recorder{}, rand.New(rand.NewPCG(uint64(i), 13)))
		h.publish()
		w.balancers = append(w.balancers, h)
	}
	return w
}

func (w *speedWorld) at(d time.Duration, do func()) {
	t := w.now + d.Truncate(time.Millisecond)
	w.events[t] = append(w.events[t], do)
}

func (w *speedWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += time.Millisecond {
		for i, h := range w.balancers {
			h.now = start.Add(w.now)
			if at := w.now / time.Millisecond; at%100 == time.Duration(i%100) {
				h.advance(0)
				w.report(i)
			}
		}
		for n := w.perSecond / 1000; n > 0 && w.random.Float64() < n; n-- {
			w.open()
		}
		for list := w.events[w.now]; len(list) > 0; list = w.events[w.now] {
			delete(w.events, w.now)
			for _, do := range list {
				do()
			}
		}
	}
}

// report sends what a balancer reports at this time: a full report each second to 8 others, and fresh speeds within the
// budget, as io/transport/direct does.
func (w *speedWorld) report(i int) {
	h, n := w.balancers[i], len(w.balancers)
	send := func(r *steering.Report, receivers int) {
		r.Sender = member.Incarnation(i + 1)
		for _, to := range w.random.Perm(n)[:min(receivers, n)] {
			if to != i && w.random.Float64() >= w.lost {
				w.balancers[to].ApplyReport(h.now, r, steering.Origin{FailureDomain: "attiki-1", Members: n})
			}
		}
	}
	tick := int(w.now / (100 * time.Millisecond))
	if tick%10 == i/10%10 {
		send(h.Report(h.now), 8)
	}
	w.budget[i] = min(w.budget[i]+204.8, 4096)
	if tick%3 == 0 && n > 1 {
		if r := h.SpeedReport(h.now); r != nil {
			size := 40 + 12*float64(len(r.Speeds))
			receivers := min(int(w.budget[i]/size), n-1)
			w.budget[i] -= size * float64(receivers)
			send(r, receivers)
		}
	}
}

func (w *speedWorld) open() {
	i := w.random.IntN(len(w.balancers))
	h := w.balancers[i]
	f, d := h.open(feedAddress)
	if d.Verdict != steering.Forward {
		return
	}
	trip := clientTrip
	if i == 0 {
		trip += w.linkDelay
	}
	w.opened[f.endpoint.ID]++
	w.flows[f.endpoint.ID]++
	w.at(trip, func() {
		h.confirm(f)
		w.request(h, f, trip, 1)
	})
}

// request sends one request of a flow, and the next one or the end of the flow after its answer.
func (w *speedWorld) request(h *harness, f *flow, trip time.Duration, number int) {
	id, sentAt := f.endpoint.ID, w.now
	h.request(f)
	answer := func() {
		w.at(trip, func() {
			h.answer(f)
			w.times = append(w.times, w.now-sentAt)
			if number >= w.requests {
				h.close(f)
				w.flows[id]--
				return
			}
			w.at(max(300*time.Millisecond-(w.now-sentAt), 0), func() { w.request(h, f, trip, number+1) })
		})
	}
	serve := func() {
		w.at(w.work(id), func() {
			answer()
			if len(w.queues[id]) == 0 {
				w.busy[id]--
				return
			}
			next := w.queues[id][0]
			w.queues[id] = w.queues[id][1:]
			next()
		})
	}
	switch {
	case w.busy[id] < 2:
		w.busy[id]++
		serve()
	case len(w.queues[id]) < 8:
		w.queues[id] = append(w.queues[id], serve)
	default:
		w.rejected++
		h.close(f)
		w.flows[id]--
	}
}

func (w *speedWorld) work(id string) time.Duration {
	factor := max(w.factor[id], 1)
	if w.random.Float64() < 0.03 {
		factor *= 7
	} else {
		factor *= math.Exp(0.6*w.random.NormFloat64() - 0.18)
	}
	return max(time.Duration(factor*float64(meanWork)), time.Millisecond)
}

// setSlow makes the first n endpoints slower by a factor.
func (w *speedWorld) setSlow(n int, factor float64) {
	for i := range n {
		w.factor[fmt.Sprintf("i-%d", i)] = factor
	}
}

// share returns the part of its usual share of new flows that each of the first n endpoints got on average during d.
func (w *speedWorld) share(n int, d time.Duration) float64 {
	clear(w.opened)
	w.run(d)
	slow, all := 0, 0
	for id, k := range w.opened {
		all += k
		if w.isFirst(id, n) {
			slow += k
		}
	}
	return float64(slow) / float64(n) * float64(len(w.balancers[0].endpoints)) / float64(all)
}

func (w *speedWorld) isFirst(id string, n int) bool {
	return slices.ContainsFunc(w.balancers[0].endpoints[:n], func(e *directory.Endpoint) bool { return e.ID == id })
}

func (w *speedWorld) quantile(q float64) time.Duration {
	slices.Sort(w.times)
	return w.times[int(q*float64(len(w.times)-1))]
}

func (w *speedWorld) slowEndpoints() int {
	n := 0
	for _, h := range w.balancers {
		n = max(n, h.SlowEndpoints())
	}
	return n
}

// TestSlowEndpoints guards against servers that get their full share of new flows while they are slower than others, at
// each number of balancers: 2 s after an endpoint has become five times slower it gets less than half of its share, and
// 5 s after its recovery more than 80 %.
func TestSlowEndpoints(t *testing.T) {
	for _, balancers := range []int{1, 8, 21, 63} {
		for _, requests := range []int{1, 4} {
			t.Run(fmt.Sprintf("%d balancers, %d requests in a flow", balancers, requests), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				w := newSpeedWorld(balancers, 40, true)
				w.requests, w.perSecond = requests, w.perSecond/float64(requests)
				w.run(8 * time.Second)
				w.setSlow(8, 5)
				w.run(2 * time.Second)
				slow := w.share(8, 3*time.Second)
				w.setSlow(8, 1)
				w.run(5 * time.Second)
				// The shares of flows that last over a second differ by a third in 3 s, with equal endpoints and learning off too.
				recovered := w.share(8, time.Duration(min(3*requests, 9))*time.Second)
				t.Logf("%d balancers, %d requests: share of a slow endpoint %.2f, after recovery %.2f",
					balancers, requests, slow, recovered)
				is.True(slow < 0.5)
				is.True(recovered > 0.8)
			})
		}
	}
}

// TestClosedLoop guards against learning that makes responses slower than without it while a fifth of the endpoints are
// four times slower.
func TestClosedLoop(t *testing.T) {
	for _, balancers := range []int{8, 63, 300} {
		t.Run(fmt.Sprint(balancers, " balancers"), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p99 := map[bool]time.Duration{}
			for _, learns := range []bool{false, true} {
				w := newSpeedWorld(balancers, 40, learns)
				w.run(max(8*time.Second, time.Duration(balancers)*75*time.Millisecond))
				w.setSlow(8, 4)
				w.times, w.rejected = nil, 0
				shift, sum := time.Duration(0), 0.0
				for i := range 56 {
					x := w.share(8, 250*time.Millisecond)
					if x < 0.5 && shift == 0 {
						shift = time.Duration(i+1) * 250 * time.Millisecond
					}
					sum += x / 56
				}
				p99[learns] = w.quantile(0.99)
				t.Logf("%d balancers, learns %v: first shift after %v (0s: never), share %.2f, p50 %v, p99 %v, %d rejected",
					balancers, learns, shift, sum, w.quantile(0.5), p99[learns], w.rejected)
			}
			is.True(p99[true] < p99[false])
		})
	}
}

// TestSpeedCases guards against a speed that does not follow from what an endpoint does. In each case the share of the
// first two of 20 endpoints is measured.
func TestSpeedCases(t *testing.T) {
	tests := map[string]struct {
		run      func(w *speedWorld)
		min, max float64 // of the share
		maxSlow  int     // most endpoints that a balancer takes for slow afterwards
	}{
		"slow from the start": {func(w *speedWorld) { w.setSlow(2, 5); w.run(10 * time.Second) }, 0, 0.5, 4},
		"slow long before full": {func(w *speedWorld) {
			w.perSecond /= 3
			w.run(10 * time.Second)
			w.setSlow(2, 5)
			w.run(5 * time.Second)
		}, 0, 0.5, 4},
		"slow for ever": {func(w *speedWorld) {
			w.run(8 * time.Second)
			w.setSlow(2, 5)
			w.run(30 * time.Second)
		}, 0.05, 0.5, 4}, // some flows, which would show a recovery
		"slow and recovered": {func(w *speedWorld) {
			w.run(8 * time.Second)
			w.setSlow(2, 5)
			w.run(5 * time.Second)
			w.setSlow(2, 1)
			w.run(5 * time.Second)
		}, 0.8, 1.25, 2},
		"restarted under its ID": {func(w *speedWorld) {
			w.run(8 * time.Second)
			w.setSlow(2, 5)
			w.run(5 * time.Second)
			w.setSlow(2, 1)
			for _, h := range w.balancers {
				h.restart("i-0")
				h.restart("i-1")
			}
		}, 0.8, 1.25, 2},
		"all slow at once": {func(w *speedWorld) {
			w.perSecond /= 2
			w.run(8 * time.Second)
			w.setSlow(20, 4)
			w.run(2 * time.Second)
		}, 0.75, 1.25, 2},
		// At 70 % of the slots a request of seven times the mean makes its endpoint slow for others too, for a moment.
		"all slow at once, heavy load": {func(w *speedWorld) {
			w.run(8 * time.Second)
			w.setSlow(20, 4)
			w.run(2 * time.Second)
		}, 0.75, 1.25, 20},
		"long answers": {func(w *speedWorld) { w.run(12 * time.Second) }, 0.75, 1.25, 2},
		"one balancer with a slow link": {func(w *speedWorld) {
			w.run(8 * time.Second)
			w.linkDelay = 150 * time.Millisecond
			w.run(2 * time.Second)
		}, 0.75, 1.25, 2},
		"half of the reports lost": {func(w *speedWorld) {
			w.lost = 0.5
			w.run(8 * time.Second)
			w.setSlow(2, 5)
			w.run(2 * time.Second)
		}, 0, 0.5, 4},
		"cold and as fast as others": {func(w *speedWorld) {
			for _, h := range w.balancers {
				for i, e := range h.endpoints[:2] {
					cold := *e
					cold.WarmAt = start.Add(time.Hour)
					h.endpoints = slices.Clone(h.endpoints)
					h.endpoints[i] = &cold
				}
				h.publish()
			}
			w.run(8 * time.Second)
		}, 0.75, 1.25, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newSpeedWorld(8, 20, true)
			c.run(w)
			share := w.share(2, 3*time.Second)
			t.Logf("%s: share %.2f, slow endpoints %d", name, share, w.slowEndpoints())
			is := is.New(t)
			is.True(share >= c.min && share <= c.max)
			is.True(w.slowEndpoints() <= c.maxSlow)
		})
	}
}

// TestEqualEndpointsStayEqual guards against loads that oscillate because queueing is taken for slowness: with equal
// endpoints, learning keeps the share of each within 25 % of the mean, and does not make the spread worse than without.
func TestEqualEndpointsStayEqual(t *testing.T) {
	for name, perSecond := range map[string]float64{"light load": 200, "heavy load": 800} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			spread := map[bool]float64{}
			for _, learns := range []bool{false, true} {
				w := newSpeedWorld(8, 20, learns)
				w.perSecond = perSecond
				w.run(8 * time.Second)
				clear(w.opened)
				w.run(20 * time.Second)
				squares := 0.0
				for i := range 20 {
					x := 20 * float64(w.opened[fmt.Sprintf("i-%d", i)]) / (20 * perSecond)
					squares += (x - 1) * (x - 1)
					is.True(x > 0.75 && x < 1.25)
				}
				spread[learns] = math.Sqrt(squares / 20)
				t.Logf("%s, learns %v: standard deviation of the shares %.3f, p99 %v", name, learns, spread[learns], w.quantile(0.99))
			}
			is.True(spread[true] <= spread[false]+1/math.Sqrt(perSecond)) // the random deviation of 20 s of new flows
		})
	}
}

// TestFewSamples guards against an endpoint that counts as slow because of one long request.
func TestFewSamples(t *testing.T) {
	is := is.New(t)
	w := newSpeedWorld(1, 4, true)
	w.run(6 * time.Second)
	w.perSecond = 0
	w.run(12 * time.Second) // all samples are forgotten
	w.setSlow(4, 7)
	w.open()
	w.run(2 * time.Second)
	is.Equal(w.balancers[0].SlowEndpoints(), 0)
}

// TestSpeedReportsAreFirstHand guards against evidence that balancers repeat to each other for ever, and against reports
// from other failure domains, whose network paths differ.
func TestSpeedReportsAreFirstHand(t *testing.T) {
	is := is.New(t)
	w := newSpeedWorld(1, 4, true)
	h := w.balancers[0]
	r := &steering.Report{Sender: 9, IsPartial: true, Speeds: []steering.EndpointSpeed{
		{Cookie: directory.Cookie("i-0", 0), Samples: 6, Ratio: 5}, {Cookie: directory.Cookie("i-1", 0), Samples: 6, Ratio: 1},
	}}
	for _, c := range []struct {
		from steering.Origin
		slow int
	}{{steering.Origin{FailureDomain: "attiki-2", Members: 2}, 0}, {ownDomain, 1}} {
		h.ApplyReport(h.now, r, c.from)
		h.advance(300 * time.Millisecond)
		is.Equal(h.SlowEndpoints(), c.slow)
	}
	is.Equal(len(h.Report(h.now).Speeds), 0)
	is.True(h.SpeedReport(h.now) == nil)
	h.advance(11 * time.Second) // the reports expire
	is.Equal(h.SlowEndpoints(), 0)
	events := h.HealthEvents()
	is.Equal(events[0].Event, steering.EndpointSlow)
	is.Equal(events[1].Event, steering.EndpointAtFullSpeed)
}

// TestSlowAndFailing guards against the product of speed and penalty, which would leave an endpoint that is slow and fails
// requests without flows: the lower of both counts.
func TestSlowAndFailing(t *testing.T) {
	is := is.New(t)
	w := newSpeedWorld(8, 20, true)
	w.run(8 * time.Second)
	w.setSlow(2, 40) // most answers come after the time in which a request must be answered
	w.run(10 * time.Second)
	is.True(w.share(2, 10*time.Second) > 0.01)
	w.setSlow(2, 1)
	w.run(12 * time.Second)
	is.True(w.share(2, 5*time.Second) > 0.7)
}
