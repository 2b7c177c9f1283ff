package discovery

import (
	"time"

	"cornellb/core/state/directory"
)

// Eras of the store.
//
// A store that is restored from a copy raises its era, and its revisions go back to those of the copy. Revisions of
// different eras say nothing about each other: positions compare by era first, and changes apply only within an era.
// What is known stays in force until a full list of the new era is there. What this list lacks or shows as it was
// earlier may only have been lost with the writes since the copy; the endpoints write their entries again within
// ReregistrationTime, until which the known state of these endpoints stays in force.

// StorePosition returns the position at which an answer of the store counts. known is the highest era that was known
// when the call began. An answer without an era belongs to that one: a header that is missing once neither resets anything nor
// makes the answer count as old. Messages of other balancers are compared as they are, since a balancer of an earlier
// version sends revisions of any era without one.
func StorePosition(at directory.Position, known uint64) directory.Position {
	if at.Era == 0 {
		at.Era = known
	}
	return at
}

// Adopt is like Replace for a list that another balancer has sent. If its era is higher than the known one, lapsedFor is
// the rest of the time in which endpoints may register again, as the sender has it, so that the time does not start anew
// with each balancer on the way.
func (s *State) Adopt(now time.Time, endpoints []directory.Endpoint, at directory.Position, lapsedFor time.Duration) bool {
	return s.replace(now, endpoints, at, min(lapsedFor, s.config.ReregistrationTime))
}

// MissingEndpoints returns the number of endpoints that are not registered and stay usable until LapsedUntil.
func (s *State) MissingEndpoints() int {
	n := 0
	for _, e := range s.entries {
		if !e.isRegistered && !e.usableUntil.IsZero() {
			n++
		}
	}
	return n
}

// beginEra prepares the state for the first list of a higher era.
func (s *State) beginEra(now time.Time, lapsedFor time.Duration) {
	s.lapsedUntil = now.Add(lapsedFor)
	for _, e := range s.entries {
		if !e.isRegistered && !e.usableUntil.IsZero() {
			// Lost in the restore before: this one has taken back what was written again since.
			e.usableUntil, e.forgetAt = s.lapsedUntil, now.Add(s.config.FlowAge)
			s.scheduleExpiry(e.usableUntil)
		}
	}
}

// holdKnown keeps the known state of an endpoint in force if a list shows an earlier one, as the copy of a restored store
// does: the endpoint had begun to leave, or has started again. It reports whether it did. The hold ends with the next
// change of the endpoint, at the latest LeaveTime after lapsedUntil: when the endpoint writes that it leaves at the end
// of the time to register again, this must have become known before new flows may go to it.
func (s *State) holdKnown(e *entry, listed *directory.Endpoint, at directory.Position) bool {
	isHeld := e.listed != nil
	if !isHeld && e.position.Era == at.Era {
		return false // known from this era
	}
	known := e.endpoint
	isEarlier := listed.StartedAt < known.StartedAt && !known.IsGone ||
		listed.StartedAt == known.StartedAt && known.IsLeaving && !listed.IsLeaving
	if !isEarlier {
		return false
	}
	registered := *listed
	e.listed = &registered
	if !isHeld || e.position.Era < at.Era {
		e.heldUntil = s.lapsedUntil.Add(s.config.LeaveTime)
	}
	s.scheduleExpiry(e.heldUntil)
	e.position, e.isRegistered = at, true
	e.usableUntil, e.forgetAt = time.Time{}, time.Time{}
	return true
}

// registered returns the endpoint as the store has it, which differs from the one in force while that is held.
func (e *entry) registered() *directory.Endpoint {
	if e.listed != nil {
		return e.listed
	}
	return e.endpoint
}

// releaseHeld puts the listed state of an endpoint in force whose time to register again is over, and reports whether
// there was one.
func (s *State) releaseHeld(now time.Time, e *entry) bool {
	if e.listed == nil {
		return false
	}
	if now.Before(e.heldUntil) {
		s.scheduleExpiry(e.heldUntil)
		return false
	}
	e.endpoint, e.listed = e.listed, nil
	return true
}
