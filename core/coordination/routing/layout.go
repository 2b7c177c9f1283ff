package routing

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// DefaultShardEndpoints is the default maximum number of endpoints per pool shard. One owner serves all
// endpoints of a shard, so the number bounds the load that one shard puts on its owner.
const DefaultShardEndpoints = 32

// bucketsPerShard is the granularity with which new flows are divided among the shards of a pool: 1/256 of a mean
// share.
const bucketsPerShard = 256

// Shard is a group of endpoints of one pool in one failure domain.
type Shard struct {
	Key       flow.ShardKey
	Service   string
	Endpoints []table.Endpoint // sorted by address
	Slots     int              // sum over endpoints that are not leaving
	index     int              // in Layout.Shards
	hash      uint64           // of Key
}

// PoolLayout is the division of one pool into shards.
type PoolLayout struct {
	Pool    string
	Shards  []*Shard
	pool    *table.Pool
	buckets []uint16 // index into Shards for each bucket of flow ID hashes
}

// Layout is the division of all pools of one table version into shards. It is immutable once it is built.
type Layout struct {
	Index          *table.Index
	Shards         []*Shard
	shardEndpoints int
	pools          map[string]*PoolLayout
	byKey          map[flow.ShardKey]*Shard
}

// NewLayout divides the pools into shards of at most shardEndpoints endpoints. A shard can exceed that number, since
// endpoints are assigned to shards by a hash, which does not spread them exactly evenly.
func NewLayout(index *table.Index, shardEndpoints int) *Layout {
	return (&Layout{shardEndpoints: shardEndpoints}).Next(index)
}

// Next returns the layout of the next table version. Pools that did not change keep their division: at the size
// expected after two years, a change affects one pool of 13,000, and most of the work is to compute the buckets.
func (l *Layout) Next(index *table.Index) *Layout {
	next := &Layout{
		Index:          index,
		Shards:         make([]*Shard, 0, len(l.Shards)),
		shardEndpoints: l.shardEndpoints,
		pools:          make(map[string]*PoolLayout, len(index.Tables.Pools)),
		byKey:          make(map[flow.ShardKey]*Shard, len(l.byKey)),
	}
	for i := range index.Tables.Pools {
		p := &index.Tables.Pools[i]
		if former := l.pools[p.Name]; former != nil && former.isDivisionOf(p) {
			next.copyPool(former, p)
		} else {
			next.addPool(p)
		}
	}
	return next
}

func (p *PoolLayout) isDivisionOf(pool *table.Pool) bool {
	return p.pool.Service == pool.Service && slices.Equal(p.pool.Endpoints, pool.Endpoints)
}

// copyPool takes over the division of an unchanged pool. The shards are copied, since their indexes differ between
// layouts.
func (l *Layout) copyPool(former *PoolLayout, p *table.Pool) {
	pl := &PoolLayout{Pool: p.Name, Shards: make([]*Shard, len(former.Shards)), pool: p, buckets: former.buckets}
	shards := make([]Shard, len(former.Shards))
	for i, s := range former.Shards {
		shards[i] = *s
		pl.Shards[i] = &shards[i]
		l.byKey[s.Key] = &shards[i]
		l.appendShard(&shards[i])
	}
	l.pools[p.Name] = pl
}

func (l *Layout) appendShard(s *Shard) {
	s.index = len(l.Shards)
	l.Shards = append(l.Shards, s)
}

// Pool returns the layout of a pool, or nil.
func (l *Layout) Pool(name string) *PoolLayout { return l.pools[name] }

// Shard returns the shard of a key, or nil.
func (l *Layout) Shard(key flow.ShardKey) *Shard { return l.byKey[key] }

func (l *Layout) addPool(p *table.Pool) {
	perDomain := map[string]int{}
	for _, e := range p.Endpoints {
		perDomain[e.FailureDomain]++
	}
	pl := &PoolLayout{Pool: p.Name, pool: p}
	for _, e := range p.Endpoints {
		key := flow.ShardKey{
			Pool:          p.Name,
			FailureDomain: e.FailureDomain,
			Group:         groupOf(e.Address, groupCount(perDomain[e.FailureDomain], l.shardEndpoints)),
		}
		s := l.byKey[key]
		if s == nil {
			s = &Shard{Key: key, Service: p.Service, hash: hashKey(key)}
			l.byKey[key] = s
			pl.Shards = append(pl.Shards, s)
		}
		s.Endpoints = append(s.Endpoints, e)
		if !e.Leaving {
			s.Slots += e.Slots
		}
	}
	slices.SortFunc(pl.Shards, func(a, b *Shard) int { return a.Key.Compare(b.Key) })
	for _, s := range pl.Shards {
		slices.SortFunc(s.Endpoints, func(a, b table.Endpoint) int { return a.Address.Compare(b.Address) })
		l.appendShard(s)
	}
	pl.buckets = fillBuckets(pl.Shards)
	l.pools[p.Name] = pl
}

// groupCount returns the number of groups of a pool in one failure domain. It is a power of two, so that an added
// endpoint moves other endpoints between groups only when the number doubles.
func groupCount(endpoints, shardEndpoints int) uint64 {
	n := uint64(1)
	for int(n)*shardEndpoints < endpoints {
		n *= 2
	}
	return n
}

func groupOf(a netip.AddrPort, groups uint64) uint32 {
	if groups == 1 {
		return 0
	}
	text, _ := a.MarshalText()
	return uint32(xxhash.Sum64(text) % groups)
}

func hashKey(key flow.ShardKey) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key.Pool)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key.FailureDomain)
	var group [4]byte
	binary.BigEndian.PutUint32(group[:], key.Group)
	_, _ = d.Write(group[:])
	return d.Sum64()
}

// fillBuckets assigns each bucket by rendezvous hashing weighted by slots, among the shards that are below their quota.
// Without the quotas the shares of three shards are off by about 4 %. A change of one shard's weight moves few buckets
// between the other shards. A moved bucket affects only opens that are retransmitted during the change.
func fillBuckets(shards []*Shard) []uint16 {
	if len(shards) == 0 {
		return nil
	}
	count := bucketsPerShard
	for count < bucketsPerShard*len(shards) {
		count *= 2
	}
	buckets := make([]uint16, count)
	left := quotas(shards, count)
	for b := range buckets {
		best, bestScore := 0, math.Inf(-1)
		for i, s := range shards {
			if left[i] == 0 {
				continue
			}
			if score := weightedScore(mix(s.hash, uint64(b)), s.Slots); score > bestScore {
				best, bestScore = i, score
			}
		}
		buckets[b] = uint16(best)
		left[best]--
	}
	return buckets
}

// quotas divides the buckets among the shards in proportion to their slots. Rounding the running sum keeps each quota
// within one bucket of its share and the total exact. If no shard has slots, the first shard gets all buckets.
func quotas(shards []*Shard, count int) []int {
	total := 0
	for _, s := range shards {
		total += s.Slots
	}
	quota := make([]int, len(shards))
	if total == 0 {
		quota[0] = count
		return quota
	}
	sum, given := 0, 0
	for i, s := range shards {
		sum += s.Slots
		upTo := int(int64(count) * int64(sum) / int64(total))
		quota[i] = upTo - given
		given = upTo
	}
	return quota
}

// weightedScore returns the score of weighted rendezvous hashing: shard i has the highest score with probability
// weight(i)/sum of weights.
func weightedScore(hash uint64, weight int) float64 {
	if weight <= 0 {
		return math.Inf(-1)
	}
	unit := (float64(hash>>11) + 0.5) / (1 << 53)
	return float64(weight) / -math.Log(unit)
}

// Choose returns the shard for a new flow, or nil. spill is the number of shards that did not take the flow so far;
// it selects the following shards of the pool in turn. The cost does not depend on the number of shards.
func (p *PoolLayout) Choose(id packet.FlowID, spill int) *Shard {
	if len(p.Shards) == 0 || spill >= len(p.Shards) {
		return nil
	}
	h := xxhash.Sum64(id[:])
	first := int(p.buckets[h%uint64(len(p.buckets))])
	return p.Shards[(first+spill)%len(p.Shards)]
}

// NextShard returns the first shard with slots after a key, in the cyclic order of keys, or nil. It never returns the
// shard of the key itself.
func (p *PoolLayout) NextShard(key flow.ShardKey) *Shard {
	start := 0
	for start < len(p.Shards) && p.Shards[start].Key.Compare(key) <= 0 {
		start++
	}
	for i := range p.Shards {
		s := p.Shards[(start+i)%len(p.Shards)]
		if s.Slots > 0 && s.Key != key {
			return s
		}
	}
	return nil
}

// mix combines two hashes with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	x := a ^ (b * 0x9e3779b97f4a7c15)
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
