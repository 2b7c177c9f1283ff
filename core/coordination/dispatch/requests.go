package dispatch

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/coordination/admission"
	"cornellb/core/state/flow"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// answerBurst is the number of answer segments sent at a time. The caller asks for the rest, so that a large answer
// does not overflow its receive buffer.
const answerBurst = 64

// pending holds what is needed to send a request to a backend server, while it waits for a slot and during an attempt.
type pending struct {
	item       *admission.Item
	payload    []byte
	idempotent bool
	deadline   time.Time // of the caller
	attempts   int       // attempts so far
	notBefore  time.Time // earliest time of the next attempt
}

// handleRequest queues a new request. A request that has a record is a retransmission and is answered from the record.
func (s *Shard) handleRequest(now time.Time, f *flowState, t *flow.Ticket, p *packet.Packet) {
	if r := f.window.Find(p.Request); r != nil {
		s.resendOutcome(now, f, r, int(p.Segment))
		return
	}
	if !f.accepts(t.Grant) {
		// The former owner may have sent the request to a backend server, or may still refuse it as not run. The caller
		// repeats an idempotent request with the ticket in this reply.
		s.sendUnknown(now, f, p.Request, packet.ReasonOwnerLost, true)
		return
	}
	if s.handover.isActive() {
		s.countDropped("handover") // the retransmission reaches the new owner
		return
	}
	r, ok := f.window.Add(p.Request)
	if !ok {
		s.sendUnknown(now, f, p.Request, packet.ReasonTooOld, false)
		return
	}
	r.Idempotent = p.Idempotent
	r.State = flow.StateQueued
	if p.Timeout <= 0 {
		s.giveUp(now, f, r, packet.ReasonDeadline, 0)
		return
	}
	s.enqueue(now, f, r, p)
	s.dispatch(now)
}

func (s *Shard) enqueue(now time.Time, f *flowState, r *flow.Record, p *packet.Packet) {
	pe := &pending{
		item: &admission.Item{
			Flow:     f.id,
			Request:  r.Request,
			Class:    f.class,
			Customer: f.customer,
			Enqueued: now,
			Deadline: s.latestStart(now, now.Add(p.Timeout)),
			Endpoint: f.endpoint,
		},
		payload:    append([]byte(nil), p.Payload...),
		idempotent: p.Idempotent,
		deadline:   now.Add(p.Timeout),
	}
	s.out.Recorder.Count(metric.Accepted, f.class.String(), 1)
	s.budget.AddFirstAttempt()
	s.push(now, pe)
}

// latestStart returns the latest time at which a request may start: its deadline less the mean service time. A refusal
// at the deadline itself would reach the caller too late, and its request would end as unknown. docs/measurements.md
// has the figures for longer margins. At most half of the remaining time is subtracted, for timeouts that are short
// compared with the service time.
func (s *Shard) latestStart(now, deadline time.Time) time.Time {
	return deadline.Add(-min(s.meanServiceTime, deadline.Sub(now)/2))
}

// serviceTimeWeight is the weight of one answer in the mean service time.
const serviceTimeWeight = 1.0 / 32

// recordServiceTime updates the mean service time with the time from the dispatch of an attempt to its answer.
func (s *Shard) recordServiceTime(d time.Duration) {
	if s.meanServiceTime == 0 {
		s.meanServiceTime = d
		return
	}
	s.meanServiceTime += time.Duration(float64(d-s.meanServiceTime) * serviceTimeWeight)
}

func (s *Shard) push(now time.Time, pe *pending) {
	it := pe.item
	s.queued[requestKey{it.Flow, it.Request}] = pe
	for _, refusal := range s.queue.Push(now, it, s.queue.EstimateWait(now, it.Class, it.Customer)) {
		s.refuseQueued(now, refusal.Item, refusal.Reason, refusal.RetryAfter)
	}
}

// refuseQueued settles a request that the queue refused or that expired there.
func (s *Shard) refuseQueued(now time.Time, it *admission.Item, reason packet.Reason, retryAfter time.Duration) {
	delete(s.queued, requestKey{it.Flow, it.Request})
	f := s.flows[it.Flow]
	if f == nil {
		s.countViolation("queued_without_flow")
		return
	}
	if r := f.window.Find(it.Request); r != nil {
		s.giveUp(now, f, r, reason, retryAfter)
	}
}

// giveUp settles a request that will not be tried again: as not run if no attempt can have started, else as unknown.
func (s *Shard) giveUp(now time.Time, f *flowState, r *flow.Record, reason packet.Reason, retryAfter time.Duration) {
	if r.State == flow.StateQueued && !r.MayHaveRun {
		s.refuse(now, f, r, reason, retryAfter)
		return
	}
	s.settleUnknown(now, f, r, reason)
}

// refuse settles a request as not run. The record is written first, so that a late copy is refused as well.
func (s *Shard) refuse(now time.Time, f *flowState, r *flow.Record, reason packet.Reason, retryAfter time.Duration) {
	if r.State == flow.StateSent || r.MayHaveRun {
		s.countViolation("refused_after_send")
		return
	}
	s.settle(now, r, flow.StateRefused)
	r.Reason, r.RetryAfter = reason, s.jitter(retryAfter)
	s.out.Recorder.Count(metric.Refused, reason.String(), 1)
	s.sendNotRun(f, r)
}

// settleUnknown settles a request whose outcome can't be known.
func (s *Shard) settleUnknown(now time.Time, f *flowState, r *flow.Record, reason packet.Reason) {
	s.settle(now, r, flow.StateUnknown)
	r.Reason = reason
	s.sendUnknown(now, f, r.Request, reason, false)
}

// settle sets the final state of a request. A final state never changes.
func (s *Shard) settle(now time.Time, r *flow.Record, state flow.RequestState) {
	if r.State.IsFinal() {
		s.countViolation("outcome_changed")
		return
	}
	r.State, r.SettledAt = state, now
}

// sendUnknown tells the caller that the outcome of a request is unknown, and adds the flow's current ticket if
// withTicket is set.
func (s *Shard) sendUnknown(now time.Time, f *flowState, request uint64, reason packet.Reason, withTicket bool) {
	s.out.Recorder.Count(metric.Unknown, reason.String(), 1)
	p := &packet.Packet{Kind: packet.KindUnknown, Flow: f.id, Request: request, Reason: reason}
	if withTicket {
		p.Ticket = s.ticket(now, f)
	}
	s.sendCaller(f, p)
}

// jitter returns a random time between 0.5 and 1.5 times a retry time. Callers that were refused together would
// otherwise retry together.
func (s *Shard) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + time.Duration(s.random.Int64N(int64(d)))
}

func (s *Shard) sendNotRun(f *flowState, r *flow.Record) {
	s.sendCaller(f, &packet.Packet{
		Kind: packet.KindNotRun, Flow: f.id, Request: r.Request, Reason: r.Reason, RetryAfter: r.RetryAfter,
	})
}

// resendOutcome answers a retransmitted request from its record. A request in progress gets no reply.
func (s *Shard) resendOutcome(now time.Time, f *flowState, r *flow.Record, firstSegment int) {
	switch r.State {
	case flow.StateAnswered:
		s.out.Recorder.Count(metric.Resent, "answer", 1)
		if r.Answer == nil {
			s.sendUnknown(now, f, r.Request, packet.ReasonAnswerDropped, false)
			return
		}
		s.sendAnswer(f, r, firstSegment)
	case flow.StateRefused, flow.StateCancelled:
		s.out.Recorder.Count(metric.Resent, "not_run", 1)
		s.sendNotRun(f, r)
	case flow.StateUnknown:
		s.out.Recorder.Count(metric.Resent, "unknown", 1)
		s.sendUnknown(now, f, r.Request, r.Reason, false)
	}
}

// sendAnswer sends up to answerBurst segments of an answer, beginning with the first that the caller lacks.
func (s *Shard) sendAnswer(f *flowState, r *flow.Record, first int) {
	size := len(r.Answer)
	segments := max(1, (size+packet.MaxPayloadBytes-1)/packet.MaxPayloadBytes)
	digest := xxhash.Sum64(r.Answer)
	if first < 0 || first >= segments {
		first = 0
	}
	for i := first; i < min(segments, first+answerBurst); i++ {
		end := min(size, (i+1)*packet.MaxPayloadBytes)
		s.sendCaller(f, &packet.Packet{
			Kind: packet.KindAnswer, Flow: f.id, Request: r.Request,
			Segment: uint32(i), Segments: uint32(segments), Size: uint32(size), Digest: digest,
			Payload: r.Answer[i*packet.MaxPayloadBytes : end],
		})
	}
}

// handleCancel refuses a request that still waits, and asks the backend server to cancel one that was sent.
func (s *Shard) handleCancel(now time.Time, f *flowState, t *flow.Ticket, p *packet.Packet) {
	r := f.window.Find(p.Request)
	if r == nil && !f.accepts(t.Grant) {
		s.sendUnknown(now, f, p.Request, packet.ReasonOwnerLost, true)
		return
	}
	if r == nil {
		// The record prevents a delayed first copy of the request from being run after the cancellation.
		if r, ok := f.window.Add(p.Request); ok {
			r.State = flow.StateQueued
			s.refuse(now, f, r, packet.ReasonCancelled, 0)
		}
		return
	}
	if r.State.IsFinal() {
		s.resendOutcome(now, f, r, 0)
		return
	}
	s.cancelRequest(now, f, r)
}

func (s *Shard) cancelRequest(now time.Time, f *flowState, r *flow.Record) {
	key := requestKey{f.id, r.Request}
	if s.queued[key] != nil {
		delete(s.queued, key)
		s.queue.Remove(f.id, r.Request)
		s.giveUp(now, f, r, packet.ReasonCancelled, 0)
		return
	}
	for _, a := range s.attempts {
		if a.flow == f.id && a.request == r.Request && !a.cancelled {
			s.cancelAttempt(a)
		}
	}
}

// handleConfirm drops an answer that the caller has received.
func (s *Shard) handleConfirm(f *flowState, p *packet.Packet) {
	if r := f.window.Find(p.Request); r != nil {
		s.releaseAnswer(r)
	}
}

func (s *Shard) releaseAnswer(r *flow.Record) {
	s.answerBytes -= len(r.Answer)
	r.Answer = nil
}

// keepAnswer stores an answer for retransmissions, and drops the oldest answers beyond MaxAnswerBytes.
func (s *Shard) keepAnswer(now time.Time, f *flowState, r *flow.Record, answer []byte) {
	r.Answer = append(make([]byte, 0, len(answer)), answer...)
	s.answerBytes += len(answer)
	s.answers = append(s.answers, settledAnswer{requestKey{f.id, r.Request}, now})
	for s.answerBytes > s.config.MaxAnswerBytes && len(s.answers) > 1 {
		s.dropOldestAnswer()
	}
}

func (s *Shard) expireAnswers(now time.Time) {
	for len(s.answers) > 0 && now.Sub(s.answers[0].at) >= s.config.AnswerRetention {
		s.dropOldestAnswer()
	}
}

func (s *Shard) dropOldestAnswer() {
	key := s.answers[0].key
	s.answers = s.answers[1:]
	if f := s.flows[key.flow]; f != nil {
		if r := f.window.Find(key.request); r != nil {
			s.releaseAnswer(r)
		}
	}
}
