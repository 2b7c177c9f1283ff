package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"cornellb/core/state/member"
)

// place is where a host runs its balancer. A later process at the same place replaces the earlier one.
type place struct {
	id      string
	address netip.AddrPort
}

func placeOf(h member.Host) place { return place{id: h.ID, address: h.Address} }

// record is what the machine knows of another member.
type record struct {
	host      member.Host
	since     time.Time // time of the last change of state
	doubtful  bool      // leaving and without an ack; counted as suspect by this process alone
	suspected bool      // is in Machine.suspects
	index     int       // in Machine.near or Machine.far while reachable, otherwise -1
	queued    *change   // pending change, or nil
	heardAt   time.Time // time of the last message from the member itself
	isHeard   bool      // is in Machine.heard
	listedAt  time.Time // last time in a page of a full list
	isOwn     bool      // this process itself found the member suspect
	pingedAt  time.Time // last ping to a member that this process itself found suspect
}

// source tells how an opinion reached this process.
type source uint8

const (
	sourceGossip source = iota // passed on to others
	sourceJoin                 // page of the first full list; everybody else knows it
)

func compareHosts(a, b member.Host) int {
	if c := strings.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// startedLater reports whether a replaces b at the same place.
func startedLater(a, b member.Host) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return a.Incarnation > b.Incarnation
}

func isGone(s member.State) bool { return s == member.StateDead || s == member.StateLeft }

// overrules reports whether opinion a replaces opinion b on the same incarnation.
func overrules(a, b member.Host) bool {
	switch {
	case b.State == member.StateLeft:
		return false
	case a.State == member.StateLeft:
		return true
	case a.Refutation != b.Refutation:
		return a.Refutation > b.Refutation
	}
	return a.State > b.State
}

// merge takes an opinion on any member.
func (m *Machine) merge(h member.Host, from source) {
	if h.Incarnation == m.self.Incarnation {
		m.mergeSelf(h)
		return
	}
	if placeOf(h) == placeOf(m.self) && !m.replaceAtOwnPlace(&h) {
		return
	}
	known := m.opinionOn(h.Incarnation)
	switch {
	case known == nil:
		m.add(h, from)
	case isGone(known.host.State) && !isGone(h.State) &&
		(from == sourceJoin || h.State == member.StateSuspect || !overrules(h, known.host)):
		// A list or a suspicion brings nobody back, even with a later refutation number. The member may be alive on the
		// other side of a partition, or the peer may hold an old opinion. A ping tells.
		if known.host.State == member.StateDead && m.now.Sub(known.since) > SuspectTimeout {
			m.suggestHeal(h.Address)
		}
	case !overrules(h, known.host):
	case m.records[h.Incarnation] == nil:
		m.add(h, from)
	default:
		m.update(known, h)
	}
}

// mergeSelf overrules a wrong opinion on this process.
func (m *Machine) mergeSelf(h member.Host) {
	if h.Refutation < m.self.Refutation || h.Refutation == math.MaxUint32 || m.departed ||
		h.Refutation == m.self.Refutation && h.State == m.self.State {
		return
	}
	m.self.Refutation = h.Refutation + 1
	m.stats.Refutations++
	m.announceSelf = true
	m.dirty = true
}

// replaceAtOwnPlace handles another incarnation with the ID and address of this process. That one must be gone, since
// this process holds the address. If its start time is later, the host's clock was set back, and this process claims a
// later start.
func (m *Machine) replaceAtOwnPlace(h *member.Host) bool {
	if !isGone(h.State) {
		if startedLater(*h, m.self) && h.StartedAt < math.MaxInt64 {
			m.self.StartedAt = h.StartedAt + 1
			m.self.Refutation++
			m.announceSelf = true
			m.dirty = true
		}
		h.State = member.StateDead
	}
	return true
}

// add creates the record of an unknown incarnation.
func (m *Machine) add(h member.Host, from source) {
	if len(m.records) >= MaxMembers || isGone(h.State) && len(m.dead) >= maxDead {
		return
	}
	current := m.places[placeOf(h)]
	if current != nil && !startedLater(h, current.host) {
		return // an earlier process of the same place
	}
	delete(m.former.hosts, h.Incarnation)
	r := &record{host: h, index: -1, since: m.now}
	m.records[h.Incarnation] = r
	m.places[placeOf(h)] = r
	at, _ := slices.BinarySearchFunc(m.sorted, h, func(r *record, h member.Host) int { return compareHosts(r.host, h) })
	m.sorted = slices.Insert(m.sorted, at, r)
	m.dirty = true
	if current != nil && !isGone(current.host.State) {
		m.setState(current, member.StateDead)
	}
	m.enter(r)
	// An unknown member that is gone is remembered, so that stale gossip cannot bring it back, but it is not passed on:
	// otherwise the news of a death could circulate for ever.
	if !isGone(h.State) && from != sourceJoin {
		m.enqueue(r)
	}
	if !isGone(h.State) {
		m.insertProbe(r)
	}
}

// update replaces the opinion on a known member.
func (m *Machine) update(r *record, h member.Host) {
	wasGone := isGone(r.host.State)
	r.host.Refutation = h.Refutation
	r.host.StartedAt = h.StartedAt
	p := placeOf(r.host)
	current := m.places[p]
	switch {
	case current == r || current == nil:
		m.places[p] = r
	case startedLater(r.host, current.host):
		m.places[p] = r
		if !isGone(current.host.State) {
			m.setState(current, member.StateDead)
		}
	case !isGone(h.State):
		h.State = member.StateDead // a later process runs at the same place
	}
	m.setState(r, h.State)
	if wasGone && !isGone(r.host.State) {
		m.insertProbe(r)
	}
}

// setState changes the state of a record and passes the change on.
func (m *Machine) setState(r *record, s member.State) {
	was := r.host.State
	m.withdraw(r)
	r.host.State = s
	r.since = m.now
	r.doubtful, r.isOwn = false, false
	m.dirty = true
	if s == member.StateDead && was != s {
		m.stats.Deaths++
	}
	m.enter(r)
	m.enqueue(r)
}

// enter puts a record into the lists of its state.
func (m *Machine) enter(r *record) {
	switch r.host.State {
	case member.StateDead, member.StateLeft:
		m.dead = append(m.dead, r)
		return
	case member.StateSuspect:
		m.addSuspect(r)
	}
	list := m.listOf(r)
	m.othersDigest ^= digestOf(r.host)
	r.index = len(*list)
	*list = append(*list, r)
}

// withdraw removes a record from the list of its state. Machine.suspects skips records that are no longer suspect.
func (m *Machine) withdraw(r *record) {
	if isGone(r.host.State) {
		if at := slices.Index(m.dead, r); at >= 0 {
			m.dead = slices.Delete(m.dead, at, at+1)
		}
	}
	if r.index < 0 {
		return
	}
	list := m.listOf(r)
	last := len(*list) - 1
	(*list)[r.index] = (*list)[last]
	(*list)[r.index].index = r.index
	*list = (*list)[:last]
	r.index = -1
	m.othersDigest ^= digestOf(r.host)
}

func (m *Machine) listOf(r *record) *[]*record {
	if r.host.FailureDomain == m.self.FailureDomain {
		return &m.near
	}
	return &m.far
}

func (m *Machine) addSuspect(r *record) {
	if !r.suspected {
		r.suspected = true
		m.suspects = append(m.suspects, r)
	}
}

// expireSuspects declares members dead that did not refute in time.
func (m *Machine) expireSuspects() {
	kept := m.suspects[:0]
	var expired []*record
	for _, r := range m.suspects {
		switch {
		case r.host.State != member.StateSuspect && !r.doubtful:
			r.suspected = false
		case m.now.Sub(r.since) >= SuspectTimeout:
			r.suspected = false
			expired = append(expired, r)
		default:
			kept = append(kept, r)
			m.pingSuspect(r)
		}
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
	for _, r := range expired {
		m.setState(r, member.StateDead)
	}
}

// expireDead forgets members that have been gone for DeadMemory, and the oldest beyond maxDead.
func (m *Machine) expireDead() {
	drop := 0
	for drop < len(m.dead) && (m.now.Sub(m.dead[drop].since) >= DeadMemory || len(m.dead)-drop > maxDead) {
		m.forget(m.dead[drop])
		drop++
	}
	m.dead = slices.Delete(m.dead, 0, drop)
}

func (m *Machine) forget(r *record) {
	if m.records[r.host.Incarnation] != r {
		return
	}
	delete(m.records, r.host.Incarnation)
	if m.places[placeOf(r.host)] == r {
		delete(m.places, placeOf(r.host))
	}
	if at := slices.Index(m.sorted, r); at >= 0 {
		m.sorted = slices.Delete(m.sorted, at, at+1)
	}
	m.dequeue(r)
	m.dirty = true
	m.former.add(r.host)
}
