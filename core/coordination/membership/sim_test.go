package membership

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/member"
)

const simTick = 100 * time.Millisecond

// sim runs machines over an in-memory network with a fake clock. Its random source decides losses and delays.
type sim struct {
	now      time.Time
	random   *rand.Rand
	nodes    []*node // running processes by slot, nil for none; the host ID and address of a slot never change
	inFlight []delivery
	loss     float64
	maxDelay time.Duration
	side     map[int]int // side of a partition that each slot is on
	cut      [2]int      // two slots without a path between them, if they differ
	fail     func(format string, args ...any)
	stopped  map[member.Incarnation]time.Time
	version  uint64
}

type delivery struct {
	at       time.Time
	from, to int
	deliver  func(n *node)
}

// node is one process and checks what its machine produces.
type node struct {
	s           *sim
	slot        int
	machine     *Machine
	view        *member.View
	pausedUntil time.Time
	inbox       []func(n *node) // arrived during a pause
	budgetUsed  float64         // bytes in the leaky bucket that checks the byte budget
	sentAt      time.Time
	sentBytes   int
	known       map[member.Incarnation]member.Host // last record in a view, kept after the member is forgotten
	gone        map[member.Incarnation]bool        // was dead or left
}

func newSim(seed uint64, fail func(format string, args ...any)) *sim {
	return &sim{
		now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), side: map[int]int{}, fail: fail,
		maxDelay: 10 * time.Millisecond, stopped: map[member.Incarnation]time.Time{},
	}
}

func simAddress(slot int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(slot / 250), byte(slot%250 + 1)}), 7000)
}

func simDomain(slot int) string { return fmt.Sprintf("domain-%d", slot%3) }

// start starts a new process on a slot. Its seeds are the first two slots.
func (s *sim) start(slot int) *node {
	n := &node{s: s, slot: slot, sentAt: s.now, known: map[member.Incarnation]member.Host{}, gone: map[member.Incarnation]bool{}}
	c := Config{
		ID: fmt.Sprintf("host-%03d", slot), FailureDomain: simDomain(slot), Address: simAddress(slot),
		Incarnation: member.Incarnation(s.random.Uint64() | 1), StartedAt: s.now,
	}
	n.machine = New(c, s.now, rand.New(rand.NewPCG(s.random.Uint64(), 2)), n)
	n.machine.SetHints([]netip.AddrPort{simAddress(0), simAddress(1)}, nil)
	for len(s.nodes) <= slot {
		s.nodes = append(s.nodes, nil)
	}
	s.nodes[slot] = n
	return n
}

// stop ends the process of a slot without an announcement, as a crash does.
func (s *sim) stop(slot int) {
	if n := s.nodes[slot]; n != nil {
		s.stopped[n.machine.Self().Incarnation] = s.now
		s.nodes[slot] = nil
	}
}

func (s *sim) slotOf(a netip.AddrPort) int {
	b := a.Addr().As4()
	return int(b[2])*250 + int(b[3]) - 1
}

func (s *sim) nodeAt(slot int) *node {
	if slot >= len(s.nodes) {
		return nil
	}
	return s.nodes[slot]
}

func (s *sim) transmit(from int, to netip.AddrPort, deliver func(n *node)) {
	slot := s.slotOf(to)
	isCut := s.cut[0] != s.cut[1] && (s.cut == [2]int{from, slot} || s.cut == [2]int{slot, from})
	if isCut || s.side[from] != s.side[slot] || s.random.Float64() < s.loss {
		return
	}
	delay := time.Duration(s.random.Int64N(int64(s.maxDelay)))
	s.inFlight = append(s.inFlight, delivery{at: s.now.Add(delay), from: from, to: slot, deliver: deliver})
}

// run advances the simulation by a duration.
func (s *sim) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.now = s.now.Add(simTick)
		s.deliverDue()
		for _, n := range s.nodes {
			if n == nil || s.now.Before(n.pausedUntil) {
				continue
			}
			for _, f := range n.inbox {
				n.handle(f)
			}
			n.inbox = nil
			n.machine.Tick(s.now)
		}
	}
}

// deliverDue delivers messages that are due, in order of their time. Answers to them may be due in the same step.
func (s *sim) deliverDue() {
	for {
		due := s.inFlight[:0:0]
		var later []delivery
		for _, l := range s.inFlight {
			if l.at.After(s.now) {
				later = append(later, l)
			} else {
				due = append(due, l)
			}
		}
		if len(due) == 0 {
			return
		}
		s.inFlight = later
		slices.SortStableFunc(due, func(a, b delivery) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
		for _, l := range due {
			n := s.nodeAt(l.to)
			switch {
			case n == nil || s.side[l.from] != s.side[l.to]:
			case s.now.Before(n.pausedUntil):
				n.inbox = append(n.inbox, l.deliver)
			default:
				n.handle(l.deliver)
			}
		}
	}
}

func (n *node) handle(f func(n *node)) {
	n.machine.CheckPause(n.s.now)
	f(n)
}

// SendGossip implements Output. It checks the byte budget over every span of time, and the size of the message.
func (n *node) SendGossip(to netip.AddrPort, m *Message) {
	size := m.Size()
	if size > MaxMessageBytes {
		n.s.fail("message of %d bytes, more than MaxMessageBytes", size)
	}
	if !to.IsValid() || to == simAddress(n.slot) {
		n.s.fail("message to the invalid or own address %v", to)
	}
	n.budgetUsed = max(0, n.budgetUsed-n.s.now.Sub(n.sentAt).Seconds()*DefaultBytesPerSecond) + float64(size+datagramOverhead)
	n.sentAt = n.s.now
	n.sentBytes += size + datagramOverhead
	if n.budgetUsed > DefaultBytesPerSecond+1 {
		n.s.fail("byte budget exceeded: %.0f bytes in the bucket", n.budgetUsed)
	}
	from := simAddress(n.slot)
	n.s.transmit(n.slot, to, func(r *node) { r.machine.Receive(from, m) })
}

// FetchMembers implements Output.
func (n *node) FetchMembers(from netip.AddrPort, r MembersRequest) {
	back := simAddress(n.slot)
	n.s.transmit(n.slot, from, func(p *node) {
		reply := PageOf(p.view, r)
		p.s.transmit(p.slot, back, func(n *node) { n.machine.ReceiveMembers(from, &reply) })
	})
	if n.s.nodeAt(n.s.slotOf(from)) == nil {
		n.machine.ReceiveMembers(from, nil)
	}
}

// ReportNewerTables implements Output. The process puts the version in force at once.
func (n *node) ReportNewerTables(_ member.Host, version uint64) {
	n.machine.SetTableVersion(version)
}

// SetView implements Output. It checks the new view against the views before it.
func (n *node) SetView(v *member.View) {
	if n.view != nil && v.Version <= n.view.Version {
		n.s.fail("view version %d after %d", v.Version, n.view.Version)
	}
	n.view = v
	reachableKeys := map[hostKey]bool{}
	for _, h := range v.Hosts {
		if h.IsReachable() {
			if reachableKeys[hostKeyOf(h)] {
				n.s.fail("%s sees two reachable processes of %s", v.Self.ID, h.ID)
			}
			reachableKeys[hostKeyOf(h)] = true
		}
		if old, ok := n.known[h.Incarnation]; ok {
			n.checkChange(old, h)
		}
		n.checkStopped(h)
	}
	for _, h := range v.Hosts {
		n.known[h.Incarnation] = h
	}
}

// checkChange checks that the record of a member does not return to an earlier state.
func (n *node) checkChange(old, h member.Host) {
	if old.State >= member.StateLeaving && old.State != member.StateDead && h.CanOwn() {
		n.s.fail("%s: %s may own shards again after state %v", n.view.Self.ID, h.ID, old.State)
	}
	if !isGone(old.State) || isGone(h.State) {
		return
	}
	if old.State == member.StateLeft || h.Refutation <= old.Refutation {
		n.s.fail("%s: %s is reachable again after state %v without a refutation", n.view.Self.ID, h.ID, old.State)
	}
}

// checkStopped checks that a stopped process does not become reachable again, also after it was forgotten. A refutation
// from before the end may be in transit for some seconds, or wait for a process that is paused.
func (n *node) checkStopped(h member.Host) {
	if isGone(h.State) {
		n.gone[h.Incarnation] = true
		return
	}
	at, ok := n.s.stopped[h.Incarnation]
	if n.pausedUntil.After(at) {
		at = n.pausedUntil
	}
	if ok && n.gone[h.Incarnation] && n.s.now.Sub(at) > DeadMemory/2 {
		n.s.fail("%s: stopped process %s is reachable again after %v", n.view.Self.ID, h.ID, n.s.now.Sub(at))
	}
}

// disagreement describes the first difference between a view and the running processes, or returns an empty string.
func (s *sim) disagreement() string {
	running := map[member.Incarnation]member.Host{}
	digest := uint64(0)
	for _, n := range s.nodes {
		if n != nil {
			running[n.machine.Self().Incarnation] = n.machine.Self()
			digest ^= digestOf(n.machine.Self())
		}
	}
	for _, n := range s.nodes {
		if n == nil {
			continue
		}
		reachable := 0
		for _, h := range n.view.Hosts {
			if !h.IsReachable() {
				continue
			}
			reachable++
			if want := running[h.Incarnation]; want.State != h.State || want.Incarnation == 0 {
				return fmt.Sprintf("%s sees %s (%x) as %v, it is %v", n.view.Self.ID, h.ID, h.Incarnation, h.State, want)
			}
		}
		if reachable != len(running) {
			return fmt.Sprintf("%s has %d reachable members in its view, want %d", n.view.Self.ID, reachable, len(running))
		}
		if n.machine.digest() != digest {
			return n.view.Self.ID + " has another digest than the running processes"
		}
	}
	return ""
}

// converge runs the simulation until all views are correct. It returns the time that this took, and false at the limit.
func (s *sim) converge(limit time.Duration) (time.Duration, bool) {
	start := s.now
	for s.now.Sub(start) < limit {
		if s.disagreement() == "" {
			return s.now.Sub(start), true
		}
		s.run(simTick)
	}
	return limit, false
}

// settle runs the simulation until all views stay correct for some time, since a paused process may first handle
// messages of processes that have ended.
func (s *sim) settle(limit time.Duration) bool {
	const stay = 5 * time.Second
	good := s.now
	for start := s.now; s.now.Sub(start) < limit; s.run(simTick) {
		if s.disagreement() != "" {
			good = s.now
		}
		if s.now.Sub(good) >= stay {
			return true
		}
	}
	return false
}
