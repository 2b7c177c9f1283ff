// Package membership keeps the list of balancers by SWIM-style gossip, as a state machine without sockets, goroutines,
// wall clock or global random source.
//
// # Usage
//
// New builds a Machine for one process. The caller delivers its inputs from one goroutine: Tick about every 50 ms,
// Receive for each gossip message, SetHints, SetTableVersion, Leave and Depart. The machine answers through Output:
// messages to send, a new immutable member.View after a change, member pages to fetch, and peers that have newer
// tables. PageOf serves the member pages that other processes fetch; it reads a View and may run on any goroutine.
//
// A View contains members that are dead or left for DeadMemory, so that readers can tell a member that is gone from one
// that was never heard of. Readers use Host.CanOwn and Host.IsReachable. After that time the machine remembers the last
// maxFormer of them, because a process that was paused for longer may still hold them alive, and because a partition
// may last for an hour.
//
// # Rules
//
// A member is identified by its incarnation. Of two opinions on one incarnation the one with the higher refutation
// number wins; at an equal number the later state in the order alive, suspect, leaving, dead wins. Left is final. Only
// the member itself raises its refutation number. Of two incarnations with the same ID and address the one that
// started later wins, and the other is dead.
//
// Time inside the machine advances by at most maxStep per Tick. A process that was paused therefore gives the others
// the time to answer that they would have had without the pause.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"cornellb/core/state/member"
)

// Timing of the protocol.
const (
	ProbePeriod    = time.Second
	AckTimeout     = 300 * time.Millisecond
	SuspectTimeout = 3 * time.Second
	DeadMemory     = 60 * time.Second // dead and left members stay in the view for this time
	GossipInterval = 200 * time.Millisecond
	healInterval   = 5 * time.Second // between pings to addresses that are not in the list of reachable members
	settleTime     = time.Second     // after a pause, for messages that waited in buffers
	maxStep        = 250 * time.Millisecond
	pauseLimit     = 2 * time.Second // a longer time between two ticks is a pause of this process
)

// Bounds of the state, and fan-outs.
const (
	DefaultBytesPerSecond = 4096
	MinBytesPerSecond     = 1024 // below this figure pings and acks of a member do not fit
	MaxMembers            = 32768
	maxDead               = 4096
	maxFormer             = 4096 // members that are remembered after they left the view; about 1 MB
	maxRelays             = 256
	maxHeal               = 64
	maxHeard              = 64
	indirectProbes        = 3
	gossipFanout          = 3
	versionFanout         = 6 // one wave reaches all but e^-6 of the members; pings reach the others
)

// Output takes what the machine produces. The machine calls it during its own inputs; the implementation must not call
// the machine back and must not block.
type Output interface {
	// SendGossip sends a message, which the machine does not use afterwards.
	SendGossip(to netip.AddrPort, m *Message)
	// FetchMembers asks a peer for a page of its members. The answer comes back through ReceiveMembers; without an
	// answer, or after a nil answer, the machine asks again.
	FetchMembers(from netip.AddrPort, r MembersRequest)
	// SetView publishes the new view.
	SetView(v *member.View)
	// OfferTables tells that a peer has a higher table version in force.
	OfferTables(from member.Host, version uint64)
}

// Config describes the process.
type Config struct {
	ID             string
	FailureDomain  string
	Address        netip.AddrPort
	Incarnation    member.Incarnation // random and not 0
	StartedAt      time.Time
	BytesPerSecond int // of gossip datagrams, with their headers; 0 means DefaultBytesPerSecond
}

// Stats counts events since the start.
type Stats struct {
	Suspicions  uint64 // members that became suspect here
	Deaths      uint64 // members that became dead here
	Refutations uint64 // wrong opinions on this process that it overruled
	Pauses      uint64 // pauses of this process
	OverBudget  uint64 // messages that were not sent because of the byte budget
	Bytes       uint64 // bytes charged to the budget
	Messages    uint64 // messages sent
}

// Machine is the state machine. It is not safe for concurrent use.
type Machine struct {
	out    Output
	random *rand.Rand
	self   member.Host
	now    time.Time // machine time, see maxStep
	ticked time.Time // real time of the last Tick

	records      map[member.Incarnation]*record
	places       map[place]*record // newest incarnation of each ID and address
	sorted       []*record         // by ID and incarnation
	near         []*record         // reachable, own failure domain
	far          []*record         // reachable, other failure domains
	othersDigest uint64            // of the reachable members in near and far
	suspects     []*record
	dead         []*record // dead and left, in order of the time
	former       former
	hints        []netip.AddrPort

	queue     []*change
	order     uint64    // of the newest change
	heard     []*record // members that sent a message themselves, a ring
	heardNext int
	limiter   *rate.Limiter

	probe     probe
	probeList []*record
	sequence  uint64
	relays    []relay
	heal      []netip.AddrPort
	fetch     fetch
	agreement agreement

	nextProbe, nextGossip, nextHeal, nextSuggested, nextView, youngUntil, settled time.Time

	tableVersion  uint64
	announceTable bool
	announceSelf  bool
	departed      bool
	dirty         bool
	version       uint64
	stats         Stats
}

// New builds a machine and publishes its first view, which holds the process itself alone.
func New(c Config, now time.Time, random *rand.Rand, out Output) *Machine {
	bytes := c.BytesPerSecond
	if bytes == 0 {
		bytes = DefaultBytesPerSecond
	}
	bytes = max(bytes, MinBytesPerSecond)
	// Machine time may catch up by maxStep between two sends at one real time. The bucket is smaller by the bytes of that
	// time, so that never more than the bytes of one second are sent at once.
	m := &Machine{
		out:    out,
		random: random,
		self: member.Host{
			ID: c.ID, FailureDomain: c.FailureDomain, Incarnation: c.Incarnation, Address: c.Address,
			StartedAt: c.StartedAt.UnixMilli(),
		},
		now:     now,
		ticked:  now,
		records: make(map[member.Incarnation]*record),
		places:  make(map[place]*record),
		former:  former{hosts: make(map[member.Incarnation]member.Host)},
		limiter: rate.NewLimiter(rate.Limit(bytes), bytes-int(maxStep*time.Duration(bytes)/time.Second)),
	}
	m.nextProbe = now.Add(time.Duration(random.Int64N(int64(ProbePeriod))))
	m.nextGossip, m.nextHeal = now, now
	m.announceSelf = true
	m.fetch = fetch{wanted: true, started: now}
	m.agreement.ends, m.youngUntil = now.Add(youngWindow), now.Add(youngTime)
	m.publish()
	return m
}

// Stats returns the counters.
func (m *Machine) Stats() Stats { return m.stats }

// Self returns the process as announced to others.
func (m *Machine) Self() member.Host { return m.self }

// SetHints replaces the addresses at which other balancers may be found: the seeds from the settings and the
// platform's host list. They are only hints and need not be complete or current.
func (m *Machine) SetHints(seeds, hosts []netip.AddrPort) {
	m.hints = m.hints[:0]
	for _, list := range [][]netip.AddrPort{seeds, hosts} {
		for _, a := range list {
			if a.IsValid() && a != m.self.Address && len(m.hints) < MaxMembers {
				m.hints = append(m.hints, a)
			}
		}
	}
}

// SetTableVersion sets the table version in force here. A higher version is announced at the next Tick.
func (m *Machine) SetTableVersion(version uint64) {
	if version > m.tableVersion {
		m.tableVersion = version
		m.announceTable = true
	}
}

// Leave marks the process as leaving: it owns no pool shard from now on and still answers.
func (m *Machine) Leave() {
	if m.self.State != member.StateAlive {
		return
	}
	m.setSelf(member.StateLeaving)
}

// Depart marks the process as left, tells some members at once and stops the machine. The process must not serve
// afterwards, since left is final.
func (m *Machine) Depart() {
	if m.departed {
		return
	}
	m.setSelf(member.StateLeft)
	for _, r := range m.randomMembers(versionFanout, nil) {
		m.send(r.host.Address, &Message{Kind: KindAnnounce}, r, priorityProbe)
	}
	m.departed = true
	m.publish()
}

func (m *Machine) setSelf(s member.State) {
	m.self.State = s
	m.self.Refutation++
	m.announceSelf = true
	m.dirty = true
}

// Tick advances the machine to the time now. It should be called several times per AckTimeout.
func (m *Machine) Tick(now time.Time) {
	m.advance(now)
	if m.departed {
		return
	}
	m.expireSuspects()
	m.expireDead()
	m.tickProbe()
	m.tickHeal()
	m.tickGossip()
	m.tickAgreement()
	m.tickFetch()
	if m.dirty && !m.now.Before(m.nextView) {
		m.publish()
	}
}

func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.ticked)
	m.ticked = now
	if gap <= 0 {
		return
	}
	m.now = m.now.Add(min(gap, maxStep))
	if gap < pauseLimit {
		return
	}
	// Opinions in the queue, and in messages that waited for this process, may be old. They are not passed on, because
	// the others would take them for news.
	m.stats.Pauses++
	m.settled = m.now.Add(settleTime)
	m.queue = m.queue[:0]
	for _, r := range m.records {
		r.queued, r.isHeard = nil, false
	}
	m.heard, m.heardNext = m.heard[:0], 0
	m.announceSelf = true // others may hold this process dead and then answer so
	if gap > DeadMemory && !m.fetch.wanted {
		m.fetch = fetch{wanted: true, done: true, started: m.now}
	}
}

// publish builds a view. Rebuilds are spaced by viewCostPerMember, so that they take a bounded share of a core while a
// whole failure domain is lost.
func (m *Machine) publish() {
	const viewCostPerMember = 20 * time.Microsecond
	hosts := make([]member.Host, 0, len(m.sorted)+1)
	placed := false
	for _, r := range m.sorted {
		if !placed && compareHosts(m.self, r.host) < 0 {
			hosts = append(hosts, m.self)
			placed = true
		}
		hosts = append(hosts, r.host)
	}
	if !placed {
		hosts = append(hosts, m.self)
	}
	m.version++
	m.dirty = false
	m.nextView = m.now.Add(time.Duration(len(hosts)) * viewCostPerMember)
	m.out.SetView(member.NewView(m.version, m.self, hosts))
}
