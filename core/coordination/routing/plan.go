// Package routing decides which pool shard a flow belongs to and which balancer owns a pool shard.
//
// # Usage
//
// A Layout divides the pools of one table version into shards. A Plan combines a Layout with one membership view, and
// its method Owner finds the owner of a shard by rendezvous hashing. Readers use both without a lock; a balancer
// replaces its Plan when its tables or its view change. Plans of different balancers may differ at any time.
package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// Plan maps flows to pool shards and pool shards to owners, for one layout and one view. It computes and stores owners
// on demand.
type Plan struct {
	Layout        *Layout
	View          *member.View
	domains       map[string][]candidate
	allCandidates []candidate
	owners        []atomic.Int32 // per shard: index of the owner in View.Hosts plus 1, noOwner, or 0 if not computed yet
}

type candidate struct {
	host int // index in View.Hosts
	hash uint64
}

// noOwner marks a shard for which no member can be the owner.
const noOwner = -1

// NewPlan returns the plan for a layout and a view.
func NewPlan(l *Layout, v *member.View) *Plan {
	p := &Plan{
		Layout:  l,
		View:    v,
		domains: make(map[string][]candidate),
		owners:  make([]atomic.Int32, len(l.Shards)),
	}
	for i, h := range v.Hosts {
		if !h.CanOwn() {
			continue
		}
		c := candidate{host: i, hash: xxhash.Sum64String(h.ID)}
		p.domains[h.FailureDomain] = append(p.domains[h.FailureDomain], c)
		p.allCandidates = append(p.allCandidates, c)
	}
	return p
}

// WithLayout returns a plan for the same view and another layout. It keeps the owners that are already computed.
func (p *Plan) WithLayout(l *Layout) *Plan {
	next := &Plan{
		Layout: l, View: p.View, domains: p.domains, allCandidates: p.allCandidates, owners: make([]atomic.Int32, len(l.Shards)),
	}
	for _, s := range l.Shards {
		if former := p.Layout.byKey[s.Key]; former != nil {
			next.owners[s.index].Store(p.owners[former.index].Load())
		}
	}
	return next
}

// Owner returns the member that owns a shard in this plan, and false if there is none. The first call for a shard
// computes one hash per member of its failure domain; later calls are a lookup.
func (p *Plan) Owner(s *Shard) (member.Host, bool) {
	i := p.owners[s.index].Load()
	if i == 0 {
		i = p.computeOwner(s)
		p.owners[s.index].Store(i)
	}
	if i == noOwner {
		return member.Host{}, false
	}
	return p.View.Hosts[i-1], true
}

func (p *Plan) computeOwner(s *Shard) int32 {
	candidates := p.domains[s.Key.FailureDomain]
	if len(candidates) == 0 {
		candidates = p.allCandidates
	}
	best, bestScore := int32(noOwner), uint64(0)
	for _, c := range candidates {
		if score := mix(c.hash, s.hash); best == noOwner || score > bestScore {
			best, bestScore = int32(c.host+1), score
		}
	}
	return best
}

// Choose returns the shard of a pool for a new flow, or nil.
func (p *Plan) Choose(pool string, id packet.FlowID, spill int) *Shard {
	pl := p.Layout.Pool(pool)
	if pl == nil {
		return nil
	}
	return pl.Choose(id, spill)
}

// NextShard returns the shard in a key's pool that takes over the flows of the key's shard when that has no usable
// endpoint, or nil.
func (p *Plan) NextShard(key flow.ShardKey) *Shard {
	pl := p.Layout.Pool(key.Pool)
	if pl == nil {
		return nil
	}
	return pl.NextShard(key)
}

// ShardOf returns the shard that a flow with a ticket belongs to now: the shard named in the ticket while it has slots
// and is in the pool of the flow's route, else its successor in that pool. Without a successor it is the shard of the
// ticket, or nil.
func (p *Plan) ShardOf(key flow.ShardKey, pool string) *Shard {
	s := p.Layout.Shard(key)
	if key.Pool == pool && s != nil && s.Slots > 0 {
		return s
	}
	if next := p.successor(key, pool); next != nil {
		return next
	}
	return s
}

// Fallback returns the shard that takes over the flows of a shard without usable endpoints, or nil. If the shard's pool
// was removed or serves another service now, the fallback is in the pool of the first route of the service.
func (p *Plan) Fallback(key flow.ShardKey, service string) *Shard {
	if pool := p.Layout.Index.PoolOf(key.Pool); pool != nil && pool.Service == service {
		return p.NextShard(key)
	}
	for i := range p.Layout.Index.Tables.Routes {
		if r := &p.Layout.Index.Tables.Routes[i]; r.Service == service {
			return p.successor(key, r.Pool)
		}
	}
	return nil
}

// successor returns the shard of a pool that takes over the flows of a key, or nil. If the pool is not the key's own,
// it prefers the shard with the same failure domain and group.
func (p *Plan) successor(key flow.ShardKey, pool string) *Shard {
	if key.Pool != pool {
		key.Pool = pool
		if s := p.Layout.Shard(key); s != nil && s.Slots > 0 {
			return s
		}
	}
	return p.NextShard(key)
}
