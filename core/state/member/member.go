// Package member describes the balancers that a process knows: their hosts, incarnations and states.
//
// # Usage
//
// core/coordination/membership builds a new View whenever the local membership list changes. Readers load the current
// View and use it without a lock, since a View never changes after it was built. Views of different balancers may
// differ at any time; no code may assume that they agree.
package member

import (
	"net/netip"
	"slices"
	"strings"
)

// Incarnation identifies one run of a balancer process. It is random, so that a process that restarts on the same
// address counts as a different member.
type Incarnation uint64

// State is the state of a member as this process sees it. Other processes may see another one.
type State uint8

// The states. A suspect member still owns its pool shards; a leaving, left or dead member does not.
const (
	StateAlive State = iota
	StateSuspect
	StateLeaving
	StateLeft
	StateDead
	StateCount
)

var stateNames = [StateCount]string{"alive", "suspect", "leaving", "left", "dead"}

// String returns the name of the state as used in status objects and logs.
func (s State) String() string {
	if s >= StateCount {
		return "invalid"
	}
	return stateNames[s]
}

// Host is one member.
type Host struct {
	ID            string // name from the settings
	FailureDomain string
	Incarnation   Incarnation
	Address       netip.AddrPort // UDP and TCP address for other balancers
	State         State
	Refutation    uint32 // incremented by the member itself to refute a wrong state that others hold for it
	StartedAt     int64  // start of the process, Unix time in ms; orders processes with the same ID and address
	Weight        uint8  // fitness for duties such as reading the store, 1 to FullWeight; 0 counts as FullWeight
}

// FullWeight is the weight of a host that is fit for all duties.
const FullWeight = 100

// DutyWeight returns the weight of the host for duties that some members do for others.
func (h Host) DutyWeight() uint8 {
	if h.Weight == 0 || h.Weight > FullWeight {
		return FullWeight
	}
	return h.Weight
}

// CanOwn reports whether the member may own pool shards.
func (h Host) CanOwn() bool { return h.State == StateAlive || h.State == StateSuspect }

// IsReachable reports whether the member is expected to receive packets: it may own shards, or it is leaving.
func (h Host) IsReachable() bool { return h.CanOwn() || h.State == StateLeaving }

// View is an immutable snapshot of the membership.
type View struct {
	Version       uint64 // increases with each change; counted by this process alone
	Self          Host
	Hosts         []Host // sorted by ID, then incarnation; includes Self
	byIncarnation map[Incarnation]int
}

// NewView builds a view. It sorts hosts in place and retains the slice.
func NewView(version uint64, self Host, hosts []Host) *View {
	slices.SortFunc(hosts, func(a, b Host) int {
		if c := strings.Compare(a.ID, b.ID); c != 0 {
			return c
		}
		switch {
		case a.Incarnation < b.Incarnation:
			return -1
		case a.Incarnation > b.Incarnation:
			return 1
		}
		return 0
	})
	v := &View{Version: version, Self: self, Hosts: hosts, byIncarnation: make(map[Incarnation]int, len(hosts))}
	for i, h := range hosts {
		v.byIncarnation[h.Incarnation] = i
	}
	return v
}

// Lookup returns the member with an incarnation.
func (v *View) Lookup(inc Incarnation) (Host, bool) {
	i, ok := v.byIncarnation[inc]
	if !ok {
		return Host{}, false
	}
	return v.Hosts[i], true
}
