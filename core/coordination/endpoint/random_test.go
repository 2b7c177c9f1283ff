package endpoint

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cornellb/core/state/table"
)

// A fixed seed makes a failure in CI reproducible, and many steps fill the endpoints. -rapid.seed and -rapid.steps on
// the command line override these values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "300")
}

// model is the reference that random runs compare the set with. It counts slots and pins independently.
type model struct {
	s       *Set
	now     time.Time
	entries map[netip.AddrPort]table.Endpoint
	used    map[netip.AddrPort]int
	pins    map[netip.AddrPort]int
}

func drawAddress(t *rapid.T) netip.AddrPort { return address(rapid.IntRange(0, 6).Draw(t, "endpoint")) }

func (m *model) update(t *rapid.T) {
	var es []table.Endpoint
	m.entries = map[netip.AddrPort]table.Endpoint{}
	for i := range 7 {
		if rapid.IntRange(0, 3).Draw(t, "listed") > 0 {
			e := table.Endpoint{Address: address(i), Slots: rapid.IntRange(1, 5).Draw(t, "slots"), Connections: 4}
			e.Leaving = rapid.IntRange(0, 5).Draw(t, "leaving") == 0
			es = append(es, e)
			m.entries[e.Address] = e
		}
	}
	m.s.Update(m.now, es)
}

func (m *model) take(t *rapid.T) {
	a, ok := m.s.Choose(m.now, address(rapid.IntRange(0, 20).Draw(t, "exclude")))
	if !ok {
		return
	}
	before, _ := m.s.StatusOf(a)
	if !m.s.Acquire(m.now, a) || !m.s.Pin(a) {
		t.Fatalf("Choose returned %v, but Acquire or Pin failed: %+v", a, before)
	}
	m.used[a]++
	m.pins[a]++
	e := m.entries[a]
	if m.used[a] > before.Limit || m.used[a] > e.Slots || m.pins[a] > e.Connections || e.Leaving || before.Leaving != 0 || before.IsEjected {
		t.Fatalf("Choose returned %v, which is full, leaving or ejected: %+v, entry %+v", a, before, e)
	}
}

func (m *model) release(t *rapid.T) {
	a := drawAddress(t)
	o := AttemptOutcome(rapid.IntRange(0, 4).Draw(t, "outcome"))
	if m.s.Release(m.now, a, o) != (m.used[a] > 0) {
		t.Fatalf("Release(%v) returned the wrong result, model has %d slots in use", a, m.used[a])
	}
	m.used[a] = max(0, m.used[a]-1)
}

func (m *model) check(t *rapid.T) {
	wake, isWaking := m.s.NextWake(m.now) // also advances the set to now
	free, ejected := 0, 0
	for i := range 7 {
		a := address(i)
		st, ok := m.s.StatusOf(a)
		if !ok && m.used[a]+m.pins[a] > 0 {
			t.Fatalf("%v was removed from the set with %d slots and %d pins in use", a, m.used[a], m.pins[a])
		}
		if ok && (st.Used != m.used[a] || st.Pins != m.pins[a]) {
			t.Fatalf("%v has %+v, model has %d slots and %d pins", a, st, m.used[a], m.pins[a])
		}
		e, isListed := m.entries[a]
		if isListed && (st.Limit < 1 || st.Limit > e.Slots) {
			t.Fatalf("%v has limit %d, want 1 to %d", a, st.Limit, e.Slots)
		}
		if isListed && m.s.IsUsable(a) {
			free += max(0, st.Limit-st.Used)
		}
		if isListed && st.IsEjected {
			ejected++
		}
	}
	if m.s.FreeSlots() != free {
		t.Fatalf("set has %d free slots, model has %d", m.s.FreeSlots(), free)
	}
	if ejected > 0 && !isWaking || isWaking && !wake.After(m.now) {
		t.Fatalf("NextWake returned %v, %v with %d ejected endpoints at %v", wake, isWaking, ejected, m.now)
	}
}

// Guards against slots and pins that are leaked or released twice, against work above a limit or on an endpoint that
// must not take any, and against ejections without a wake-up time, for any order of events.
func TestRandomRunsKeepCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			s: New(Config{}, rand.New(rand.NewPCG(1, 1))), now: epoch,
			used: map[netip.AddrPort]int{}, pins: map[netip.AddrPort]int{},
		}
		m.update(t)
		t.Repeat(map[string]func(*rapid.T){
			"take":     m.take,
			"takeMore": m.take,
			"release":  m.release,
			"unpin": func(t *rapid.T) {
				a := drawAddress(t)
				if m.s.Unpin(a) != (m.pins[a] > 0) {
					t.Fatalf("Unpin(%v) returned the wrong result, model has %d pins", a, m.pins[a])
				}
				m.pins[a] = max(0, m.pins[a]-1)
			},
			"update": m.update,
			"up":     func(t *rapid.T) { m.s.Up(m.now, drawAddress(t), rapid.Uint64Range(1, 2).Draw(t, "incarnation")) },
			"upAgain": func(t *rapid.T) {
				m.s.Up(m.now, drawAddress(t), 1)
			},
			"down": func(t *rapid.T) { m.s.Down(m.now, drawAddress(t)) },
			"observe": func(t *rapid.T) {
				m.s.RecordReport(m.now, drawAddress(t), rapid.IntRange(-1, 100).Draw(t, "busy"), rapid.IntRange(0, 4).Draw(t, "leaving") == 0)
			},
			"host": func(t *rapid.T) { m.s.MarkHost(m.now, drawAddress(t).Addr(), rapid.Bool().Draw(t, "leaving")) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": m.check,
		})
	})
}
