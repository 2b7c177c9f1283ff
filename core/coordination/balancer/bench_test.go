package balancer_test

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"cornellb/core/coordination/balancer"
	"cornellb/core/coordination/dispatch"
	"cornellb/core/coordination/routing"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// benchOutputs implements all interfaces that a balancer uses. It discards the output and counts forwards. Its encoded
// tickets hold the flow ID in 16 bytes and then the incarnation of the owner.
type benchOutputs struct{ forwards int }

func (*benchOutputs) SendCaller(netip.AddrPort, packet.CallerAddress, *packet.Packet) {}
func (*benchOutputs) Send(netip.AddrPort, *packet.Backend) error                      { return nil }
func (*benchOutputs) Connect(netip.AddrPort, string)                                  {}
func (*benchOutputs) Disconnect(netip.AddrPort)                                       {}
func (*benchOutputs) SendHandover(member.Host, *flow.Handover)                        {}
func (o *benchOutputs) SendForward(member.Host, *packet.Forward)                      { o.forwards++ }
func (*benchOutputs) Count(metric.Counter, string, int64)                             {}
func (*benchOutputs) Observe(metric.Histogram, string, packet.Class, time.Duration)   {}
func (*benchOutputs) Now() time.Time                                                  { return time.Unix(1_000_000, 0) }
func (*benchOutputs) Seal(*flow.Ticket) []byte                                        { return nil }

// Open implements balancer.TicketCodec without cryptography. The benchmarks of io/protocol/wire measure the
// cryptography.
func (*benchOutputs) Open(encoded []byte, t *flow.Ticket) error {
	copy(t.Flow[:], encoded)
	t.Service = "service-00000"
	t.Shard = flow.ShardKey{Pool: "service-00000", FailureDomain: "domain-00"}
	t.Grant.Owner = member.Incarnation(binary.BigEndian.Uint64(encoded[16:]))
	return nil
}

func benchAddress(net, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(net), byte(i >> 16), byte(i >> 8), byte(i)}), 9000)
}

func benchDomain(i int) string { return fmt.Sprintf("domain-%02d", i%17) }

// benchTables returns pools of 10 endpoints that are spread over 17 failure domains.
func benchTables(endpoints int, version uint64) *table.Index {
	t := &table.Tables{Version: version}
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
	return table.NewIndex(t)
}

func benchHost(i int) member.Host {
	return member.Host{
		ID: fmt.Sprintf("host-%05d", i), FailureDomain: benchDomain(i), Incarnation: member.Incarnation(i + 1),
		Address: benchAddress(12, i),
	}
}

func benchView(version uint64, members int) *member.View {
	hosts := make([]member.Host, members)
	for i := range hosts {
		hosts[i] = benchHost(i)
	}
	return member.NewView(version, benchHost(0), hosts)
}

func benchBalancer(endpoints, members int) (*balancer.Balancer, *benchOutputs) {
	o := &benchOutputs{}
	b := balancer.New(benchHost(0), balancer.Config{
		ShardEndpoints: routing.DefaultShardEndpoints, Dispatch: dispatch.DefaultConfig(), Seed: 1,
	}, o, balancer.Outputs{Caller: o, Backend: o, Handover: o, Peer: o, Tickets: o, Recorder: o})
	b.SetView(benchView(1, members))
	b.SetTables(benchTables(endpoints, 1))
	return b, o
}

// BenchmarkRoute measures the routing decision for a packet with a ticket, without the codecs.
func BenchmarkRoute(b *testing.B) {
	for name, sizes := range map[string][][2]int{
		"endpoints": {{1_000, 1_000}, {10_000, 1_000}, {130_000, 1_000}},
		"balancers": {{1_000, 8}, {1_000, 1_000}, {1_000, 12_000}},
	} {
		for _, s := range sizes {
			endpoints, members := s[0], s[1]
			size := endpoints
			if name == "balancers" {
				size = members
			}
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) { benchRoute(b, endpoints, members) })
		}
	}
}

func benchRoute(b *testing.B, endpoints, members int) {
	x, o := benchBalancer(endpoints, members)
	env := &packet.Envelope{Caller: benchAddress(13, 1), Service: benchAddress(11, 0)}
	p := &packet.Packet{Kind: packet.KindRequest, Ticket: make([]byte, 24)}
	b.ReportAllocs()
	i := uint64(0)
	for b.Loop() {
		i++
		binary.BigEndian.PutUint64(p.Flow[:], i)
		copy(p.Ticket, p.Flow[:])
		binary.BigEndian.PutUint64(p.Ticket[16:], 2+i%uint64(members-1))
		x.HandleCaller(env, p)
	}
	if uint64(o.forwards) != i {
		b.Fatalf("forwarded %d packets, want %d", o.forwards, i)
	}
}

// BenchmarkArrange measures the cost of a new view or a new table version for the decision core: it builds the layout
// and the plan, finds the owners of all pool shards and reconciles the local shards.
func BenchmarkArrange(b *testing.B) {
	for _, s := range [][2]int{{1_000, 100}, {10_000, 1_000}, {130_000, 12_000}} {
		endpoints, members := s[0], s[1]
		x, _ := benchBalancer(endpoints, members)
		version := uint64(1)
		b.Run(fmt.Sprintf("view/%d", members), func(b *testing.B) {
			hosts := benchView(0, members).Hosts
			self := benchHost(0)
			for b.Loop() {
				b.StopTimer() // each view differs from the one before in one member, as after a failure
				all := append([]member.Host{}, hosts...)
				if version++; version%2 == 0 {
					all[len(all)-1].State = member.StateDead
				}
				v := member.NewView(version, self, all)
				b.StartTimer()
				before := x.Plan()
				x.SetView(v)
				if x.Plan() == before {
					b.Fatal("SetView did not install the new view")
				}
			}
		})
		b.Run(fmt.Sprintf("tables/%d", endpoints), func(b *testing.B) {
			index := benchTables(endpoints, 0)
			for b.Loop() {
				next, tables := *index, *index.Tables // the version in force must not change
				tables.Version = x.Version() + 1
				tables.Pools = slices.Clone(tables.Pools) // each version differs from the one before in one pool
				changed := &tables.Pools[len(tables.Pools)/2]
				changed.Endpoints = slices.Clone(changed.Endpoints)
				changed.Endpoints[0].Slots = 1 + int(tables.Version%3)
				next.Tables = &tables
				if !x.SetTables(&next) {
					b.Fatal("SetTables did not activate the new version")
				}
			}
		})
	}
}

// Forwarding a packet must not allocate: garbage collection would otherwise add to the cost of each forwarded packet.
func TestForwardDoesNotAllocate(t *testing.T) {
	x, o := benchBalancer(1_000, 100)
	env := &packet.Envelope{Caller: benchAddress(13, 1), Service: benchAddress(11, 0)}
	p := &packet.Packet{Kind: packet.KindRequest, Ticket: make([]byte, 24)}
	binary.BigEndian.PutUint64(p.Ticket[16:], 2) // the owner is another member
	allocations := testing.AllocsPerRun(1000, func() { x.HandleCaller(env, p) })
	if allocations > 0 || o.forwards < 1000 {
		t.Errorf("%v allocations per packet, want 0; %d packets forwarded, want at least 1000", allocations, o.forwards)
	}
}
