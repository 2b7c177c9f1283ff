package table_test

import (
	"flag"
	"fmt"
	"math/rand"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"cornellb/core/state/table"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil { // the command line may set another seed
		panic(err)
	}
	os.Exit(m.Run())
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 9000)
}

// tablesWithPools returns tables with one pool, and a route to it, for each number of endpoints in sizes.
func tablesWithPools(sizes ...int) *table.Tables {
	t := &table.Tables{Version: 1}
	next := 1
	for i, size := range sizes {
		name := fmt.Sprintf("service-%d", i)
		p := table.Pool{Name: name, Service: name, Endpoints: []table.Endpoint{}}
		for range size {
			e := endpoint("10.0.0.1:1")
			e.Address = address(next)
			p.Endpoints = append(p.Endpoints, e)
			next++
		}
		t.Pools = append(t.Pools, p)
		t.Routes = append(t.Routes, table.Route{Name: name, Address: address(next), Service: name, Pool: name})
		next++
	}
	return t
}

// roundTrip splits tables and joins the parsed segments again, as a balancer does that fetched them.
func roundTrip(is *is.I, t *table.Tables) (*table.Head, []*table.Segment, *table.Tables) {
	is.Helper()
	h, segments, err := table.Split(t)
	is.NoErr(err)
	parsed := make(map[table.Digest]*table.Segment)
	for _, s := range segments {
		is.True(len(s.Data) < table.SegmentLimit)
		parsed[s.Digest], err = table.ParseSegment(s.Digest, s.Data)
		is.NoErr(err)
	}
	joined, err := table.Join(h, func(d table.Digest) *table.Segment { return parsed[d] })
	is.NoErr(err)
	return h, segments, joined
}

// TestSplitAnyOrder guards against an encoding that depends on the order of the entries, so that reordered but equal
// tables would change all segments, and against entries that are lost or altered by encoding and decoding.
func TestSplitAnyOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		sizes := rapid.SliceOfN(rapid.IntRange(0, 300), 0, 12).Draw(rt, "sizes")
		a := tablesWithPools(sizes...)
		b := tablesWithPools(sizes...)
		r := rand.New(rand.NewSource(rapid.Int64().Draw(rt, "order")))
		r.Shuffle(len(b.Routes), func(i, j int) { b.Routes[i], b.Routes[j] = b.Routes[j], b.Routes[i] })
		r.Shuffle(len(b.Pools), func(i, j int) { b.Pools[i], b.Pools[j] = b.Pools[j], b.Pools[i] })
		for _, p := range b.Pools {
			e := p.Endpoints
			r.Shuffle(len(e), func(i, j int) { e[i], e[j] = e[j], e[i] })
		}
		first, _, joined := roundTrip(is, a)
		second, _, again := roundTrip(is, b)
		is.Equal(first, second)
		is.Equal(joined, again)
		is.NoErr(table.Validate(joined))
		is.Equal(len(joined.Routes), len(a.Routes))
		for _, p := range a.Pools {
			is.Equal(*table.NewIndex(joined).PoolOf(p.Name), p)
		}
	})
}

// TestSplitLargeTables guards against segments that reach the limit and against changes that alter other segments than
// those of the changed entries. It uses 130,000 endpoints, 20,000 of them in one pool that is larger than a segment.
func TestSplitLargeTables(t *testing.T) {
	is := is.New(t)
	sizes := []int{20000}
	for range 11000 {
		sizes = append(sizes, 10)
	}
	tables := tablesWithPools(sizes...)
	h, segments, joined := roundTrip(is, tables)
	is.NoErr(table.Validate(joined))
	is.Equal(len(joined.Pools[0].Endpoints), 20000)
	encoded, err := h.Encode()
	is.NoErr(err)
	size := 0
	for _, s := range segments {
		size += len(s.Data)
	}
	t.Logf("%d segments with %d bytes, head of %d bytes", len(segments), size, len(encoded))
	is.True(len(encoded) < 1<<20)

	tables.Pools[0].Endpoints[77].Slots++
	tables.Pools[500].Endpoints = tables.Pools[500].Endpoints[1:]
	changed, _, err := table.Split(tables)
	is.NoErr(err)
	known := make(map[table.Digest]bool)
	for _, d := range h.Digests() {
		known[d] = true
	}
	is.True(len(changed.Missing(func(d table.Digest) bool { return known[d] })) <= 2)
}

// TestParseSegmentRefuses guards against accepting segments that were altered in transit, heads that list segments
// under the wrong table, and heads whose segments are not available.
func TestParseSegmentRefuses(t *testing.T) {
	is := is.New(t)
	h, segments, err := table.Split(tablesWithPools(3))
	is.NoErr(err)
	for _, s := range segments {
		for i := range s.Data {
			altered := append([]byte{}, s.Data...)
			altered[i] ^= 1
			_, err := table.ParseSegment(s.Digest, altered)
			var faulty *table.SegmentError
			is.True(errors.As(err, &faulty))
		}
	}
	bySegment := func(d table.Digest) *table.Segment {
		for _, s := range segments {
			if s.Digest == d {
				return s
			}
		}
		return nil
	}
	var faulty *table.HeadError
	h.Routes, h.Pools = h.Pools, h.Routes
	_, err = table.Join(h, bySegment)
	is.True(errors.As(err, &faulty))
	var missing *table.MissingError
	_, err = table.Join(h, func(table.Digest) *table.Segment { return nil })
	is.True(errors.As(err, &missing))
	is.Equal(missing.Digests, h.Digests())
}

// headWithChanges returns a head with one change for each version, whose own version is that of the last change.
func headWithChanges(versions ...uint64) *table.Head {
	d := []table.Digest{table.DigestOf(nil)}
	h := &table.Head{Routes: d, Pools: d}
	for _, v := range versions {
		h.Version = v
		h.Changes = append(h.Changes, table.Change{Version: v, ID: fmt.Sprint(v), Time: time.Unix(1, 0).UTC()})
	}
	return h
}

// TestHeadChanges guards against accepting a head whose list of changes does not match its version, and against
// dropping changes before ChangeLimit others have followed.
func TestHeadChanges(t *testing.T) {
	is := is.New(t)
	var before *table.Head
	for v := uint64(1); v <= 100; v++ {
		h := headWithChanges()
		h.Version = v
		h.AppendChange(before, table.Change{ID: fmt.Sprint(v), Time: time.Unix(1, 0).UTC()})
		data, err := h.Encode()
		is.NoErr(err)
		before, err = table.DecodeHead(data)
		is.NoErr(err)
		is.Equal(before, h)
	}
	is.Equal(len(before.Changes), table.ChangeLimit)
	_, found := before.FindChange(fmt.Sprint(100 - table.ChangeLimit + 1))
	is.True(found)
	_, found = before.FindChange(fmt.Sprint(100 - table.ChangeLimit))
	is.True(!found)

	jump := headWithChanges(1, 2)
	jump.Version = 1 << 60
	long := headWithChanges(1)
	long.Changes[0].Operator = strings.Repeat("x", 1<<20)
	for name, h := range map[string]*table.Head{
		"long operator": long,
		"version 0":     headWithChanges(0), "no change": headWithChanges(), "gap": headWithChanges(1, 3), "jump": jump,
		"wrapped": headWithChanges(1<<64-1, 0, 1),
	} {
		var faulty *table.HeadError
		if !errors.As(h.Check(), &faulty) {
			t.Errorf("%s: head accepted, want a *HeadError", name)
		}
	}
}
