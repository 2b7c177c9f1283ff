// Package overload decides whether a new flow of a route is admitted while its service has too little room.
//
// The utilization of a service is the number of requests without an answer, divided by the slots of its endpoints. It
// is 1 if each slot works on a request, and rises with the queues of the endpoints. Beyond FullUse, flows of the least
// urgent priority are refused with a probability that rises with the utilization, up to all of them at FullUse plus
// Span; beyond that, it is the turn of the next priority, and so on. Flows of the most urgent priority, and all others
// too, are refused as far as their predicted response time exceeds the latency target.
//
// Queues fill and empty within a fraction of a second, while the reports of other balancers are up to some seconds old.
// Balancers that followed the reports alone would all refuse too much, and then too little. The routers spread the flows
// evenly over the balancers, so that a balancer's own requests tell as much as far as they are many enough; Load.Outstanding
// combines both. A Controller averages the utilization over Smoothing, and admits everything as soon as the latest value
// shows that the endpoints have room.
//
// # Usage
//
//	c := overload.New([]int{1, 2}) // the priorities of the service's routes; 0 is the most urgent one
//	load := overload.Load{Own: 12, Reported: 95, Reporters: 10, Others: 30, Slots: 177, Response: 40 * time.Millisecond}
//	c.Update(now, &load) // every 100 ms or so
//	isAdmitted := c.Admits(2, 600*time.Millisecond, fraction) // fraction is a hash of the flow in [0, 1)
//
// A Controller starts no goroutine and reads no clock. It must not be used concurrently.
package overload

import (
	"math"
	"slices"
	"time"
)

const (
	// FullUse is the utilization up to which everything is admitted. Requests must wait at the endpoints, since otherwise
	// slots are idle when the load is not spread evenly over them.
	FullUse = 3.5
	// Span is the utilization by which FullUse must be exceeded for all flows of the least urgent priority to be refused.
	// Endpoints with two slots that queue eight requests refuse further ones at a utilization of 5, whatever their
	// priority.
	Span = 2.25
	// Smoothing is the time constant of the averaged utilization. It is longer than the queues of endpoints take to fill,
	// and shorter than the reports of other balancers are old, so that it adds little to their delay.
	Smoothing = 300 * time.Millisecond
	// trustedCount is the number of own requests at which they count as much as the reports of other balancers. The
	// relative error of a count of n requests is 1/sqrt(n).
	trustedCount = 5
	// RestUse is the utilization below which an overload ends after RestTime, so that one overload is not logged several
	// times.
	RestUse = 1.5
	// RestTime is how long the utilization must be below RestUse.
	RestTime = 3 * time.Second
)

// Load is what a balancer knows of the load of a service at one time.
type Load struct {
	Own       int           // requests of this balancer without an answer
	Reported  int           // the same of the balancers that have reported lately
	Reporters int           // number of these balancers
	Others    int           // balancers besides this one, those that do not report included
	Slots     float64       // of the endpoints, weighted with their speeds
	Response  time.Duration // usual response time without waiting; 0 if it is unknown
}

// Outstanding estimates the requests of all balancers without an answer.
func (l *Load) Outstanding() float64 {
	others := float64(l.Reported)
	if l.Reporters > 0 {
		others *= max(float64(l.Others)/float64(l.Reporters), 1)
	}
	trust := float64(l.Own) / float64(l.Own+trustedCount)
	return float64(l.Own) + (1-trust)*others + trust*float64(l.Own*max(l.Others, l.Reporters))
}

// utilization returns the requests for each slot, less the standard error of an estimate from so many requests: a
// service with room must not refuse flows because the requests that few balancers have seen happen to be many.
func (l *Load) utilization() float64 {
	if l.Slots <= 0 || l.Own+l.Reported <= 0 {
		return 0
	}
	return l.Outstanding() * (1 - 1/math.Sqrt(float64(l.Own+l.Reported))) / l.Slots
}

// Controller decides for one service.
type Controller struct {
	priorities   []int // in rising order, without duplicates
	updatedAt    time.Time
	latest       float64 // utilization at the last update
	average      float64 // of the utilization
	response     time.Duration
	isOverloaded bool
	busyAt       time.Time // when the average was last at RestUse or above
}

// New returns a Controller for a service with routes of the given priorities.
func New(priorities []int) *Controller {
	sorted := slices.Clone(priorities)
	slices.Sort(sorted)
	return &Controller{priorities: slices.Compact(sorted)}
}

// IsActive reports whether the routes of the service differ in priority. Otherwise Admits is always true.
func (c *Controller) IsActive() bool { return len(c.priorities) > 1 }

// Priorities returns the priorities of the service's routes in rising order, without duplicates.
func (c *Controller) Priorities() []int { return c.priorities }

// Update records the load of the service.
func (c *Controller) Update(now time.Time, l *Load) {
	c.latest = l.utilization()
	weight := 1.0
	if !c.updatedAt.IsZero() {
		weight = 1 - math.Exp(-now.Sub(c.updatedAt).Seconds()/Smoothing.Seconds())
	}
	c.updatedAt, c.response = now, l.Response
	c.average += (c.latest - c.average) * weight
	if c.average >= RestUse {
		c.busyAt = now
	}
	if c.average > FullUse {
		c.isOverloaded = true
	} else if now.Sub(c.busyAt) >= RestTime {
		c.isOverloaded = false
	}
}

// Utilization returns the averaged utilization.
func (c *Controller) Utilization() float64 { return c.average }

// IsOverloaded reports whether flows are refused, or have been a moment ago.
func (c *Controller) IsOverloaded() bool { return c.IsActive() && c.isOverloaded }

// Admits reports whether a flow of a route with the given priority and latency target may be opened. A target of 0 is
// unknown. The fraction is a hash of the flow in [0, 1), with which all balancers at the same utilization decide alike.
func (c *Controller) Admits(priority int, target time.Duration, fraction float64) bool {
	return fraction >= c.Refusal(priority, target)
}

// Refusal returns the probability with which a flow is refused.
func (c *Controller) Refusal(priority int, target time.Duration) float64 {
	used := min(c.average, c.latest)
	if !c.IsActive() || used <= FullUse {
		return 0
	}
	refusal := 0.0
	if rank := c.rank(priority); rank < len(c.priorities)-1 {
		refusal = (used-FullUse)/Span - float64(rank)
	}
	if predicted := time.Duration(used * float64(c.response)); target > 0 && predicted > target {
		refusal = max(refusal, 1-float64(target)/float64(predicted))
	}
	return min(max(refusal, 0), 1)
}

// rank returns how many priorities of the service are less urgent.
func (c *Controller) rank(priority int) int {
	n := 0
	for _, p := range c.priorities {
		if p > priority {
			n++
		}
	}
	return n
}
