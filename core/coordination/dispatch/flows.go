package dispatch

import (
	"net/netip"
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
)

// maxGrants bounds the chain of former owners whose tickets a flow accepts. Older tickets count as foreign.
const maxGrants = 8

// expiryScan is the number of flows that one tick looks at for expiry.
const expiryScan = 256

// connectGrace is the time that a new shard has to connect to its endpoints before it refuses flows.
const connectGrace = time.Second

// flowRetry is the mean time after which a refused open or request may be tried again.
const flowRetry = time.Second

// flowState is one flow at its owner.
type flowState struct {
	id       packet.FlowID
	customer string
	class    packet.Class
	caller   packet.CallerAddress
	service  netip.AddrPort // service address that the caller uses
	grants   []flow.Grant   // the last one is in new tickets
	endpoint netip.AddrPort // pin; not valid before the first dispatch
	window   flow.Window
	feed     *feed
	lastSeen time.Time
	sentTo   member.Incarnation // receiver of the flow's handover; 0 without one
	places   [listCount]int     // places in the lists, from 1; 0 if not in the list
}

// Origin tells where a packet came from.
type Origin struct {
	Caller  packet.CallerAddress
	Service netip.AddrPort
}

func (f *flowState) accepts(g flow.Grant) bool {
	for _, own := range f.grants {
		if own == g {
			return true
		}
	}
	return false
}

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

// Open admits a flow. It returns false if the shard has no room and the open should go to another shard; the open is
// refused here when last is set.
func (s *Shard) Open(now time.Time, from Origin, p *packet.Packet, last bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	if f == nil {
		if reason := s.refusesFlows(now); reason != packet.ReasonNone {
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
		s.drop("flow_mismatch")
		return true
	}
	if f.sentTo != 0 {
		return true // the new owner answers the retransmission
	}
	f.touch(now, from)
	s.sendTo(from, &packet.Packet{Kind: packet.KindOpened, Flow: f.id, Ticket: s.ticket(now, f)})
	return true
}

func (s *Shard) refusesFlows(now time.Time) packet.Reason {
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
	s.sendTo(from, &packet.Packet{Kind: packet.KindNotRun, Flow: p.Flow, Reason: reason, RetryAfter: s.spread(flowRetry)})
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

// HandleHeld takes a packet of a ticketed flow if the shard holds that flow under the ticket's grant, and reports whether
// it does. The ticket is authentic and fits the packet's flow and service.
func (s *Shard) HandleHeld(now time.Time, from Origin, t *flow.Ticket, p *packet.Packet) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	if f == nil || !f.accepts(t.Grant) {
		return false
	}
	s.handlePacket(now, f, from, t, p)
	return true
}

// HandleCaller takes a packet of a ticketed flow whose owner cannot be reached. A flow that the shard does not hold is
// adopted.
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
		// The packet must not overtake the handover: the receiver would take the flow for lost and answer its requests
		// with unknown. The caller's retransmission follows when the receiver has confirmed.
		s.drop("handover_pending")
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
		s.drop("caller_kind")
	}
}

// adopt recreates a flow from its ticket. The new grant makes the old ticket foreign, so that no request under it is run
// here: the former owner may have run it.
func (s *Shard) adopt(now time.Time, from Origin, t *flow.Ticket, p *packet.Packet) *flowState {
	switch p.Kind {
	case packet.KindRequest, packet.KindSubscribe, packet.KindPing:
	default:
		s.drop("no_flow")
		return nil
	}
	if len(s.flows) >= s.config.MaxFlows {
		s.drop("flow_limit")
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

// handlePing answers a keepalive. A caller whose ticket is not the present one gets the present one, and so learns of a
// new owner before it sends the next non-idempotent request. The name of the open feed tells the caller whether it must
// subscribe again: an owner that adopted the flow does not know its feed.
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

// expireFlows looks at a bounded number of flows, and goes on there with the next call.
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
