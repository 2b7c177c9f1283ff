package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// orderRecorder records the ended connections and the flows of the handover messages of a shard, in their order.
type orderRecorder struct {
	benchOutputs
	trace []string
}

func (r *orderRecorder) Disconnect(a netip.AddrPort) { r.trace = append(r.trace, a.String()) }

func (r *orderRecorder) SendHandover(to member.Host, h *flow.Handover) {
	for i := range h.Flows {
		r.trace = append(r.trace, fmt.Sprintf("%d %x", to.Incarnation, h.Flows[i].Ticket.Flow))
	}
}

// orderCases are sequences of events whose messages a shard sends in an order that is not given by the events.
var orderCases = map[string]func(s *dispatch.Shard, now time.Time){
	"connections to removed endpoints end": func(s *dispatch.Shard, now time.Time) {
		s.SetEndpoints(now, nil)
	},
	"flows that remain when three receivers are gone are handed over": func(s *dispatch.Shard, now time.Time) {
		for i := range 1000 {
			s.Open(now, benchOrigin, &packet.Packet{Kind: packet.KindOpen, Flow: benchFlow(i)}, true)
		}
		for to := member.Incarnation(2); to < 6; to++ {
			if to == 5 {
				s.AbandonReceivers(func(member.Incarnation) bool { return true })
			}
			s.StartHandover(now, member.Host{Incarnation: to}, benchKey)
		}
	},
}

// The same events must lead to the same messages in the same order: otherwise a run of the simulation can't be repeated
// with its seed.
func TestOrderOfMessagesRepeats(t *testing.T) {
	for name, run := range orderCases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var first []string
			for range 20 {
				o := &orderRecorder{}
				now := time.Unix(1_000_000, 0)
				s := dispatch.NewShard(benchKey, "reminders", 1, 7, &atomic.Uint64{}, dispatch.DefaultConfig(),
					rand.New(rand.NewPCG(1, 1)), dispatch.Outputs{Caller: o, Backend: o, Handover: o, Tickets: o, Recorder: o})
				var endpoints []table.Endpoint
				for i := range 8 {
					endpoints = append(endpoints, table.Endpoint{
						Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 9000), FailureDomain: "attiki-1",
						Slots: 1, Connections: 1000,
					})
				}
				s.SetEndpoints(now, endpoints)
				run(s, now)
				if first == nil {
					first = o.trace
				}
				is.True(len(first) > 0)
				is.Equal(o.trace, first)
			}
		})
	}
}
