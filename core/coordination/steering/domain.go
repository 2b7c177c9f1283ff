package steering

import (
	"math"
	"time"
)

const (
	// maxScale bounds the factor by which the loads reported by some balancers of a failure domain are extrapolated to
	// all of them.
	maxScale = 16
	// scaleTolerance is the relative error of this factor up to which it stays, because a change requires a pass over
	// all reports of the domain. With less than 20 balancers that report, each change of their number exceeds it.
	scaleTolerance = 0.05
)

// Origin describes the failure domain of a report's sender.
type Origin struct {
	FailureDomain string
	Members       int // balancers in that failure domain
}

// domain is the state that a balancer keeps for one failure domain.
type domain struct {
	suspicion
	silence   silence // of its endpoints, as of the last tick
	isCut     bool    // whether this balancer reached none of them, as of the last tick
	reporters int     // balancers there with an unexpired report
	members   int     // balancers there, as of the last report
	scale     float64 // by which the loads of each of these reports are multiplied; within scaleTolerance
}

// domainOf returns the state of a failure domain, which it creates if needed.
func (f *Forwarder) domainOf(name string) *domain {
	d := f.domains[name]
	if d == nil {
		d = &domain{}
		f.domains[name] = d
	}
	return d
}

// rescale updates the factor by which the loads reported from a failure domain are multiplied to account for its
// balancers that do not report to this one, and adjusts the counts of flows to it. A factor within scaleTolerance stays.
func (f *Forwarder) rescale(name string) {
	d := f.domainOf(name)
	members := d.members
	if name == f.config.FailureDomain {
		members-- // this balancer counts its own flows
	}
	scale := min(max(float64(members)/float64(max(d.reporters, 1)), 1), maxScale)
	if math.Abs(scale-d.scale) <= scaleTolerance*scale {
		return
	}
	for _, r := range f.reports {
		if r.failureDomain == name {
			f.addRemoteFlows(r.loads, scale-d.scale)
		}
	}
	d.scale = scale
}

// suspicion records the failures of an endpoint or a failure domain. A suspect gets no new flows until a time; the
// interval doubles with each failure until there is progress.
type suspicion struct {
	failures  int       // since the last progress
	noticedAt time.Time // when the last of them was noticed
	until     time.Time // no new flows until then
}

// recordFailure records that a packet sent at sentAt was not answered. A packet that was sent before the last failure
// was noticed counts as part of that failure: many clients that reconnect at the same moment must not prolong the
// suspicion.
func (s *suspicion) recordFailure(now, sentAt time.Time) (duration time.Duration, isNew bool) {
	if s.failures > 0 && sentAt.Before(s.noticedAt) {
		return 0, false
	}
	duration = min(firstSuspicion<<min(s.failures, 8), maxSuspicion)
	s.failures++
	s.noticedAt, s.until = now, later(s.until, now.Add(duration))
	return duration, true
}

// isEligible reports whether there was no failure or the time of suspicion has passed.
func (s *suspicion) isEligible(now time.Time) bool { return s.failures == 0 || !now.Before(s.until) }
