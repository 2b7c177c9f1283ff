package membership

import (
	"net/netip"
	"slices"

	"cornellb/core/state/member"
)

// hintTries is the number of hint addresses that a process without any reachable member pings in each period.
const hintTries = 3

// tickHeal pings addresses that belong to no reachable member, so that the sides of a partition find each other again.
// The ping names no incarnation and carries the opinion on the member last seen there, which that member overrules.
func (m *Machine) tickHeal() {
	if len(m.heal) > 0 && !m.now.Before(m.nextSuggested) && m.pingAddress(m.heal[0]) {
		m.heal = m.heal[1:]
		m.nextSuggested = m.now.Add(GossipInterval)
	}
	if m.now.Before(m.nextHeal) {
		return
	}
	isAlone := len(m.near)+len(m.far) == 0
	if !isAlone {
		m.nextHeal = m.now.Add(healInterval)
		m.pingCandidate()
		return
	}
	m.nextHeal = m.now.Add(ProbePeriod)
	for range hintTries {
		m.pingCandidate()
	}
}

// pingCandidate pings a dead member, the address of a forgotten one, or a hint, each in a third of the cases.
func (m *Machine) pingCandidate() {
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
	return m.send(a, &Message{Kind: KindPing, Sequence: m.sequence}, m.deadAt(a), priorityChange)
}

// deadAt returns the newest record of a member at an address that is gone, or nil.
func (m *Machine) deadAt(a netip.AddrPort) *record {
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

// suggestHeal asks for a ping to a member that somebody else holds alive and this process holds dead.
func (m *Machine) suggestHeal(a netip.AddrPort) {
	if len(m.heal) < maxHeal && !slices.Contains(m.heal, a) {
		m.heal = append(m.heal, a)
	}
}

// former remembers members that are gone and no longer in the view.
type former struct {
	hosts map[member.Incarnation]member.Host
	order []member.Incarnation // oldest first; may name a member that came back
}

func (f *former) add(h member.Host) {
	f.hosts[h.Incarnation] = h
	f.order = append(f.order, h.Incarnation)
	if len(f.order) > maxFormer {
		delete(f.hosts, f.order[0])
		f.order = f.order[1:]
	}
}

// opinionOn returns what is known of an incarnation, or nil.
func (m *Machine) opinionOn(i member.Incarnation) *record {
	if r := m.records[i]; r != nil {
		return r
	}
	if h, ok := m.former.hosts[i]; ok {
		return &record{host: h, index: -1}
	}
	return nil
}
