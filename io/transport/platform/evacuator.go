package platform

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
)

// EvacuationStore writes and reads the objects that evacuate failure domains.
type EvacuationStore interface {
	CreateEvacuation(ctx context.Context, domain string) error // a *ConflictError if the object exists
	DeleteEvacuation(ctx context.Context, domain string) error // a *NotFoundError if there is none
	HasEvacuation(ctx context.Context, domain string) (bool, error)
}

// Evacuator evacuates failure domains and restores them. It repeats calls until one succeeds or the context ends, because
// a store that refuses calls for a while is no reason to leave a failure domain in use.
type Evacuator struct {
	Store EvacuationStore
	Clock Clock
}

// EvacuationUnknownError reports a write that may have taken effect: its answer was lost, and so were the answers to the
// reads after it.
type EvacuationUnknownError struct {
	Domain string
	Err    error
}

func (e *EvacuationUnknownError) Error() string {
	return fmt.Sprintf("whether failure domain %s is evacuated is not known: %v", e.Domain, e.Err)
}

// Unwrap returns e.Err.
func (e *EvacuationUnknownError) Unwrap() error { return e.Err }

// Evacuate evacuates a failure domain. The result is false if it was evacuated already. The error is an
// *EvacuationUnknownError if the write may have taken effect.
func (e *Evacuator) Evacuate(ctx context.Context, domain string) (isChanged bool, err error) {
	return e.write(ctx, domain, true)
}

// Restore ends the evacuation of a failure domain. The result is false if it was not evacuated. The error is an
// *EvacuationUnknownError if the write may have taken effect.
func (e *Evacuator) Restore(ctx context.Context, domain string) (isChanged bool, err error) {
	return e.write(ctx, domain, false)
}

// write brings the object into the wanted state. After a write without an answer it reads the object, and writes again
// only if the read shows the other state.
func (e *Evacuator) write(ctx context.Context, domain string, isWanted bool) (isChanged bool, err error) {
	mayHaveApplied, isReadDue := false, false
	for attempt := 1; ; attempt++ {
		var exists bool
		if isReadDue {
			if exists, err = e.Store.HasEvacuation(ctx, domain); err == nil && exists == isWanted {
				return true, nil
			}
			isReadDue = err != nil
		}
		if !isReadDue {
			err = e.writeOnce(ctx, domain, isWanted)
			var conflict *ConflictError
			var missing *NotFoundError
			switch {
			case err == nil:
				return true, nil
			case isWanted && errors.As(err, &conflict), !isWanted && errors.As(err, &missing):
				return mayHaveApplied, nil // true if an earlier write without an answer has taken effect
			}
			var unavailable *UnavailableError
			isReadDue = errors.As(err, &unavailable)
			mayHaveApplied = mayHaveApplied || isReadDue
		}
		if isRetryable(err) && pause(ctx, e.Clock, max(backoff(attempt), retryAfter(err))) {
			continue
		}
		if mayHaveApplied {
			return false, &EvacuationUnknownError{Domain: domain, Err: err}
		}
		return false, err
	}
}

func (e *Evacuator) writeOnce(ctx context.Context, domain string, isWanted bool) error {
	if isWanted {
		return e.Store.CreateEvacuation(ctx, domain)
	}
	return e.Store.DeleteEvacuation(ctx, domain)
}
