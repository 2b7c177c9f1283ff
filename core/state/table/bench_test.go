package table_test

import (
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

// BenchmarkChange measures what a balancer does for a change of tables with 13,000 pools and 130,000 endpoints: parse
// one segment, join, validate and index. A budget of 1.7 % of a core and 26,000 changes a day leave 56 ms of processor
// time for all control work between two changes.
func BenchmarkChange(b *testing.B) {
	is := is.New(b)
	sizes := make([]int, 13000)
	for i := range sizes {
		sizes[i] = 10
	}
	h, segments, err := table.Split(tablesWithPools(sizes...))
	is.NoErr(err)
	known := make(map[table.Digest]*table.Segment)
	for _, s := range segments {
		known[s.Digest] = s
	}
	for b.Loop() {
		_, err := table.ParseSegment(segments[0].Digest, segments[0].Data)
		is.NoErr(err)
		t, err := table.Join(h, func(d table.Digest) *table.Segment { return known[d] })
		is.NoErr(err)
		is.NoErr(table.Validate(t))
		table.NewIndex(t)
	}
}

// BenchmarkSplit measures how long an operator's command takes to encode tables with 13,000 pools and 130,000
// endpoints.
func BenchmarkSplit(b *testing.B) {
	is := is.New(b)
	sizes := make([]int, 13000)
	for i := range sizes {
		sizes[i] = 10
	}
	t := tablesWithPools(sizes...)
	for b.Loop() {
		_, _, err := table.Split(t)
		is.NoErr(err)
	}
}
