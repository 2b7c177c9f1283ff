package discovery_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/coordination/discovery"
	"cornellb/core/state/directory"
)

const (
	flowAge            = time.Minute
	reregistrationTime = 2 * time.Second
)

var (
	start   = time.Unix(1_800_000_000, 0)
	address = netip.MustParseAddrPort("198.18.0.1:443")
)

func newState() *discovery.State {
	return discovery.New(discovery.Config{FlowAge: flowAge, ReregistrationTime: reregistrationTime})
}

func endpoint(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "feed", Slots: 3}
}

func version(n uint64, service string) *directory.Configuration {
	return &directory.Configuration{Version: n, Routes: []directory.Route{{
		Name: "feed", Address: address, Targets: []directory.Target{{Service: service, Weight: 1}},
	}}}
}

// at returns a position of a store that sends no era.
func at(revision uint64) directory.Position { return directory.Position{Revision: revision} }

// openIDs returns the IDs of the endpoints that may get new flows.
func openIDs(t *testing.T, s *discovery.State, now time.Time) []string {
	t.Helper()
	if x, ok := s.Snapshot(now); ok {
		latest[t.Name()] = x
	}
	var ids []string
	for _, e := range latest[t.Name()].EndpointsOf("feed") {
		ids = append(ids, e.ID)
	}
	return ids
}

// latest holds the last snapshot of each test, since a State returns a snapshot only after a change.
var latest = map[string]*directory.Snapshot{}

// TestVersionNeverGoesBack guards against a configuration change that is undone by a late answer of the store or by an
// older version from another balancer.
func TestVersionNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := newState()
	is.True(s.Configure(start, version(7, "feed")))
	is.True(!s.Configure(start, version(7, "images")))
	is.True(!s.Configure(start, version(3, "images")))
	is.Equal(s.Version(), uint64(7))
	x, _ := s.Snapshot(start)
	is.Equal(x.RouteOf(address).Targets[0].Service, "feed")
}

// TestStaleListChangesNothing guards against a list of endpoints that is seconds old and adds endpoints again that have
// left.
func TestStaleListChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newState()
	is.True(s.Replace(start, []directory.Endpoint{endpoint("i-1"), endpoint("i-2")}, at(10)))
	_, ok := s.Apply(start, []discovery.Change{{ID: "i-1", Revision: 12}}, at(10), at(12))
	is.True(ok)
	is.True(!s.Replace(start, []directory.Endpoint{endpoint("i-1"), endpoint("i-2")}, at(11)))
	is.Equal(openIDs(t, s, start), []string{"i-2"})
}

// TestLateEventChangesNothing guards against changes that arrive after a newer list and override it, for example from a
// slow watch.
func TestLateEventChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newState()
	leaving := endpoint("i-1")
	leaving.IsLeaving = true
	s.Replace(start, []directory.Endpoint{leaving}, at(20))
	ready := endpoint("i-1")
	_, ok := s.Apply(start, []discovery.Change{{ID: "i-1", Endpoint: &ready, Revision: 15}}, at(10), at(21))
	is.True(ok)
	is.Equal(len(openIDs(t, s, start)), 0)
}

// TestGoneEndpointKeepsItsFlows guards against flows that break because their endpoint is no longer registered.
func TestGoneEndpointKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Configure(start, version(1, "feed"))
	s.Replace(start, []directory.Endpoint{endpoint("i-1")}, at(10))
	s.Apply(start, []discovery.Change{{ID: "i-1", Revision: 11}}, at(10), at(11))
	x, ok := s.Snapshot(start.Add(flowAge - time.Second))
	is.True(ok)
	is.Equal(len(x.EndpointsOf("feed")), 0)
	is.True(x.ByCookie(directory.Cookie("i-1", 0), address) != nil)

	x, ok = s.Snapshot(start.Add(flowAge + time.Second))
	is.True(ok) // forgotten after the longest life of a flow
	is.True(x.ByCookie(directory.Cookie("i-1", 0), address) == nil)
}

// TestLapsedEntries guards against a service without endpoints after an outage of the store, in which registrations of
// live endpoints lapse, and against flows for endpoints that do not register again.
func TestLapsedEntries(t *testing.T) {
	tests := map[string]struct {
		isStoreDown bool
		after       time.Duration // since the store is available again
		want        int
	}{
		"without an outage":       {isStoreDown: false, after: 0, want: 0},
		"at the store's return":   {isStoreDown: true, after: 0, want: 1},
		"shortly before the end":  {isStoreDown: true, after: reregistrationTime - time.Millisecond, want: 1},
		"when the time is over":   {isStoreDown: true, after: reregistrationTime, want: 0},
		"long after the time":     {isStoreDown: true, after: flowAge - time.Second, want: 0},
		"after it was forgotten ": {isStoreDown: true, after: flowAge + reregistrationTime, want: 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			s.Replace(start, []directory.Endpoint{endpoint("i-1")}, at(10))
			now := start.Add(time.Minute)
			if c.isStoreDown {
				s.StoreUnavailable(now.Add(-10 * time.Second))
				s.StoreAnswered(now)
			}
			s.Replace(now, nil, at(30))
			is.Equal(len(openIDs(t, s, now.Add(c.after))), c.want)
		})
	}
}

// TestLapsedEntryReturns guards against an endpoint that gets no new flows although it has registered again.
func TestLapsedEntryReturns(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Replace(start, []directory.Endpoint{endpoint("i-1")}, at(10))
	s.StoreUnavailable(start)
	s.StoreAnswered(start.Add(5 * time.Second))
	now := start.Add(5 * time.Second)
	s.Replace(now, nil, at(30))
	back := endpoint("i-1")
	s.Apply(now.Add(time.Second), []discovery.Change{{ID: "i-1", Endpoint: &back, Revision: 31}}, at(30), at(31))
	is.Equal(openIDs(t, s, now.Add(reregistrationTime+time.Second)), []string{"i-1"})
}

// TestLeavingEntryThatLapses guards against new flows for an endpoint that was leaving when the store became
// unavailable.
func TestLeavingEntryThatLapses(t *testing.T) {
	is := is.New(t)
	s := newState()
	leaving := endpoint("i-1")
	leaving.IsLeaving = true
	s.Replace(start, []directory.Endpoint{leaving}, at(10))
	s.StoreUnavailable(start)
	s.StoreAnswered(start.Add(time.Second))
	s.Replace(start.Add(time.Second), nil, at(30))
	is.Equal(len(openIDs(t, s, start.Add(time.Second))), 0)
}

// TestVersionsInAnyOrder guards against a version that decreases when answers of the store and of balancers arrive out
// of order.
func TestVersionsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		highest := uint64(0)
		for _, v := range rapid.SliceOfN(rapid.Uint64Range(1, 20), 1, 40).Draw(t, "versions") {
			if changed := s.Configure(start, version(v, "feed")); changed != (v > highest) {
				t.Fatalf("Configure of version %d after version %d returned %v", v, highest, changed)
			}
			if highest = max(highest, v); s.Version() != highest {
				t.Fatalf("version in force is %d, want %d", s.Version(), highest)
			}
		}
	})
}

// TestSinceAnOldRevision guards against a result that silently lacks changes which are no longer kept, and against
// memory that grows with the number of changes.
func TestSinceAnOldRevision(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Replace(start, nil, at(10))
	for i := range uint64(5000) {
		e := endpoint(fmt.Sprint("i-", i%7))
		_, ok := s.Apply(start, []discovery.Change{{ID: e.ID, Endpoint: &e, Revision: 11 + i}}, at(10+i), at(11+i))
		is.True(ok)
	}
	_, ok := s.ChangesSince(at(10))
	is.True(!ok)
	_, ok = s.ChangesSince(at(9))
	is.True(!ok)
	changes, ok := s.ChangesSince(at(5005))
	is.True(ok)
	is.Equal(len(changes), 5)
	is.Equal(changes[0].Revision, uint64(5006))
	changes, after := s.RecentChanges()
	is.Equal(len(changes), 8)
	is.Equal(after, at(5002))
}

// history is the sequence of changes to endpoints in the store, by revision.
type history struct {
	changes []discovery.Change
}

func drawHistory(t *rapid.T) history {
	var h history
	revision := uint64(1)
	for range rapid.IntRange(1, 60).Draw(t, "changes") {
		revision += rapid.Uint64Range(1, 3).Draw(t, "step") // changes of other kinds of objects also raise the revision
		c := discovery.Change{ID: fmt.Sprint("i-", rapid.IntRange(1, 5).Draw(t, "id")), Revision: revision}
		if rapid.Bool().Draw(t, "registered") {
			e := endpoint(c.ID)
			e.StartedAt = int64(revision)
			c.Endpoint = &e
		}
		h.changes = append(h.changes, c)
	}
	return h
}

// at returns StartedAt of each endpoint that is registered at a revision.
func (h history) at(revision uint64) map[string]int64 {
	registered := map[string]int64{}
	for _, c := range h.changes {
		if c.Revision > revision {
			break
		}
		if delete(registered, c.ID); c.Endpoint != nil {
			registered[c.ID] = c.Endpoint.StartedAt
		}
	}
	return registered
}

func (h history) between(after, revision uint64) []discovery.Change {
	var list []discovery.Change
	for _, c := range h.changes {
		if c.Revision > after && c.Revision <= revision {
			list = append(list, c)
		}
	}
	return list
}

func (h history) list(revision uint64) []directory.Endpoint {
	var list []directory.Endpoint
	for id, start := range h.at(revision) {
		e := endpoint(id)
		e.StartedAt = start
		list = append(list, e)
	}
	return list
}

// TestStatesAgreeWithTheStore guards against changes that are lost on the way through lists, watches and other
// balancers. States list and watch the store at random revisions and apply changes from random other states, in any
// order and more than once. A state must always equal the store at its own revision. Changes were once lost when a
// balancer that had applied the same announcement twice sent an announcement itself: it kept the changes in a wrong
// order.
func TestStatesAgreeWithTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := drawHistory(t)
		last := h.changes[len(h.changes)-1].Revision
		states := []*discovery.State{newState(), newState(), newState()}
		present := uint64(1)
		for step := range rapid.IntRange(1, 80).Draw(t, "steps") {
			present = min(last, present+rapid.Uint64Range(0, 4).Draw(t, "passed"))
			s := rapid.SampledFrom(states).Draw(t, "state")
			switch rapid.IntRange(0, 5).Draw(t, "kind") {
			case 0: // a list, which may be out of date
				revision := rapid.Uint64Range(1, present).Draw(t, "listed")
				s.Replace(start, h.list(revision), at(revision))
			case 1: // a watch
				s.Apply(start, h.between(s.Position().Revision, present), s.Position(), at(present))
			case 2: // changes fetched from another balancer
				from := rapid.SampledFrom(states).Draw(t, "from")
				if changes, ok := from.ChangesSince(s.Position()); ok {
					s.Apply(start, changes, s.Position(), from.Position())
				}
			default: // an announcement
				from := rapid.SampledFrom(states).Draw(t, "from")
				changes, after := from.RecentChanges()
				s.Apply(start, changes, after, from.Position())
			}
			for i, s := range states {
				got := map[string]int64{}
				for _, e := range s.Registered() {
					got[e.ID] = e.StartedAt
				}
				revision := s.Position().Revision
				if want := h.at(revision); revision > 0 && fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("step %d, state %d at revision %d: registered endpoints %v, want %v", step, i, revision, got, want)
				}
			}
		}
	})
}

// TestVersionsSince guards against sending a whole configuration for each change, which fills the links of small hosts,
// and against differences that omit a change.
func TestVersionsSince(t *testing.T) {
	is := is.New(t)
	s := discovery.New(discovery.Config{FlowAge: time.Minute, ReregistrationTime: time.Second})
	many := func(v uint64, changed int) *directory.Configuration {
		c := &directory.Configuration{Version: v}
		for i := range 1000 {
			service := "feed"
			if i < changed {
				service = "images"
			}
			c.Routes = append(c.Routes, directory.Route{
				Address: netip.AddrPortFrom(netip.MustParseAddr("198.18.0.9"), uint16(i+1)), Targets: []directory.Target{{Service: service, Weight: 1}},
			})
		}
		return c
	}
	s.Configure(start, many(5, 0))
	_, ok := s.VersionsSince(0)
	is.True(!ok) // a balancer without a configuration gets the whole
	for v := range uint64(200) {
		s.Configure(start, many(10+v, int(v%3)))
	}
	d, ok := s.VersionsSince(200)
	is.True(ok)
	is.True(d.Size() <= 2)
	got, ok := d.Apply(many(200, int(190%3)))
	is.True(ok)
	is.Equal(got.Version, uint64(209))
	is.Equal(len(got.Routes), 1000)
	_, ok = s.VersionsSince(10) // no longer kept
	is.True(!ok)
	s.Configure(start, many(300, 900))
	_, ok = s.VersionsSince(209) // nearly all routes are new
	is.True(!ok)
	_, ok = s.VersionsSince(208)
	is.True(!ok)
}
