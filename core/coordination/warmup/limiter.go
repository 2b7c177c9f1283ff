package warmup

import (
	"math"
	"slices"
	"time"
)

// window is the time over which the flows opened on a cold endpoint are limited.
const window = time.Second

// ownersAtOnce is the number of owners that an endpoint may have at the same time: one in each half of a cut failure domain, and
// one that has just been cut off and does not know it yet. Each may open this part of the bound.
const ownersAtOnce = 3

// Share returns the number of flows that one owner may open on a cold endpoint in any window, where rate is the number
// of requests per second that the endpoint can handle.
func Share(rate, overshoot, slack float64) int {
	return int(math.Floor((rate*overshoot + slack) / ownersAtOnce))
}

// Limiter limits the number of flows in each sliding window. It keeps the time of each flow: a token bucket would let a
// full bucket and the flow of a whole window pass within one window. The zero value has no flows.
type Limiter struct {
	opened []time.Time // in the last window, oldest first
}

// Clone returns a copy that shares no state with l.
func (l *Limiter) Clone() Limiter { return Limiter{opened: slices.Clone(l.opened)} }

// Allows reports whether another flow may be opened if there may be limit flows in each window.
func (l *Limiter) Allows(now time.Time, limit int) bool {
	expired := 0
	for expired < len(l.opened) && now.Sub(l.opened[expired]) > window {
		expired++
	}
	if expired > 0 {
		l.opened = append(l.opened[:0], l.opened[expired:]...)
	}
	return len(l.opened) < limit
}

// Record records that a flow is opened. Calls of several goroutines may have times slightly out of order.
func (l *Limiter) Record(now time.Time) {
	if n := len(l.opened); n > 0 && now.Before(l.opened[n-1]) {
		now = l.opened[n-1]
	}
	l.opened = append(l.opened, now)
}
