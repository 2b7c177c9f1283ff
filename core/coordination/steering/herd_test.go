package steering_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

// fleet simulates several balancers of one failure domain that forward to the same endpoints and report to each other.
type fleet struct {
	balancers []*harness
	endpoints []*directory.Endpoint
	flows     map[string]int // open flows by endpoint
	opened    map[string]int // flows that were opened, by endpoint
	open      []fleetFlow
	random    *rand.Rand
	report    func(from int) // sends the report of a balancer to others
}

type fleetFlow struct {
	balancer *harness
	flow     *flow
}

func newFleet(balancers int, endpoints ...*directory.Endpoint) *fleet {
	f := &fleet{flows: map[string]int{}, opened: map[string]int{}, endpoints: endpoints, random: rand.New(rand.NewPCG(3, 4))}
	f.report = f.reportInDomain
	for i := range balancers {
		w := newHarness(endpoints...)
		w.Forwarder = steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(uint64(i), 9)))
		w.publish()
		f.balancers = append(f.balancers, w)
	}
	return f
}

// run advances the time in steps of 20 ms. Flows open at a rate over all balancers and end after life on average, and
// each balancer reports once a second to up to 8 others.
func (f *fleet) run(t *testing.T, d time.Duration, perSecond int, life time.Duration) {
	t.Helper()
	const step = 20 * time.Millisecond
	for range int(d / step) {
		for i, w := range f.balancers {
			w.advance(step)
			if w.now.Sub(start)/step%50 == time.Duration(i%50) {
				f.report(i)
			}
		}
		for range int(float64(perSecond) * step.Seconds()) {
			w := f.balancers[f.random.IntN(len(f.balancers))]
			g := w.openEstablished(t)
			f.flows[g.endpoint.ID]++
			f.opened[g.endpoint.ID]++
			f.open = append(f.open, fleetFlow{w, g})
		}
		keep := f.open[:0]
		for _, o := range f.open {
			if f.random.Float64() < step.Seconds()/life.Seconds() {
				o.balancer.close(o.flow)
				f.flows[o.flow.endpoint.ID]--
				continue
			}
			keep = append(keep, o)
			o.balancer.request(o.flow)
			o.balancer.answer(o.flow)
		}
		f.open = keep
	}
}

// reportInDomain sends a report to balancers of the same failure domain at once.
func (f *fleet) reportInDomain(from int) {
	r := f.balancers[from].Report(f.balancers[from].now)
	r.Sender = member.Incarnation(from + 1)
	origin := steering.Origin{FailureDomain: "attiki-1", Members: len(f.balancers)}
	for _, to := range f.random.Perm(len(f.balancers))[:min(8, len(f.balancers))] {
		if to != from {
			f.balancers[to].ApplyReport(f.balancers[to].now, r, origin)
		}
	}
}

func (f *fleet) mean() float64 { return float64(len(f.open)) / float64(len(f.endpoints)) }

// TestHerdOnNewEndpoint guards against a new endpoint that gets much more than its share of flows: all balancers see
// that it has no flows before the others report the flows that they open there. This happens in a release under load,
// when endpoints are replaced one after the other.
func TestHerdOnNewEndpoint(t *testing.T) {
	for name, balancers := range map[string]int{"3 balancers": 3, "24 balancers": 24} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var endpoints []*directory.Endpoint
			for _, id := range []string{"i-1", "i-2", "i-3", "i-4", "i-5", "i-6", "i-7", "i-8"} {
				endpoints = append(endpoints, endpoint(id, "attiki-1"))
			}
			f := newFleet(balancers, endpoints...)
			f.run(t, 12*time.Second, 200, 2*time.Second)
			f.endpoints = append(f.endpoints, endpoint("i-9", "attiki-1"))
			for _, w := range f.balancers {
				w.endpoints = f.endpoints
				w.publish()
			}
			worst := 0.0
			for range 40 {
				f.run(t, 100*time.Millisecond, 200, 2*time.Second)
				worst = max(worst, float64(f.flows["i-9"])/f.mean())
			}
			t.Logf("new endpoint: at most %.2f times the mean number of flows", worst)
			is.True(worst < 1.5)
			f.run(t, 4*time.Second, 200, 2*time.Second)
			is.True(float64(f.flows["i-9"]) > 0.6*f.mean()) // it approaches its share
		})
	}
}
