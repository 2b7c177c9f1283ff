package steering

import (
	"math"
	"slices"
	"time"
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

const (
	// minChoices and maxChoices bound the number of endpoints of the own failure domain that are compared for a new
	// flow, see choices.
	minChoices = 4
	maxChoices = 16
	// choicesPerShare is the number of endpoints that are compared, in units of the endpoints of a balancer's share.
	choicesPerShare = 6
	// otherDomainChoices is the number of endpoints that are compared in another failure domain. Reports to balancers of
	// other failure domains come late, so that all of them would otherwise choose the same best endpoint.
	otherDomainChoices = 2
	// aggregateAge is the age up to which the sums over the endpoints of a service are used, and aggregateAgePerEndpoint
	// what each endpoint adds to it, so that the sums take the same part of the processor at each size.
	aggregateAge            = 50 * time.Millisecond
	aggregateAgePerEndpoint = 250 * time.Microsecond
)

// service holds the endpoints of a service that may get new flows, by failure domain.
type service struct {
	groups       []*group
	own          *group // nil if the own failure domain has none
	endpoints    int
	aggregatedAt time.Time
	meanLoad     float64 // of all endpoints, as this balancer estimates it; 0 while no outcomes of requests are known
}

// group holds the endpoints of a service in one failure domain, and sums over them as of service.aggregatedAt.
type group struct {
	name      string // of the failure domain
	domain    *domain
	endpoints []*endpointState
	loadSum   float64
	weightSum float64
	eligible  int // endpoints that are not suspect

	capacity float64 // slots of the endpoints, reduced by their speeds and weights
}

// mean returns the load per unit of weight, so that endpoints with a reduced weight count as less capacity. It is infinite
// if no endpoint may get a flow.
func (g *group) mean() float64 {
	if g.weightSum == 0 {
		return math.Inf(1)
	}
	return g.loadSum / g.weightSum
}

// serviceNamed returns the endpoints of a service, with sums that are recent enough.
func (f *Forwarder) serviceNamed(now time.Time, name string) *service {
	s := f.services[name]
	if s == nil {
		s = f.newService(name)
		f.services[name] = s
	}
	if s.aggregatedAt.IsZero() || now.Sub(s.aggregatedAt) >= s.sumsAge() {
		f.aggregate(now, s)
	}
	return s
}

// sumsAge returns the age up to which sums over the endpoints of the service are used.
func (s *service) sumsAge() time.Duration {
	return aggregateAge + time.Duration(s.endpoints)*aggregateAgePerEndpoint
}

func (f *Forwarder) newService(name string) *service {
	s := &service{}
	groups := make(map[string]*group)
	for _, e := range f.snapshot.EndpointsOf(name) {
		v := f.endpointStates[e.ID]
		if v == nil || !v.hasCookie {
			continue
		}
		g := groups[e.FailureDomain]
		if g == nil {
			g = &group{name: e.FailureDomain, domain: f.domainOf(e.FailureDomain)}
			groups[e.FailureDomain] = g
			s.groups = append(s.groups, g)
		}
		g.endpoints = append(g.endpoints, v)
		s.endpoints++
	}
	s.own = groups[f.config.FailureDomain]
	return s
}

// aggregate computes the sums over the endpoints of a service.
func (f *Forwarder) aggregate(now time.Time, s *service) {
	s.aggregatedAt, s.meanLoad = now, 0
	reporters := f.domainOf(f.config.FailureDomain).reporters
	for _, g := range s.groups {
		g.loadSum, g.weightSum, g.capacity, g.eligible = 0, 0, 0, 0
		for _, v := range g.endpoints {
			f.suspectUnconfirmed(now, v)
			if f.mayOpen(now, v) { // a cold endpoint without flows would hide the load of the others
				g.loadSum += f.loadOf(now, v, 0)
				g.weightSum += v.weight()
				g.capacity += v.weight() * f.speedOf(now, v) * float64(max(v.endpoint.Slots, 1))
				if v.isEligible(now) {
					g.eligible++
				}
			}
			if len(f.withEvidence) > 0 {
				s.meanLoad += f.loadOf(now, v, reporters) / float64(s.endpoints)
			}
		}
	}
}

// choose returns the endpoint for a new flow of a service, or nil. It returns the excluded endpoint only if there is no
// other. The own failure domain is preferred, unless it is clearly more loaded as a whole than another one. The time it
// takes does not depend on the number of endpoints, except that all of a failure domain are compared while those that it
// looks at first are suspect.
func (f *Forwarder) choose(now time.Time, name string, excluded *endpointState) (*endpointState, Reason) {
	s := f.serviceNamed(now, name)
	var best *endpointState
	lowest := math.Inf(1)
	reason := ReasonNoEndpoint
	if len(s.groups) > 0 && !slices.ContainsFunc(s.groups, f.isOpenGroup) {
		reason = ReasonEvacuated
	}
	hasOwn := s.own != nil && f.isOpenGroup(s.own)
	if hasOwn {
		best, lowest = f.cheapest(now, s, s.own, f.choices(s.own), excluded)
	}
	if math.IsInf(lowest, 1) { // none, evacuated, or all are cold and may get no flow
		if v, cost := f.chooseElsewhere(now, s, excluded); v != nil {
			best, lowest = v, cost
		}
	} else if other, otherLoad := f.leastLoaded(now, s); other != nil &&
		!(lowest < suspectPenalty && s.keepsFlows(otherLoad)) {
		candidate, cost := f.cheapest(now, s, other, otherDomainChoices, excluded)
		if best == nil || cost < max(lowest, suspectPenalty) {
			best, lowest = candidate, cost
		}
	}
	if best != nil && math.IsInf(lowest, 1) {
		return f.chooseAnywhere(now, s, excluded)
	}
	return best, reason
}

// keepsFlows reports whether new flows stay in the own failure domain at the load of the least loaded other one.
func (s *service) keepsFlows(otherLoad float64) bool {
	return s.own.mean() <= SpillFactor*otherLoad+SpillMargin
}

// isOpenGroup reports whether new flows may go to the failure domain of a group.
func (f *Forwarder) isOpenGroup(g *group) bool { return !f.isEvacuated(g.name) }

// choices returns the number of endpoints of the own failure domain that are compared for a new flow: all of a few. Many
// balancers that compare all of many would choose the same one, since they know of each other's choices by reports that
// are up to some seconds old.
func (f *Forwarder) choices(g *group) int {
	if len(g.endpoints) <= maxChoices {
		return maxChoices
	}
	share := float64(len(g.endpoints)) / float64(1+max(g.domain.reporters, g.domain.members-1))
	return min(max(int(math.Ceil(choicesPerShare*share)), minChoices), maxChoices)
}

// cheapest returns the endpoint with the lowest cost of a number of random ones, with its cost. If all of these are
// suspect, it compares all endpoints of the group.
func (f *Forwarder) cheapest(
	now time.Time, s *service, g *group, choices int, excluded *endpointState,
) (*endpointState, float64) {
	n := len(g.endpoints)
	var best *endpointState
	lowest := 0.0
	if choices < n {
		for range choices {
			v := g.endpoints[f.random.IntN(n)]
			if cost := f.cost(now, s, v, excluded); best == nil || cost < lowest {
				best, lowest = v, cost
			}
		}
		if lowest < suspectPenalty {
			return best, lowest
		}
	}
	for _, v := range g.endpoints {
		if cost := f.cost(now, s, v, excluded); best == nil || cost < lowest {
			best, lowest = v, cost
		}
	}
	return best, lowest
}

// cost returns the cost of placing a new flow on an endpoint: the load that it would have, increased if it is suspect or
// fails requests.
func (f *Forwarder) cost(now time.Time, s *service, v, excluded *endpointState) float64 {
	if v != excluded && !f.mayOpen(now, v) { // a flow that stays where it is is not a new one
		return math.Inf(1)
	}
	f.suspectUnconfirmed(now, v)
	reporters := f.domainOf(f.config.FailureDomain).reporters
	cost := f.loadOf(now, v, reporters) - f.speedDiscount(now, v, reporters) + f.requestCost(now, v)
	cost += tieBreakNoise * f.random.Float64() / float64(max(v.endpoint.Slots, 1))
	if v.penalty > 0 {
		// The load of an endpoint with few flows is a poor basis for the penalty, so at least the mean load is used.
		cost += max(cost, s.meanLoad) * (1/v.weight() - 1)
	}
	if !v.isEligible(now) {
		cost += suspectPenalty * float64(1+v.failures)
	}
	if v == excluded {
		cost += suspectPenalty * suspectPenalty
	}
	return cost
}

// leastLoaded returns the endpoints of the failure domain other than the own one with the lowest load, or nil if no other
// has endpoints of the service. Suspect domains, those whose endpoints are all suspect, and those without a reporting
// balancer come last: their load counts as higher.
func (f *Forwarder) leastLoaded(now time.Time, s *service) (best *group, lowest float64) {
	for _, g := range s.groups {
		if g == s.own || !f.isOpenGroup(g) {
			continue
		}
		cost := g.mean()
		if g.domain.reporters == 0 {
			cost += unreportedLoad
		}
		if !g.domain.isEligible(now) {
			cost += suspectPenalty
		}
		if g.eligible == 0 {
			cost += suspectPenalty
		}
		if best == nil || cost < lowest {
			best, lowest = g, cost
		}
	}
	return best, lowest
}
