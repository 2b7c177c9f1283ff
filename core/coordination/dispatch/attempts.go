package dispatch

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/coordination/endpoint"
	"cornellb/core/state/flow"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// attempt is one try of a request at an endpoint.
type attempt struct {
	number    uint64
	flow      packet.FlowID
	request   uint64
	endpoint  netip.AddrPort
	pending   *pending
	sentAt    time.Time
	cancelled bool // the backend server was asked to stop it
	settled   bool // the request has its outcome; only the slot is still held
}

// dispatch sends queued requests to endpoints until the queue returns none that can run.
func (s *Shard) dispatch(now time.Time) {
	if s.isCatchingUp(now) {
		return
	}
	for {
		it, expired := s.queue.Pop(now, s.canRun, s.endpoints.AnyFree())
		for _, e := range expired {
			s.refuseQueued(now, e, packet.ReasonDeadline, 0)
		}
		if it == nil {
			return
		}
		key := requestKey{it.Flow, it.Request}
		pe := s.queued[key]
		delete(s.queued, key)
		f := s.flows[it.Flow]
		if pe == nil || f == nil {
			s.countViolation("queue_mismatch")
			continue
		}
		r := f.window.Find(it.Request)
		if r == nil {
			s.countViolation("queued_without_record")
			continue
		}
		s.send(now, f, r, pe)
	}
}

// A process that was suspended does not know which endpoints started to leave meanwhile. If two events are at least
// pauseGap apart, the shard sends no work for catchUpTime, so that the messages that wait in the sockets are handled
// first.
const (
	pauseGap    = time.Second // many intervals of Tick, so that a process that runs does not reach it
	catchUpTime = 500 * time.Millisecond
)

// isCatchingUp records an event and reports whether the shard must not send work yet because the process was suspended.
func (s *Shard) isCatchingUp(now time.Time) bool {
	if !s.eventAt.IsZero() && now.Sub(s.eventAt) >= pauseGap {
		s.catchUpTill = now.Add(catchUpTime)
	}
	s.eventAt = now
	return now.Before(s.catchUpTill)
}

// canRun reports whether an item that is pinned to an endpoint can be sent now. If the pin is not honored, the item can
// be sent to any free endpoint.
func (s *Shard) canRun(a netip.AddrPort) bool {
	if s.honorsPin(s.eventAt, a) {
		return s.endpoints.CanAcquire(a)
	}
	return s.endpoints.AnyFree()
}

// honorsPin reports whether a flow that is pinned to an endpoint must stay on it: the endpoint is usable, or it has not
// been connected yet and the shard is younger than connectGrace. Without the second rule, the first endpoint to connect
// would get all the flows that a new owner takes over.
func (s *Shard) honorsPin(now time.Time, a netip.AddrPort) bool {
	return s.endpoints.IsUsable(a) || now.Sub(s.createdAt) < connectGrace && s.endpoints.AwaitsFirstConnection(a)
}

// send starts an attempt of a request at an endpoint.
func (s *Shard) send(now time.Time, f *flowState, r *flow.Record, pe *pending) {
	a, ok := s.selectEndpoint(now, f)
	if !ok {
		s.retryLater(now, f, r, pe, packet.ReasonNoEndpoint)
		return
	}
	if (r.State == flow.StateSent || r.MayHaveRun) && !r.Idempotent {
		s.countViolation("second_send")
		s.settleUnknown(now, f, r, packet.ReasonConnectionLost) // an earlier attempt may have started
		return
	}
	at := &attempt{
		number: s.nextNumber(), flow: f.id, request: r.Request, endpoint: a, pending: pe, sentAt: now,
	}
	pe.attempts++
	if !s.endpoints.Acquire(now, a) {
		s.countViolation("slot_taken_twice")
	}
	s.attempts[at.number] = at
	err := s.out.Backend.Send(a, &packet.Backend{
		Kind: packet.BackendRun, Service: s.service, Attempt: at.number, Customer: f.customer, Class: f.class,
		Idempotent: r.Idempotent, Timeout: pe.deadline.Sub(now), Payload: pe.payload,
	})
	if err != nil {
		delete(s.attempts, at.number)
		s.endpoints.Release(now, a, endpoint.AttemptCancelled)
		s.retryLater(now, f, r, pe, packet.ReasonNoEndpoint)
		return
	}
	r.State = flow.StateSent
	s.pin(f, a, "dispatch")
	s.out.Recorder.Observe(metric.QueueTime, f.customer, f.class, now.Sub(pe.item.Enqueued))
}

// selectEndpoint returns the endpoint that the flow is pinned to if the pin is honored, else the best endpoint. It
// returns false if that endpoint has no free slot.
func (s *Shard) selectEndpoint(now time.Time, f *flowState) (netip.AddrPort, bool) {
	if s.config.Mode == ModeHash {
		return s.chooseByHash(f)
	}
	if f.endpoint.IsValid() && s.honorsPin(now, f.endpoint) {
		return f.endpoint, s.endpoints.CanAcquire(f.endpoint)
	}
	return s.endpoints.Choose(now, f.endpoint)
}

// retryLater schedules a retry of a request if the retry budget and the deadline allow it, else settles the request.
// It must only be called if a retry cannot run a non-idempotent request twice.
func (s *Shard) retryLater(now time.Time, f *flowState, r *flow.Record, pe *pending, reason packet.Reason) {
	delay := s.budget.Backoff(pe.attempts)
	if !s.budget.Take(now) {
		s.giveUp(now, f, r, packet.ReasonRetriesExhausted, meanRetryAfter)
		return
	}
	if !now.Add(delay).Before(s.latestStart(now, pe.deadline)) {
		s.giveUp(now, f, r, reason, meanRetryAfter)
		return
	}
	s.out.Recorder.Count(metric.Retried, reason.String(), 1)
	it := *pe.item
	it.Endpoint = f.endpoint
	it.Deadline = s.latestStart(now, pe.deadline)
	it.NotStarted = reason == packet.ReasonNoEndpoint // shed by the backend server, or never sent to one
	pe.item = &it
	pe.notBefore = now.Add(delay)
	s.queued[requestKey{it.Flow, it.Request}] = pe
	s.delayed = append(s.delayed, pe)
}

// pushDelayed queues the retries whose backoff has passed.
func (s *Shard) pushDelayed(now time.Time) {
	waiting := s.delayed[:0]
	var due []*pending
	for _, pe := range s.delayed {
		if s.queued[requestKey{pe.item.Flow, pe.item.Request}] != pe {
			continue // cancelled
		}
		if now.Before(pe.notBefore) {
			waiting = append(waiting, pe)
		} else {
			due = append(due, pe)
		}
	}
	clear(s.delayed[len(waiting):])
	s.delayed = waiting
	for _, pe := range due {
		s.push(now, pe)
	}
}

// chooseByHash returns the endpoint of a flow in ModeHash, and false if it has no free slot.
func (s *Shard) chooseByHash(f *flowState) (netip.AddrPort, bool) {
	a, ok := s.endpoints.ByHash(f.id[:])
	return a, ok && s.endpoints.CanAcquire(a)
}

// takeAttempt removes and returns the attempt that a reply belongs to, or returns nil if there is none.
func (s *Shard) takeAttempt(address netip.AddrPort, number uint64) *attempt {
	a := s.attempts[number]
	if a == nil || a.endpoint != address {
		s.countDropped("late_reply")
		return nil
	}
	delete(s.attempts, number)
	return a
}

// unsettledRequest returns the flow and the record of an attempt's request, or nil if the request has its outcome.
func (s *Shard) unsettledRequest(a *attempt) (*flowState, *flow.Record) {
	f := s.flows[a.flow]
	if f == nil || a.settled {
		return nil, nil
	}
	r := f.window.Find(a.request)
	if r == nil || r.State.IsFinal() {
		return nil, nil
	}
	return f, r
}

func (s *Shard) handleAnswer(now time.Time, address netip.AddrPort, m *packet.Backend) {
	a := s.takeAttempt(address, m.Attempt)
	if a == nil {
		return
	}
	s.endpoints.Release(now, address, endpoint.AttemptAnswered)
	s.recordServiceTime(now.Sub(a.sentAt))
	f, r := s.unsettledRequest(a)
	if f == nil {
		s.countDropped("late_answer")
		return
	}
	s.settle(now, r, flow.StateAnswered)
	s.keepAnswer(now, f, r, m.Payload)
	s.out.Recorder.Count(metric.Answered, f.class.String(), 1)
	s.out.Recorder.Observe(metric.Latency, f.customer, f.class, now.Sub(a.pending.item.Enqueued))
	s.sendAnswer(f, r, 0)
}

// handleShed handles the report of a backend server that it did not start an attempt.
func (s *Shard) handleShed(now time.Time, address netip.AddrPort, m *packet.Backend) {
	a := s.takeAttempt(address, m.Attempt)
	if a == nil {
		return
	}
	s.endpoints.Release(now, address, endpoint.AttemptShed)
	f, r := s.unsettledRequest(a)
	if f == nil {
		return
	}
	r.State = flow.StateQueued
	if a.cancelled {
		s.giveUp(now, f, r, packet.ReasonCancelled, 0)
		return
	}
	s.retryLater(now, f, r, a.pending, packet.ReasonNoEndpoint)
}

func (s *Shard) handleCancelled(now time.Time, address netip.AddrPort, m *packet.Backend) {
	a := s.takeAttempt(address, m.Attempt)
	if a == nil {
		return
	}
	s.endpoints.Release(now, address, endpoint.AttemptCancelled)
	f, r := s.unsettledRequest(a)
	if f == nil {
		return
	}
	if !m.Started {
		r.State = flow.StateQueued
	}
	s.giveUp(now, f, r, packet.ReasonCancelled, 0)
}

func (s *Shard) cancelAttempt(a *attempt) {
	a.cancelled = true
	// A failed send is ignored: a lost cancellation costs work at the backend server, not correctness.
	_ = s.out.Backend.Send(a.endpoint, &packet.Backend{
		Kind: packet.BackendCancel, Service: s.service, Attempt: a.number,
	})
}

// failAttempts ends the attempts on a broken connection. Those whose frame was not passed to the kernel have not
// started; of the others only idempotent requests are tried again.
func (s *Shard) failAttempts(now time.Time, address netip.AddrPort, unsent []*packet.Backend) {
	notStarted := make(map[uint64]bool, len(unsent))
	for _, m := range unsent {
		if m.Kind == packet.BackendRun {
			notStarted[m.Attempt] = true
		}
	}
	for _, number := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[number]
		if a.endpoint != address {
			continue
		}
		delete(s.attempts, number)
		s.endpoints.Release(now, address, endpoint.AttemptLost)
		f, r := s.unsettledRequest(a)
		if f == nil {
			continue
		}
		r.MayHaveRun = r.MayHaveRun || !notStarted[number]
		r.State = flow.StateQueued
		switch {
		case a.cancelled:
			s.giveUp(now, f, r, packet.ReasonCancelled, 0)
		case r.Idempotent || !r.MayHaveRun:
			s.retryLater(now, f, r, a.pending, packet.ReasonConnectionLost)
		default:
			s.giveUp(now, f, r, packet.ReasonConnectionLost, 0)
		}
	}
}

// expireAttempts settles requests whose deadline has passed, and frees the slots of attempts that the backend server
// has not answered within AttemptGrace after the deadline.
func (s *Shard) expireAttempts(now time.Time) {
	for _, number := range slices.Sorted(maps.Keys(s.attempts)) {
		a := s.attempts[number]
		if now.Before(a.pending.deadline) {
			continue
		}
		if !a.settled {
			s.expireAttempt(now, a)
		}
		if now.Sub(a.pending.deadline) >= s.config.AttemptGrace {
			delete(s.attempts, number)
			s.endpoints.Release(now, a.endpoint, endpoint.AttemptFailed)
		}
	}
}

func (s *Shard) expireAttempt(now time.Time, a *attempt) {
	if f, r := s.unsettledRequest(a); f != nil {
		s.settleUnknown(now, f, r, packet.ReasonTimeout)
	}
	a.settled = true
	if !a.cancelled {
		s.cancelAttempt(a)
	}
}

// inFlight returns the number of attempts at an endpoint.
func (s *Shard) inFlight(address netip.AddrPort) int {
	n := 0
	for _, a := range s.attempts {
		if a.endpoint == address {
			n++
		}
	}
	return n
}
