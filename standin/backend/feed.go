package backend

import (
	"context"
	"sync"
	"time"

	"cornellb/core/state/packet"
	"cornellb/standin/content"
)

// stream is one feed subscription on a connection.
type stream struct {
	number uint64
	feed   string
	next   uint64
	stop   context.CancelFunc

	lock        sync.Mutex
	acked       uint64
	ackAdvanced chan struct{} // receives a value when acked may have increased
}

func (c *connection) subscribe(m *packet.Backend) {
	if !c.accepts(m.Service, func(r *Report) { r.LateSubscribes++ }) {
		return
	}
	ctx, stop := context.WithCancel(c.ctx)
	from := max(1, m.Sequence)
	t := &stream{
		number: m.Stream, feed: m.Feed, next: from, stop: stop, acked: from - 1, ackAdvanced: make(chan struct{}, 1),
	}
	c.lock.Lock()
	if c.streams[m.Stream] != nil {
		c.lock.Unlock()
		stop()
		c.server.count(func(r *Report) { r.Duplicate++ })
		return
	}
	c.streams[m.Stream] = t
	c.lock.Unlock()
	c.server.count(func(r *Report) { r.Subscribed++ })
	c.running.Add(1)
	go c.sendItems(ctx, t)
}

func (c *connection) unsubscribe(number uint64) {
	c.lock.Lock()
	t := c.streams[number]
	delete(c.streams, number)
	c.lock.Unlock()
	if t != nil {
		t.stop()
	}
}

func (c *connection) acknowledge(m *packet.Backend) {
	c.lock.Lock()
	t := c.streams[m.Stream]
	c.lock.Unlock()
	if t == nil {
		return // the acknowledgement and an Unsubscribe have crossed on the way
	}
	t.lock.Lock()
	t.acked = max(t.acked, m.Sequence)
	t.lock.Unlock()
	select {
	case t.ackAdvanced <- struct{}{}:
	default:
	}
}

// sendItems sends at most one item per interval, and waits while the window is full.
func (c *connection) sendItems(ctx context.Context, t *stream) {
	defer c.running.Done()
	defer t.stop()
	ticker := time.NewTicker(c.server.config.FeedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for t.isWindowFull() {
			select {
			case <-ctx.Done():
				return
			case <-t.ackAdvanced:
			}
		}
		c.server.count(func(r *Report) { r.Items++ })
		c.send(&packet.Backend{
			Kind: packet.BackendItem, Stream: t.number, Sequence: t.next,
			Payload: content.Item(c.server.config.Service, t.feed, t.next),
		})
		t.next++
	}
}

func (t *stream) isWindowFull() bool {
	t.lock.Lock()
	defer t.lock.Unlock()
	return t.next > t.acked+feedWindow
}
