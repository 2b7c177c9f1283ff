package client

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"
)

// headerBytes is an upper limit for the size of a request datagram without its ticket and payload.
const headerBytes = 64

// Request is one unit of work.
type Request struct {
	Payload    []byte        // at most packet.MaxPayloadBytes
	Idempotent bool          // the request may run more than once
	Timeout    time.Duration // 5 s if 0; the context's deadline applies too
}

// request is a request in progress. Fields below ticket are guarded by the flow's lock until settled is closed.
type request struct {
	number   uint64
	ticket   []byte
	settled  chan struct{}
	progress chan struct{} // receives when a new segment has arrived and others are still missing
	answer   []byte
	err      error
	answers  assembler
}

// Do runs a request and returns its whole answer, a *NotRunError or an *UnknownError. An idempotent request whose owner
// was lost is sent again as a new request with the flow's new ticket. From then on, Do does not return a *NotRunError,
// since the first request may have run.
func (f *Flow) Do(ctx context.Context, r Request) ([]byte, error) {
	if len(r.Payload) > packet.MaxPayloadBytes {
		cause := &SizeError{Field: "payload", Size: len(r.Payload), Limit: packet.MaxPayloadBytes}
		return nil, &NotRunError{Reason: packet.ReasonLimit, Cause: cause}
	}
	if r.Timeout <= 0 {
		r.Timeout = defaultTimeout
	}
	deadline := f.client.clock.Now().Add(r.Timeout)
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	mayHaveRun := false
	for {
		answer, err := f.try(ctx, deadline, r)
		var unknown *UnknownError
		var notRun *NotRunError
		switch {
		case r.Idempotent && errors.As(err, &unknown) && unknown.Reason == packet.ReasonOwnerLost:
			mayHaveRun = true // the flow has a new ticket
		case mayHaveRun && errors.As(err, &notRun):
			return nil, &UnknownError{Reason: notRun.Reason, Cause: notRun.Cause}
		default:
			return answer, err
		}
	}
}

// try sends a request with the flow's current ticket until it has an outcome, and returns that.
func (f *Flow) try(ctx context.Context, deadline time.Time, r Request) ([]byte, error) {
	q, err := f.begin(ctx, deadline)
	if err != nil {
		return nil, &NotRunError{Reason: reasonOf(err), Cause: err}
	}
	if size := len(q.ticket) + len(r.Payload) + headerBytes; size > packet.MaxDatagramBytes {
		cause := &SizeError{Field: "request", Size: size, Limit: packet.MaxDatagramBytes}
		_, _ = f.end(q, false, cause)
		return nil, &NotRunError{Reason: packet.ReasonLimit, Cause: cause}
	}
	isSent := false
	err = f.client.retransmit(ctx, deadline, q.settled, f.done, q.progress, func(left time.Duration) {
		isSent = true
		f.lock.Lock()
		first := q.answers.firstMissing()
		f.lock.Unlock()
		f.client.send(&packet.Packet{
			Kind: packet.KindRequest, Flow: f.id, Ticket: q.ticket, Request: q.number, Idempotent: r.Idempotent,
			Timeout: left, Segment: first, Payload: r.Payload,
		})
	})
	return f.end(q, isSent, err)
}

// begin registers a request under the next number. The owner keeps records of the last flow.WindowSize requests only,
// and a request below that window loses its outcome. begin therefore waits until the window can hold both the new
// request and the oldest one in progress.
func (f *Flow) begin(ctx context.Context, deadline time.Time) (*request, error) {
	for {
		f.lock.Lock()
		if f.isClosed {
			f.lock.Unlock()
			return nil, &ClosedError{}
		}
		if f.hasFreeSlot() {
			f.lastRequest++
			q := &request{
				number:   f.lastRequest,
				ticket:   f.ticket,
				settled:  make(chan struct{}),
				progress: make(chan struct{}, 1),
			}
			f.requests[q.number] = q
			f.lock.Unlock()
			return q, nil
		}
		slotFreed := f.slotFreed
		f.lock.Unlock()
		if err := f.awaitSlot(ctx, deadline, slotFreed); err != nil {
			return nil, err
		}
	}
}

func (f *Flow) hasFreeSlot() bool {
	for n := range f.requests {
		if f.lastRequest+1-n >= flow.WindowSize {
			return false
		}
	}
	return true
}

func (f *Flow) awaitSlot(ctx context.Context, deadline time.Time, slotFreed <-chan struct{}) error {
	expired, stop := f.client.clock.NewTimer(deadline.Sub(f.client.clock.Now()))
	defer stop()
	select {
	case <-slotFreed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-f.done:
		return &ClosedError{}
	case <-expired:
		return &DeadlineError{}
	}
}

// end removes the request and returns its outcome. err is nil if a balancer sent the outcome.
func (f *Flow) end(q *request, isSent bool, err error) ([]byte, error) {
	f.lock.Lock()
	delete(f.requests, q.number)
	close(f.slotFreed)
	f.slotFreed = make(chan struct{})
	f.lock.Unlock()
	select {
	case <-q.settled:
		err = nil // the outcome arrived just before the request was given up
	default:
	}
	switch {
	case err == nil && q.err != nil:
		return nil, q.err
	case err == nil:
		f.client.send(&packet.Packet{Kind: packet.KindConfirm, Flow: f.id, Ticket: q.ticket, Request: q.number})
		return q.answer, nil
	case !isSent:
		return nil, &NotRunError{Reason: reasonOf(err), Cause: err}
	}
	f.client.send(&packet.Packet{Kind: packet.KindCancel, Flow: f.id, Ticket: q.ticket, Request: q.number})
	return nil, &UnknownError{Reason: reasonOf(err), Cause: err}
}

// unsettledRequest returns the request that p belongs to, or nil if there is no such request or it already has an
// outcome.
func (f *Flow) unsettledRequest(p *packet.Packet) *request {
	q := f.requests[p.Request]
	if q == nil {
		f.client.counters.otherRequest.Add(1)
		return nil
	}
	select {
	case <-q.settled:
		f.client.counters.otherRequest.Add(1)
		return nil
	default:
		return q
	}
}

func (f *Flow) settleNotAnswered(p *packet.Packet) {
	q := f.unsettledRequest(p)
	if q == nil {
		return
	}
	if p.Kind == packet.KindNotRun {
		q.err = &NotRunError{Reason: p.Reason, RetryAfter: p.RetryAfter}
	} else {
		q.err = &UnknownError{Reason: p.Reason}
	}
	close(q.settled)
}

func (f *Flow) handleAnswer(p *packet.Packet) {
	q := f.unsettledRequest(p)
	if q == nil {
		return
	}
	answer, state := q.answers.add(p)
	switch state {
	case segmentComplete:
		q.answer = answer
		close(q.settled)
	case segmentNew:
		select {
		case q.progress <- struct{}{}:
		default:
		}
	case segmentInvalid:
		f.client.counters.badSegment.Add(1)
	case segmentMismatch:
		f.client.counters.digestMismatch.Add(1)
	}
}
