package client

import (
	"bytes"
	"context"
	"time"

	"cornellb/core/state/packet"
)

const (
	// feedSilence is the time without an item after which the Subscribe packet is sent again. It is also the
	// limit of the backoff between Subscribe packets.
	feedSilence = 3 * time.Second
	// feedBuffer limits the number of items that wait for an earlier one, and of those that wait for Next. It exceeds
	// the 64 unacknowledged items that an owner sends at most, so that no item is dropped while a single owner serves
	// the feed.
	feedBuffer = 256
)

// Item is one element of a feed.
type Item struct {
	Sequence uint64 // from 1
	Payload  []byte
}

// Feed delivers the items of a subscription in order. Its fields are guarded by the flow's lock.
type Feed struct {
	flow          *Flow
	name          string
	next          uint64            // sequence number of the next item to append to ready
	ready         []Item            // in order, to be returned by Next
	pending       map[uint64][]byte // received, but not appended to ready yet, by sequence number
	signal        chan struct{}     // receives when ready is not empty or err is set
	err           error
	nextSubscribe time.Time
	backoff       time.Duration
}

// Subscribe starts the flow's feed at the item with the sequence number from, or at the first item if from is 0. The
// Subscribe packet is sent again until items arrive, and whenever none arrived for 3 s. A flow has one feed: a second
// call returns a *SubscribedError.
func (f *Flow) Subscribe(ctx context.Context, name string, from uint64) (*Feed, error) {
	if err := ctx.Err(); err != nil {
		return nil, &NotRunError{Reason: reasonOf(err), Cause: err}
	}
	if len(name) > packet.MaxNameBytes {
		cause := &SizeError{Field: "feed", Size: len(name), Limit: packet.MaxNameBytes}
		return nil, &NotRunError{Reason: packet.ReasonLimit, Cause: cause}
	}
	f.lock.Lock()
	if f.isClosed {
		f.lock.Unlock()
		return nil, &ClosedError{}
	}
	if f.feed != nil {
		f.lock.Unlock()
		return nil, &SubscribedError{Feed: f.feed.name}
	}
	now := f.client.clock.Now()
	f.feed = &Feed{
		flow:          f,
		name:          name,
		next:          max(1, from),
		pending:       make(map[uint64][]byte),
		signal:        make(chan struct{}, 1),
		nextSubscribe: now,
		backoff:       firstBackoff,
	}
	d, p := f.feed, f.feed.subscription(now)
	f.lock.Unlock()
	f.client.send(p)
	return d, nil
}

// Next returns the next item. It returns a *ClosedError after Flow.Close, a *NotRunError if the flow's ticket was
// refused, or the error of the context. After an error of the context, Next may be called again; no item is lost.
func (d *Feed) Next(ctx context.Context) (Item, error) {
	for {
		d.flow.lock.Lock()
		if len(d.ready) > 0 {
			item := d.ready[0]
			d.ready = d.ready[1:]
			d.refill()
			if len(d.ready) > 0 {
				d.notify()
			}
			d.flow.lock.Unlock()
			return item, nil
		}
		if err := d.err; err != nil {
			d.notify()
			d.flow.lock.Unlock()
			return Item{}, err
		}
		d.flow.lock.Unlock()
		select {
		case <-d.signal:
		case <-ctx.Done():
			return Item{}, ctx.Err()
		}
	}
}

func (d *Feed) notify() {
	select {
	case d.signal <- struct{}{}:
	default:
	}
}

// fail ends the feed with an error, unless it has ended before.
func (d *Feed) fail(err error) {
	if d.err == nil {
		d.err = err
		d.notify()
	}
}

// subscription returns a Subscribe packet if one is due, or nil.
func (d *Feed) subscription(now time.Time) *packet.Packet {
	if d.err != nil || now.Before(d.nextSubscribe) {
		return nil
	}
	d.nextSubscribe = now.Add(d.flow.client.jitter(d.backoff))
	d.backoff = min(2*d.backoff, feedSilence)
	d.flow.client.counters.subscribed.Add(1)
	return &packet.Packet{
		Kind: packet.KindSubscribe, Flow: d.flow.id, Ticket: d.flow.ticket, Feed: d.name, Sequence: d.next,
	}
}

// handleNotAnswered processes a NotRun or Unknown for the feed. It schedules the next Subscribe packet, because the
// feed has to continue after a balancer or backend server could not serve it for a time. Only a refused ticket ends the
// feed.
func (d *Feed) handleNotAnswered(p *packet.Packet) {
	if p.Reason == packet.ReasonBadTicket {
		d.fail(&NotRunError{Reason: p.Reason, RetryAfter: p.RetryAfter})
		return
	}
	wait := max(p.RetryAfter, d.flow.client.jitter(d.backoff))
	d.nextSubscribe = d.flow.client.clock.Now().Add(min(wait, feedSilence))
}

func (f *Flow) handleItem(p *packet.Packet) {
	d := f.feed
	if d == nil || d.err != nil {
		f.client.counters.otherRequest.Add(1)
		return
	}
	d.nextSubscribe = f.client.clock.Now().Add(feedSilence)
	d.backoff = firstBackoff
	d.accept(p)
	d.acknowledge() // a duplicate too, because the acknowledgement of its first copy may be lost
}

func (d *Feed) acknowledge() {
	f := d.flow
	f.client.send(&packet.Packet{Kind: packet.KindItemAck, Flow: f.id, Ticket: f.ticket, Sequence: d.next - 1})
}

// refill moves items to ready after Next has removed one, and acknowledges them. Without the acknowledgement, an owner
// whose window is full would send no further item before it repeats an old one.
func (d *Feed) refill() {
	before := d.next
	if d.moveReady(); d.next > before && d.err == nil {
		d.acknowledge()
	}
}

func (d *Feed) accept(p *packet.Packet) {
	n := p.Sequence
	_, isPending := d.pending[n]
	switch {
	case n < d.next || isPending:
		d.flow.client.counters.duplicateItem.Add(1)
	case n-d.next >= feedBuffer:
		// The owner sends the item again later, because it is not acknowledged.
		d.flow.client.counters.itemOverflow.Add(1)
	default:
		d.pending[n] = bytes.Clone(p.Payload)
	}
	d.moveReady()
}

// moveReady moves the items that are next in order from pending to ready, until ready is full.
func (d *Feed) moveReady() {
	for len(d.ready) < feedBuffer {
		payload, ok := d.pending[d.next]
		if !ok {
			break
		}
		delete(d.pending, d.next)
		d.ready = append(d.ready, Item{Sequence: d.next, Payload: payload})
		d.next++
		d.notify()
	}
}
