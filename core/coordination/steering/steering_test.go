package steering_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

var (
	start = time.Unix(1_800_000_000, 0)
	feed  = netip.MustParseAddrPort("198.18.0.1:443")
	none  = netip.MustParseAddrPort("198.18.0.1:444")
)

const flowAge = time.Minute

var testConfig = steering.Config{FailureDomain: "attiki-1", FlowAge: flowAge}

// near is the origin of a report from the own failure domain. All balancers there report.
var near = steering.Origin{FailureDomain: "attiki-1", Members: 2}

type recorder struct{}

func (recorder) Count(metric.Counter, string, int64)                    {}
func (recorder) ObserveService(metric.Histogram, string, time.Duration) {}

// world drives one Forwarder with clients that behave as the published protocol says.
type world struct {
	*steering.Forwarder
	now       time.Time
	endpoints []*directory.Endpoint
	version   uint64
	routes    []directory.Route
	former    map[netip.AddrPort][]string
	ports     uint16
	idle      time.Duration
}

func newWorld(endpoints ...*directory.Endpoint) *world {
	w := &world{
		Forwarder: steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(1, 2))),
		now:       start, endpoints: endpoints, idle: 15 * time.Second,
		routes: []directory.Route{{Name: "feed", Address: feed, Targets: []directory.Target{{Service: "feed", Weight: 1}}}},
	}
	w.publish()
	return w
}

func (w *world) publish() {
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
func (w *world) open(to netip.AddrPort) (*flow, steering.Decision) {
	w.ports++
	f := &flow{key: steering.FlowKey{
		Client: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), w.ports), Service: to,
	}, sequence: 1000}
	return f, w.repeat(f)
}

// repeat sends the opening packet of a flow once more.
func (w *world) repeat(f *flow) steering.Decision {
	d := w.Handle(w.now, &steering.Packet{Flow: f.key, IsOpening: true, Sequence: f.sequence})
	if d.Verdict == steering.Forward {
		f.cookie, f.endpoint = d.Cookie, d.Endpoint
	}
	return d
}

// confirm sends the packet with which the client answers its endpoint.
func (w *world) confirm(f *flow) steering.Decision {
	f.received = 5000
	return w.Handle(w.now, &steering.Packet{
		Flow: f.key, Sequence: f.sequence + 1, Acknowledgment: f.received, Cookie: f.cookie,
	})
}

// request sends data; the same data again if the client has received nothing since.
func (w *world) request(f *flow) steering.Decision {
	return w.Handle(w.now, &steering.Packet{
		Flow: f.key, Sequence: f.sequence + 1, Acknowledgment: f.received, Length: 100, Cookie: f.cookie,
	})
}

// answer acknowledges data that the endpoint has sent.
func (w *world) answer(f *flow) {
	f.sequence += 100
	f.received += 2000
	w.Handle(w.now, &steering.Packet{
		Flow: f.key, Sequence: f.sequence + 1, Acknowledgment: f.received, Cookie: f.cookie,
	})
}

func (w *world) close(f *flow) {
	w.Handle(w.now, &steering.Packet{
		Flow: f.key, IsClosing: true, Sequence: f.sequence + 1, Acknowledgment: f.received, Cookie: f.cookie,
	})
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.Tick(w.now)
}

// established opens a flow and confirms it.
func (w *world) established(t *testing.T) *flow {
	t.Helper()
	f, d := w.open(feed)
	if d.Verdict != steering.Forward {
		t.Fatalf("flow not opened: %+v", d)
	}
	w.pass(2 * time.Millisecond)
	w.confirm(f)
	return f
}

// TestUnknownRoute guards against callers that wait although their flow cannot be served, and against refusals that a
// newer configuration would not allow.
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
			w := newWorld(endpoint("i-1", "attiki-1"))
			if c.former {
				w.former = map[netip.AddrPort][]string{none: {"feed"}}
				w.publish()
			}
			w.Confirm(w.now.Add(-c.confirmedBefore))
			_, d := w.open(none)
			is.Equal(d.Verdict, c.want)
			is.Equal(d.Reason, c.reason)
		})
	}
}

// TestNoEndpoint guards against callers that wait for a service without endpoints.
func TestNoEndpoint(t *testing.T) {
	is := is.New(t)
	leaving := endpoint("i-1", "attiki-1")
	leaving.IsLeaving = true
	w := newWorld(leaving)
	_, d := w.open(feed)
	is.Equal(d.Verdict, steering.Reset)
	is.Equal(d.Reason, steering.ReasonNoEndpoint)
}

// TestFlowsStay guards against open flows that are moved or cut by planned changes: the endpoint leaves, is no longer
// registered, other endpoints come, the balancer is another one, or it has just started.
func TestFlowsStay(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"))
	f := w.established(t)

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

	fresh := newWorld(other, &gone)
	d := fresh.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(d.Endpoint.ID, "i-1")

	_, d = w.open(feed)
	is.Equal(d.Endpoint.ID, "i-2") // new flows go elsewhere
}

// TestUnknownCookie guards against a reset of a flow whose endpoint another balancer knows already and this one does
// not: the endpoint is alive, and the client repeats its data.
// After a loss of all balancers the configuration arrives last. Flows that clients keep open must not wait for it.
func TestFlowsPassBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f := w.established(t)

	w.Forwarder = steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(1, 2)))
	is.Equal(w.request(f).Reason, steering.ReasonNotReady) // no endpoint is known
	w.SetSnapshot(w.now, directory.NewSnapshot(&directory.Configuration{}, nil, w.endpoints))
	w.pass(2 * flowAge) // a process without a configuration has no history to judge flows by
	d := w.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(d.Endpoint.ID, f.endpoint.ID)
	is.Equal(w.repeat(&flow{key: f.key}).Reason, steering.ReasonNotReady) // new flows need the routes
}

func TestUnknownCookie(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"))
	f := &flow{key: steering.FlowKey{Client: netip.MustParseAddrPort("100.64.0.7:9"), Service: feed}, cookie: 12345}
	d := w.request(f)
	is.Equal(d.Verdict, steering.Drop)
	is.Equal(d.Reason, steering.ReasonUnknownCookie)
}

// TestCookieOfAnotherService guards against clients that reach another service by a cookie that is not theirs, and
// against stalled flows behind a balancer that has just started: a route may have changed its service while the flow was
// open, in a version that this process has never seen.
func TestCookieOfAnotherService(t *testing.T) {
	is := is.New(t)
	images := endpoint("i-2", "attiki-1")
	images.Service = "images"
	w := newWorld(endpoint("i-1", "attiki-1"), images)
	f := &flow{
		key:    steering.FlowKey{Client: netip.MustParseAddrPort("100.64.0.7:9"), Service: feed},
		cookie: directory.Cookie("i-2", 0),
	}
	is.Equal(w.request(f).Verdict, steering.Forward)
	w.pass(flowAge + time.Second) // all flows of versions before the start have ended
	d := w.request(f)
	is.Equal(d.Verdict, steering.Drop)
	is.Equal(d.Reason, steering.ReasonWrongService)
}

// TestRemovedRoute guards against clients that wait on a flow whose route the operator has removed.
func TestRemovedRoute(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"))
	f := w.established(t)
	w.routes, w.former = nil, map[netip.AddrPort][]string{feed: {"feed"}}
	w.publish()
	d := w.request(f)
	is.Equal(d.Verdict, steering.Reset)
	is.Equal(d.Reason, steering.ReasonRouteRemoved)
}

// TestSilentEndpoint guards against flows that wait on an endpoint which vanished without a word: a copy of the opening
// packet goes to another endpoint, and further flows avoid the silent one.
func TestSilentEndpoint(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f, d := w.open(feed)
	silent := d.Endpoint.ID
	w.pass(200 * time.Millisecond)
	d = w.repeat(f)
	is.True(d.Endpoint.ID != silent)
	for range 20 {
		_, d = w.open(feed)
		is.True(d.Endpoint.ID != silent)
	}
}

// TestPacketsHeldUp guards against a second endpoint for a flow whose packets waited in a queue on the way to the
// balancer: the first endpoint had no time to answer, and its late answer would change the cookie of the client.
func TestPacketsHeldUp(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), endpoint("i-3", "attiki-1"))
	f, d := w.open(feed)
	first := d.Endpoint.ID
	for range 2 {
		w.pass(time.Millisecond)
		is.Equal(w.repeat(f).Endpoint.ID, first)
	}
}

// TestLostPacket guards against endpoints that are avoided because of one lost packet, while their other flows show that
// they live.
func TestLostPacket(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"))
	other := w.established(t)
	f, d := w.open(feed)
	first := d.Endpoint.ID
	w.endpoints = append(w.endpoints, endpoint("i-2", "attiki-1"))
	w.publish()
	w.pass(100 * time.Millisecond)
	w.request(other)
	w.answer(other)
	w.pass(100 * time.Millisecond)
	is.Equal(w.repeat(f).Endpoint.ID, first)
}

// TestSuspicionEnds guards against endpoints that stay out after they have come back: after a while one flow tries the
// endpoint, and its answer ends the suspicion.
func TestSuspicionEnds(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f, d := w.open(feed)
	silent := d.Endpoint.ID
	w.pass(200 * time.Millisecond)
	w.repeat(f)
	w.confirm(f)
	w.pass(time.Second)
	var trial *flow
	tried := 0
	for range 10 {
		g, d := w.open(feed)
		if d.Endpoint.ID == silent {
			tried++
			trial = g
			continue
		}
		w.confirm(g)
	}
	is.Equal(tried, 1) // no more before it answers
	w.confirm(trial)
	for range 20 {
		g, d := w.open(feed)
		w.confirm(g)
		if d.Endpoint.ID == silent {
			tried++
		}
	}
	is.True(tried > 5)
}

// TestStalledFlows guards against new flows for an endpoint whose open flows show that it no longer answers.
func TestStalledFlows(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	f := w.established(t)
	w.request(f)
	w.pass(200 * time.Millisecond)
	w.request(f) // the client has heard nothing
	for range 10 {
		_, d := w.open(feed)
		is.True(d.Endpoint.ID != f.endpoint.ID)
	}
}

// TestAllEndpointsSuspect guards against a service that is refused as a whole because of wrong evidence.
func TestAllEndpointsSuspect(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	for range 8 {
		f, _ := w.open(feed)
		w.pass(200 * time.Millisecond)
		w.repeat(f)
		w.pass(400 * time.Millisecond)
		d := w.repeat(f)
		is.Equal(d.Verdict, steering.Forward)
	}
}

// TestOwnDomainFirst guards against flows that a cut between failure domains would stall although their own domain has
// endpoints with room.
func TestOwnDomainFirst(t *testing.T) {
	is := is.New(t)
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2"), endpoint("i-3", "attiki-1"))
	for range 12 {
		f := w.established(t)
		is.Equal(f.endpoint.FailureDomain, "attiki-1")
	}
	leaving1, leaving3 := *w.endpoints[0], *w.endpoints[2]
	leaving1.IsLeaving, leaving3.IsLeaving = true, true
	w.endpoints = []*directory.Endpoint{&leaving1, w.endpoints[1], &leaving3}
	w.publish()
	is.Equal(w.established(t).endpoint.ID, "i-2") // another domain rather than none
}

// TestEvenFlows guards against uneven work: flows are spread in proportion to the slots, and flows that have ended count
// no more.
func TestEvenFlows(t *testing.T) {
	is := is.New(t)
	big := endpoint("i-3", "attiki-1")
	big.Slots = 6
	w := newWorld(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), big)
	counts := map[string]int{}
	for range 40 {
		counts[w.established(t).endpoint.ID]++
	}
	is.True(counts["i-3"] >= 18 && counts["i-3"] <= 22)
	is.True(counts["i-1"] >= 9 && counts["i-1"] <= 11)

	var ended []*flow
	for range 30 {
		ended = append(ended, w.established(t))
	}
	for _, f := range ended {
		if f.endpoint.ID == "i-1" {
			w.close(f)
		}
	}
	is.Equal(w.established(t).endpoint.ID, "i-1")
}

// TestManyFlows guards against memory that grows with the number of flows: beyond the limit they are forwarded, but not
// tracked.
func TestManyFlows(t *testing.T) {
	is := is.New(t)
	f := steering.New(steering.Config{FailureDomain: "attiki-1", MaxFlows: 10}, recorder{}, rand.New(rand.NewPCG(1, 2)))
	w := newWorld(endpoint("i-1", "attiki-1"))
	w.Forwarder = f
	w.publish()
	for range 50 {
		g := w.established(t)
		is.Equal(w.request(g).Verdict, steering.Forward)
	}
	is.Equal(f.Flows(), 10)
	w.pass(time.Minute)
	w.pass(time.Minute)
	is.Equal(f.Flows(), 0)
}

// TestSplitIsPerFlow guards against copies of an opening packet that go to different services, and against shares that
// are not the configured ones.
func TestSplitIsPerFlow(t *testing.T) {
	is := is.New(t)
	images := endpoint("i-2", "attiki-1")
	images.Service = "images"
	w := newWorld(endpoint("i-1", "attiki-1"), images)
	w.routes[0].Targets = []directory.Target{{Service: "feed", Weight: 90}, {Service: "images", Weight: 10}}
	w.publish()
	other := newWorld(endpoint("i-1", "attiki-1"), images)
	other.routes = w.routes
	other.publish()
	counts := map[string]int{}
	for range 2000 {
		f, d := w.open(feed)
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
		w := newWorld(endpoints...)
		f, _ := w.open(feed)
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

// BenchmarkOpen measures the choice of an endpoint for a new flow, by the number of endpoints of its service.
func BenchmarkOpen(b *testing.B) {
	for _, n := range []int{4, 32, 120} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			var endpoints []*directory.Endpoint
			for i := range n {
				endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%08x", i), fmt.Sprint("attiki-", 1+i%3)))
			}
			w := newWorld(endpoints...)
			b.ReportAllocs()
			for b.Loop() {
				w.ports++ // a flow that is tracked already is placed anew after its sequence has changed
				w.Handle(start, &steering.Packet{Flow: steering.FlowKey{
					Client: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), w.ports%64), Service: feed,
				}, IsOpening: true, Sequence: uint32(w.ports)})
			}
		})
	}
}
