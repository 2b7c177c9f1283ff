package dispatch

import (
	"net/netip"
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// maxGrants bounds the grants under which a flow accepts tickets: those of its former owners and its own. Tickets under
// older grants are treated like those of an owner that was lost.
const maxGrants = 8

// expiryScan is the number of flows that one tick checks for expiry.
const expiryScan = 256

// connectGrace is the time that a new shard has to connect to its endpoints before it refuses flows.
const connectGrace = time.Second

// meanRetryAfter is the mean retry time in the refusal of an open, and of a request whose retries are given up.
const meanRetryAfter = time.Second

// flowState is one flow at its owner.
type flowState struct {
	id        packet.FlowID
	customer  string
	class     packet.Class
	caller    packet.CallerAddress
	service   netip.AddrPort // service address that the caller uses
	grants    []flow.Grant   // the last one is in new tickets
	endpoint  netip.AddrPort // pin; not valid before the first dispatch
	window    flow.Window
	feed      *feed
	lastSeen  time.Time
	sentTo    member.Incarnation // receiver of the flow's handover; 0 without one
	positions [listCount]int     // positions in the lists, from 1; 0 if not in the list
}

// Origin is the caller that sent a packet and the service address that the caller sent it to.
type Origin struct {
	Caller  packet.CallerAddress
	Service netip.AddrPort
}

// accepts reports whether the flow accepts tickets under a grant as its own.
func (f *flowState) accepts(g flow.Grant) bool {
	for _, own := range f.grants {
		if own == g {
			return true
		}
	}
	return false
}

// grant returns the grant for new tickets.
func (f *flowState) grant() flow.Grant { return f.grants[len(f.grants)-1] }

func (f *flowState) addGrants(grants []flow.Grant) {
	for _, g := range grants {
		if !f.accepts(g) {
			f.grants = append(f.grants, g)
		}
	}
	if extra := len(f.grants) - maxGrants; extra > 0 {
		f.grants = append(f.grants[:0:0], f.grants[extra:]...)
	}
}

func (s *Shard) newGrant() flow.Grant {
	return flow.Grant{Owner: s.self, Serial: s.serial.Add(1)}
}

func (s *Shard) ticket(now time.Time, f *flowState) []byte {
	t := flow.Ticket{
		Flow:     f.id,
		Service:  s.service,
		Customer: f.customer,
		Class:    f.class,
		Shard:    s.key,
		Grant:    f.grant(),
		Endpoint: f.endpoint,
		IssuedAt: now,
	}
	return s.out.Tickets.Seal(&t)
}

// Open admits a flow. If the shard takes no new flows, Open returns false so that the open can go to another shard, or,
// with last, refuses the open and returns true.
func (s *Shard) Open(now time.Time, from Origin, p *packet.Packet, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	if f == nil {
		if reason := s.refusalReason(now); reason != packet.ReasonNone {
			if !last {
				return false
			}
			s.refuseOpen(from, p, reason)
			return true
		}
		f = s.addFlow(now, from, p.Flow, p.Customer, p.Class)
		f.grants = []flow.Grant{s.newGrant()}
		s.out.Recorder.Count(metric.Opened, p.Class.String(), 1)
	}
	if f.customer != p.Customer || f.class != p.Class {
		s.countDropped("flow_mismatch")
		return true
	}
	if f.sentTo != 0 {
		return true // the new owner answers the retransmission
	}
	f.touch(now, from)
	s.sendTo(from, &packet.Packet{Kind: packet.KindOpened, Flow: f.id, Ticket: s.ticket(now, f)})
	return true
}

// refusalReason returns why the shard takes no new flows, or ReasonNone.
func (s *Shard) refusalReason(now time.Time) packet.Reason {
	switch {
	case s.closed || s.handover.isActive():
		return packet.ReasonDraining
	case len(s.flows) >= s.config.MaxFlows:
		return packet.ReasonLimit
	case !s.endpoints.AnyUsable() && now.Sub(s.createdAt) >= connectGrace:
		return packet.ReasonNoEndpoint
	case s.queue.Len() >= s.config.Admission.Limit:
		return packet.ReasonQueueFull
	}
	return packet.ReasonNone
}

func (s *Shard) refuseOpen(from Origin, p *packet.Packet, reason packet.Reason) {
	s.out.Recorder.Count(metric.Refused, reason.String(), 1)
	s.sendTo(from, &packet.Packet{
		Kind: packet.KindNotRun, Flow: p.Flow, Reason: reason, RetryAfter: s.jitter(meanRetryAfter),
	})
}

func (s *Shard) addFlow(now time.Time, from Origin, id packet.FlowID, customer string, class packet.Class) *flowState {
	f := &flowState{id: id, customer: customer, class: class}
	f.touch(now, from)
	s.flows[id] = f
	s.all.add(f)
	return f
}

func (f *flowState) touch(now time.Time, from Origin) {
	f.lastSeen, f.caller, f.service = now, from.Caller, from.Service
}

// HandleIfHeld handles a packet with a ticket if the shard holds the flow and the flow accepts the ticket's grant, and
// reports whether it did. The ticket must have been verified and must match the packet's flow and service.
func (s *Shard) HandleIfHeld(now time.Time, from Origin, t *flow.Ticket, p *packet.Packet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	if f == nil || !f.accepts(t.Grant) {
		return false
	}
	s.handlePacket(now, f, from, t, p)
	return true
}

// HandleCaller handles a packet with a ticket when the owner in the ticket cannot be reached. A flow that the shard
// does not hold is adopted.
func (s *Shard) HandleCaller(now time.Time, from Origin, t *flow.Ticket, p *packet.Packet) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	if f == nil {
		f = s.adopt(now, from, t, p)
	}
	if f != nil {
		s.handlePacket(now, f, from, t, p)
	}
}

func (s *Shard) handlePacket(now time.Time, f *flowState, from Origin, t *flow.Ticket, p *packet.Packet) {
	if f.sentTo != 0 {
		// The packet must not reach the receiver before the handover does: the receiver would adopt the flow without
		// its state and answer its requests with unknown. The caller's retransmission after the receiver has confirmed
		// the handover goes to the receiver.
		s.countDropped("handover_pending")
		return
	}
	f.touch(now, from)
	switch p.Kind {
	case packet.KindRequest:
		s.handleRequest(now, f, t, p)
	case packet.KindCancel:
		s.handleCancel(now, f, t, p)
	case packet.KindConfirm:
		s.handleConfirm(f, p)
	case packet.KindSubscribe:
		s.handleSubscribe(now, f, p)
	case packet.KindItemAck:
		s.handleItemAck(now, f, p)
	case packet.KindPing:
		s.handlePing(now, f, t)
	case packet.KindClose:
		s.closeFlow(now, f)
	default:
		s.countDropped("caller_kind")
	}
}

// adopt recreates a flow from its ticket. The flow gets a new grant and does not accept that of the old ticket, so that
// no request with the old ticket is run here: the former owner may have run it.
func (s *Shard) adopt(now time.Time, from Origin, t *flow.Ticket, p *packet.Packet) *flowState {
	switch p.Kind {
	case packet.KindRequest, packet.KindSubscribe, packet.KindPing:
	default:
		s.countDropped("no_flow")
		return nil
	}
	if len(s.flows) >= s.config.MaxFlows {
		s.countDropped("flow_limit")
		return nil
	}
	f := s.addFlow(now, from, t.Flow, t.Customer, t.Class)
	f.grants = []flow.Grant{s.newGrant()}
	if s.endpoints.Adopt(t.Endpoint) {
		f.endpoint = t.Endpoint
	}
	cause := "owner_lost"
	if t.Grant.Owner == s.self {
		cause = "expired"
	}
	s.out.Recorder.Count(metric.Adopted, cause, 1)
	return f
}

// handlePing answers a keepalive. A caller whose ticket is out of date gets a new one, and so learns of a new owner
// before it sends the next non-idempotent request. The name of the open feed tells the caller whether it must subscribe
// again: an owner that adopted the flow does not know its feed.
func (s *Shard) handlePing(now time.Time, f *flowState, t *flow.Ticket) {
	reply := &packet.Packet{Kind: packet.KindPong, Flow: f.id}
	if f.feed != nil {
		reply.Feed = f.feed.name
	}
	if t.Grant != f.grant() || t.Endpoint != f.endpoint || t.Shard != s.key {
		reply.Ticket = s.ticket(now, f)
	}
	s.sendCaller(f, reply)
}

// closeFlow closes a flow at its caller's request. If requests run at backend servers, they are cancelled and the flow
// stays until it expires.
func (s *Shard) closeFlow(now time.Time, f *flowState) {
	s.closeFeed(f, true)
	f.window.Each(func(r *flow.Record) {
		if !r.State.IsFinal() {
			s.cancelRequest(now, f, r)
		}
	})
	if f.window.IsSettled() {
		s.removeFlow(f)
	}
}

func (s *Shard) removeFlow(f *flowState) {
	s.closeFeed(f, false)
	f.window.Each(func(r *flow.Record) { s.releaseAnswer(r) })
	s.unpin(f)
	delete(s.flows, f.id)
	s.all.remove(f)
}

func (s *Shard) pin(f *flowState, a netip.AddrPort, cause string) {
	if f.endpoint == a {
		return
	}
	if f.endpoint.IsValid() {
		s.out.Recorder.Count(metric.Repinned, cause, 1)
	}
	s.unpin(f)
	if s.endpoints.Pin(a) {
		f.endpoint = a
	}
}

func (s *Shard) unpin(f *flowState) {
	if f.endpoint.IsValid() {
		s.endpoints.Unpin(f.endpoint)
		f.endpoint = netip.AddrPort{}
	}
}

// expireFlows checks at most expiryScan flows; the next call continues with the flow after them.
func (s *Shard) expireFlows(now time.Time) {
	for range min(expiryScan, len(s.all.flows)) {
		if s.expiryNext >= len(s.all.flows) {
			s.expiryNext = 0
		}
		f := s.all.flows[s.expiryNext]
		s.expiryNext++
		if f.feed != nil && now.Sub(f.lastSeen) >= s.config.FeedIdle {
			s.closeFeed(f, true)
		}
		if f.sentTo == 0 && now.Sub(f.lastSeen) >= s.config.FlowIdle && f.window.IsSettled() {
			s.removeFlow(f)
			if len(s.all.flows) == 0 {
				return
			}
		}
	}
}

func (s *Shard) sendCaller(f *flowState, p *packet.Packet) {
	s.out.Caller.SendCaller(f.service, f.caller, p)
}

func (s *Shard) sendTo(from Origin, p *packet.Packet) {
	s.out.Caller.SendCaller(from.Service, from.Caller, p)
}
