package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// handoverBatchBytes bounds the estimated size of one handover message, so that a message fits the peer transport.
const handoverBatchBytes = 256 << 10

// handoverBatchFlows bounds the number of flows in one handover message.
const handoverBatchFlows = 256

// handoverState is the progress of moving this shard's flows to another owner.
type handoverState struct {
	to          member.Host // new owner; its incarnation is 0 while the flows stay here
	target      flow.ShardKey
	outstanding map[member.Incarnation]*outstandingHandover
	pausedTill  time.Time // no new batch is sent before; set by a refusal
}

// HandoverRefusedError reports that the addressed incarnation did not take a message and never will, because its tables
// do not have the shard. Only then may the sender serve the flows again: after any other failure the receiver may hold
// them, and may have run their requests.
type HandoverRefusedError struct {
	Shard flow.ShardKey
}

func (e *HandoverRefusedError) Error() string {
	return fmt.Sprintf("handover refused: shard %s is not in the tables of the receiver", e.Shard)
}

// outstandingHandover is a message that its receiver has not confirmed. It is sent again unchanged.
type outstandingHandover struct {
	to       member.Host
	message  *flow.Handover
	resendAt time.Time
}

func (h *handoverState) isActive() bool { return h.to.Incarnation != 0 }

// StartHandover starts to hand the shard's flows over to another owner, as flows of the target shard. A flow with
// requests in progress is handed over once they are settled. A repeated call with the same owner and target changes
// nothing.
func (s *Shard) StartHandover(now time.Time, to member.Host, target flow.ShardKey) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.to.Incarnation == to.Incarnation && s.handover.target == target {
		return
	}
	s.handover.to, s.handover.target = to, target
	s.continueHandover(now)
}

// HandoverTarget returns the shard that the flows are handed over to, and whether a handover is active.
func (s *Shard) HandoverTarget() (target flow.ShardKey, isActive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.handover.target, s.handover.isActive()
}

// StopHandover stops the handover, for example because this process is the shard's owner again. The flows that were not
// sent stay here; those that were sent belong to their receiver.
func (s *Shard) StopHandover() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handover.to = member.Host{}
}

// WithdrawQueued drops the requests that wait for a slot and may not have run from a shard whose flows move, with their
// records, as if they had not arrived: their retransmissions reach the new owner. In a shard without a usable endpoint,
// they would otherwise delay the handover of their flows until their deadline.
func (s *Shard) WithdrawQueued() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.each(func(f *flowState) {
		f.window.RemoveIf(func(r *flow.Record) bool {
			key := requestKey{f.id, r.Request}
			if s.queued[key] == nil || r.State != flow.StateQueued || r.MayHaveRun {
				return false
			}
			s.queue.Remove(f.id, r.Request)
			delete(s.queued, key)
			return true
		})
	})
}

// ForceSettle settles every request in progress, so that all flows can be handed over at once: waiting requests are
// refused, and sent ones end with an unknown outcome.
func (s *Shard) ForceSettle(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.all.each(func(f *flowState) {
		f.window.Each(func(r *flow.Record) {
			if s.queued[requestKey{f.id, r.Request}] != nil {
				s.queue.Remove(f.id, r.Request)
				delete(s.queued, requestKey{f.id, r.Request})
				s.giveUp(now, f, r, packet.ReasonDraining, 0)
			}
		})
	})
	for _, number := range slices.Sorted(maps.Keys(s.attempts)) {
		if a := s.attempts[number]; !a.settled {
			s.expireAttempt(now, a)
		}
	}
	s.continueHandover(now)
}

// continueHandover sends unconfirmed messages again and the next batch. A flow that was sent is never sent to another
// incarnation: the first may hold it and may be running its requests.
func (s *Shard) continueHandover(now time.Time) {
	h := &s.handover
	for _, to := range slices.Sorted(maps.Keys(h.outstanding)) {
		o := h.outstanding[to]
		if !now.Before(o.resendAt) {
			s.sendHandover(now, o)
		}
	}
	if !h.isActive() || h.outstanding[h.to.Incarnation] != nil || now.Before(h.pausedTill) {
		return
	}
	flows := s.nextBatch(now)
	if len(flows) == 0 {
		return
	}
	o := &outstandingHandover{to: h.to, message: &flow.Handover{
		From: s.self, To: h.to.Incarnation, FromShard: s.numberBase, Number: s.serial.Add(1), Shard: h.target,
		Flows: flows,
	}}
	if h.outstanding == nil {
		h.outstanding = make(map[member.Incarnation]*outstandingHandover)
	}
	h.outstanding[h.to.Incarnation] = o
	s.sendHandover(now, o)
}

func (s *Shard) sendHandover(now time.Time, o *outstandingHandover) {
	o.resendAt = now.Add(s.config.HandoverInterval)
	s.out.Handover.SendHandover(o.to, o.message)
}

// nextBatch returns snapshots of flows whose requests are all settled, up to the limits of one handover message.
func (s *Shard) nextBatch(now time.Time) []flow.Snapshot {
	var flows []flow.Snapshot
	size := 0
	for _, f := range s.all.flows {
		if len(flows) >= handoverBatchFlows || size >= handoverBatchBytes {
			break
		}
		if f.sentTo != 0 || !f.window.IsSettled() {
			continue
		}
		sn := s.snapshot(now, f)
		size += snapshotBytes(&sn)
		flows = append(flows, sn)
	}
	return flows
}

// snapshot copies a flow for its new owner and marks it as sent, so that it is no longer served here.
func (s *Shard) snapshot(now time.Time, f *flowState) flow.Snapshot {
	f.sentTo = s.handover.to.Incarnation
	sn := flow.Snapshot{
		Ticket: flow.Ticket{
			Flow: f.id, Service: s.service, Customer: f.customer, Class: f.class, Shard: s.handover.target,
			Grant: f.grant(), Endpoint: f.endpoint, IssuedAt: now,
		},
		Grants:  append([]flow.Grant(nil), f.grants...),
		Caller:  f.caller,
		Service: f.service,
	}
	sn.Floor, sn.Records = f.window.Export()
	if f.feed != nil {
		sn.Feed, sn.Sequence = f.feed.name, f.feed.acked
		s.closeFeed(f, true)
	}
	return sn
}

// snapshotBytes estimates the encoded size of a snapshot.
func snapshotBytes(sn *flow.Snapshot) int {
	const fixed = 512 // ticket, names, addresses
	n := fixed + 16*len(sn.Grants)
	for i := range sn.Records {
		n += 32 + len(sn.Records[i].Answer)
	}
	return n
}

// HandoverDone handles the result of sending a handover message. Flows that the receiver took are removed here; their
// packets are then routed to it by their tickets or by the routing plan.
func (s *Shard) HandoverDone(now time.Time, h *flow.Handover, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.handover.outstanding[h.To]
	if o == nil || o.message.Number != h.Number {
		return
	}
	var refused *HandoverRefusedError
	if errors.As(err, &refused) {
		s.takeBack(now, h)
		return
	}
	if err != nil {
		s.countDropped("handover_failed") // sent again at resendAt
		return
	}
	delete(s.handover.outstanding, h.To)
	s.out.Recorder.Count(metric.HandedOver, "sent", s.removeSent(h))
	s.continueHandover(now)
}

// takeBack resumes service of the flows in a message that the receiver refused.
func (s *Shard) takeBack(now time.Time, h *flow.Handover) {
	s.countDropped("handover_refused")
	delete(s.handover.outstanding, h.To)
	s.handover.pausedTill = now.Add(s.config.HandoverInterval)
	for i := range h.Flows {
		if f := s.flows[h.Flows[i].Ticket.Flow]; f != nil && f.sentTo == h.To {
			f.sentTo = 0
		}
	}
}

// removeSent removes the flows of a message and returns their number.
func (s *Shard) removeSent(h *flow.Handover) (removed int64) {
	for i := range h.Flows {
		if f := s.flows[h.Flows[i].Ticket.Flow]; f != nil && f.sentTo == h.To {
			s.removeFlow(f)
			removed++
		}
	}
	return removed
}

// AbandonReceivers removes flows that were sent to an incarnation that is gone, because that incarnation may have run
// their requests. If such a flow is adopted later, its old tickets are not accepted, so that no non-idempotent request
// is run again.
func (s *Shard) AbandonReceivers(isGone func(member.Incarnation) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The order of removal decides the order of the remaining flows.
	for _, to := range slices.Sorted(maps.Keys(s.handover.outstanding)) {
		if isGone(to) {
			s.removeSent(s.handover.outstanding[to].message)
			delete(s.handover.outstanding, to)
		}
	}
}

// HandleHandover takes over flows from their former owner. Each message must be passed only once.
func (s *Shard) HandleHandover(now time.Time, h *flow.Handover) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range h.Flows {
		s.receiveFlow(now, &h.Flows[i])
	}
}

func (s *Shard) receiveFlow(now time.Time, sn *flow.Snapshot) {
	if sn.Ticket.Service != s.service {
		s.countViolation("handover_of_other_service")
		return
	}
	from := Origin{Caller: sn.Caller, Service: sn.Service}
	f := s.flows[sn.Ticket.Flow]
	if f == nil {
		f = s.addFlow(now, from, sn.Ticket.Flow, sn.Ticket.Customer, sn.Ticket.Class)
		own := s.newGrant()
		f.addGrants(sn.Grants)
		f.addGrants([]flow.Grant{own})
		if s.endpoints.Adopt(sn.Ticket.Endpoint) {
			f.endpoint = sn.Ticket.Endpoint
		}
	} else {
		if f.accepts(sn.Ticket.Grant) {
			return // received before
		}
		own := f.grant()
		f.grants = f.grants[:len(f.grants)-1]
		f.addGrants(sn.Grants)
		f.addGrants([]flow.Grant{own})
	}
	f.window.Merge(sn.Floor, sn.Records)
	f.window.Each(func(r *flow.Record) {
		if r.Answer != nil {
			s.answers = append(s.answers, settledAnswer{requestKey{f.id, r.Request}, now})
			s.answerBytes += len(r.Answer)
		}
	})
	if sn.Feed != "" && (f.feed == nil || f.feed.acked < sn.Sequence) {
		s.reopenFeed(now, f, sn.Feed, sn.Sequence)
	}
	s.out.Recorder.Count(metric.HandedOver, "received", 1)
	s.sendCaller(f, &packet.Packet{Kind: packet.KindOpened, Flow: f.id, Ticket: s.ticket(now, f)})
}
