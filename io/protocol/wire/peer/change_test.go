package peer

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/core/state/table"
)

// tablesVersion is one version of the tables as written to the store.
type tablesVersion struct {
	head     *table.Head
	segments []*table.Segment
}

func (r tablesVersion) digest(is *is.I) table.Digest {
	encoded, err := r.head.Encode()
	is.NoErr(err)
	return table.DigestOf(encoded)
}

type stubActions struct{}

func (stubActions) Now() time.Time                          { return time.Unix(1_796_380_000, 0) }
func (stubActions) PutInForce(*table.Index)                 {}
func (stubActions) FetchTables(member.Host, []table.Digest) {}

// newState returns a state in which the versions were put in force one after the other.
func newState(is *is.I, versions ...tablesVersion) *configuration.State {
	is.Helper()
	s := configuration.New(stubActions{}, stubActions{}, slog.New(slog.DiscardHandler))
	for _, r := range versions {
		is.NoErr(s.Offer(configuration.Source{}, r.head, r.segments))
	}
	return s
}

func newReply(is *is.I, head *table.Head, segments []*table.Segment) *TablesReply {
	encoded, err := head.Encode()
	is.NoErr(err)
	x := &TablesReply{Head: encoded, Segments: make(map[string][]byte)}
	for _, s := range segments {
		x.Segments[string(s.Digest)] = s.Data
	}
	return x
}

// newTablesVersions returns two versions that differ in one endpoint. changes is the number of entries in the change
// history of the first head.
func newTablesVersions(is *is.I, t *table.Tables, changes int) (before, after tablesVersion) {
	is.Helper()
	next := func(from *table.Head, version int) tablesVersion {
		h, segments, err := table.Split(t)
		is.NoErr(err)
		for v := max(1, version-changes+1); v <= version; v++ {
			h.Version = uint64(v)
			h.AppendChange(from, table.Change{
				ID: fmt.Sprintf("%032x", uint64(v)*0x9e3779b97f4a7c15), Operator: "operator@example.org",
				Time: time.Unix(1_796_380_000+int64(v), 0).UTC(),
			})
			from = h
		}
		return tablesVersion{head: h, segments: segments}
	}
	before = next(nil, changes)
	t.Pools[0].Endpoints[0].Slots++
	h, segments, err := table.Split(t)
	is.NoErr(err)
	h.Version = uint64(changes + 1)
	h.AppendChange(before.head, table.Change{ID: "last", Operator: "operator@example.org", Time: time.Unix(1_796_390_000, 0).UTC()})
	return before, tablesVersion{head: h, segments: segments}
}

// TestTablesChange guards against tables that differ from those of the peer after a difference was applied, against a
// difference that is much larger than the changed entries, and against a patched head that is accepted although its
// digest differs from the one in the reply.
func TestTablesChange(t *testing.T) {
	is := is.New(t)
	before, after := newTablesVersions(is, benchTables(10_000), 64)
	peer, requester := newState(is, before, after), newState(is, before)
	x, err := NewTablesChangeReply(peer.DifferenceSince(requester.Snapshot().Digest))
	is.NoErr(err)
	b, err := proto.Marshal(x)
	is.NoErr(err)
	is.True(len(b) < 1000) // the whole head has 8 KB and the whole segment 29 KB
	var received TablesChangeReply
	is.NoErr(proto.Unmarshal(b, &received))
	is.NoErr(received.Check())
	head, segments, err := received.Apply(requester.Snapshot())
	is.NoErr(err)
	is.Equal(head, after.head)
	is.NoErr(requester.Offer(configuration.Source{}, head, segments))
	is.Equal(requester.InForce().Tables, peer.InForce().Tables)

	unknown, err := NewTablesChangeReply(peer.DifferenceSince("another"))
	is.NoErr(err)
	is.True(!unknown.IsKnown)
	received.Digest = string(before.digest(is))
	_, _, err = received.Apply(newState(is, before).Snapshot())
	var patchErr *table.PatchError
	is.True(errors.As(err, &patchErr)) // the reply announces the digest of another head
}

// TestCompressedTables guards against tables that differ after compression and decompression, and against a small reply
// whose decompressed size is not limited.
func TestCompressedTables(t *testing.T) {
	is := is.New(t)
	want := &TablesReply{Head: []byte("head"), Segments: map[string][]byte{"digest": make([]byte, 60_000)}}
	x, err := want.Compress()
	is.NoErr(err)
	got, err := x.Decompress()
	is.NoErr(err)
	is.True(proto.Equal(got, want))
	var decodeErr *DecodeError
	for name, bad := range map[string]*TablesReply{
		"nested": x, "long": {Head: make([]byte, maxDecompressedBytes+1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			y, err := bad.Compress()
			is.NoErr(err)
			_, err = y.Decompress()
			is.True(errors.As(err, &decodeErr))
		})
	}
	_, err = (&TablesReply{Flate: []byte("not flate")}).Decompress()
	is.True(errors.As(err, &decodeErr))
}
