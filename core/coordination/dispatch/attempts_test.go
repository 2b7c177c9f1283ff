package dispatch_test

import (
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// shardRecorder records the packets to callers, the frames of attempts and the counted violations of a shard.
type shardRecorder struct {
	benchOutputs
	replies    []packet.Packet
	violations []string
}

func (r *shardRecorder) SendCaller(_ netip.AddrPort, _ packet.CallerAddress, p *packet.Packet) {
	r.replies = append(r.replies, *p)
}

func (r *shardRecorder) Count(c metric.Counter, label string, _ int64) {
	if c == metric.Violation {
		r.violations = append(r.violations, label)
	}
}

// outcomes returns the outcomes of a request that were sent to the caller.
func (r *shardRecorder) outcomes(request uint64) (kinds []packet.Kind) {
	for _, p := range r.replies {
		if p.Request == request {
			kinds = append(kinds, p.Kind)
		}
	}
	return kinds
}

// A request that must not be sent a second time must end as unknown: its caller would otherwise wait until its timeout,
// and its flow could neither be handed over nor expire.
func TestPreventedSecondSendIsSettled(t *testing.T) {
	is := is.New(t)
	o := &shardRecorder{}
	now := time.Unix(1_000_000, 0)
	s := dispatch.NewShard(benchKey, "reminders", 1, 7, &atomic.Uint64{}, dispatch.DefaultConfig(),
		rand.New(rand.NewPCG(1, 1)), dispatch.Outputs{Caller: o, Backend: o, Handover: o, Tickets: o, Recorder: o})
	s.SetEndpoints(now, []table.Endpoint{
		{Address: benchBackend, FailureDomain: "attiki-1", Slots: 1, Connections: 10},
	})
	s.BackendUp(now, benchBackend, "reminders", 1, 0, false)
	id := benchFlow(1)
	s.Open(now, benchOrigin, &packet.Packet{Kind: packet.KindOpen, Flow: id, Customer: "customer-0042"}, true)
	ticket := o.ticket
	send := func(request uint64) {
		s.HandleCaller(now, benchOrigin, &ticket, &packet.Packet{
			Kind: packet.KindRequest, Flow: id, Request: request, Timeout: time.Second, Payload: []byte("x"),
		})
	}
	answer := func(attempt uint64) {
		s.HandleBackend(now, benchBackend, &packet.Backend{Kind: packet.BackendAnswer, Attempt: attempt, Service: "reminders"})
	}
	send(1)
	send(2) // waits for the only slot
	is.Equal(len(o.attempts), 1)
	s.MarkMayHaveRun(id, 2)
	answer(o.attempts[0])
	is.Equal(len(o.attempts), 1) // request 2 was not sent
	is.Equal(o.violations, []string{"second_send"})
	is.Equal(o.outcomes(2), []packet.Kind{packet.KindUnknown})

	send(3) // the slot is free
	is.Equal(len(o.attempts), 2)
	answer(o.attempts[1])
	is.Equal(o.outcomes(3), []packet.Kind{packet.KindAnswer})
	is.Equal(s.Load(), dispatch.Load{Flows: 1})
	s.HandleCaller(now, benchOrigin, &ticket, &packet.Packet{Kind: packet.KindClose, Flow: id})
	is.True(s.IsIdle()) // all requests of the flow are settled, so that it can end
}
