// Package discovery merges the configuration and the registered endpoints, which a balancer receives from the store and
// from other balancers, into snapshots for the data path.
//
// # Rules
//
// The configuration version of a process never decreases. Lists and changes of endpoints that are older than the known
// state have no effect. An endpoint that is no longer registered gets no new flows, but stays known for FlowAge for the
// sake of its open flows. While the store is unavailable, registrations of live endpoints lapse. Such endpoints may get
// new flows until ReregistrationTime after the store is available again; those that have not registered again by then
// are gone. When the store is restored from a copy, the era in its positions rises and its revisions start anew, see
// eras.go.
//
// # Usage
//
//	s := discovery.New(discovery.Config{FlowAge: time.Minute, ReregistrationTime: 2 * time.Second})
//	s.Configure(now, configuration)
//	s.Replace(now, endpoints, position)
//	applied, ok := s.Apply(now, changes, position, newPosition)
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

// Config holds the durations that a State uses.
type Config struct {
	FlowAge            time.Duration // longest life of a flow; endpoints that are gone stay known for this time
	ReregistrationTime time.Duration // after an outage of the store, in which lapsed endpoints may register again
	LeaveTime          time.Duration // within which it must be known that an endpoint leaves
}

// Change is one change of a registration.
type Change struct {
	ID       string
	Endpoint *directory.Endpoint // nil if the registration was removed or does not describe a usable endpoint
	Revision uint64              // revision of the store at the change, in the era of the position that goes with it
}

// entry is one endpoint with the state of its registration.
type entry struct {
	endpoint     *directory.Endpoint // replaced and never modified, because snapshots share it
	position     directory.Position  // of the newest list or change that concerned it
	isRegistered bool
	usableUntil  time.Time           // set after the registration lapsed; zero if the endpoint is registered or gone
	forgetAt     time.Time           // set for endpoints that are not registered
	listed       *directory.Endpoint // as registered, while the endpoint known before a restore is held; else nil
	heldUntil    time.Time           // end of that
}

// State is what one balancer knows of the configuration and the endpoints. It is not safe for concurrent use.
type State struct {
	config         Config
	configuration  *directory.Configuration
	versions       versions
	formerServices map[netip.AddrPort]map[string]time.Time // services of earlier versions, with their expiry
	entries        map[string]*entry
	position       directory.Position // of the newest list or change
	isListed       bool               // a full list was received
	isStoreDown    bool               // the store does not answer
	lapsedUntil    time.Time          // until then, endpoints whose registration lapses stay usable
	isDirty        bool               // changed since the last Snapshot
	recent         []Change           // changes after recentBase, newest last
	recentBase     uint64             // in the era of position
	nextExpiry     time.Time          // zero if nothing expires
	evacuations    evacuations
}

// New returns a State without a configuration and without endpoints.
func New(c Config) *State {
	return &State{
		config: c, configuration: &directory.Configuration{},
		formerServices: make(map[netip.AddrPort]map[string]time.Time), entries: make(map[string]*entry),
	}
}

// Version returns the configuration version in force, 0 if there is none yet.
func (s *State) Version() uint64 { return s.configuration.Version }

// Configuration returns the configuration in force.
func (s *State) Configuration() *directory.Configuration { return s.configuration }

// Position returns the store's position up to which endpoints are known.
func (s *State) Position() directory.Position { return s.position }

// IsComplete reports whether there is a configuration and a list of endpoints.
func (s *State) IsComplete() bool { return s.isListed && s.configuration.Version != 0 }

// Configure puts a configuration in force if its version is newer than the present one, and reports whether it did.
func (s *State) Configure(now time.Time, c *directory.Configuration) bool {
	if c.Version <= s.configuration.Version {
		return false
	}
	for i := range s.configuration.Routes {
		r := &s.configuration.Routes[i]
		services := s.formerServices[r.Address]
		if services == nil {
			services = make(map[string]time.Time, len(r.Targets))
			s.formerServices[r.Address] = services
		}
		for _, t := range r.Targets {
			services[t.Service] = now.Add(s.config.FlowAge)
		}
	}
	s.scheduleExpiry(now.Add(s.config.FlowAge))
	s.versions.add(s.configuration, c)
	s.configuration = c
	s.isDirty = true
	return true
}

// Replace replaces the registered endpoints by the full list at a position of the store. It reports false for a list
// that is older than the known state, which it ignores.
func (s *State) Replace(now time.Time, endpoints []directory.Endpoint, at directory.Position) bool {
	return s.replace(now, endpoints, at, s.config.ReregistrationTime)
}

// replace is Replace. lapsedFor is how long endpoints may take to register again if the era is higher than the known one.
func (s *State) replace(now time.Time, endpoints []directory.Endpoint, at directory.Position, lapsedFor time.Duration) bool {
	if s.isListed && at.Compare(s.position) < 0 {
		return false
	}
	if s.isListed && at.Era > s.position.Era {
		s.beginEra(now, lapsedFor)
	}
	listed := make(map[string]bool, len(endpoints))
	for i := range endpoints {
		if s.contradicts(&endpoints[i]) {
			continue
		}
		listed[endpoints[i].ID] = true
		if e := s.entries[endpoints[i].ID]; e == nil || !s.holdKnown(e, &endpoints[i], at) {
			s.put(&endpoints[i], at)
		}
	}
	for id, e := range s.entries {
		if e.isRegistered && !listed[id] {
			s.remove(now, e, at)
		}
	}
	s.position, s.recent, s.recentBase = at, nil, at.Revision
	s.isListed, s.isDirty = true, true
	return true
}

const (
	// maxRecent is the number of changes that are kept for other balancers, about 200 KB. At the deployment size
	// expected in two years there are some 2,000 changes of endpoints in a quiet hour.
	maxRecent = 1024
	// maxAnnounced is the number of changes that fit into the datagram of an announcement.
	maxAnnounced = 8
)

// keepRecent appends changes to the recent ones and drops the oldest beyond maxRecent. A balancer that lacks dropped
// changes fetches the full list.
func (s *State) keepRecent(changes []Change) {
	s.recent = append(s.recent, changes...)
	if over := len(s.recent) - maxRecent; over > 0 {
		s.recentBase = s.recent[over-1].Revision
		s.recent = slices.Clone(s.recent[over:]) // announcements not sent yet share the old array
	}
}

// RecentChanges returns the newest changes, as many as an announcement holds, and the position after which they begin.
func (s *State) RecentChanges() (changes []Change, after directory.Position) {
	first := max(len(s.recent)-maxAnnounced, 0)
	after = directory.Position{Era: s.position.Era, Revision: s.recentBase}
	if first > 0 {
		after.Revision = s.recent[first-1].Revision
	}
	return slices.Clip(s.recent[first:]), after
}

// ChangesSince returns all changes after a position. It reports false if some of them are no longer kept, or if the
// position is of another era.
func (s *State) ChangesSince(after directory.Position) ([]Change, bool) {
	if !s.isListed || after.Era != s.position.Era || after.Revision < s.recentBase {
		return nil, false
	}
	first, _ := slices.BinarySearchFunc(s.recent, after.Revision+1, func(c Change, r uint64) int {
		return cmp.Compare(c.Revision, r)
	})
	return slices.Clip(s.recent[first:]), true
}

// LapsedUntil returns the time until which endpoints whose registration lapsed during an outage of the store stay
// usable.
func (s *State) LapsedUntil() time.Time { return s.lapsedUntil }

// ExtendLapsedUntil replaces the time that LapsedUntil returns by the one that another balancer has announced, if that
// is later.
func (s *State) ExtendLapsedUntil(until time.Time) {
	if until.After(s.lapsedUntil) {
		s.lapsedUntil = until
	}
}

// OpenEndpoints returns the number of endpoints that may get new flows.
func (s *State) OpenEndpoints() int {
	n := 0
	for _, e := range s.entries {
		if e.endpoint.IsOpen() {
			n++
		}
	}
	return n
}

// Registered returns the endpoints that are registered as of Position.
func (s *State) Registered() []directory.Endpoint {
	list := make([]directory.Endpoint, 0, len(s.entries))
	for _, e := range s.entries {
		if e.isRegistered {
			list = append(list, *e.registered())
		}
	}
	return list
}

// Apply applies the changes after one position of the store up to another, in their order. It returns those that were
// new. It reports false, without effect, if the known position is older than after, so that changes between are
// missing, is not older than at, so that nothing can be new, or is of another era than either.
func (s *State) Apply(now time.Time, changes []Change, after, at directory.Position) (applied []Change, ok bool) {
	if !s.isListed || after.Era != s.position.Era || at.Era != s.position.Era ||
		s.position.Revision < after.Revision || s.position.Revision >= at.Revision {
		return nil, false
	}
	for _, c := range s.dropContradictions(changes) {
		if s.applyChange(now, c) {
			applied = append(applied, c)
		}
	}
	s.keepRecent(applied)
	s.position = at
	return applied, true
}

// applyChange applies one change. It reports false if the change is no newer than the known state or has no effect.
func (s *State) applyChange(now time.Time, c Change) bool {
	e := s.entries[c.ID]
	at := directory.Position{Era: s.position.Era, Revision: c.Revision}
	switch {
	case e != nil && at.Compare(e.position) <= 0 || c.Revision <= s.position.Revision:
		return false
	case c.Endpoint != nil:
		changed := *c.Endpoint
		changed.Revision = c.Revision // not in messages of other balancers
		s.put(&changed, at)
	case e != nil && e.isRegistered:
		s.remove(now, e, at)
	default:
		return false
	}
	s.isDirty = true
	return true
}

func (s *State) put(endpoint *directory.Endpoint, at directory.Position) {
	e := s.entries[endpoint.ID]
	if e == nil {
		e = &entry{}
		s.entries[endpoint.ID] = e
	}
	if at.Compare(e.position) < 0 {
		return // a change newer than the list has been applied already
	}
	known := *endpoint
	if f := e.endpoint; f != nil && f.StartedAt == known.StartedAt && f.Revision == known.Revision && known.Revision != 0 {
		known.WarmAt = f.WarmAt // the same entry, read once more: the time that it states has begun earlier
	}
	e.endpoint, e.position, e.isRegistered, e.listed = &known, at, true, nil
	e.usableUntil, e.forgetAt = time.Time{}, time.Time{}
}

func (s *State) remove(now time.Time, e *entry, at directory.Position) {
	e.isRegistered, e.position, e.listed = false, at, nil
	e.forgetAt = now.Add(s.config.FlowAge)
	s.scheduleExpiry(e.forgetAt)
	if !e.endpoint.IsLeaving && now.Before(s.lapsedUntil) {
		e.usableUntil = s.lapsedUntil
		s.scheduleExpiry(e.usableUntil)
		return
	}
	e.markGone()
}

func (e *entry) markGone() {
	gone := *e.endpoint
	gone.IsGone = true
	e.endpoint, e.usableUntil = &gone, time.Time{}
}

// StoreUnavailable records that the store does not answer.
func (s *State) StoreUnavailable(now time.Time) {
	s.isStoreDown = true
	s.lapsedUntil = now.Add(s.config.ReregistrationTime)
}

// StoreAnswered records an answer of the store. After an outage, endpoints whose registration lapsed during it stay
// usable for ReregistrationTime.
func (s *State) StoreAnswered(now time.Time) {
	if s.isStoreDown {
		s.isStoreDown = false
		s.lapsedUntil = now.Add(s.config.ReregistrationTime)
	}
}

// scheduleExpiry makes sure that the next expiry is not later than at.
func (s *State) scheduleExpiry(at time.Time) {
	if s.nextExpiry.IsZero() || at.Before(s.nextExpiry) {
		s.nextExpiry = at
	}
}

// expire marks lapsed endpoints as gone when they are no longer usable, and removes endpoints and former services that
// have been kept long enough.
func (s *State) expire(now time.Time) {
	if s.nextExpiry.IsZero() || now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = time.Time{}
	for id, e := range s.entries {
		if e.isRegistered {
			s.isDirty = s.releaseHeld(now, e) || s.isDirty
			continue
		}
		if !e.usableUntil.IsZero() && !now.Before(e.usableUntil) {
			e.markGone()
			s.isDirty = true
		}
		if !now.Before(e.forgetAt) {
			delete(s.entries, id)
			s.isDirty = true
			continue
		}
		if !e.usableUntil.IsZero() {
			s.scheduleExpiry(e.usableUntil)
		}
		s.scheduleExpiry(e.forgetAt)
	}
	for address, services := range s.formerServices {
		for name, at := range services {
			if now.Before(at) {
				s.scheduleExpiry(at)
				continue
			}
			delete(services, name)
			s.isDirty = true
		}
		if len(services) == 0 {
			delete(s.formerServices, address)
		}
	}
}

// Snapshot returns a new snapshot. It reports false if nothing has changed since the last call.
func (s *State) Snapshot(now time.Time) (*directory.Snapshot, bool) {
	s.expire(now)
	if !s.isDirty {
		return nil, false
	}
	s.isDirty = false
	formerServices := make(map[netip.AddrPort][]string, len(s.formerServices))
	for address, services := range s.formerServices {
		for name := range services {
			formerServices[address] = append(formerServices[address], name)
		}
	}
	endpoints := make([]*directory.Endpoint, 0, len(s.entries))
	for _, e := range s.entries {
		endpoints = append(endpoints, e.endpoint)
	}
	snapshot := directory.NewSnapshot(s.configuration, formerServices, endpoints)
	snapshot.IsPartial = !s.isListed
	s.evacuations.addTo(snapshot)
	return snapshot, true
}
