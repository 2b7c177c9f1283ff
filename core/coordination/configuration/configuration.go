// Package configuration decides which version of the tables a balancer uses (puts in force), which members read the
// tables from the store on behalf of their failure domain, and what to fetch from a peer that announces a higher
// version.
//
// # Usage
//
// Create a State with New. Call SetView when the membership changes, HandlePeerVersion for the version in each gossip
// message, Offer for a head and segments received from the store or a peer, OfferFailed if these could not be decoded,
// FetchFailed when a fetch ended without tables, and Tick at least every 200 ms. State calls Actions in response.
// ExportTables returns what the reply to the TablesRequest of a peer contains. All methods are safe for concurrent use.
//
// The version in force is never replaced by a lower one. Tables are validated before they are put in force even though
// the writer validated them, since they may have been written by another release of cornellb or by another program.
package configuration

import (
	"log/slog"
	"sync"
	"time"

	"cornellb/core/state/member"
	"cornellb/core/state/table"
)

// Clock returns the current time. Tests replace it.
type Clock interface{ Now() time.Time }

// Actions are the callbacks of a State. They are called in order with the state locked: they must not block and must
// not call methods of the State.
type Actions interface {
	// PutInForce makes a version the active one. Each call has a higher version than the previous call.
	PutInForce(x *table.Index)
	// FetchTables starts a request for the tables of a peer; have lists the segments that are already known. The
	// implementation reports the result with Offer, OfferFailed or FetchFailed and the incarnation of the peer.
	FetchTables(from member.Host, have []table.Digest)
}

// Source identifies where an offer came from: the store or a peer.
type Source struct {
	Peer member.Incarnation // 0 for the store
}

// Counters count the outcomes of offers and fetches since the start of the process.
type Counters struct {
	InForce    uint64 // versions put in force
	Stale      uint64 // offers whose version was not higher than the version in force
	Conflicts  uint64 // offers with the version number in force and different content; also counted as stale
	Corrupt    uint64 // offers with an invalid head or segment
	Incomplete uint64 // offers with missing segments
	Refused    uint64 // offers of versions whose tables fail validation, repeated offers included
	Fetches    uint64 // fetches started from peers
	Failures   uint64 // fetches that failed or exceeded fetchTimeout
}

// State is the configuration state of one balancer.
type State struct {
	clock   Clock
	actions Actions
	log     *slog.Logger

	offerMutex     sync.Mutex // held during Offer and locked before mutex; only its holder changes head
	mutex          sync.Mutex
	view           *member.View
	readers        []member.Host
	head           *table.Head
	headDigest     table.Digest // digest of the encoded form of head
	index          *table.Index
	segments       map[table.Digest]*table.Segment // of the version in force; the map is replaced, never modified
	history        []*Snapshot                     // previous versions in force, oldest first
	refused        []RefusedVersion
	peers          peerVersions
	counters       Counters
	ready          bool
	firstInForceAt time.Time // when the first version since the start was put in force
}

// New returns a state without tables.
func New(clock Clock, actions Actions, log *slog.Logger) *State {
	return &State{
		clock: clock, actions: actions, log: log,
		segments: make(map[table.Digest]*table.Segment),
		peers:    newPeerVersions(),
	}
}

// InForce returns the tables in force, or nil if there are none yet.
func (s *State) InForce() *table.Index {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.index
}

// Version returns the version in force, or 0 if there is none. It is announced to peers in gossip messages.
func (s *State) Version() uint64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.version()
}

func (s *State) version() uint64 {
	if s.head == nil {
		return 0
	}
	return s.head.Version
}

// Counters returns a copy of the counters.
func (s *State) Counters() Counters {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.counters
}

// readyWait limits how long a joining balancer that has tables waits for a higher version that a peer announced. It
// equals the time within which an accepted version must be in force everywhere.
const readyWait = 4 * time.Second

// IsReady reports whether the balancer may serve: it has tables in force, and either no peer announced a higher version
// or readyWait has passed since the first tables were put in force. Once true it stays true, so that a new version does
// not take balancers out of service.
func (s *State) IsReady() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ready && s.head != nil {
		s.ready = s.peers.highest() <= s.version() || s.clock.Now().Sub(s.firstInForceAt) >= readyWait
	}
	return s.ready
}

// SetView replaces the membership view.
func (s *State) SetView(v *member.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view = v
	s.readers = Readers(v, v.Self.FailureDomain)
	s.peers.retain(v)
	s.startFetch()
}

// IsReader reports whether the local member reads the store for its failure domain.
func (s *State) IsReader() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, r := range s.readers {
		if r.Incarnation == s.view.Self.Incarnation {
			return true
		}
	}
	return false
}

// HandlePeerVersion records the version that a member announced. If it is higher than the version in force, the member
// becomes a candidate to fetch from; the fetch starts at once if it is due.
func (s *State) HandlePeerVersion(from member.Incarnation, version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peers.announce(from, version, s.version(), s.clock.Now())
	s.startFetch()
}

// FetchFailed reports that the fetch from a member failed. The member is asked again no earlier than retryDelay after
// the fetch began.
func (s *State) FetchFailed(from member.Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.peers.endFetch(from) {
		s.counters.Failures++
	}
	s.startFetch()
}

// Tick ends a fetch that exceeded fetchTimeout and starts the next one that is due.
func (s *State) Tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.peers.expireFetch(s.clock.Now()) {
		s.counters.Failures++
	}
	s.startFetch()
}

func (s *State) startFetch() {
	if s.view == nil {
		return
	}
	now := s.clock.Now()
	from, found := s.peers.choosePeer(s.view, s.version(), now, s.isRecentlyRefused)
	if !found {
		return
	}
	s.counters.Fetches++
	s.peers.beginFetch(from.Incarnation, now)
	s.actions.FetchTables(from, s.segmentDigests())
}

func (s *State) segmentDigests() []table.Digest {
	if s.head == nil {
		return nil
	}
	return s.head.Digests()
}

// ExportTables returns the head in force and those of its segments that are not in have. The head is nil if no tables
// are in force.
func (s *State) ExportTables(have []table.Digest) (*table.Head, []*table.Segment) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.head == nil {
		return nil, nil
	}
	known := make(map[table.Digest]bool, len(have))
	for _, d := range have {
		known[d] = true
	}
	var segments []*table.Segment
	for _, d := range s.head.Missing(func(d table.Digest) bool { return known[d] }) {
		segments = append(segments, s.segments[d])
	}
	return s.head, segments
}
