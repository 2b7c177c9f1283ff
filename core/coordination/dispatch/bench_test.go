package dispatch_test

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// benchOutputs records the attempts that are sent, counts the answers to callers and keeps the last ticket.
type benchOutputs struct {
	ticket   flow.Ticket
	attempts []uint64
	answered int
}

func (o *benchOutputs) SendCaller(_ netip.AddrPort, _ packet.CallerAddress, p *packet.Packet) {
	if p.Kind == packet.KindAnswer {
		o.answered++
	}
}

func (o *benchOutputs) Send(_ netip.AddrPort, m *packet.Backend) error {
	if m.Kind == packet.BackendRun {
		o.attempts = append(o.attempts, m.Attempt)
	}
	return nil
}
func (*benchOutputs) Connect(netip.AddrPort, string)                                {}
func (*benchOutputs) Disconnect(netip.AddrPort)                                     {}
func (*benchOutputs) SendHandover(member.Host, *flow.Handover)                      {}
func (*benchOutputs) Count(metric.Counter, string, int64)                           {}
func (*benchOutputs) Observe(metric.Histogram, string, packet.Class, time.Duration) {}
func (o *benchOutputs) Seal(t *flow.Ticket) []byte                                  { o.ticket = *t; return nil }
func (o *benchOutputs) outputs() dispatch.Outputs {
	return dispatch.Outputs{Caller: o, Backend: o, Handover: o, Tickets: o, Recorder: o}
}

var (
	benchKey     = flow.ShardKey{Pool: "reminders", FailureDomain: "attiki-1"}
	benchBackend = netip.MustParseAddrPort("10.1.0.1:9000")
	benchOrigin  = dispatch.Origin{
		Caller: netip.MustParseAddrPort("10.9.0.1:40000"), Service: netip.MustParseAddrPort("192.0.2.1:7000"),
	}
)

func benchFlow(i int) (id packet.FlowID) {
	binary.BigEndian.PutUint64(id[:], uint64(i))
	return id
}

// benchShard returns a shard with one endpoint that has room for all flows.
func benchShard(o *benchOutputs, now time.Time, flows int) *dispatch.Shard {
	c := dispatch.DefaultConfig()
	c.MaxFlows = flows + 1
	serial := &atomic.Uint64{}
	s := dispatch.NewShard(benchKey, "reminders", 1, 7, serial, c, rand.New(rand.NewPCG(1, 1)), o.outputs())
	s.SetEndpoints(now, []table.Endpoint{
		{Address: benchBackend, FailureDomain: "attiki-1", Slots: 1000, Connections: flows + 1},
	})
	s.BackendUp(now, benchBackend, "reminders", 1, 0, false)
	return s
}

// serve sends requests of one flow, answers them at once and confirms the answers.
func serve(o *benchOutputs, s *dispatch.Shard, now time.Time, id packet.FlowID, requests int) {
	t := o.ticket
	for r := 1; r <= requests; r++ {
		s.HandleCaller(now, benchOrigin, &t, &packet.Packet{
			Kind: packet.KindRequest, Flow: id, Request: uint64(r), Timeout: time.Second, Payload: []byte("x"),
		})
		for _, a := range o.attempts {
			s.HandleBackend(now, benchBackend, &packet.Backend{
				Kind: packet.BackendAnswer, Attempt: a, Service: "reminders", Payload: []byte("y"),
			})
		}
		o.attempts = o.attempts[:0]
		s.HandleCaller(now, benchOrigin, &t, &packet.Packet{Kind: packet.KindConfirm, Flow: id, Request: uint64(r)})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// fill opens flows, runs a number of requests on each and returns the heap bytes per flow.
func fill(b *testing.B, o *benchOutputs, s *dispatch.Shard, now time.Time, flows, requests int) float64 {
	before := heapBytes()
	for i := range flows {
		id := benchFlow(i)
		open := &packet.Packet{Kind: packet.KindOpen, Flow: id, Customer: "customer-0042", Class: packet.ClassNormal}
		if !s.Open(now, benchOrigin, open, false) {
			b.Fatal("the flow was refused")
		}
		serve(o, s, now, id, requests)
	}
	if want := flows * requests; o.answered != want || s.Load().Flows != flows {
		b.Fatalf("got %d answers, want %d; the shard holds %d flows", o.answered, want, s.Load().Flows)
	}
	return (heapBytes() - before) / float64(flows)
}

// BenchmarkIdleFlows measures the heap bytes that one idle flow takes at its owner: without requests, after one
// request, and with a full window of records. It runs once, independent of b.N.
func BenchmarkIdleFlows(b *testing.B) {
	for name, c := range map[string]struct {
		requests int
		flows    []int
	}{
		"opened":      {0, []int{10_000, 50_000, 200_000}},
		"one_request": {1, []int{10_000, 50_000, 200_000}},
		"full_window": {flow.WindowSize, []int{5_000, 10_000, 20_000}}, // 200,000 would take 1.8 GB
	} {
		for _, flows := range c.flows {
			b.Run(fmt.Sprintf("%s/%d", name, flows), func(b *testing.B) {
				o := &benchOutputs{}
				now := time.Unix(1_000_000, 0)
				s := benchShard(o, now, flows)
				b.ReportMetric(fill(b, o, s, now, flows, c.requests), "bytes/flow")
				b.ReportMetric(0, "ns/op")
				runtime.KeepAlive(s)
			})
		}
	}
}

// BenchmarkOwner measures the owner's work for a packet of one of many flows, and for a tick.
func BenchmarkOwner(b *testing.B) {
	for _, flows := range []int{10_000, 50_000, 200_000} {
		o := &benchOutputs{}
		now := time.Unix(1_000_000, 0)
		s := benchShard(o, now, flows)
		fill(b, o, s, now, flows, 0)
		t := o.ticket
		b.Run(fmt.Sprintf("packet/%d", flows), func(b *testing.B) {
			b.ReportAllocs()
			random := rand.New(rand.NewPCG(1, 2))
			p := &packet.Packet{Kind: packet.KindPing}
			for b.Loop() {
				p.Flow = benchFlow(random.IntN(flows))
				s.HandleCaller(now, benchOrigin, &t, p)
			}
		})
		b.Run(fmt.Sprintf("tick/%d", flows), func(b *testing.B) {
			for b.Loop() {
				s.Tick(now)
			}
		})
	}
}
