// Package evacuation keeps the failure domains that the operator has evacuated, as one balancer knows them from the store
// and from other balancers.
//
// # Rules
//
// A set is complete and belongs to one position of the store; sets are never combined within an era. The set with the
// highest position wins, so that no set returns to an older one. After the store was restored from a copy, which raises
// the era, the operator may not have written each object again yet. The sets of both eras are then in force together for
// RewriteTime, and until the new set was known to be the newest after it.
//
// A set is as old as the time since it was last known to be the newest. A watch of the endpoints shows the revision of the
// whole store: if it is the one of the set, or all changes since were changes of endpoints, the set is still the newest.
// Otherwise it must be read again.
//
// # Usage
//
//	s := evacuation.New(evacuation.Config{RewriteTime: 2200 * time.Millisecond})
//	s.Merge(now, &set, asOf) // read from the store, or received from another balancer
//	s.ObserveWatch(evacuation.Watch{Position: position, Changed: revisions}, asOf)
//	if s.NeedsRead(now, maxAge) { ... }
//	closed := s.Domains(now)
//
// A State starts no goroutine, reads no clock and takes no lock.
package evacuation

import (
	"slices"
	"time"

	"cornellb/core/state/directory"
)

// Config holds the durations that a State uses.
type Config struct {
	RewriteTime time.Duration // after a restore of the store, in which the operator writes lost objects again
}

// State is what one balancer knows of the evacuations. It is not safe for concurrent use.
type State struct {
	config      Config
	current     directory.Evacuations
	isKnown     bool
	former      []string // in force before the era rose
	formerUntil time.Time
	asOf        time.Time          // when the set was last known to be the newest
	changedAt   directory.Position // up to which the store has changes that may concern the set
}

// New returns a State that knows no set.
func New(c Config) *State { return &State{config: c} }

// IsKnown reports whether a set is known.
func (s *State) IsKnown() bool { return s.isKnown }

// Current returns the known set, without the domains of a former era. The caller must not change it.
func (s *State) Current() directory.Evacuations { return s.current }

// AsOf returns the time at which the set was last known to be the newest.
func (s *State) AsOf() time.Time { return s.asOf }

// Merge takes over a set that was the newest at asOf, unless a newer one is known. It reports false for an older set, which
// it ignores.
func (s *State) Merge(now time.Time, e *directory.Evacuations, asOf time.Time) bool {
	order := e.Compare(s.current.Position)
	if s.isKnown && order < 0 {
		return false
	}
	if s.isKnown && e.Era > s.current.Era {
		s.former, s.formerUntil = s.Domains(now), now.Add(s.config.RewriteTime)
	}
	if !s.isKnown || order > 0 {
		s.current = directory.Evacuations{Position: e.Position, Domains: sorted(e.Domains)}
		s.isKnown = true
	}
	s.confirm(asOf)
	return true
}

func (s *State) confirm(asOf time.Time) {
	if asOf.After(s.asOf) {
		s.asOf = asOf
	}
}

// Locate returns the position of a set that a read returned without one, as of a store without any evacuation. known is a
// position that the store had reached when the read began. A set other than the known one is newer than that.
func (s *State) Locate(known directory.Position) directory.Position {
	if s.current.Compare(known) > 0 {
		known = s.current.Position
	}
	if s.isKnown && known == s.current.Position && len(s.current.Domains) > 0 {
		known.Revision++
	}
	return known
}

// Watch is the reply to a watch of the endpoints.
type Watch struct {
	directory.Position          // of the store at the reply
	Changed            []uint64 // revisions of the changes in the reply
}

// ObserveWatch takes into account that the store had the revision of a watch at asOf. The set stays the newest if each
// revision since is the one of a change of an endpoint, as a revision has one change.
func (s *State) ObserveWatch(w Watch, asOf time.Time) {
	switch {
	case !s.isKnown || w.Compare(s.current.Position) < 0: // a late reply
	case w.Position == s.current.Position:
		s.confirm(asOf)
	case w.Era == s.current.Era && s.explains(w):
		s.current.Revision = w.Revision
		s.confirm(asOf)
	case w.Compare(s.changedAt) > 0:
		s.changedAt = w.Position
	}
}

// explains reports whether each revision of the store since the set is the one of a change of an endpoint.
func (s *State) explains(w Watch) bool {
	seen := make(map[uint64]bool, len(w.Changed))
	for _, r := range w.Changed {
		if r > s.current.Revision && r <= w.Revision {
			seen[r] = true
		}
	}
	return uint64(len(seen)) == w.Revision-s.current.Revision
}

// NeedsRead reports whether the set may have changed in the store, or was not known to be the newest for longer than
// maxAge.
func (s *State) NeedsRead(now time.Time, maxAge time.Duration) bool {
	isOverdue := len(s.former) > 0 && !now.Before(s.formerUntil) && s.keepsFormer(now)
	return !s.isKnown || s.current.Compare(s.changedAt) < 0 || s.Age(now) > maxAge || isOverdue
}

// keepsFormer reports whether the set of the former era is still in force. It ends when the present set was the newest after
// RewriteTime: an object that the operator has written at the end of that time must not be missed.
func (s *State) keepsFormer(now time.Time) bool {
	return len(s.former) > 0 && (now.Before(s.formerUntil) || s.asOf.Before(s.formerUntil))
}

// Age returns the time since the set was last known to be the newest.
func (s *State) Age(now time.Time) time.Duration { return now.Sub(s.asOf) }

// Mark is what a State knew at some time.
type Mark struct {
	isKnown bool
	domains []string
	asOf    time.Time
}

// Mark returns what the state knows now.
func (s *State) Mark() Mark { return Mark{s.isKnown, s.current.Domains, s.asOf} }

// HasAdvanced reports whether the set has changed since m, or was confirmed later by more than least. An age from another
// balancer lacks the time on its way: a smaller difference may be no news, and balancers that tell each other of it while
// no store answers would never stop.
func (s *State) HasAdvanced(m Mark, least time.Duration) bool {
	return s.isKnown != m.isKnown || !slices.Equal(s.current.Domains, m.domains) || s.asOf.Sub(m.asOf) > least
}

// Domains returns the failure domains that are evacuated now, sorted. The caller must not change them.
func (s *State) Domains(now time.Time) []string {
	if !s.keepsFormer(now) {
		return s.current.Domains
	}
	return sorted(slices.Concat(s.former, s.current.Domains))
}

func sorted(names []string) []string {
	list := slices.Clone(names)
	slices.Sort(list)
	return slices.Compact(list)
}
