package configuration

import (
	"slices"

	"cornellb/core/state/member"
)

// Status is the state of a failure domain as one of its readers reports it.
type Status struct {
	FailureDomain string
	Members       []MemberStatus // sorted by host ID and incarnation
}

// MemberStatus describes one member of the failure domain from the local balancer's point of view.
type MemberStatus struct {
	Host    member.Host
	Version uint64           // version in force that the member announced last; 0 if unknown
	Refused []RefusedVersion // set for the local member only; gossip does not carry refused versions
	IsSelf  bool
}

// Status returns the state of the local failure domain. It is empty before the first view.
func (s *State) Status() Status {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.view == nil {
		return Status{}
	}
	st := Status{FailureDomain: s.view.Self.FailureDomain}
	for _, h := range s.view.Hosts {
		if h.FailureDomain != st.FailureDomain {
			continue
		}
		m := MemberStatus{Host: h, Version: s.peers.announced[h.Incarnation]}
		if h.Incarnation == s.view.Self.Incarnation {
			m.IsSelf, m.Version, m.Refused = true, s.version(), slices.Clone(s.refused)
		}
		st.Members = append(st.Members, m)
	}
	return st
}
