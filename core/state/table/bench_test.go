package table_test

import (
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

// BenchmarkChange measures what a member does for a change at the two-year size: parse one segment, join, validate and
// index. 26,000 changes a day and 1.7 % of a core leave 56 ms for all control work between two changes.
func BenchmarkChange(b *testing.B) {
	is := is.New(b)
	sizes := make([]int, 13000)
	for i := range sizes {
		sizes[i] = 10
	}
	h, segments, err := table.Split(manyTables(sizes...))
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

// BenchmarkSplit measures what an operator's command does for a change at the two-year size.
func BenchmarkSplit(b *testing.B) {
	is := is.New(b)
	sizes := make([]int, 13000)
	for i := range sizes {
		sizes[i] = 10
	}
	t := manyTables(sizes...)
	for b.Loop() {
		_, _, err := table.Split(t)
		is.NoErr(err)
	}
}
