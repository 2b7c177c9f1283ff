// Package configuration decides which version of the tables a balancer puts in force, which members read the store for
// their failure domain, and what to fetch from a peer that announces a higher version.
//
// # Usage
//
// Create a State with New. Feed it with SetView when the membership changes, HandlePeerVersion for the version that each
// gossip message carries, Offer for a head with its segments from the store or a peer, FetchFailed when a fetch ended
// without an offer, and Tick at least every 200 ms. It calls Actions in return. Answer serves the TablesRequest of a
// peer. All methods may be called from any goroutine.
//
// A version in force is never replaced by a lower one. Tables are validated again before they are put in force, since
// they may have been written by another release or outside of cornellb.
package configuration

import (
	"log/slog"
	"sync"
	"time"

	"cornellb/core/state/member"
	"cornellb/core/state/table"
)

// Clock tells the time.
type Clock interface{ Now() time.Time }

// Actions are what the state asks of its surroundings. They are called in order, must not block, and must not call the
// state back before they return.
type Actions interface {
	// PutInForce installs a higher version than the one before.
	PutInForce(x *table.Index)
	// FetchTables asks a peer for its tables. It ends in a call of Offer or FetchFailed with that incarnation.
	FetchTables(from member.Host, have []table.Digest)
}

// Source tells where an offer came from: the store, or the peer with an incarnation.
type Source struct {
	Peer member.Incarnation // 0 for the store
}

// Counters count the outcomes of offers and fetches since the start of the process.
type Counters struct {
	InForce    uint64 // versions put in force
	Stale      uint64 // offers that were not higher than the version in force
	Conflicts  uint64 // offers of the version in force with other content
	Corrupt    uint64 // offers with a faulty head or segment
	Incomplete uint64 // offers with missing segments
	Refused    uint64 // offers of versions with invalid tables
	Fetches    uint64 // fetches from peers
	Failures   uint64 // fetches that failed or exceeded fetchTimeout
}

// State is the configuration state of one balancer.
type State struct {
	clock   Clock
	actions Actions
	log     *slog.Logger

	offers   sync.Mutex // held for a whole offer and taken before mutex; only its holder changes the head
	mutex    sync.Mutex
	view     *member.View
	readers  []member.Host
	head     *table.Head
	encoded  table.Digest // digest of the encoded head in force
	index    *table.Index
	segments map[table.Digest]*table.Segment // replaced as a whole, never changed
	history  []*Base                         // former versions in force, oldest first
	refused  []RefusedVersion
	peers    peerVersions
	counters Counters
	ready    bool
	loadedAt time.Time // when the first version was put in force
}

// New returns a state without tables.
func New(clock Clock, actions Actions, log *slog.Logger) *State {
	return &State{
		clock: clock, actions: actions, log: log,
		segments: make(map[table.Digest]*table.Segment),
		peers:    newPeerVersions(),
	}
}

// InForce returns the tables in force, or nil.
func (s *State) InForce() *table.Index {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.index
}

// Version returns the version in force, or 0. Gossip messages carry it.
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

// readyWait bounds how long a joining balancer with tables waits for a higher version that a peer announced. It is the
// time in which an accepted version must be in force.
const readyWait = 4 * time.Second

// IsReady reports whether the balancer has had tables in force and, for at most readyWait, none of its peers had
// announced higher ones. It stays true once it was true, so that a new version does not take balancers out of service.
func (s *State) IsReady() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.ready && s.head != nil {
		s.ready = s.peers.highest() <= s.version() || s.clock.Now().Sub(s.loadedAt) >= readyWait
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

// HandlePeerVersion records the version that a member announced and fetches it if it is higher than the one in force.
func (s *State) HandlePeerVersion(from member.Incarnation, version uint64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peers.announce(from, version, s.version(), s.clock.Now())
	s.startFetch()
}

// FetchFailed ends the fetch from a member. The member is asked again after retryDelay at the earliest.
func (s *State) FetchFailed(from member.Incarnation) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.peers.endFetch(from) {
		s.counters.Failures++
	}
	s.startFetch()
}

// Tick ends fetches without an answer and starts the ones that are due.
func (s *State) Tick() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.peers.expire(s.clock.Now()) {
		s.counters.Failures++
	}
	s.startFetch()
}

func (s *State) startFetch() {
	if s.view == nil {
		return
	}
	now := s.clock.Now()
	from, found := s.peers.choose(s.view, s.version(), now, s.isRefused)
	if !found {
		return
	}
	s.counters.Fetches++
	s.peers.beginFetch(from.Incarnation, now)
	s.actions.FetchTables(from, s.digests())
}

func (s *State) digests() []table.Digest {
	if s.head == nil {
		return nil
	}
	return s.head.Digests()
}

// Answer returns the head in force and the segments that a peer does not have. The head is nil if there is none.
func (s *State) Answer(have []table.Digest) (*table.Head, []*table.Segment) {
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
