package steering

import (
	"math"
	"slices"
	"time"
)

// isEvacuated reports whether the operator has evacuated a failure domain, so that no new flow may go there.
func (f *Forwarder) isEvacuated(failureDomain string) bool {
	return f.snapshot.IsEvacuated(failureDomain)
}

// chooseElsewhere returns the endpoint for a new flow while the own failure domain has none that may get it, with its cost,
// or nil. The flows go to the other domains at random, in proportion to their free capacity. The balancers of the own
// domain know the loads elsewhere from reports that are up to some seconds old: if each chose the least loaded domain, all
// of their flows would go to the same one until the next reports.
func (f *Forwarder) chooseElsewhere(now time.Time, s *service, excluded *endpointState) (*endpointState, float64) {
	var best *endpointState
	lowest := math.Inf(1)
	if g := f.randomGroup(now, s); g != nil {
		if best, lowest = f.cheapest(now, s, g, otherDomainChoices, excluded); lowest < suspectPenalty {
			return best, lowest
		}
	}
	for _, g := range s.groups {
		if g == s.own || !f.isOpenGroup(g) {
			continue
		}
		if v, cost := f.cheapest(now, s, g, otherDomainChoices, excluded); best == nil || cost < lowest {
			best, lowest = v, cost
		}
	}
	return best, lowest
}

// randomGroup returns one of the other open failure domains, with a probability in proportion to its free capacity, or nil
// if no domain has an endpoint that is not suspect. Domains from which no balancer reports are left out while there are
// others, since their load is unknown.
func (f *Forwarder) randomGroup(now time.Time, s *service) *group {
	capacity, flows, isReported := 0.0, 0.0, false
	isUsable := func(g *group) bool {
		return g != s.own && f.isOpenGroup(g) && g.eligible > 0 && g.domain.isEligible(now) &&
			(!isReported || g.domain.reporters > 0)
	}
	isReported = slices.ContainsFunc(s.groups, func(g *group) bool { return isUsable(g) && g.domain.reporters > 0 })
	for _, g := range s.groups {
		if isUsable(g) {
			capacity += g.capacity
			flows += g.mean() * g.capacity
		}
	}
	// A domain is full at the load at which the flows of another domain would leave it.
	full := SpillFactor*flows/capacity + SpillMargin
	free := 0.0
	for _, g := range s.groups {
		if isUsable(g) {
			free += g.free(full)
		}
	}
	at := f.random.Float64() * free
	for _, g := range s.groups {
		if !isUsable(g) {
			continue
		}
		if at -= g.free(full); at < 0 {
			return g
		}
	}
	return nil
}

// free returns the flows that the domain can take up to a load.
func (g *group) free(full float64) float64 { return max(full-g.mean(), 0) * g.capacity }
