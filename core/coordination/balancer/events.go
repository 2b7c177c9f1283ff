package balancer

import (
	"fmt"
	"net/netip"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// NotReceiverError reports a handover message that is addressed to another incarnation.
type NotReceiverError struct {
	To member.Incarnation
}

func (e *NotReceiverError) Error() string {
	return fmt.Sprintf("handover is addressed to incarnation %x, not to this process", uint64(e.To))
}

// HandleHandover receives flows from their former owner. A nil error confirms that this process holds them now; a
// *dispatch.HandoverRefusedError says that it does not and never will accept this message. Any other error leaves the
// result open: the message was addressed to another incarnation, which may have accepted a copy.
func (b *Balancer) HandleHandover(h *flow.Handover) error {
	if h.To != b.self {
		return &NotReceiverError{To: h.To}
	}
	source := handoverSource{h.From, h.FromShard}
	b.mu.RLock()
	numbers := b.received[source]
	b.mu.RUnlock()
	if h.Number <= numbers.accepted {
		return nil
	}
	sh := b.handoverShard(h)
	isAccepted, isFirst := b.recordHandover(source, h, sh)
	if !isAccepted {
		return &dispatch.HandoverRefusedError{Shard: h.Shard}
	}
	if isFirst {
		sh.HandleHandover(b.clock.Now(), h)
	}
	return nil
}

// recordHandover decides whether a message is accepted and records the decision; sh is nil if the message must be
// refused. A decision that was made for another copy of the message, which may be handled at the same time, stays.
// isFirst reports whether this call accepted the message, so that its flows must be passed to the shard.
func (b *Balancer) recordHandover(source handoverSource, h *flow.Handover, sh *dispatch.Shard) (
	isAccepted, isFirst bool,
) {
	b.mu.Lock()
	defer b.mu.Unlock()
	numbers := b.received[source]
	switch {
	case h.Number <= numbers.accepted:
		return true, false
	case sh == nil || h.Number <= numbers.refused:
		numbers.refused = max(numbers.refused, h.Number)
		b.received[source] = numbers
		return false, false
	}
	numbers.accepted = h.Number
	b.received[source] = numbers
	b.lastHandovers[shardID{h.Shard, sh.Service()}] = lastHandover{h.From, b.clock.Now()}
	return true, true
}

// handoverShard returns the local shard for the flows of a message. It creates the shard if the tables in force have
// it, and returns nil if they do not.
func (b *Balancer) handoverShard(h *flow.Handover) *dispatch.Shard {
	if len(h.Flows) == 0 {
		return nil
	}
	service := h.Flows[0].Ticket.Service
	b.mu.RLock()
	sh := b.shards[shardID{h.Shard, service}]
	b.mu.RUnlock()
	if sh != nil {
		return sh
	}
	s := b.plan.Load().Layout.Shard(h.Shard)
	if s == nil || s.Service != service {
		return nil
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	sh = b.getOrCreateShard(s.Key, s.Service)
	b.setEndpoints(b.clock.Now(), sh, s.Endpoints)
	return sh
}

// HandoverDone reports the result of a handover that this process sent.
func (b *Balancer) HandoverDone(h *flow.Handover, err error) {
	if sh := b.shardByNumber(dispatch.ShardNumber(h.FromShard)); sh != nil {
		sh.HandoverDone(b.clock.Now(), h, err)
	}
}

func (b *Balancer) shardByNumber(number uint64) *dispatch.Shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byNumber[number]
}

// HandleBackend handles a frame from an endpoint. A pong goes to all local shards, any other frame to the shard whose
// number its attempt or stream carries.
func (b *Balancer) HandleBackend(address netip.AddrPort, m *packet.Backend) {
	now := b.clock.Now()
	number := m.Attempt
	if m.Kind == packet.BackendItem {
		number = m.Stream
	}
	if m.Kind != packet.BackendPong {
		if sh := b.shardByNumber(dispatch.ShardNumber(number)); sh != nil {
			sh.HandleBackend(now, address, m)
			return
		}
		b.countDropped("late_reply")
		return
	}
	for _, sh := range b.localShards() {
		sh.HandleBackend(now, address, m)
	}
}

// BackendUp reports that a connection to an endpoint is up and that its backend server has confirmed the service.
func (b *Balancer) BackendUp(address netip.AddrPort, service string, incarnation uint64, busy int, leaving bool) {
	now := b.clock.Now()
	b.links.setInfo(address, &backendInfo{service, incarnation, busy, leaving})
	for _, sh := range b.localShards() {
		sh.BackendUp(now, address, service, incarnation, busy, leaving)
	}
}

// BackendDown reports that the connection to an endpoint was lost. The frames in unsent were not passed to the kernel.
func (b *Balancer) BackendDown(address netip.AddrPort, unsent []*packet.Backend) {
	now := b.clock.Now()
	b.links.setInfo(address, nil)
	for _, sh := range b.localShards() {
		sh.BackendDown(now, address, unsent)
	}
}
