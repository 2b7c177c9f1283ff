package steering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// spill is a world with two endpoints in the own failure domain and two in another one, whose load other balancers
// report.
func spill() *world {
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), endpoint("i-3", "attiki-2"), endpoint("i-4", "attiki-2"))
	w.idle = time.Hour
	w.publish()
	return w
}

func (w *world) reportFar(flows int) {
	w.HearReport(w.now, &steering.Report{Sender: 9, Loads: []steering.Load{
		{Cookie: directory.Cookie("i-3", 0), Flows: flows}, {Cookie: directory.Cookie("i-4", 0), Flows: flows},
	}}, steering.Origin{FailureDomain: "attiki-2", Members: 1})
}

// TestBurstInOneDomain answers the pattern of a burst in one failure domain, or of endpoints lost there, while the others
// have room: work goes to the others instead of being refused, and comes back afterwards.
func TestBurstInOneDomain(t *testing.T) {
	is := is.New(t)
	w := spill()
	counts := map[string]int{}
	for range 200 {
		w.reportFar(12)
		counts[w.established(t).endpoint.FailureDomain]++
		w.pass(50 * time.Millisecond)
	}
	// 12 flows on 3 slots are a load of 4. The own domain takes flows up to FarFactor times that and FarMargin more.
	near := float64(counts["attiki-1"]) / 6
	far := float64(counts["attiki-2"]+24) / 6
	t.Logf("%.1f flows for each slot in the own domain, %.1f in the other one", near, far)
	is.True(near > far)                                           // the own domain is preferred
	is.True(near < steering.FarFactor*far+1.5*steering.FarMargin) // and not overloaded
}

// TestEvenDomains guards against flows that cross failure domains without need: small differences of load are normal.
func TestEvenDomains(t *testing.T) {
	is := is.New(t)
	w := spill()
	for range 30 {
		w.reportFar(12)
		is.Equal(w.established(t).endpoint.FailureDomain, "attiki-1")
		w.pass(50 * time.Millisecond)
	}
}

// TestWaveOfFlows answers the pattern of many flows that open at one moment, at the start of a day or after a loss: flows
// that this balancer has just placed in its own domain, and those that it expects of others, are no reason to leave it.
func TestWaveOfFlows(t *testing.T) {
	is := is.New(t)
	w := spill()
	w.HearReport(w.now, &steering.Report{Sender: 7, Loads: []steering.Load{
		{Cookie: directory.Cookie("i-1", 0), Flows: 60}, {Cookie: directory.Cookie("i-2", 0), Flows: 60},
	}}, steering.Origin{FailureDomain: "attiki-1", Members: 2})
	w.reportFar(60)
	for range 40 {
		is.Equal(w.established(t).endpoint.FailureDomain, "attiki-1")
	}
}

// TestSampledReports guards against endpoints of other failure domains that look idle, because only some of the balancers
// there report to this one.
func TestSampledReports(t *testing.T) {
	is := is.New(t)
	w := spill()
	sample := &steering.Report{Sender: 9, Loads: []steering.Load{
		{Cookie: directory.Cookie("i-3", 0), Flows: 2}, {Cookie: directory.Cookie("i-4", 0), Flows: 2},
	}}
	for range 30 {
		w.HearReport(w.now, sample, steering.Origin{FailureDomain: "attiki-2", Members: 6})
		is.Equal(w.established(t).endpoint.FailureDomain, "attiki-1")
		w.pass(50 * time.Millisecond)
	}
}

// TestCutWithBurst answers the pattern of a burst during a cut: the other failure domains look idle, and cannot be
// reached. After the first flows without an answer no others are sent there.
func TestCutWithBurst(t *testing.T) {
	is := is.New(t)
	w := spill()
	lost := 0
	for range 300 {
		w.reportFar(0)
		f, d := w.open(feed)
		w.pass(10 * time.Millisecond)
		if d.Endpoint.FailureDomain == "attiki-1" {
			w.confirm(f)
			continue
		}
		lost++
		w.pass(200 * time.Millisecond)
		is.Equal(w.repeat(f).Endpoint.FailureDomain, "attiki-1")
		w.confirm(f)
	}
	t.Logf("%d flows waited 200 ms", lost)
	is.True(lost <= 8)
}

// TestStartKnowsNoLoads guards against a balancer that has just started and takes the other failure domains for idle,
// because it has heard no reports from there: after a loss of all machines it would open flows across domains.
func TestStartKnowsNoLoads(t *testing.T) {
	is := is.New(t)
	w := spill()
	for range 60 {
		is.Equal(w.established(t).endpoint.FailureDomain, "attiki-1")
		w.pass(20 * time.Millisecond)
	}
}

// TestReleaseInAnotherDomain answers the pattern of a release on a large fleet: a new endpoint in another failure domain
// looks idle for seconds, until enough balancers there report. If every balancer elsewhere sent its flows to it, the
// endpoint would be overloaded while it is still cold. Domains are compared as a whole.
func TestReleaseInAnotherDomain(t *testing.T) {
	is := is.New(t)
	w := spill()
	w.HearReport(w.now, &steering.Report{Sender: 7, Loads: []steering.Load{
		{Cookie: directory.Cookie("i-1", 0), Flows: 75}, {Cookie: directory.Cookie("i-2", 0), Flows: 75},
	}}, near)
	w.reportFar(75)
	w.endpoints = append(w.endpoints, endpoint("i-9", "attiki-2"))
	w.publish()
	for range 20 {
		is.Equal(w.established(t).endpoint.FailureDomain, "attiki-1")
	}
}
