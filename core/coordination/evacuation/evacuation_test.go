package evacuation_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/coordination/evacuation"
	"cornellb/core/state/directory"
)

const rewriteTime = 2200 * time.Millisecond

var start = time.Unix(1_800_000_000, 0)

func newState() *evacuation.State {
	return evacuation.New(evacuation.Config{RewriteTime: rewriteTime})
}

func set(era, revision uint64, domains ...string) *directory.Evacuations {
	return &directory.Evacuations{Position: directory.Position{Era: era, Revision: revision}, Domains: domains}
}

// TestWatchConfirmsSet guards against an evacuation that goes unnoticed because changes of other objects are taken for
// changes of endpoints, and against reads of the store that an unchanged revision makes needless.
func TestWatchConfirmsSet(t *testing.T) {
	tests := map[string]struct {
		at         directory.Position
		changed    []uint64
		isOutdated bool // so that a read is due
		isLate     bool // so that the watch says nothing
	}{
		"same revision":                     {at: directory.Position{Era: 1, Revision: 10}},
		"older revision":                    {at: directory.Position{Era: 1, Revision: 8}, isLate: true},
		"all changes are of endpoints":      {at: directory.Position{Era: 1, Revision: 12}, changed: []uint64{9, 10, 11, 12}},
		"one change is not of an endpoint":  {at: directory.Position{Era: 1, Revision: 12}, changed: []uint64{12}, isOutdated: true},
		"an endpoint twice, another object": {at: directory.Position{Era: 1, Revision: 12}, changed: []uint64{11, 11}, isOutdated: true},
		"only changes before the set":       {at: directory.Position{Era: 1, Revision: 12}, changed: []uint64{6, 7}, isOutdated: true},
		"newer era":                         {at: directory.Position{Era: 2, Revision: 3}, isOutdated: true},
		"older era":                         {at: directory.Position{Revision: 30}, isLate: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			is.True(s.NeedsRead(start, time.Hour))
			s.Merge(start, set(1, 10, "attiki-1"), start)
			s.ObserveWatch(evacuation.Watch{Position: c.at, Changed: c.changed}, start.Add(time.Second))
			is.Equal(s.NeedsRead(start.Add(time.Second), time.Hour), c.isOutdated)
			is.Equal(s.Age(start.Add(time.Second)) == 0, !c.isOutdated && !c.isLate)
		})
	}
}

// TestRestoredStoreKeepsEvacuation guards against new flows to an evacuated failure domain because the store was restored
// from a copy without its object, and against an evacuation that stays although the operator does not repeat it.
func TestRestoredStoreKeepsEvacuation(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Merge(start, set(1, 90, "attiki-2"), start)
	is.True(s.Merge(start, set(2, 40, "attiki-1"), start))
	is.Equal(s.Domains(start.Add(rewriteTime-1)), []string{"attiki-1", "attiki-2"})
	is.Equal(s.Current().Domains, []string{"attiki-1"}) // others are told what the store has
	is.True(!s.Merge(start, set(1, 99, "attiki-3"), start))
	later := start.Add(rewriteTime)
	is.True(s.NeedsRead(later, time.Hour)) // the object may have been written again since the last read
	is.Equal(s.Domains(later), []string{"attiki-1", "attiki-2"})
	s.Merge(later, set(2, 40, "attiki-1"), later)
	is.Equal(s.Domains(later), []string{"attiki-1"})
	is.True(!s.NeedsRead(later, time.Hour))
}

// TestSetWithoutPosition guards against an evacuation that stays in force after its end, because the store then has no
// list with a revision.
func TestSetWithoutPosition(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Merge(start, set(1, 10, "attiki-1"), start)
	is.True(s.Merge(start, &directory.Evacuations{Position: s.Locate(directory.Position{Era: 1, Revision: 8})}, start))
	is.Equal(s.Domains(start), nil)
	is.Equal(s.Locate(directory.Position{Era: 1, Revision: 8}), directory.Position{Era: 1, Revision: 11}) // unchanged
}

// TestOutageEndsAnnouncements guards against balancers that announce a set to each other for as long as the store does not
// answer: each announcement makes the set look younger by the time on its way.
func TestOutageEndsAnnouncements(t *testing.T) {
	is := is.New(t)
	const (
		balancers = 100
		onTheWay  = 4 * time.Millisecond
		least     = time.Second
	)
	random := rand.New(rand.NewPCG(1, 1))
	var states []*evacuation.State
	for i := range balancers {
		s := newState()
		s.Merge(start, set(1, 10, "attiki-1"), start.Add(time.Duration(i)*10*time.Millisecond)) // the last of the store
		states = append(states, s)
	}
	now, announcements := start.Add(time.Minute), 0
	for range 100 * balancers { // each balancer fetches once in 3 s
		now = now.Add(3 * time.Second / balancers)
		s, from := states[random.IntN(balancers)], states[random.IntN(balancers)]
		before, sent := s.Mark(), from.Current()
		s.Merge(now, &sent, now.Add(-from.Age(now)))
		if !s.HasAdvanced(before, least) {
			continue
		}
		announcements++
		for _, other := range states {
			e := s.Current()
			other.Merge(now, &e, now.Add(onTheWay-s.Age(now)))
		}
	}
	is.Equal(announcements, 0) // no set was confirmed clearly later than another

	s := newState()
	m := s.Mark()
	s.Merge(start, set(1, 10), start)
	is.True(s.HasAdvanced(m, least)) // first set
	m = s.Mark()
	s.Merge(start, set(1, 11, "attiki-1"), start)
	is.True(s.HasAdvanced(m, least)) // other set
	m = s.Mark()
	s.Merge(start, set(1, 12, "attiki-1"), start.Add(least))
	is.True(!s.HasAdvanced(m, least))
	s.Merge(start, set(1, 12, "attiki-1"), start.Add(least+1))
	is.True(s.HasAdvanced(m, least))
}

// world is a store with its history, and balancers that exchange sets.
type world struct {
	now       time.Time
	at        directory.Position
	domains   []string
	changed   []uint64 // revisions of changes of endpoints in this era
	history   map[directory.Position][]string
	balancers []*evacuation.State
	positions []directory.Position // of each balancer's set, as last seen
	messages  []message
}

type message struct {
	set  directory.Evacuations
	asOf time.Time
}

func (w *world) write(domains []string) {
	w.at.Revision++
	w.domains = domains
	w.history[w.at] = domains
}

func (w *world) read(i int) {
	w.balancers[i].Merge(w.now, &directory.Evacuations{Position: w.at, Domains: w.domains}, w.now)
}

// TestBalancersAgree guards against balancers that return to an older set, or that never get the newest one, whatever the
// order of reads, watches and messages, also late and repeated ones, and across restores of the store.
func TestBalancersAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		w := &world{now: start, at: directory.Position{Era: 1, Revision: 1}, history: map[directory.Position][]string{}}
		w.history[w.at] = nil
		for range 4 {
			w.balancers = append(w.balancers, newState())
			w.positions = append(w.positions, directory.Position{})
		}
		balancer := rapid.IntRange(0, len(w.balancers)-1)
		domain := rapid.SampledFrom([]string{"attiki-1", "attiki-2", "attiki-3"})
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
			},
			"evacuate or restore": func(t *rapid.T) {
				name := domain.Draw(t, "domain")
				list := slices.DeleteFunc(slices.Clone(w.domains), func(s string) bool { return s == name })
				if len(list) == len(w.domains) {
					list = append(list, name)
					slices.Sort(list)
				}
				w.write(list)
			},
			"change an endpoint": func(*rapid.T) {
				w.write(w.domains)
				w.changed = append(w.changed, w.at.Revision)
			},
			"restore the store": func(t *rapid.T) {
				copied := directory.Position{Era: w.at.Era, Revision: rapid.Uint64Range(1, w.at.Revision).Draw(t, "copy")}
				if _, ok := w.history[copied]; !ok {
					copied = w.at // before the copy that this era began with
				}
				w.domains, w.changed = w.history[copied], nil
				w.at = directory.Position{Era: copied.Era + 1, Revision: copied.Revision}
				w.history[w.at] = w.domains
			},
			"read": func(t *rapid.T) { w.read(balancer.Draw(t, "balancer")) },
			"watch": func(t *rapid.T) {
				after := rapid.Uint64Range(0, w.at.Revision).Draw(t, "after")
				list := slices.DeleteFunc(slices.Clone(w.changed), func(r uint64) bool { return r <= after })
				s := w.balancers[balancer.Draw(t, "balancer")]
				s.ObserveWatch(evacuation.Watch{Position: w.at, Changed: list}, w.now)
			},
			"send": func(t *rapid.T) {
				if s := w.balancers[balancer.Draw(t, "balancer")]; s.IsKnown() {
					w.messages = append(w.messages, message{set: s.Current(), asOf: s.AsOf()})
				}
			},
			"receive": func(t *rapid.T) {
				if len(w.messages) > 0 {
					m := rapid.SampledFrom(w.messages).Draw(t, "message")
					w.balancers[balancer.Draw(t, "balancer")].Merge(w.now, &m.set, m.asOf)
				}
			},
			"": func(*rapid.T) {
				for i, s := range w.balancers {
					if !s.IsKnown() {
						continue
					}
					x := s.Current()
					is.True(x.Compare(w.positions[i]) >= 0)                 // never an older set
					is.True(slices.Equal(x.Domains, w.history[x.Position])) // the whole set of that position
					for _, name := range x.Domains {
						is.True(slices.Contains(s.Domains(w.now), name))
					}
					w.positions[i] = x.Position
				}
			},
		})
		w.read(0)
		newest := w.balancers[0].Current()
		for _, s := range w.balancers {
			s.Merge(w.now, &newest, w.now)
			is.Equal(s.Age(w.now), time.Duration(0))
			later := w.now.Add(rewriteTime)
			if !slices.Equal(s.Domains(later), w.domains) { // a set of a former era ends by a later read only
				is.True(s.NeedsRead(later, time.Hour))
			}
			s.Merge(later, &newest, later)
			is.True(slices.Equal(s.Domains(later), w.domains))
		}
	})
}
