// Package balancer is the decision core of one balancer: it routes caller packets to the owners of their flows, runs
// the pool shards that this process owns, and moves flows when the tables or the membership change.
//
// # Usage
//
// Create a Balancer with New, then pass events in: SetTables, SetView, HandleCaller, HandleForward, HandleBackend,
// BackendUp, BackendDown, HandleHandover, HandoverDone and Tick. Messages go out through the interfaces in Outputs. The
// package starts no goroutines; all methods are safe for concurrent use. Routing reads an immutable plan; forwarding a
// packet takes no exclusive lock of the balancer.
package balancer

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/coordination/routing"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// Clock is the source of the current time. Tests replace it by a simulated clock.
type Clock interface {
	Now() time.Time
}

// PeerSender sends datagrams to other balancers. It does not block, may lose datagrams, and does not retain f after the
// call.
type PeerSender interface {
	SendForward(to member.Host, f *packet.Forward)
}

// TicketCodec encodes and authenticates tickets.
type TicketCodec interface {
	Seal(t *flow.Ticket) []byte
	Open(encoded []byte, t *flow.Ticket) error
}

// Outputs are the interfaces through which a balancer sends messages, encodes tickets and records metrics.
type Outputs struct {
	Caller   dispatch.CallerSender
	Backend  dispatch.BackendSender
	Handover dispatch.HandoverSender
	Peer     PeerSender
	Tickets  TicketCodec
	Recorder dispatch.Recorder
}

// Config holds the settings of a balancer.
type Config struct {
	ShardEndpoints int // largest number of endpoints in a pool shard
	Dispatch       dispatch.Config
	Seed           uint64 // of the random source
}

// Balancer is the decision core of one balancer process.
type Balancer struct {
	self   member.Incarnation
	config Config
	clock  Clock
	out    Outputs
	links  *links
	plan   atomic.Pointer[routing.Plan]
	serial atomic.Uint64 // last serial number of a grant or handover message; common to all shards

	mu               sync.RWMutex // guards the fields below; each shard has its own lock
	shards           map[shardID]*dispatch.Shard
	byNumber         map[uint64]*dispatch.Shard
	lastShardNumber  uint64
	received         map[handoverSource]handoverNumbers // highest message numbers of each source
	lastHandovers    map[shardID]lastHandover           // the last handover accepted for each shard
	reconciledAt     time.Time                          // when the local shards were last compared with the plan
	leavingEndpoints map[netip.AddrPort]bool            // endpoints on hosts that the platform lists as leaving
	random           *rand.Rand
}

// shardID identifies a local shard. The tables may assign an existing pool name to another service. The service is part
// of the ID so that flows of the former service are never sent to endpoints of the new one.
type shardID struct {
	flow.ShardKey
	service string
}

func (i shardID) compare(o shardID) int {
	return cmp.Or(i.ShardKey.Compare(o.ShardKey), strings.Compare(i.service, o.service))
}

// lastHandover is the last handover that a shard accepted: its sender and its time.
type lastHandover struct {
	from member.Incarnation
	at   time.Time
}

// After a change, membership views differ for up to a few gossip periods. A balancer that receives flows while its own
// view still shows the sender, or a third member, as their owner would hand them over again at once. The flows would
// then circulate among balancers, and the owners would stop accepting their oldest tickets, since a flow keeps a
// limited number of former grants.
const (
	minHoldTime   = time.Second     // received flows are not handed over before this time
	minReturnTime = 3 * time.Second // and not back to their sender before this time
)

// reconcileInterval is the time between comparisons of the local shards with the plan while nothing changes.
const reconcileInterval = 500 * time.Millisecond

// handoverSource is a shard of a sending process, which numbers its handover messages.
type handoverSource struct {
	from  member.Incarnation
	shard uint64
}

// handoverNumbers are the highest message numbers of a handover source that were accepted and refused. Both decisions
// are final: the sender of a refused message serves the flows itself again, so a later copy must not be accepted.
type handoverNumbers struct {
	accepted uint64
	refused  uint64
}

// New returns a balancer without tables and without a membership view. It drops all packets until it has both.
func New(self member.Host, config Config, clock Clock, out Outputs) *Balancer {
	b := &Balancer{
		self:             self.Incarnation,
		config:           config,
		clock:            clock,
		out:              out,
		links:            newLinks(out.Backend),
		shards:           make(map[shardID]*dispatch.Shard),
		byNumber:         make(map[uint64]*dispatch.Shard),
		received:         make(map[handoverSource]handoverNumbers),
		lastHandovers:    make(map[shardID]lastHandover),
		leavingEndpoints: make(map[netip.AddrPort]bool),
		random:           rand.New(rand.NewPCG(config.Seed, uint64(self.Incarnation))),
	}
	layout := routing.NewLayout(table.NewIndex(&table.Tables{}), config.ShardEndpoints)
	b.plan.Store(routing.NewPlan(layout, member.NewView(0, self, nil)))
	return b
}

// Version returns the table version in force.
func (b *Balancer) Version() uint64 { return b.plan.Load().Layout.Index.Tables.Version }

// Plan returns the current routing plan.
func (b *Balancer) Plan() *routing.Plan { return b.plan.Load() }

// SetTables puts a table version in force and reports whether it did: a version that is not higher than the one in
// force is ignored.
func (b *Balancer) SetTables(index *table.Index) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.plan.Load()
	if index.Tables.Version <= old.Layout.Index.Tables.Version {
		return false
	}
	b.plan.Store(old.WithLayout(old.Layout.Next(index)))
	b.reconcile()
	return true
}

// SetView installs a new membership view. A view that is not newer than the current one is ignored.
func (b *Balancer) SetView(v *member.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.plan.Load()
	if v.Version <= old.View.Version {
		return
	}
	b.plan.Store(routing.NewPlan(old.Layout, v))
	b.reconcile()
}

// reconcile makes the local shards match the plan: it creates the shards that this process owns and starts to hand over
// the flows of the others. b.mu must be locked.
func (b *Balancer) reconcile() {
	now := b.clock.Now()
	plan := b.plan.Load()
	for _, s := range plan.Layout.Shards {
		owner, ok := plan.Owner(s)
		if ok && owner.Incarnation == b.self {
			b.getOrCreateShard(s.Key, s.Service)
		}
	}
	b.reconcileLocalShards(now, plan)
}

func (b *Balancer) reconcileLocalShards(now time.Time, plan *routing.Plan) {
	b.reconciledAt = now
	for _, id := range b.sortedIDs() {
		b.reconcileShard(now, plan, id, b.shards[id])
	}
}

func (b *Balancer) reconcileShard(now time.Time, plan *routing.Plan, id shardID, sh *dispatch.Shard) {
	sh.AbandonReceivers(func(i member.Incarnation) bool {
		h, known := plan.View.Lookup(i)
		return !known || !h.IsReachable()
	})
	if b.config.Dispatch.Mode != dispatch.ModeOwner {
		b.setEndpoints(now, sh, b.poolEndpoints(plan, id))
		sh.StopHandover()
		return
	}
	s := plan.Layout.Shard(id.ShardKey)
	if s == nil || s.Service != id.service {
		b.setEndpoints(now, sh, nil)
		b.moveToFallback(now, plan, id, sh)
		return
	}
	b.setEndpoints(now, sh, s.Endpoints)
	if s.Slots == 0 || sh.HasNoUsableEndpoint(now) {
		b.moveToFallback(now, plan, id, sh)
		return
	}
	owner, ok := plan.Owner(s)
	if !ok || owner.Incarnation == b.self {
		sh.StopHandover()
		return
	}
	if b.mayHandOver(now, id, owner.Incarnation) {
		sh.StartHandover(now, owner, id.ShardKey)
	}
}

// mayHandOver reports whether flows of a shard may be handed over to a member now.
func (b *Balancer) mayHandOver(now time.Time, id shardID, to member.Incarnation) bool {
	last, ok := b.lastHandovers[id]
	switch {
	case !ok:
		return true
	case last.from == to:
		return now.Sub(last.at) >= minReturnTime
	}
	return now.Sub(last.at) >= minHoldTime
}

// moveToFallback moves the flows of a shard without usable endpoints to another shard of the service. If there is none,
// the flows stay until they expire, and their requests are refused. All balancers with the same tables choose the same
// shard.
func (b *Balancer) moveToFallback(now time.Time, plan *routing.Plan, id shardID, sh *dispatch.Shard) {
	target := plan.Fallback(id.ShardKey, id.service)
	if target == nil {
		sh.StopHandover()
		return
	}
	if owner, ok := plan.Owner(target); ok {
		sh.StartHandover(now, owner, target.Key)
		sh.WithdrawQueued()
	}
}

func (b *Balancer) setEndpoints(now time.Time, sh *dispatch.Shard, endpoints []table.Endpoint) {
	for _, a := range sh.SetEndpoints(now, endpoints) {
		if info := b.links.infoOf(a); info != nil { // already connected for another shard
			sh.BackendUp(now, a, info.service, info.incarnation, info.busy, info.leaving)
		}
	}
	for _, e := range endpoints {
		if b.leavingEndpoints[e.Address] {
			sh.MarkLeaving(now, e.Address, true)
		}
	}
}

func (b *Balancer) poolEndpoints(plan *routing.Plan, id shardID) []table.Endpoint {
	p := plan.Layout.Index.PoolOf(id.Pool)
	if p == nil || p.Service != id.service {
		return nil
	}
	return p.Endpoints
}

// getOrCreateShard returns the local shard of a key and creates it if needed. b.mu must be locked for writing.
func (b *Balancer) getOrCreateShard(key flow.ShardKey, service string) *dispatch.Shard {
	id := shardID{key, service}
	if sh := b.shards[id]; sh != nil {
		return sh
	}
	b.lastShardNumber++
	random := rand.New(rand.NewPCG(b.random.Uint64(), b.lastShardNumber))
	sh := dispatch.NewShard(key, service, b.lastShardNumber, b.self, &b.serial, b.config.Dispatch, random, dispatch.Outputs{
		Caller: b.out.Caller, Backend: shardLinks{b.links, b.lastShardNumber}, Handover: b.out.Handover, Tickets: b.out.Tickets,
		Recorder: b.out.Recorder,
	})
	b.shards[id] = sh
	b.byNumber[b.lastShardNumber] = sh
	return sh
}

// SetLeavingEndpoints replaces the set of endpoints on hosts that the platform lists as leaving.
func (b *Balancer) SetLeavingEndpoints(addresses []netip.AddrPort) {
	now := b.clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	shards := b.sortedShards()
	before := slices.SortedFunc(maps.Keys(b.leavingEndpoints), netip.AddrPort.Compare)
	clear(b.leavingEndpoints)
	for _, a := range addresses {
		b.leavingEndpoints[a] = true
		markLeaving(now, shards, a, true)
	}
	for _, a := range before {
		if !b.leavingEndpoints[a] {
			markLeaving(now, shards, a, false)
		}
	}
}

func markLeaving(now time.Time, shards []*dispatch.Shard, a netip.AddrPort, leaving bool) {
	for _, sh := range shards {
		sh.MarkLeaving(now, a, leaving)
	}
}

// Tick runs all time-driven work. Call it about every 50 ms.
func (b *Balancer) Tick() {
	now := b.clock.Now()
	for _, sh := range b.localShards() {
		sh.Tick(now)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.reconciledAt) >= reconcileInterval {
		b.reconcileLocalShards(now, b.plan.Load())
	}
	b.closeIdleShards(now)
}

func (b *Balancer) localShards() []*dispatch.Shard {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.sortedShards()
}

// sortedShards returns the local shards in the order of sortedIDs. b.mu must be locked.
func (b *Balancer) sortedShards() []*dispatch.Shard {
	list := make([]*dispatch.Shard, 0, len(b.shards))
	for _, id := range b.sortedIDs() {
		list = append(list, b.shards[id])
	}
	return list
}

// sortedIDs returns the IDs of the local shards in a fixed order, so that a run with the same inputs is deterministic.
// b.mu must be locked.
func (b *Balancer) sortedIDs() []shardID {
	return slices.SortedFunc(maps.Keys(b.shards), shardID.compare)
}

// closeIdleShards closes and removes shards that this process does not own and that have nothing left to finish or to
// hand over. b.mu must be locked.
func (b *Balancer) closeIdleShards(now time.Time) {
	plan := b.plan.Load()
	var idle []shardID
	for id, sh := range b.shards {
		if !b.owns(plan, id) && sh.IsIdle() {
			idle = append(idle, id)
		}
	}
	slices.SortFunc(idle, shardID.compare)
	for _, id := range idle {
		sh := b.shards[id]
		sh.Close(now)
		delete(b.shards, id)
		delete(b.lastHandovers, id)
		for n, other := range b.byNumber {
			if other == sh {
				delete(b.byNumber, n)
			}
		}
	}
}

func (b *Balancer) owns(plan *routing.Plan, id shardID) bool {
	if b.config.Dispatch.Mode != dispatch.ModeOwner {
		p := plan.Layout.Index.PoolOf(id.Pool)
		return p != nil && p.Service == id.service
	}
	s := plan.Layout.Shard(id.ShardKey)
	if s == nil || s.Service != id.service {
		return false
	}
	owner, ok := plan.Owner(s)
	return ok && owner.Incarnation == b.self
}

// IsDrained reports whether no local shard has anything left to finish or to hand over.
func (b *Balancer) IsDrained() bool {
	for _, sh := range b.localShards() {
		if !sh.IsIdle() {
			return false
		}
	}
	return true
}

// ForceDrain ends all requests in progress, so that the remaining flows can be handed over: waiting requests are
// refused, and requests that were sent end with an unknown outcome.
func (b *Balancer) ForceDrain() {
	now := b.clock.Now()
	for _, sh := range b.localShards() {
		sh.ForceSettle(now)
	}
}

// Loads returns the load of each local shard.
func (b *Balancer) Loads() map[flow.ShardKey]dispatch.Load {
	b.mu.RLock()
	defer b.mu.RUnlock()
	loads := make(map[flow.ShardKey]dispatch.Load, len(b.shards))
	for id, sh := range b.shards {
		loads[id.ShardKey] = loads[id.ShardKey].Add(sh.Load())
	}
	return loads
}

func (b *Balancer) countDropped(reason string) { b.out.Recorder.Count(metric.Dropped, reason, 1) }
