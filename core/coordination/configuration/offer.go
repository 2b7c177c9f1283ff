package configuration

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/table"
)

const (
	// refusedLimit is the number of refused versions that are kept and shown in the status; older ones are dropped.
	refusedLimit = 8
	// refusedRetryDelay is how long a refused version is not fetched again from a peer. Members that run another
	// release may have accepted the version; without the delay, each of their gossip messages would start another
	// fetch.
	refusedRetryDelay = time.Minute
)

// RefusedVersion is a version whose segments were all received but whose tables failed validation.
type RefusedVersion struct {
	Version    uint64
	Reason     string
	At         time.Time
	headDigest table.Digest
}

// MissingSegments returns the segments that have to be fetched before the head is passed to Offer. The second result is
// false if the version of the head is not higher than the version in force or the head was refused; Offer would only
// count it.
func (s *State) MissingSegments(h *table.Head) ([]table.Digest, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	encoded, err := h.Encode()
	if err != nil || h.Version <= s.version() || s.isRefusedHead(table.DigestOf(encoded)) {
		return nil, false
	}
	return h.Missing(func(d table.Digest) bool { return s.segments[d] != nil }), true
}

// Offer puts the tables of a head in force if they are complete and valid and their version is higher than the version
// in force. Segments of the version in force may be left out; the others must come from table.ParseSegment, which
// checks their digests. Offer returns a *table.HeadError, *table.MissingError or *table.ValidationError if the tables
// cannot be used, and nil for a version that is not higher than the version in force or a head that was refused before.
func (s *State) Offer(source Source, h *table.Head, segments []*table.Segment) error {
	s.offerMutex.Lock()
	defer s.offerMutex.Unlock()
	s.endFetch(source)
	digest, isWanted, err := s.beginOffer(h)
	var t *table.Tables
	var known map[table.Digest]*table.Segment
	if err == nil && isWanted {
		known = s.collectSegments(h, segments)
		t, err = assemble(h, known)
	}
	s.endOffer(h, digest, known, t, err)
	return err
}

// assemble joins the segments and validates the tables. It is called without holding State.mutex: with 130,000
// endpoints it takes longer than gossip and packet processing may be blocked.
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
	case s.isRefusedHead(digest):
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
		s.recordRefusal(h, digest, err)
	}
	s.startFetch()
}

// OfferFailed counts an offer whose head or segments could not be decoded as corrupt, and ends the fetch if it came from
// a peer. For a head or segments that could not be fetched from a peer, call FetchFailed instead.
func (s *State) OfferFailed(source Source) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.counters.Corrupt++
	if source.Peer != 0 && s.peers.endFetch(source.Peer) {
		s.counters.Failures++
	}
	s.startFetch()
}

// countStale counts an offer whose version is not higher than the version in force. Different content with the same
// version number means that the store was reset or restored from a backup; the version in force is then kept until a
// higher version arrives.
func (s *State) countStale(h *table.Head, digest table.Digest) {
	s.counters.Stale++
	if h.Version == s.version() && digest != s.headDigest {
		s.counters.Conflicts++
		s.log.Warn("offered tables have the version in force but different content; keeping the tables in force",
			"version", h.Version)
	}
}

// collectSegments returns those segments of the head that are known or offered. Segments that only earlier versions
// contain are left out, so that their memory can be freed.
func (s *State) collectSegments(h *table.Head, offered []*table.Segment) map[table.Digest]*table.Segment {
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
		s.firstInForceAt = now
	}
	before := s.version()
	s.appendHistory()
	s.head, s.headDigest, s.segments, s.index = h, d, segments, x
	s.counters.InForce++
	s.peers.dropUpTo(h.Version)
	s.log.Info("tables put in force", "version", h.Version, "before", before)
	s.actions.PutInForce(s.index)
}

func (s *State) recordRefusal(h *table.Head, d table.Digest, reason error) {
	r := RefusedVersion{Version: h.Version, Reason: reason.Error(), At: s.clock.Now(), headDigest: d}
	for i := range s.refused {
		if s.refused[i].headDigest == d {
			s.refused[i] = r
			return
		}
	}
	s.refused = append(s.refused, r)
	s.refused = s.refused[max(0, len(s.refused)-refusedLimit):]
	s.log.Error("offered tables refused; the version in force is unchanged", "version", h.Version, "reason", r.Reason)
}

// isRefusedHead reports whether the head with this digest was refused.
func (s *State) isRefusedHead(head table.Digest) bool {
	return slices.ContainsFunc(s.refused, func(r RefusedVersion) bool { return r.headDigest == head })
}

// isRecentlyRefused reports whether a head with this version was refused less than refusedRetryDelay ago.
func (s *State) isRecentlyRefused(version uint64) bool {
	now := s.clock.Now()
	return slices.ContainsFunc(s.refused, func(r RefusedVersion) bool {
		return r.Version == version && now.Sub(r.At) < refusedRetryDelay
	})
}
