package balancer_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// deployment is the size of an installation: one service with 14 endpoints and one with 4.
type deployment struct {
	name      string
	domains   []string
	apart     time.Duration // one way between failure domains
	balancers int
	slots     int // of each endpoint
	services  [2]string
}

var deployments = []deployment{
	{"card venture", []string{"attiki-1", "attiki-2", "attiki-3"}, 4 * time.Millisecond, 8, 3, [2]string{"reminders", "rendering"}},
	{"authority", []string{"karachi-1", "karachi-2", "karachi-3", "karachi-4"}, 5 * time.Millisecond, 7, 2,
		[2]string{"chambers", "certificates"}},
}

var poolSizes = [2]int{14, 4}

var serviceAddresses = [2]netip.AddrPort{serviceAddress, otherAddress}

const (
	meanService     = 50 * time.Millisecond // uniform between half and one and a half of it
	requestTimeout  = time.Second
	requestsPerFlow = 5
	flowPause       = 200 * time.Millisecond // longest pause between two requests of a flow
	customers       = 10
	usualDemand     = 0.7 // of the slots
)

// classShares is the part of each class in the usual demand.
var classShares = [packet.ClassCount]float64{0.6, 0.3, 0.1}

// newDeployment starts the balancers and backend servers of a deployment and waits for the end of slow start's first
// step.
func newDeployment(d deployment, mode dispatch.Mode, seed uint64) *fleet {
	w := newWorld(seed)
	w.config.Dispatch.Mode = mode
	w.delay = func(from, to string) time.Duration {
		switch {
		case from == "" || to == "":
			return w.jitter(time.Millisecond, 1300*time.Microsecond)
		case from == to:
			return w.jitter(200*time.Microsecond, 400*time.Microsecond)
		}
		return w.jitter(d.apart, d.apart+500*time.Microsecond)
	}
	f := &fleet{world: w, states: map[*node]member.State{}, next: 100}
	var t table.Tables
	for i, service := range d.services {
		t.Routes = append(t.Routes, table.Route{Name: service, Address: serviceAddresses[i], Service: service, Pool: service})
		p := table.Pool{Name: service, Service: service}
		for n := range poolSizes[i] {
			p.Endpoints = append(p.Endpoints, f.newEndpoint(d, i, n))
		}
		t.Pools = append(t.Pools, p)
	}
	for i := range d.balancers {
		f.addNode(fmt.Sprintf("balancer-%d", i), d.domains[i%len(d.domains)])
	}
	f.publishTables(t, time.Millisecond, 10*time.Millisecond)
	f.publishViews(nil, time.Millisecond, 10*time.Millisecond)
	f.run(time.Second)
	return f
}

func (f *fleet) newEndpoint(d deployment, pool, n int) table.Endpoint {
	domain := d.domains[n%len(d.domains)]
	s := f.addBackend(fmt.Sprintf("10.%d.0.%d:80", 2+pool, n+1), domain, d.services[pool], d.slots)
	s.serviceTime = meanService
	return table.Endpoint{Address: s.address, FailureDomain: domain, Slots: d.slots, Connections: 2000}
}

// group is a part of the load whose outcomes are counted together.
type group struct {
	pool     int
	class    packet.Class
	customer int
}

// tally counts the requests that began during a measurement.
type tally struct {
	offered, answered int
	latencies         []time.Duration
}

// load offers flows at rates that do not depend on the answers.
type load struct {
	*fleet
	flows      int
	tallies    map[group]*tally
	from, till time.Time // requests that begin in this time are counted
}

func newLoad(f *fleet) *load { return &load{fleet: f, tallies: map[group]*tally{}} }

// measure counts the requests that begin during d, and returns when each has its outcome.
func (l *load) measure(d time.Duration) map[group]*tally {
	l.tallies = map[group]*tally{}
	l.from, l.till = l.now, l.now.Add(d)
	l.world.run(d + requestTimeout)
	return l.tallies
}

func (l *load) tally(g group) *tally {
	t := l.tallies[g]
	if t == nil {
		t = &tally{}
		l.tallies[g] = t
	}
	return t
}

// newCaller returns a caller of a group that is not in the world yet.
func (l *load) newCaller(g group) *caller {
	l.flows++
	ip := [4]byte{10, 16}
	binary.BigEndian.PutUint16(ip[2:], uint16(l.flows>>14))
	return &caller{
		w: l.world, service: serviceAddresses[g.pool], name: fmt.Sprintf("flow-%d", l.flows),
		notRun: map[string]packet.Reason{}, unknown: map[string]packet.Reason{}, buffer: map[uint64][]byte{},
		address: netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(1024+l.flows&(1<<14-1))), heardAt: l.now,
		customer: fmt.Sprintf("customer-%d", g.customer), class: g.class, timeout: requestTimeout,
		resend: 300 * time.Millisecond, pause: flowPause,
	}
}

// startFlow starts a flow of a fixed number of requests. A flow that is not opened in time counts as one request
// without an answer.
func (l *load) startFlow(g group) {
	c := l.newCaller(g)
	startedAt, left := l.now, requestsPerFlow
	end := func() {
		c.send(packet.Packet{Kind: packet.KindClose, Ticket: c.ticket})
		c.done = true
		delete(l.callers, c.address)
	}
	c.settled = func(k *call, kind packet.Kind) {
		l.count(g, k.startedAt, kind == packet.KindAnswer)
		if left--; left == 0 {
			end()
		}
	}
	c.start()
	l.after(requestTimeout, func() {
		if !c.opened {
			l.count(g, startedAt, false)
			end()
		}
	})
}

func (l *load) count(g group, startedAt time.Time, isAnswered bool) {
	if startedAt.Before(l.from) || !startedAt.Before(l.till) {
		return
	}
	t := l.tally(g)
	t.offered++
	if isAnswered {
		t.answered++
		t.latencies = append(t.latencies, l.now.Sub(startedAt))
	}
}

// offer starts the flows of a group, each at a random time within its turn, so that groups of equal rate have equal
// demand.
func (l *load) offer(g group, requestsPerSecond float64, span time.Duration) {
	interval := time.Duration(requestsPerFlow / requestsPerSecond * float64(time.Second))
	end := l.now.Add(span)
	l.every(interval, func() bool {
		l.after(l.jitter(0, interval), func() { l.startFlow(g) })
		return l.now.Before(end)
	})
}

// capacity returns the requests per second that the endpoints of a pool can serve.
func capacity(d deployment, pool int) float64 {
	return float64(poolSizes[pool]*d.slots) / meanService.Seconds()
}

// offerUsual offers the usual demand to both services, in equal parts for all customers.
func (l *load) offerUsual(d deployment, span time.Duration) {
	for pool := range poolSizes {
		for class, share := range classShares {
			for customer := range customers {
				rate := capacity(d, pool) * usualDemand * share / customers
				l.offer(group{pool, packet.Class(class), customer}, rate, span)
			}
		}
	}
}

// sum adds up the tallies of the groups that match.
func sum(tallies map[group]*tally, in func(group) bool) tally {
	var total tally
	for g, t := range tallies {
		if in(g) {
			total.offered += t.offered
			total.answered += t.answered
			total.latencies = append(total.latencies, t.latencies...)
		}
	}
	return total
}

func (t tally) goodput() float64 { return float64(t.answered) / float64(max(1, t.offered)) }

func (t tally) p99() time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	slices.Sort(t.latencies)
	return t.latencies[len(t.latencies)*99/100]
}

// maxOverMean is the imbalance of work done.
func maxOverMean(work []float64) float64 {
	total := 0.0
	for _, n := range work {
		total += n
	}
	return slices.Max(work) * float64(len(work)) / total
}

// flowOf returns the flow of a request ID, or the feed itself.
func flowOf(id string) string {
	if i := strings.Index(id, "/"); i >= 0 {
		return id[:i]
	}
	if strings.Count(id, "-") == 2 {
		return id[:strings.LastIndex(id, "-")]
	}
	return id
}
