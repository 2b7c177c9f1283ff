package endpoint

import (
	"math/rand/v2"
	"time"
)

// Defaults of RetryConfig.
const (
	DefaultRetryRatio     = 0.1
	DefaultRetryPerSecond = 1.0
	DefaultRetryBurst     = 10.0
	DefaultBackoffBase    = 10 * time.Millisecond
	DefaultBackoffMax     = time.Second
)

// RetryConfig holds the settings of a RetryBudget. Zero values stand for the defaults.
type RetryConfig struct {
	Ratio     float64 // retries allowed per first attempt
	PerSecond float64 // retries allowed per second in addition
	Burst     float64 // capacity of the token bucket
	BackoffBase,
	BackoffMax time.Duration
}

// RetryBudget limits the retries of a pool shard, so that failing endpoints do not get more work than healthy ones. It
// is a token bucket that is filled by first attempts and by time. It takes no lock: it is used under the lock
// of its shard.
type RetryBudget struct {
	config   RetryConfig
	random   *rand.Rand
	tokens   float64
	filledAt time.Time // when the bucket was last filled for elapsed time
}

// NewRetryBudget returns a budget with a full bucket. random jitters the backoff.
func NewRetryBudget(c RetryConfig, random *rand.Rand) *RetryBudget {
	if c.Ratio <= 0 {
		c.Ratio = DefaultRetryRatio
	}
	if c.PerSecond <= 0 {
		c.PerSecond = DefaultRetryPerSecond
	}
	if c.Burst <= 0 {
		c.Burst = DefaultRetryBurst
	}
	if c.BackoffBase <= 0 {
		c.BackoffBase = DefaultBackoffBase
	}
	if c.BackoffMax <= 0 {
		c.BackoffMax = DefaultBackoffMax
	}
	return &RetryBudget{config: c, random: random, tokens: c.Burst}
}

// AddFirstAttempt counts an attempt that is not a retry.
func (b *RetryBudget) AddFirstAttempt() { b.tokens = min(b.tokens+b.config.Ratio, b.config.Burst) }

// Take reports whether a retry is allowed and counts it.
func (b *RetryBudget) Take(now time.Time) bool {
	if elapsed := now.Sub(b.filledAt); !b.filledAt.IsZero() && elapsed > 0 {
		b.tokens = min(b.tokens+b.config.PerSecond*elapsed.Seconds(), b.config.Burst)
	}
	if b.filledAt.IsZero() || now.After(b.filledAt) {
		b.filledAt = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff returns the time to wait before a retry; attempt is 1 for the first retry. The backoff doubles with each
// attempt up to BackoffMax, and the returned time is random between half of it and all of it, so that retries are
// neither simultaneous nor immediate.
func (b *RetryBudget) Backoff(attempt int) time.Duration {
	d := b.config.BackoffBase
	for i := 1; i < attempt && d < b.config.BackoffMax; i++ {
		d *= 2
	}
	d = min(d, b.config.BackoffMax)
	return d/2 + time.Duration(b.random.Int64N(int64(d/2)+1))
}
