package client

import (
	"bytes"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

// maxAssemblies limits the number of partial answers of one request. There is more than one if an idempotent request
// ran more than once and its runs gave different answers, whose segments must not be mixed.
const maxAssemblies = 4

type segmentState int

const (
	segmentInvalid   segmentState = iota // the segment's index, number or sizes contradict each other or exceed a limit
	segmentDuplicate                     // the segment was received before
	segmentNew                           // the segment is new, and others are still missing
	segmentComplete                      // the answer is complete and its digest matches
	segmentMismatch                      // all segments or too many bytes were received; size or digest differ
)

// answerKey distinguishes the answers of different runs of a request.
type answerKey struct {
	segments, size uint32
	digest         uint64
}

// assembly is a partial answer.
type assembly struct {
	parts    [][]byte // payloads by segment; nil if missing
	missing  int      // segments
	received int      // bytes
}

// assembler assembles the answer to a request from its segments.
type assembler struct {
	assemblies map[answerKey]*assembly
	order      []answerKey // oldest first
	latest     answerKey   // key of the last valid segment
}

// add adds the segment in p. It returns the whole answer if the state is segmentComplete, and nil otherwise.
func (a *assembler) add(p *packet.Packet) ([]byte, segmentState) {
	if p.Size > packet.MaxAnswerBytes || p.Segments == 0 || p.Segments > wire.MaxSegments || p.Segment >= p.Segments ||
		p.Segments > max(1, p.Size) || len(p.Payload) > int(p.Size) {
		return nil, segmentInvalid
	}
	key := answerKey{segments: p.Segments, size: p.Size, digest: p.Digest}
	a.latest = key
	s := a.assembly(key)
	if s.parts[p.Segment] != nil {
		return nil, segmentDuplicate
	}
	s.parts[p.Segment] = append(make([]byte, 0, len(p.Payload)), p.Payload...)
	s.received += len(p.Payload)
	s.missing--
	if s.missing > 0 && s.received <= int(p.Size) {
		return nil, segmentNew
	}
	answer := bytes.Join(s.parts, nil)
	if len(answer) != int(p.Size) || xxhash.Sum64(answer) != p.Digest {
		a.remove(key)
		return nil, segmentMismatch
	}
	return answer, segmentComplete
}

// firstMissing returns the index of the first segment to request. If several answers are partial, it is that of the
// answer whose segment arrived last: the remaining segments of an earlier one may be lost together with their owner.
func (a *assembler) firstMissing() uint32 {
	s := a.assemblies[a.latest]
	if s == nil {
		return 0
	}
	for i, part := range s.parts {
		if part == nil {
			return uint32(i)
		}
	}
	return 0
}

func (a *assembler) assembly(key answerKey) *assembly {
	if s := a.assemblies[key]; s != nil {
		return s
	}
	if a.assemblies == nil {
		a.assemblies = make(map[answerKey]*assembly)
	}
	if len(a.order) == maxAssemblies {
		a.remove(a.order[0])
	}
	s := &assembly{parts: make([][]byte, key.segments), missing: int(key.segments)}
	a.assemblies[key] = s
	a.order = append(a.order, key)
	return s
}

func (a *assembler) remove(key answerKey) {
	delete(a.assemblies, key)
	for i, k := range a.order {
		if k == key {
			a.order = append(a.order[:i], a.order[i+1:]...)
			return
		}
	}
}
