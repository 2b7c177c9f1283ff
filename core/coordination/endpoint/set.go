// Package endpoint holds what the owner of a pool shard knows about the shard's endpoints: how many slots are in use,
// how many may be used, and which endpoint takes the next request or feed.
//
// # Slots
//
// Slots are counted by the owner itself. An endpoint's window is the number of slots that may be used: at most the
// slots in the table, halved when the endpoint sheds, raised again with its answers, and limited by slow start while
// the endpoint is new, restarted or back from ejection. The load that an endpoint reports affects the choice of
// endpoints only until an attempt of this owner has ended there or reportValidity has passed; it never changes a
// window.
//
// # Usage
//
//	set := endpoint.New(endpoint.Config{}, random)
//	added, removed, leaving := set.Update(now, pool.Endpoints)
//	set.Up(now, address, incarnation)
//	if address, ok := set.Choose(now, netip.AddrPort{}); ok && set.Acquire(now, address) {
//		// run an attempt
//		set.Release(now, address, endpoint.AttemptAnswered)
//	}
//
// Each successful Acquire needs exactly one Release and each successful Pin exactly one Unpin, also after the endpoint
// was removed. A Set starts no goroutine, reads no clock and takes no lock: it is used under the lock of its shard.
// The times passed in must never decrease. NextWake returns when slots become free without any event.
package endpoint

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"time"

	"cornellb/core/state/table"
)

// Defaults of Config.
const (
	DefaultSlowStartStep = time.Second
	DefaultEjectAfter    = 5
	DefaultEjectBase     = 5 * time.Second
	DefaultEjectMax      = 60 * time.Second
)

// maxEjectedDivisor limits ejection to a third of the endpoints that are listed and not leaving: when more fail, they
// probably have a common cause, and the rest could not serve the load.
const maxEjectedDivisor = 3

// deprioritizedPause is the time between a failure of a deprioritized endpoint and its next work. It limits an endpoint
// that fails at once to about ten attempts a second, and is short enough to notice when it recovers.
const deprioritizedPause = 100 * time.Millisecond

// attemptsDecay is the time constant of the decay of recentAttempts, which decides ties. Without decay, an endpoint
// that was away for an hour would win every tie for an hour.
const attemptsDecay = 10 * time.Second

// Config holds the settings of a Set. Zero values stand for the defaults.
type Config struct {
	SlowStartStep time.Duration // time without failures after which an answer adds the next slot in slow start
	EjectAfter    int           // failures in a row after which an endpoint is ejected
	EjectBase     time.Duration // length of the first ejection; doubles with each further one
	EjectMax      time.Duration // largest length of an ejection
}

func (c *Config) setDefaults() {
	if c.SlowStartStep <= 0 {
		c.SlowStartStep = DefaultSlowStartStep
	}
	if c.EjectAfter <= 0 {
		c.EjectAfter = DefaultEjectAfter
	}
	if c.EjectBase <= 0 {
		c.EjectBase = DefaultEjectBase
	}
	if c.EjectMax <= 0 {
		c.EjectMax = DefaultEjectMax
	}
}

// Set is the set of endpoints of one pool shard.
type Set struct {
	config       Config
	random       *rand.Rand
	states       []*endpointState // in the order of addition, so that runs with one random source repeat exactly
	byAddress    map[netip.AddrPort]*endpointState
	decayedAt    time.Time           // when recentAttempts was last decayed
	wake         time.Time           // earliest end of an ejection or pause; zero without one
	leavingHosts map[netip.Addr]bool // marked as leaving by the host list
}

// New returns an empty set. random decides the last ties of Choose.
func New(c Config, random *rand.Rand) *Set {
	c.setDefaults()
	return &Set{
		config: c, random: random, byAddress: make(map[netip.AddrPort]*endpointState),
		leavingHosts: make(map[netip.Addr]bool),
	}
}

// Update replaces the list of endpoints and returns those that are new, those that are no longer listed, and those that
// this call marked as leaving. The counts of an endpoint that is removed while it has slots in use or pinned flows are
// kept until these are released, so that it is not overloaded if it is listed again meanwhile.
func (s *Set) Update(now time.Time, endpoints []table.Endpoint) (added, removed, leaving []netip.AddrPort) {
	s.advance(now)
	listed := make(map[netip.AddrPort]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		listed[e.Address] = true
		isNew, isLeaving := s.putEntry(now, e)
		if isNew {
			added = append(added, e.Address)
		} else if isLeaving {
			leaving = append(leaving, e.Address)
		}
	}
	for _, t := range s.states {
		if t.isListed && !listed[t.entry.Address] {
			t.isListed, t.isUp = false, false
			removed = append(removed, t.entry.Address)
		}
	}
	s.dropUnused()
	s.updateWake()
	return added, removed, leaving
}

// putEntry adds or updates an endpoint. It reports whether the endpoint is new and whether this call marked it as
// leaving.
func (s *Set) putEntry(now time.Time, e *table.Endpoint) (isNew, isLeaving bool) {
	t := s.byAddress[e.Address]
	if t == nil {
		t = &endpointState{}
		s.byAddress[e.Address] = t
		s.states = append(s.states, t)
	}
	isNew = !t.isListed
	wasLeaving := t.leaving != 0
	hadSlots := t.entry.Slots
	t.entry = *e
	t.mark(LeavingTable, e.Leaving)
	if isNew {
		t.isListed, t.isEjected, t.ejections, t.hasOwnCount = true, false, 0, t.used > 0
		t.leaving &= LeavingTable
		t.mark(LeavingHost, s.leavingHosts[e.Address.Addr()])
		s.raiseRecentAttempts(t)
		t.beginSlowStart(now)
		return true, false
	}
	if e.Slots != hadSlots {
		t.resize(hadSlots)
	}
	return false, !wasLeaving && t.leaving != 0
}

// resize adapts the windows to a new number of slots. A window that was not reduced stays at the full number of slots.
func (s *endpointState) resize(hadSlots int) {
	slots := s.entry.Slots
	if s.window >= float64(hadSlots) || s.window > float64(slots) {
		s.window = float64(slots)
	}
	if s.slowWindow >= hadSlots || s.slowWindow > slots {
		s.slowWindow = slots
	}
}

// mark sets or clears the leaving mark of one source.
func (s *endpointState) mark(from LeavingSource, isLeaving bool) {
	if isLeaving {
		s.leaving |= from
	} else {
		s.leaving &^= from
	}
}

// raiseRecentAttempts raises the recent attempts of an endpoint that was away to at least the mean per slot of the
// usable endpoints. With fewer, it would win every tie.
func (s *Set) raiseRecentAttempts(t *endpointState) {
	sum, n := 0.0, 0
	for _, u := range s.states {
		if u != t && u.isUsable() {
			sum += u.attemptsPerSlot()
			n++
		}
	}
	if n > 0 {
		t.recentAttempts = max(t.recentAttempts, sum/float64(n)*float64(t.entry.Slots))
	}
}

// dropUnused removes the endpoints that are not listed and have no slot in use and no pinned flow.
func (s *Set) dropUnused() {
	kept := s.states[:0]
	for _, t := range s.states {
		if t.isListed || t.used > 0 || t.pins > 0 {
			kept = append(kept, t)
		} else {
			delete(s.byAddress, t.entry.Address)
		}
	}
	clear(s.states[len(kept):])
	s.states = kept
}

// advance decays the recent attempts and ends ejections and pauses whose time has passed.
func (s *Set) advance(now time.Time) {
	if s.decayedAt.IsZero() {
		s.decayedAt = now
	}
	if elapsed := now.Sub(s.decayedAt); elapsed >= attemptsDecay/100 {
		factor := math.Exp(-elapsed.Seconds() / attemptsDecay.Seconds())
		for _, t := range s.states {
			t.recentAttempts *= factor
			t.hasOwnCount = t.hasOwnCount || !now.Before(t.reportValidTill)
		}
		s.decayedAt = now
	}
	if s.wake.IsZero() || now.Before(s.wake) {
		return
	}
	for _, t := range s.states {
		if t.isEjected && !now.Before(t.ejectedTill) {
			t.isEjected = false
			s.raiseRecentAttempts(t)
			t.beginSlowStart(now)
		}
		if !now.Before(t.pausedTill) {
			t.pausedTill = time.Time{}
		}
	}
	s.updateWake()
}

func (s *Set) updateWake() {
	s.wake = time.Time{}
	for _, t := range s.states {
		if t.isListed && t.isEjected {
			s.wakeBy(t.ejectedTill)
		}
		if t.isListed && !t.pausedTill.IsZero() {
			s.wakeBy(t.pausedTill)
		}
	}
}

func (s *Set) wakeBy(at time.Time) {
	if s.wake.IsZero() || at.Before(s.wake) {
		s.wake = at
	}
}

// NextWake returns the earliest time at which an ejection or a pause of an endpoint ends, and false if there is none.
// At that time, call any method that takes a time, and dispatch waiting work. Slow start needs no wake-up:
// it grows with answers.
func (s *Set) NextWake(now time.Time) (time.Time, bool) {
	s.advance(now)
	return s.wake, !s.wake.IsZero()
}

// ejectOrDeprioritize ejects an endpoint that has failed EjectAfter times in a row, unless too many are ejected
// already. An endpoint that is not ejected is deprioritized: it takes work only if no other endpoint has room, and
// pauses after each failure, because an endpoint that fails fast always has free slots and would otherwise attract most
// of the work.
func (s *Set) ejectOrDeprioritize(now time.Time, t *endpointState) {
	if t.failures < s.config.EjectAfter || t.isEjected || !t.isListed {
		return
	}
	t.deprioritizedTill = now.Add(s.config.EjectBase)
	listed, ejected := 0, 0
	for _, u := range s.states {
		if !u.isListed || u.leaving != 0 {
			continue
		}
		listed++
		if u.isEjected {
			ejected++
		}
	}
	if ejected+1 > listed/maxEjectedDivisor {
		t.pausedTill = now.Add(deprioritizedPause)
		s.wakeBy(t.pausedTill)
		return
	}
	d := s.config.EjectBase
	for i := 0; i < t.ejections && d < s.config.EjectMax; i++ {
		d *= 2
	}
	t.ejections++
	t.isEjected, t.ejectedAt, t.ejectedTill = true, now, now.Add(min(d, s.config.EjectMax))
	s.wakeBy(t.ejectedTill)
}
