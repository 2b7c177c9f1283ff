package platform

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
)

// maxConcurrentFetches is the number of segments that are read concurrently. At the fleet size expected in two years, a
// reader without tables needs about 300 segments; the limit keeps it and the platform's other clients together well
// below the platform's 2,000 reads per second.
const maxConcurrentFetches = 8

// getter is the part of a store that fetchSegments uses.
type getter interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
}

// fetchSegment reads one segment and checks its content against the digest.
func fetchSegment(ctx context.Context, store getter, d table.Digest) (*table.Segment, error) {
	o, err := store.Get(ctx, platform.KindSegment, string(d))
	if err != nil {
		return nil, err
	}
	return table.ParseSegment(d, o.Value)
}

// fetchSegments returns the segments with the given digests. It takes them from known where possible and reads the
// others from the store. After an error it returns the known segments and those that it has read.
func fetchSegments(
	ctx context.Context, store getter, digests []table.Digest, known map[table.Digest]*table.Segment,
) (map[table.Digest]*table.Segment, error) {
	segments := make(map[table.Digest]*table.Segment, len(digests))
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentFetches)
	var missing []table.Digest
	for _, d := range digests {
		if known[d] != nil {
			segments[d] = known[d]
		} else {
			missing = append(missing, d)
		}
	}
	for _, d := range missing {
		group.Go(func() error {
			s, err := fetchSegment(ctx, store, d)
			if err != nil {
				return err
			}
			mutex.Lock()
			defer mutex.Unlock()
			segments[d] = s
			return nil
		})
	}
	return segments, group.Wait()
}
