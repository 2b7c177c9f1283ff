package routing_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"cornellb/core/coordination/routing"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

const benchDomains = 17

func benchDomain(i int) string { return fmt.Sprintf("domain-%02d", i%benchDomains) }

// benchTables returns pools of 10 endpoints that are spread over the failure domains.
func benchTables(endpoints int) *table.Tables {
	t := &table.Tables{Version: 1}
	for i := 0; i < endpoints; i += 10 {
		name := fmt.Sprintf("service-%05d", i/10)
		p := table.Pool{Name: name, Service: name}
		for k := i; k < i+10; k++ {
			p.Endpoints = append(p.Endpoints, table.Endpoint{
				Address: benchAddress(10, k), FailureDomain: benchDomain(k / 3), Slots: 3, Connections: 2000,
			})
		}
		t.Pools = append(t.Pools, p)
		t.Routes = append(t.Routes, table.Route{Name: name, Address: benchAddress(11, i), Service: name, Pool: name})
	}
	return t
}

func benchAddress(net, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(net), byte(i >> 16), byte(i >> 8), byte(i)}), 9000)
}

func benchView(members int) *member.View {
	hosts := make([]member.Host, members)
	for i := range hosts {
		hosts[i] = member.Host{
			ID: fmt.Sprintf("host-%05d", i), FailureDomain: benchDomain(i), Incarnation: member.Incarnation(i + 1),
			Address: benchAddress(12, i),
		}
	}
	return member.NewView(1, hosts[0], hosts)
}

func layoutOf(endpoints int) *routing.Layout {
	return routing.NewLayout(table.NewIndex(benchTables(endpoints)), routing.DefaultShardEndpoints)
}

// BenchmarkLayout measures the time to divide a table version into pool shards, the heap size of the layout and the
// number of pool shards.
func BenchmarkLayout(b *testing.B) {
	for _, endpoints := range []int{1_000, 10_000, 130_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			x := table.NewIndex(benchTables(endpoints))
			before := heapBytes()
			kept := routing.NewLayout(x, routing.DefaultShardEndpoints)
			size := heapBytes() - before
			for b.Loop() {
				routing.NewLayout(x, routing.DefaultShardEndpoints)
			}
			b.ReportMetric(size, "heap-bytes")
			b.ReportMetric(float64(len(kept.Shards)), "shards")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkOwnerLookup measures the lookup of a pool shard's owner: the first call with a plan, which hashes all
// members of the failure domain, and later calls, which read the stored result.
func BenchmarkOwnerLookup(b *testing.B) {
	l := layoutOf(10_000)
	for _, members := range []int{8, 1_000, 12_000} {
		v := benchView(members)
		b.Run(fmt.Sprintf("first/%d", members), func(b *testing.B) {
			p, i := routing.NewPlan(l, v), 0
			for b.Loop() {
				if i == len(l.Shards) {
					b.StopTimer()
					p, i = routing.NewPlan(l, v), 0
					b.StartTimer()
				}
				p.Owner(l.Shards[i])
				i++
			}
		})
		b.Run(fmt.Sprintf("later/%d", members), func(b *testing.B) {
			p := routing.NewPlan(l, v)
			for b.Loop() {
				p.Owner(l.Shards[0])
			}
		})
	}
}

// BenchmarkChoose measures the choice of the pool shard and its owner for a new flow.
func BenchmarkChoose(b *testing.B) {
	for name, sizes := range map[string][2][]int{
		"endpoints": {{1_000, 10_000, 130_000}, {1_000, 1_000, 1_000}},
		"balancers": {{10_000, 10_000, 10_000}, {8, 1_000, 12_000}},
	} {
		for i := range sizes[0] {
			endpoints, members := sizes[0][i], sizes[1][i]
			size := endpoints
			if name == "balancers" {
				size = members
			}
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchChoose(b, endpoints, members) })
		}
	}
}

func benchChoose(b *testing.B, endpoints, members int) {
	p := routing.NewPlan(layoutOf(endpoints), benchView(members))
	for _, s := range p.Layout.Shards {
		p.Owner(s)
	}
	var id packet.FlowID
	i := uint64(0)
	addresses := p.Layout.Index.Tables.Routes
	for b.Loop() {
		i++
		binary.BigEndian.PutUint64(id[:], i)
		route := p.Layout.Index.RouteOf(addresses[int(i*7919)%len(addresses)].Address)
		if s := p.Choose(route.Pool, id, 0); s == nil {
			b.Fatal("no shard")
		} else if _, ok := p.Owner(s); !ok {
			b.Fatal("no owner")
		}
	}
}
