package client

import (
	"bytes"
	"context"
	"time"

	"cornellb/core/state/packet"
)

const (
	// feedSilence is the time without an item after which the feed is subscribed again.
	feedSilence = 3 * time.Second
	// feedBuffer bounds the items that wait for an earlier one, and those that wait for Next. It exceeds the owner's
	// window of 64, so that no item is dropped while a single owner serves the feed.
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
	next          uint64 // sequence of the item that is accepted next
	ready         []Item
	early         map[uint64][]byte // received before an earlier item
	signal        chan struct{}     // receives when ready or err changed
	err           error
	nextSubscribe time.Time
	backoff       time.Duration
}

// Subscribe starts the flow's feed at the item from, or at the first item if from is 0. The subscription is repeated
// until items come, and whenever none came for 3 s. A flow has one feed: a second call returns a *SubscribedError.
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
		early:         make(map[uint64][]byte),
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
// refused, or the error of the context; after the last, Next may be called again and no item is lost.
func (d *Feed) Next(ctx context.Context) (Item, error) {
	for {
		d.flow.lock.Lock()
		if len(d.ready) > 0 {
			item := d.ready[0]
			d.ready = d.ready[1:]
			if len(d.ready) > 0 {
				d.wake()
			}
			d.flow.lock.Unlock()
			return item, nil
		}
		if err := d.err; err != nil {
			d.wake()
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

func (d *Feed) wake() {
	select {
	case d.signal <- struct{}{}:
	default:
	}
}

func (d *Feed) fail(err error) {
	if d.err == nil {
		d.err = err
		d.wake()
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

// handleRefusal plans another subscription, because a feed has to survive a balancer or backend server that cannot take
// it now. Only a refused ticket ends the feed.
func (d *Feed) handleRefusal(p *packet.Packet) {
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
	// A duplicate is acknowledged too, because the acknowledgement of its first copy may be lost.
	f.client.send(&packet.Packet{Kind: packet.KindItemAck, Flow: f.id, Ticket: f.ticket, Sequence: d.next - 1})
}

func (d *Feed) accept(p *packet.Packet) {
	n := p.Sequence
	_, isEarly := d.early[n]
	switch {
	case n < d.next || isEarly:
		d.flow.client.counters.duplicateItem.Add(1)
	case n-d.next >= feedBuffer:
		// The owner sends the item again, because it is not acknowledged.
		d.flow.client.counters.itemOverflow.Add(1)
	default:
		d.early[n] = bytes.Clone(p.Payload)
	}
	d.drain()
}

// drain moves the items that are next in order to Next, while its buffer has room.
func (d *Feed) drain() {
	for len(d.ready) < feedBuffer {
		payload, ok := d.early[d.next]
		if !ok {
			break
		}
		delete(d.early, d.next)
		d.ready = append(d.ready, Item{Sequence: d.next, Payload: payload})
		d.next++
		d.wake()
	}
}
