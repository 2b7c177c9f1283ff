// Package admission holds the bounded fair queue of a pool shard: which request runs next, and which is refused when
// there are too many.
//
// # Scheduling
//
// Each class has a weight, which is its guaranteed share of all service. Inside a class, all customers that have work
// get equal shares. A class that does not use its share leaves it to the most urgent class that has work. The virtual
// time of the classes advances with each unit of served cost divided by the sum of all weights, whether or not a class
// has work; a class whose start time is not ahead of it is owed service, and such classes are served in the order of
// their start times, the most urgent first on ties. A class that could not use its share is owed the share of the last
// maxCredit services afterwards. If no class that can run is owed service, the service is unused share: it goes to the
// most urgent class that can run and is not charged. Customers inside a class are scheduled by plain start-time fair
// queueing.
//
// A pinned item runs only on its endpoint. Items are kept by class, endpoint and customer, so an item whose endpoint is
// busy blocks nothing behind it, and Pop costs one check per class and endpoint that has pinned items, plus logarithms
// of the number of customers.
//
// # Usage
//
//	q := admission.New(admission.Config{Limit: 1024, Weights: [packet.ClassCount]float64{6, 3, 1}})
//	refused := q.Push(now, item, q.EstimateWait(now, item.Class, item.Customer))
//	item, expired := q.Pop(now, set.CanAcquire, set.AnyFree())
//
// Every item that was pushed leaves the queue exactly once: in a refusal, as the result of Pop or among the expired
// items, or by Remove or RemoveFlow. A Queue starts no goroutine, reads no clock and takes no lock; its caller holds the
// lock of the shard. Times passed in must not run backwards.
package admission

import (
	"net/netip"
	"time"

	"cornellb/core/state/packet"
)

// maxIdleCustomers is the largest number of customers without items that a class remembers because they were served
// ahead of others. It equals the default queue limit.
const maxIdleCustomers = 1024

// maxCredit is the cost of the last services of which a class is still owed its share after a time in which it had no
// work or all its items waited for busy endpoints. With none, a burst of a class that stays below its share waits behind
// a flood; with much, the burst delays the other classes. All classes have the same span, so that a short contention
// favours the more urgent ones. docs/notes/admission.md has the measurements.
const maxCredit = 60

// rebaseAt is the virtual time at which the tags of the classes are moved back to zero, long before float64 loses the
// fractions.
const rebaseAt = 1 << 20

// tagSlack absorbs rounding when tags are compared.
const tagSlack = 1e-6

// Item is one request that waits for a slot. Its exported fields must not change while it is in a queue.
type Item struct {
	Flow     packet.FlowID
	Request  uint64
	Class    packet.Class
	Customer string
	Deadline time.Time      // latest useful start, that is, the caller's deadline less the usual time to serve; zero means none
	Enqueued time.Time      // set by Push if zero
	Endpoint netip.AddrPort // the endpoint that alone may run the item; not valid if any may
	Cost     float64        // share of service that the item takes; set to 1 by Push if not positive

	// NotStarted is set by the caller before it pushes an item again whose attempt was not started. Its next service is
	// not charged, because the customer and the class were charged for the first. Pop clears it.
	NotStarted bool

	sequence uint64
	returned bool // the item was popped before and came back
	part     *part
	previous *Item // in part
	next     *Item // in part
	sibling  *Item // next item of the same flow
	position int   // in the deadline heap; -1 without a deadline
}

// Refusal is an item that the queue does not keep. The item has not run and the queue will not return it.
type Refusal struct {
	Item       *Item
	Reason     packet.Reason
	RetryAfter time.Duration // estimate without jitter; the sender adds it
}

// Config holds the limits of a queue.
type Config struct {
	Limit         int                        // items in the queue; DefaultLimit if not positive
	Weights       [packet.ClassCount]float64 // guaranteed shares; a weight that is not positive is replaced by the default
	CustomerLimit int                        // items of one customer in one class even if there is room; Limit if not positive
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
	credit        float64 // virtual time that a class may be behind: maxCredit divided by weight
	virtual       float64 // virtual time of the classes
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
	var candidates [packet.ClassCount]*part
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
func (q *Queue) selectClass(candidates *[packet.ClassCount]*part) (int, bool) {
	chosen, spare := -1, -1
	for i, c := range q.classes {
		if candidates[i] == nil {
			continue
		}
		if spare < 0 {
			spare = i
		}
		if c.start <= q.virtual+tagSlack && (chosen < 0 || c.start < q.classes[chosen].start) {
			chosen = i
		}
	}
	if chosen >= 0 {
		return chosen, true
	}
	return spare, false
}

func (q *Queue) charge(chosen int, cost float64, isOwed bool, candidates *[packet.ClassCount]*part) {
	if isOwed {
		q.classes[chosen].start += cost / q.classes[chosen].weight
	}
	q.virtual += cost / q.weight
	for i, c := range q.classes {
		if candidates[i] == nil && c.count > 0 {
			c.start = max(c.start, q.virtual-q.credit)
		}
	}
	if q.virtual < rebaseAt {
		return
	}
	for _, c := range q.classes {
		c.start -= q.virtual
	}
	q.virtual = 0
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

// Remove takes out one request that its caller cancelled and returns it, or nil if it is not in the queue.
func (q *Queue) Remove(flow packet.FlowID, request uint64) *Item {
	for it := q.byFlow[flow]; it != nil; it = it.sibling {
		if it.Request == request {
			q.takeOut(it, false, 0)
			return it
		}
	}
	return nil
}

// RemoveFlow takes out all requests of a flow and returns them in the order of their request numbers.
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
		c.start = max(c.start, q.virtual-q.credit)
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
