package platform

import (
	"bytes"
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/configuration"
	"cornellb/io/protocol/platform"
)

// StatusInterval is the shortest time between two writes of the status object by one reader.
const StatusInterval = 5 * time.Second

// StatusSource is the part of configuration.State that a StatusWriter uses.
type StatusSource interface {
	IsReader() bool
	Status() configuration.Status
}

// StatusWriter writes the status object of the local failure domain while the local member is one of its readers.
type StatusWriter struct {
	Store    Store
	Source   StatusSource
	Clock    Clock
	Log      *slog.Logger
	Interval time.Duration // 0 selects StatusInterval

	isFailing bool // the last write failed
}

// Run writes the status object at intervals until the context ends.
func (w *StatusWriter) Run(ctx context.Context) {
	interval := w.Interval
	if interval <= 0 {
		interval = StatusInterval
	}
	for {
		if w.Source.IsReader() {
			w.logTransition(w.Write(ctx))
		}
		if !pause(ctx, w.Clock, interval+jitter(interval/8)) { // the two readers do not write in step
			return
		}
	}
}

// logTransition logs when writes begin to fail and when they succeed again.
func (w *StatusWriter) logTransition(err error) {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		err = nil // the other reader wrote first
	}
	switch {
	case err != nil && !w.isFailing:
		w.Log.Warn("status cannot be written to the platform; retrying", "error", err)
	case err == nil && w.isFailing:
		w.Log.Info("status can be written to the platform again")
	}
	w.isFailing = err != nil
}

// Write writes the status object once, unless the stored one already has the same content. It returns a *ConflictError
// if another reader has written it in the meantime.
func (w *StatusWriter) Write(ctx context.Context) error {
	own := platform.NewStatus(w.Source.Status(), w.Clock.Now())
	if own.FailureDomain == "" {
		return nil
	}
	o, err := w.Store.Get(ctx, platform.KindStatus, own.FailureDomain)
	var missing *NotFoundError
	if err != nil && !errors.As(err, &missing) {
		return err
	}
	if stored, err := platform.DecodeStatus(o.Value); err == nil {
		mergeStatus(own, stored)
		if same, err := equalContent(own, stored); err != nil || same {
			return err
		}
	}
	value, err := own.Encode()
	if err != nil {
		return err
	}
	_, err = w.Store.Put(ctx, platform.KindStatus, own.FailureDomain, value, o.Version)
	return err
}

// mergeStatus copies into own what only the other reader knows about members other than the local one. Gossip does not
// carry refused versions, so the stored ones are kept. Of two table versions the higher one is kept, because the
// version in force of one incarnation never decreases.
func mergeStatus(own, stored *platform.Status) {
	type key struct {
		id          string
		incarnation uint64
	}
	storedMembers := make(map[key]platform.MemberStatus, len(stored.Members))
	for _, m := range stored.Members {
		storedMembers[key{m.HostID, m.Incarnation}] = m
	}
	for i := range own.Members {
		m := &own.Members[i]
		storedMember, found := storedMembers[key{m.HostID, m.Incarnation}]
		if !found || m.HostID == own.Writer {
			continue
		}
		m.TableVersion = max(m.TableVersion, storedMember.TableVersion)
		m.RefusedVersions = storedMember.RefusedVersions
	}
}

// equalContent reports whether two statuses are equal apart from Writer and UpdatedAt.
func equalContent(a, b *platform.Status) (bool, error) {
	x, y := *a, *b
	y.Writer, y.UpdatedAt = x.Writer, x.UpdatedAt
	first, err := x.Encode()
	if err != nil {
		return false, err
	}
	second, err := y.Encode()
	return bytes.Equal(first, second), err
}
