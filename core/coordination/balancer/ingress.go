package balancer

import (
	"sync"
	"time"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/coordination/routing"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// refusedRetry is the time after which an open that found no route may be tried again: about the time that a new table
// version takes to be in force everywhere.
const refusedRetry = 4 * time.Second

// Tickets and forwards pass through interfaces and would be allocated for each packet. Nothing keeps them after the call.
var (
	tickets  = sync.Pool{New: func() any { return new(flow.Ticket) }}
	forwards = sync.Pool{New: func() any { return new(packet.Forward) }}
)

// HandleCaller takes a caller's datagram from the fabric. The packet may alias the envelope's bytes.
func (b *Balancer) HandleCaller(env *packet.Envelope, p *packet.Packet) {
	b.route(&packet.Forward{Envelope: *env}, p)
}

// HandleForward takes a caller's datagram that another balancer passed on.
func (b *Balancer) HandleForward(f *packet.Forward, p *packet.Packet) {
	b.route(f, p)
}

func (b *Balancer) route(f *packet.Forward, p *packet.Packet) {
	plan := b.plan.Load()
	if plan.View.Version == 0 || plan.Layout.Index.Tables.Version == 0 {
		b.drop("not_joined")
		return
	}
	route := plan.Layout.Index.RouteOf(f.Service)
	if route == nil {
		b.refuseUnrouted(f, p)
		return
	}
	if p.Kind == packet.KindOpen {
		b.routeOpen(plan, route, f, p)
		return
	}
	t := tickets.Get().(*flow.Ticket)
	defer tickets.Put(t)
	*t = flow.Ticket{}
	if err := b.out.Tickets.Open(p.Ticket, t); err != nil {
		b.drop("bad_ticket")
		return
	}
	if t.Flow != p.Flow || t.Service != route.Service {
		b.drop("wrong_service")
		return
	}
	b.routeTicketed(plan, route, f, t, p)
}

// refuseUnrouted answers an open without a route. Other packets are dropped, since their request may be running.
func (b *Balancer) refuseUnrouted(f *packet.Forward, p *packet.Packet) {
	if p.Kind != packet.KindOpen {
		b.drop("no_route")
		return
	}
	b.refuseOpen(f, p, packet.ReasonNoRoute, refusedRetry)
}

func (b *Balancer) refuseOpen(f *packet.Forward, p *packet.Packet, reason packet.Reason, retryAfter time.Duration) {
	b.out.Recorder.Count(metric.Refused, reason.String(), 1)
	b.out.Caller.SendCaller(f.Service, f.Caller, &packet.Packet{
		Kind: packet.KindNotRun, Flow: p.Flow, Reason: reason, RetryAfter: retryAfter,
	})
}

// routeOpen passes an open to the owner of the shard that the flow ID selects, or admits it here.
func (b *Balancer) routeOpen(plan *routing.Plan, route *table.Route, f *packet.Forward, p *packet.Packet) {
	if b.config.Dispatch.Mode != dispatch.ModeOwner {
		b.openAlone(route, f, p)
		return
	}
	for {
		s := plan.Choose(route.Pool, p.Flow, int(f.Spill))
		if s == nil {
			b.refuseOpen(f, p, packet.ReasonNoEndpoint, refusedRetry)
			return
		}
		owner, ok := plan.Owner(s)
		if !ok {
			b.refuseOpen(f, p, packet.ReasonNoEndpoint, refusedRetry)
			return
		}
		if owner.Incarnation != b.self {
			b.forward(owner, f)
			return
		}
		if b.openHere(plan, s, f, p) {
			return
		}
		b.out.Recorder.Count(metric.Spilled, route.Pool, 1)
		f.Spill++
	}
}

// openHere admits a flow to a local shard. It returns false if the shard has no room and another one may have.
func (b *Balancer) openHere(plan *routing.Plan, s *routing.Shard, f *packet.Forward, p *packet.Packet) bool {
	last := plan.Choose(s.Key.Pool, p.Flow, int(f.Spill)+1) == nil || f.Hops >= packet.MaxHops
	return b.localShard(s.Key, s.Service).Open(b.clock.Now(), originOf(f), p, last)
}

// openAlone serves the baselines, in which each balancer chooses among all endpoints of a pool on its own.
func (b *Balancer) openAlone(route *table.Route, f *packet.Forward, p *packet.Packet) {
	sh := b.localShard(flow.ShardKey{Pool: route.Pool}, route.Service)
	sh.Open(b.clock.Now(), originOf(f), p, true)
}

func originOf(f *packet.Forward) dispatch.Origin {
	return dispatch.Origin{Caller: f.Caller, Service: f.Service}
}

// routeTicketed finds the process that holds the flow: this one, the one named in the ticket, or the present owner of
// the flow's shard.
func (b *Balancer) routeTicketed(plan *routing.Plan, route *table.Route, f *packet.Forward, t *flow.Ticket,
	p *packet.Packet) {
	if b.handleHeld(plan, f, t, p) {
		return
	}
	if t.Grant.Owner != b.self && f.Hops == 0 {
		if host, ok := plan.View.Lookup(t.Grant.Owner); ok && host.IsReachable() {
			b.forward(host, f)
			return
		}
	}
	b.routeToOwner(plan, route, f, t, p)
}

// handleHeld handles a packet of a flow that a local shard holds.
func (b *Balancer) handleHeld(plan *routing.Plan, f *packet.Forward, t *flow.Ticket, p *packet.Packet) bool {
	sh := b.holder(plan, t)
	if sh == nil {
		return false
	}
	return sh.HandleHeld(b.clock.Now(), originOf(f), t, p)
}

// holder returns the local shard that may hold a flow: the one in the ticket, or the one that its flows were moved to.
func (b *Balancer) holder(plan *routing.Plan, t *flow.Ticket) *dispatch.Shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	if sh := b.shards[shardID{t.Shard, t.Service}]; sh != nil {
		return sh
	}
	if s := plan.ShardOf(t.Shard, t.Shard.Pool); s != nil {
		return b.shards[shardID{s.Key, t.Service}]
	}
	return nil
}

// routeToOwner passes a packet to the present owner of its flow's shard, which adopts the flow if it has to.
func (b *Balancer) routeToOwner(plan *routing.Plan, route *table.Route, f *packet.Forward, t *flow.Ticket,
	p *packet.Packet) {
	if b.config.Dispatch.Mode != dispatch.ModeOwner {
		sh := b.localShard(flow.ShardKey{Pool: route.Pool}, route.Service)
		sh.HandleCaller(b.clock.Now(), originOf(f), t, p)
		return
	}
	if b.handleElsewhere(f, t, p) {
		return
	}
	s := b.presentShard(plan, plan.ShardOf(t.Shard, route.Pool))
	if s == nil {
		b.drop("no_shard")
		return
	}
	owner, ok := plan.Owner(s)
	if !ok {
		b.drop("no_owner")
		return
	}
	if owner.Incarnation != b.self {
		b.forward(owner, f)
		return
	}
	b.localShard(s.Key, s.Service).HandleCaller(b.clock.Now(), originOf(f), t, p)
}

// handleElsewhere handles a packet of a flow that came from another pool shard of its service, whose owner alone knew
// that no endpoint of it was usable. The ticket still names that shard.
func (b *Balancer) handleElsewhere(f *packet.Forward, t *flow.Ticket, p *packet.Packet) bool {
	for _, sh := range b.localShards() {
		if sh.Service() == t.Service && sh.HandleHeld(b.clock.Now(), originOf(f), t, p) {
			return true
		}
	}
	return false
}

// presentShard follows a local shard that is left to the shard that takes its flows.
func (b *Balancer) presentShard(plan *routing.Plan, s *routing.Shard) *routing.Shard {
	if s == nil {
		return nil
	}
	b.mu.RLock()
	sh := b.shards[shardID{s.Key, s.Service}]
	b.mu.RUnlock()
	if sh == nil {
		return s
	}
	target, isMoving := sh.Target()
	if !isMoving || target == s.Key {
		return s
	}
	if next := plan.Layout.Shard(target); next != nil {
		return next
	}
	return s
}

func (b *Balancer) localShard(key flow.ShardKey, service string) *dispatch.Shard {
	b.mu.RLock()
	sh := b.shards[shardID{key, service}]
	b.mu.RUnlock()
	if sh != nil {
		return sh
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	sh = b.shard(key, service)
	b.arrangeShard(b.clock.Now(), b.plan.Load(), shardID{key, service}, sh)
	return sh
}

func (b *Balancer) forward(to member.Host, f *packet.Forward) {
	if f.Hops >= packet.MaxHops {
		b.drop("hops")
		return
	}
	next := forwards.Get().(*packet.Forward)
	*next = *f
	next.Hops++
	b.out.Recorder.Count(metric.Forwarded, "packet", 1)
	b.out.Peer.SendForward(to, next)
	next.Packet = nil
	forwards.Put(next)
}
