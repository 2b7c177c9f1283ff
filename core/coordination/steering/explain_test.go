package steering_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// keyOf returns the key of the flow that the harness opens next.
func (w *harness) keyOf(to netip.AddrPort) steering.FlowKey {
	client := netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), w.ports+1)
	return steering.FlowKey{Client: client, Service: to}
}

// explained returns the candidate of an endpoint.
func explained(x steering.Explanation, id string) steering.Candidate {
	i := slices.IndexFunc(x.Candidates, func(c steering.Candidate) bool { return c.Endpoint == id })
	if i < 0 {
		return steering.Candidate{}
	}
	return x.Candidates[i]
}

// TestExplainedVerdicts guards against explanations that name another verdict, reason or endpoint than the next packet gets.
func TestExplainedVerdicts(t *testing.T) {
	two := func() *harness { return newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2")) }
	cold := func(domains ...string) func() *harness {
		return func() *harness {
			s := newColdSite(2, 2, 1)
			s.chill(func(e *directory.Endpoint) bool { return slices.Contains(domains, e.FailureDomain) })
			return s.balancers[0]
		}
	}
	tests := map[string]struct {
		new    func() *harness
		to     netip.AddrPort
		reason steering.Reason
		held   bool
	}{
		"own domain":    {new: two, to: feedAddress},
		"no route":      {new: func() *harness { w := two(); w.Confirm(w.now); return w }, to: unroutedAddress, reason: steering.ReasonNoRoute},
		"no fresh view": {new: two, to: unroutedAddress, reason: steering.ReasonNoRoute},
		"route removed": {new: func() *harness {
			w := two()
			w.former = map[netip.AddrPort][]string{unroutedAddress: {"feed"}}
			w.publish()
			return w
		}, to: unroutedAddress, reason: steering.ReasonRouteRemoved},
		"no endpoint":   {new: func() *harness { return newHarness() }, to: feedAddress, reason: steering.ReasonNoEndpoint},
		"own evacuated": {new: func() *harness { w := two(); w.publishEvacuated("attiki-1"); return w }, to: feedAddress},
		"all evacuated": {new: func() *harness { w := two(); w.publishEvacuated("attiki-1", "attiki-2"); return w },
			to: feedAddress, reason: steering.ReasonEvacuated},
		"own cold": {new: cold("attiki-1"), to: feedAddress},
		"all cold": {new: cold("attiki-1", "attiki-2"), to: feedAddress, reason: steering.ReasonColdLimit},
		"no room": {new: func() *harness { w := newSettledHarness(4); w.reportRequests(80); return w },
			to: feedAddress, reason: steering.ReasonNoRoom},
		"suspect": {new: func() *harness {
			w := two()
			f, _ := w.open(feedAddress)
			w.advance(200 * time.Millisecond)
			w.repeat(f)
			return w
		}, to: feedAddress},
		"not ready": {new: func() *harness {
			w := two()
			w.Forwarder = steering.New(testConfig, recorder{}, nil)
			return w
		}, to: feedAddress, reason: steering.ReasonNotReady, held: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := c.new()
			x := w.Explain(w.now, w.keyOf(c.to))
			_, d := w.open(c.to)
			is.Equal(x.Verdict, d.Verdict)
			is.Equal(x.Reason, d.Reason)
			is.Equal(x.Reason, c.reason)
			is.Equal(x.Verdict == steering.Hold, c.held)
			is.Equal(x.Version, d.Version)
			is.True(x.Rule != "")
			if d.Verdict == steering.Forward {
				is.Equal(explained(x, d.Endpoint.ID).Likelihood, 1.0) // there is only one choice
			}
		})
	}
}

// TestExplainChangesNothing guards against questions of operators that change where later flows go: two balancers with the
// same random source, of which one is asked before every third flow, must decide alike and report the same events and loads.
func TestExplainChangesNothing(t *testing.T) {
	is := is.New(t)
	balancers := []*harness{newRoomHarness(40), newRoomHarness(40)}
	for _, w := range balancers {
		w.SetLearnsSpeed(true)
	}
	refused, suspects := 0, 0
	for i := range 1500 {
		var decisions, reports, events []string
		for n, w := range balancers {
			w.advance(10 * time.Millisecond)
			if i%20 == 0 {
				w.reportRequests(i)
			}
			if n == 1 && i%3 == 0 {
				w.Explain(w.now, w.keyOf(feedAddress))
			}
			f, d := w.open(feedAddress)
			if d.Verdict == steering.Forward && i%7 > 0 { // the others are never confirmed, which makes endpoints suspect
				w.confirm(f)
				w.request(f)
				w.answer(f)
			}
			id := ""
			if d.Endpoint != nil {
				id = d.Endpoint.ID
			}
			decisions = append(decisions, fmt.Sprint(d.Verdict, d.Reason, id, d.Load))
			reports = append(reports, fmt.Sprint(*w.Report(w.now)))
			list := w.HealthEvents()
			events = append(events, fmt.Sprint(list))
			if d.Reason == steering.ReasonNoRoom {
				refused++
			}
			suspects += w.SuspectEndpoints(w.now)
		}
		is.Equal(decisions[0], decisions[1])
		is.Equal(reports[0], reports[1])
		is.Equal(events[0], events[1])
	}
	is.True(refused > 0 && suspects > 0) // otherwise the run shows little
}

// TestExplainedColdLimit guards against questions that use up the flows of a cold endpoint, and against a candidate that
// looks usable while its limit is reached.
func TestExplainedColdLimit(t *testing.T) {
	is := is.New(t)
	s := newColdSite(1, 1, 1)
	w := s.balancers[0]
	w.SetColdLimit(w.now, steering.ColdLimit{Overshoot: 1.5, Slack: 5})
	s.chill(func(*directory.Endpoint) bool { return true })
	for range 25 {
		w.advance(100 * time.Millisecond)
	}
	opened := 0
	for range coldBound {
		x := w.Explain(w.now, w.keyOf(feedAddress))
		_, d := w.open(feedAddress)
		is.Equal(x.Reason, d.Reason)
		c := explained(x, "i-0-0")
		is.True(c.ColdFor > 0)
		is.Equal(c.MayOpen, d.Verdict == steering.Forward)
		if c.MayOpen {
			opened++
		}
	}
	is.Equal(opened, coldBound/3) // the part of one owner
}

// TestExplainedCandidates guards against answers that grow with the service, and likelihoods that do not add up.
func TestExplainedCandidates(t *testing.T) {
	is := is.New(t)
	w := newRoomHarness(1000)
	x := w.Explain(w.now, w.keyOf(feedAddress))
	is.Equal([]int{len(x.Candidates), x.Others}, []int{20, 980})
	is.Equal(x.Domains, []steering.DomainState{{
		Name: "attiki-1", IsOwn: true, Load: x.Domains[0].Load, Endpoints: 1000, Eligible: 1000,
	}})
	w = newRoomHarness(4)
	x = w.Explain(w.now, w.keyOf(feedAddress))
	sum := 0.0
	for i, c := range x.Candidates {
		sum += c.Likelihood
		is.True(i == 0 || x.Candidates[i-1].Cost <= c.Cost)
	}
	is.True(sum > 0.999 && sum < 1.001)
}
