package discovery_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/coordination/discovery"
	"cornellb/core/state/directory"
)

// leaveTime is the limit within which it is known that an endpoint leaves.
const leaveTime = 3 * time.Second

func newRestorableState() *discovery.State {
	return discovery.New(discovery.Config{FlowAge: flowAge, ReregistrationTime: reregistrationTime, LeaveTime: leaveTime})
}

func inEra(era, revision uint64) directory.Position {
	return directory.Position{Era: era, Revision: revision}
}

func endpoints(ids ...string) []directory.Endpoint {
	var list []directory.Endpoint
	for _, id := range ids {
		list = append(list, endpoint(id))
	}
	return list
}

func leaving(id string) *directory.Endpoint {
	e := endpoint(id)
	e.IsLeaving = true
	return &e
}

// TestRestores guards against endpoints that are lost, come back or get new flows although they leave, because the store
// was restored from a copy. Each case begins in era 4 at revision 100 with the endpoints i-1 and i-2.
func TestRestores(t *testing.T) {
	const shortly = reregistrationTime - time.Millisecond
	put := func(e *directory.Endpoint, revision uint64) []discovery.Change {
		return []discovery.Change{{ID: e.ID, Endpoint: e, Revision: revision}}
	}
	ready := endpoint("i-2")
	tests := map[string]struct {
		act  func(s *discovery.State)
		want map[time.Duration][]string // IDs of open endpoints by time
		at   directory.Position
	}{
		"entry lost for ever": {
			act: func(s *discovery.State) { s.Replace(start, endpoints("i-1"), inEra(5, 60)) },
			want: map[time.Duration][]string{
				0: {"i-1", "i-2"}, shortly: {"i-1", "i-2"}, reregistrationTime: {"i-1"}, 2 * reregistrationTime: {"i-1"},
			},
			at: inEra(5, 60),
		},
		"entry lost and written again": {
			act: func(s *discovery.State) {
				s.Replace(start, endpoints("i-1"), inEra(5, 60))
				s.Apply(start.Add(time.Second), put(&ready, 61), inEra(5, 60), inEra(5, 61))
			},
			want: map[time.Duration][]string{time.Second: {"i-1", "i-2"}, 2 * reregistrationTime: {"i-1", "i-2"}},
			at:   inEra(5, 61),
		},
		"revisions have passed those from before": { // the store turned this balancer away for long
			act: func(s *discovery.State) {
				s.Apply(start, put(leaving("i-1"), 150), inEra(5, 100), inEra(5, 150)) // from a watch of the wrong era
				s.Replace(start, endpoints("i-1"), inEra(5, 150))
			},
			want: map[time.Duration][]string{shortly: {"i-1", "i-2"}, reregistrationTime: {"i-1"}},
			at:   inEra(5, 150),
		},
		"two restores": {
			act: func(s *discovery.State) {
				s.Replace(start, endpoints("i-1"), inEra(5, 60))
				s.Replace(start.Add(time.Second), endpoints("i-1"), inEra(6, 60))
			},
			want: map[time.Duration][]string{
				reregistrationTime: {"i-1", "i-2"}, time.Second + shortly: {"i-1", "i-2"}, time.Second + reregistrationTime: {"i-1"},
			},
			at: inEra(6, 60),
		},
		"two restores in one sleep": {
			act:  func(s *discovery.State) { s.Replace(start, endpoints("i-2"), inEra(6, 60)) },
			want: map[time.Duration][]string{shortly: {"i-1", "i-2"}, reregistrationTime: {"i-2"}},
			at:   inEra(6, 60),
		},
		"learned late from another balancer": {
			act:  func(s *discovery.State) { s.Adopt(start, endpoints("i-1"), inEra(5, 60), 300*time.Millisecond) },
			want: map[time.Duration][]string{299 * time.Millisecond: {"i-1", "i-2"}, 300 * time.Millisecond: {"i-1"}},
			at:   inEra(5, 60),
		},
		"learned after the time from another balancer": {
			act: func(s *discovery.State) {
				s.StoreUnavailable(start) // does not begin the time anew
				s.Adopt(start, endpoints("i-1"), inEra(5, 60), 0)
			},
			want: map[time.Duration][]string{0: {"i-1"}},
			at:   inEra(5, 60),
		},
		"begins to leave just after the return": {
			act: func(s *discovery.State) {
				s.Replace(start, endpoints("i-1", "i-2"), inEra(5, 60))
				s.Apply(start, put(leaving("i-2"), 61), inEra(5, 60), inEra(5, 61))
			},
			want: map[time.Duration][]string{0: {"i-1"}, reregistrationTime: {"i-1"}, 2 * leaveTime: {"i-1"}},
			at:   inEra(5, 61),
		},
		"lost and leaves when it comes back": {
			act: func(s *discovery.State) {
				s.Replace(start, endpoints("i-1"), inEra(5, 60))
				s.Apply(start, put(leaving("i-2"), 61), inEra(5, 60), inEra(5, 61))
			},
			want: map[time.Duration][]string{0: {"i-1"}, shortly: {"i-1"}},
			at:   inEra(5, 61),
		},
		"leaves, and the copy is older": {
			act: func(s *discovery.State) {
				s.Apply(start, put(leaving("i-2"), 101), inEra(4, 100), inEra(4, 101))
				s.Replace(start, endpoints("i-1", "i-2"), inEra(5, 60))
				s.Replace(start.Add(time.Second), endpoints("i-1", "i-2"), inEra(5, 61)) // listed once more
			},
			want: map[time.Duration][]string{
				0: {"i-1"}, reregistrationTime: {"i-1"}, reregistrationTime + leaveTime - 1: {"i-1"},
				reregistrationTime + leaveTime: {"i-1", "i-2"}, // it has not written again that it leaves
			},
			at: inEra(5, 61),
		},
		"has started again, and the copy is older": {
			act: func(s *discovery.State) {
				again := endpoint("i-2")
				again.StartedAt, again.Slots = 7, 5
				s.Apply(start, put(&again, 101), inEra(4, 100), inEra(4, 101))
				s.Replace(start, endpoints("i-1", "i-2"), inEra(5, 60))
				if x, _ := s.Snapshot(start); x.EndpointsOf("feed")[1].Slots != 5 {
					t.Error("the earlier incarnation is in force")
				}
				s.Apply(start, put(&again, 61), inEra(5, 60), inEra(5, 61))
			},
			want: map[time.Duration][]string{2 * leaveTime: {"i-1", "i-2"}},
			at:   inEra(5, 61),
		},
		"has left, and the copy is older": {
			act: func(s *discovery.State) {
				s.Apply(start, put(leaving("i-2"), 101), inEra(4, 100), inEra(4, 101))
				s.Apply(start, []discovery.Change{{ID: "i-2", Revision: 102}}, inEra(4, 101), inEra(4, 102))
				s.Replace(start, endpoints("i-1", "i-2"), inEra(5, 60))
				s.Apply(start, []discovery.Change{{ID: "i-2", Revision: 61}}, inEra(5, 60), inEra(5, 61))
			},
			want: map[time.Duration][]string{0: {"i-1"}, 2 * leaveTime: {"i-1"}},
			at:   inEra(5, 61),
		},
		"messages of the era before": {
			act: func(s *discovery.State) {
				s.Replace(start, endpoints("i-1", "i-2"), inEra(5, 60))
				s.Apply(start, put(leaving("i-2"), 101), inEra(4, 60), inEra(4, 101)) // an announcement or a watch
				s.Adopt(start, endpoints("i-1"), inEra(4, 200), reregistrationTime)   // a fetch
				s.Adopt(start, endpoints("i-1"), inEra(0, 200), reregistrationTime)   // from a balancer of an earlier version
				s.Replace(start, endpoints("i-1"), discovery.StorePosition(at(200), 4))
			},
			want: map[time.Duration][]string{0: {"i-1", "i-2"}, 2 * leaveTime: {"i-1", "i-2"}},
			at:   inEra(5, 60),
		},
		"header missing once": {
			act: func(s *discovery.State) {
				s.Replace(start, endpoints("i-1"), discovery.StorePosition(at(101), 4))
				s.Apply(start, put(&ready, 102), inEra(4, 101), discovery.StorePosition(at(102), 4))
			},
			want: map[time.Duration][]string{0: {"i-1", "i-2"}, 2 * leaveTime: {"i-1", "i-2"}},
			at:   inEra(4, 102),
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newRestorableState()
			s.Configure(start, version(7, "feed"))
			s.Replace(start, endpoints("i-1", "i-2"), inEra(4, 100))
			c.act(s)
			is.Equal(s.Position(), c.at)
			for _, after := range slices.Sorted(maps.Keys(c.want)) {
				is.Equal(openIDs(t, s, start.Add(after)), c.want[after]) // after this time
			}
			is.True(!s.Configure(start, version(6, "images"))) // the version in the copy
		})
	}
}

// TestDifferencesOfOneEra guards against changes that are sent to a balancer whose revision is of another era.
func TestDifferencesOfOneEra(t *testing.T) {
	is := is.New(t)
	s := newRestorableState()
	s.Replace(start, nil, inEra(5, 60))
	e := endpoint("i-1")
	s.Apply(start, []discovery.Change{{ID: "i-1", Endpoint: &e, Revision: 61}}, inEra(5, 60), inEra(5, 61))
	for _, era := range []uint64{0, 4, 6} {
		_, ok := s.ChangesSince(inEra(era, 60))
		is.True(!ok)
	}
	changes, ok := s.ChangesSince(inEra(5, 60))
	is.True(ok && len(changes) == 1)
	_, after := s.RecentChanges()
	is.Equal(after, inEra(5, 60))
}

// modelStore is a store with the history of each era. A restore takes the changes after an earlier revision back.
type modelStore struct {
	era  uint64
	eras map[uint64]*history
	last map[uint64]uint64 // revision by era
}

func newModelStore(firstEra uint64) *modelStore {
	return &modelStore{era: firstEra, eras: map[uint64]*history{firstEra: {}}, last: map[uint64]uint64{firstEra: 1}}
}

func (m *modelStore) position() directory.Position { return inEra(m.era, m.last[m.era]) }

// change removes an endpoint, registers a new incarnation, or makes the present one leave.
func (m *modelStore) change(id, kind string) {
	present := m.endpoints(m.position())
	m.last[m.era]++
	c := discovery.Change{ID: id, Revision: m.last[m.era]}
	switch e, ok := present[id]; {
	case kind == "leave" && ok:
		e.IsLeaving = true
		c.Endpoint = &e
	case kind == "register":
		e = endpoint(id)
		e.StartedAt = int64(1000*m.era + c.Revision) // tells the incarnations of all eras apart
		c.Endpoint = &e
	}
	m.eras[m.era].changes = append(m.eras[m.era].changes, c)
}

// restore puts back the state at a revision.
func (m *modelStore) restore(revision uint64) {
	restored := &history{changes: m.eras[m.era].between(0, revision)}
	m.era++
	m.eras[m.era], m.last[m.era] = restored, revision
}

func (m *modelStore) endpoints(p directory.Position) map[string]directory.Endpoint {
	registered := map[string]directory.Endpoint{}
	for _, c := range m.eras[p.Era].between(0, p.Revision) {
		if delete(registered, c.ID); c.Endpoint != nil {
			registered[c.ID] = *c.Endpoint
		}
	}
	return registered
}

func (m *modelStore) list(p directory.Position) []directory.Endpoint {
	return slices.Collect(maps.Values(m.endpoints(p)))
}

// message is an announcement or the reply of a fetch on its way.
type message struct {
	changes   []discovery.Change
	after, at directory.Position
	list      []directory.Endpoint // instead of changes; nil for changes
	lapsedFor time.Duration
}

// TestStatesFollowRestores guards against states of balancers that differ from the store after restores. States read the
// store, also with answers that are out of date, exchange announcements and fetches, and apply them in any order, once or
// more. No state goes back to an older position or version, and a state always equals the store at its own position.
// When all have read the store and the time to register again is over, they agree with it.
func TestStatesFollowRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModelStore(rapid.Uint64Range(1, 3).Draw(t, "first era"))
		states := []*discovery.State{newRestorableState(), newRestorableState(), newRestorableState()}
		var messages []message
		now, newest := start, uint64(0)
		for step := range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond)
			i := rapid.IntRange(0, len(states)-1).Draw(t, "state")
			s := states[i]
			before, version := s.Position(), s.Version()
			switch rapid.SampledFrom([]string{"change", "change", "change", "restore", "configure", "list", "stale list", "watch",
				"announce", "ask", "receive", "receive", "receive"}).Draw(t, "kind") {
			case "change":
				m.change(fmt.Sprint("i-", rapid.IntRange(1, 5).Draw(t, "id")), rapid.SampledFrom([]string{"register", "leave", "remove"}).Draw(t, "change"))
			case "restore":
				m.restore(rapid.Uint64Range(1, m.last[m.era]).Draw(t, "copy"))
			case "configure": // the version of the store, or an older one of a copy
				newest += rapid.Uint64Range(0, 2).Draw(t, "step")
				s.Configure(now, &directory.Configuration{Version: rapid.Uint64Range(0, newest).Draw(t, "version")})
			case "list":
				s.Replace(now, m.list(m.position()), m.position())
			case "stale list":
				era := rapid.Uint64Range(max(m.era, 3)-2, m.era).Draw(t, "era")
				if m.eras[era] == nil {
					continue
				}
				p := inEra(era, rapid.Uint64Range(1, m.last[era]).Draw(t, "revision"))
				s.Replace(now, m.list(p), p)
			case "watch": // with another era, the endpoints are listed
				if p := m.position(); p.Era != s.Position().Era || p.Revision < s.Position().Revision {
					s.Replace(now, m.list(p), p)
				} else {
					s.Apply(now, m.eras[p.Era].between(s.Position().Revision, p.Revision), s.Position(), p)
				}
			case "announce":
				changes, after := s.RecentChanges()
				messages = append(messages, message{changes: changes, after: after, at: s.Position()})
			case "ask": // the reply to a balancer with the position of another state
				to := states[(i+1)%len(states)].Position()
				if s.Position().Compare(to) <= 0 {
					continue
				}
				x := message{after: to, at: s.Position(), lapsedFor: max(s.LapsedUntil().Sub(now), 0)}
				if changes, ok := s.ChangesSince(to); ok {
					x.changes = changes
				} else {
					x.list = s.Registered()
				}
				messages = append(messages, x)
			case "receive":
				if len(messages) == 0 {
					continue
				}
				if x := rapid.SampledFrom(messages).Draw(t, "message"); x.list != nil {
					s.Adopt(now, x.list, x.at, x.lapsedFor)
				} else {
					s.Apply(now, x.changes, x.after, x.at)
				}
			}
			s.Snapshot(now)
			if p := s.Position(); p.Compare(before) < 0 || s.Version() < version {
				t.Fatalf("step %d: state %d went from %v and version %d back to %v and version %d", step, i, before, version, p, s.Version())
			}
			if p := s.Position(); p.Era != 0 {
				checkRegistered(t, s, m.endpoints(p))
			}
		}
		for _, s := range states {
			s.Replace(now, m.list(m.position()), m.position())
		}
		now = now.Add(reregistrationTime + leaveTime)
		for _, s := range states {
			want := m.endpoints(m.position())
			checkRegistered(t, s, want)
			maps.DeleteFunc(want, func(_ string, e directory.Endpoint) bool { return e.IsLeaving })
			x, _ := s.Snapshot(now)
			open := map[string]directory.Endpoint{}
			for _, e := range x.EndpointsOf("feed") {
				open[e.ID] = withoutRevision(*e)
			}
			if !maps.Equal(open, want) {
				t.Fatalf("open endpoints %v, want %v", open, want)
			}
		}
	})
}

// withoutRevision returns an endpoint as the model store has it, which keeps the revisions of changes apart from them.
func withoutRevision(e directory.Endpoint) directory.Endpoint {
	e.Revision = 0
	return e
}

// checkRegistered compares the registered endpoints with those in the store.
func checkRegistered(t *rapid.T, s *discovery.State, want map[string]directory.Endpoint) {
	got := map[string]directory.Endpoint{}
	for _, e := range s.Registered() {
		got[e.ID] = withoutRevision(e)
	}
	if !maps.Equal(got, want) {
		t.Fatalf("registered endpoints at %v: %v, want %v", s.Position(), got, want)
	}
}
