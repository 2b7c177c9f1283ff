// Package admission holds the bounded fair queue of a pool shard: which request runs next, and which is refused when
// there are too many.
//
// # Scheduling
//
// Each class has a weight, which is its guaranteed share of all service. Inside a class, all customers with queued
// items get equal shares. A class that does not use its share leaves it to the most urgent class that has items. The
// virtual time of the classes advances by the cost of each service divided by the sum of all weights, whether or not a
// class has items. A class is owed service for its next item if the start time of the item is not ahead of the virtual
// time. Classes that are owed service are served in the order of these start times, the most urgent first on ties. A
// class that could not use its share is afterwards owed its share of the last maxCredit services. If no class that can
// run is owed service, the service is unused share: it goes to the most urgent class that can run, and that class is not
// charged. Customers inside a class are scheduled by plain start-time fair queueing.
//
// A pinned item runs only on its endpoint. Items are kept by class, endpoint and customer, so an item whose endpoint is
// busy does not block the items behind it. It keeps its turn in the class, though: the items behind it on other
// endpoints use the following turns, or unused share. Pop takes one check per class and endpoint that has pinned items,
// plus time logarithmic in the number of customers.
//
// # Usage
//
//	q := admission.New(admission.Config{Limit: 1024, Weights: [packet.ClassCount]float64{6, 3, 1}})
//	refused := q.Push(now, item, q.EstimateWait(now, item.Class, item.Customer))
//	item, expired := q.Pop(now, set.CanAcquire, set.AnyFree())
//
// Every item that was pushed leaves the queue exactly once: in a refusal, as the result of Pop or among the expired
// items, or by Remove or RemoveFlow. A Queue starts no goroutine, reads no clock and takes no lock: it is used
// under the lock of its shard. The times passed in must never decrease.
package admission

import (
	"net/netip"
	"time"

	"cornellb/core/state/packet"
)

// maxIdleCustomers is the largest number of customers without items whose start times a class keeps because they are
// ahead of the virtual time. It equals the default queue limit.
const maxIdleCustomers = 1024

// maxCredit limits what a class is owed after a time in which it had no items or all its items waited for busy
// endpoints: its share of services with this total cost. With no credit, a burst of a class that stays below its share
// waits behind a flood of another class; with a large credit, the burst delays the other classes. The credit covers the
// same span of service for all classes, so that the more urgent classes are favoured in a short contention.
// docs/notes/admission.md has the measurements.
const maxCredit = 60

// rebaseAt is the virtual time at which the virtual time is reset to zero and the start times of the classes are
// reduced by the same amount, long before float64 loses the fractions.
const rebaseAt = 1 << 20

// startTolerance allows for rounding errors when start times are compared with the virtual time.
const startTolerance = 1e-6

// Item is one request that waits for a slot. Its exported fields must not change while it is in a queue.
type Item struct {
	Flow     packet.FlowID
	Request  uint64
	Class    packet.Class
	Customer string
	Deadline time.Time      // latest time to start: the deadline of the caller less the mean service time; zero if none
	Enqueued time.Time      // set by Push if zero
	Endpoint netip.AddrPort // the only endpoint that may run the item; not valid if any may
	Cost     float64        // amount of service that the item takes; set to 1 by Push if not positive

	// NotStarted is set before an item is pushed again because its attempt was not started. The next
	// service of the item is not charged, because its customer and class were already charged. Pop clears the field.
	NotStarted bool

	sequence uint64
	returned bool // the item was popped before, so that it keeps its sequence if it is pushed again
	subqueue *subqueue
	previous *Item // in subqueue
	next     *Item // in subqueue
	sibling  *Item // next item of the same flow
	position int   // in the deadline heap; -1 without a deadline
}

// Refusal is an item that is not or no longer in the queue and will not be returned by Pop. Its request has not run.
type Refusal struct {
	Item       *Item
	Reason     packet.Reason
	RetryAfter time.Duration // estimate without jitter; the sender adds it
}

// Config holds the limits of a queue.
type Config struct {
	Limit         int                        // items in the queue; DefaultLimit if not positive
	Weights       [packet.ClassCount]float64 // guaranteed shares; a weight that is not positive is replaced by the default
	CustomerLimit int                        // items of one customer in one class, even with room; Limit if not positive
}

// DefaultLimit is the default number of items in a queue.
const DefaultLimit = 1024

// DefaultWeights are the default weights of the classes, most urgent first.
var DefaultWeights = [packet.ClassCount]float64{6, 3, 1}

// Queue is the bounded fair queue of one pool shard.
type Queue struct {
	limit         int
	customerLimit int
	weight        float64 // sum over the classes
	credit        float64 // how far the start of a class may be behind virtualTime: maxCredit divided by weight
	virtualTime   float64 // virtual time of the classes
	sequence      uint64
	count         int
	classes       [packet.ClassCount]*class
	byFlow        map[packet.FlowID]*Item
	deadlines     indexedHeap[*Item]
	rate          rateClock
}

// New returns an empty queue.
func New(c Config) *Queue {
	if c.Limit <= 0 {
		c.Limit = DefaultLimit
	}
	if c.CustomerLimit <= 0 {
		c.CustomerLimit = c.Limit
	}
	q := &Queue{
		limit:         c.Limit,
		customerLimit: c.CustomerLimit,
		byFlow:        make(map[packet.FlowID]*Item),
		deadlines: indexedHeap[*Item]{
			before:   func(a, b *Item) bool { return a.Deadline.Before(b.Deadline) },
			position: func(it *Item) *int { return &it.position },
		},
	}
	for i, w := range c.Weights {
		if w <= 0 {
			w = DefaultWeights[i]
		}
		q.classes[i] = newClass(w)
		q.weight += w
	}
	q.credit = maxCredit / q.weight
	return q
}

// Len returns the number of items.
func (q *Queue) Len() int { return q.count }

// LenOf returns the number of items of a class.
func (q *Queue) LenOf(c packet.Class) int { return q.classes[c].count }

// Pop removes and returns the item to run now, or nil if none may run, and all items whose deadline has passed.
// canRun tells whether an endpoint can take an item that is pinned to it; anyFree tells whether some endpoint can take
// an item without a pin. The expired items have not run and do not run.
func (q *Queue) Pop(now time.Time, canRun func(endpoint netip.AddrPort) bool, anyFree bool) (*Item, []*Item) {
	q.advance(now)
	expired := q.Expire(now)
	if q.count == 0 {
		return nil, expired
	}
	var candidates [packet.ClassCount]*subqueue
	for i, c := range q.classes {
		candidates[i] = c.candidate(canRun, anyFree)
	}
	chosen, isOwed := q.selectClass(&candidates)
	if chosen < 0 {
		return nil, expired
	}
	it := candidates[chosen].head
	cost := it.Cost
	if it.NotStarted {
		cost = 0
	}
	q.charge(chosen, cost, isOwed, &candidates)
	q.takeOut(it, true, cost)
	q.recordServed(now, it)
	it.returned, it.NotStarted = true, false
	return it, expired
}

// selectClass returns the class to serve, or -1, and whether the service is owed to it.
func (q *Queue) selectClass(candidates *[packet.ClassCount]*subqueue) (int, bool) {
	chosen, spare, chosenStart := -1, -1, 0.0
	for i, c := range q.classes {
		if candidates[i] == nil {
			continue
		}
		if spare < 0 {
			spare = i
		}
		if start, isOwed := q.itemStart(c, candidates[i]); isOwed && (chosen < 0 || start < chosenStart) {
			chosen, chosenStart = i, start
		}
	}
	if chosen >= 0 {
		return chosen, true
	}
	return spare, false
}

// itemStart returns the virtual start time of a class's candidate, and whether the class is owed its service. The items
// before it that wait for busy endpoints keep their turns; otherwise later items on other endpoints could take each turn
// of the class, and an item could wait for any number of turns. They delay the class by no more than the credit, so that
// it keeps its share if an endpoint stays busy.
func (q *Queue) itemStart(c *class, candidate *subqueue) (float64, bool) {
	behind := q.virtualTime + startTolerance - c.start
	if behind < 0 {
		return 0, false
	}
	reserved := c.reserved(candidate, min(behind, q.credit)*c.weight) / c.weight
	start := c.start + min(reserved, q.credit)
	return start, start <= q.virtualTime+startTolerance
}

// charge advances the virtual time for a service of the chosen class, and the start time of the class if the service
// was owed to it. Classes that have items but none that can run are owed no more than the credit.
func (q *Queue) charge(chosen int, cost float64, isOwed bool, candidates *[packet.ClassCount]*subqueue) {
	if isOwed {
		q.classes[chosen].start += cost / q.classes[chosen].weight
	}
	q.virtualTime += cost / q.weight
	for i, c := range q.classes {
		if candidates[i] == nil && c.count > 0 {
			c.start = max(c.start, q.virtualTime-q.credit)
		}
	}
	if q.virtualTime < rebaseAt {
		return
	}
	for _, c := range q.classes {
		c.start -= q.virtualTime
	}
	q.virtualTime = 0
}

// Expire removes and returns the items whose deadline has passed.
func (q *Queue) Expire(now time.Time) []*Item {
	var expired []*Item
	for q.deadlines.len() > 0 && !q.deadlines.top().Deadline.After(now) {
		it := q.deadlines.top()
		q.takeOut(it, false, 0)
		expired = append(expired, it)
	}
	return expired
}

// NextExpiry returns the earliest deadline in the queue, and false if there is none.
func (q *Queue) NextExpiry() (time.Time, bool) {
	if q.deadlines.len() == 0 {
		return time.Time{}, false
	}
	return q.deadlines.top().Deadline, true
}

// Remove removes the item of a request and returns it, or nil if it is not in the queue.
func (q *Queue) Remove(flow packet.FlowID, request uint64) *Item {
	for it := q.byFlow[flow]; it != nil; it = it.sibling {
		if it.Request == request {
			q.takeOut(it, false, 0)
			return it
		}
	}
	return nil
}

// RemoveFlow removes all items of a flow and returns them in the order of their request numbers.
func (q *Queue) RemoveFlow(flow packet.FlowID) []*Item {
	var items []*Item
	for it := q.byFlow[flow]; it != nil; it = q.byFlow[flow] {
		q.takeOut(it, false, 0)
		items = append(items, it)
	}
	sortByRequest(items)
	return items
}

// insert adds an item for which there is room.
func (q *Queue) insert(it *Item) {
	c := q.classes[it.Class]
	if c.count == 0 {
		c.start = max(c.start, q.virtualTime-q.credit)
	}
	if !it.returned {
		q.sequence++
		it.sequence = q.sequence
	}
	it.sibling = q.byFlow[it.Flow]
	q.byFlow[it.Flow] = it
	it.position = -1
	if !it.Deadline.IsZero() {
		q.deadlines.push(it)
	}
	c.add(it)
	q.count++
}

// takeOut removes an item from all indexes. If it is served, its customer is charged the given cost.
func (q *Queue) takeOut(it *Item, isServed bool, charge float64) {
	q.classes[it.Class].remove(it, isServed, charge)
	if it.position >= 0 {
		q.deadlines.remove(it)
		it.position = -1
	}
	q.unlinkFlow(it)
	q.count--
}

func (q *Queue) unlinkFlow(it *Item) {
	first := q.byFlow[it.Flow]
	if first == it {
		if it.sibling == nil {
			delete(q.byFlow, it.Flow)
		} else {
			q.byFlow[it.Flow] = it.sibling
		}
	} else {
		for first.sibling != it {
			first = first.sibling
		}
		first.sibling = it.sibling
	}
	it.sibling = nil
}
