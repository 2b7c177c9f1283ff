package configuration

import (
	"cornellb/core/state/table"
)

// historyLimit is the number of former versions from which a peer may get a difference. At 26,000 changes a day eight of
// them cover 26 s, several times the 4 s in which a version must be in force everywhere. Each one keeps the segments that
// were replaced since.
const historyLimit = 8

// Base is a version in force, or one that was.
type Base struct {
	Digest   table.Digest // of the encoded head
	head     *table.Head
	segments map[table.Digest]*table.Segment
}

// Encoded returns the stored form of the head.
func (b *Base) Encoded() ([]byte, error) { return b.head.Encode() }

// Segment returns the content of a segment, or nil.
func (b *Base) Segment(d table.Digest) []byte {
	if s := b.segments[d]; s != nil {
		return s.Data
	}
	return nil
}

// Base returns the version in force, or nil.
func (s *State) Base() *Base {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.base()
}

func (s *State) base() *Base {
	if s.head == nil {
		return nil
	}
	return &Base{Digest: s.encoded, head: s.head, segments: s.segments}
}

// remember keeps the version in force before another one replaces it.
func (s *State) remember() {
	if b := s.base(); b != nil {
		s.history = append(s.history, b)
		s.history = s.history[max(0, len(s.history)-historyLimit):]
	}
}

// Replaced is a segment of a version and the one of its base at the same place, which may be unknown.
type Replaced struct {
	Segment *table.Segment
	Base    table.Digest // empty if there is none
}

// Change is the difference between the version in force and a base.
type Change struct {
	From, To *Base
	Segments []Replaced
}

// ChangeSince returns the difference from a version that was in force here lately, or nil if it is not known.
func (s *State) ChangeSince(head table.Digest) *Change {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	to := s.base()
	for _, from := range s.history {
		if from.Digest == head && to != nil {
			return &Change{From: from, To: to, Segments: replaced(from, to)}
		}
	}
	return nil
}

func replaced(from, to *Base) []Replaced {
	places := make(map[table.Digest]table.Digest)
	for _, lists := range [][2][]table.Digest{{from.head.Routes, to.head.Routes}, {from.head.Pools, to.head.Pools}} {
		if len(lists[0]) != len(lists[1]) {
			continue // the number of segments has changed, and with it the place of the entries
		}
		for i, d := range lists[1] {
			places[d] = lists[0][i]
		}
	}
	var list []Replaced
	for _, d := range to.head.Missing(func(d table.Digest) bool { return from.segments[d] != nil }) {
		list = append(list, Replaced{Segment: to.segments[d], Base: places[d]})
	}
	return list
}
