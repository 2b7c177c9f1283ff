package client

import (
	"bytes"
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/packet"
)

// maxReplacedTickets is the number of replaced tickets that a flow remembers. A delayed packet that carries one of them
// must not make it current again, because its owner may have handed the flow over to another.
const maxReplacedTickets = 8

// abandonedTime is how long the client remembers a flow whose open was given up, to close it when a late Opened arrives.
const abandonedTime = 5 * time.Second

// Flow is a sequence of requests, and at most one feed, that balancers keep on one backend server as long as possible.
// Its methods may be called concurrently.
type Flow struct {
	client     *Client
	id         packet.FlowID
	options    Options
	ownsClient bool

	settled chan struct{} // closed when the open has an outcome
	done    chan struct{} // closed by Close

	lock        sync.Mutex
	isOpen      bool
	isClosed    bool
	refusal     *NotRunError // outcome of the open if it was refused
	ticket      []byte
	replaced    [][]byte
	lastRequest uint64 // number of the last request
	requests    map[uint64]*request
	slotFreed   chan struct{} // closed and replaced when a request ends
	feed        *Feed
	nextPing    time.Time
	forgetAt    time.Time // when an abandoned flow is forgotten; zero for other flows
}

// Open opens a flow. It returns a *NotRunError if a balancer refused the flow, none answered in time, or the client is
// closed.
func (c *Client) Open(ctx context.Context, o Options) (*Flow, error) {
	if len(o.Customer) > packet.MaxNameBytes {
		cause := &SizeError{Field: "customer", Size: len(o.Customer), Limit: packet.MaxNameBytes}
		return nil, &NotRunError{Reason: packet.ReasonLimit, Cause: cause}
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	f := &Flow{
		client:    c,
		id:        c.newFlowID(),
		options:   o,
		settled:   make(chan struct{}),
		done:      make(chan struct{}),
		requests:  make(map[uint64]*request),
		slotFreed: make(chan struct{}),
	}
	if !c.register(f) {
		return nil, &NotRunError{Reason: packet.ReasonCancelled, Cause: &ClosedError{}}
	}
	err := f.open(ctx)
	var refusal *NotRunError
	switch {
	case err == nil:
		return f, nil
	case errors.As(err, &refusal) && refusal.Cause == nil: // a balancer refused
		c.forget(f)
	default:
		f.abandon()
	}
	return nil, err
}

// abandon ends a flow whose open was given up. It may be open at an owner whose Opened is still in transit; handle
// answers that with a Close, for which the client remembers the flow for abandonedTime.
func (f *Flow) abandon() {
	f.lock.Lock()
	if f.isOpen || f.isClosed {
		f.lock.Unlock()
		f.shutDown() // the Opened arrived just before the open was given up, or Client.Close ended the flow
		return
	}
	f.isClosed = true
	f.forgetAt = f.client.clock.Now().Add(abandonedTime)
	close(f.done)
	f.lock.Unlock()
}

// register adds a flow, unless the client is closed: Close would not find the flow, so that its open would wait until the
// deadline.
func (c *Client) register(f *Flow) bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	select {
	case <-c.done:
		return false
	default:
		c.flows[f.id] = f
		return true
	}
}

func (c *Client) forget(f *Flow) {
	c.lock.Lock()
	delete(c.flows, f.id)
	c.lock.Unlock()
}

func (f *Flow) open(ctx context.Context) error {
	deadline := f.client.clock.Now().Add(f.options.Timeout)
	err := f.client.retransmit(ctx, deadline, f.settled, f.done, nil, func(left time.Duration) {
		f.client.send(&packet.Packet{
			Kind: packet.KindOpen, Flow: f.id, Class: f.options.Class, Customer: f.options.Customer, Timeout: left,
		})
	})
	if err != nil {
		return &NotRunError{Reason: reasonOf(err), Cause: err}
	}
	if f.refusal != nil {
		return f.refusal
	}
	return nil
}

// reasonOf returns the reason for an outcome that the client decides because of err, without a packet from a balancer.
func reasonOf(err error) packet.Reason {
	if _, ok := err.(*DeadlineError); ok || err == context.DeadlineExceeded {
		return packet.ReasonTimeout
	}
	return packet.ReasonCancelled
}

// ID returns the flow's ID.
func (f *Flow) ID() packet.FlowID { return f.id }

// Close ends the flow. Requests in progress return an *UnknownError and Feed.Next returns a *ClosedError.
func (f *Flow) Close() {
	f.shutDown()
	if f.ownsClient {
		f.client.Close()
	}
}

// shutDown closes the flow and tells the balancers, but leaves the client open.
func (f *Flow) shutDown() {
	f.lock.Lock()
	if f.isClosed {
		f.lock.Unlock()
		return
	}
	f.isClosed = true
	close(f.done)
	if f.feed != nil {
		f.feed.fail(&ClosedError{})
	}
	ticket := f.ticket
	f.lock.Unlock()
	f.client.forget(f)
	if ticket != nil {
		f.client.send(&packet.Packet{Kind: packet.KindClose, Flow: f.id, Ticket: ticket})
	}
}

// handle processes a packet that names this flow.
func (f *Flow) handle(p *packet.Packet) {
	f.lock.Lock()
	defer f.lock.Unlock()
	if f.isClosed {
		f.client.counters.otherFlow.Add(1)
		if p.Kind == packet.KindOpened && len(p.Ticket) > 0 {
			f.client.send(&packet.Packet{Kind: packet.KindClose, Flow: f.id, Ticket: p.Ticket})
		}
		return
	}
	switch p.Kind {
	case packet.KindOpened:
		f.handleOpened(p)
	case packet.KindAnswer:
		f.handleAnswer(p)
	case packet.KindNotRun, packet.KindUnknown:
		f.handleNotAnswered(p)
	case packet.KindItem:
		f.handleItem(p)
	case packet.KindPong:
	default:
		f.client.counters.malformed.Add(1)
		return
	}
	if f.isOpen {
		f.setTicket(p.Ticket)
	}
}

func (f *Flow) handleOpened(p *packet.Packet) {
	if f.isOpen || f.refusal != nil || len(p.Ticket) == 0 {
		return
	}
	f.isOpen = true
	f.nextPing = f.client.clock.Now().Add(f.client.jitter(pingPeriod))
	f.setTicket(p.Ticket)
	close(f.settled)
}

// handleNotAnswered processes a NotRun or Unknown, which concerns a request, the feed or the open.
func (f *Flow) handleNotAnswered(p *packet.Packet) {
	switch {
	case p.Request != 0:
		f.settleNotAnswered(p)
	case f.isOpen && f.feed != nil:
		f.feed.handleNotAnswered(p)
	case !f.isOpen && f.refusal == nil && p.Kind == packet.KindNotRun:
		f.refusal = &NotRunError{Reason: p.Reason, RetryAfter: p.RetryAfter}
		close(f.settled)
	default:
		f.client.counters.otherRequest.Add(1)
	}
}

// setTicket makes t the ticket of later requests, unless t was replaced earlier.
func (f *Flow) setTicket(t []byte) {
	if len(t) == 0 || bytes.Equal(t, f.ticket) {
		return
	}
	for _, r := range f.replaced {
		if bytes.Equal(t, r) {
			f.client.counters.oldTicket.Add(1)
			return
		}
	}
	if f.ticket != nil {
		f.replaced = append(f.replaced, f.ticket)
		if len(f.replaced) > maxReplacedTickets {
			f.replaced = f.replaced[1:]
		}
	}
	f.ticket = bytes.Clone(t)
}

// tick sends the Ping and the Subscribe that are due, and forgets an abandoned flow after abandonedTime.
func (f *Flow) tick(now time.Time) {
	f.lock.Lock()
	isForgotten := !f.forgetAt.IsZero() && !now.Before(f.forgetAt)
	var due []*packet.Packet
	if f.isOpen && !f.isClosed {
		if !now.Before(f.nextPing) {
			f.nextPing = now.Add(pingPeriod)
			due = append(due, &packet.Packet{Kind: packet.KindPing, Flow: f.id, Ticket: f.ticket})
		}
		if f.feed != nil {
			if p := f.feed.subscription(now); p != nil {
				due = append(due, p)
			}
		}
	}
	f.lock.Unlock()
	if isForgotten {
		f.client.forget(f)
	}
	for _, p := range due {
		f.client.send(p)
	}
}
