package admission

import (
	"net/netip"
	"slices"
)

// customer is one customer inside one class.
type customer struct {
	name      string
	start     float64 // virtual start time of the customer's next item, in cost units; never falls
	count     int
	cost      float64
	subqueues []*subqueue // the customer's items by pinned endpoint; few, because a shard has few endpoints
	position  int         // index in byLength while the customer has items, in idle otherwise
}

func (c *customer) subqueueOf(endpoint netip.AddrPort) *subqueue {
	for _, p := range c.subqueues {
		if p.endpointQueue.endpoint == endpoint {
			return p
		}
	}
	return nil
}

func (c *customer) dropSubqueue(p *subqueue) {
	i, last := slices.Index(c.subqueues, p), len(c.subqueues)-1
	c.subqueues[i], c.subqueues[last] = c.subqueues[last], nil
	c.subqueues = c.subqueues[:last]
}

// subqueue is the list of one customer's items for one endpoint, oldest first. Items without a pin are in the subqueue
// of the zero address.
type subqueue struct {
	owner         *customer
	endpointQueue *endpointQueue
	key           float64 // owner.start when the position in the heap was last updated; may be too low, never too high
	head          *Item
	tail          *Item
	position      int // in endpointQueue.subqueues
}

// insert adds an item in the order of sequence numbers. A new item is appended; an item that was popped before is older
// than almost all others, so its place is searched from the front.
func (p *subqueue) insert(it *Item) {
	it.subqueue, it.previous, it.next = p, p.tail, nil
	if p.tail != nil && p.tail.sequence > it.sequence {
		it.next = p.head
		for it.next.sequence < it.sequence {
			it.next = it.next.next
		}
		it.previous = it.next.previous
	}
	if it.previous != nil {
		it.previous.next = it
	} else {
		p.head = it
	}
	if it.next != nil {
		it.next.previous = it
	} else {
		p.tail = it
	}
}

func (p *subqueue) unlink(it *Item) {
	if it.previous != nil {
		it.previous.next = it.next
	} else {
		p.head = it.next
	}
	if it.next != nil {
		it.next.previous = it.previous
	} else {
		p.tail = it.previous
	}
	it.subqueue, it.previous, it.next = nil, nil, nil
}

// endpointQueue orders the subqueues of one class for one endpoint by the start times of their customers.
type endpointQueue struct {
	endpoint  netip.AddrPort
	index     int // in class.endpointQueues
	subqueues indexedHeap[*subqueue]
	isBlocked bool // the endpoint could not run an item at the last call of candidate
}

// first returns the subqueue with the lowest start time. Start times never fall, so a subqueue with an outdated key can
// only be too near the top of the heap. Its key is updated when it reaches the top, so that serving a customer does not
// have to update its subqueues of all endpoints.
func (l *endpointQueue) first() *subqueue {
	for {
		p := l.subqueues.top()
		if p.key == p.owner.start {
			return p
		}
		p.key = p.owner.start
		l.subqueues.fix(p)
	}
}

func subqueuePosition(p *subqueue) *int { return &p.position }

func subqueueBefore(a, b *subqueue) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.head.sequence < b.head.sequence
}

// class schedules the customers of one class by start-time fair queueing (SFQ) with equal weights.
type class struct {
	weight         float64
	start          float64 // virtual start time among the classes, in cost units divided by weight
	count          int
	cost           float64
	virtualTime    float64 // virtual time of the customers
	customers      map[string]*customer
	byLength       indexedHeap[*customer] // customers with items, longest first
	idle           indexedHeap[*customer] // customers without items, start ahead of virtualTime; lowest start first
	endpointQueues []*endpointQueue
	byEndpoint     map[netip.AddrPort]*endpointQueue
	served         float64 // cost of the items popped to run, decayed over rateWindow

	freeCustomers      freeList[customer]
	freeSubqueues      freeList[subqueue]
	freeEndpointQueues freeList[endpointQueue]
}

// freeList keeps unused objects for reuse. On a shard that is not overloaded, most requests are the only queued one of
// their customer, and each would otherwise allocate a customer, a subqueue and an endpointQueue.
type freeList[T any] struct{ free []*T }

func (f *freeList[T]) put(o *T) { f.free = append(f.free, o) }

func (f *freeList[T]) take() *T {
	if len(f.free) == 0 {
		return new(T)
	}
	last := len(f.free) - 1
	o := f.free[last]
	f.free[last] = nil
	f.free = f.free[:last]
	return o
}

func newClass(weight float64) *class {
	return &class{
		weight:     weight,
		customers:  make(map[string]*customer),
		byEndpoint: make(map[netip.AddrPort]*endpointQueue),
		byLength: indexedHeap[*customer]{
			before:   func(a, b *customer) bool { return a.count > b.count },
			position: func(c *customer) *int { return &c.position },
		},
		idle: indexedHeap[*customer]{
			before:   func(a, b *customer) bool { return a.start < b.start },
			position: func(c *customer) *int { return &c.position },
		},
	}
}

// lengthOf returns the number of queued items of a customer.
func (c *class) lengthOf(name string) int {
	if cu := c.customers[name]; cu != nil {
		return cu.count
	}
	return 0
}

func (c *class) add(it *Item) {
	cu := c.customers[it.Customer]
	if cu == nil {
		cu = c.freeCustomers.take()
		cu.name, cu.start = it.Customer, c.virtualTime
		c.customers[it.Customer] = cu
	} else if cu.count == 0 {
		c.idle.remove(cu)
	}
	if cu.count == 0 {
		cu.start = max(cu.start, c.virtualTime)
		cu.count = 1
		c.byLength.push(cu)
	} else {
		cu.count++
		c.byLength.fix(cu)
	}
	cu.cost += it.Cost
	c.count++
	c.cost += it.Cost
	c.link(cu, it)
}

// link adds an item to the subqueue of its customer and endpoint.
func (c *class) link(cu *customer, it *Item) {
	if p := cu.subqueueOf(it.Endpoint); p != nil {
		p.insert(it)
		p.endpointQueue.subqueues.fix(p)
		return
	}
	p := c.freeSubqueues.take()
	p.owner, p.endpointQueue, p.key = cu, c.endpointQueue(it.Endpoint), cu.start
	p.insert(it)
	cu.subqueues = append(cu.subqueues, p)
	p.endpointQueue.subqueues.push(p)
}

func (c *class) endpointQueue(endpoint netip.AddrPort) *endpointQueue {
	l := c.byEndpoint[endpoint]
	if l == nil {
		l = c.freeEndpointQueues.take()
		l.endpoint, l.index = endpoint, len(c.endpointQueues)
		l.subqueues.before, l.subqueues.position = subqueueBefore, subqueuePosition
		c.endpointQueues = append(c.endpointQueues, l)
		c.byEndpoint[endpoint] = l
	}
	return l
}

func (c *class) removeEndpointQueue(l *endpointQueue) {
	last := c.endpointQueues[len(c.endpointQueues)-1]
	c.endpointQueues[l.index] = last
	last.index = l.index
	c.endpointQueues[len(c.endpointQueues)-1] = nil
	c.endpointQueues = c.endpointQueues[:len(c.endpointQueues)-1]
	delete(c.byEndpoint, l.endpoint)
	c.freeEndpointQueues.put(l)
}

// unlink removes an item from its subqueue, and removes the subqueue and the endpointQueue if they are empty then.
func (c *class) unlink(it *Item) {
	p := it.subqueue
	p.unlink(it)
	if p.head != nil {
		p.endpointQueue.subqueues.fix(p)
		return
	}
	p.endpointQueue.subqueues.remove(p)
	p.owner.dropSubqueue(p)
	if p.endpointQueue.subqueues.len() == 0 {
		c.removeEndpointQueue(p.endpointQueue)
	}
	p.owner, p.endpointQueue = nil, nil
	c.freeSubqueues.put(p)
}

// remove removes an item. If it is served, the customer is charged the given cost.
func (c *class) remove(it *Item, isServed bool, charge float64) {
	cu := it.subqueue.owner
	if isServed {
		// The start of a customer whose items were all blocked may be behind the virtual time. It is charged from the
		// current virtual time, so that it cannot make up for the blocked time with a burst.
		c.virtualTime = max(c.virtualTime, cu.start)
		cu.start = c.virtualTime + charge
	}
	c.unlink(it)
	cu.count--
	cu.cost -= it.Cost
	c.count--
	c.cost -= it.Cost
	if cu.count > 0 {
		c.byLength.fix(cu)
	} else {
		cu.cost = 0
		c.byLength.remove(cu)
		c.idle.push(cu)
	}
	c.dropIdle()
}

// dropIdle removes the customers without items whose start is not ahead of the virtual time: a new customer would start
// at the same time. If more than maxIdleCustomers remain, the virtual time is moved forward to remove the excess, which
// bounds the memory. The only effect is that customers that arrive later are served after those that already wait.
func (c *class) dropIdle() {
	if c.count == 0 {
		for _, cu := range c.idle.nodes {
			c.freeCustomers.put(cu)
		}
		clear(c.customers)
		clear(c.idle.nodes)
		c.idle.nodes = c.idle.nodes[:0]
		c.virtualTime, c.cost = 0, 0
		return
	}
	for c.idle.len() > 0 {
		cu := c.idle.top()
		if cu.start > c.virtualTime && c.idle.len() <= maxIdleCustomers {
			return
		}
		c.virtualTime = max(c.virtualTime, cu.start)
		c.idle.remove(cu)
		delete(c.customers, cu.name)
		c.freeCustomers.put(cu)
	}
}

// candidate returns the subqueue whose first item is next in the class among those that may run now, or nil.
func (c *class) candidate(canRun func(netip.AddrPort) bool, anyFree bool) *subqueue {
	var best *subqueue
	for _, l := range c.endpointQueues {
		if l.endpoint.IsValid() {
			l.isBlocked = !canRun(l.endpoint)
		} else {
			l.isBlocked = !anyFree
		}
		if l.isBlocked {
			continue
		}
		if p := l.first(); best == nil || subqueueBefore(p, best) {
			best = p
		}
	}
	return best
}

// reserved returns the cost of the items that are before the candidate and wait for busy endpoints, one of each
// endpoint, because an endpoint frees its slots one at a time. It stops when the cost is above the limit.
func (c *class) reserved(candidate *subqueue, limit float64) float64 {
	cost := 0.0
	for _, l := range c.endpointQueues {
		if !l.isBlocked {
			continue
		}
		if p := l.first(); subqueueBefore(p, candidate) {
			cost += p.head.Cost
		}
		if cost > limit {
			break
		}
	}
	return cost
}
