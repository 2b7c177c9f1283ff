package balancer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// scriptedCaller is a caller whose packets the test builds itself.
type scriptedCaller struct {
	*caller
	replies []*packet.Packet
}

func (sim *simulation) addScriptedCaller(service netip.AddrPort) *scriptedCaller {
	c := &caller{
		sim: sim, service: service, address: netip.AddrPortFrom(netip.MustParseAddr("10.9.0.2"), uint16(len(sim.callers)+1)),
		opened: true, done: true,
	}
	c.flow[0] = byte(len(sim.callers) + 1)
	s := &scriptedCaller{caller: c}
	c.onPacket = func(p *packet.Packet) {
		s.replies = append(s.replies, p)
		if len(p.Ticket) > 0 {
			s.ticket = p.Ticket
		}
	}
	sim.callers[c.address] = c
	return s
}

// newScriptedFleet starts a fleet and a scripted caller with an open flow.
func newScriptedFleet(is *is.I, seed uint64) (*fleet, *scriptedCaller) {
	f := newRandomFleet(seed)
	s := f.addScriptedCaller(serviceAddress)
	s.open(is)
	return f, s
}

func (s *scriptedCaller) open(is *is.I) {
	s.send(packet.Packet{Kind: packet.KindOpen, Customer: "customer-1", Timeout: time.Second})
	s.sim.run(100 * time.Millisecond)
	is.True(len(s.ticket) > 0) // the flow is open
}

// sendTo delivers a packet to one balancer directly, without the fabric's choice of a balancer and its faults.
func (s *scriptedCaller) sendTo(n *node, service netip.AddrPort, p packet.Packet) {
	p.Flow = s.flow
	n.deliver(func() {
		n.b.HandleCaller(&packet.Envelope{Caller: s.address, Service: service, Packet: encode(&p)}, &p)
	})
}

func (s *scriptedCaller) newRequest(request uint64, timeout time.Duration) packet.Packet {
	return packet.Packet{
		Kind: packet.KindRequest, Ticket: s.ticket, Request: request, Timeout: timeout,
		Payload: []byte(fmt.Sprintf("edit-%d", request)),
	}
}

func (s *scriptedCaller) outcomes(request uint64) map[packet.Kind]bool {
	kinds := map[packet.Kind]bool{}
	for _, p := range s.replies {
		if p.Request == request {
			kinds[p.Kind] = true
		}
	}
	return kinds
}

func (f *fleet) ownerOf(ticket []byte) *node {
	var t flow.Ticket
	if err := f.codec.Open(ticket, &t); err != nil {
		panic(err)
	}
	for _, n := range f.nodes {
		if n.host.Incarnation == t.Grant.Owner {
			return n
		}
	}
	return nil
}

// A non-idempotent request must run once, although copies of it reach every balancer at the same time.
func TestCopiesThroughEveryBalancerRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 11)
	for r := uint64(1); r <= 20; r++ {
		for range 3 {
			for _, n := range f.nodes {
				s.sendTo(n, serviceAddress, s.newRequest(r, time.Second))
			}
		}
		f.run(200 * time.Millisecond)
		is.Equal(f.runsByRequest[fmt.Sprintf("edit-%d", r)], 1)
		is.Equal(s.outcomes(r), map[packet.Kind]bool{packet.KindAnswer: true})
	}
	is.Equal(f.violations, nil)
}

// Two balancers that are both the owner of a flow according to their own views must not both run its request, neither
// while the views differ nor after they agree.
func TestTwoOwnersRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 12)
	owner := f.ownerOf(s.ticket)
	// All other members see the owner as dead; the owner sees itself as alive.
	f.publishViewsOf(func(observer, target *node) member.State {
		if target == owner && observer != owner {
			return member.StateDead
		}
		return member.StateAlive
	}, time.Millisecond, 2*time.Millisecond)
	f.run(100 * time.Millisecond)
	for r := uint64(1); r <= 10; r++ {
		request := s.newRequest(r, time.Second)
		for _, n := range f.nodes {
			s.sendTo(n, serviceAddress, request)
		}
		f.run(300 * time.Millisecond)
		is.True(f.runsByRequest[fmt.Sprintf("edit-%d", r)] <= 1)
		if f.runsByRequest[fmt.Sprintf("edit-%d", r)] == 1 {
			is.True(!s.outcomes(r)[packet.KindNotRun]) // it ran
		}
		if r == 5 {
			f.publishStates()
		}
	}
	is.Equal(f.violations, nil)
}

// Requests that reach all balancers while their flow is handed over must run at most once, at one of the two owners,
// and must not end with an unknown outcome, since neither owner is lost.
func TestRequestsDuringHandoverRunOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 18)
	f.handoverDelay = 300 * time.Millisecond
	f.drain(f.ownerOf(s.ticket))
	for r := uint64(1); r <= 30; r++ {
		request := s.newRequest(r, 2*time.Second)
		for range 8 {
			for _, n := range f.nodes {
				s.sendTo(n, serviceAddress, request)
			}
			f.run(20 * time.Millisecond)
		}
	}
	f.run(2 * time.Second)
	for r := uint64(1); r <= 30; r++ {
		is.True(f.runsByRequest[fmt.Sprintf("edit-%d", r)] <= 1)
		is.True(!s.outcomes(r)[packet.KindUnknown])
	}
	is.Equal(f.runsByRequest["edit-30"], 1) // the new owner runs requests
	is.Equal(f.violations, nil)
}

// An owner that is paused for longer than all timeouts finds an old request in its socket when it resumes. No other
// balancer may run the request meanwhile, and it must run at most once.
func TestPausedOwnerRunsOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 13)
	owner := f.ownerOf(s.ticket)
	owner.isPaused = true
	request := s.newRequest(1, 30*time.Second)
	s.sendTo(owner, serviceAddress, request) // waits in the socket of the paused process
	f.run(detectionTime)
	f.states[owner] = member.StateDead
	f.publishStates()
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		s.sendTo(n, serviceAddress, request)
	}
	f.run(time.Second)
	is.Equal(f.runsByRequest["edit-1"], 0) // no other balancer may run it
	is.Equal(s.outcomes(1), map[packet.Kind]bool{packet.KindUnknown: true})
	owner.resume()
	f.run(2 * time.Second)
	f.states[owner] = member.StateAlive
	f.publishStates()
	f.run(5 * time.Second)
	is.True(f.runsByRequest["edit-1"] <= 1)
	is.True(!s.outcomes(1)[packet.KindNotRun] || f.runsByRequest["edit-1"] == 0)
	is.Equal(f.violations, nil)
}

// An owner that resumes after a pause still holds its flows, although they have a new owner. It must forward packets
// that carry the new owner's tickets, and not answer them with an unknown outcome as if that owner were lost.
func TestResumedOwnerPassesOn(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 19)
	owner := f.ownerOf(s.ticket)
	owner.isPaused = true
	// The others see the owner as dead. Its own view does not change during its pause, so that it keeps its flows.
	f.publishViewsOf(func(observer, target *node) member.State {
		if target == owner && observer != owner {
			return member.StateDead
		}
		return member.StateAlive
	}, time.Millisecond, 2*time.Millisecond)
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		if n == owner {
			continue
		}
		s.sendTo(n, serviceAddress, packet.Packet{Kind: packet.KindPing, Ticket: s.ticket})
		f.run(100 * time.Millisecond)
	}
	is.True(f.ownerOf(s.ticket) != owner) // the caller has the new owner's ticket
	owner.resume()
	f.run(time.Second)
	for r := uint64(1); r <= 5; r++ {
		s.sendTo(owner, serviceAddress, s.newRequest(r, time.Second))
		f.run(500 * time.Millisecond)
		is.Equal(s.outcomes(r), map[packet.Kind]bool{packet.KindAnswer: true})
	}
	is.Equal(f.violations, nil)
}

// A process that replaces another one under the same host ID must not run requests under tickets of the former process.
func TestReplacementDoesNotRunOldTickets(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 14)
	owner := f.ownerOf(s.ticket)
	request := s.newRequest(1, 20*time.Second)
	s.sendTo(owner, serviceAddress, request)
	f.run(50 * time.Millisecond)
	is.Equal(f.runsByRequest["edit-1"], 1)
	owner.kill()
	f.addNode(owner.host.ID, owner.host.FailureDomain)
	f.states[owner] = member.StateDead
	f.publishStates()
	f.run(2 * time.Second)
	for _, n := range f.nodes {
		s.sendTo(n, serviceAddress, request)
	}
	f.run(2 * time.Second)
	is.Equal(f.runsByRequest["edit-1"], 1)
	is.True(!s.outcomes(1)[packet.KindNotRun])
	is.Equal(f.violations, nil)
}

// A request whose ticket is missing, damaged, or for another service or flow must not run and must not create a flow.
func TestForgedTicketsRunNothing(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 15)
	flows := func() int {
		n := 0
		for _, x := range f.nodes {
			for _, l := range x.b.Loads() {
				n += l.Flows
			}
		}
		return n
	}
	before := flows()
	stranger := f.addScriptedCaller(serviceAddress)
	for i := range s.ticket {
		p := s.newRequest(1, time.Second)
		p.Ticket = append([]byte(nil), s.ticket...)
		p.Ticket[i] ^= 1 << (i % 8)
		s.sendTo(f.nodes[i%len(f.nodes)], serviceAddress, p) // damaged
	}
	for _, n := range f.nodes {
		s.sendTo(n, otherAddress, s.newRequest(1, time.Second))                          // for another service
		stranger.sendTo(n, serviceAddress, s.newRequest(1, time.Second))                 // for another flow
		s.sendTo(n, serviceAddress, packet.Packet{Kind: packet.KindRequest, Request: 1}) // none
		s.sendTo(n, netip.MustParseAddrPort("10.0.0.9:1"), s.newRequest(1, time.Second)) // no route
	}
	f.run(2 * time.Second)
	is.Equal(f.runsByRequest["edit-1"], 0)
	is.Equal(len(s.outcomes(1)), 0) // a forged packet gets no outcome: the genuine request may be running
	is.Equal(flows(), before)
	is.Equal(f.violations, nil)
}

// A handover to a member whose tables lack the shard must not lose its flows: the receiver refuses the message
// permanently, and the sender serves the flows again and hands them over when the tables agree.
func TestRefusedHandoverIsTakenBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 21)
	owner := f.ownerOf(s.ticket)
	renamed := f.cloneTables()
	renamed.Version = f.tables.Version + 1
	for i := range 100 { // until the shard has another owner under its new name
		name := fmt.Sprintf("renamed-%d", i)
		renamed.Routes[0].Pool, renamed.Pools[0].Name = name, name
		plan := owner.b.Plan().WithLayout(owner.b.Plan().Layout.Next(table.NewIndex(&renamed)))
		key := flow.ShardKey{Pool: name, FailureDomain: owner.host.FailureDomain}
		if next, _ := plan.Owner(plan.Layout.Shard(key)); next.Incarnation != owner.host.Incarnation {
			break
		}
	}
	owner.b.SetTables(table.NewIndex(&renamed)) // the others keep the former tables for 5 s
	f.run(5 * time.Second)
	is.True(f.counts["dropped/handover_refused"] > 0)
	f.publishTables(renamed, time.Millisecond, 10*time.Millisecond)
	f.run(3 * time.Second)
	for r := uint64(1); r <= 3; r++ {
		s.send(s.newRequest(r, time.Second))
		f.run(500 * time.Millisecond)
		is.Equal(s.outcomes(r), map[packet.Kind]bool{packet.KindAnswer: true})
		is.Equal(f.runsByRequest[fmt.Sprintf("edit-%d", r)], 1)
	}
	is.Equal(f.violations, nil)
}

// When the tables assign an existing pool name to another service, the pool must serve that service at once, although
// the balancers still hold flows of the former service.
func TestPoolChangesService(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRandomFleet(20)
	t2 := f.cloneTables()
	t2.Routes[0].Service, t2.Pools[0].Service = "cards", "cards"
	for _, e := range t2.Pools[0].Endpoints {
		s := f.backends[e.Address]
		s.service = "cards"
		for _, l := range slices.Clone(s.links) {
			s.disconnect(l)
		}
	}
	f.publishTables(t2, time.Millisecond, time.Second)
	f.run(3 * time.Second)
	c := f.addCaller(serviceAddress, "")
	d := f.addCaller(serviceAddress, "feed-cards")
	f.run(10 * time.Second)
	f.check()
	is.True(c.answered > 50)
	is.True(d.delivered > 100)
	is.Equal(f.violations, nil)
}

// A request that was refused or cancelled must not run when a delayed copy of it arrives.
func TestLateCopyOfRefusedRequestDoesNotRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f, s := newScriptedFleet(is, 16)
	owner := f.ownerOf(s.ticket)
	s.sendTo(owner, serviceAddress, s.newRequest(1, 0)) // its deadline has passed
	s.sendTo(owner, serviceAddress, packet.Packet{Kind: packet.KindCancel, Ticket: s.ticket, Request: 2})
	f.run(100 * time.Millisecond)
	for r := uint64(1); r <= 2; r++ {
		is.Equal(s.outcomes(r), map[packet.Kind]bool{packet.KindNotRun: true})
		s.sendTo(owner, serviceAddress, s.newRequest(r, 10*time.Second))
	}
	f.run(time.Second)
	is.Equal(f.runsByRequest["edit-1"]+f.runsByRequest["edit-2"], 0)
	// A request number below the window of records has no record any more and must not run either.
	for r := uint64(3); r < 3+flow.WindowSize+10; r++ {
		s.sendTo(owner, serviceAddress, s.newRequest(r, 10*time.Second))
		f.run(100 * time.Millisecond)
	}
	s.sendTo(owner, serviceAddress, s.newRequest(1, 10*time.Second))
	f.run(time.Second)
	is.Equal(f.runsByRequest["edit-1"], 0)
	is.Equal(f.runsByRequest["edit-3"], 1)
	is.Equal(f.violations, nil)
}

// A backend server that reports that it is leaving must get no new requests after leavingBound, even if the tables
// never list it as leaving and flows are pinned to it. backendServer.start records a later request as a violation.
func TestLeavingBackendGetsNoNewWork(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRandomFleet(17)
	for i := range 3 {
		server := f.backends[f.tables.Pools[0].Endpoints[i].Address]
		server.leaving, server.leftAt = true, f.now
	}
	f.run(leavingBound)
	before := map[netip.AddrPort]int{}
	for a, n := range f.runsByEndpoint {
		before[a] = n
	}
	f.run(10 * time.Second)
	for i := range 3 {
		a := f.tables.Pools[0].Endpoints[i].Address
		is.Equal(f.runsByEndpoint[a], before[a])
	}
	f.checkProgress(5 * time.Second)
	is.Equal(f.violations, nil)
}
