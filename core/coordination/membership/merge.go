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

// hostKey identifies the host of a balancer. A process that starts later with the same key replaces the earlier one.
type hostKey struct {
	id      string
	address netip.AddrPort
}

func hostKeyOf(h member.Host) hostKey { return hostKey{id: h.ID, address: h.Address} }

// record is the local state of another member.
type record struct {
	host           member.Host
	stateSince     time.Time // time of the last change of state
	unresponsive   bool      // leaving, and did not answer a probe; expires like a suspect, but is not announced as one
	inSuspects     bool      // is in Machine.suspects
	index          int       // in Machine.sameDomain or Machine.otherDomains while reachable, otherwise -1
	queued         *change   // pending change, or nil
	lastMessageAt  time.Time // time of the last message from the member itself
	isRecentSender bool      // is in Machine.recentSenders
	listedAt       time.Time // last time in a page of a full list
	suspectedHere  bool      // suspect because a probe of this process failed
	pingedAt       time.Time // last ping to the member while suspectedHere
}

// source tells how a record of a member reached this process.
type source uint8

const (
	sourceGossip source = iota // new members and changes are passed on
	// Of a page of a member list, only the end of a known member is passed on. Other records may be outdated, because
	// the peer was paused, and would revive a member that has stopped since. A new member is passed on as a recent
	// sender once it has answered a probe.
	sourceMemberList
)

func compareHosts(a, b member.Host) int {
	if c := strings.Compare(a.ID, b.ID); c != 0 {
		return c
	}
	return cmp.Compare(a.Incarnation, b.Incarnation)
}

// startedLater reports whether a replaces b, which has the same ID and address. Equal start times are decided by the
// incarnation.
func startedLater(a, b member.Host) bool {
	if a.StartedAt != b.StartedAt {
		return a.StartedAt > b.StartedAt
	}
	return a.Incarnation > b.Incarnation
}

func isGone(s member.State) bool { return s == member.StateDead || s == member.StateLeft }

// overrides reports whether record a takes precedence over record b of the same incarnation.
func overrides(a, b member.Host) bool {
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

// merge applies a received record of any member, including this process itself.
func (m *Machine) merge(h member.Host, from source) {
	if h.Incarnation == m.self.Incarnation {
		m.mergeSelf(h)
		return
	}
	if hostKeyOf(h) == hostKeyOf(m.self) {
		m.mergeOwnHostKey(&h)
	}
	known := m.recordOf(h.Incarnation)
	if known != nil && known.host.Weight == 0 && h.Weight != 0 && h.Refutation == known.host.Refutation {
		known.host.Weight = h.Weight // a member of an earlier version passed the record on without it
		m.dirty = true
	}
	switch {
	case known == nil:
		m.add(h, from)
	case isGone(known.host.State) && !isGone(h.State) &&
		(from == sourceMemberList || h.State == member.StateSuspect || !overrides(h, known.host)):
		// A gone member is not revived by a member list or a suspicion, even with a higher refutation number. The
		// member may be alive on the other side of a partition, or the record of the peer may be outdated. A ping
		// decides.
		if known.host.State == member.StateDead && m.now.Sub(known.stateSince) > SuspectTimeout {
			m.addHealAddress(h.Address)
		}
	case !overrides(h, known.host):
	case m.records[h.Incarnation] == nil:
		m.add(h, from)
	default:
		m.update(known, h)
		if from == sourceMemberList && !isGone(known.host.State) {
			m.dequeue(known)
		}
	}
}

// mergeSelf refutes a wrong record of this process by raising the refutation number above it.
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

// mergeOwnHostKey marks a record of another incarnation with the ID and address of this process dead: that process must
// be gone, since this one is bound to the address. If its start time is later, the host's clock was set back, and this
// process sets its own start time after it, since the others take the later process for the current one, also while it
// is dead or left.
func (m *Machine) mergeOwnHostKey(h *member.Host) {
	if startedLater(*h, m.self) && h.StartedAt < math.MaxInt64 {
		m.self.StartedAt = h.StartedAt + 1
		m.self.Refutation++
		m.announceSelf = true
		m.dirty = true
	}
	if !isGone(h.State) {
		h.State = member.StateDead
	}
}

// add creates the record of an unknown incarnation.
func (m *Machine) add(h member.Host, from source) {
	if len(m.records) >= MaxMembers || isGone(h.State) && len(m.dead) >= maxDead {
		return
	}
	current := m.newestByKey[hostKeyOf(h)]
	if current != nil && !startedLater(h, current.host) {
		return // an earlier process with the same ID and address
	}
	delete(m.former.hosts, h.Incarnation)
	r := &record{host: h, index: -1, stateSince: m.now}
	m.records[h.Incarnation] = r
	m.newestByKey[hostKeyOf(h)] = r
	at, _ := slices.BinarySearchFunc(m.sorted, h, func(r *record, h member.Host) int { return compareHosts(r.host, h) })
	m.sorted = slices.Insert(m.sorted, at, r)
	m.dirty = true
	if current != nil && !isGone(current.host.State) {
		m.setState(current, member.StateDead)
	}
	m.addToLists(r)
	// An unknown member that is gone is recorded, so that outdated gossip cannot revive it, but it is not passed on:
	// otherwise members that forget a death and learn of it again could send it to each other without end.
	if !isGone(h.State) && from != sourceMemberList {
		m.enqueue(r)
	}
	if !isGone(h.State) {
		m.addToProbeList(r)
	}
}

// update applies a record that takes precedence over the one of a known member.
func (m *Machine) update(r *record, h member.Host) {
	wasGone := isGone(r.host.State)
	if h.Weight != 0 || h.Refutation != r.host.Refutation {
		r.host.Weight = h.Weight
	}
	r.host.Refutation = h.Refutation
	r.host.StartedAt = h.StartedAt
	key := hostKeyOf(r.host)
	current := m.newestByKey[key]
	switch {
	case current == r || current == nil:
		m.newestByKey[key] = r
	case startedLater(r.host, current.host):
		m.newestByKey[key] = r
		if !isGone(current.host.State) {
			m.setState(current, member.StateDead)
		}
	case !isGone(h.State):
		h.State = member.StateDead // a later process runs with the same ID and address
	}
	m.setState(r, h.State)
	if wasGone && !isGone(r.host.State) {
		m.addToProbeList(r)
	}
}

// setState changes the state of a record and queues the change for sending.
func (m *Machine) setState(r *record, s member.State) {
	was := r.host.State
	m.removeFromLists(r)
	r.host.State = s
	r.stateSince = m.now
	r.unresponsive, r.suspectedHere = false, false
	m.dirty = true
	if s == member.StateDead && was != s {
		m.stats.Deaths++
	}
	m.addToLists(r)
	m.enqueue(r)
}

// addToLists adds a record to the lists that its state belongs to.
func (m *Machine) addToLists(r *record) {
	switch r.host.State {
	case member.StateDead, member.StateLeft:
		m.dead = append(m.dead, r)
		return
	case member.StateSuspect:
		m.addSuspect(r)
	}
	list := m.reachableListOf(r)
	m.othersDigest ^= digestOf(r.host)
	r.index = len(*list)
	*list = append(*list, r)
}

// removeFromLists removes a record from the dead or reachable members. It stays in Machine.suspects until
// expireSuspects drops records that are no longer suspect.
func (m *Machine) removeFromLists(r *record) {
	if isGone(r.host.State) {
		if at := slices.Index(m.dead, r); at >= 0 {
			m.dead = slices.Delete(m.dead, at, at+1)
		}
	}
	if r.index < 0 {
		return
	}
	list := m.reachableListOf(r)
	last := len(*list) - 1
	(*list)[r.index] = (*list)[last]
	(*list)[r.index].index = r.index
	*list = (*list)[:last]
	r.index = -1
	m.othersDigest ^= digestOf(r.host)
}

func (m *Machine) reachableListOf(r *record) *[]*record {
	if r.host.FailureDomain == m.self.FailureDomain {
		return &m.sameDomain
	}
	return &m.otherDomains
}

func (m *Machine) addSuspect(r *record) {
	if !r.inSuspects {
		r.inSuspects = true
		m.suspects = append(m.suspects, r)
	}
}

// expireSuspects declares members dead that did not refute the suspicion within SuspectTimeout, and pings the others.
func (m *Machine) expireSuspects() {
	kept := m.suspects[:0]
	var expired []*record
	for _, r := range m.suspects {
		switch {
		case r.host.State != member.StateSuspect && !r.unresponsive:
			r.inSuspects = false
		case m.now.Sub(r.stateSince) >= SuspectTimeout:
			r.inSuspects = false
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

// expireDead forgets members that have been gone for DeadMemory, and the longest gone if there are more than maxDead.
func (m *Machine) expireDead() {
	drop := 0
	for drop < len(m.dead) && (m.now.Sub(m.dead[drop].stateSince) >= DeadMemory || len(m.dead)-drop > maxDead) {
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
	if m.newestByKey[hostKeyOf(r.host)] == r {
		delete(m.newestByKey, hostKeyOf(r.host))
	}
	if at := slices.Index(m.sorted, r); at >= 0 {
		m.sorted = slices.Delete(m.sorted, at, at+1)
	}
	m.dequeue(r)
	m.dirty = true
	m.former.add(r.host)
}
