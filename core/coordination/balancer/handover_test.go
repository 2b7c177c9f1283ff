package balancer_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cornellb/core/coordination/balancer"
	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// blockingClock is a clock whose next call waits if a pause is set.
type blockingClock struct{ next atomic.Pointer[pause] }

type pause struct{ reached, end chan struct{} }

func (c *blockingClock) Now() time.Time {
	if p := c.next.Swap(nil); p != nil {
		close(p.reached)
		<-p.end
	}
	return time.Unix(1_000_000, 0)
}

// newHandover returns a handover message of another member for a shard in benchTables.
func newHandover(number uint64) *flow.Handover {
	key := flow.ShardKey{Pool: "service-00000", FailureDomain: "domain-00"}
	return &flow.Handover{
		From: 2, To: benchHost(0).Incarnation, FromShard: 1, Number: number, Shard: key,
		Flows: []flow.Snapshot{{Ticket: flow.Ticket{
			Flow: packet.FlowID{1}, Service: "service-00000", Shard: key, Grant: flow.Grant{Owner: 2, Serial: number},
		}}},
	}
}

// A retransmission of a handover must not be refused while the first copy is accepted: the former owner would serve
// flows again that this process holds. Copies that are handled at the same time must all get the same result. The
// copies wait for the lock of the balancer, which a new view holds, and go on together.
func TestConcurrentCopiesOfHandoverAreAccepted(t *testing.T) {
	is := is.New(t)
	o, clock := &benchOutputs{}, &blockingClock{}
	b := balancer.New(benchHost(0), balancer.Config{ShardEndpoints: 32, Dispatch: dispatch.DefaultConfig()}, clock,
		balancer.Outputs{Caller: o, Backend: o, Handover: o, Peer: o, Tickets: o, Recorder: o})
	b.SetView(benchView(1, 10))
	b.SetTables(benchTables(100, 1))
	for number := uint64(1); number <= 20; number++ {
		h, held := newHandover(number), &pause{make(chan struct{}), make(chan struct{})}
		var results [4]error
		var group sync.WaitGroup
		clock.next.Store(held)
		group.Go(func() { b.SetView(benchView(number+1, 10)) })
		<-held.reached
		for i := range results {
			group.Go(func() { results[i] = b.HandleHandover(h) })
		}
		time.Sleep(5 * time.Millisecond) // until the copies wait
		close(held.end)
		group.Wait()
		is.Equal(results, [4]error{})
	}
}

// handoverRecorder counts the handover messages that a balancer sends.
type handoverRecorder struct {
	benchOutputs
	sent int
}

func (r *handoverRecorder) SendHandover(member.Host, *flow.Handover) { r.sent++ }

// Flows of a service must not go back to their sender at once because the local shard of another service with the same
// key is closed: the flows would circulate between the two balancers. The tables assign the pool to another service.
func TestHandoverTimesOfServicesAreSeparate(t *testing.T) {
	is := is.New(t)
	o, clock := &handoverRecorder{}, clockwork.NewFakeClockAt(time.Unix(1_000_000, 0))
	config := dispatch.DefaultConfig()
	config.FlowIdle = 400 * time.Millisecond
	b := balancer.New(benchHost(0), balancer.Config{ShardEndpoints: 32, Dispatch: config}, clock,
		balancer.Outputs{Caller: o, Backend: o, Handover: o, Peer: o, Tickets: o, Recorder: o})
	b.SetView(benchView(1, 2))
	key := flow.ShardKey{Pool: "pool", FailureDomain: benchDomain(1)}
	take := func(number uint64, service string) {
		b.SetTables(table.NewIndex(&table.Tables{Version: number, Pools: []table.Pool{{
			Name: key.Pool, Service: service, Endpoints: []table.Endpoint{
				{Address: benchAddress(10, 0), FailureDomain: key.FailureDomain, Slots: 3, Connections: 2000},
			},
		}}}))
		owner, _ := b.Plan().Owner(b.Plan().Layout.Shard(key))
		is.Equal(owner.Incarnation, benchHost(1).Incarnation) // the flows come from their owner in the local view
		h := newHandover(number)
		h.Shard, h.Flows[0].Ticket.Shard, h.Flows[0].Ticket.Service = key, key, service
		is.NoErr(b.HandleHandover(h))
	}
	take(1, "reminders")
	clock.Advance(300 * time.Millisecond)
	take(2, "cards")
	clock.Advance(100 * time.Millisecond)
	b.Tick() // the flow of reminders expires and its shard is closed
	is.Equal(b.Loads()[key].Flows, 1)
	b.SetView(benchView(2, 2))
	is.Equal(o.sent, 0)
}
