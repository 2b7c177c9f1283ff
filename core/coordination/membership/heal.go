package membership

import (
	"net/netip"
	"slices"

	"cornellb/core/state/member"
)

// isolatedPings is the number of pings to unreachable addresses that a process without any reachable member tries to
// send in each probe period.
const isolatedPings = 3

// tickHeal pings addresses that belong to no reachable member, so that the sides of a partition find each other again.
// The ping names no incarnation and carries the last record of the member at that address, which that member refutes.
func (m *Machine) tickHeal() {
	if len(m.healAddresses) > 0 && !m.now.Before(m.nextHealAddress) && m.pingAddress(m.healAddresses[0]) {
		m.healAddresses = m.healAddresses[1:]
		m.nextHealAddress = m.now.Add(GossipInterval)
	}
	if m.now.Before(m.nextHeal) {
		return
	}
	isAlone := len(m.sameDomain)+len(m.otherDomains) == 0
	if !isAlone {
		m.nextHeal = m.now.Add(healInterval)
		m.pingHealCandidate()
		return
	}
	m.nextHeal = m.now.Add(ProbePeriod)
	for range isolatedPings {
		m.pingHealCandidate()
	}
}

// pingHealCandidate pings a random dead member, forgotten dead member or hint. Each kind is picked in a third of the
// cases; a hint replaces a kind that has no members. Up to 3 picks are made if the address is that of a reachable
// member.
func (m *Machine) pingHealCandidate() {
	for range 3 {
		var a netip.AddrPort
		switch k := m.random.IntN(3); {
		case k == 0 && len(m.dead) > 0:
			a = m.dead[m.random.IntN(len(m.dead))].host.Address
		case k == 1 && len(m.former.order) > 0:
			if h := m.former.hosts[m.former.order[m.random.IntN(len(m.former.order))]]; h.State == member.StateDead {
				a = h.Address
			}
		case len(m.hints) > 0:
			a = m.hints[m.random.IntN(len(m.hints))]
		}
		if a.IsValid() && a != m.self.Address && !m.isReachableAddress(a) {
			m.pingAddress(a)
			return
		}
	}
}

func (m *Machine) pingAddress(a netip.AddrPort) bool {
	m.sequence++
	return m.send(a, &Message{Kind: KindPing, Sequence: m.sequence}, m.goneRecordAt(a), priorityChange)
}

// goneRecordAt returns the newest record of a dead or left member at an address, or nil.
func (m *Machine) goneRecordAt(a netip.AddrPort) *record {
	for _, r := range slices.Backward(m.dead) {
		if r.host.Address == a {
			return r
		}
	}
	for _, i := range slices.Backward(m.former.order) {
		if h := m.former.hosts[i]; h.Address == a {
			return &record{host: h, index: -1}
		}
	}
	return nil
}

func (m *Machine) isReachableAddress(a netip.AddrPort) bool {
	return slices.ContainsFunc(m.sorted, func(r *record) bool { return r.index >= 0 && r.host.Address == a })
}

// addHealAddress queues a ping to the address of a member that another member reports as reachable while it is dead in
// this process.
func (m *Machine) addHealAddress(a netip.AddrPort) {
	if len(m.healAddresses) < maxHealAddresses && !slices.Contains(m.healAddresses, a) {
		m.healAddresses = append(m.healAddresses, a)
	}
}

// formerMembers keeps the last records of dead and left members that are no longer in the view.
type formerMembers struct {
	hosts map[member.Incarnation]member.Host
	order []member.Incarnation // oldest first; may contain a member that has rejoined and is no longer in hosts
}

// add moves a member that rejoined since to the end of the order, since its old position would drop the new record.
func (f *formerMembers) add(h member.Host) {
	if at := slices.Index(f.order, h.Incarnation); at >= 0 {
		f.order = slices.Delete(f.order, at, at+1)
	}
	f.hosts[h.Incarnation] = h
	f.order = append(f.order, h.Incarnation)
	if len(f.order) > maxFormerMembers {
		delete(f.hosts, f.order[0])
		f.order = f.order[1:]
	}
}

// recordOf returns the record of an incarnation, also if it is known only from formerMembers, or nil.
func (m *Machine) recordOf(i member.Incarnation) *record {
	if r := m.records[i]; r != nil {
		return r
	}
	if h, ok := m.former.hosts[i]; ok {
		return &record{host: h, index: -1}
	}
	return nil
}
