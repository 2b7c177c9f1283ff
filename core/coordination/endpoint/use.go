package endpoint

import (
	"net/netip"
	"time"
)

// Choose returns the endpoint that takes the next request of a flow without a pin: the one with the fewest used slots
// in proportion to its limit, on a tie the one with the fewest recent attempts per slot, and on a further tie a random
// one. A deprioritized endpoint comes after all others. exclude is not returned, so that a retry goes elsewhere; it may
// be invalid. Choose returns false if no endpoint has a free slot and room for a pinned flow.
func (s *Set) Choose(now time.Time, exclude netip.AddrPort) (netip.AddrPort, bool) {
	s.advance(now)
	return s.least(now, exclude, (*endpointState).fill,
		func(t *endpointState) bool { return t.hasFreeSlot() && t.hasFreeConnection() })
}

// ChooseFeed returns the endpoint that takes a feed, which needs no slot: the one with the fewest pinned flows in
// proportion to its connections, with ties as in Choose. It returns false if no endpoint has room.
func (s *Set) ChooseFeed(now time.Time, exclude netip.AddrPort) (netip.AddrPort, bool) {
	s.advance(now)
	fill := func(t *endpointState) float64 { return float64(t.pins) / float64(t.entry.Connections) }
	return s.least(now, exclude, fill, func(t *endpointState) bool { return t.isUsable() && t.hasFreeConnection() })
}

// rank orders the endpoints for Choose and ChooseFeed; a lower rank is chosen first.
type rank struct {
	isDeprioritized bool
	fill            float64
	attemptsPerSlot float64
}

func (r rank) before(o rank) bool {
	if r.isDeprioritized != o.isDeprioritized {
		return o.isDeprioritized
	}
	if r.fill != o.fill {
		return r.fill < o.fill
	}
	return r.attemptsPerSlot < o.attemptsPerSlot
}

// least returns the allowed endpoint with the lowest rank, or a random one of those if there are several.
func (s *Set) least(now time.Time, exclude netip.AddrPort, fill func(*endpointState) float64,
	allow func(*endpointState) bool) (netip.AddrPort, bool) {
	var best *endpointState
	var bestRank rank
	ties := 0
	for _, t := range s.states {
		if t.entry.Address == exclude || !allow(t) {
			continue
		}
		r := rank{now.Before(t.deprioritizedTill), fill(t), t.attemptsPerSlot()}
		if best == nil || r.before(bestRank) {
			best, bestRank, ties = t, r, 1
		} else if r == bestRank {
			// Reservoir sampling gives each of the tied endpoints the same probability.
			ties++
			if s.random.IntN(ties) == 0 {
				best = t
			}
		}
	}
	if best == nil {
		return netip.AddrPort{}, false
	}
	return best.entry.Address, true
}

// CanAcquire reports whether an endpoint has a free slot and takes new work, as of the time of the last call with a
// time.
func (s *Set) CanAcquire(address netip.AddrPort) bool {
	t := s.byAddress[address]
	return t != nil && t.hasFreeSlot()
}

// AnyFree reports whether Choose would find an endpoint, as of the time of the last call with a time.
func (s *Set) AnyFree() bool {
	for _, t := range s.states {
		if t.hasFreeSlot() && t.hasFreeConnection() {
			return true
		}
	}
	return false
}

// FreeSlots returns the number of slots that new work may take now.
func (s *Set) FreeSlots() int {
	n := 0
	for _, t := range s.states {
		if t.isUsable() {
			n += max(0, t.limit()-t.used)
		}
	}
	return n
}

// IsUsable reports whether an endpoint may take new work once it has a free slot. Flows that are pinned to an endpoint
// that is not usable move to another one.
func (s *Set) IsUsable(address netip.AddrPort) bool {
	t := s.byAddress[address]
	return t != nil && t.isUsable()
}

// AwaitsFirstConnection reports whether an endpoint is unusable only because it has never been connected.
func (s *Set) AwaitsFirstConnection(address netip.AddrPort) bool {
	t := s.byAddress[address]
	return t != nil && t.isListed && !t.isUp && t.incarnation == 0 && t.leaving == 0 && !t.isEjected
}

// Acquire takes a slot of an endpoint, or returns false if the endpoint has no free slot or takes no new work.
func (s *Set) Acquire(now time.Time, address netip.AddrPort) bool {
	s.advance(now)
	t := s.byAddress[address]
	if t == nil || !t.hasFreeSlot() {
		return false
	}
	t.used++
	t.recentAttempts++
	return true
}

// Release gives back a slot that Acquire took and adapts the endpoint's window to the outcome. It returns false if the
// endpoint has no slot in use, which is a bug in the calling code.
func (s *Set) Release(now time.Time, address netip.AddrPort, o AttemptOutcome) bool {
	s.advance(now)
	t := s.byAddress[address]
	if t == nil || t.used == 0 {
		return false
	}
	t.used--
	t.applyOutcome(now, o, s.config.SlowStartStep)
	if !t.pausedTill.IsZero() {
		s.wakeBy(t.pausedTill)
	}
	s.ejectOrDeprioritize(now, t)
	if !t.isListed {
		s.dropUnused()
	}
	return true
}

// Pin counts a flow as pinned to an endpoint. It returns false if the endpoint takes no new work or has reached its
// limit of connections.
func (s *Set) Pin(address netip.AddrPort) bool {
	t := s.byAddress[address]
	if t == nil || !t.isUsable() || !t.hasFreeConnection() {
		return false
	}
	t.pins++
	return true
}

// Adopt counts a flow that this owner takes over and that another owner pinned to an endpoint. The limit of connections
// does not apply, because the flow already uses the endpoint. It returns false if the endpoint is not listed.
func (s *Set) Adopt(address netip.AddrPort) bool {
	t := s.byAddress[address]
	if t == nil || !t.isListed {
		return false
	}
	t.pins++
	return true
}

// Unpin gives back what Pin or Adopt took. It returns false if the endpoint has no pinned flow.
func (s *Set) Unpin(address netip.AddrPort) bool {
	t := s.byAddress[address]
	if t == nil || t.pins == 0 {
		return false
	}
	t.pins--
	if !t.isListed {
		s.dropUnused()
	}
	return true
}

// Up records a verified connection to the backend server of the given incarnation. For a restarted backend server, slow
// start begins again and what the former incarnation reported is discarded.
func (s *Set) Up(now time.Time, address netip.AddrPort, incarnation uint64) {
	s.advance(now)
	t := s.byAddress[address]
	if t == nil || !t.isListed {
		return
	}
	if t.incarnation != 0 && t.incarnation != incarnation {
		t.mark(LeavingReply, false)
		t.reported = 0
		t.beginSlowStart(now)
	}
	if !t.isUp {
		s.raiseRecentAttempts(t)
	}
	t.isUp, t.incarnation = true, incarnation
}

// Down records that the connection is lost. It counts as one failure, however many attempts were running; their
// slots are released with AttemptLost.
func (s *Set) Down(now time.Time, address netip.AddrPort) {
	s.advance(now)
	t := s.byAddress[address]
	if t == nil || !t.isUp {
		return
	}
	t.isUp = false
	t.fail(now)
	s.ejectOrDeprioritize(now, t)
}

// RecordReport records what a backend server reports about itself in a reply: its slots in use, and whether it is
// leaving. It returns true if the endpoint was not leaving before and is now.
func (s *Set) RecordReport(now time.Time, address netip.AddrPort, busy int, leaving bool) bool {
	t := s.byAddress[address]
	if t != nil {
		t.reported = max(0, busy)
	}
	return s.MarkLeaving(now, address, LeavingReply, leaving)
}

// MarkLeaving sets or clears the leaving mark of one source. It returns true if the endpoint was not leaving before and
// is now.
func (s *Set) MarkLeaving(now time.Time, address netip.AddrPort, from LeavingSource, leaving bool) bool {
	s.advance(now)
	t := s.byAddress[address]
	if t == nil || !t.isListed {
		return false
	}
	wasLeaving := t.leaving != 0
	t.mark(from, leaving)
	if wasLeaving && t.leaving == 0 {
		s.raiseRecentAttempts(t)
	}
	return !wasLeaving && t.leaving != 0
}

// MarkHost sets or clears the leaving mark of the host list for all endpoints on a host, also for those that are added
// later, and returns the endpoints that were not leaving before and are now.
func (s *Set) MarkHost(now time.Time, host netip.Addr, leaving bool) []netip.AddrPort {
	if leaving {
		s.leavingHosts[host] = true
	} else {
		delete(s.leavingHosts, host)
	}
	var marked []netip.AddrPort
	for _, t := range s.states {
		if t.entry.Address.Addr() == host && s.MarkLeaving(now, t.entry.Address, LeavingHost, leaving) {
			marked = append(marked, t.entry.Address)
		}
	}
	return marked
}

// Status is the state of one endpoint, for metrics and tests.
type Status struct {
	Address   netip.AddrPort
	Used      int    // slots
	Limit     int    // slots that may be used now
	Pins      int    // flows
	WorkDone  uint64 // attempts answered
	Reported  int    // slots in use as last reported by the endpoint
	IsUp      bool
	IsEjected bool
	Leaving   LeavingSource
}

// StatusOf returns the state of an endpoint, and false if it is not listed and has no slot or pin left.
func (s *Set) StatusOf(address netip.AddrPort) (Status, bool) {
	t := s.byAddress[address]
	if t == nil {
		return Status{}, false
	}
	return Status{
		Address: address, Used: t.used, Limit: t.limit(), Pins: t.pins, WorkDone: t.workDone, Reported: t.reported,
		IsUp: t.isUp, IsEjected: t.isEjected, Leaving: t.leaving,
	}, true
}

// Addresses returns the listed endpoints in the order of their addition.
func (s *Set) Addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, t := range s.states {
		if t.isListed {
			addresses = append(addresses, t.entry.Address)
		}
	}
	return addresses
}
