package balancer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/coordination/balancer"
	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
	"cornellb/io/protocol/wire"
)

// simulation is a discrete-event simulation of balancer cores, fake backend servers and fake callers with one clock.
// Datagrams may be lost, duplicated and reordered; connections to backend servers keep the order of frames.
type simulation struct {
	random         *rand.Rand
	now            time.Time
	events         eventHeap
	sequence       int
	trace          xxhash.Digest // of the times and numbers of all events so far
	nodes          []*node
	backends       map[netip.AddrPort]*backendServer
	callers        map[packet.CallerAddress]*caller
	codec          *wire.TicketCodec
	tables         *table.Tables
	viewVersion    uint64
	loss           float64
	handoverDelay  time.Duration          // extra delay of handover messages
	cut            map[[2]string]bool     // pairs of failure domains that cannot reach each other
	runsByRequest  map[string]int         // number of executions by request ID
	runsByEndpoint map[netip.AddrPort]int // number of executions by endpoint
	violations     []string               // what went wrong so far, as text with the time
	counts         map[string]int64
	config         balancer.Config
	delay          func(from, to string) time.Duration // one-way between failure domains, "" for callers; nil: random
	onPlacement    func(s *backendServer, id string)   // called for each request and feed that a backend server starts
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// node is one balancer process.
type node struct {
	sim      *simulation
	host     member.Host
	b        *balancer.Balancer
	isDead   bool
	isPaused bool
	isReady  bool // has a membership view; the fabric sends it no packets before
	drained  time.Time
	inbox    []func() // events that arrived during a pause
	links    map[netip.AddrPort]*link
}

// link is a connection from a balancer to a backend server.
type link struct {
	n         *node
	address   netip.AddrPort
	service   string
	server    *backendServer // nil while down
	last      time.Time      // delivery time of the last frame, to keep the order
	pending   []*packet.Backend
	requested bool
	epoch     int
}

var serviceAddress = netip.MustParseAddrPort("10.0.0.1:443")
var otherAddress = netip.MustParseAddrPort("10.0.0.2:443")
var thirdAddress = netip.MustParseAddrPort("10.0.0.3:443")

func newSimulation(seed uint64) *simulation {
	codec, err := wire.NewTicketCodec([]wire.Key{{ID: 1, Secret: []byte("0123456789abcdef")}})
	if err != nil {
		panic(err)
	}
	sim := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), codec: codec,
		backends: map[netip.AddrPort]*backendServer{}, callers: map[packet.CallerAddress]*caller{},
		cut: map[[2]string]bool{}, runsByRequest: map[string]int{}, runsByEndpoint: map[netip.AddrPort]int{}, counts: map[string]int64{},
		config: balancer.Config{ShardEndpoints: 32, Dispatch: dispatch.DefaultConfig(), Seed: seed},
	}
	return sim
}

func (sim *simulation) Now() time.Time { return sim.now }

// Count adds up the counters of all balancers. A violated invariant of the core is recorded too.
func (sim *simulation) Count(c metric.Counter, label string, n int64) {
	sim.counts[string(c)+"/"+label] += n
	if c == metric.Violation {
		sim.recordViolation("invariant %s", label)
	}
}

func (sim *simulation) Observe(metric.Histogram, string, packet.Class, time.Duration) {}

func (sim *simulation) recordViolation(format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("%s: ", sim.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

func (sim *simulation) after(d time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.events, event{sim.now.Add(d), sim.sequence, run})
}

func (sim *simulation) every(d time.Duration, run func() bool) {
	sim.after(d, func() {
		if run() {
			sim.every(d, run)
		}
	})
}

func (sim *simulation) run(d time.Duration) {
	end := sim.now.Add(d)
	for len(sim.events) > 0 && !sim.events[0].at.After(end) {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		_, _ = fmt.Fprintln(&sim.trace, e.at.UnixNano(), e.seq)
		e.run()
	}
	sim.now = end
}

func (sim *simulation) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.random.Int64N(int64(high-low)))
}

// datagram schedules the delivery of a datagram between two failure domains, with the delay, loss and duplication of
// the network.
func (sim *simulation) datagram(from, to string, run func()) {
	copies := 1
	if sim.random.Float64() < sim.loss {
		copies = 0
	} else if sim.random.Float64() < sim.loss {
		copies = 2
	}
	for range copies {
		if sim.delay != nil {
			sim.after(sim.delay(from, to), run)
		} else {
			sim.after(sim.jitter(time.Millisecond, 8*time.Millisecond), run)
		}
	}
}

func (sim *simulation) addNode(id, domain string) *node {
	n := &node{sim: sim, links: map[netip.AddrPort]*link{}, host: member.Host{
		ID: id, FailureDomain: domain, Incarnation: member.Incarnation(sim.random.Uint64() | 1),
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(1000+len(sim.nodes))),
	}}
	n.b = balancer.New(n.host, sim.config, sim, balancer.Outputs{
		Caller: n, Backend: n, Handover: n, Peer: n, Tickets: sim.codec, Recorder: sim,
	})
	sim.nodes = append(sim.nodes, n)
	if sim.tables != nil {
		n.b.SetTables(table.NewIndex(sim.tables))
	}
	sim.every(50*time.Millisecond, func() bool {
		n.deliver(n.b.Tick)
		return !n.isDead
	})
	return n
}

// drainedAt returns the time since which the node has been drained, or the current time if it is not.
func (n *node) drainedAt() time.Time {
	if !n.b.IsDrained() || n.drained.IsZero() {
		n.drained = n.sim.now
	}
	return n.drained
}

// deliver runs an event at a node: at once, after the pause of a paused node, or never at a dead one.
func (n *node) deliver(run func()) {
	switch {
	case n.isDead:
	case n.isPaused:
		n.inbox = append(n.inbox, run)
	default:
		run()
	}
}

func (n *node) kill() {
	n.isDead = true
	for _, l := range n.sortedLinks() {
		if l.server != nil {
			l.server.disconnect(l)
		}
	}
}

func (n *node) sortedLinks() []*link {
	return slices.SortedFunc(maps.Values(n.links), func(a, b *link) int { return a.address.Compare(b.address) })
}

func (n *node) resume() {
	n.isPaused = false
	inbox := n.inbox
	n.inbox = nil
	for _, run := range inbox {
		n.deliver(run)
	}
}

// publishViews sends the actual membership to every node, each after a random delay, so that views differ for some
// time.
func (sim *simulation) publishViews(states map[*node]member.State, low, high time.Duration) {
	sim.publishViewsOf(func(_, target *node) member.State { return states[target] }, low, high)
}

func (sim *simulation) publishViewsOf(state func(observer, target *node) member.State, low, high time.Duration) {
	for _, n := range sim.nodes {
		var hosts []member.Host
		for _, target := range sim.nodes {
			h := target.host
			h.State = state(n, target)
			hosts = append(hosts, h)
		}
		sim.viewVersion++
		version := sim.viewVersion
		self := n.host
		self.State = state(n, n)
		sim.after(sim.jitter(low, high), func() {
			n.deliver(func() {
				n.isReady = true
				if n.b.Plan().View.Version < version {
					n.b.SetView(member.NewView(version, self, append([]member.Host(nil), hosts...)))
				}
			})
		})
	}
}

// publishTables puts a new table version in force at each node after a random delay.
func (sim *simulation) publishTables(t table.Tables, low, high time.Duration) {
	if sim.tables != nil {
		t.Version = sim.tables.Version + 1
	} else {
		t.Version = 1
	}
	sim.tables = &t
	for _, n := range sim.nodes {
		sim.after(sim.jitter(low, high), func() {
			n.deliver(func() { n.b.SetTables(table.NewIndex(&t)) })
		})
	}
}

// SendCaller implements dispatch.CallerSender.
func (n *node) SendCaller(_ netip.AddrPort, to packet.CallerAddress, p *packet.Packet) {
	c := n.sim.callers[to]
	if c == nil {
		return
	}
	sent := *p
	sent.Payload = append([]byte(nil), p.Payload...)
	n.sim.datagram(n.host.FailureDomain, "", func() { c.receive(&sent) })
}

// fromCaller sends a caller's packet to a random node, as the fabric does.
func (sim *simulation) fromCaller(c *caller, service netip.AddrPort, p packet.Packet) {
	var targets []*node
	for _, n := range sim.nodes {
		if !n.isDead && n.isReady {
			targets = append(targets, n)
		}
	}
	if len(targets) == 0 {
		return
	}
	n := targets[sim.random.IntN(len(targets))]
	sim.datagram("", n.host.FailureDomain, func() {
		n.deliver(func() {
			n.b.HandleCaller(&packet.Envelope{Caller: c.address, Service: service, Packet: encode(&p)}, &p)
		})
	})
}

func encode(p *packet.Packet) []byte { return wire.AppendPacket(nil, p) }

// SendForward implements balancer.PeerSender.
func (n *node) SendForward(to member.Host, f *packet.Forward) {
	sent := *f
	n.sim.toPeer(n, to, func(peer *node) {
		var p packet.Packet
		if err := wire.NewDecoder().DecodePacket(sent.Packet, &p); err != nil {
			n.sim.recordViolation("forwarded packet does not decode: %v", err)
			return
		}
		peer.b.HandleForward(&sent, &p)
	})
}

func (sim *simulation) toPeer(from *node, to member.Host, run func(*node)) {
	sim.toPeerAfter(0, from, to, run)
}

// toPeerAfter sends a datagram to another balancer after a delay at the sender.
func (sim *simulation) toPeerAfter(wait time.Duration, from *node, to member.Host, run func(*node)) {
	for _, peer := range sim.nodes {
		if peer.host.Incarnation != to.Incarnation || sim.cut[[2]string{from.host.FailureDomain, to.FailureDomain}] {
			continue
		}
		send := func() {
			sim.datagram(from.host.FailureDomain, to.FailureDomain, func() { peer.deliver(func() { run(peer) }) })
		}
		if wait > 0 {
			sim.after(wait, send)
		} else {
			send()
		}
	}
}

// SendHandover implements dispatch.HandoverSender. The message and its confirmation may be lost or delayed.
func (n *node) SendHandover(to member.Host, h *flow.Handover) {
	n.sim.toPeerAfter(n.sim.handoverDelay, n, to, func(peer *node) {
		err := peer.b.HandleHandover(h)
		n.sim.toPeer(peer, n.host, func(sender *node) { sender.b.HandoverDone(h, err) })
	})
}

// Connect implements dispatch.BackendSender: the link connects, and reconnects after each disconnect.
func (n *node) Connect(to netip.AddrPort, service string) {
	l := n.links[to]
	if l == nil {
		l = &link{n: n, address: to}
		n.links[to] = l
	}
	if l.service != service && l.server != nil {
		l.server.disconnect(l)
	}
	l.service, l.requested = service, true
	l.connect()
}

// Disconnect implements dispatch.BackendSender.
func (n *node) Disconnect(to netip.AddrPort) {
	if l := n.links[to]; l != nil {
		l.requested = false
		if l.server != nil {
			l.server.disconnect(l)
		}
	}
}

func (l *link) connect() {
	sim := l.n.sim
	sim.after(sim.jitter(time.Millisecond, 20*time.Millisecond), func() {
		s := sim.backends[l.address]
		if !l.requested || l.n.isDead {
			return
		}
		if s == nil || s.service != l.service || sim.cut[[2]string{l.n.host.FailureDomain, s.domain}] {
			sim.after(100*time.Millisecond, l.connect)
			return
		}
		if l.server == nil {
			l.server = s
			l.epoch++
			s.links = append(s.links, l)
		}
		busy, leaving := len(s.running), s.leaving
		l.n.deliver(func() { l.n.b.BackendUp(l.address, s.service, s.incarnation, busy, leaving) })
	})
}

// Send implements dispatch.BackendSender.
func (n *node) Send(to netip.AddrPort, m *packet.Backend) error {
	l := n.links[to]
	if l == nil || l.server == nil {
		return fmt.Errorf("no connection to %s", to)
	}
	sent := *m
	l.pending = append(l.pending, &sent)
	server, epoch := l.server, l.epoch
	l.deliverInOrder(func() {
		if l.server != server || l.epoch != epoch || len(l.pending) == 0 {
			return // the connection was lost, and the frame with it
		}
		l.pending = l.pending[1:]
		server.receive(l, &sent)
	})
	return nil
}

// deliverInOrder schedules the delivery of a frame after the network delay, and not before earlier frames of the link.
func (l *link) deliverInOrder(run func()) {
	at := l.n.sim.now.Add(l.n.sim.jitter(time.Millisecond, 3*time.Millisecond))
	if l.n.sim.delay != nil && l.server != nil {
		at = at.Add(l.n.sim.delay(l.n.host.FailureDomain, l.server.domain))
	}
	if at.Before(l.last) {
		at = l.last
	}
	l.last = at
	l.n.sim.after(at.Sub(l.n.sim.now), run)
}

// reply sends a frame to the balancer on the current connection.
func (l *link) reply(m *packet.Backend) {
	server, epoch := l.server, l.epoch
	m.Busy, m.Leaving = uint32(len(server.running)), server.leaving
	l.deliverInOrder(func() {
		if l.server == server && l.epoch == epoch {
			l.n.deliver(func() { l.n.b.HandleBackend(l.address, m) })
		}
	})
}
