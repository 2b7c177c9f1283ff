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

// deployment describes the size of a deployment. It has one service with 14 endpoints and one with 4.
type deployment struct {
	name        string
	domains     []string
	domainDelay time.Duration // one-way delay between failure domains
	balancers   int
	slots       int // of each endpoint
	services    [2]string
}

// deployments are the deployments that the measurements run with.
var deployments = []deployment{
	{"card venture", []string{"attiki-1", "attiki-2", "attiki-3"}, 4 * time.Millisecond, 8, 3, [2]string{"reminders", "rendering"}},
	{"authority", []string{"karachi-1", "karachi-2", "karachi-3", "karachi-4"}, 5 * time.Millisecond, 7, 2,
		[2]string{"chambers", "certificates"}},
}

// poolSizes are the numbers of endpoints of the two services.
var poolSizes = [2]int{14, 4}

var serviceAddresses = [2]netip.AddrPort{serviceAddress, otherAddress}

const (
	meanServiceTime = 50 * time.Millisecond // service times are uniform between 0.5 and 1.5 times the mean
	requestTimeout  = time.Second
	requestsPerFlow = 5
	flowPause       = 200 * time.Millisecond // longest pause between two requests of a flow
	customers       = 10
	usualDemand     = 0.7 // as a fraction of the capacity of all slots
)

// classShares is the share of each class in the usual demand.
var classShares = [packet.ClassCount]float64{0.6, 0.3, 0.1}

// newDeployment starts the balancers and backend servers of a deployment and runs the simulation until the first step
// of slow start is over.
func newDeployment(d deployment, mode dispatch.Mode, seed uint64) *fleet {
	sim := newSimulation(seed)
	sim.config.Dispatch.Mode = mode
	sim.delay = func(from, to string) time.Duration {
		switch {
		case from == "" || to == "":
			return sim.jitter(time.Millisecond, 1300*time.Microsecond)
		case from == to:
			return sim.jitter(200*time.Microsecond, 400*time.Microsecond)
		}
		return sim.jitter(d.domainDelay, d.domainDelay+500*time.Microsecond)
	}
	f := &fleet{simulation: sim, states: map[*node]member.State{}, nextNumber: 100}
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
	s.serviceTime = meanServiceTime
	return table.Endpoint{Address: s.address, FailureDomain: domain, Slots: d.slots, Connections: 2000}
}

// group is a part of the load whose outcomes are counted together.
type group struct {
	pool     int
	class    packet.Class
	customer int
}

// tally counts the requests that started during a measurement.
type tally struct {
	offered, answered int
	latencies         []time.Duration
}

// load is an open-loop load generator: it starts flows at rates that do not depend on the answers.
type load struct {
	*fleet
	flows       int
	tallies     map[group]*tally
	from, until time.Time // requests that start in this interval are counted
}

func newLoad(f *fleet) *load { return &load{fleet: f, tallies: map[group]*tally{}} }

// measure counts the requests that start during d. It returns when each of them has an outcome.
func (l *load) measure(d time.Duration) map[group]*tally {
	l.tallies = map[group]*tally{}
	l.from, l.until = l.now, l.now.Add(d)
	l.simulation.run(d + requestTimeout)
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

// newCaller returns a caller of a group without adding it to the simulation.
func (l *load) newCaller(g group) *caller {
	l.flows++
	ip := [4]byte{10, 16}
	binary.BigEndian.PutUint16(ip[2:], uint16(l.flows>>14))
	return &caller{
		sim: l.simulation, service: serviceAddresses[g.pool], name: fmt.Sprintf("flow-%d", l.flows),
		notRun: map[string]packet.Reason{}, unknown: map[string]packet.Reason{}, buffer: map[uint64][]byte{},
		address: netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(1024+l.flows&(1<<14-1))), receivedAt: l.now,
		customer: fmt.Sprintf("customer-%d", g.customer), class: g.class, timeout: requestTimeout,
		resend: 300 * time.Millisecond, pause: flowPause,
	}
}

// startFlow starts a flow that sends requestsPerFlow requests. A flow that is not opened within requestTimeout counts
// as one unanswered request.
func (l *load) startFlow(g group) {
	c := l.newCaller(g)
	startedAt, left := l.now, requestsPerFlow
	end := func() {
		c.send(packet.Packet{Kind: packet.KindClose, Ticket: c.ticket})
		c.done = true
		delete(l.callers, c.address)
	}
	c.onOutcome = func(k *call, kind packet.Kind) {
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
	if startedAt.Before(l.from) || !startedAt.Before(l.until) {
		return
	}
	t := l.tally(g)
	t.offered++
	if isAnswered {
		t.answered++
		t.latencies = append(t.latencies, l.now.Sub(startedAt))
	}
}

// offer starts one flow of a group per interval, at a random time within it, so that groups with equal rates have equal
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
	return float64(poolSizes[pool]*d.slots) / meanServiceTime.Seconds()
}

// offerUsual offers the usual demand to both services, divided equally among all customers.
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
func sum(tallies map[group]*tally, matches func(group) bool) tally {
	var total tally
	for g, t := range tallies {
		if matches(g) {
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

// maxOverMean returns the ratio of the largest to the mean value, as a measure of imbalance.
func maxOverMean(work []float64) float64 {
	total := 0.0
	for _, n := range work {
		total += n
	}
	return slices.Max(work) * float64(len(work)) / total
}

// flowOf returns the name of the flow that a request ID belongs to. A feed has the name of its flow.
func flowOf(id string) string {
	if i := strings.Index(id, "/"); i >= 0 {
		return id[:i]
	}
	if strings.Count(id, "-") == 2 {
		return id[:strings.LastIndex(id, "-")]
	}
	return id
}
