package platform

import (
	"fmt"
	"time"
)

// ConflictError reports a conditional put whose object had another version.
type ConflictError struct {
	Kind, Name       string
	Expected, Actual uint64 // object versions
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("object %s/%s has version %d, not %d", e.Kind, e.Name, e.Actual, e.Expected)
}

// NotFoundError reports an object that does not exist.
type NotFoundError struct {
	Kind, Name string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("object %s/%s does not exist", e.Kind, e.Name)
}

// UnavailableError reports a call without a usable response. A put may have taken effect nevertheless.
type UnavailableError struct {
	Operation string
	Err       error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform is unavailable: %s: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RateLimitError reports a call that the platform refused for its rate. It had no effect.
type RateLimitError struct {
	Operation  string
	RetryAfter time.Duration
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("the platform refused %s for its rate, retry after %s", e.Operation, e.RetryAfter)
}

// RequestError reports a call that the platform refused for another reason, such as a value that is too large. It had
// no effect, and the same call will be refused again.
type RequestError struct {
	Operation string
	Status    int // HTTP status
	Message   string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("the platform refused %s: status %d: %s", e.Operation, e.Status, e.Message)
}

// VersionConflictError reports an edit of tables that were changed in the meantime.
type VersionConflictError struct {
	Edited  uint64 // table version from which the file was edited
	Current uint64 // table version in the platform
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("conflict: the tables were edited from version %d, but the platform has version %d",
		e.Edited, e.Current)
}

// OutcomeUnknownError reports a change whose fate could not be found out before the deadline.
type OutcomeUnknownError struct {
	ChangeID string
	Version  uint64 // table version that the change makes if it was accepted
	Err      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may or may not have become version %d: %v", e.ChangeID, e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
