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

// refusedRetryAfter is the retry delay sent to a caller whose open has no route or no endpoint: about the time until a
// new table version is in force at all balancers.
const refusedRetryAfter = 4 * time.Second

// ticketPool and forwardPool avoid allocations per packet: tickets and forwards are passed to interface methods and
// would otherwise escape to the heap. They can be reused because no callee retains them.
var (
	ticketPool  = sync.Pool{New: func() any { return new(flow.Ticket) }}
	forwardPool = sync.Pool{New: func() any { return new(packet.Forward) }}
)

// HandleCaller handles a caller's datagram from the fabric. p may alias the bytes of env.
func (b *Balancer) HandleCaller(env *packet.Envelope, p *packet.Packet) {
	b.route(&packet.Forward{Envelope: *env}, p)
}

// HandleForward handles a caller's datagram that another balancer forwarded.
func (b *Balancer) HandleForward(f *packet.Forward, p *packet.Packet) {
	b.route(f, p)
}

func (b *Balancer) route(f *packet.Forward, p *packet.Packet) {
	plan := b.plan.Load()
	if plan.View.Version == 0 || plan.Layout.Index.Tables.Version == 0 {
		b.countDropped("not_joined")
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
	t := ticketPool.Get().(*flow.Ticket)
	defer ticketPool.Put(t)
	*t = flow.Ticket{}
	if err := b.out.Tickets.Open(p.Ticket, t); err != nil {
		b.countDropped("bad_ticket")
		return
	}
	if t.Flow != p.Flow || t.Service != route.Service {
		b.countDropped("wrong_service")
		return
	}
	b.routeTicketed(plan, route, f, t, p)
}

// refuseUnrouted refuses an open whose service address has no route. Other packets are dropped without a reply: their
// request may be running, so "not run" could be false.
func (b *Balancer) refuseUnrouted(f *packet.Forward, p *packet.Packet) {
	if p.Kind != packet.KindOpen {
		b.countDropped("no_route")
		return
	}
	b.refuseOpen(f, p, packet.ReasonNoRoute, refusedRetryAfter)
}

func (b *Balancer) refuseOpen(f *packet.Forward, p *packet.Packet, reason packet.Reason, retryAfter time.Duration) {
	b.out.Recorder.Count(metric.Refused, reason.String(), 1)
	b.out.Caller.SendCaller(f.Service, f.Caller, &packet.Packet{
		Kind: packet.KindNotRun, Flow: p.Flow, Reason: reason, RetryAfter: retryAfter,
	})
}

// routeOpen forwards an open to the owner of the shard that the flow ID selects, or admits the flow to a local shard.
func (b *Balancer) routeOpen(plan *routing.Plan, route *table.Route, f *packet.Forward, p *packet.Packet) {
	if b.config.Dispatch.Mode != dispatch.ModeOwner {
		b.openWithoutOwner(route, f, p)
		return
	}
	for {
		s := plan.Choose(route.Pool, p.Flow, int(f.Spill))
		if s == nil {
			b.refuseOpen(f, p, packet.ReasonNoEndpoint, refusedRetryAfter)
			return
		}
		owner, ok := plan.Owner(s)
		if !ok {
			b.refuseOpen(f, p, packet.ReasonNoEndpoint, refusedRetryAfter)
			return
		}
		if owner.Incarnation != b.self {
			b.forward(owner, f)
			return
		}
		if b.openLocally(plan, s, f, p) {
			return
		}
		b.out.Recorder.Count(metric.Spilled, route.Pool, 1)
		f.Spill++
	}
}

// openLocally admits a flow to a local shard. It returns false if the shard takes no new flows and another one may.
func (b *Balancer) openLocally(plan *routing.Plan, s *routing.Shard, f *packet.Forward, p *packet.Packet) bool {
	isLastChoice := plan.Choose(s.Key.Pool, p.Flow, int(f.Spill)+1) == nil || f.Hops >= packet.MaxHops
	return b.localShard(s.Key, s.Service).Open(b.clock.Now(), originOf(f), p, isLastChoice)
}

// openWithoutOwner opens a flow in the baseline modes, in which pool shards have no owner and each balancer chooses
// among all endpoints of a pool by itself.
func (b *Balancer) openWithoutOwner(route *table.Route, f *packet.Forward, p *packet.Packet) {
	sh := b.localShard(flow.ShardKey{Pool: route.Pool}, route.Service)
	sh.Open(b.clock.Now(), originOf(f), p, true)
}

func originOf(f *packet.Forward) dispatch.Origin {
	return dispatch.Origin{Caller: f.Caller, Service: f.Service}
}

// routeTicketed finds the process that holds the flow: this one, the one named in the ticket, or the current owner of
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
	return sh.HandleIfHeld(b.clock.Now(), originOf(f), t, p)
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

// routeToOwner passes a packet to the current owner of its flow's shard. An owner that does not hold the flow restores
// it from the ticket.
func (b *Balancer) routeToOwner(plan *routing.Plan, route *table.Route, f *packet.Forward, t *flow.Ticket,
	p *packet.Packet) {
	if b.config.Dispatch.Mode != dispatch.ModeOwner {
		sh := b.localShard(flow.ShardKey{Pool: route.Pool}, route.Service)
		sh.HandleCaller(b.clock.Now(), originOf(f), t, p)
		return
	}
	if b.handleInAnyShard(f, t, p) {
		return
	}
	s := b.receivingShard(plan, plan.ShardOf(t.Shard, route.Pool))
	if s == nil {
		b.countDropped("no_shard")
		return
	}
	owner, ok := plan.Owner(s)
	if !ok {
		b.countDropped("no_owner")
		return
	}
	if owner.Incarnation != b.self {
		b.forward(owner, f)
		return
	}
	b.localShard(s.Key, s.Service).HandleCaller(b.clock.Now(), originOf(f), t, p)
}

// handleInAnyShard handles a packet of a flow that any local shard of its service holds. A flow may have come from
// another pool shard whose owner found no usable endpoint. Only that owner knew so, and the ticket still names that
// shard.
func (b *Balancer) handleInAnyShard(f *packet.Forward, t *flow.Ticket, p *packet.Packet) bool {
	for _, sh := range b.localShards() {
		if sh.Service() == t.Service && sh.HandleIfHeld(b.clock.Now(), originOf(f), t, p) {
			return true
		}
	}
	return false
}

// receivingShard returns the shard that receives the flows of s while its local shard hands them over to another shard,
// else s.
func (b *Balancer) receivingShard(plan *routing.Plan, s *routing.Shard) *routing.Shard {
	if s == nil {
		return nil
	}
	b.mu.RLock()
	sh := b.shards[shardID{s.Key, s.Service}]
	b.mu.RUnlock()
	if sh == nil {
		return s
	}
	target, isActive := sh.HandoverTarget()
	if !isActive || target == s.Key {
		return s
	}
	if next := plan.Layout.Shard(target); next != nil {
		return next
	}
	return s
}

// localShard returns the local shard of a key. It creates and reconciles it if needed.
func (b *Balancer) localShard(key flow.ShardKey, service string) *dispatch.Shard {
	b.mu.RLock()
	sh := b.shards[shardID{key, service}]
	b.mu.RUnlock()
	if sh != nil {
		return sh
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	sh = b.getOrCreateShard(key, service)
	b.reconcileShard(b.clock.Now(), b.plan.Load(), shardID{key, service}, sh)
	return sh
}

func (b *Balancer) forward(to member.Host, f *packet.Forward) {
	if f.Hops >= packet.MaxHops {
		b.countDropped("hops")
		return
	}
	next := forwardPool.Get().(*packet.Forward)
	*next = *f
	next.Hops++
	b.out.Recorder.Count(metric.Forwarded, "packet", 1)
	b.out.Peer.SendForward(to, next)
	next.Packet = nil
	forwardPool.Put(next)
}
