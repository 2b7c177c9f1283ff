package steering_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

// publishEvacuated publishes a snapshot in which failure domains are evacuated.
func (w *harness) publishEvacuated(domains ...string) {
	w.version++
	c := &directory.Configuration{Version: w.version, Routes: w.routes, IdleTimeout: w.idle}
	s := directory.NewSnapshot(c, w.former, w.endpoints)
	s.Evacuated = map[string]bool{}
	for _, name := range domains {
		s.Evacuated[name] = true
	}
	w.SetSnapshot(w.now, s)
}

// TestRepeatedOpeningLeavesEvacuated guards against a flow that opens in an evacuated failure domain, because its first
// opening packet went there before and the client sends it again.
func TestRepeatedOpeningLeavesEvacuated(t *testing.T) {
	for name, after := range map[string]time.Duration{"at once": 0, "retransmission": 200 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2"))
			f, d := w.open(feedAddress)
			is.Equal(d.Endpoint.ID, "i-1")
			w.openEstablished(t) // so that the endpoint answers
			w.publishEvacuated("attiki-1")
			w.advance(after)
			is.Equal(w.repeat(f).Endpoint.ID, "i-2")
			w.publishEvacuated("attiki-1", "attiki-2")
			w.advance(after)
			d = w.repeat(f)
			is.Equal(d.Verdict, steering.Reset)
			is.Equal(d.Reason, steering.ReasonEvacuated)
		})
	}
}

// TestEvacuationKeepsOpenFlows guards against flows that break because the failure domain of their endpoint is evacuated.
func TestEvacuationKeepsOpenFlows(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2"))
	f := w.openEstablished(t)
	w.publishEvacuated("attiki-1", "attiki-2")
	d := w.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(d.Endpoint.ID, f.endpoint.ID)
}

// TestUnknownEvacuationsHold guards against flows that open in a failure domain of which the balancer does not know yet
// whether it is evacuated. Packets of open flows must go on.
func TestUnknownEvacuationsHold(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"))
	f := w.openEstablished(t)
	c := &directory.Configuration{Version: 9, Routes: w.routes}
	s := directory.NewSnapshot(c, nil, w.endpoints)
	s.IsUnsure = true
	w.SetSnapshot(w.now, s)
	_, d := w.open(feedAddress)
	is.Equal(d.Verdict, steering.Hold)
	is.Equal(w.request(f).Verdict, steering.Forward)
}

// evacuatedFleet is a fleet of three failure domains of which the first one is evacuated.
type evacuatedFleet struct {
	balancers []*harness
	domains   []string // of the balancers
	flows     map[string]int
	open      []fleetFlow
	random    *rand.Rand
	reports   []sentReport
}

type sentReport struct {
	arrivesAt time.Time
	from      int
	report    *steering.Report
}

// TestEvacuatedThirdSpreads guards against endpoints that drown while a third of a fleet is evacuated: all balancers there
// know the loads of the other failure domains from reports of 2 of them in each second that are up to 3 s old, and would
// send all of their flows to the domain that looked less loaded then. No domain may get more than SpillFactor times the
// flows for each slot of another, beyond which flows leave a domain, and no endpoint more than twice the mean: while the mean
// endpoint has a request for each of its 2 slots, that one has as many waiting, and its queue of 8 still has room.
func TestEvacuatedThirdSpreads(t *testing.T) {
	const (
		balancersEach, endpointsEach = 12, 10
		delay, step                  = 3 * time.Second, 20 * time.Millisecond
		perSecond                    = 600
		life                         = 2 * time.Second
	)
	is := is.New(t)
	f := &evacuatedFleet{flows: map[string]int{}, random: rand.New(rand.NewPCG(5, 6))}
	var endpoints []*directory.Endpoint
	names := []string{"attiki-1", "attiki-2", "attiki-3"}
	for d, domain := range names {
		for i := range endpointsEach {
			endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%d%d", d+1, i), domain))
		}
	}
	for i := range len(names) * balancersEach {
		w := newHarness(endpoints...)
		config := testConfig
		config.FailureDomain = names[i%len(names)]
		w.Forwarder = steering.New(config, recorder{}, rand.New(rand.NewPCG(uint64(i), 7)))
		w.publishEvacuated(names[0])
		f.balancers, f.domains = append(f.balancers, w), append(f.domains, config.FailureDomain)
	}
	worstDomain, worstEndpoint := 0.0, 0.0
	for n := range int(20 * time.Second / step) {
		for i, w := range f.balancers {
			w.advance(step)
			if n%50 == i {
				r := w.Report(w.now)
				r.Sender = member.Incarnation(i + 1)
				f.reports = append(f.reports, sentReport{w.now.Add(delay), i, r})
			}
		}
		f.deliver(balancersEach)
		for range int(perSecond * step.Seconds()) {
			w := f.balancers[f.random.IntN(len(f.balancers))]
			g := w.openEstablished(t)
			is.True(g.endpoint.FailureDomain != names[0])
			f.flows[g.endpoint.ID]++
			f.flows[g.endpoint.FailureDomain]++
			f.open = append(f.open, fleetFlow{w, g})
		}
		f.end(step.Seconds() / life.Seconds())
		if n < int(8*time.Second/step) || n%10 != 0 {
			continue // the loads have not settled yet
		}
		a, b := float64(f.flows[names[1]]), float64(f.flows[names[2]])
		worstDomain = max(worstDomain, max(a, b)/min(a, b))
		for _, e := range endpoints {
			worstEndpoint = max(worstEndpoint, float64(f.flows[e.ID])*2*endpointsEach/(a+b))
		}
	}
	t.Logf("the fuller domain had at most %.2f times the flows of the other, the hottest endpoint %.2f times the mean",
		worstDomain, worstEndpoint)
	is.True(worstDomain <= steering.SpillFactor)
	is.True(worstEndpoint <= 2)
}

// deliver delivers the reports that arrive now, each to 8 balancers of the sender's failure domain and 2 others.
func (f *evacuatedFleet) deliver(members int) {
	for len(f.reports) > 0 && !f.reports[0].arrivesAt.After(f.balancers[0].now) {
		r := f.reports[0]
		f.reports = f.reports[1:]
		own, others := 8, 2
		for _, to := range f.random.Perm(len(f.balancers)) {
			isOwn := f.domains[to] == f.domains[r.from]
			if to == r.from || isOwn && own == 0 || !isOwn && others == 0 {
				continue
			}
			if isOwn {
				own--
			} else {
				others--
			}
			w := f.balancers[to]
			w.ApplyReport(w.now, r.report, steering.Origin{FailureDomain: f.domains[r.from], Members: members})
		}
	}
}

// end ends each flow with a probability.
func (f *evacuatedFleet) end(probability float64) {
	keep := f.open[:0]
	for _, o := range f.open {
		if f.random.Float64() < probability {
			o.balancer.close(o.flow)
			f.flows[o.flow.endpoint.ID]--
			f.flows[o.flow.endpoint.FailureDomain]--
			continue
		}
		keep = append(keep, o)
		o.balancer.request(o.flow)
		o.balancer.answer(o.flow)
	}
	f.open = keep
}
