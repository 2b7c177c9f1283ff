package admission

import (
	"math"
	"time"

	"cornellb/core/state/packet"
)

// rateWindow is the time constant of the exponential decay in the recent service rate. It spans a few dozen services of
// a small shard, and the rate still reflects the loss of an endpoint within seconds.
const rateWindow = 2 * time.Second

// minRateSample is the shortest busy time from which a service rate is computed. With less, EstimateWait returns 0.
const minRateSample = 100 * time.Millisecond

// rateClock measures busy time, which is time during which the queue is not empty, and the cost served in it. Service
// while the queue is empty does not show how much the endpoints can serve.
type rateClock struct {
	last   time.Time
	busy   float64 // decayed busy time in seconds
	served float64 // decayed served cost
}

// advance moves the rate measurement forward to now.
func (q *Queue) advance(now time.Time) {
	elapsed := now.Sub(q.rate.last)
	first := q.rate.last.IsZero()
	if !first && elapsed <= 0 {
		return
	}
	q.rate.last = now
	if first || q.count == 0 {
		return
	}
	factor := math.Exp(-elapsed.Seconds() / rateWindow.Seconds())
	q.rate.busy = q.rate.busy*factor + elapsed.Seconds()
	q.rate.served *= factor
	for _, c := range q.classes {
		c.served *= factor
	}
}

// recordServed counts the cost of a popped item. Items that did not wait are not counted: a slot was free at once, and
// no busy time passed.
func (q *Queue) recordServed(now time.Time, it *Item) {
	if !now.After(it.Enqueued) {
		return
	}
	q.rate.served += it.Cost
	q.classes[it.Class].served += it.Cost
}

// EstimateWait returns the time that a new item of a customer would wait, from the recent service rate of its class,
// or 0 if too little is known. The rate is taken to be at least the guaranteed share of the recent rate of the whole
// queue, because the recent rate of a class with little demand is below what it can get.
func (q *Queue) EstimateWait(now time.Time, class packet.Class, customer string) time.Duration {
	q.advance(now)
	c := q.classes[class]
	if c.count == 0 || q.rate.busy < minRateSample.Seconds() {
		return 0
	}
	own := 0.0
	if cu := c.customers[customer]; cu != nil {
		own = cu.cost
	}
	mean := c.cost / float64(c.count)
	ahead := min(c.cost, (own+mean)*float64(c.byLength.len()))
	rate := max(c.served, q.rate.served*c.weight/q.weight) / q.rate.busy
	if rate <= 0 {
		return 0
	}
	return time.Duration(min(ahead/rate, maxRetryAfter.Seconds()*100) * float64(time.Second))
}
