package routing

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/member"
	"cornellb/core/state/table"
)

// A layout and owners that are derived from the previous version must equal those computed from scratch. Otherwise
// balancers that started at different versions would disagree permanently.
func TestNextEqualsNew(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	tables := &table.Tables{Version: 1}
	view := newTestView(12)
	layout := NewLayout(table.NewIndex(tables), 4)
	plan := NewPlan(layout, view)
	for range 300 {
		tables = changeTables(random, tables)
		x := table.NewIndex(tables)
		for _, s := range layout.Shards {
			plan.Owner(s) // some owners are computed before the next version arrives, others are not
			if random.IntN(3) == 0 {
				break
			}
		}
		layout = layout.Next(x)
		plan = plan.WithLayout(layout)
		fresh := NewLayout(x, 4)
		freshPlan := NewPlan(fresh, view)
		is.Equal(len(layout.Shards), len(fresh.Shards))
		for _, s := range fresh.Shards {
			kept := layout.Shard(s.Key)
			is.Equal(*kept, *s)
			is.Equal(layout.Shards[kept.index], kept)
			is.Equal(owner(plan, kept), owner(freshPlan, s))
		}
		for name, p := range fresh.pools {
			is.Equal(layout.Pool(name).buckets, p.buckets)
		}
	}
}

func owner(p *Plan, s *Shard) string {
	h, _ := p.Owner(s)
	return h.ID
}

func newTestView(members int) *member.View {
	var hosts []member.Host
	for i := range members {
		hosts = append(hosts, member.Host{
			ID: fmt.Sprintf("host-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%3), Incarnation: member.Incarnation(i + 1),
		})
	}
	return member.NewView(1, hosts[0], hosts)
}

// changeTables adds, changes or removes one of up to 20 pools.
func changeTables(random *rand.Rand, before *table.Tables) *table.Tables {
	t := &table.Tables{Version: before.Version + 1, Pools: slices.Clone(before.Pools)}
	name := fmt.Sprintf("pool-%d", random.IntN(20))
	i := slices.IndexFunc(t.Pools, func(p table.Pool) bool { return p.Name == name })
	switch {
	case i < 0:
		t.Pools = append(t.Pools, table.Pool{Name: name, Service: name})
		i = len(t.Pools) - 1
	case random.IntN(5) == 0:
		t.Pools = slices.Delete(t.Pools, i, i+1)
		return t
	}
	p := &t.Pools[i]
	p.Endpoints = slices.Clone(p.Endpoints)
	if len(p.Endpoints) > 0 && random.IntN(3) == 0 {
		p.Endpoints[0].Leaving = !p.Endpoints[0].Leaving
		return t
	}
	n := random.IntN(1 << 24)
	address := netip.AddrFrom4([4]byte{10, byte(n >> 16), byte(n >> 8), byte(n)})
	p.Endpoints = append(p.Endpoints, table.Endpoint{
		Address: netip.AddrPortFrom(address, 80), FailureDomain: fmt.Sprintf("domain-%d", random.IntN(4)),
		Slots: 1 + random.IntN(5), Connections: 10,
	})
	return t
}
