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
			is.Equal(d.Verdict, steering.Drop) // the endpoint may have opened the flow: a reset would break it
			is.Equal(d.Reason, steering.ReasonEvacuated)
			_, d = w.open(feedAddress)
			is.Equal(d.Verdict, steering.Reset) // a flow that no endpoint can have opened
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

// TestEvacuatedThirdSpreads guards against endpoints that drown while a third of a fleet is evacuated: all balancers there
// know the loads of the other failure domains from reports of 2 of them in each second that are up to 3 s old, and would
// send all of their flows to the domain that looked less loaded then. No domain may get more than SpillFactor times the
// flows for each slot of another, beyond which flows leave a domain, and no endpoint more than twice the mean: while the mean
// endpoint has a request for each of its 2 slots, that one has as many waiting, and its queue of 8 still has room.
func TestEvacuatedThirdSpreads(t *testing.T) {
	const (
		balancersEach, endpointsEach = 12, 10
		delay, step                  = 3 * time.Second, 200 * time.Millisecond
		settling                     = 8 * time.Second
	)
	is := is.New(t)
	names := []string{"attiki-1", "attiki-2", "attiki-3"}
	var endpoints []*directory.Endpoint
	for i := range len(names) * endpointsEach {
		endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%d", i), names[i%len(names)]))
	}
	f := newFleet(0, endpoints...)
	for i := range len(names) * balancersEach {
		w := newHarness(endpoints...)
		config := testConfig
		config.FailureDomain = names[i%len(names)]
		w.Forwarder = steering.New(config, recorder{}, rand.New(rand.NewPCG(uint64(i), 7)))
		w.publishEvacuated(names[0])
		f.balancers = append(f.balancers, w)
	}
	type sentReport struct {
		arrivesAt time.Time
		from      int
		*steering.Report
	}
	var sent []sentReport
	f.report = func(from int) { // and deliver the reports that arrive now, each to 8 balancers of the domain and 2 others
		now := f.balancers[from].now
		r := f.balancers[from].Report(now)
		r.Sender = member.Incarnation(from + 1)
		sent = append(sent, sentReport{now.Add(delay), from, r})
		for ; !sent[0].arrivesAt.After(now); sent = sent[1:] {
			origin := steering.Origin{FailureDomain: names[sent[0].from%len(names)], Members: balancersEach}
			left := map[bool]int{true: 8, false: 2}
			for _, to := range f.random.Perm(len(f.balancers)) {
				isOwn := to%len(names) == sent[0].from%len(names)
				if to != sent[0].from && left[isOwn] > 0 {
					left[isOwn]--
					f.balancers[to].ApplyReport(f.balancers[to].now, sent[0].Report, origin)
				}
			}
		}
	}
	f.run(t, settling, 600, 2*time.Second)
	worstDomain, worstEndpoint := 0.0, 0.0
	for range int(12 * time.Second / step) {
		f.run(t, step, 600, 2*time.Second)
		flows := map[string]float64{}
		for _, e := range endpoints {
			flows[e.FailureDomain] += float64(f.flows[e.ID])
		}
		a, b := flows[names[1]], flows[names[2]]
		worstDomain = max(worstDomain, a/b, b/a)
		for _, e := range endpoints {
			worstEndpoint = max(worstEndpoint, float64(f.flows[e.ID])*2*endpointsEach/(a+b))
			is.True(e.FailureDomain != names[0] || f.opened[e.ID] == 0)
		}
	}
	t.Logf("the fuller domain had at most %.2f times the flows of the other, the hottest endpoint %.2f times the mean",
		worstDomain, worstEndpoint)
	is.True(worstDomain <= steering.SpillFactor)
	is.True(worstEndpoint <= 2)
}
