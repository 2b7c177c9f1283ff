package steering

import "time"

// coldSpeed is the part of its usual speed at which an endpoint works in its first seconds. Taking it into account
// keeps a new endpoint from getting all new flows at once.
const coldSpeed = 0.6

// speedOf returns the speed of an endpoint, as a part of the usual one of its service.
func (f *Forwarder) speedOf(now time.Time, v *endpointState) float64 {
	if now.Before(v.endpoint.WarmAt) {
		return coldSpeed
	}
	return 1
}
