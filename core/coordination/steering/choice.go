package steering

import "time"

// Endpoints of other failure domains get a new flow if the load of those in the own one is more than FarFactor times
// theirs and FarMargin flows for each slot above. The zones of today's deployments differ by up to 1.4 in the load of
// their endpoints, which is no reason to send flows over links that are slower, priced, and cut at times.
const (
	FarFactor = 1.5
	FarMargin = 2.0
)

// tieNoise spreads flows of several balancers over endpoints that look equal, in flows.
const tieNoise = 0.5

// suspectPenalty ranks endpoints without a sign of life behind all others.
const suspectPenalty = 1e6

// choose returns the server for a new flow of a service, or nil. The excluded server is taken only if there is no other.
func (f *Forwarder) choose(now time.Time, service string, excluded *server) *server {
	var best *server
	lowest := 0.0
	for _, e := range f.snapshot.EndpointsOf(service) {
		v := f.servers[e.ID]
		if v == nil || !v.hasCookie {
			continue
		}
		cost := v.load(now, f.domainOf(f.config.FailureDomain).reporters) + tieNoise*f.random.Float64()/float64(max(e.Slots, 1))
		isTrusted := v.isTrusted(now)
		if e.FailureDomain != f.config.FailureDomain {
			cost = FarFactor*cost + FarMargin
			isTrusted = isTrusted && f.domainOf(e.FailureDomain).isTrusted(now)
		}
		if !isTrusted {
			cost += suspectPenalty * float64(1+v.failures)
		}
		if v == excluded {
			cost += suspectPenalty * suspectPenalty
		}
		if best == nil || cost < lowest {
			best, lowest = v, cost
		}
	}
	return best
}
