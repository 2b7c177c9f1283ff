package configuration

import (
	"slices"

	"cornellb/core/state/member"
)

// Status is what a reader reports on its failure domain.
type Status struct {
	FailureDomain string
	Members       []MemberStatus // sorted by host ID and incarnation
}

// MemberStatus describes one member as its reader sees it.
type MemberStatus struct {
	Host    member.Host
	Version uint64           // last announced version in force; 0 if none is known
	Refused []RefusedVersion // of the reader itself; gossip does not carry those of other members
	IsSelf  bool
}

// Status returns the state of the own failure domain.
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
