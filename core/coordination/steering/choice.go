package steering

import "time"

// Endpoints of other failure domains get a new flow if the load of those in the own one is more than FarFactor times
// theirs and FarMargin flows for each slot above. The zones of today's deployments differ by up to 1.4 in the load of
// their endpoints, which is no reason to send flows over links that are slower, priced, and cut at times.
const (
	FarFactor = 1.5
	FarMargin = 4.0
)

// unknownLoad is added to the load of endpoints in failure domains from which no balancer reports, in flows for each slot.
// It is above the usual load of today's deployments, about 25.
const unknownLoad = 100

// tieNoise spreads flows of several balancers over endpoints that look equal, in flows.
const tieNoise = 0.5

// suspectPenalty ranks endpoints without a sign of life behind all others.
const suspectPenalty = 1e6

// choose returns the server for a new flow of a service, or nil. The excluded server is taken only if there is no other.
// Of the best server in the own failure domain and the best one elsewhere, the latter needs a clear advantage.
func (f *Forwarder) choose(now time.Time, service string, excluded *server) *server {
	var near, far *server
	var lowestNear, lowestFar float64
	for _, e := range f.snapshot.EndpointsOf(service) {
		v := f.servers[e.ID]
		if v == nil || !v.hasCookie {
			continue
		}
		cost := f.cost(now, v, excluded)
		switch {
		case e.FailureDomain == f.config.FailureDomain:
			if near == nil || cost < lowestNear {
				near, lowestNear = v, cost
			}
		case far == nil || cost < lowestFar:
			far, lowestFar = v, cost
		}
	}
	switch {
	case near == nil:
		return far
	case far == nil || lowestFar >= suspectPenalty && lowestFar >= lowestNear:
		return near
	case lowestNear >= suspectPenalty:
		return far
	}
	// Flows placed lately count against the far one alone, so that a wave of new flows does not look like overload here.
	if near.load(now, 0) > FarFactor*lowestFar+FarMargin {
		return far
	}
	return near
}

// cost ranks the servers of one failure domain.
func (f *Forwarder) cost(now time.Time, v, excluded *server) float64 {
	others := f.domainOf(f.config.FailureDomain).reporters
	cost := v.load(now, others) + tieNoise*f.random.Float64()/float64(max(v.endpoint.Slots, 1))
	isTrusted := v.isTrusted(now)
	if name := v.endpoint.FailureDomain; name != f.config.FailureDomain {
		d := f.domainOf(name)
		if d.reporters == 0 {
			cost += unknownLoad
		}
		isTrusted = isTrusted && d.isTrusted(now)
	}
	if !isTrusted {
		cost += suspectPenalty * float64(1+v.failures)
	}
	if v == excluded {
		cost += suspectPenalty * suspectPenalty
	}
	return cost
}
