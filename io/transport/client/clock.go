package client

import "time"

// Clock tells the time and starts timers.
type Clock interface {
	Now() time.Time
	// NewTimer returns a channel that receives once after d, and a function that stops the timer.
	NewTimer(d time.Duration) (expired <-chan time.Time, stop func() bool)
}

// SystemClock is the clock of the process.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// NewTimer starts a timer of the process.
func (SystemClock) NewTimer(d time.Duration) (<-chan time.Time, func() bool) {
	t := time.NewTimer(d)
	return t.C, t.Stop
}
