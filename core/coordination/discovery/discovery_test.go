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
	flowAge    = time.Minute
	returnTime = 2 * time.Second
)

var (
	start   = time.Unix(1_800_000_000, 0)
	address = netip.MustParseAddrPort("198.18.0.1:443")
)

func newState() *discovery.State {
	return discovery.New(discovery.Config{FlowAge: flowAge, ReturnTime: returnTime})
}

func endpoint(id string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "feed", Slots: 3}
}

func version(n uint64, service string) *directory.Configuration {
	return &directory.Configuration{Version: n, Routes: []directory.Route{{
		Name: "feed", Address: address, Targets: []directory.Target{{Service: service, Weight: 1}},
	}}}
}

// openIDs returns the endpoints that may get new flows.
func openIDs(t *testing.T, s *discovery.State, now time.Time) []string {
	t.Helper()
	s.Advance(s.Revision())
	if x, ok := s.Snapshot(now); ok {
		latest[t.Name()] = x
	}
	var ids []string
	for _, e := range latest[t.Name()].EndpointsOf("feed") {
		ids = append(ids, e.ID)
	}
	return ids
}

// latest keeps the last snapshot of a test, since a State returns each one once.
var latest = map[string]*directory.Snapshot{}

// TestVersionNeverGoesBack guards against a late answer or another balancer's older version that undoes a change.
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

// TestStaleListChangesNothing guards against a list that is seconds old and brings endpoints back that have left.
func TestStaleListChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newState()
	is.True(s.Replace(start, []directory.Endpoint{endpoint("i-1"), endpoint("i-2")}, 10))
	is.True(s.Change(start, discovery.Change{ID: "i-1", Revision: 12}))
	is.True(!s.Replace(start, []directory.Endpoint{endpoint("i-1"), endpoint("i-2")}, 11))
	is.Equal(openIDs(t, s, start), []string{"i-2"})
}

// TestLateEventChangesNothing guards against events that arrive after a newer list, for example from a slow watch.
func TestLateEventChangesNothing(t *testing.T) {
	is := is.New(t)
	s := newState()
	leaving := endpoint("i-1")
	leaving.IsLeaving = true
	s.Replace(start, []directory.Endpoint{leaving}, 20)
	ready := endpoint("i-1")
	is.True(!s.Change(start, discovery.Change{ID: "i-1", Endpoint: &ready, Revision: 15}))
	is.Equal(len(openIDs(t, s, start)), 0)
}

// TestGoneEndpointKeepsItsFlows guards against flows that are cut because their endpoint is no longer registered.
func TestGoneEndpointKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Configure(start, version(1, "feed"))
	s.Replace(start, []directory.Endpoint{endpoint("i-1")}, 10)
	s.Change(start, discovery.Change{ID: "i-1", Revision: 11})
	x, ok := s.Snapshot(start.Add(flowAge - time.Second))
	is.True(ok)
	is.Equal(len(x.EndpointsOf("feed")), 0)
	is.True(x.ByCookie(directory.Cookie("i-1", 0), address) != nil)

	x, ok = s.Snapshot(start.Add(flowAge + time.Second))
	is.True(ok) // forgotten after the longest life of a flow
	is.True(x.ByCookie(directory.Cookie("i-1", 0), address) == nil)
}

// TestLapsedEntries guards against an empty service after an outage of the store, in which entries of living endpoints
// lapse, and against flows for endpoints that stay away.
func TestLapsedEntries(t *testing.T) {
	tests := map[string]struct {
		isAway bool
		after  time.Duration // since the store's return
		want   int
	}{
		"without an outage":       {isAway: false, after: 0, want: 0},
		"at the store's return":   {isAway: true, after: 0, want: 1},
		"shortly before the end":  {isAway: true, after: returnTime - time.Millisecond, want: 1},
		"when the time is over":   {isAway: true, after: returnTime, want: 0},
		"long after the time":     {isAway: true, after: flowAge - time.Second, want: 0},
		"after it was forgotten ": {isAway: true, after: flowAge + returnTime, want: 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			s.Replace(start, []directory.Endpoint{endpoint("i-1")}, 10)
			now := start.Add(time.Minute)
			if c.isAway {
				s.StoreAway(now.Add(-10 * time.Second))
				s.StoreAnswered(now)
			}
			s.Replace(now, nil, 30)
			is.Equal(len(openIDs(t, s, now.Add(c.after))), c.want)
		})
	}
}

// TestLapsedEntryReturns guards against an endpoint that stays out although it has registered again.
func TestLapsedEntryReturns(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Replace(start, []directory.Endpoint{endpoint("i-1")}, 10)
	s.StoreAway(start)
	s.StoreAnswered(start.Add(5 * time.Second))
	now := start.Add(5 * time.Second)
	s.Replace(now, nil, 30)
	back := endpoint("i-1")
	s.Change(now.Add(time.Second), discovery.Change{ID: "i-1", Endpoint: &back, Revision: 31})
	is.Equal(openIDs(t, s, now.Add(returnTime+time.Second)), []string{"i-1"})
}

// TestLeavingEntryThatLapses guards against new flows for an endpoint that was leaving when the store went away.
func TestLeavingEntryThatLapses(t *testing.T) {
	is := is.New(t)
	s := newState()
	leaving := endpoint("i-1")
	leaving.IsLeaving = true
	s.Replace(start, []directory.Endpoint{leaving}, 10)
	s.StoreAway(start)
	s.StoreAnswered(start.Add(time.Second))
	s.Replace(start.Add(time.Second), nil, 30)
	is.Equal(len(openIDs(t, s, start.Add(time.Second))), 0)
}

// TestRandomOrder guards against a state that depends on the order in which lists and events arrive: whatever comes
// late or twice, the newest revision of each entry wins and the version only rises.
func TestRandomOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newState()
		now := start
		highest := uint64(0)
		newest := map[string]discovery.Change{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				v := rapid.Uint64Range(1, 20).Draw(t, "version")
				changed := s.Configure(now, version(v, "feed"))
				if changed != (v > highest) {
					t.Fatalf("step %d: version %d after %d: changed %v", i, v, highest, changed)
				}
				highest = max(highest, v)
			default:
				id := fmt.Sprint("i-", rapid.IntRange(1, 4).Draw(t, "id"))
				c := discovery.Change{ID: id, Revision: rapid.Uint64Range(1, 50).Draw(t, "revision")}
				if rapid.Bool().Draw(t, "registered") {
					e := endpoint(id)
					e.StartedAt = int64(c.Revision)
					c.Endpoint = &e
				}
				s.Change(now, c)
				if old, ok := newest[id]; (!ok && c.Endpoint != nil) || (ok && c.Revision >= old.Revision) {
					newest[id] = c
				}
			}
			if s.Version() < highest {
				t.Fatalf("version %d went back from %d", s.Version(), highest)
			}
		}
		x, ok := s.Snapshot(now)
		if !ok {
			return
		}
		for id, c := range newest {
			isOpen := false
			for _, e := range x.EndpointsOf("feed") {
				isOpen = isOpen || e.ID == id && c.Endpoint != nil && e.StartedAt == c.Endpoint.StartedAt
			}
			if isOpen != (c.Endpoint != nil) {
				t.Fatalf("%s: open %v, newest change %+v", id, isOpen, c)
			}
		}
	})
}
