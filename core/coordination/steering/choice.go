package steering

import "time"

// farPenalty is added to the load of endpoints in other failure domains. As each balancer counts its own flows only, the
// others' endpoints look idle to it.
const farPenalty = 1000

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
		cost := v.load(now, len(f.reports)) + tieNoise*f.random.Float64()/float64(max(e.Slots, 1))
		if e.FailureDomain != f.config.FailureDomain {
			cost += farPenalty
		}
		if !v.isTrusted(now) {
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
