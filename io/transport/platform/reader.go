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
	// WatchWait is the wait of a long poll. On an unresponsive connection a change is noticed only after the wait plus
	// watchMargin, which together must stay below the 4 s within which a version must be in force.
	WatchWait = 2 * time.Second
	// PollInterval is the time between polls while watches fail.
	PollInterval = 5 * time.Second
	// roleCheckInterval is the interval between checks whether the local member has become a reader.
	roleCheckInterval = 250 * time.Millisecond
)

// WatchStore is the part of the Client that a Reader uses.
type WatchStore interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
	Watch(ctx context.Context, kind, name string, after uint64, wait time.Duration) (platform.Object, bool, error)
}

// Core is the part of configuration.State that a Reader uses.
type Core interface {
	IsReader() bool
	MissingSegments(h *table.Head) ([]table.Digest, bool)
	Offer(source configuration.Source, h *table.Head, segments []*table.Segment) error
	OfferFailed(source configuration.Source)
}

// Reader passes the tables in the store to the configuration core while the local member is one of the readers of its
// failure domain.
type Reader struct {
	Store        WatchStore
	Core         Core
	Clock        Clock
	Log          *slog.Logger
	WatchWait    time.Duration // 0 selects WatchWait
	PollInterval time.Duration // 0 selects PollInterval

	after     uint64                          // object version of the last head that needs no retry
	isPolling bool                            // the last watch failed
	isFailing bool                            // the last poll failed
	fetched   map[table.Digest]*table.Segment // segments of failed attempts, reused by the retry
}

// Run watches the tables until the context ends. While the local member is not a reader, it starts no calls.
func (r *Reader) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !r.Core.IsReader() {
			pause(ctx, r.Clock, roleCheckInterval)
			continue
		}
		r.watchOnce(ctx)
	}
}

// watchOnce makes one watch. While watches fail, it first waits for the poll interval and polls, and it skips the watch
// if the poll fails too. After the first failed watch it polls at once over another connection, since only the
// connection of the watch may be dead.
func (r *Reader) watchOnce(ctx context.Context) {
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

// poll reads the head, passes a changed one to the core, and reports whether that succeeded.
func (r *Reader) poll(ctx context.Context) bool {
	getCtx, cancel := context.WithTimeout(ctx, r.pollInterval()) // bounds the read with all its retries
	defer cancel()
	o, err := r.Store.Get(getCtx, platform.KindTables, platform.NameHead)
	var missing *NotFoundError
	switch {
	case errors.As(err, &missing):
		err = nil // there are no tables yet
	case err == nil && o.Version != r.after:
		err = r.offer(ctx, o)
	}
	r.logTransition(err)
	return err == nil
}

// logTransition logs when polls begin to fail and when they succeed again.
func (r *Reader) logTransition(err error) {
	switch {
	case err != nil && !r.isFailing:
		r.Log.Warn("tables cannot be read from the platform; polling continues", "error", err)
	case err == nil && r.isFailing:
		r.Log.Info("tables can be read from the platform again")
	}
	r.isFailing = err != nil
}

// offer fetches the segments of the head that the core lacks and passes both to the core. It returns an error if the
// attempt is to be retried. Tables that the core rejects as invalid are not.
func (r *Reader) offer(ctx context.Context, o platform.Object) error {
	h, err := table.DecodeHead(o.Value)
	if err != nil {
		r.Core.OfferFailed(configuration.Source{})
		return err
	}
	digests, _ := r.Core.MissingSegments(h)
	r.fetched, err = fetchSegments(ctx, r.Store, digests, r.fetched)
	if err != nil {
		if table.IsCorrupt(err) {
			r.Core.OfferFailed(configuration.Source{})
		}
		return err
	}
	segments := slices.Collect(maps.Values(r.fetched))
	r.fetched = nil
	err = r.Core.Offer(configuration.Source{}, h, segments)
	var invalid *table.ValidationError
	if err == nil || errors.As(err, &invalid) {
		r.after = o.Version // an invalid version is counted and logged by the core
		return nil
	}
	return err
}
