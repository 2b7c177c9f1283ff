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

// release is one version of the tables as its operator wrote it.
type release struct {
	head     *table.Head
	segments []*table.Segment
}

func (r release) digest(is *is.I) table.Digest {
	encoded, err := r.head.Encode()
	is.NoErr(err)
	return table.DigestOf(encoded)
}

type noActions struct{}

func (noActions) Now() time.Time                          { return time.Unix(1_796_380_000, 0) }
func (noActions) PutInForce(*table.Index)                 {}
func (noActions) FetchTables(member.Host, []table.Digest) {}

// stateOf returns a state that had all releases in force, one after the other.
func stateOf(is *is.I, releases ...release) *configuration.State {
	is.Helper()
	s := configuration.New(noActions{}, noActions{}, slog.New(slog.DiscardHandler))
	for _, r := range releases {
		is.NoErr(s.Offer(configuration.Source{}, r.head, r.segments))
	}
	return s
}

func replyOf(is *is.I, head *table.Head, segments []*table.Segment) *TablesReply {
	encoded, err := head.Encode()
	is.NoErr(err)
	x := &TablesReply{Head: encoded, Segments: make(map[string][]byte)}
	for _, s := range segments {
		x.Segments[string(s.Digest)] = s.Data
	}
	return x
}

// changedTables returns two versions that differ in one endpoint, with a number of changes in their heads.
func changedTables(is *is.I, t *table.Tables, changes int) (before, after release) {
	is.Helper()
	next := func(from *table.Head, version int) release {
		h, segments, err := table.Split(t)
		is.NoErr(err)
		for v := max(1, version-changes+1); v <= version; v++ {
			h.Version = uint64(v)
			h.Append(from, table.Change{
				ID: fmt.Sprintf("%032x", uint64(v)*0x9e3779b97f4a7c15), Operator: "operator@example.org",
				Time: time.Unix(1_796_380_000+int64(v), 0).UTC(),
			})
			from = h
		}
		return release{head: h, segments: segments}
	}
	before = next(nil, changes)
	t.Pools[0].Endpoints[0].Slots++
	h, segments, err := table.Split(t)
	is.NoErr(err)
	h.Version = uint64(changes + 1)
	h.Append(before.head, table.Change{ID: "last", Operator: "operator@example.org", Time: time.Unix(1_796_390_000, 0).UTC()})
	return before, release{head: h, segments: segments}
}

// TestTablesChange guards against tables that differ from those of the peer after a difference was applied, and against a
// difference that is larger than the entries that changed.
func TestTablesChange(t *testing.T) {
	is := is.New(t)
	before, after := changedTables(is, benchTables(10_000), 64)
	peer, asker := stateOf(is, before, after), stateOf(is, before)
	x, err := NewTablesChangeReply(peer.ChangeSince(asker.Base().Digest))
	is.NoErr(err)
	b, err := proto.Marshal(x)
	is.NoErr(err)
	is.True(len(b) < 1000) // the head has 8 KB and the segment 29 KB
	var received TablesChangeReply
	is.NoErr(proto.Unmarshal(b, &received))
	is.NoErr(received.Check())
	head, segments, err := received.Apply(asker.Base())
	is.NoErr(err)
	is.Equal(head, after.head)
	is.NoErr(asker.Offer(configuration.Source{}, head, segments))
	is.Equal(asker.InForce().Tables, peer.InForce().Tables)

	unknown, err := NewTablesChangeReply(peer.ChangeSince("another"))
	is.NoErr(err)
	is.True(!unknown.IsKnown)
	received.Digest = string(before.digest(is))
	_, _, err = received.Apply(stateOf(is, before).Base())
	var fault *table.PatchError
	is.True(errors.As(err, &fault)) // a patch of another head is not taken
}

// TestCompressedTables guards against tables that change on the way and against a small reply that expands without bound.
func TestCompressedTables(t *testing.T) {
	is := is.New(t)
	want := &TablesReply{Head: []byte("head"), Segments: map[string][]byte{"digest": make([]byte, 60_000)}}
	x, err := want.Compress()
	is.NoErr(err)
	got, err := x.Expand()
	is.NoErr(err)
	is.True(proto.Equal(got, want))
	var fault *DecodeError
	for name, bad := range map[string]*TablesReply{
		"nested": x, "long": {Head: make([]byte, maxPlainReply+1)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			y, err := bad.Compress()
			is.NoErr(err)
			_, err = y.Expand()
			is.True(errors.As(err, &fault))
		})
	}
	_, err = (&TablesReply{Flate: []byte("not flate")}).Expand()
	is.True(errors.As(err, &fault))
}
