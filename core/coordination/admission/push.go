package admission

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/packet"
)

// minRetryAfter is the shortest retry time in a refusal. After a shorter one, the caller would meet the same full queue
// again.
const minRetryAfter = 20 * time.Millisecond

// maxRetryAfter is the longest retry time in a refusal, so that a caller soon notices that the overload has ended.
const maxRetryAfter = 5 * time.Second

// Push adds an item, unless it is in the queue already, and returns the items that are refused: the new item if it
// cannot be queued, or, when the queue is full, the items whose deadline has passed and an item that makes room for the
// new one. An item that was popped before keeps its place among its customer's items. expectedWait is the time that the
// item is expected to wait, see EstimateWait.
func (q *Queue) Push(now time.Time, it *Item, expectedWait time.Duration) []Refusal {
	q.advance(now)
	if it.subqueue != nil {
		return nil
	}
	if it.Enqueued.IsZero() {
		it.Enqueued = now
	}
	if it.Cost <= 0 {
		it.Cost = 1
	}
	if !it.Deadline.IsZero() && (!it.Deadline.After(now) || now.Add(expectedWait).After(it.Deadline)) {
		return []Refusal{{it, packet.ReasonDeadline, boundRetry(expectedWait - it.Deadline.Sub(now))}}
	}
	if q.classes[it.Class].lengthOf(it.Customer) >= q.customerLimit {
		return []Refusal{q.refuse(now, it, packet.ReasonShare)}
	}
	if q.count < q.limit {
		q.insert(it)
		return nil
	}
	var refused []Refusal
	for _, e := range q.Expire(now) {
		refused = append(refused, Refusal{e, packet.ReasonDeadline, minRetryAfter})
	}
	if q.count >= q.limit {
		victim, reason := q.victim(it)
		if victim == it {
			return append(refused, q.refuse(now, it, reason))
		}
		q.takeOut(victim, false, 0)
		refused = append(refused, q.refuse(now, victim, reason))
	}
	q.insert(it)
	return refused
}

func (q *Queue) refuse(now time.Time, it *Item, reason packet.Reason) Refusal {
	return Refusal{it, reason, boundRetry(q.EstimateWait(now, it.Class, it.Customer))}
}

func boundRetry(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// victim returns the item to refuse when an item is added to a full queue, which may be the added item itself: the
// newest item of the customer with the most items in the class that is furthest above its share. The added item is
// included in the counts. On a tie the added item is refused, because the queued one has already waited.
func (q *Queue) victim(it *Item) (*Item, packet.Reason) {
	own := q.classes[it.Class]
	overShare, most := own, float64(own.count+1)/own.weight
	for _, c := range q.classes {
		if ratio := float64(c.count) / c.weight; c != own && ratio > most {
			overShare, most = c, ratio
		}
	}
	if overShare != own {
		return newest(overShare.byLength.top()), packet.ReasonShare
	}
	length := own.lengthOf(it.Customer) + 1
	if own.count == 0 || own.byLength.top().count <= length {
		if length > 1 {
			return it, packet.ReasonShare
		}
		return it, packet.ReasonQueueFull
	}
	return newest(own.byLength.top()), packet.ReasonShare
}

// newest returns the item of a customer that was queued last.
func newest(cu *customer) *Item {
	var last *Item
	for _, p := range cu.subqueues {
		if last == nil || p.tail.sequence > last.sequence {
			last = p.tail
		}
	}
	return last
}

// Unpin lets the items that are pinned to an endpoint run on any endpoint and returns their number. They keep their
// place among the items of their customers.
func (q *Queue) Unpin(endpoint netip.AddrPort) int {
	n := 0
	for _, c := range q.classes {
		l := c.byEndpoint[endpoint]
		if l == nil || !endpoint.IsValid() {
			continue
		}
		for _, p := range slices.Clone(l.subqueues.nodes) {
			n += c.unpin(p)
		}
	}
	return n
}

func (c *class) unpin(p *subqueue) int {
	owner, moved := p.owner, 0
	for it := p.tail; it != nil; moved++ {
		previous := it.previous
		c.unlink(it)
		it.Endpoint = netip.AddrPort{}
		c.link(owner, it)
		it = previous
	}
	return moved
}

func sortByRequest(items []*Item) {
	slices.SortFunc(items, func(a, b *Item) int { return cmp.Compare(a.Request, b.Request) })
}
