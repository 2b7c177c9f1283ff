package platform

import (
	"context"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
)

const (
	// WatchWait is the length of a long poll. A change is not seen on a silent connection before the wait and watchMargin
	// have passed, which together must stay below the 4 s in which a version must be in force.
	WatchWait = 2 * time.Second
	// PollInterval is the time between polls while watches fail.
	PollInterval = 5 * time.Second
	// roleInterval is the time between questions whether the member has become a reader.
	roleInterval = 250 * time.Millisecond
)

// WatchStore is the part of the Client that a Reader uses.
type WatchStore interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind, name string, after uint64, wait time.Duration) (platform.Object, bool, error)
}

// Core is the part of configuration.State that a Reader uses.
type Core interface {
	IsReader() bool
	Wants(h *table.Head) ([]table.Digest, bool)
	Offer(source configuration.Source, h *table.Head, segments []*table.Segment) error
	OfferFailed(source configuration.Source)
}

// Reader offers the tables in the store to the configuration core while the local member is a reader.
type Reader struct {
	Store        WatchStore
	Core         Core
	Clock        Clock
	Log          *slog.Logger
	WatchWait    time.Duration // 0 selects WatchWait
	PollInterval time.Duration // 0 selects PollInterval

	after     uint64                          // object version of the last head that was settled
	isPolling bool                            // watches fail
	isFailing bool                            // the last poll failed as well
	fetched   map[table.Digest]*table.Segment // kept while the head is not settled, so that a retry makes progress
}

// Run reads until the context ends.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.Core.IsReader() {
			pause(ctx, r.Clock, roleInterval)
			continue
		}
		r.step(ctx)
	}
}

// step makes one watch. While watches fail it polls before each one. The first poll follows at once over another
// connection, since only the connection of the watch may be silent.
func (r *Reader) step(ctx context.Context) {
	if r.isPolling {
		interval := r.pollInterval()
		if !pause(ctx, r.Clock, interval-jitter(interval/8)) || !r.poll(ctx) {
			return
		}
	}
	o, isChanged, err := r.Store.Watch(ctx, platform.KindTables, platform.NameHead, r.after, r.watchWait())
	if err == nil && isChanged {
		err = r.offer(ctx, o)
	}
	if err != nil && !r.isPolling && ctx.Err() == nil {
		r.poll(ctx)
	}
	r.isPolling = err != nil
}

func (r *Reader) watchWait() time.Duration {
	if r.WatchWait > 0 {
		return r.WatchWait
	}
	return WatchWait
}

func (r *Reader) pollInterval() time.Duration {
	if r.PollInterval > 0 {
		return r.PollInterval
	}
	return PollInterval
}

// poll reads the head once and reports whether the store is usable.
func (r *Reader) poll(ctx context.Context) bool {
	head, cancel := context.WithTimeout(ctx, r.pollInterval()) // includes the repetitions of the read
	defer cancel()
	o, err := r.Store.Get(head, platform.KindTables, platform.NameHead)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing):
		err = nil // there are no tables yet
	case err == nil && o.Version != r.after:
		err = r.offer(ctx, o)
	}
	r.note(err)
	return err == nil
}

// note logs when the store becomes unusable and usable.
func (r *Reader) note(err error) {
	switch {
	case err != nil && !r.isFailing:
		r.Log.Warn("tables cannot be read from the platform", "error", err)
	case err == nil && r.isFailing:
		r.Log.Info("tables can be read from the platform again")
	}
	r.isFailing = err != nil
}

// offer fetches what the core does not have. The head counts as settled unless the attempt is worth repeating.
func (r *Reader) offer(ctx context.Context, o platform.Object) error {
	h, err := table.DecodeHead(o.Value)
	if err != nil {
		r.Core.OfferFailed(configuration.Source{})
		return err
	}
	digests, _ := r.Core.Wants(h)
	r.fetched, err = fetchSegments(ctx, r.Store, digests, r.fetched)
	if err != nil {
		r.Core.OfferFailed(configuration.Source{})
		return err
	}
	segments := slices.Collect(maps.Values(r.fetched))
	r.fetched = nil
	err = r.Core.Offer(configuration.Source{}, h, segments)
	var invalid *table.ValidationError
	if err == nil || errors.As(err, &invalid) {
		r.after = o.Version // the core has counted and logged an invalid version
		return nil
	}
	return err
}
