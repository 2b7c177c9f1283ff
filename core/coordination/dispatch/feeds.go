package dispatch

import (
	"net/netip"
	"time"

	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// resendBurst is the largest number of unacknowledged items that one resend of a feed sends.
const resendBurst = 16

// feedRetry is the time between attempts to subscribe a feed that has no stream.
const feedRetry = 200 * time.Millisecond

// feed is an open feed. The backend server numbers the items; the owner keeps those that the caller has not
// acknowledged.
type feed struct {
	name         string
	acked        uint64 // last item that the caller acknowledged
	items        []feedItem
	stream       uint64         // 0 without a subscription
	endpoint     netip.AddrPort // of the subscription
	timeoutStart time.Time      // start of the resend timeout: the last send of the items or the last acknowledgement
	retryAt      time.Time      // earliest time of the next subscription attempt
}

type feedItem struct {
	sequence uint64
	payload  []byte
}

// nextSequence returns the sequence number that the next item from the backend server must have.
func (d *feed) nextSequence() uint64 { return d.acked + uint64(len(d.items)) + 1 }

// acknowledge drops the items up to a sequence number. It returns false if the number acknowledges no kept item.
func (d *feed) acknowledge(sequence uint64) bool {
	if sequence <= d.acked || sequence >= d.nextSequence() {
		return false
	}
	d.items = d.items[sequence-d.acked:]
	d.acked = sequence
	return true
}

// handleSubscribe opens a feed at the sequence number that the caller wants next, or resumes the open feed there.
func (s *Shard) handleSubscribe(now time.Time, f *flowState, p *packet.Packet) {
	if p.Sequence == 0 {
		s.countDropped("feed_sequence")
		return
	}
	if s.handover.isActive() {
		s.countDropped("handover")
		return
	}
	if f.feed != nil && f.feed.name == p.Feed && p.Sequence > f.feed.acked && p.Sequence <= f.feed.nextSequence() {
		f.feed.acknowledge(p.Sequence - 1)
		s.acknowledgeStream(f)
		s.sendItems(now, f, len(f.feed.items))
		return
	}
	s.reopenFeed(now, f, p.Feed, p.Sequence-1)
}

func (s *Shard) reopenFeed(now time.Time, f *flowState, name string, acked uint64) {
	s.closeFeed(f, true)
	s.openFeed(now, f, name, acked)
}

func (s *Shard) openFeed(now time.Time, f *flowState, name string, acked uint64) {
	f.feed = &feed{name: name, acked: acked}
	s.feeds.add(f)
	s.subscribe(now, f)
}

// subscribe starts a stream for a feed that has none, from the item after the last one received.
func (s *Shard) subscribe(now time.Time, f *flowState) {
	d := f.feed
	d.retryAt = now.Add(feedRetry)
	if s.isCatchingUp(now) {
		return
	}
	a := f.endpoint
	if !a.IsValid() || !s.honorsPin(now, a) {
		var ok bool
		if a, ok = s.endpoints.ChooseFeed(now, f.endpoint); !ok {
			return
		}
	}
	stream := s.nextNumber()
	err := s.out.Backend.Send(a, &packet.Backend{
		Kind: packet.BackendSubscribe, Service: s.service, Stream: stream, Feed: d.name, Sequence: d.nextSequence(),
		Customer: f.customer, Class: f.class,
	})
	if err != nil {
		return
	}
	s.pin(f, a, "feed")
	d.stream, d.endpoint = stream, a
	s.streams[stream] = f
}

func (s *Shard) unsubscribe(f *flowState) {
	d := f.feed
	if d.stream == 0 {
		return
	}
	_ = s.out.Backend.Send(d.endpoint, &packet.Backend{
		Kind: packet.BackendUnsubscribe, Service: s.service, Stream: d.stream,
	})
	delete(s.streams, d.stream)
	d.stream = 0
}

// closeFeed forgets a flow's feed. With notifyBackend, it also unsubscribes at the backend server.
func (s *Shard) closeFeed(f *flowState, notifyBackend bool) {
	if f.feed == nil {
		return
	}
	if notifyBackend {
		s.unsubscribe(f)
	}
	delete(s.streams, f.feed.stream)
	s.feeds.remove(f)
	s.unacked.remove(f)
	f.feed = nil
}

// handleItem keeps the next item of a stream and sends it to the caller. An item that was received before is dropped.
// An item after a gap or beyond FeedWindow ends the stream, and resumeFeeds subscribes again after the last item
// received.
func (s *Shard) handleItem(now time.Time, address netip.AddrPort, m *packet.Backend) {
	f := s.streams[m.Stream]
	if f == nil || f.feed == nil || f.feed.endpoint != address {
		s.countDropped("late_item")
		return
	}
	d := f.feed
	if m.Sequence != d.nextSequence() || len(d.items) >= s.config.FeedWindow {
		s.countDropped("item_order")
		if m.Sequence >= d.nextSequence() {
			s.unsubscribe(f)
		}
		return
	}
	if len(d.items) == 0 {
		d.timeoutStart = now
	}
	d.items = append(d.items, feedItem{m.Sequence, append([]byte(nil), m.Payload...)})
	s.unacked.add(f)
	s.sendItem(f, d.items[len(d.items)-1])
}

func (s *Shard) sendItem(f *flowState, it feedItem) {
	s.sendCaller(f, &packet.Packet{
		Kind: packet.KindItem, Flow: f.id, Feed: f.feed.name, Sequence: it.sequence, Payload: it.payload,
	})
}

func (s *Shard) sendItems(now time.Time, f *flowState, limit int) {
	for i, it := range f.feed.items {
		if i == limit {
			break
		}
		s.sendItem(f, it)
	}
	f.feed.timeoutStart = now
}

func (s *Shard) handleItemAck(now time.Time, f *flowState, p *packet.Packet) {
	if f.feed == nil {
		return
	}
	if p.Sequence >= f.feed.nextSequence() {
		// The caller received further items from another owner while this process was suspended or disconnected.
		s.reopenFeed(now, f, f.feed.name, p.Sequence)
		return
	}
	if !f.feed.acknowledge(p.Sequence) {
		return
	}
	f.feed.timeoutStart = now
	if len(f.feed.items) == 0 {
		s.unacked.remove(f)
	}
	s.acknowledgeStream(f)
}

func (s *Shard) acknowledgeStream(f *flowState) {
	if f.feed.stream == 0 {
		return
	}
	_ = s.out.Backend.Send(f.feed.endpoint, &packet.Backend{
		Kind: packet.BackendItemAck, Service: s.service, Stream: f.feed.stream, Sequence: f.feed.acked,
	})
}

// resendItems sends items again that the caller has not acknowledged within FeedResend.
func (s *Shard) resendItems(now time.Time) {
	s.unacked.each(func(f *flowState) {
		if now.Sub(f.feed.timeoutStart) >= s.config.FeedResend {
			s.out.Recorder.Count(metric.Resent, "item", 1)
			s.sendItems(now, f, resendBurst)
		}
	})
}

// moveFeeds ends the streams from an endpoint and starts them at others. No items are lost: each new stream begins
// after the last item that was received.
func (s *Shard) moveFeeds(now time.Time, address netip.AddrPort, cause string) {
	s.feeds.each(func(f *flowState) {
		if f.feed.stream == 0 || f.feed.endpoint != address {
			return
		}
		s.out.Recorder.Count(metric.Repinned, cause, 1)
		s.unsubscribe(f)
		s.unpin(f)
		s.subscribe(now, f)
	})
}

// resumeFeeds subscribes feeds that have no stream, for example because no endpoint was connected.
func (s *Shard) resumeFeeds(now time.Time) {
	if s.handover.isActive() {
		return
	}
	s.feeds.each(func(f *flowState) {
		if f.feed.stream == 0 && !now.Before(f.feed.retryAt) {
			s.subscribe(now, f)
		}
	})
}
