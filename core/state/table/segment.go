package table

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// SegmentLimit is the size in bytes that the encoding of a segment must stay below. For each change of the tables,
	// a balancer fetches every segment that the change touches.
	SegmentLimit = 64 << 10
	// MaxSegments is the maximum number of segments of a table. A head with 4,096 digests of each table is far below
	// the store's limit of 1 MB for a value.
	MaxSegments = 4096
	// maxUnsplitEndpoints is the maximum number of endpoints of a pool that is stored in one piece. The encoding of
	// that many endpoints with failure domain names of maximum length is just below SegmentLimit. Larger pools are
	// split into pieces, because a pool may be larger than a segment.
	maxUnsplitEndpoints = 128
)

// Segment is one part of a table, encoded and decoded. It is immutable.
type Segment struct {
	Digest Digest
	Data   []byte // encoded content
	Routes []Route
	Pools  []Pool // whole pools, or pieces of pools with more than maxUnsplitEndpoints endpoints
}

// SegmentError reports a segment that is too large, has another digest than requested, or cannot be decoded.
type SegmentError struct {
	Digest Digest
	Reason string
}

func (e *SegmentError) Error() string {
	return fmt.Sprintf("invalid segment %.40s: %s", e.Digest, e.Reason)
}

// MissingError reports a head some of whose segments are not available.
type MissingError struct {
	Digests []Digest
}

func (e *MissingError) Error() string { return fmt.Sprintf("%d segments are missing", len(e.Digests)) }

// SizeError reports a table that does not fit into MaxSegments segments, or that has an entry larger than a segment.
type SizeError struct {
	Table string
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("table %s does not fit into %d segments of %d bytes", e.Table, MaxSegments, SegmentLimit)
}

// segmentContent is the stored form of a segment.
type segmentContent struct {
	Routes []Route     `json:"routes,omitempty"`
	Pools  []poolPiece `json:"pools,omitempty"`
}

// poolPiece is a whole pool, or the part of the endpoints of a split pool that one segment entry holds.
type poolPiece struct {
	Name      string           `json:"name"`
	Service   string           `json:"service"`
	Endpoints []packedEndpoint `json:"endpoints"`
}

// packedEndpoint is an endpoint that is encoded as an array: [address, failure domain, slots, connections, leaving].
// Endpoints make up most of the tables, and field names would double their size.
type packedEndpoint Endpoint

// MarshalJSON encodes the endpoint as an array.
func (e packedEndpoint) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.Address, e.FailureDomain, e.Slots, e.Connections, e.Leaving})
}

// UnmarshalJSON decodes the endpoint from an array.
func (e *packedEndpoint) UnmarshalJSON(data []byte) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	fields := []any{&e.Address, &e.FailureDomain, &e.Slots, &e.Connections, &e.Leaving}
	if len(parts) != len(fields) {
		return errors.Errorf("endpoint has %d values, must have %d", len(parts), len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(parts[i], field); err != nil {
			return err
		}
	}
	return nil
}

// Split encodes tables as segments, sorted by digest and without duplicates, and a head whose list of changes is empty.
// The result does not depend on the order of the entries. Split returns a *SizeError if a table does not fit.
func Split(t *Tables) (*Head, []*Segment, error) {
	routes, err := splitTable(Routes, routeEntries(t.Routes))
	if err != nil {
		return nil, nil, err
	}
	pools, err := splitTable(Pools, poolEntries(t.Pools))
	if err != nil {
		return nil, nil, err
	}
	h := &Head{Version: t.Version, Routes: digestsOf(routes), Pools: digestsOf(pools)}
	all := append(routes, pools...)
	slices.SortFunc(all, func(a, b *Segment) int { return strings.Compare(string(a.Digest), string(b.Digest)) })
	all = slices.CompactFunc(all, func(a, b *Segment) bool { return a.Digest == b.Digest })
	return h, all, nil
}

func digestsOf(segments []*Segment) []Digest {
	digests := make([]Digest, len(segments))
	for i, s := range segments {
		digests[i] = s.Digest
	}
	return digests
}

// entry is a route or a piece of a pool, with the key whose hash selects its segment.
type entry struct {
	key   string
	size  int // bytes of the entry encoded as a segment of its own
	route *Route
	piece *poolPiece
}

func routeEntries(routes []Route) []entry {
	entries := make([]entry, len(routes))
	for i := range routes {
		entries[i] = entry{key: routes[i].Name, route: &routes[i]}
	}
	return entries
}

func poolEntries(pools []Pool) []entry {
	var entries []entry
	for i := range pools {
		for number, piece := range splitPool(&pools[i]) {
			entries = append(entries, entry{key: fmt.Sprintf("%s/%04d", pools[i].Name, number), piece: piece})
		}
	}
	return entries
}

// splitPool distributes the endpoints of a large pool over pieces by the hash of their address, so that an added or
// removed endpoint changes only one piece. The number of pieces is the smallest power of two for which a piece has at
// most half of maxUnsplitEndpoints endpoints on average.
func splitPool(p *Pool) []*poolPiece {
	count := 1
	for count*maxUnsplitEndpoints < 2*len(p.Endpoints) && len(p.Endpoints) > maxUnsplitEndpoints {
		count *= 2
	}
	pieces := make([]*poolPiece, count)
	for i := range pieces {
		pieces[i] = &poolPiece{Name: p.Name, Service: p.Service, Endpoints: []packedEndpoint{}}
	}
	for _, e := range p.Endpoints {
		i := 0
		if count > 1 {
			i = int(xxhash.Sum64String(e.Address.String()) % uint64(count))
		}
		pieces[i].Endpoints = append(pieces[i].Endpoints, packedEndpoint(e))
	}
	for _, piece := range pieces {
		slices.SortFunc(piece.Endpoints, func(a, b packedEndpoint) int { return a.Address.Compare(b.Address) })
	}
	return pieces
}

// splitTable doubles the number of segments until each of them is smaller than SegmentLimit.
func splitTable(name string, entries []entry) ([]*Segment, error) {
	slices.SortStableFunc(entries, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	for i := range entries {
		data, err := json.Marshal(contentOf(entries[i : i+1]))
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", name)
		}
		entries[i].size = len(data)
	}
	for count := 1; count <= MaxSegments; count *= 2 {
		if groups, fits := groupEntries(entries, count); fits {
			return encodeGroups(groups)
		}
	}
	return nil, &SizeError{Table: name}
}

// groupEntries assigns entries to count groups by the hash of their key. It reports false if a group may reach
// SegmentLimit, judged by the sum of the sizes of its entries, which is an upper bound of the size of the encoded
// segment.
func groupEntries(entries []entry, count int) ([][]entry, bool) {
	groups := make([][]entry, count)
	sizes := make([]int, count)
	for _, e := range entries {
		i := int(xxhash.Sum64String(e.key) % uint64(count))
		groups[i] = append(groups[i], e)
		sizes[i] += e.size
		if sizes[i] >= SegmentLimit {
			return nil, false
		}
	}
	return groups, true
}

func contentOf(group []entry) *segmentContent {
	c := &segmentContent{}
	for _, e := range group {
		if e.route != nil {
			c.Routes = append(c.Routes, *e.route)
		} else {
			c.Pools = append(c.Pools, *e.piece)
		}
	}
	return c
}

func encodeGroups(groups [][]entry) ([]*Segment, error) {
	segments := make([]*Segment, len(groups))
	for i, group := range groups {
		c := contentOf(group)
		data, err := json.Marshal(c)
		if err != nil {
			return nil, errors.Wrap(err, "encode segment")
		}
		segments[i] = c.segment(data)
	}
	return segments, nil
}

func (c *segmentContent) segment(data []byte) *Segment {
	s := &Segment{Digest: DigestOf(data), Data: data, Routes: c.Routes}
	for _, piece := range c.Pools {
		p := Pool{Name: piece.Name, Service: piece.Service, Endpoints: make([]Endpoint, len(piece.Endpoints))}
		for i, e := range piece.Endpoints {
			p.Endpoints[i] = Endpoint(e)
		}
		s.Pools = append(s.Pools, p)
	}
	return s
}

// IsCorrupt reports whether an error of DecodeHead or ParseSegment is the cause of err: a head or segment was received
// whole, but its content is invalid.
func IsCorrupt(err error) bool {
	var head *HeadError
	var segment *SegmentError
	return errors.As(err, &head) || errors.As(err, &segment)
}

// ParseSegment checks that received content has the expected digest and decodes it. It returns a *SegmentError for
// invalid input.
func ParseSegment(d Digest, data []byte) (*Segment, error) {
	if len(data) >= SegmentLimit {
		return nil, &SegmentError{Digest: d, Reason: fmt.Sprintf("%d bytes, must be less than %d", len(data), SegmentLimit)}
	}
	if DigestOf(data) != d {
		return nil, &SegmentError{Digest: d, Reason: "digest of the content does not match"}
	}
	c := &segmentContent{}
	if err := decodeStrict(data, c); err != nil {
		return nil, &SegmentError{Digest: d, Reason: err.Error()}
	}
	return c.segment(data), nil
}

// Join assembles the tables of a head from parsed segments; lookup returns nil for a segment that is not available. The
// tables share memory with the segments. Join returns a *MissingError if segments are not available, and a *HeadError
// if the head lists a segment under the wrong table. The result is not validated.
func Join(h *Head, lookup func(Digest) *Segment) (*Tables, error) {
	if missing := h.Missing(func(d Digest) bool { return lookup(d) != nil }); len(missing) > 0 {
		return nil, &MissingError{Digests: missing}
	}
	t := &Tables{Version: h.Version}
	for _, d := range h.Routes {
		s := lookup(d)
		if len(s.Pools) > 0 {
			return nil, &HeadError{Reason: "a segment of pools is listed under routes"}
		}
		t.Routes = append(t.Routes, s.Routes...)
	}
	for _, d := range h.Pools {
		s := lookup(d)
		if len(s.Routes) > 0 {
			return nil, &HeadError{Reason: "a segment of routes is listed under pools"}
		}
		t.Pools = append(t.Pools, s.Pools...)
	}
	slices.SortStableFunc(t.Routes, func(a, b Route) int { return strings.Compare(a.Name, b.Name) })
	slices.SortStableFunc(t.Pools, func(a, b Pool) int { return strings.Compare(a.Name, b.Name) })
	t.Pools = joinPieces(t.Pools)
	return t, nil
}

// joinPieces merges adjacent pieces of the same pool. Pieces with the same name and different services are not merged,
// so that validation reports them as two pools with one name.
func joinPieces(pools []Pool) []Pool {
	joined := pools[:0]
	for i := 0; i < len(pools); {
		p := pools[i]
		next := i + 1
		for next < len(pools) && pools[next].Name == p.Name && pools[next].Service == p.Service {
			next++
		}
		if next > i+1 {
			p.Endpoints = mergeEndpoints(pools[i:next])
		}
		joined = append(joined, p)
		i = next
	}
	return joined
}

func mergeEndpoints(pieces []Pool) []Endpoint {
	var all []Endpoint // a new slice, because the slices of segments are shared
	for _, p := range pieces {
		all = append(all, p.Endpoints...)
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return a.Address.Compare(b.Address) })
	return all
}
