// Package routing decides which pool shard a flow belongs to and which balancer owns a pool shard.
//
// # Usage
//
// A Layout divides the pools of one table version into shards. A Plan joins a Layout with one membership view and
// answers Owner for each shard by rendezvous hashing. Both are immutable to their readers and need no lock; a balancer
// swaps in a new Plan when its tables or its view change. Plans of different balancers may differ at any time.
package routing

import (
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// Plan answers where flows go, for one layout and one view.
type Plan struct {
	Layout   *Layout
	View     *member.View
	domains  map[string][]candidate
	everyone []candidate
	owners   []atomic.Int32 // per shard: index of the owner in View.Hosts plus 1, or 0 if not computed yet
}

type candidate struct {
	host int // index in View.Hosts
	hash uint64
}

// noOwner marks a shard for which no member can be the owner.
const noOwner = -1

// NewPlan joins a layout and a view.
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
		p.everyone = append(p.everyone, c)
	}
	return p
}

// WithLayout joins the same view with another layout. Owners that are known already are kept.
func (p *Plan) WithLayout(l *Layout) *Plan {
	next := &Plan{
		Layout: l, View: p.View, domains: p.domains, everyone: p.everyone, owners: make([]atomic.Int32, len(l.Shards)),
	}
	for _, s := range l.Shards {
		if former := p.Layout.byKey[s.Key]; former != nil {
			next.owners[s.number].Store(p.owners[former.number].Load())
		}
	}
	return next
}

// Owner returns the member that owns a shard in this plan. The first call for a shard costs one hash for each member of
// its failure domain; later calls are a lookup.
func (p *Plan) Owner(s *Shard) (member.Host, bool) {
	i := p.owners[s.number].Load()
	if i == 0 {
		i = p.computeOwner(s)
		p.owners[s.number].Store(i)
	}
	if i == noOwner {
		return member.Host{}, false
	}
	return p.View.Hosts[i-1], true
}

func (p *Plan) computeOwner(s *Shard) int32 {
	candidates := p.domains[s.Key.FailureDomain]
	if len(candidates) == 0 {
		candidates = p.everyone
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

// Next returns the shard of a key's pool that takes the flows of that key when its shard has no endpoint for them, or
// nil.
func (p *Plan) Next(key flow.ShardKey) *Shard {
	pl := p.Layout.Pool(key.Pool)
	if pl == nil {
		return nil
	}
	return pl.Next(key)
}

// ShardOf returns the shard that a ticketed flow belongs to now: the ticket's own shard while it has slots, else its
// successor in the pool of the flow's route.
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

// Fallback returns the shard that takes the flows of a shard without endpoints, or nil. If the shard's pool is gone or
// serves another service now, it is in the pool that the service's route names.
func (p *Plan) Fallback(key flow.ShardKey, service string) *Shard {
	if pool := p.Layout.Index.PoolOf(key.Pool); pool != nil && pool.Service == service {
		return p.Next(key)
	}
	for i := range p.Layout.Index.Tables.Routes {
		if r := &p.Layout.Index.Tables.Routes[i]; r.Service == service {
			return p.successor(key, r.Pool)
		}
	}
	return nil
}

// successor prefers the shard of the same failure domain if the pool is another one.
func (p *Plan) successor(key flow.ShardKey, pool string) *Shard {
	if key.Pool != pool {
		key.Pool = pool
		if s := p.Layout.Shard(key); s != nil && s.Slots > 0 {
			return s
		}
	}
	return p.Next(key)
}
