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
	// SegmentLimit is the largest encoding of a segment in bytes. A change costs a member the segments that it touches.
	SegmentLimit = 64 << 10
	// maxSegments bounds a head: 4,096 digests of each table stay far below the 1 MB limit of a value.
	maxSegments = 4096
	// pieceEndpoints is the largest number of endpoints in a pool that is not cut into pieces. That many endpoints with
	// the longest failure domain names are just below SegmentLimit. Without pieces a large pool would not fit at all.
	pieceEndpoints = 128
)

// Segment is one decoded part of a table. It never changes after it was parsed.
type Segment struct {
	Digest Digest
	Data   []byte // encoded content
	Routes []Route
	Pools  []Pool // whole pools, or pieces of pools with many endpoints
}

// SegmentError reports a segment whose content cannot be used.
type SegmentError struct {
	Digest Digest
	Reason string
}

func (e *SegmentError) Error() string {
	return fmt.Sprintf("faulty segment %.40s: %s", e.Digest, e.Reason)
}

// MissingError reports a head whose segments are not all known.
type MissingError struct {
	Digests []Digest
}

func (e *MissingError) Error() string { return fmt.Sprintf("%d segments are missing", len(e.Digests)) }

// SizeError reports tables that do not fit into the largest number of segments.
type SizeError struct {
	Table string
}

func (e *SizeError) Error() string {
	return fmt.Sprintf("table %s does not fit into %d segments of %d bytes", e.Table, maxSegments, SegmentLimit)
}

// segmentContent is the stored form of a segment.
type segmentContent struct {
	Routes []Route     `json:"routes,omitempty"`
	Pools  []poolPiece `json:"pools,omitempty"`
}

type poolPiece struct {
	Name      string           `json:"name"`
	Service   string           `json:"service"`
	Endpoints []packedEndpoint `json:"endpoints"`
}

// packedEndpoint is an endpoint without field names: [address, failure domain, slots, connections, leaving]. Endpoints
// are nearly all of the tables, and their field names would double the size.
type packedEndpoint Endpoint

// MarshalJSON writes the endpoint as an array.
func (e packedEndpoint) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.Address, e.FailureDomain, e.Slots, e.Connections, e.Leaving})
}

// UnmarshalJSON reads the endpoint from an array.
func (e *packedEndpoint) UnmarshalJSON(data []byte) error {
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}
	fields := []any{&e.Address, &e.FailureDomain, &e.Slots, &e.Connections, &e.Leaving}
	if len(parts) != len(fields) {
		return errors.Errorf("endpoint has %d values, not %d", len(parts), len(fields))
	}
	for i, field := range fields {
		if err := json.Unmarshal(parts[i], field); err != nil {
			return err
		}
	}
	return nil
}

// Split encodes tables as segments and a head without changes. The result depends on the entries alone, not on their
// order. It returns a *SizeError if a table does not fit.
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

// entry is a route or a piece of a pool with the hash that selects its segment.
type entry struct {
	key   string
	size  int
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
		for number, piece := range cutPool(&pools[i]) {
			entries = append(entries, entry{key: fmt.Sprintf("%s/%04d", pools[i].Name, number), piece: piece})
		}
	}
	return entries
}

// cutPool distributes the endpoints over pieces by hash of their address, so that adding one changes one piece only.
func cutPool(p *Pool) []*poolPiece {
	count := 1
	for count*pieceEndpoints < 2*len(p.Endpoints) && len(p.Endpoints) > pieceEndpoints {
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

// splitTable doubles the number of segments until each one is below SegmentLimit.
func splitTable(name string, entries []entry) ([]*Segment, error) {
	slices.SortStableFunc(entries, func(a, b entry) int { return strings.Compare(a.key, b.key) })
	for i := range entries {
		data, err := json.Marshal(contentOf(entries[i : i+1]))
		if err != nil {
			return nil, errors.Wrapf(err, "encode %s", name)
		}
		entries[i].size = len(data)
	}
	for count := 1; count <= maxSegments; count *= 2 {
		if groups, fits := groupEntries(entries, count); fits {
			return encodeGroups(groups)
		}
	}
	return nil, &SizeError{Table: name}
}

// groupEntries reports whether the groups fit, by the sum of the entries' single sizes, which is an upper bound.
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

// ParseSegment decodes the content that was received for a digest. It returns a *SegmentError for faulty input.
func ParseSegment(d Digest, data []byte) (*Segment, error) {
	if len(data) >= SegmentLimit {
		return nil, &SegmentError{Digest: d, Reason: fmt.Sprintf("%d bytes, the limit is %d", len(data), SegmentLimit)}
	}
	if DigestOf(data) != d {
		return nil, &SegmentError{Digest: d, Reason: "the content has another digest"}
	}
	c := &segmentContent{}
	if err := decodeStrict(data, c); err != nil {
		return nil, &SegmentError{Digest: d, Reason: err.Error()}
	}
	return c.segment(data), nil
}

// Join assembles the tables of a head from parsed segments; lookup returns nil for a segment that is not known. The
// tables share memory with the segments. It returns a *MissingError if segments are not known. The result still has to
// be validated.
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

// joinPieces merges neighbouring pieces of one pool. Pieces of one name with different services stay apart, so that
// validation reports them.
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
	var all []Endpoint // a new slice, because segments are shared
	for _, p := range pieces {
		all = append(all, p.Endpoints...)
	}
	slices.SortFunc(all, func(a, b Endpoint) int { return a.Address.Compare(b.Address) })
	return all
}
