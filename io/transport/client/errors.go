package client

import (
	"fmt"
	"time"

	"cornellb/core/state/packet"
)

// NotRunError reports that a request, or an open, did not run and will not run.
type NotRunError struct {
	Reason     packet.Reason
	RetryAfter time.Duration // time after which another try may succeed; 0 if the balancer gave none
	Cause      error         // local cause, such as a cancelled context; nil if the balancer refused
}

func (e *NotRunError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("not run: %v: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("not run: %v, retry after %v", e.Reason, e.RetryAfter)
}

// Unwrap returns the local cause.
func (e *NotRunError) Unwrap() error { return e.Cause }

// UnknownError reports that a request may or may not have run, once or, if it is idempotent, several times.
type UnknownError struct {
	Reason packet.Reason
	Cause  error // local cause, such as a cancelled context; nil if the balancer reported the outcome
}

func (e *UnknownError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("outcome unknown: %v: %v", e.Reason, e.Cause)
	}
	return fmt.Sprintf("outcome unknown: %v", e.Reason)
}

// Unwrap returns the local cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// SizeError reports an input that does not fit in a datagram.
type SizeError struct {
	Field string
	Size  int // bytes
	Limit int // bytes
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("%s of %d bytes exceeds the limit of %d bytes", e.Field, e.Size, e.Limit)
}

// ClosedError reports that the flow or its client was closed.
type ClosedError struct{}

func (*ClosedError) Error() string { return "flow or client is closed" }

// SubscribedError reports that the flow already has a feed.
type SubscribedError struct {
	Feed string // name of the feed that the flow has
}

func (e *SubscribedError) Error() string { return fmt.Sprintf("flow already has feed %q", e.Feed) }

// DeadlineError reports that the deadline passed without an outcome.
type DeadlineError struct{}

func (*DeadlineError) Error() string { return "deadline passed without an outcome" }
