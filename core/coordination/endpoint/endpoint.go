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

// A window that was halved grows by a slot, or by 1/recoverySteps of the slots if that is more, for each
// recoveryWindows windows of answers. An endpoint whose slots another owner uses in part is then asked for too much at
// most once in several windows.
const (
	recoverySteps   = 16
	recoveryWindows = 4
)

// An endpoint that sheds although this owner has no other attempt there takes no work for a pause that doubles from
// minShedPause to maxShedPause until it answers. The window cannot fall below one slot, so without the pause the same
// request would go back and forth as fast as the network allows.
const (
	minShedPause = 20 * time.Millisecond
	maxShedPause = time.Second
)

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

	window      float64       // slots that the endpoint has shown to bear, at most the table's
	shedGrace   int           // attempts that were running at the last halving; their sheds do not halve again
	pause       time.Duration // length of the last pause after a shed; doubles until an answer
	pausedTill  time.Time     // no work before; zero without a pause
	slowWindow  int           // slots allowed by slow start
	slowStepAt  time.Time
	failures    int       // in a row
	suspectTill time.Time // until then the endpoint takes new work only if no other has room
	ejections   int       // in a row, for the doubling
	isEjected   bool
	ejectedAt   time.Time
	ejectedTill time.Time
}

// limit returns the number of slots that may be used now.
func (s *state) limit() int { return min(int(s.window), s.slowWindow) }

func (s *state) isUsable() bool { return s.isListed && s.isUp && s.leaving == 0 && !s.isEjected }

func (s *state) hasFreeSlot() bool {
	return s.isUsable() && s.pausedTill.IsZero() && s.used < s.limit()
}

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
	s.pause, s.pausedTill, s.suspectTill = 0, time.Time{}, time.Time{}
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
		s.failures, s.hasOwnCount, s.pause, s.suspectTill = 0, true, 0, time.Time{}
		slots := float64(s.entry.Slots)
		s.window = min(s.window+max(1, slots/recoverySteps)/(recoveryWindows*s.window), slots)
		s.grow(now, step)
	case OutcomeShed:
		s.hasOwnCount = true
		if !isGrace {
			s.window = max(1, float64(int(s.window)/2))
			s.shedGrace = s.used
		}
		if s.used == 0 {
			s.pause = min(max(minShedPause, 2*s.pause), maxShedPause)
			s.pausedTill = now.Add(s.pause)
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
