package steering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// newSpillHarness returns a harness with two endpoints in the own failure domain and two in another one, whose load
// other balancers report.
func newSpillHarness() *harness {
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), endpoint("i-3", "attiki-2"), endpoint("i-4", "attiki-2"))
	w.idle = time.Hour
	w.publish()
	return w
}

// reportOtherDomain delivers a report from the other failure domain with the given flows on each of its endpoints.
func (w *harness) reportOtherDomain(flows int) {
	w.ApplyReport(w.now, &steering.Report{Sender: 9, Loads: []steering.EndpointLoad{
		{Cookie: directory.Cookie("i-3", 0), Flows: flows}, {Cookie: directory.Cookie("i-4", 0), Flows: flows},
	}}, steering.Origin{FailureDomain: "attiki-2", Members: 1})
}

// TestBurstInOneDomain guards against overload of one failure domain, after a burst of flows or a loss of endpoints
// there, while others have free capacity: some flows go to the others instead of being refused, and return to the own
// domain afterwards.
func TestBurstInOneDomain(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	counts := map[string]int{}
	for range 200 {
		w.reportOtherDomain(12)
		counts[w.openEstablished(t).endpoint.FailureDomain]++
		w.advance(50 * time.Millisecond)
	}
	// 12 flows on 3 slots are a load of 4. The own domain gets flows up to SpillFactor times that plus SpillMargin.
	near := float64(counts["attiki-1"]) / 6
	far := float64(counts["attiki-2"]+24) / 6
	t.Logf("%.1f flows for each slot in the own domain, %.1f in the other one", near, far)
	is.True(near > far)                                               // the own domain is preferred
	is.True(near < steering.SpillFactor*far+1.5*steering.SpillMargin) // and not overloaded
}

// TestEvenDomains guards against flows that cross failure domains without need: small differences in load are normal.
func TestEvenDomains(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	for range 30 {
		w.reportOtherDomain(12)
		is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-1")
		w.advance(50 * time.Millisecond)
	}
}

// TestWaveOfFlows guards against flows that leave the own failure domain when many open at one moment, as at the start
// of a day or after a loss. Flows that this balancer has just placed there, and those that it expects other balancers
// to place, must not count against the domain.
func TestWaveOfFlows(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	w.ApplyReport(w.now, &steering.Report{Sender: 7, Loads: []steering.EndpointLoad{
		{Cookie: directory.Cookie("i-1", 0), Flows: 60}, {Cookie: directory.Cookie("i-2", 0), Flows: 60},
	}}, steering.Origin{FailureDomain: "attiki-1", Members: 2})
	w.reportOtherDomain(60)
	for range 40 {
		is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-1")
	}
}

// TestSampledReports guards against endpoints of other failure domains that look idle because only some of the
// balancers there report to this one.
func TestSampledReports(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	sample := &steering.Report{Sender: 9, Loads: []steering.EndpointLoad{
		{Cookie: directory.Cookie("i-3", 0), Flows: 2}, {Cookie: directory.Cookie("i-4", 0), Flows: 2},
	}}
	for range 30 {
		w.ApplyReport(w.now, sample, steering.Origin{FailureDomain: "attiki-2", Members: 6})
		is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-1")
		w.advance(50 * time.Millisecond)
	}
}

// TestCutWithBurst guards against flows sent to a failure domain that looks idle and cannot be reached, during a burst
// while the link between domains is cut. After the first flows without an answer no more are sent there.
func TestCutWithBurst(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	lost := 0
	for range 300 {
		w.reportOtherDomain(0)
		f, d := w.open(feedAddress)
		w.advance(10 * time.Millisecond)
		if d.Endpoint.FailureDomain == "attiki-1" {
			w.confirm(f)
			continue
		}
		lost++
		w.advance(200 * time.Millisecond)
		is.Equal(w.repeat(f).Endpoint.FailureDomain, "attiki-1")
		w.confirm(f)
	}
	t.Logf("%d flows had to retransmit after 200 ms", lost)
	is.True(lost <= 8)
}

// TestStartKnowsNoLoads guards against a balancer that has just started and treats the other failure domains as idle,
// because it has received no reports from there: after a loss of all machines it would open flows across domains.
func TestStartKnowsNoLoads(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	for range 60 {
		is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-1")
		w.advance(20 * time.Millisecond)
	}
}

// TestReleaseInAnotherDomain guards against overload of a new endpoint in another failure domain during a release on a
// large fleet: it looks idle for seconds, until enough balancers there report. If every balancer elsewhere sent its
// flows to it, the endpoint would be overloaded while it is still cold. Domains are therefore compared as a whole.
func TestReleaseInAnotherDomain(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	w.ApplyReport(w.now, &steering.Report{Sender: 7, Loads: []steering.EndpointLoad{
		{Cookie: directory.Cookie("i-1", 0), Flows: 75}, {Cookie: directory.Cookie("i-2", 0), Flows: 75},
	}}, ownDomain)
	w.reportOtherDomain(75)
	w.endpoints = append(w.endpoints, endpoint("i-9", "attiki-2"))
	w.publish()
	for range 20 {
		is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-1")
	}
}

// TestBurstBesideSuspects guards against flows that an overloaded failure domain sends to suspect endpoints of another one,
// because they were not suspect a moment ago.
func TestBurstBesideSuspects(t *testing.T) {
	is := is.New(t)
	w := newSpillHarness()
	w.ApplyReport(w.now, &steering.Report{Sender: 7, Loads: []steering.EndpointLoad{
		{Cookie: directory.Cookie("i-1", 0), Flows: 90}, {Cookie: directory.Cookie("i-2", 0), Flows: 90},
	}}, ownDomain)
	w.reportOtherDomain(1)
	is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-2")
	w.advance(2 * time.Second)
	w.reportOtherDomain(1)
	is.Equal(w.openEstablished(t).endpoint.FailureDomain, "attiki-2")
	w.now = w.now.Add(reportAfterProgress)
	_, _ = w.open(feedAddress) // the sums are new
	w.ApplyReport(w.now, &steering.Report{Sender: 7, IsPartial: true, Silences: []uint32{
		directory.Cookie("i-3", 0), directory.Cookie("i-4", 0),
	}}, ownDomain)
	for range 10 {
		_, d := w.open(feedAddress)
		is.Equal(d.Endpoint.FailureDomain, "attiki-1")
	}
}

// reportAfterProgress is longer than the time for which an endpoint's progress outweighs the report of another balancer.
const reportAfterProgress = 1600 * time.Millisecond
