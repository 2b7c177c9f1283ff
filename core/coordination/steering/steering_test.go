package steering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

var (
	start           = time.Unix(1_800_000_000, 0)
	feedAddress     = netip.MustParseAddrPort("198.18.0.1:443")
	unroutedAddress = netip.MustParseAddrPort("198.18.0.1:444")
)

const flowAge = time.Minute

var testConfig = steering.Config{FailureDomain: "attiki-1", FlowAge: flowAge}

// ownDomain is the origin of a report from the own failure domain, all of whose balancers report.
var ownDomain = steering.Origin{FailureDomain: "attiki-1", Members: 2}

type recorder struct{}

func (recorder) Count(metric.Counter, string, int64)                    {}
func (recorder) ObserveService(metric.Histogram, string, time.Duration) {}

// harness drives one Forwarder with simulated clients that follow the published protocol.
type harness struct {
	*steering.Forwarder
	now       time.Time
	endpoints []*directory.Endpoint
	version   uint64
	routes    []directory.Route
	former    map[netip.AddrPort][]string
	ports     uint16
	idle      time.Duration

	answersProbes map[string]bool // IDs of the endpoints whose hosts answer connection attempts; none by default
	probes        []pendingProbe
}

// pendingProbe is a probe whose result is recorded at a time.
type pendingProbe struct {
	steering.Probe
	endsAt time.Time
}

// probeTimeout is the time after which a probe has not been answered.
const probeTimeout = 200 * time.Millisecond

// Handle passes a packet to the forwarder and begins the probes that follow from it.
func (w *harness) Handle(now time.Time, p *steering.Packet) steering.Decision {
	d := w.Forwarder.Handle(now, p)
	w.beginProbes()
	return d
}

func (w *harness) beginProbes() {
	for _, p := range w.Probes() {
		timeout := probeTimeout
		if w.answersProbes[p.Endpoint] {
			timeout = 0
		}
		w.probes = append(w.probes, pendingProbe{p, w.now.Add(timeout)})
	}
}

func (w *harness) endProbes() {
	w.probes = slices.DeleteFunc(w.probes, func(p pendingProbe) bool {
		if w.now.Before(p.endsAt) {
			return false
		}
		result := steering.ProbeUnanswered
		if w.answersProbes[p.Endpoint] {
			result = steering.ProbeAnswered
		}
		w.RecordProbe(w.now, p.Probe, result)
		return true
	})
}

func newHarness(endpoints ...*directory.Endpoint) *harness {
	w := &harness{
		Forwarder: steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(1, 2))),
		now:       start, endpoints: endpoints, idle: 15 * time.Second,
		routes: []directory.Route{{Name: "feed", Address: feedAddress, Targets: []directory.Target{{Service: "feed", Weight: 1}}}},
	}
	w.publish()
	return w
}

func (w *harness) publish() {
	w.version++
	c := &directory.Configuration{Version: w.version, Routes: w.routes, IdleTimeout: w.idle}
	w.SetSnapshot(w.now, directory.NewSnapshot(c, w.former, w.endpoints))
}

func endpoint(id, failureDomain string) *directory.Endpoint {
	return &directory.Endpoint{ID: id, Number: 1, Service: "feed", FailureDomain: failureDomain, Slots: 3}
}

// flow is one flow of a client.
type flow struct {
	key      steering.FlowKey
	cookie   uint32
	endpoint *directory.Endpoint
	sequence uint32
	received uint32
}

// open sends the opening packet of a new flow.
func (w *harness) open(to netip.AddrPort) (*flow, steering.Decision) {
	w.ports++
	f := &flow{key: steering.FlowKey{
		Client: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), w.ports), Service: to,
	}, sequence: 1000}
	return f, w.repeat(f)
}

// repeat sends the opening packet of a flow, or retransmits it.
func (w *harness) repeat(f *flow) steering.Decision {
	d := w.Handle(w.now, &steering.Packet{Flow: f.key, IsOpening: true, Sequence: f.sequence})
	if d.Verdict == steering.Forward {
		f.cookie, f.endpoint = d.Cookie, d.Endpoint
	}
	return d
}

// confirm sends the client's first packet after the endpoint has accepted the flow.
func (w *harness) confirm(f *flow) steering.Decision {
	f.received = 5000
	return w.Handle(w.now, &steering.Packet{
		Flow: f.key, Sequence: f.sequence + 1, Acknowledgment: f.received, Cookie: f.cookie,
	})
}

// request sends data. It sends the same data again if the client has received nothing since the last call.
func (w *harness) request(f *flow) steering.Decision {
	return w.Handle(w.now, &steering.Packet{
		Flow: f.key, Sequence: f.sequence + 1, Acknowledgment: f.received, Length: 100, Cookie: f.cookie,
	})
}

// answer acknowledges data that the endpoint has sent in response to the last request.
func (w *harness) answer(f *flow) {
	f.sequence += 100
	f.received += 2000
	w.Handle(w.now, &steering.Packet{
		Flow: f.key, Sequence: f.sequence + 1, Acknowledgment: f.received, Cookie: f.cookie,
	})
}

func (w *harness) close(f *flow) {
	w.Handle(w.now, &steering.Packet{
		Flow: f.key, IsClosing: true, Sequence: f.sequence + 1, Acknowledgment: f.received, Cookie: f.cookie,
	})
}

func (w *harness) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.endProbes()
	w.Tick(w.now)
	w.beginProbes()
}

// openEstablished opens a flow and confirms it.
func (w *harness) openEstablished(t *testing.T) *flow {
	t.Helper()
	f, d := w.open(feedAddress)
	if d.Verdict != steering.Forward {
		t.Fatalf("flow not opened: %+v", d)
	}
	w.advance(2 * time.Millisecond)
	w.confirm(f)
	return f
}

// TestUnknownRoute guards against clients that wait although their flow cannot be served, and against resets of flows
// that a newer configuration would accept.
func TestUnknownRoute(t *testing.T) {
	tests := map[string]struct {
		confirmedBefore time.Duration
		former          bool
		want            steering.Verdict
		reason          steering.Reason
	}{
		"configuration is fresh":   {confirmedBefore: time.Second, want: steering.Reset, reason: steering.ReasonNoRoute},
		"configuration may lag":    {confirmedBefore: time.Minute, want: steering.Drop, reason: steering.ReasonNoRoute},
		"route was removed":        {confirmedBefore: time.Minute, former: true, want: steering.Reset, reason: steering.ReasonRouteRemoved},
		"removed, and it is fresh": {confirmedBefore: 0, former: true, want: steering.Reset, reason: steering.ReasonRouteRemoved},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(endpoint("i-1", "attiki-1"))
			if c.former {
				w.former = map[netip.AddrPort][]string{unroutedAddress: {"feed"}}
				w.publish()
			}
			w.Confirm(w.now.Add(-c.confirmedBefore))
			_, d := w.open(unroutedAddress)
			is.Equal(d.Verdict, c.want)
			is.Equal(d.Reason, c.reason)
		})
	}
}

// TestNoEndpoint guards against clients that wait for a service without available endpoints.
func TestNoEndpoint(t *testing.T) {
	is := is.New(t)
	leaving := endpoint("i-1", "attiki-1")
	leaving.IsLeaving = true
	w := newHarness(leaving)
	_, d := w.open(feedAddress)
	is.Equal(d.Verdict, steering.Reset)
	is.Equal(d.Reason, steering.ReasonNoEndpoint)
}

// TestFlowsStay guards against open flows that planned changes move or break: the endpoint leaves, it is no longer
// registered, other endpoints register, or the packets reach another balancer or one that has just started.
func TestFlowsStay(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"))
	f := w.openEstablished(t)

	leaving, other := *f.endpoint, endpoint("i-2", "attiki-1")
	leaving.IsLeaving = true
	w.endpoints = []*directory.Endpoint{&leaving, other}
	w.publish()
	is.Equal(w.request(f).Endpoint.ID, "i-1")

	gone := leaving
	gone.IsGone = true
	w.endpoints = []*directory.Endpoint{other, &gone}
	w.publish()
	is.Equal(w.request(f).Endpoint.ID, "i-1")

	fresh := newHarness(other, &gone)
	d := fresh.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(d.Endpoint.ID, "i-1")

	_, d = w.open(feedAddress)
	is.Equal(d.Endpoint.ID, "i-2") // new flows go elsewhere
}

// TestFlowsPassBeforeConfiguration guards against open flows that wait for the configuration, which arrives last after
// a loss of all balancers.
func TestFlowsPassBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f := w.openEstablished(t)

	w.Forwarder = steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(1, 2)))
	is.Equal(w.request(f).Verdict, steering.Hold) // no endpoint is known
	w.SetSnapshot(w.now, directory.NewSnapshot(&directory.Configuration{}, nil, w.endpoints))
	w.advance(2 * flowAge) // the service of a flow is not checked before there is a configuration
	d := w.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(d.Endpoint.ID, f.endpoint.ID)
	is.Equal(w.repeat(&flow{key: f.key}).Verdict, steering.Hold) // new flows need the routes
}

// TestFlowsAreHeldBeforeEndpoints guards against flows that are refused, or whose packets are dropped for up to the 1.6 s
// between two retransmissions, because the configuration arrives before the list of endpoints after a loss of all
// balancers.
func TestFlowsAreHeldBeforeEndpoints(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f := w.openEstablished(t)

	w.Forwarder = steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(1, 2)))
	partial := directory.NewSnapshot(&directory.Configuration{Version: 1, Routes: w.routes}, nil, nil)
	partial.IsPartial = true
	w.SetSnapshot(w.now, partial)
	is.Equal(w.request(f).Verdict, steering.Hold)
	is.Equal(w.repeat(&flow{key: f.key}).Verdict, steering.Hold)

	w.publish()
	d := w.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(d.Endpoint.ID, f.endpoint.ID)
	_, d = w.open(feedAddress)
	is.Equal(d.Verdict, steering.Forward)
}

// TestUnknownCookie guards against a reset of a flow whose endpoint is known to another balancer and not yet to this
// one: the endpoint is alive, and the client sends its data again.
func TestUnknownCookie(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"))
	f := &flow{key: steering.FlowKey{Client: netip.MustParseAddrPort("100.64.0.7:9"), Service: feedAddress}, cookie: 12345}
	d := w.request(f)
	is.Equal(d.Verdict, steering.Drop)
	is.Equal(d.Reason, steering.ReasonUnknownCookie)
}

// TestCookieOfAnotherService guards against clients that reach another service with a cookie of one of its endpoints,
// and against stalled flows after a restart of the balancer: a route may have changed its service while the flow was
// open, in a version that the new process has not seen.
func TestCookieOfAnotherService(t *testing.T) {
	is := is.New(t)
	images := endpoint("i-2", "attiki-1")
	images.Service = "images"
	w := newHarness(endpoint("i-1", "attiki-1"), images)
	f := &flow{
		key:    steering.FlowKey{Client: netip.MustParseAddrPort("100.64.0.7:9"), Service: feedAddress},
		cookie: directory.Cookie("i-2", 0),
	}
	is.Equal(w.request(f).Verdict, steering.Forward)
	w.advance(flowAge + time.Second) // all flows of versions before the start have ended
	d := w.request(f)
	is.Equal(d.Verdict, steering.Drop)
	is.Equal(d.Reason, steering.ReasonWrongService)
}

// TestRemovedRoute guards against clients that wait on a flow whose route the operator has removed.
func TestRemovedRoute(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"))
	f := w.openEstablished(t)
	w.routes, w.former = nil, map[netip.AddrPort][]string{feedAddress: {"feed"}}
	w.publish()
	d := w.request(f)
	is.Equal(d.Verdict, steering.Reset)
	is.Equal(d.Reason, steering.ReasonRouteRemoved)
}

// TestSilentEndpoint guards against flows that wait on an endpoint which vanished without notice: a retransmitted
// opening packet goes to another endpoint, and later flows avoid the unresponsive one.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f, d := w.open(feedAddress)
	silent := d.Endpoint.ID
	w.advance(200 * time.Millisecond)
	d = w.repeat(f)
	is.True(d.Endpoint.ID != silent)
	for range 20 {
		_, d = w.open(feedAddress)
		is.True(d.Endpoint.ID != silent)
	}
}

// TestPacketsHeldUp guards against a second endpoint for a flow whose opening packets were queued on the way to the
// balancer: the first endpoint had no time to answer, and its late answer would change the cookie of the client.
func TestPacketsHeldUp(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), endpoint("i-3", "attiki-1"))
	f, d := w.open(feedAddress)
	first := d.Endpoint.ID
	for range 2 {
		w.advance(time.Millisecond)
		is.Equal(w.repeat(f).Endpoint.ID, first)
	}
}

// TestLostPacket guards against endpoints that are avoided because of one lost packet although their other flows make
// progress.
func TestLostPacket(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"))
	other := w.openEstablished(t)
	f, d := w.open(feedAddress)
	first := d.Endpoint.ID
	w.endpoints = append(w.endpoints, endpoint("i-2", "attiki-1"))
	w.publish()
	w.advance(100 * time.Millisecond)
	w.request(other)
	w.answer(other)
	w.advance(100 * time.Millisecond)
	is.Equal(w.repeat(f).Endpoint.ID, first)
}

// TestSuspicionEnds guards against endpoints that get no flows after they have recovered: when the time of suspicion
// has passed, one flow probes the endpoint, and its answer ends the suspicion.
func TestSuspicionEnds(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f, d := w.open(feedAddress)
	silent := d.Endpoint.ID
	w.advance(200 * time.Millisecond)
	w.repeat(f)
	w.confirm(f)
	w.advance(time.Second)
	var trial *flow
	tried := 0
	for range 10 {
		g, d := w.open(feedAddress)
		if d.Endpoint.ID == silent {
			tried++
			trial = g
			continue
		}
		w.confirm(g)
	}
	is.Equal(tried, 1) // no second probe before the first is answered
	w.confirm(trial)
	for range 20 {
		g, d := w.open(feedAddress)
		w.confirm(g)
		if d.Endpoint.ID == silent {
			tried++
		}
	}
	is.True(tried > 5)
}

// TestStalledFlows guards against new flows for an endpoint that no longer answers its open flows.
func TestStalledFlows(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f := w.openEstablished(t)
	w.request(f)
	w.advance(200 * time.Millisecond)
	w.request(f) // the client sends the same data again
	for range 10 {
		_, d := w.open(feedAddress)
		is.True(d.Endpoint.ID != f.endpoint.ID)
	}
}

// TestAllEndpointsSuspect guards against a service whose flows are all refused because wrong evidence makes every
// endpoint suspect.
func TestAllEndpointsSuspect(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	for range 8 {
		f, _ := w.open(feedAddress)
		w.advance(200 * time.Millisecond)
		w.repeat(f)
		w.advance(400 * time.Millisecond)
		d := w.repeat(f)
		is.Equal(d.Verdict, steering.Forward)
	}
}

// TestOwnDomainFirst guards against flows to other failure domains, which would stall if the link between the domains
// were cut, while the own domain has endpoints with free capacity.
func TestOwnDomainFirst(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2"), endpoint("i-3", "attiki-1"))
	for range 12 {
		f := w.openEstablished(t)
		is.Equal(f.endpoint.FailureDomain, "attiki-1")
	}
	leaving1, leaving3 := *w.endpoints[0], *w.endpoints[2]
	leaving1.IsLeaving, leaving3.IsLeaving = true, true
	w.endpoints = []*directory.Endpoint{&leaving1, w.endpoints[1], &leaving3}
	w.publish()
	is.Equal(w.openEstablished(t).endpoint.ID, "i-2") // another domain rather than none
}

// TestEvenFlows guards against uneven load: flows are distributed in proportion to the slots, and flows that have ended
// do not count.
func TestEvenFlows(t *testing.T) {
	is := is.New(t)
	big := endpoint("i-3", "attiki-1")
	big.Slots = 6
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), big)
	counts := map[string]int{}
	for range 40 {
		counts[w.openEstablished(t).endpoint.ID]++
	}
	is.True(counts["i-3"] >= 18 && counts["i-3"] <= 22)
	is.True(counts["i-1"] >= 9 && counts["i-1"] <= 11)

	var ended []*flow
	for range 30 {
		ended = append(ended, w.openEstablished(t))
	}
	for _, f := range ended {
		if f.endpoint.ID == "i-1" {
			w.close(f)
		}
	}
	is.Equal(w.openEstablished(t).endpoint.ID, "i-1")
}

// TestManyFlows guards against memory that grows with the number of flows: flows beyond the limit are forwarded, but
// not tracked.
func TestManyFlows(t *testing.T) {
	is := is.New(t)
	f := steering.New(steering.Config{FailureDomain: "attiki-1", MaxFlows: 10}, recorder{}, rand.New(rand.NewPCG(1, 2)))
	w := newHarness(endpoint("i-1", "attiki-1"))
	w.Forwarder = f
	w.publish()
	for range 50 {
		g := w.openEstablished(t)
		is.Equal(w.request(g).Verdict, steering.Forward)
	}
	is.Equal(f.TrackedFlows(), 10)
	w.advance(time.Minute)
	w.advance(time.Minute)
	is.Equal(f.TrackedFlows(), 0)
}

// TestSplitIsPerFlow guards against retransmissions of an opening packet that go to a different service, and against a
// split that does not follow the configured weights.
func TestSplitIsPerFlow(t *testing.T) {
	is := is.New(t)
	images := endpoint("i-2", "attiki-1")
	images.Service = "images"
	w := newHarness(endpoint("i-1", "attiki-1"), images)
	w.routes[0].Targets = []directory.Target{{Service: "feed", Weight: 90}, {Service: "images", Weight: 10}}
	w.publish()
	other := newHarness(endpoint("i-1", "attiki-1"), images)
	other.routes = w.routes
	other.publish()
	counts := map[string]int{}
	for range 2000 {
		f, d := w.open(feedAddress)
		counts[d.Endpoint.ID]++
		is.Equal(other.repeat(f).Endpoint.ID, d.Endpoint.ID)
	}
	is.True(counts["i-2"] > 140 && counts["i-2"] < 260)
}

func BenchmarkHandle(b *testing.B) {
	for _, n := range []int{18, 1000, 130000} {
		var endpoints []*directory.Endpoint
		for i := range n {
			e := endpoint(fmt.Sprintf("i-%08x", i), "attiki-1")
			e.Service = fmt.Sprint("service-", i/32)
			endpoints = append(endpoints, e)
		}
		endpoints[0].Service, endpoints[1].Service = "feed", "feed"
		w := newHarness(endpoints...)
		f, _ := w.open(feedAddress)
		w.confirm(f)
		data := &steering.Packet{Flow: f.key, Sequence: 1, Acknowledgment: 1, Length: 100, Cookie: f.cookie}
		opening := &steering.Packet{Flow: f.key, IsOpening: true, Sequence: 1}
		for kind, p := range map[string]*steering.Packet{"data": data, "opening": opening} {
			b.Run(fmt.Sprintf("%s/endpoints=%d", kind, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					w.Handle(start, p)
				}
			})
		}
	}
}

// BenchmarkTick measures a tick while all endpoints answer, by their number.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{18, 1000, 130000} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			var endpoints []*directory.Endpoint
			for i := range n {
				endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%08x", i), fmt.Sprint("attiki-", 1+i%17)))
			}
			w := newHarness(endpoints...)
			w.Tick(w.now) // the next ones do not remove idle flows
			b.ReportAllocs()
			for b.Loop() {
				w.Tick(w.now)
			}
		})
	}
}

// BenchmarkOpen measures the choice of an endpoint for a new flow, which the client confirms, by the number of endpoints of
// its service, at a hundred new flows a second.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{4, 32, 120, 480, 4800} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			var endpoints []*directory.Endpoint
			for i := range n {
				endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%08x", i), fmt.Sprint("attiki-", 1+i%3)))
			}
			w := newHarness(endpoints...)
			f := &flow{key: steering.FlowKey{Service: feedAddress}}
			b.ReportAllocs()
			for b.Loop() {
				w.ports++ // a new sequence number makes an endpoint be chosen for a flow that is tracked already
				f.sequence = uint32(w.ports)
				f.key.Client = netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), w.ports%64)
				w.now = w.now.Add(10 * time.Millisecond)
				w.repeat(f)
				w.confirm(f)
			}
		})
	}
}
