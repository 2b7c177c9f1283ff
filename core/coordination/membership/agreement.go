package membership

import (
	"math/bits"
	"time"

	"cornellb/core/state/member"
)

const (
	agreementWindow = 10 * time.Second
	// youngTime is the age below which a process uses youngWindow. When a whole group starts at once, the first lists
	// hold few members, whose byte budgets do not suffice for the pings of all others.
	youngTime   = 30 * time.Second
	youngWindow = 2 * time.Second
	// largeGroup is the number of members above which the full list takes many pages, and news some seconds.
	largeGroup      = 4 * PageHosts
	largeWindow     = 60 * time.Second
	agreementDouble = 3 // doublings of the window after lists without news
)

// agreement counts how many messages came from members with the same set of reachable members. If most senders have
// another set than this process for a whole window, the process reads a full list: gossip alone may leave out a member
// when the byte budget is used up, for example when many members join at once.
type agreement struct {
	same, other int
	doublings   int
	ends        time.Time
}

// digestOf is the share of one member in the digest of a set of reachable members, which is the exclusive or of all.
// Incarnations are random, so they need no hash.
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
		a.same++
	} else {
		a.other++
	}
}

// listed lengthens the window after a full list without news, so that a process with a complete set among others with
// incomplete ones reads few lists.
func (a *agreement) listed(hasNews bool) {
	if hasNews {
		a.doublings = 0
	} else {
		a.doublings = min(a.doublings+1, agreementDouble)
	}
}

func (m *Machine) tickAgreement() {
	a := &m.agreement
	if m.now.Before(a.ends) {
		return
	}
	switch {
	case a.other > a.same && !m.fetch.wanted:
		m.fetch = fetch{wanted: true, done: true, started: m.now}
	case a.other <= a.same:
		a.doublings = 0
	}
	window := agreementWindow
	switch {
	case len(m.sorted) > largeGroup:
		window = largeWindow
	case m.now.Before(m.youngUntil):
		window = youngWindow
	}
	jitter := time.Duration(m.random.Int64N(int64(window / 2)))
	a.ends = m.now.Add(window<<a.doublings + jitter)
	a.same, a.other = 0, 0
}
