package platform

import (
	"context"
	"sync"

	"golang.org/x/sync/errgroup"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
)

// fetchLimit is the number of segments that are read at a time. A reader without tables needs about 300 segments at the
// two-year size; a few at a time keep it and its neighbours well below the platform's 2,000 reads per second.
const fetchLimit = 8

// getter is the part of a store that reads objects.
type getter interface {
	Get(ctx context.Context, kind, name string) (platform.Object, error)
}

// fetchSegment reads and checks one segment.
func fetchSegment(ctx context.Context, store getter, d table.Digest) (*table.Segment, error) {
	o, err := store.Get(ctx, platform.KindSegment, string(d))
	if err != nil {
		return nil, err
	}
	return table.ParseSegment(d, o.Value)
}

// fetchSegments reads the segments that are not among the known ones. It returns all that it has, also with an error.
func fetchSegments(
	ctx context.Context, store getter, digests []table.Digest, known map[table.Digest]*table.Segment,
) (map[table.Digest]*table.Segment, error) {
	segments := make(map[table.Digest]*table.Segment, len(digests))
	var mutex sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(fetchLimit)
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
