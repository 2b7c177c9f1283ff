package configuration

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/table"
)

const (
	// refusedLimit is the number of refused versions that are remembered and shown in the status.
	refusedLimit = 8
	// refusedRetry is how long a refused version is not fetched again from a peer. Members of another release may have
	// accepted it, and would otherwise cause a fetch with each gossip message.
	refusedRetry = time.Minute
)

// RefusedVersion is a version that is complete but not valid.
type RefusedVersion struct {
	Version uint64
	Reason  string
	At      time.Time
	head    table.Digest
}

// Wants returns the segments that an offer of the head must contain. The second result is false if the head is not
// higher than the version in force or was refused; an Offer of it only counts.
func (s *State) Wants(h *table.Head) ([]table.Digest, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	encoded, err := h.Encode()
	if err != nil || h.Version <= s.version() || s.wasRefused(table.DigestOf(encoded)) {
		return nil, false
	}
	return h.Missing(func(d table.Digest) bool { return s.segments[d] != nil }), true
}

// Offer puts the tables of a head in force if they are complete, valid and higher than the version in force. Segments
// that are already known may be left out; the others come from table.ParseSegment, which checks their digests. The error says why the offer could not be used; an offer that is not higher
// than the version in force, or that was refused before, is not an error. Errors are *table.HeadError, *table.MissingError and
// *table.ValidationError.
func (s *State) Offer(source Source, h *table.Head, segments []*table.Segment) error {
	s.offers.Lock()
	defer s.offers.Unlock()
	s.endFetch(source)
	digest, isWanted, err := s.beginOffer(h)
	var t *table.Tables
	var known map[table.Digest]*table.Segment
	if err == nil && isWanted {
		known = s.collect(h, segments)
		t, err = assemble(h, known)
	}
	s.endOffer(h, digest, known, t, err)
	return err
}

// assemble runs without the lock of the state: at the two-year size it takes longer than gossip and packets may wait.
func assemble(h *table.Head, segments map[table.Digest]*table.Segment) (*table.Tables, error) {
	t, err := table.Join(h, func(d table.Digest) *table.Segment { return segments[d] })
	if err != nil {
		return nil, err
	}
	return t, table.Validate(t)
}

func (s *State) endFetch(source Source) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if source.Peer != 0 {
		s.peers.endFetch(source.Peer)
	}
}

func (s *State) beginOffer(h *table.Head) (digest table.Digest, isWanted bool, err error) {
	if err := h.Check(); err != nil {
		return "", false, err
	}
	encoded, err := h.Encode()
	if err != nil {
		return "", false, err
	}
	digest = table.DigestOf(encoded)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case h.Version <= s.version():
		s.countStale(h, digest)
	case s.wasRefused(digest):
		s.counters.Refused++
	default:
		isWanted = true
	}
	return digest, isWanted, nil
}

func (s *State) endOffer(h *table.Head, digest table.Digest, segments map[table.Digest]*table.Segment,
	t *table.Tables, err error,
) {
	var index *table.Index
	if t != nil && err == nil {
		index = table.NewIndex(t)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var head *table.HeadError
	var missing *table.MissingError
	var invalid *table.ValidationError
	switch {
	case index != nil:
		s.install(h, digest, segments, index)
	case errors.As(err, &head):
		s.counters.Corrupt++
	case errors.As(err, &missing):
		s.counters.Incomplete++
	case errors.As(err, &invalid):
		s.counters.Refused++
		s.refuse(h, digest, err)
	}
	s.startFetch()
}

// OfferFailed counts an offer whose head or segment could not be decoded.
func (s *State) OfferFailed(source Source) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Corrupt++
	if source.Peer != 0 && s.peers.endFetch(source.Peer) {
		s.counters.Failures++
	}
	s.startFetch()
}

// countStale keeps the version in force. Two contents of one version mean that the store was reset or restored; the
// balancers then wait for a version above all of them.
func (s *State) countStale(h *table.Head, digest table.Digest) {
	s.counters.Stale++
	if h.Version == s.version() && digest != s.encoded {
		s.counters.Conflicts++
		s.log.Warn("offered tables differ from the tables in force of the same version", "version", h.Version)
	}
}

// collect returns the segments of the head only, so that segments of former versions are released.
func (s *State) collect(h *table.Head, offered []*table.Segment) map[table.Digest]*table.Segment {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	candidates := make(map[table.Digest]*table.Segment, len(offered))
	for _, o := range offered {
		candidates[o.Digest] = o
	}
	all := make(map[table.Digest]*table.Segment)
	for _, d := range h.Digests() {
		if known := s.segments[d]; known != nil {
			all[d] = known
		} else if candidates[d] != nil {
			all[d] = candidates[d]
		}
	}
	return all
}

func (s *State) install(h *table.Head, d table.Digest, segments map[table.Digest]*table.Segment, x *table.Index) {
	now := s.clock.Now()
	if s.head == nil {
		s.loadedAt = now
	}
	before := s.version()
	s.remember()
	s.head, s.encoded, s.segments, s.index = h, d, segments, x
	s.counters.InForce++
	s.peers.drop(h.Version)
	s.log.Info("tables put in force", "version", h.Version, "before", before)
	s.actions.PutInForce(s.index)
}

func (s *State) refuse(h *table.Head, d table.Digest, reason error) {
	r := RefusedVersion{Version: h.Version, Reason: reason.Error(), At: s.clock.Now(), head: d}
	for i := range s.refused {
		if s.refused[i].head == d {
			s.refused[i] = r
			return
		}
	}
	s.refused = append(s.refused, r)
	s.refused = s.refused[max(0, len(s.refused)-refusedLimit):]
	s.log.Error("tables refused", "version", h.Version, "reason", r.Reason)
}

// wasRefused reports whether exactly the head with this digest was refused.
func (s *State) wasRefused(head table.Digest) bool {
	return slices.ContainsFunc(s.refused, func(r RefusedVersion) bool { return r.head == head })
}

// isRefused reports whether a version was refused less than refusedRetry ago.
func (s *State) isRefused(version uint64) bool {
	now := s.clock.Now()
	return slices.ContainsFunc(s.refused, func(r RefusedVersion) bool {
		return r.Version == version && now.Sub(r.At) < refusedRetry
	})
}
