package configuration

import (
	"cornellb/core/state/table"
)

// historyLimit is the number of previous versions that are kept as bases for differences. At 26,000 changes a day,
// eight versions cover 26 s, several times the 4 s within which a version must be in force everywhere. Each kept
// version holds on to the memory of the segments that were replaced since.
const historyLimit = 8

// Snapshot holds the head and the segments of the version in force or of a previous one. It is immutable.
type Snapshot struct {
	Digest   table.Digest // of the encoded head
	head     *table.Head
	segments map[table.Digest]*table.Segment
}

// Encoded returns the stored form of the head.
func (x *Snapshot) Encoded() ([]byte, error) { return x.head.Encode() }

// Segment returns the encoded content of a segment, or nil if this version does not contain the segment.
func (x *Snapshot) Segment(d table.Digest) []byte {
	if s := x.segments[d]; s != nil {
		return s.Data
	}
	return nil
}

// Snapshot returns a snapshot of the version in force, or nil if there are no tables yet.
func (s *State) Snapshot() *Snapshot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.snapshot()
}

func (s *State) snapshot() *Snapshot {
	if s.head == nil {
		return nil
	}
	return &Snapshot{Digest: s.headDigest, head: s.head, segments: s.segments}
}

// appendHistory adds the version in force to the history. It is called before another version replaces it.
func (s *State) appendHistory() {
	if x := s.snapshot(); x != nil {
		s.history = append(s.history, x)
		s.history = s.history[max(0, len(s.history)-historyLimit):]
	}
}

// ChangedSegment is a segment that the base version does not contain, together with the segment at the same position in
// the base version.
type ChangedSegment struct {
	Segment *table.Segment
	Base    table.Digest // digest of the segment in the base; empty if the number of segments differs
}

// TablesDifference is the difference from a previous version to the version in force.
type TablesDifference struct {
	From, To *Snapshot
	Segments []ChangedSegment
}

// DifferenceSince returns the difference from the previous version whose encoded head has the given digest, or nil if
// that version is not in the history.
func (s *State) DifferenceSince(head table.Digest) *TablesDifference {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	to := s.snapshot()
	for _, from := range s.history {
		if from.Digest == head && to != nil {
			return &TablesDifference{From: from, To: to, Segments: changedSegments(from, to)}
		}
	}
	return nil
}

func changedSegments(from, to *Snapshot) []ChangedSegment {
	bases := make(map[table.Digest]table.Digest)
	for _, lists := range [][2][]table.Digest{{from.head.Routes, to.head.Routes}, {from.head.Pools, to.head.Pools}} {
		if len(lists[0]) != len(lists[1]) {
			continue // a different number of segments assigns entries to segments differently
		}
		for i, d := range lists[1] {
			bases[d] = lists[0][i]
		}
	}
	var list []ChangedSegment
	for _, d := range to.head.Missing(func(d table.Digest) bool { return from.segments[d] != nil }) {
		list = append(list, ChangedSegment{Segment: to.segments[d], Base: bases[d]})
	}
	return list
}
