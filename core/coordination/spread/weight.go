package spread

import (
	"math"
	"time"

	"cornellb/core/state/member"
)

const (
	// fullCores and fullLinkMbps are what a host needs to be fit for all duties. A reader takes in the whole
	// configuration and passes it on to fanout others at once: 250 KB take 0.2 s on a link of 10 Mbit/s for each of them,
	// and its decoding as long on 0.06 cores.
	fullCores    = 0.2
	fullLinkMbps = 50.0
	// minWeight is the weight of the weakest and of slow hosts. They take duties only if there is nobody else.
	minWeight = 10

	// slowTime is how long ticks must be late before a host counts as slow, and recoveryTime how long they must be in time
	// before it no longer does. A burst of packets delays ticks for less than slowTime; the longer recoveryTime keeps
	// duties from moving to and fro.
	slowTime     = 3 * time.Second
	recoveryTime = 10 * time.Second
	// lateShare is the delay of a tick, as a share of its interval, from which it counts as late.
	lateShare = 0.5
	// pauseTime is the delay of a tick from which the process was paused rather than slow. A pause says nothing about the
	// speed afterwards.
	pauseTime = 2 * time.Second
)

// HostWeight returns the weight of a host with a number of processor cores and a link. Unknown values, which are 0, count
// as enough.
func HostWeight(cores, linkMbps float64) uint8 {
	weight := float64(member.FullWeight)
	if cores > 0 {
		weight = min(weight, member.FullWeight*cores/fullCores)
	}
	if linkMbps > 0 {
		weight = min(weight, member.FullWeight*linkMbps/fullLinkMbps)
	}
	return uint8(max(math.Round(weight), minWeight))
}

// Slowness finds out whether the own host has turned slow, by the delay of periodic ticks.
type Slowness struct {
	interval   time.Duration // between two ticks that are in time
	lastTick   time.Time     // zero before the first one
	lateSince  time.Time     // when the present series of mostly late ticks began; zero if there is none
	timelyFrom time.Time     // when the present series of timely ticks began; zero if there is none
	isSlow     bool
}

// NewSlowness returns a Slowness for ticks with an interval.
func NewSlowness(interval time.Duration) *Slowness { return &Slowness{interval: interval} }

// Tick records a tick and reports whether the host is slow.
func (s *Slowness) Tick(now time.Time) bool {
	last := s.lastTick
	s.lastTick = now
	if last.IsZero() {
		return s.isSlow
	}
	switch delay := now.Sub(last) - s.interval; {
	case delay >= pauseTime:
		s.lateSince, s.timelyFrom = time.Time{}, time.Time{}
	case float64(delay) > lateShare*float64(s.interval):
		if s.timelyFrom = (time.Time{}); s.lateSince.IsZero() {
			s.lateSince = last
		}
	default:
		if s.lateSince = (time.Time{}); s.timelyFrom.IsZero() {
			s.timelyFrom = last
		}
	}
	switch {
	case !s.lateSince.IsZero() && now.Sub(s.lateSince) >= slowTime:
		s.isSlow = true
	case !s.timelyFrom.IsZero() && now.Sub(s.timelyFrom) >= recoveryTime:
		s.isSlow = false
	}
	return s.isSlow
}

// Weight returns the weight of a host that has the given one while it is not slow.
func (s *Slowness) Weight(usual uint8) uint8 {
	if s.isSlow {
		return minWeight
	}
	return usual
}
