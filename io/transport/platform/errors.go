package platform

import (
	"fmt"
	"time"
)

// ConflictError reports a conditional put of an object that does not have the expected version.
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

// UnavailableError reports a call that got no response, an unreadable one or a server error (status 500 or higher). A
// put may have taken effect nevertheless.
type UnavailableError struct {
	Operation string
	Err       error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("the platform is unavailable: %s: %v", e.Operation, e.Err)
}

// Unwrap returns e.Err.
func (e *UnavailableError) Unwrap() error { return e.Err }

// RateLimitError reports a call that the platform rejected because its rate limit was exceeded. It had no effect.
type RateLimitError struct {
	Operation  string
	RetryAfter time.Duration // minimum wait that the platform asked for; 0 if none
}

func (e *RateLimitError) Error() string {
	return fmt.Sprintf("the platform refused %s: rate limit exceeded, retry after %s", e.Operation, e.RetryAfter)
}

// RequestError reports a call that the platform rejected for another reason, such as a value that is too large, or one
// that could not be sent because its URL or method is invalid. It had no effect, and a retry would fail again.
type RequestError struct {
	Operation string
	Status    int // HTTP status; 0 if the request was not sent
	Message   string
}

func (e *RequestError) Error() string {
	return fmt.Sprintf("the platform refused %s: status %d: %s", e.Operation, e.Status, e.Message)
}

// VersionConflictError reports an edit that is not based on the current version of the tables.
type VersionConflictError struct {
	Edited  uint64 // table version on which the edit is based
	Current uint64 // table version in the platform
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("conflict: the tables were edited from version %d, but the platform has version %d",
		e.Edited, e.Current)
}

// OutcomeUnknownError reports a change that may or may not have been accepted: the platform did not answer before the
// context ended, it rejected a retry, or the stored head no longer lists changes that old.
type OutcomeUnknownError struct {
	ChangeID string
	Version  uint64 // table version of the change if it was accepted
	Err      error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change %s may or may not have become version %d: %v", e.ChangeID, e.Version, e.Err)
}

// Unwrap returns e.Err.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }
