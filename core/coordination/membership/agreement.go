package membership

import (
	"math/bits"
	"time"

	"cornellb/core/state/member"
)

const (
	agreementWindow = 10 * time.Second
	// startupPeriod is the process age below which startupWindow applies. When a whole group starts at once, the first
	// lists contain few members, whose byte budgets do not suffice for the pings of all others.
	startupPeriod = 30 * time.Second
	startupWindow = 2 * time.Second
	// largeGroup is the number of members above which the full member list takes many pages, and changes take some
	// seconds to reach all members.
	largeGroup         = 4 * PageHosts
	largeWindow        = 60 * time.Second
	maxWindowDoublings = 3 // after full lists that brought no unknown member
)

// agreement compares the digest in received messages with the digest of the local set of reachable members. If the
// digests of most messages of a window differ, the process fetches the full member list: gossip alone may leave out a
// member when the byte budget is used up, for example when many members join at once.
type agreement struct {
	matching, differing int
	doublings           int
	windowEnd           time.Time
}

// digestOf returns the contribution of one member to the digest of a set of reachable members. The digest is the
// exclusive or of all contributions. Incarnations are random, so they need no hash.
func digestOf(h member.Host) uint64 {
	switch h.State {
	case member.StateAlive, member.StateSuspect:
		return uint64(h.Incarnation)
	case member.StateLeaving:
		return bits.RotateLeft64(uint64(h.Incarnation), 1)
	}
	return 0
}

func (m *Machine) digest() uint64 { return m.othersDigest ^ digestOf(m.self) }

func (a *agreement) count(isSame bool) {
	if isSame {
		a.matching++
	} else {
		a.differing++
	}
}

// fullListFetched doubles the window after a full member list without an unknown member, so that a process with a
// complete set among others with incomplete ones fetches few lists.
func (a *agreement) fullListFetched(foundUnknown bool) {
	if foundUnknown {
		a.doublings = 0
	} else {
		a.doublings = min(a.doublings+1, maxWindowDoublings)
	}
}

func (m *Machine) tickAgreement() {
	a := &m.agreement
	if m.now.Before(a.windowEnd) {
		return
	}
	switch {
	case a.differing > a.matching && !m.fetch.wanted:
		m.fetch = fetch{wanted: true, started: m.now}
	case a.differing <= a.matching:
		a.doublings = 0
	}
	window := agreementWindow
	switch {
	case len(m.sorted) > largeGroup:
		window = largeWindow
	case m.now.Before(m.startupUntil):
		window = startupWindow
	}
	jitter := time.Duration(m.random.Int64N(int64(window / 2)))
	a.windowEnd = m.now.Add(window<<a.doublings + jitter)
	a.matching, a.differing = 0, 0
}
