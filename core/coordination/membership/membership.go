// Package membership keeps the list of balancers by SWIM-style gossip, as a state machine without sockets, goroutines,
// wall clock or global random source.
//
// # Usage
//
// New builds a Machine for one process. The caller delivers its inputs from one goroutine: Tick about every 50 ms,
// Receive for each gossip message, ReceiveMembers for each fetched member page, SetHints, SetTableVersion, Leave and
// Depart. It calls CheckPause before each input other than Tick. The machine calls Output with messages to send, a new
// immutable member.View after a change, member pages to fetch, and peers that have newer tables. PageOf serves the
// member pages that other processes fetch; it reads a View and may run on any goroutine.
//
// A View contains dead and left members for DeadMemory, so that readers can tell a member that is gone from one that
// was never known. Readers use Host.CanOwn and Host.IsReachable. After that time the machine keeps the last
// maxFormerMembers of them outside the view, because a process that was paused for longer may still report them alive,
// and because a partition may last for an hour.
//
// # Rules
//
// A member is identified by its incarnation. Of two records of one incarnation the one with the higher refutation
// number takes precedence; at an equal number the later state in the order alive, suspect, leaving, dead does. Left is
// final. Only the member itself raises its refutation number. Of two incarnations with the same ID and address the one
// that started later is the current one, and the other is dead.
//
// Time inside the machine advances by at most maxStep per Tick. After a pause of this process the other members
// therefore still have most of their time to answer, instead of being declared dead at once.
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
	DeadMemory     = 60 * time.Second // how long dead and left members stay in the view
	GossipInterval = 200 * time.Millisecond
	healInterval   = 5 * time.Second // between pings to addresses of no reachable member
	settleTime     = time.Second     // received changes are ignored for this time after a pause: they may be old
	maxStep        = 250 * time.Millisecond
	pauseLimit     = 2 * time.Second // this time or more between two ticks is a pause of this process
)

// Bounds of the state, and fan-outs.
const (
	DefaultBytesPerSecond = 4096
	MinBytesPerSecond     = 1024 // with fewer bytes the pings and acks of a member do not fit
	MaxMembers            = 32768
	maxDead               = 4096
	maxFormerMembers      = 4096 // kept after they left the view; about 1 MB
	maxRelays             = 256
	maxHealAddresses      = 64
	maxRecentSenders      = 64
	indirectProbes        = 3
	gossipFanout          = 3
	versionFanout         = 6 // if each member sends to this many, e^-6 of the members are missed; pings reach them
)

// Output receives what the machine produces. The machine calls it from within its own methods; the implementation must
// not call the machine and must not block.
type Output interface {
	// SendGossip sends a message. The implementation may keep the message; the machine no longer uses it.
	SendGossip(to netip.AddrPort, m *Message)
	// FetchMembers asks a peer for a page of its members. The caller passes the reply to ReceiveMembers, or nil if the
	// request failed. After a nil, or without any call, the machine asks again.
	FetchMembers(from netip.AddrPort, r MembersRequest)
	// SetView publishes the new view.
	SetView(v *member.View)
	// ReportNewerTables reports that a peer has a higher table version in force. The implementation may fetch it.
	ReportNewerTables(from member.Host, version uint64)
}

// Config describes the process.
type Config struct {
	ID             string
	FailureDomain  string
	Address        netip.AddrPort
	Incarnation    member.Incarnation // random and not 0
	StartedAt      time.Time
	Weight         uint8 // see member.Host
	BytesPerSecond int   // of gossip datagrams, with their headers; 0 means DefaultBytesPerSecond
}

// Stats counts events since the start of the machine.
type Stats struct {
	Suspicions  uint64 // members that this process suspected because its own probe failed
	Deaths      uint64 // known members whose state changed to dead in this process
	Refutations uint64 // wrong records of this process that it refuted
	Pauses      uint64 // pauses of this process
	OverBudget  uint64 // messages that were not sent because of the byte budget
	Bytes       uint64 // bytes charged to the budget
	Messages    uint64 // messages sent
}

// Machine is the state machine of one member. It is not safe for concurrent use.
type Machine struct {
	out      Output
	random   *rand.Rand
	self     member.Host
	now      time.Time // machine time, which advances by at most maxStep per Tick
	lastTick time.Time // real time of the last Tick, or of the last pause that CheckPause found

	records      map[member.Incarnation]*record
	newestByKey  map[hostKey]*record // the incarnation of each ID and address that started last
	sorted       []*record           // by ID and incarnation
	sameDomain   []*record           // reachable, own failure domain
	otherDomains []*record           // reachable, other failure domains
	othersDigest uint64              // of the members in sameDomain and otherDomains
	suspects     []*record
	dead         []*record // dead and left, the longest gone first
	former       formerMembers
	hints        []netip.AddrPort

	queue           []*change
	lastChangeOrder uint64    // change.order of the newest change
	recentSenders   []*record // ring of members whose own messages were received
	nextSender      int
	limiter         *rate.Limiter

	probe         probe
	probeList     []*record
	sequence      uint64
	relays        []relay
	healAddresses []netip.AddrPort
	fetch         fetch
	agreement     agreement

	// Machine times. Until settledAt, received changes of other members are ignored: they may be from before a pause.
	nextProbe, nextGossip, nextHeal, nextHealAddress, nextView, startupUntil, settledAt time.Time

	tableVersion  uint64
	announceTable bool // announce tableVersion at the next Tick
	announceSelf  bool // announce the own record at the next Tick
	departed      bool
	dirty         bool   // the list has changed since the last view
	version       uint64 // of the last view
	stats         Stats
}

// New builds a machine and publishes its first view, which contains only the process itself.
func New(c Config, now time.Time, random *rand.Rand, out Output) *Machine {
	bytes := c.BytesPerSecond
	if bytes == 0 {
		bytes = DefaultBytesPerSecond
	}
	bytes = max(bytes, MinBytesPerSecond)
	// Machine time may advance by maxStep between two sends that happen at the same real time. The bucket is smaller by
	// the bytes of that time, so that a burst never exceeds the bytes of one second.
	m := &Machine{
		out:    out,
		random: random,
		self: member.Host{
			ID: c.ID, FailureDomain: c.FailureDomain, Incarnation: c.Incarnation, Address: c.Address,
			StartedAt: c.StartedAt.UnixMilli(), Weight: c.Weight,
		},
		now:         now,
		lastTick:    now,
		records:     make(map[member.Incarnation]*record),
		newestByKey: make(map[hostKey]*record),
		former:      formerMembers{hosts: make(map[member.Incarnation]member.Host)},
		limiter:     rate.NewLimiter(rate.Limit(bytes), bytes-int(maxStep*time.Duration(bytes)/time.Second)),
	}
	m.nextProbe = now.Add(time.Duration(random.Int64N(int64(ProbePeriod))))
	m.nextGossip, m.nextHeal = now, now
	m.announceSelf = true
	m.fetch = fetch{wanted: true, started: now}
	m.agreement.windowEnd, m.startupUntil = now.Add(startupWindow), now.Add(startupPeriod)
	m.publish()
	return m
}

// Stats returns the event counts since the start of the machine.
func (m *Machine) Stats() Stats { return m.stats }

// Self returns the record of the process that it announces to others.
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

// SetTableVersion sets the table version in force in this process, unless it is lower than before. A higher version is
// announced at the next Tick.
func (m *Machine) SetTableVersion(version uint64) {
	if version > m.tableVersion {
		m.tableVersion = version
		m.announceTable = true
	}
}

// SetWeight changes the weight of this process for duties, and announces it.
func (m *Machine) SetWeight(weight uint8) {
	if weight == m.self.Weight {
		return
	}
	m.self.Weight = weight
	m.setSelfState(m.self.State)
}

// Leave marks the process as leaving: it owns no pool shards from now on, but stays reachable and answers pings.
func (m *Machine) Leave() {
	if m.self.State != member.StateAlive {
		return
	}
	m.setSelfState(member.StateLeaving)
}

// Depart marks the process as left, announces this to some members at once and stops the machine. The process must not
// serve afterwards, since left is final.
func (m *Machine) Depart() {
	if m.departed {
		return
	}
	m.setSelfState(member.StateLeft)
	for _, r := range m.randomMembers(versionFanout, nil) {
		m.send(r.host.Address, &Message{Kind: KindAnnounce}, r, priorityProbe)
	}
	m.departed = true
	m.publish()
}

func (m *Machine) setSelfState(s member.State) {
	m.self.State = s
	m.self.Refutation++
	m.announceSelf = true
	m.dirty = true
}

// Tick advances machine time towards now, by at most maxStep, and runs what is due. It should be called several times
// per AckTimeout.
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

// CheckPause must be called before each input other than Tick. After a pause of this process it drops outdated changes,
// so that the answers to messages that waited for the process do not carry them.
func (m *Machine) CheckPause(now time.Time) {
	if now.Sub(m.lastTick) >= pauseLimit {
		m.advance(now)
	}
}

func (m *Machine) advance(now time.Time) {
	gap := now.Sub(m.lastTick)
	m.lastTick = now
	if gap <= 0 {
		return
	}
	m.now = m.now.Add(min(gap, maxStep))
	if gap < pauseLimit {
		return
	}
	// Changes in the queue, and messages that waited for this process, may be outdated. They are not passed on, because
	// the other members would treat them as new.
	m.stats.Pauses++
	m.settledAt = m.now.Add(settleTime)
	m.queue = m.queue[:0]
	for _, r := range m.records {
		r.queued, r.isRecentSender = nil, false
	}
	m.recentSenders, m.nextSender = m.recentSenders[:0], 0
	m.announceSelf = true // others may have declared this process dead; they then say so in their answer
	if gap > DeadMemory && !m.fetch.wanted {
		m.fetch = fetch{wanted: true, started: m.now}
	}
}

// publish builds and publishes a view. The time between two rebuilds is at least viewCostPerMember for each member, so
// that rebuilds take a bounded share of a CPU core while a whole failure domain is lost.
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
