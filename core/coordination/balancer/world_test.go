package balancer_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/coordination/balancer"
	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
	"cornellb/io/protocol/wire"
)

// world drives balancer cores, fake backend servers and fake callers on one simulated clock. Datagrams may be lost,
// duplicated and reordered; connections to backend servers keep their order.
type world struct {
	random   *rand.Rand
	now      time.Time
	events   eventHeap
	sequence int
	nodes    []*node
	backends map[netip.AddrPort]*backendServer
	callers  map[packet.CallerAddress]*caller
	codec    *wire.TicketCodec
	tables   *table.Tables
	version  uint64
	loss     float64
	handover time.Duration      // added to the delay of handovers
	cut      map[[2]string]bool // pairs of failure domains without a path
	runs     map[string]int     // executions by request ID
	work     map[netip.AddrPort]int
	faults   []string
	counts   map[string]int64
	config   balancer.Config
	delay    func(from, to string) time.Duration // one way between failure domains, callers in ""; nil: at random
	placed   func(s *backendServer, id string)   // called for each request and feed that a backend server takes
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
	w        *world
	host     member.Host
	b        *balancer.Balancer
	isDead   bool
	isPaused bool
	isReady  bool // has a membership view; the fabric sends no packets before
	drained  time.Time
	inbox    []func() // events that arrived during a pause
	links    map[netip.AddrPort]*link
}

// link is a connection from a balancer to a backend server.
type link struct {
	n       *node
	address netip.AddrPort
	service string
	server  *backendServer // nil while down
	last    time.Time      // delivery time of the newest frame, to keep the order
	pending []*packet.Backend
	wanted  bool
	epoch   int
}

var serviceAddress = netip.MustParseAddrPort("10.0.0.1:443")
var otherAddress = netip.MustParseAddrPort("10.0.0.2:443")
var thirdAddress = netip.MustParseAddrPort("10.0.0.3:443")

func newWorld(seed uint64) *world {
	codec, err := wire.NewTicketCodec([]wire.Key{{ID: 1, Secret: []byte("0123456789abcdef")}})
	if err != nil {
		panic(err)
	}
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1_800_000_000, 0), codec: codec,
		backends: map[netip.AddrPort]*backendServer{}, callers: map[packet.CallerAddress]*caller{},
		cut: map[[2]string]bool{}, runs: map[string]int{}, work: map[netip.AddrPort]int{}, counts: map[string]int64{},
		config: balancer.Config{ShardEndpoints: 32, Dispatch: dispatch.DefaultConfig(), Seed: seed},
	}
	return w
}

func (w *world) Now() time.Time { return w.now }

// Count records counters of all balancers; a violated invariant is a fault.
func (w *world) Count(c metric.Counter, label string, n int64) {
	w.counts[string(c)+"/"+label] += n
	if c == metric.Violation {
		w.fault("invariant %s", label)
	}
}

func (w *world) Observe(metric.Histogram, string, packet.Class, time.Duration) {}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%s: ", w.now.Format("05.000"))+fmt.Sprintf(format, args...))
}

func (w *world) after(d time.Duration, run func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now.Add(d), w.sequence, run})
}

func (w *world) every(d time.Duration, run func() bool) {
	w.after(d, func() {
		if run() {
			w.every(d, run)
		}
	})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) jitter(low, high time.Duration) time.Duration {
	return low + time.Duration(w.random.Int64N(int64(high-low)))
}

// datagram delivers run with the faults of the network between two failure domains.
func (w *world) datagram(from, to string, run func()) {
	copies := 1
	if w.random.Float64() < w.loss {
		copies = 0
	} else if w.random.Float64() < w.loss {
		copies = 2
	}
	for range copies {
		if w.delay != nil {
			w.after(w.delay(from, to), run)
		} else {
			w.after(w.jitter(time.Millisecond, 8*time.Millisecond), run)
		}
	}
}

func (w *world) addNode(id, domain string) *node {
	n := &node{w: w, links: map[netip.AddrPort]*link{}, host: member.Host{
		ID: id, FailureDomain: domain, Incarnation: member.Incarnation(w.random.Uint64() | 1),
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.1.0.1"), uint16(1000+len(w.nodes))),
	}}
	n.b = balancer.New(n.host, w.config, w, balancer.Outputs{
		Caller: n, Backend: n, Handover: n, Peer: n, Tickets: w.codec, Recorder: w,
	})
	w.nodes = append(w.nodes, n)
	if w.tables != nil {
		n.b.SetTables(table.NewIndex(w.tables))
	}
	w.every(50*time.Millisecond, func() bool {
		n.deliver(n.b.Tick)
		return !n.isDead
	})
	return n
}

// drainedAt returns the time since which the node has had no flow; the present time if it has flows.
func (n *node) drainedAt() time.Time {
	if !n.b.IsDrained() || n.drained.IsZero() {
		n.drained = n.w.now
	}
	return n.drained
}

// deliver runs an event at a node: at once, after its pause, or never.
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

// publishViews gives every node the true membership, each after its own delay, so that views differ meanwhile.
func (w *world) publishViews(states map[*node]member.State, low, high time.Duration) {
	w.publishViewsOf(func(_, target *node) member.State { return states[target] }, low, high)
}

func (w *world) publishViewsOf(state func(observer, target *node) member.State, low, high time.Duration) {
	for _, n := range w.nodes {
		var hosts []member.Host
		for _, target := range w.nodes {
			h := target.host
			h.State = state(n, target)
			hosts = append(hosts, h)
		}
		w.version++
		version := w.version
		self := n.host
		self.State = state(n, n)
		w.after(w.jitter(low, high), func() {
			n.deliver(func() {
				n.isReady = true
				if n.b.Plan().View.Version < version {
					n.b.SetView(member.NewView(version, self, append([]member.Host(nil), hosts...)))
				}
			})
		})
	}
}

// publishTables puts a new table version in force at each node after its own delay.
func (w *world) publishTables(t table.Tables, low, high time.Duration) {
	if w.tables != nil {
		t.Version = w.tables.Version + 1
	} else {
		t.Version = 1
	}
	w.tables = &t
	for _, n := range w.nodes {
		w.after(w.jitter(low, high), func() {
			n.deliver(func() { n.b.SetTables(table.NewIndex(&t)) })
		})
	}
}

// SendCaller implements dispatch.CallerSender.
func (n *node) SendCaller(_ netip.AddrPort, to packet.CallerAddress, p *packet.Packet) {
	c := n.w.callers[to]
	if c == nil {
		return
	}
	sent := *p
	sent.Payload = append([]byte(nil), p.Payload...)
	n.w.datagram(n.host.FailureDomain, "", func() { c.receive(&sent) })
}

// fromCaller sprays a packet over the nodes that the fabric knows.
func (w *world) fromCaller(c *caller, service netip.AddrPort, p packet.Packet) {
	var targets []*node
	for _, n := range w.nodes {
		if !n.isDead && n.isReady {
			targets = append(targets, n)
		}
	}
	if len(targets) == 0 {
		return
	}
	n := targets[w.random.IntN(len(targets))]
	w.datagram("", n.host.FailureDomain, func() {
		n.deliver(func() {
			n.b.HandleCaller(&packet.Envelope{Caller: c.address, Service: service, Packet: encode(&p)}, &p)
		})
	})
}

func encode(p *packet.Packet) []byte { return wire.AppendPacket(nil, p) }

// SendForward implements balancer.PeerSender.
func (n *node) SendForward(to member.Host, f *packet.Forward) {
	sent := *f
	n.w.toPeer(n, to, func(peer *node) {
		var p packet.Packet
		if err := wire.NewDecoder().DecodePacket(sent.Packet, &p); err != nil {
			n.w.fault("forwarded packet does not decode: %v", err)
			return
		}
		peer.b.HandleForward(&sent, &p)
	})
}

func (w *world) toPeer(from *node, to member.Host, run func(*node)) { w.toPeerAfter(0, from, to, run) }

// toPeerAfter sends a datagram after a delay at the sender.
func (w *world) toPeerAfter(wait time.Duration, from *node, to member.Host, run func(*node)) {
	for _, peer := range w.nodes {
		if peer.host.Incarnation != to.Incarnation || w.cut[[2]string{from.host.FailureDomain, to.FailureDomain}] {
			continue
		}
		send := func() {
			w.datagram(from.host.FailureDomain, to.FailureDomain, func() { peer.deliver(func() { run(peer) }) })
		}
		if wait > 0 {
			w.after(wait, send)
		} else {
			send()
		}
	}
}

// SendHandover implements dispatch.HandoverSender. The message or its confirmation may be lost, or come late.
func (n *node) SendHandover(to member.Host, h *flow.Handover) {
	n.w.toPeerAfter(n.w.handover, n, to, func(peer *node) {
		err := peer.b.HandleHandover(h)
		n.w.toPeer(peer, n.host, func(sender *node) { sender.b.HandoverDone(h, err) })
	})
}

// Want implements dispatch.BackendSender: the link connects, and again after each loss.
func (n *node) Want(to netip.AddrPort, service string) {
	l := n.links[to]
	if l == nil {
		l = &link{n: n, address: to}
		n.links[to] = l
	}
	if l.service != service && l.server != nil {
		l.server.disconnect(l)
	}
	l.service, l.wanted = service, true
	l.connect()
}

// Forget implements dispatch.BackendSender.
func (n *node) Forget(to netip.AddrPort) {
	if l := n.links[to]; l != nil {
		l.wanted = false
		if l.server != nil {
			l.server.disconnect(l)
		}
	}
}

func (l *link) connect() {
	w := l.n.w
	w.after(w.jitter(time.Millisecond, 20*time.Millisecond), func() {
		s := w.backends[l.address]
		if !l.wanted || l.n.isDead {
			return
		}
		if s == nil || s.service != l.service || w.cut[[2]string{l.n.host.FailureDomain, s.domain}] {
			w.after(100*time.Millisecond, l.connect)
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
	l.order(func() {
		if l.server != server || l.epoch != epoch || len(l.pending) == 0 {
			return // lost with the connection
		}
		l.pending = l.pending[1:]
		server.receive(l, &sent)
	})
	return nil
}

func (l *link) order(run func()) {
	at := l.n.w.now.Add(l.n.w.jitter(time.Millisecond, 3*time.Millisecond))
	if l.n.w.delay != nil && l.server != nil {
		at = at.Add(l.n.w.delay(l.n.host.FailureDomain, l.server.domain))
	}
	if at.Before(l.last) {
		at = l.last
	}
	l.last = at
	l.n.w.after(at.Sub(l.n.w.now), run)
}

// reply sends a frame to the balancer on the connection that is up now.
func (l *link) reply(m *packet.Backend) {
	server, epoch := l.server, l.epoch
	m.Busy, m.Leaving = uint32(len(server.running)), server.leaving
	l.order(func() {
		if l.server == server && l.epoch == epoch {
			l.n.deliver(func() { l.n.b.HandleBackend(l.address, m) })
		}
	})
}
