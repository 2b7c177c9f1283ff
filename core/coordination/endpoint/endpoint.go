package endpoint

import (
	"time"

	"cornellb/core/state/table"
)

// LeavingSource is a set of sources that mark an endpoint as leaving.
type LeavingSource uint8

// The sources of leaving marks. An endpoint is leaving while at least one of them marks it.
const (
	LeavingTable LeavingSource = 1 << iota // the pool table
	LeavingReply                           // the backend server itself, in a reply
	LeavingHost                            // the platform's host list
)

// AttemptOutcome is how an attempt that held a slot ended. It is not the outcome of the request, which may be tried
// again.
type AttemptOutcome uint8

// The outcomes of an attempt.
const (
	AttemptAnswered  AttemptOutcome = iota // a whole answer arrived
	AttemptShed                            // the backend server did not start the attempt
	AttemptFailed                          // no answer in time, or an invalid one: counts towards ejection
	AttemptLost                            // the connection was lost; Down counts one failure for all attempts on it
	AttemptCancelled                       // the attempt was stopped; does not change the endpoint's window or failures
)

// reportValidity is the time after the beginning of slow start for which the load that an endpoint reports is used if
// no attempt ends there earlier. Without this bound, an idle endpoint that reports itself as full would get no work
// while other endpoints have free slots.
const reportValidity = 5 * time.Second

// A window that was halved grows by one slot, or by 1/recoverySteps of the slots if that is more, each time that the
// endpoint has answered recoveryWindows times as many attempts as the window has slots. An endpoint some of whose slots
// are used by another owner then gets more than it can take at most once in several windows.
const (
	recoverySteps   = 16
	recoveryWindows = 4
)

// An endpoint that sheds the only attempt of this owner takes no work for a pause that doubles from minShedPause to
// maxShedPause until it answers. The window cannot fall below one slot, so without the pause the same request would be
// sent and shed as fast as the network allows.
const (
	minShedPause = 20 * time.Millisecond
	maxShedPause = time.Second
)

// endpointState is one endpoint as seen by the owner of its shard.
type endpointState struct {
	entry    table.Endpoint
	isListed bool // in the table; an endpoint that is not is kept until its slots and pins are released
	isUp     bool
	leaving  LeavingSource

	incarnation     uint64  // of the backend server on the last connection
	used            int     // slots taken by this owner
	pins            int     // flows pinned by this owner
	workDone        uint64  // attempts answered
	recentAttempts  float64 // attempts started, decayed over attemptsDecay
	reported        int     // slots in use as last reported by the endpoint
	hasOwnCount     bool    // reported is not used: an attempt of this owner ended here, or reportValidTill passed
	reportValidTill time.Time

	window            float64       // slots that the endpoint can serve, judged by its answers and sheds; at most the table's
	shedGrace         int           // next outcomes that do not halve the window: one for each attempt at the last halving
	pause             time.Duration // length of the last pause after a shed; doubles until an answer
	pausedTill        time.Time     // no work before; zero without a pause
	slowWindow        int           // slots allowed by slow start
	slowStepAt        time.Time     // last step of slow start, or the last failure
	failures          int           // in a row
	deprioritizedTill time.Time     // until then the endpoint takes new work only if no other has room
	ejections         int           // in a row; each doubles the length of the next
	isEjected         bool
	ejectedAt         time.Time
	ejectedTill       time.Time
}

// limit returns the number of slots that may be used now.
func (s *endpointState) limit() int { return min(int(s.window), s.slowWindow) }

func (s *endpointState) isUsable() bool {
	return s.isListed && s.isUp && s.leaving == 0 && !s.isEjected
}

func (s *endpointState) hasFreeSlot() bool {
	return s.isUsable() && s.pausedTill.IsZero() && s.used < s.limit()
}

func (s *endpointState) hasFreeConnection() bool { return s.pins < s.entry.Connections }

// fill returns the used slots in proportion to the limit. The load that the endpoint reports is used only until this
// owner has a count of its own, and never makes an endpoint count as full, so that a wrong report cannot attract or
// repel work for long.
func (s *endpointState) fill() float64 {
	used := s.used
	if !s.hasOwnCount {
		used = max(used, min(s.reported, s.entry.Slots))
	}
	return float64(used) / float64(s.limit())
}

// attemptsPerSlot returns the recent attempts in proportion to the slots.
func (s *endpointState) attemptsPerSlot() float64 { return s.recentAttempts / float64(s.entry.Slots) }

// beginSlowStart begins slow start at one slot and resets what sheds and failures have changed.
func (s *endpointState) beginSlowStart(now time.Time) {
	s.slowWindow, s.slowStepAt = 1, now
	s.window = float64(s.entry.Slots)
	s.shedGrace, s.failures = 0, 0
	s.pause, s.pausedTill, s.deprioritizedTill = 0, time.Time{}, time.Time{}
	s.reportValidTill = now.Add(reportValidity)
}

// applyOutcome adapts the window to the outcome of an attempt. Its slot is already released.
func (s *endpointState) applyOutcome(now time.Time, o AttemptOutcome, step time.Duration) {
	isGrace := s.shedGrace > 0
	if isGrace {
		s.shedGrace--
	}
	switch o {
	case AttemptAnswered:
		s.workDone++
		s.failures, s.hasOwnCount, s.pause, s.deprioritizedTill = 0, true, 0, time.Time{}
		slots := float64(s.entry.Slots)
		s.window = min(s.window+max(1, slots/recoverySteps)/(recoveryWindows*s.window), slots)
		s.grow(now, step)
	case AttemptShed:
		s.hasOwnCount = true
		if !isGrace {
			s.window = max(1, float64(int(s.window)/2))
			s.shedGrace = s.used
		}
		if s.used == 0 {
			s.pause = min(max(minShedPause, 2*s.pause), maxShedPause)
			s.pausedTill = now.Add(s.pause)
		}
	case AttemptFailed:
		s.hasOwnCount = true
		s.fail(now)
	}
}

// fail counts a failure and delays the next step of slow start.
func (s *endpointState) fail(now time.Time) {
	s.failures++
	s.slowStepAt = now
}

// grow takes the next step of slow start if it is due. It resets the count of ejections once as much time has passed
// since the last ejection as that lasted.
func (s *endpointState) grow(now time.Time, step time.Duration) {
	if s.slowWindow < s.entry.Slots && now.Sub(s.slowStepAt) >= step {
		s.slowWindow++
		s.slowStepAt = now
	}
	if s.ejections > 0 && now.Sub(s.ejectedTill) >= s.ejectedTill.Sub(s.ejectedAt) {
		s.ejections = 0
	}
}
