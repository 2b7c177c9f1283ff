package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
)

// Store is the part of the Client that an Editor and a StatusWriter use.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error)
}

// Editor reads the tables and applies changes to them.
type Editor struct {
	Store    Store
	Clock    Clock
	Operator string        // name recorded with each change in the head
	NewID    func() string // returns a unique change ID
}

// Result describes the outcome of a successful Apply.
type Result struct {
	Version   uint64 // table version after the call
	ChangeID  string // empty if IsChanged is false
	IsChanged bool   // false if the stored tables were already equal and nothing was written
}

// storedHead is the stored head with the version of its object.
type storedHead struct {
	head    *table.Head // nil if no head is stored
	version uint64      // object version, which is not the table version
}

func (s storedHead) tableVersion() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Version
}

// Read returns the tables in the store, or empty tables of version 0 if none are stored yet.
func (e *Editor) Read(ctx context.Context) (*table.Tables, error) {
	stored, err := e.readHead(ctx)
	if err != nil || stored.head == nil {
		return &table.Tables{}, err
	}
	segments, err := fetchSegments(ctx, e.Store, stored.head.Digests(), nil)
	if err != nil {
		return nil, err
	}
	return table.Join(stored.head, func(d table.Digest) *table.Segment { return segments[d] })
}

// ReadHead returns the head in the store, or nil if there is none.
func (e *Editor) ReadHead(ctx context.Context) (*table.Head, error) {
	stored, err := e.readHead(ctx)
	return stored.head, err
}

// Apply stores the tables as version t.Version+1, where t.Version is the version from which they were edited. It
// returns a *table.ValidationError for invalid tables, a *VersionConflictError if the store has another version, a
// *table.HeadError for an invalid operator name, an *OutcomeUnknownError if it cannot tell whether the change was
// accepted, or an error of the Store.
func (e *Editor) Apply(ctx context.Context, t *table.Tables) (Result, error) {
	if err := table.Validate(t); err != nil {
		return Result{}, err
	}
	before, err := e.readHead(ctx)
	if err != nil {
		return Result{}, err
	}
	if before.tableVersion() != t.Version {
		return Result{}, &VersionConflictError{Edited: t.Version, Current: before.tableVersion()}
	}
	next := *t
	next.Version = t.Version + 1
	head, segments, err := table.Split(&next)
	if err != nil {
		return Result{}, err
	}
	if before.head != nil && len(head.Missing(isOneOf(before.head.Digests()))) == 0 && sameTables(head, before.head) {
		return Result{Version: t.Version}, nil
	}
	change := table.Change{ID: e.NewID(), Operator: e.Operator, Time: e.Clock.Now().UTC().Truncate(time.Millisecond)}
	head.AppendChange(before.head, change)
	if err := head.Check(); err != nil {
		return Result{}, err
	}
	if err := e.writeSegments(ctx, before.head, segments); err != nil {
		return Result{}, err
	}
	if err := e.writeHead(ctx, head, before.version, change.ID); err != nil {
		return Result{}, err
	}
	return Result{Version: head.Version, ChangeID: change.ID, IsChanged: true}, nil
}

// isOneOf returns a function that reports whether a digest is among the given ones.
func isOneOf(digests []table.Digest) func(table.Digest) bool {
	known := make(map[table.Digest]bool, len(digests))
	for _, d := range digests {
		known[d] = true
	}
	return func(d table.Digest) bool { return known[d] }
}

// sameTables reports whether two heads name the same segments, whatever their versions and changes are.
func sameTables(a, b *table.Head) bool {
	return equalDigests(a.Routes, b.Routes) && equalDigests(a.Pools, b.Pools)
}

func equalDigests(a, b []table.Digest) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (e *Editor) readHead(ctx context.Context) (storedHead, error) {
	o, err := e.Store.Get(ctx, platform.KindTables, platform.NameHead)
	var missing *NotFoundError
	if errors.As(err, &missing) {
		return storedHead{}, nil
	}
	if err != nil {
		return storedHead{}, err
	}
	h, err := table.DecodeHead(o.Value)
	return storedHead{head: h, version: o.Version}, err
}

// writeSegments writes the segments that the previous head does not name. A segment is named by the digest of its
// content and written only if it does not exist, so that the write is idempotent.
func (e *Editor) writeSegments(ctx context.Context, before *table.Head, segments []*table.Segment) error {
	var known []table.Digest
	if before != nil {
		known = before.Digests()
	}
	isKnown := isOneOf(known)
	for _, s := range segments {
		if isKnown(s.Digest) {
			continue
		}
		if err := e.writeSegment(ctx, s); err != nil {
			return errors.WithMessagef(err, "write segment %s", s.Digest)
		}
	}
	return nil
}

func (e *Editor) writeSegment(ctx context.Context, s *table.Segment) error {
	for attempt := 1; ; attempt++ {
		_, err := e.Store.Put(ctx, platform.KindSegment, string(s.Digest), s.Data, 0)
		var conflict *ConflictError
		if errors.As(err, &conflict) {
			_, err = fetchSegment(ctx, e.Store, s.Digest) // already stored; verify its digest
			return err
		}
		if err == nil || !isRetryable(err) || attempt == ReadAttempts {
			return err
		}
		if !pause(ctx, e.Clock, max(backoff(attempt), retryAfter(err))) {
			return err
		}
	}
}

// writeHead updates the head and determines whether the change was accepted. After a put that got no response, a
// conflict or a rate limit, it reads the head back and retries the put unless that read shows the outcome. All attempts
// have the same condition on the object's version, so that at most one of them takes effect, even if an earlier one is
// still under way.
func (e *Editor) writeHead(ctx context.Context, h *table.Head, ifVersion uint64, changeID string) error {
	data, err := h.Encode()
	if err != nil {
		return err
	}
	mayHaveApplied := false // true once a put got no response and may have taken effect
	for attempt := 1; ; attempt++ {
		_, err := e.Store.Put(ctx, platform.KindTables, platform.NameHead, data, ifVersion)
		if err == nil {
			return nil
		}
		var unavailable *UnavailableError
		var conflict *ConflictError
		var limited *RateLimitError
		switch {
		case errors.As(err, &unavailable):
			mayHaveApplied = true
		case errors.As(err, &conflict), errors.As(err, &limited):
		default:
			return e.outcomeError(mayHaveApplied, h, changeID, err)
		}
		isKnown, outcome := e.resolveOutcome(ctx, h, ifVersion, changeID, mayHaveApplied)
		if isKnown {
			return outcome
		}
		if !pause(ctx, e.Clock, max(backoff(attempt), retryAfter(err))) {
			return e.outcomeError(mayHaveApplied, h, changeID, err)
		}
	}
}

// outcomeError returns err, or an *OutcomeUnknownError with it if a put may have taken effect.
func (e *Editor) outcomeError(mayHaveApplied bool, h *table.Head, changeID string, err error) error {
	if !mayHaveApplied {
		return err
	}
	return &OutcomeUnknownError{ChangeID: changeID, Version: h.Version, Err: err}
}

// resolveOutcome reads the head back and reports whether the outcome of the change can be told. The error is the result
// of the change: nil if it was accepted. A change of which no put may have taken effect was not accepted, even if the
// head no longer lists changes that old.
func (e *Editor) resolveOutcome(
	ctx context.Context, h *table.Head, ifVersion uint64, changeID string, mayHaveApplied bool,
) (bool, error) {
	stored, err := e.readHead(ctx)
	if err != nil || stored.version <= ifVersion {
		return false, nil // read failed, or the head is not newer; the put may still be under way
	}
	if _, found := stored.head.FindChange(changeID); found {
		return true, nil
	}
	if mayHaveApplied && stored.head.Version-h.Version >= table.ChangeLimit {
		return true, &OutcomeUnknownError{ChangeID: changeID, Version: h.Version,
			Err: errors.Errorf("the head at version %d no longer lists changes that old", stored.head.Version)}
	}
	return true, &VersionConflictError{Edited: h.Version - 1, Current: stored.head.Version}
}
