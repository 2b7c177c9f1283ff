package platform

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
)

// Store is the part of the Client that an Editor uses.
type Store interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error)
}

// Editor applies changes of the tables.
type Editor struct {
	Store    Store
	Clock    Clock
	Operator string        // recorded in the head
	NewID    func() string // returns a new change ID that no other change has
}

// Result describes an accepted change.
type Result struct {
	Version   uint64 // table version; of the unchanged tables if IsChanged is false
	ChangeID  string
	IsChanged bool // false if the tables are already as wanted
}

// storedHead is the head with the version of its object. The head is nil if there is none.
type storedHead struct {
	head    *table.Head
	version uint64
}

func (s storedHead) tableVersion() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Version
}

// Read returns the tables in the store. Tables of version 0 mean that there are none yet.
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

// Apply makes the tables the successor of the version that t.Version names. It returns a *table.ValidationError, a
// *VersionConflictError if the store has another version, a *table.HeadError for a faulty operator name, an *OutcomeUnknownError if the store became unavailable after
// the change may have been accepted, or an error of the Store.
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
	if before.head != nil && len(head.Missing(has(before.head.Digests()))) == 0 && sameTables(head, before.head) {
		return Result{Version: t.Version}, nil
	}
	change := table.Change{ID: e.NewID(), Operator: e.Operator, Time: e.Clock.Now().UTC().Truncate(time.Millisecond)}
	head.Append(before.head, change)
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

func has(digests []table.Digest) func(table.Digest) bool {
	known := make(map[table.Digest]bool, len(digests))
	for _, d := range digests {
		known[d] = true
	}
	return func(d table.Digest) bool { return known[d] }
}

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

// writeSegments writes the segments that the head before does not name. A segment is named by its content and written
// only if it does not exist, so that repeating the write is harmless.
func (e *Editor) writeSegments(ctx context.Context, before *table.Head, segments []*table.Segment) error {
	var known []table.Digest
	if before != nil {
		known = before.Digests()
	}
	isKnown := has(known)
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
			_, err = fetchSegment(ctx, e.Store, s.Digest) // exists; its content must have the digest
			return err
		}
		if err == nil || !isTemporary(err) || attempt == ReadAttempts {
			return err
		}
		if !pause(ctx, e.Clock, max(backoff(attempt), retryAfter(err))) {
			return err
		}
	}
}

// writeHead updates the head and settles lost responses. A put is repeated only after a read that neither shows the
// change nor a newer object. The repetition has the same condition on the object's version, so that of the first put,
// which may still be under way, and its repetitions at most one takes effect.
func (e *Editor) writeHead(ctx context.Context, h *table.Head, ifVersion uint64, changeID string) error {
	data, err := h.Encode()
	if err != nil {
		return err
	}
	uncertain := false // a put may have taken effect
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
			uncertain = true
		case errors.As(err, &conflict), errors.As(err, &limited):
		default:
			return e.unsettled(uncertain, h, changeID, err)
		}
		settled, outcome := e.settle(ctx, h, ifVersion, changeID)
		if settled {
			return outcome
		}
		if !pause(ctx, e.Clock, max(backoff(attempt), retryAfter(err))) {
			return e.unsettled(uncertain, h, changeID, err)
		}
	}
}

func (e *Editor) unsettled(uncertain bool, h *table.Head, changeID string, err error) error {
	if !uncertain {
		return err
	}
	return &OutcomeUnknownError{ChangeID: changeID, Version: h.Version, Err: err}
}

// settle reads the head back and reports whether the fate of the change is known, and which it is.
func (e *Editor) settle(ctx context.Context, h *table.Head, ifVersion uint64, changeID string) (bool, error) {
	stored, err := e.readHead(ctx)
	if err != nil || stored.version <= ifVersion {
		return false, nil // no answer, or an old one; the put may still be under way
	}
	if _, found := stored.head.FindChange(changeID); found {
		return true, nil
	}
	if stored.head.Version-h.Version >= table.ChangeLimit {
		return true, &OutcomeUnknownError{ChangeID: changeID, Version: h.Version,
			Err: errors.Errorf("the head at version %d no longer lists it", stored.head.Version)}
	}
	return true, &VersionConflictError{Edited: h.Version - 1, Current: stored.head.Version}
}
