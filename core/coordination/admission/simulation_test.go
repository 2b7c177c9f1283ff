package admission

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/coordination/endpoint"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// The simulated shard: 14 endpoints with 3 slots each, which serve 840 requests a second at full load.
const (
	simEndpoints = 14
	simSlots     = 3
	simService   = 50 * time.Millisecond
	simCapacity  = float64(simEndpoints*simSlots) / 0.050
	simDeadline  = time.Second                // from arrival to answer
	simStart     = simDeadline - 3*simService // from arrival to start, so that most answers come in time
	simCustomers = 10
)

// policy is the interface of the queues that are compared.
type policy interface {
	Push(now time.Time, it *Item, expectedWait time.Duration) []Refusal
	Pop(now time.Time, canRun func(netip.AddrPort) bool, anyFree bool) (*Item, []*Item)
	Len() int
}

// baseline serves classes by weighted round robin without regard to customers. With isFIFO, all items share one queue.
type baseline struct {
	waiting [packet.ClassCount][]*Item
	weights [packet.ClassCount]int
	credit  [packet.ClassCount]int
	limits  [packet.ClassCount]int
	isFIFO  bool
}

func newFIFO() *baseline {
	return &baseline{isFIFO: true, weights: [3]int{1, 1, 1}, limits: [3]int{DefaultLimit}}
}

func newRoundRobin() *baseline {
	return &baseline{weights: [3]int{6, 3, 1}, limits: [3]int{614, 307, 103}}
}

func (b *baseline) Len() int { return len(b.waiting[0]) + len(b.waiting[1]) + len(b.waiting[2]) }

func (b *baseline) Push(now time.Time, it *Item, _ time.Duration) []Refusal {
	c := it.Class
	if b.isFIFO {
		c = 0
	}
	if len(b.waiting[c]) >= b.limits[c] {
		return []Refusal{{Item: it, Reason: packet.ReasonQueueFull}}
	}
	it.Enqueued = now
	b.waiting[c] = append(b.waiting[c], it)
	return nil
}

func (b *baseline) Pop(now time.Time, _ func(netip.AddrPort) bool, anyFree bool) (*Item, []*Item) {
	var expired []*Item
	for anyFree && b.Len() > 0 {
		for c := range b.waiting {
			if len(b.waiting[c]) == 0 || b.credit[c] == 0 {
				continue
			}
			b.credit[c]--
			it := b.waiting[c][0]
			b.waiting[c] = b.waiting[c][1:]
			if it.Deadline.After(now) {
				return it, expired
			}
			expired = append(expired, it)
		}
		b.credit = b.weights
	}
	return nil, expired
}

type simEvent struct {
	at       time.Time
	run      func()
	position int
}

// simulation is one shard in simulated time.
type simulation struct {
	now           time.Time
	random        *rand.Rand
	events        indexedHeap[*simEvent]
	queue         policy
	set           *endpoint.Set
	budget        *endpoint.RetryBudget
	choose        func(*simulation) (netip.AddrPort, bool)
	serve         func(s *simulation, at netip.AddrPort) (d time.Duration, isAnswered bool)
	report        func(at netip.AddrPort) int                    // slots in use as the endpoint reports them
	factor        func(class packet.Class, customer int) float64 // demand in proportion to the usual one
	next          uint64
	isPinned      bool // every request belongs to a flow on a random endpoint
	arrived       [packet.ClassCount][simCustomers]int
	latency       [packet.ClassCount][simCustomers][]time.Duration
	started       map[netip.AddrPort]int
	tried         map[*Item]bool
	firstAttempts int
	turn          int // counter of the round robin choice
	retries       int
}

func exponential(s *simulation, _ netip.AddrPort) (time.Duration, bool) {
	return time.Duration(s.random.ExpFloat64() * float64(simService)), true
}

func constant(*simulation, netip.AddrPort) (time.Duration, bool) { return simService, true }

func simAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 9000)
}

func newSimulation(q policy, seed uint64) *simulation {
	r := rand.New(rand.NewPCG(seed, 1))
	s := &simulation{
		now: epoch, random: r, queue: q, serve: exponential, started: map[netip.AddrPort]int{}, tried: map[*Item]bool{},
		set:    endpoint.New(endpoint.Config{}, r),
		budget: endpoint.NewRetryBudget(endpoint.RetryConfig{}, r),
		choose: func(s *simulation) (netip.AddrPort, bool) { return s.set.Choose(s.now, netip.AddrPort{}) },
		factor: func(packet.Class, int) float64 { return 1 },
	}
	s.events.before = func(a, b *simEvent) bool { return a.at.Before(b.at) }
	s.events.position = func(e *simEvent) *int { return &e.position }
	var entries []table.Endpoint
	for i := range simEndpoints {
		entries = append(entries, table.Endpoint{Address: simAddress(i), Slots: simSlots, Connections: 2000})
	}
	s.set.Update(s.now, entries)
	for i := range simEndpoints {
		s.set.Up(s.now, simAddress(i), 1)
	}
	for class := range packet.ClassCount {
		for cu := range simCustomers {
			s.arriveLater(class, cu)
		}
	}
	return s
}

func (s *simulation) after(d time.Duration, run func()) {
	s.events.push(&simEvent{at: s.now.Add(d), run: run})
}

// arriveLater schedules the next arrival. The usual demand is 70 % of the capacity, split by the weights of the classes
// and equally among customers.
func (s *simulation) arriveLater(class packet.Class, cu int) {
	rate := 0.7 * simCapacity * DefaultWeights[class] / 10 / simCustomers * s.factor(class, cu)
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.next++
		it := &Item{Request: s.next, Class: class, Customer: fmt.Sprint(cu), Deadline: s.now.Add(simStart)}
		it.Flow = packet.FlowID{byte(s.next), byte(s.next >> 8), byte(s.next >> 16), byte(s.next >> 24)}
		if s.isPinned {
			it.Endpoint = simAddress(s.random.IntN(simEndpoints))
		}
		s.arrived[class][cu]++
		s.push(it)
		s.arriveLater(class, cu)
	})
}

func (s *simulation) push(it *Item) {
	wait := time.Duration(0)
	if q, ok := s.queue.(*Queue); ok {
		wait = q.EstimateWait(s.now, it.Class, it.Customer)
	}
	s.queue.Push(s.now, it, wait)
	s.dispatch()
}

func (s *simulation) dispatch() {
	for {
		it, _ := s.queue.Pop(s.now, s.set.CanAcquire, s.set.AnyFree())
		if it == nil {
			return
		}
		at, ok := it.Endpoint, true
		if !at.IsValid() {
			at, ok = s.choose(s)
		}
		if !ok || !s.set.Acquire(s.now, at) {
			panic("no slot for an item that the queue released")
		}
		if !s.tried[it] {
			s.tried[it] = true
			s.firstAttempts++
			s.budget.AddFirstAttempt()
		}
		s.started[at]++
		d, isAnswered := s.serve(s, at)
		s.after(d, func() { s.complete(it, at, isAnswered) })
	}
}

func (s *simulation) complete(it *Item, at netip.AddrPort, isAnswered bool) {
	if s.report != nil {
		s.set.RecordReport(s.now, at, s.report(at), false)
	}
	if !isAnswered {
		s.set.Release(s.now, at, endpoint.AttemptFailed)
		if s.budget.Take(s.now) {
			s.retries++
			s.after(s.budget.Backoff(1), func() { s.push(it) })
		}
	} else {
		s.set.Release(s.now, at, endpoint.AttemptAnswered)
		if d := s.now.Sub(it.Deadline) + simStart; d <= simDeadline {
			cu := it.Customer[0] - '0'
			s.latency[it.Class][cu] = append(s.latency[it.Class][cu], d)
		}
	}
	s.dispatch()
}

// run resets the counts and runs the simulation for a time.
func (s *simulation) run(d time.Duration) {
	s.arrived = [packet.ClassCount][simCustomers]int{}
	s.latency = [packet.ClassCount][simCustomers][]time.Duration{}
	clear(s.started)
	s.firstAttempts, s.retries = 0, 0
	for end := s.now.Add(d); s.events.top().at.Before(end); {
		e := s.events.top()
		s.events.remove(e)
		s.now = e.at
		e.run()
	}
}

// goodput returns the share of requests that were answered before their deadline, and the 99th percentile of their
// latency, over one class and the customers from the given one on.
func (s *simulation) goodput(class packet.Class, fromCustomer int) (float64, time.Duration) {
	var arrived int
	var latency []time.Duration
	for cu := fromCustomer; cu < simCustomers; cu++ {
		arrived += s.arrived[class][cu]
		latency = append(latency, s.latency[class][cu]...)
	}
	if len(latency) == 0 {
		return 0, simDeadline
	}
	slices.Sort(latency)
	return float64(len(latency)) / float64(arrived), latency[len(latency)*99/100]
}

// imbalance returns the maximum over the mean of the work started on the endpoints.
func (s *simulation) imbalance() float64 {
	most, sum := 0, 0
	for i := range simEndpoints {
		n := s.started[simAddress(i)]
		most, sum = max(most, n), sum+n
	}
	return float64(most) * simEndpoints / float64(sum)
}
