package admission

import (
	"net/netip"
	"slices"
)

// customer is one customer inside one class.
type customer struct {
	name     string
	start    float64 // virtual start time of the customer's next item, in cost units; never falls
	count    int
	cost     float64
	parts    []*part // the customer's items by pinned endpoint; few, because a shard has few endpoints
	position int     // in byLength with items, in idle without
}

func (c *customer) partOf(endpoint netip.AddrPort) *part {
	for _, p := range c.parts {
		if p.lane.endpoint == endpoint {
			return p
		}
	}
	return nil
}

func (c *customer) dropPart(p *part) {
	i, last := slices.Index(c.parts, p), len(c.parts)-1
	c.parts[i], c.parts[last] = c.parts[last], nil
	c.parts = c.parts[:last]
}

// part is the list of one customer's items for one endpoint, oldest first. Items without a pin share the part of the
// zero address.
type part struct {
	owner    *customer
	lane     *lane
	key      float64 // owner.start when the part was last placed in its lane; may be too low, never too high
	head     *Item
	tail     *Item
	position int
}

// insert adds an item in the order of sequence numbers. New items go to the end at once; an item that comes back is
// older than almost all others and is placed from the front.
func (p *part) insert(it *Item) {
	it.part, it.previous, it.next = p, p.tail, nil
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

func (p *part) unlink(it *Item) {
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
	it.part, it.previous, it.next = nil, nil, nil
}

// lane orders the parts of one class for one endpoint by start time.
type lane struct {
	endpoint netip.AddrPort
	index    int // in class.lanes
	parts    indexedHeap[*part]
}

// first returns the part with the lowest start time. Start times only rise, so a part whose key is out of date can only
// be too far up; moving it down when it reaches the top keeps the order without touching every lane at every service.
func (l *lane) first() *part {
	for {
		p := l.parts.top()
		if p.key == p.owner.start {
			return p
		}
		p.key = p.owner.start
		l.parts.fix(p)
	}
}

func partPosition(p *part) *int { return &p.position }

func partBefore(a, b *part) bool {
	if a.key != b.key {
		return a.key < b.key
	}
	return a.head.sequence < b.head.sequence
}

// class schedules the customers of one class by start-time fair queueing with equal weights.
type class struct {
	weight    float64
	start     float64 // virtual start time among the classes, in cost units divided by weight
	count     int
	cost      float64
	virtual   float64 // virtual time of the customers
	customers map[string]*customer
	byLength  indexedHeap[*customer] // customers with items, longest first
	idle      indexedHeap[*customer] // customers without items whose start is ahead of virtual, lowest start first
	lanes     []*lane
	laneOf    map[netip.AddrPort]*lane
	served    float64 // decayed cost of the items taken out to run

	freeCustomers freeList[customer]
	freeParts     freeList[part]
	freeLanes     freeList[lane]
}

// freeList keeps dropped objects for reuse: most requests of a shard that is not overloaded are the only one of their
// customer, and would otherwise allocate its bookkeeping each time.
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
		weight:    weight,
		customers: make(map[string]*customer),
		laneOf:    make(map[netip.AddrPort]*lane),
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

// lengthOf returns the number of items of a customer.
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
		cu.name, cu.start = it.Customer, c.virtual
		c.customers[it.Customer] = cu
	} else if cu.count == 0 {
		c.idle.remove(cu)
	}
	if cu.count == 0 {
		cu.start = max(cu.start, c.virtual)
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

// link adds an item to its part.
func (c *class) link(cu *customer, it *Item) {
	if p := cu.partOf(it.Endpoint); p != nil {
		p.insert(it)
		p.lane.parts.fix(p)
		return
	}
	p := c.freeParts.take()
	p.owner, p.lane, p.key = cu, c.lane(it.Endpoint), cu.start
	p.insert(it)
	cu.parts = append(cu.parts, p)
	p.lane.parts.push(p)
}

func (c *class) lane(endpoint netip.AddrPort) *lane {
	l := c.laneOf[endpoint]
	if l == nil {
		l = c.freeLanes.take()
		l.endpoint, l.index = endpoint, len(c.lanes)
		l.parts.before, l.parts.position = partBefore, partPosition
		c.lanes = append(c.lanes, l)
		c.laneOf[endpoint] = l
	}
	return l
}

func (c *class) removeLane(l *lane) {
	last := c.lanes[len(c.lanes)-1]
	c.lanes[l.index] = last
	last.index = l.index
	c.lanes[len(c.lanes)-1] = nil
	c.lanes = c.lanes[:len(c.lanes)-1]
	delete(c.laneOf, l.endpoint)
	c.freeLanes.put(l)
}

// unlink takes an item out of its part and drops the part and the lane once they are empty.
func (c *class) unlink(it *Item) {
	p := it.part
	p.unlink(it)
	if p.head != nil {
		p.lane.parts.fix(p)
		return
	}
	p.lane.parts.remove(p)
	p.owner.dropPart(p)
	if p.lane.parts.len() == 0 {
		c.removeLane(p.lane)
	}
	p.owner, p.lane = nil, nil
	c.freeParts.put(p)
}

// remove takes out an item. If it was served, the customer is charged the given cost.
func (c *class) remove(it *Item, isServed bool, charge float64) {
	cu := it.part.owner
	if isServed {
		// A customer whose items were all blocked may be behind; it is charged from the present so that being blocked
		// earns no burst.
		c.virtual = max(c.virtual, cu.start)
		cu.start = c.virtual + charge
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
	c.forget()
}

// forget drops the customers without items that would gain nothing by returning: those whose start is not ahead of the
// virtual time. Too many of the others push the virtual time forward, which bounds the memory; this only moves customers
// that arrive later behind those that wait already.
func (c *class) forget() {
	if c.count == 0 {
		for _, cu := range c.idle.nodes {
			c.freeCustomers.put(cu)
		}
		clear(c.customers)
		clear(c.idle.nodes)
		c.idle.nodes = c.idle.nodes[:0]
		c.virtual, c.cost = 0, 0
		return
	}
	for c.idle.len() > 0 {
		cu := c.idle.top()
		if cu.start > c.virtual && c.idle.len() <= maxIdleCustomers {
			return
		}
		c.virtual = max(c.virtual, cu.start)
		c.idle.remove(cu)
		delete(c.customers, cu.name)
		c.freeCustomers.put(cu)
	}
}

// candidate returns the part that is next in the class among those that may run now, or nil.
func (c *class) candidate(canRun func(netip.AddrPort) bool, anyFree bool) *part {
	var best *part
	for _, l := range c.lanes {
		if l.endpoint.IsValid() {
			if !canRun(l.endpoint) {
				continue
			}
		} else if !anyFree {
			continue
		}
		if p := l.first(); best == nil || partBefore(p, best) {
			best = p
		}
	}
	return best
}
