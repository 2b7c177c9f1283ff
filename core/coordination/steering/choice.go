package steering

import (
	"math/rand/v2"
	"time"

	"cornellb/core/state/directory"
)

// While the own failure domain has an endpoint that is not suspect, a new flow goes to another domain only if the mean
// load of the own one exceeds SpillFactor times that of the other plus SpillMargin flows per slot. The zones of today's
// deployments differ by a factor of up to 1.4 in the load of their endpoints; that is no reason to send flows over
// links between domains, which are slower, cost money and fail at times.
const (
	SpillFactor = 1.5
	SpillMargin = 4.0
)

// unreportedLoad is added to the load, in flows per slot, of endpoints in failure domains from which no balancer
// reports. It is above the usual load of today's deployments, about 25.
const unreportedLoad = 100

// tieBreakNoise is the amplitude, in flows, of the random noise that makes several balancers choose different endpoints
// among equally loaded ones.
const tieBreakNoise = 0.5

// suspectPenalty is a cost that ranks suspect endpoints behind all others.
const suspectPenalty = 1e6

// choose returns the endpoint for a new flow of a service, or nil. It returns the excluded endpoint only if there is no
// other. The own failure domain is preferred, unless it is clearly more loaded as a whole than another one.
func (f *Forwarder) choose(now time.Time, service string, excluded *endpointState) *endpointState {
	own := f.domainOf(f.config.FailureDomain)
	for _, d := range f.domains {
		d.candidates = candidates{}
	}
	reporters := own.reporters
	endpoints := f.snapshot.EndpointsOf(service)
	meanLoad := f.meanLoad(now, endpoints, reporters)
	for _, e := range endpoints {
		v := f.endpointStates[e.ID]
		if v == nil || !v.hasCookie {
			continue
		}
		f.suspectUnconfirmed(now, v)
		cost := v.load(now, reporters) + tieBreakNoise*f.random.Float64()/float64(max(e.Slots, 1))
		if v.penalty > 0 {
			// The load of an endpoint with few flows is a poor basis for the penalty, so at least the mean load is
			// used.
			cost += max(cost, meanLoad) * (1/v.weight() - 1)
		}
		if !v.isEligible(now) {
			cost += suspectPenalty * float64(1+v.failures)
		}
		if v == excluded {
			cost += suspectPenalty * suspectPenalty
		}
		f.domainOf(e.FailureDomain).add(v, cost, v.load(now, 0), f.random)
	}
	other := f.leastLoaded(now, own)
	switch {
	case other == nil || own.best != nil && own.lowestCost < suspectPenalty && !isOverloaded(own, other):
		return own.best
	case own.best != nil && other.lowestCost >= own.lowestCost:
		return own.best // neither domain has an endpoint that is not suspect
	}
	return other.pickSampled()
}

// meanLoad returns the mean load of endpoints, or 0 while no outcomes of requests are known. reporters is the number of
// other balancers of the own failure domain that report.
func (f *Forwarder) meanLoad(now time.Time, endpoints []*directory.Endpoint, reporters int) float64 {
	if len(f.withEvidence) == 0 {
		return 0
	}
	sum, n := 0.0, 0
	for _, e := range endpoints {
		if v := f.endpointStates[e.ID]; v != nil {
			sum += v.load(now, reporters)
			n++
		}
	}
	return sum / float64(max(n, 1))
}

// isOverloaded reports whether a failure domain is clearly more loaded than another one.
func isOverloaded(own, other *domain) bool { return own.mean() > SpillFactor*other.mean()+SpillMargin }

// leastLoaded returns the failure domain other than the own one with the lowest load, or nil if no other has endpoints
// of the service. Suspect domains and those without a reporting balancer come last.
func (f *Forwarder) leastLoaded(now time.Time, own *domain) *domain {
	var best *domain
	lowest := 0.0
	for _, d := range f.domains {
		if d == own || d.best == nil {
			continue
		}
		if d.reporters == 0 {
			d.loadSum += unreportedLoad * float64(d.count)
		}
		if !d.isEligible(now) {
			d.loadSum += suspectPenalty * float64(d.count)
			d.lowestCost += suspectPenalty
		}
		if cost := d.mean() + d.lowestCost; best == nil || cost < lowest {
			best, lowest = d, cost
		}
	}
	return best
}

// candidates holds the endpoints of a service in one failure domain while an endpoint is chosen.
type candidates struct {
	best        *endpointState
	lowestCost  float64 // cost of best
	loadSum     float64
	weightSum   float64
	count       int
	sample      [2]*endpointState // two endpoints drawn uniformly at random
	sampleCosts [2]float64
}

func (c *candidates) add(v *endpointState, cost, load float64, random *rand.Rand) {
	c.count++
	c.loadSum += load
	c.weightSum += v.weight()
	if c.best == nil || cost < c.lowestCost {
		c.best, c.lowestCost = v, cost
	}
	// Reservoir sampling: each endpoint is in the sample with the same probability.
	i := c.count - 1
	if i >= len(c.sample) {
		i = random.IntN(c.count)
	}
	if i < len(c.sample) {
		c.sample[i], c.sampleCosts[i] = v, cost
	}
}

// mean returns the load per unit of weight, so that endpoints with a reduced weight count as less capacity.
func (c *candidates) mean() float64 {
	if c.count == 0 {
		return 0
	}
	return c.loadSum / c.weightSum
}

// pickSampled returns the cheaper of two random endpoints. Reports to balancers of other failure domains come late, so
// that all of them would otherwise choose the same best endpoint.
func (c *candidates) pickSampled() *endpointState {
	v, cost := c.sample[0], c.sampleCosts[0]
	if c.sample[1] != nil && c.sampleCosts[1] < cost {
		v, cost = c.sample[1], c.sampleCosts[1]
	}
	if cost >= suspectPenalty {
		return c.best
	}
	return v
}
