package table_test

import (
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

// FuzzReader guards against heads and segments from the store or a peer that crash the decoder, or that it accepts and
// then encodes differently. The corpus is in testdata/fuzz/FuzzReader.
func FuzzReader(f *testing.F) {
	h, segments, err := table.Split(tablesWithPools(1, 2))
	if err != nil {
		f.Fatal(err)
	}
	h.AppendChange(nil, table.Change{ID: "a", Operator: "b"})
	encoded, err := h.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded, segments[0].Data)
	f.Fuzz(func(t *testing.T, head, segment []byte) {
		is := is.New(t)
		s, err := table.ParseSegment(table.DigestOf(segment), segment)
		if err != nil {
			s = nil
		}
		h, err := table.DecodeHead(head)
		if err != nil {
			return
		}
		encoded, err := h.Encode()
		is.NoErr(err)
		again, err := table.DecodeHead(encoded)
		is.NoErr(err)
		is.Equal(again, h)
		joined, err := table.Join(h, func(table.Digest) *table.Segment { return s })
		if err != nil || table.Validate(joined) != nil {
			return
		}
		_, _, err = table.Split(joined)
		is.NoErr(err)
	})
}
