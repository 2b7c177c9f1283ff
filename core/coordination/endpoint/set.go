// Package endpoint holds what the owner of a pool shard knows about the shard's endpoints: which slots are in use, how
// many each endpoint may use, and which endpoint takes the next work.
//
// # Slots
//
// The owner's own count of used slots decides. An endpoint's window is the number of slots that it may use: at most the
// slots in the table, halved when the endpoint sheds, raised by one for each window of answers, and limited by slow
// start while the endpoint is new, restarted or back from ejection. Load that an endpoint reports orders the choice only
// until an attempt of this owner has ended there; it never changes a window.
//
// # Usage
//
//	set := endpoint.New(endpoint.Config{}, random)
//	added, removed, leaving := set.Update(now, pool.Endpoints)
//	set.Up(now, address, incarnation)
//	if address, ok := set.Choose(now, netip.AddrPort{}); ok && set.Acquire(now, address) {
//		// run an attempt
//		set.Release(now, address, endpoint.OutcomeAnswered)
//	}
//
// Each successful Acquire needs exactly one Release and each successful Pin exactly one Unpin, also after the endpoint
// was removed. A Set starts no goroutine, reads no clock and takes no lock; its caller holds the lock of the shard.
// Times passed in must not run backwards. NextWake tells when slots become free without any call.
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

// maxEjectedDivisor limits ejection to a third of the endpoints that are listed and not leaving: when more fail, the
// cause is probably common, and the rest could not bear the load.
const maxEjectedDivisor = 3

// suspectPause is the time between a failure of a suspect endpoint and its next work. It bounds the work that an
// endpoint that fails at once takes to some ten attempts a second, and is short enough to see it recover.
const suspectPause = 100 * time.Millisecond

// workWindow is the time constant over which work done counts for ties. Without decay, an endpoint that was away for an
// hour would win every tie for an hour.
const workWindow = 10 * time.Second

// Config holds the settings of a Set. Zero values stand for the defaults.
type Config struct {
	SlowStartStep time.Duration // time of good answers that earns the next slot
	EjectAfter    int           // failures in a row
	EjectBase     time.Duration // first ejection; doubles with each further one
	EjectMax      time.Duration
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
	config  Config
	random  *rand.Rand
	states  []*state // in the order of addition, so that runs with one random source repeat exactly
	byName  map[netip.AddrPort]*state
	decayed time.Time           // when recentWork was last decayed
	wake    time.Time           // earliest end of an ejection or pause; zero without one
	hosts   map[netip.Addr]bool // marked as leaving by the host list
}

// New returns an empty set. random decides the last ties of Choose.
func New(c Config, random *rand.Rand) *Set {
	c.setDefaults()
	return &Set{config: c, random: random, byName: make(map[netip.AddrPort]*state), hosts: make(map[netip.Addr]bool)}
}

// Update puts the endpoints of the shard in force and returns those that are new, those that are no longer listed, and
// those that were marked as leaving by this call. An endpoint that is removed while it has slots in use or pinned flows
// keeps its counts until they are released, so that an endpoint that returns meanwhile is not overloaded.
func (s *Set) Update(now time.Time, endpoints []table.Endpoint) (added, removed, leaving []netip.AddrPort) {
	s.advance(now)
	listed := make(map[netip.AddrPort]bool, len(endpoints))
	for i := range endpoints {
		e := &endpoints[i]
		listed[e.Address] = true
		isNew, isLeaving := s.put(now, e)
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

func (s *Set) put(now time.Time, e *table.Endpoint) (isNew, isLeaving bool) {
	t := s.byName[e.Address]
	if t == nil {
		t = &state{}
		s.byName[e.Address] = t
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
		t.mark(LeavingHost, s.hosts[e.Address.Addr()])
		s.rejoin(t)
		t.startSlowly(now)
		return true, false
	}
	if e.Slots != hadSlots {
		t.resize(hadSlots)
	}
	return false, !wasLeaving && t.leaving != 0
}

// resize adapts the windows to a new number of slots. A window that was not reduced follows it at once.
func (s *state) resize(hadSlots int) {
	slots := s.entry.Slots
	if s.window >= float64(hadSlots) || s.window > float64(slots) {
		s.window = float64(slots)
	}
	if s.slowWindow >= hadSlots || s.slowWindow > slots {
		s.slowWindow = slots
	}
}

func (s *state) mark(from LeavingSource, isLeaving bool) {
	if isLeaving {
		s.leaving |= from
	} else {
		s.leaving &^= from
	}
}

// rejoin gives an endpoint that was away at least the mean of the recent work of the others. With little work to its
// name it would win every tie.
func (s *Set) rejoin(t *state) {
	sum, n := 0.0, 0
	for _, u := range s.states {
		if u != t && u.isUsable() {
			sum += u.work()
			n++
		}
	}
	if n > 0 {
		t.recentWork = max(t.recentWork, sum/float64(n)*float64(t.entry.Slots))
	}
}

func (s *Set) dropUnused() {
	kept := s.states[:0]
	for _, t := range s.states {
		if t.isListed || t.used > 0 || t.pins > 0 {
			kept = append(kept, t)
		} else {
			delete(s.byName, t.entry.Address)
		}
	}
	clear(s.states[len(kept):])
	s.states = kept
}

// advance decays the recent work and ends ejections and pauses whose time has passed.
func (s *Set) advance(now time.Time) {
	if s.decayed.IsZero() {
		s.decayed = now
	}
	if elapsed := now.Sub(s.decayed); elapsed >= workWindow/100 {
		factor := math.Exp(-elapsed.Seconds() / workWindow.Seconds())
		for _, t := range s.states {
			t.recentWork *= factor
			t.hasOwnCount = t.hasOwnCount || !now.Before(t.trustTill)
		}
		s.decayed = now
	}
	if s.wake.IsZero() || now.Before(s.wake) {
		return
	}
	for _, t := range s.states {
		if t.isEjected && !now.Before(t.ejectedTill) {
			t.isEjected = false
			s.rejoin(t)
			t.startSlowly(now)
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

// NextWake returns the time at which an endpoint becomes usable without any event, and false if there is none. The
// caller then calls any method with that time and looks for work. Slow start needs no wake-up: it grows with answers.
func (s *Set) NextWake(now time.Time) (time.Time, bool) {
	s.advance(now)
	return s.wake, !s.wake.IsZero()
}

// punish ejects an endpoint that has failed too often in a row, unless too many are ejected already. One that stays is
// suspect: it takes work only if no other endpoint has room and pauses after each failure, because an endpoint that
// fails fast always has free slots and would otherwise attract most of the work.
func (s *Set) punish(now time.Time, t *state) {
	if t.failures < s.config.EjectAfter || t.isEjected || !t.isListed {
		return
	}
	t.suspectTill = now.Add(s.config.EjectBase)
	listed, out := 0, 0
	for _, u := range s.states {
		if !u.isListed || u.leaving != 0 {
			continue
		}
		listed++
		if u.isEjected {
			out++
		}
	}
	if out+1 > listed/maxEjectedDivisor {
		t.pausedTill = now.Add(suspectPause)
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
