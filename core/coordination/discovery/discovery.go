// Package discovery merges what a balancer hears of the configuration and of the registered endpoints, from the store
// and from other balancers, into snapshots for the data path.
//
// # Rules
//
// A configuration version never goes back in the life of a process. A list or change of endpoints that is older than
// what is known changes nothing. An endpoint that is no longer registered gets no new flows, but stays known for
// FlowAge, because its open flows go on. While the store was away, entries of living endpoints lapse; they stay usable
// until ReturnTime after its return, and those that are still missing then are gone.
//
// # Usage
//
//	s := discovery.New(discovery.Config{FlowAge: time.Minute, ReturnTime: 2 * time.Second})
//	s.Configure(now, configuration)
//	s.Replace(now, endpoints, revision)
//	s.Apply(now, changes, revision, newRevision)
//	if snapshot, ok := s.Snapshot(now); ok {
//		// publish it: something has changed since the last call
//	}
//
// A State starts no goroutine, reads no clock and takes no lock. Times passed in must not run backwards.
package discovery

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/directory"
)

// Config holds the time limits of a State.
type Config struct {
	FlowAge    time.Duration // longest life of a flow; endpoints that are gone are remembered for this time
	ReturnTime time.Duration // after the store's return, in which lapsed entries of living endpoints come back
}

// Change is one event of the registry.
type Change struct {
	ID       string
	Endpoint *directory.Endpoint // nil if the entry was removed or names no endpoint to use
	Revision uint64              // of the store, at the change
}

// entry is one endpoint with the history that decides on its use.
type entry struct {
	endpoint     *directory.Endpoint // replaced, never changed: snapshots share it
	revision     uint64
	isRegistered bool
	lapsedTill   time.Time // not registered, but usable until then; zero if it is gone
	forgetAt     time.Time // for entries that are not registered
}

// State is what one balancer knows. It is not safe for concurrent use.
type State struct {
	config        Config
	configuration *directory.Configuration
	versions      versions
	former        map[netip.AddrPort]map[string]time.Time // services of earlier versions, with the time to forget them
	entries       map[string]*entry
	revision      uint64 // of the newest list or change
	isListed      bool   // a full list was received
	isAway        bool   // the store does not answer
	awayUntil     time.Time
	isDirty       bool
	recent        []Change // newest last, all changes after recentBase
	recentBase    uint64
	nextExpiry    time.Time // zero if nothing expires
}

// New returns a State that knows nothing.
func New(c Config) *State {
	return &State{
		config: c, configuration: &directory.Configuration{},
		former: make(map[netip.AddrPort]map[string]time.Time), entries: make(map[string]*entry),
	}
}

// Version returns the configuration version in force, 0 if there is none yet.
func (s *State) Version() uint64 { return s.configuration.Version }

// Configuration returns the configuration in force.
func (s *State) Configuration() *directory.Configuration { return s.configuration }

// Revision returns the store's revision up to which endpoints are known.
func (s *State) Revision() uint64 { return s.revision }

// IsComplete reports whether there is a configuration and a list of endpoints.
func (s *State) IsComplete() bool { return s.isListed && s.configuration.Version != 0 }

// Configure puts a version in force if it is newer than the present one, and reports whether it did.
func (s *State) Configure(now time.Time, c *directory.Configuration) bool {
	if c.Version <= s.configuration.Version {
		return false
	}
	for i := range s.configuration.Routes {
		r := &s.configuration.Routes[i]
		services := s.former[r.Address]
		if services == nil {
			services = make(map[string]time.Time, len(r.Targets))
			s.former[r.Address] = services
		}
		for _, t := range r.Targets {
			services[t.Service] = now.Add(s.config.FlowAge)
		}
	}
	s.expireBy(now.Add(s.config.FlowAge))
	s.versions.add(s.configuration, c)
	s.configuration = c
	s.isDirty = true
	return true
}

// Replace takes a full list of the registered endpoints at a revision of the store. It reports false for a list that is
// older than what is known.
func (s *State) Replace(now time.Time, endpoints []directory.Endpoint, revision uint64) bool {
	if s.isListed && revision < s.revision {
		return false
	}
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		listed[endpoints[i].ID] = true
		s.put(&endpoints[i], revision)
	}
	for id, e := range s.entries {
		if e.isRegistered && !listed[id] {
			s.remove(now, e, revision)
		}
	}
	s.revision, s.recent, s.recentBase = revision, nil, revision
	s.isListed, s.isDirty = true, true
	return true
}

const (
	// maxRecent is the number of changes that are kept for other balancers, about 200 KB. The two-year size has some 2,000
	// changes of endpoints an hour in a calm one.
	maxRecent = 1024
	// maxAnnounced is the number of them that fit into one datagram.
	maxAnnounced = 8
)

// remember keeps changes that follow on those which are kept. Whoever lacks older ones fetches the whole.
func (s *State) remember(changes []Change) {
	s.recent = append(s.recent, changes...)
	if over := len(s.recent) - maxRecent; over > 0 {
		s.recentBase = s.recent[over-1].Revision
		s.recent = slices.Clone(s.recent[over:]) // announcements on their way share the old array
	}
}

// Recent returns the newest changes, as many as an announcement holds, and the revision that they follow on.
func (s *State) Recent() (changes []Change, after uint64) {
	first := max(len(s.recent)-maxAnnounced, 0)
	if first == 0 {
		return slices.Clip(s.recent), s.recentBase
	}
	return slices.Clip(s.recent[first:]), s.recent[first-1].Revision
}

// Since returns all changes after a revision, and false if they are no longer kept.
func (s *State) Since(revision uint64) ([]Change, bool) {
	if !s.isListed || revision < s.recentBase {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(s.recent, revision+1, func(c Change, r uint64) int {
		return cmp.Compare(c.Revision, r)
	})
	return slices.Clip(s.recent[first:]), true
}

// LapsedUntil returns the time until which entries that lapsed during an outage of the store stay usable.
func (s *State) LapsedUntil() time.Time { return s.awayUntil }

// KeepLapsed takes that time over from another balancer.
func (s *State) KeepLapsed(until time.Time) {
	if until.After(s.awayUntil) {
		s.awayUntil = until
	}
}

// Open returns the number of endpoints that may get new flows.
func (s *State) Open() int {
	n := 0
	for _, e := range s.entries {
		if e.endpoint.IsOpen() {
			n++
		}
	}
	return n
}

// Registered returns the endpoints that are registered at Revision.
func (s *State) Registered() []directory.Endpoint {
	list := make([]directory.Endpoint, 0, len(s.entries))
	for _, e := range s.entries {
		if e.isRegistered {
			list = append(list, *e.endpoint)
		}
	}
	return list
}

// Apply takes the changes between two revisions of the store in their order. It returns those that were new here, and
// false if changes before after are not known, or if nothing is new. after is the revision that the changes follow on.
func (s *State) Apply(now time.Time, changes []Change, after, revision uint64) (applied []Change, ok bool) {
	if !s.isListed || s.revision < after || s.revision >= revision {
		return nil, false
	}
	for _, c := range changes {
		if s.change(now, c) {
			applied = append(applied, c)
		}
	}
	s.remember(applied)
	s.revision = revision
	return applied, true
}

// change takes one change. It reports false if the entry is known as of that revision or a later one.
func (s *State) change(now time.Time, c Change) bool {
	e := s.entries[c.ID]
	switch {
	case e != nil && c.Revision <= e.revision || c.Revision <= s.revision:
		return false
	case c.Endpoint != nil:
		s.put(c.Endpoint, c.Revision)
	case e != nil && e.isRegistered:
		s.remove(now, e, c.Revision)
	default:
		return false
	}
	s.isDirty = true
	return true
}

func (s *State) put(endpoint *directory.Endpoint, revision uint64) {
	e := s.entries[endpoint.ID]
	if e == nil {
		e = &entry{}
		s.entries[endpoint.ID] = e
	}
	if revision < e.revision {
		return // a change was known before the list
	}
	known := *endpoint
	e.endpoint, e.revision, e.isRegistered = &known, revision, true
	e.lapsedTill, e.forgetAt = time.Time{}, time.Time{}
}

func (s *State) remove(now time.Time, e *entry, revision uint64) {
	e.isRegistered, e.revision = false, revision
	e.forgetAt = now.Add(s.config.FlowAge)
	s.expireBy(e.forgetAt)
	if !e.endpoint.IsLeaving && now.Before(s.awayUntil) {
		e.lapsedTill = s.awayUntil
		s.expireBy(e.lapsedTill)
		return
	}
	e.markGone()
}

func (e *entry) markGone() {
	gone := *e.endpoint
	gone.IsGone = true
	e.endpoint, e.lapsedTill = &gone, time.Time{}
}

// StoreAway notes that the store does not answer.
func (s *State) StoreAway(now time.Time) {
	s.isAway = true
	s.awayUntil = now.Add(s.config.ReturnTime)
}

// StoreAnswered notes an answer of the store. After an outage, entries that lapsed meanwhile stay usable for a time.
func (s *State) StoreAnswered(now time.Time) {
	if s.isAway {
		s.isAway = false
		s.awayUntil = now.Add(s.config.ReturnTime)
	}
}

func (s *State) expireBy(at time.Time) {
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
	}
}

// expire forgets what has been kept long enough.
func (s *State) expire(now time.Time) {
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	for id, e := range s.entries {
		if e.isRegistered {
			continue
		}
		if !e.lapsedTill.IsZero() && !now.Before(e.lapsedTill) {
			e.markGone()
			s.isDirty = true
		}
		if !now.Before(e.forgetAt) {
			delete(s.entries, id)
			s.isDirty = true
			continue
		}
		if !e.lapsedTill.IsZero() {
			s.expireBy(e.lapsedTill)
		}
		s.expireBy(e.forgetAt)
	}
	for address, services := range s.former {
		for name, at := range services {
			if now.Before(at) {
				s.expireBy(at)
				continue
			}
			delete(services, name)
			s.isDirty = true
		}
		if len(services) == 0 {
			delete(s.former, address)
		}
	}
}

// Snapshot returns a new snapshot, and false if nothing has changed since the last call.
func (s *State) Snapshot(now time.Time) (*directory.Snapshot, bool) {
	s.expire(now)
	if !s.isDirty {
		return nil, false
	}
	s.isDirty = false
	former := make(map[netip.AddrPort][]string, len(s.former))
	for address, services := range s.former {
		for name := range services {
			former[address] = append(former[address], name)
		}
	}
	endpoints := make([]*directory.Endpoint, 0, len(s.entries))
	for _, e := range s.entries {
		endpoints = append(endpoints, e.endpoint)
	}
	return directory.NewSnapshot(s.configuration, former, endpoints), true
}
