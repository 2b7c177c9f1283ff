package routing

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/flow"
)

func shardsOf(slots []int) []*Shard {
	var shards []*Shard
	for i, n := range slots {
		key := flow.ShardKey{Pool: "chambers", FailureDomain: fmt.Sprintf("karachi-%d", i)}
		shards = append(shards, &Shard{Key: key, Slots: n, hash: hashKey(key)})
	}
	return shards
}

// The buckets must be divided exactly in proportion to slots: random shares overload one shard of a small pool by
// several per cent.
func TestBucketsFollowSlots(t *testing.T) {
	for name, slots := range map[string][]int{
		"one shard": {42}, "card venture": {15, 15, 12}, "authority": {8, 8, 6, 6}, "one without slots": {9, 0, 9},
		"no slots": {0, 0}, "many": {96, 93, 7, 1, 96, 50, 64, 33, 96, 96, 12},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			buckets := fillBuckets(shardsOf(slots))
			total := 0
			for _, n := range slots {
				total += n
			}
			counts := make([]int, len(slots))
			for _, b := range buckets {
				counts[b]++
			}
			for i, n := range slots {
				if total > 0 {
					is.True(math.Abs(float64(counts[i])-float64(len(buckets)*n)/float64(total)) <= 1)
				}
			}
		})
	}
}

// A change of one shard's slots must move few buckets between the other shards: an open that is retransmitted during
// the change would otherwise reach two owners.
func TestBucketsMoveLittle(t *testing.T) {
	is := is.New(t)
	before, after := fillBuckets(shardsOf([]int{15, 15, 12})), fillBuckets(shardsOf([]int{12, 15, 12}))
	moved := 0
	for b := range before {
		if before[b] != after[b] {
			moved++
		}
	}
	needed := float64(len(before)) * (15.0/42 - 12.0/39)
	is.True(float64(moved) <= 2*needed)
}
