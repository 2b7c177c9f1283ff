package steering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// TestReportedFlows guards against several balancers that each send their flows to the same endpoint because they count
// only their own.
func TestReportedFlows(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	w.idle = time.Hour
	w.publish()
	r := &steering.Report{Sender: 7, Loads: []steering.EndpointLoad{{Cookie: directory.Cookie("i-1", 0), Flows: 10}}}
	w.ApplyReport(w.now, r, ownDomain)
	w.ApplyReport(w.now, r, ownDomain) // the newest report replaces the one before
	next := func() string {
		w.advance(2 * time.Second) // flows placed within a short time would count for the other balancer too
		w.ApplyReport(w.now, r, ownDomain)
		f := w.openEstablished(t)
		w.request(f)
		w.answer(f)
		return f.endpoint.ID
	}
	for range 7 {
		is.Equal(next(), "i-2")
	}
	counts := map[string]int{}
	for range 20 {
		counts[next()]++
	}
	is.True(counts["i-1"] >= 9 && counts["i-1"] <= 11)

	for range 12 {
		w.advance(time.Second) // the last report expires
	}
	is.Equal(w.openEstablished(t).endpoint.ID, "i-1")
}

// TestReportedSilence guards against flows that wait on an endpoint which another balancer reports as unresponsive, and
// against reports that override what this balancer observes itself.
func TestReportedSilence(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	silent := &steering.Report{Sender: 7, Silences: []uint32{directory.Cookie("i-1", 0)}}
	w.ApplyReport(w.now, silent, ownDomain)
	for range 10 {
		_, d := w.open(feedAddress)
		is.Equal(d.Endpoint.ID, "i-2")
	}
	w.advance(5 * time.Second)
	var f *flow
	for f == nil || f.endpoint.ID != "i-1" {
		f = w.openEstablished(t)
	}
	w.ApplyReport(w.now, silent, ownDomain) // it has answered here just now
	counts := map[string]int{}
	for range 10 {
		counts[w.openEstablished(t).endpoint.ID]++
	}
	is.True(counts["i-1"] > 0)
}

// TestReport guards against reports that omit tracked flows, those that are still opening included.
func TestReport(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	for range 4 {
		w.openEstablished(t)
	}
	w.open(feedAddress)
	flows := 0
	for _, l := range w.Report(w.now).Loads {
		flows += l.Flows
	}
	is.Equal(flows, 5)
}
