package endpoint

import (
	"time"

	"cornellb/core/state/table"
)

// LeavingSource says who marked an endpoint as leaving.
type LeavingSource uint8

// The sources of leaving marks. An endpoint is leaving while at least one of them says so.
const (
	LeavingTable LeavingSource = 1 << iota // the pool table
	LeavingReply                           // the backend server itself, in a reply
	LeavingHost                            // the platform's host list
)

// Outcome says how an attempt that held a slot ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeAnswered  Outcome = iota // a whole answer arrived
	OutcomeShed                     // the backend server did not start the attempt
	OutcomeFailed                   // no answer in time, or an invalid one: counts towards ejection
	OutcomeLost                     // the connection broke; Down counts the failure once for all its attempts
	OutcomeCancelled                // the attempt was stopped; says nothing about the endpoint
)

// reportTrust is the time after which the load that an endpoint reports is ignored even if no attempt has ended there.
// Without this bound, an idle endpoint that reports itself as full would stay without work as long as others have room.
const reportTrust = 5 * time.Second

// state is one endpoint as seen by the owner of its shard.
type state struct {
	entry    table.Endpoint
	isListed bool // in the table; otherwise kept until its slots and pins are free
	isUp     bool
	leaving  LeavingSource

	incarnation uint64 // of the backend server on the last connection
	used        int    // slots taken by this owner
	pins        int    // flows pinned by this owner
	workDone    uint64 // attempts answered
	recentWork  float64
	reported    int  // slots in use as last reported by the endpoint
	hasOwnCount bool // an attempt of this owner ended here, or reported has been used long enough
	trustTill   time.Time

	window      float64 // slots that the endpoint has shown to bear, at most the table's
	shedGrace   int     // attempts that were running at the last halving; their sheds do not halve again
	slowWindow  int     // slots allowed by slow start
	slowStepAt  time.Time
	failures    int // in a row
	ejections   int // in a row, for the doubling
	isEjected   bool
	ejectedAt   time.Time
	ejectedTill time.Time
}

// limit returns the number of slots that may be used now.
func (s *state) limit() int { return min(int(s.window), s.slowWindow) }

func (s *state) isUsable() bool { return s.isListed && s.isUp && s.leaving == 0 && !s.isEjected }

func (s *state) hasFreeSlot() bool { return s.isUsable() && s.used < s.limit() }

func (s *state) hasFreeConnection() bool { return s.pins < s.entry.Connections }

// fill returns the used slots in proportion to the window. Slots that the endpoint reports count only until this owner
// has a count of its own, and never block the endpoint, so that a wrong report cannot attract or repel work for long.
func (s *state) fill() float64 {
	used := s.used
	if !s.hasOwnCount {
		used = max(used, min(s.reported, s.entry.Slots))
	}
	return float64(used) / float64(s.limit())
}

// work returns the recent work done in proportion to the slots.
func (s *state) work() float64 { return s.recentWork / float64(s.entry.Slots) }

// startSlowly begins slow start at one slot.
func (s *state) startSlowly(now time.Time) {
	s.slowWindow, s.slowStepAt = 1, now
	s.window = float64(s.entry.Slots)
	s.shedGrace, s.failures = 0, 0
	s.trustTill = now.Add(reportTrust)
}

// settle adapts the window to the end of an attempt. Its slot is released already.
func (s *state) settle(now time.Time, o Outcome, step time.Duration) {
	isGrace := s.shedGrace > 0
	if isGrace {
		s.shedGrace--
	}
	switch o {
	case OutcomeAnswered:
		s.workDone++
		s.failures, s.hasOwnCount = 0, true
		s.window = min(s.window+1/s.window, float64(s.entry.Slots))
		s.grow(now, step)
	case OutcomeShed:
		s.hasOwnCount = true
		if !isGrace {
			s.window = max(1, float64(int(s.window)/2))
			s.shedGrace = s.used
		}
	case OutcomeFailed:
		s.hasOwnCount = true
		s.fail(now)
	}
}

// fail counts a failure and holds slow start back for a step.
func (s *state) fail(now time.Time) {
	s.failures++
	s.slowStepAt = now
}

// grow takes the next step of slow start and forgets past ejections once the endpoint has answered for as long as the
// last one took.
func (s *state) grow(now time.Time, step time.Duration) {
	if s.slowWindow < s.entry.Slots && now.Sub(s.slowStepAt) >= step {
		s.slowWindow++
		s.slowStepAt = now
	}
	if s.ejections > 0 && now.Sub(s.ejectedTill) >= s.ejectedTill.Sub(s.ejectedAt) {
		s.ejections = 0
	}
}
