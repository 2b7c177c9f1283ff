package endpoint

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 9000)
}

func entries(n, slots, connections int) []table.Endpoint {
	var es []table.Endpoint
	for i := range n {
		es = append(es, table.Endpoint{Address: address(i), Slots: slots, Connections: connections})
	}
	return es
}

// newUpSet returns a set whose endpoints are connected and past slow start.
func newUpSet(n, slots, connections int) *Set {
	s := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	s.Update(epoch, entries(n, slots, connections))
	for i := range n {
		s.Up(epoch, address(i), 1)
		s.byAddress[address(i)].slowWindow = slots
	}
	return s
}

// Guards against new work on an endpoint that is marked as leaving by any source, and against one source clearing the
// mark of another.
func TestLeavingStopsNewWorkAtOnce(t *testing.T) {
	is := is.New(t)
	s := newUpSet(1, 3, 10)
	is.True(s.Acquire(epoch, address(0)))
	is.True(s.RecordReport(epoch, address(0), 1, true))
	is.Equal(s.MarkHost(epoch, address(0).Addr(), true), nil)
	is.True(!s.CanAcquire(address(0)))
	s.RecordReport(epoch, address(0), 1, false)
	is.True(!s.CanAcquire(address(0)))
	s.MarkHost(epoch, address(0).Addr(), false)
	is.True(s.CanAcquire(address(0)))
	es := entries(1, 3, 10)
	es[0].Leaving = true
	_, _, leaving := s.Update(epoch, es)
	is.Equal(leaving, []netip.AddrPort{address(0)})
	_, ok := s.Choose(epoch, netip.AddrPort{})
	is.True(!ok)
	is.True(s.Release(epoch, address(0), AttemptAnswered))

	// An endpoint on a leaving host is marked even if it is added later. A mark by the backend server itself ends when
	// the server restarts.
	s.MarkHost(epoch, address(1).Addr(), true)
	s.Update(epoch, entries(2, 3, 10))
	s.Up(epoch, address(1), 1)
	is.True(!s.CanAcquire(address(1)))
	is.True(s.RecordReport(epoch, address(0), 0, true))
	s.Up(epoch, address(0), 2)
	is.True(s.CanAcquire(address(0)))
}

func (s *Set) limitOf(i int) int { return s.byAddress[address(i)].limit() }

// run acquires a slot of an endpoint and releases it with an outcome.
func run(is *is.I, s *Set, now time.Time, i int, o AttemptOutcome) {
	is.Helper()
	is.True(s.Acquire(now, address(i)))
	is.True(s.Release(now, address(i), o))
}

// Guards against a burst on an endpoint that is new or restarted, and against growth of slow start while attempts fail.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	s := New(Config{}, rand.New(rand.NewPCG(1, 2)))
	s.Update(epoch, entries(1, 3, 10))
	is.True(!s.CanAcquire(address(0))) // not connected
	s.Up(epoch, address(0), 1)
	now := epoch
	for _, want := range []int{1, 2, 3, 3} {
		is.Equal(s.limitOf(0), want)
		now = now.Add(time.Second)
		run(is, s, now, 0, AttemptAnswered)
	}
	s.Down(now, address(0))
	s.Up(now, address(0), 1)
	is.Equal(s.limitOf(0), 3)
	s.Up(now, address(0), 2)
	is.Equal(s.limitOf(0), 1)
	run(is, s, now.Add(900*time.Millisecond), 0, AttemptFailed)
	run(is, s, now.Add(time.Second), 0, AttemptAnswered)
	is.Equal(s.limitOf(0), 1)
}

// Guards against a window that a single overload halves several times, that never recovers or that exceeds the slots in
// the table, and against a request that is sent without a pause to an endpoint that sheds everything.
func TestShedHalvesWindowOnce(t *testing.T) {
	is := is.New(t)
	s := newUpSet(1, 16, 10)
	for range 16 {
		is.True(s.Acquire(epoch, address(0)))
	}
	for range 4 {
		is.True(s.Release(epoch, address(0), AttemptShed))
	}
	is.Equal(s.limitOf(0), 8) // one halving for attempts that ran together
	for range 12 {
		is.True(s.Release(epoch, address(0), AttemptAnswered))
	}
	for range 16 * 16 * recoveryWindows {
		run(is, s, epoch, 0, AttemptAnswered)
	}
	is.Equal(s.limitOf(0), 16)

	sheds, now := 0, epoch
	for range 1000 { // 10 s
		now = now.Add(10 * time.Millisecond)
		if _, ok := s.Choose(now, netip.AddrPort{}); ok {
			run(is, s, now, 0, AttemptShed)
			sheds++
		}
	}
	is.True(sheds <= 16)
	is.Equal(s.limitOf(0), 1)
	at, ok := s.NextWake(now)
	is.True(ok && at.After(now))
}

// Guards against ejection of more than a third of the endpoints, against ejections that do not end, do not get longer
// or are not followed by slow start, and against endpoints that cannot be ejected and attract all work by failing fast.
func TestEjection(t *testing.T) {
	is := is.New(t)
	s := newUpSet(4, 3, 10)
	now := epoch
	for _, want := range []time.Duration{5, 10, 20, 40, 60, 60} {
		for range DefaultEjectAfter {
			is.True(s.IsUsable(address(0)))
			run(is, s, now, 0, AttemptFailed)
		}
		is.True(!s.IsUsable(address(0)))
		at, ok := s.NextWake(now)
		is.True(ok)
		is.Equal(at.Sub(now), want*time.Second)
		now = at
		s.NextWake(now)
		is.Equal(s.limitOf(0), 1)
	}
	run(is, s, now, 0, AttemptAnswered)
	run(is, s, now.Add(time.Minute), 0, AttemptAnswered)
	is.Equal(s.byAddress[address(0)].ejections, 0)

	now = now.Add(time.Minute)
	for i := range 3 { // a third of 4 endpoints, rounded down, is 1
		for range DefaultEjectAfter {
			is.True(s.Acquire(now, address(i)))
			s.Release(now, address(i), AttemptFailed)
		}
	}
	is.True(!s.IsUsable(address(0)))
	is.True(s.IsUsable(address(1)))
	now = now.Add(deprioritizedPause)
	for range 3 {
		a, ok := s.Choose(now, netip.AddrPort{})
		is.True(ok)
		is.Equal(a, address(3))
		s.Acquire(now, a)
	}
	a, ok := s.Choose(now, netip.AddrPort{})
	is.True(ok)
	is.True(a == address(1) || a == address(2)) // a deprioritized endpoint is chosen if no other has room
}

// Guards against an endpoint that returns with few recent attempts and takes all of the next work.
func TestReturningEndpointTakesItsShare(t *testing.T) {
	is := is.New(t)
	s := newUpSet(4, 3, 10)
	s.Down(epoch, address(0))
	for range 300 {
		a, _ := s.Choose(epoch, netip.AddrPort{})
		s.Acquire(epoch, a)
		s.Release(epoch, a, AttemptAnswered)
	}
	s.Up(epoch, address(0), 1)
	taken := map[netip.AddrPort]int{}
	for range 40 {
		a, _ := s.Choose(epoch, netip.AddrPort{})
		s.Acquire(epoch, a)
		s.Release(epoch, a, AttemptAnswered)
		taken[a]++
	}
	is.True(taken[address(0)] >= 9 && taken[address(0)] <= 11)
}

// Guards against reported load that overrides the owner's own count or keeps work away for ever.
func TestReportedLoadCountsOnlyAtTakeover(t *testing.T) {
	is := is.New(t)
	s := newUpSet(2, 3, 10)
	s.RecordReport(epoch, address(0), 3, false)
	for range 20 { // without the report, these would be random ties
		a, _ := s.Choose(epoch, netip.AddrPort{})
		is.Equal(a, address(1))
	}
	run(is, s, epoch, 0, AttemptAnswered) // from now on the owner's own count is used
	is.True(s.Acquire(epoch, address(1)))
	a, _ := s.Choose(epoch, netip.AddrPort{})
	is.Equal(a, address(0))
	s = newUpSet(2, 3, 10)
	s.RecordReport(epoch, address(0), 3, false)
	is.True(s.Acquire(epoch, address(1)))
	a, _ = s.Choose(epoch.Add(reportValidity), netip.AddrPort{})
	is.Equal(a, address(0))
}

// Guards against more retries than the budget allows and against backoff outside its range.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	b := NewRetryBudget(RetryConfig{}, rand.New(rand.NewPCG(1, 2)))
	taken := 0
	for i := range 100 * 100 { // 100 s with 100 first attempts a second, each of which asks for a retry
		b.AddFirstAttempt()
		if b.Take(epoch.Add(time.Duration(i) * 10 * time.Millisecond)) {
			taken++
		}
	}
	is.True(taken >= 1099 && taken <= 1110)
	seen := map[time.Duration]bool{}
	for attempt := 1; attempt < 70; attempt++ {
		want := min(DefaultBackoffBase<<min(attempt-1, 20), DefaultBackoffMax)
		d := b.Backoff(attempt)
		is.True(d >= want/2 && d <= want)
		seen[d] = true
	}
	is.True(len(seen) > 60)
}

func BenchmarkChooseAcquireRelease(b *testing.B) {
	for _, n := range []int{4, 32, 256} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			s := newUpSet(n, 3, 2000)
			for range 2 * n { // two thirds of the slots stay in use
				a, _ := s.Choose(epoch, netip.AddrPort{})
				s.Acquire(epoch, a)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now := epoch.Add(time.Duration(i) * time.Millisecond)
				a, _ := s.Choose(now, netip.AddrPort{})
				s.Acquire(now, a)
				s.Release(now, a, AttemptAnswered)
			}
		})
	}
}

// Guards against more feeds than an endpoint has connections, and against a flow that loses its pin in a handover
// because its endpoint is full or leaving.
func TestFeedsAndAdoptedFlows(t *testing.T) {
	is := is.New(t)
	s := newUpSet(2, 1, 2)
	is.True(s.Acquire(epoch, address(0)))
	for range 4 { // feeds need no slot
		a, ok := s.ChooseFeed(epoch, netip.AddrPort{})
		is.True(ok && s.Pin(a))
	}
	_, ok := s.ChooseFeed(epoch, netip.AddrPort{})
	is.True(!ok && !s.AnyFree() && s.CanAcquire(address(1))) // a pinned flow may use the free slot
	is.True(!s.Pin(address(0)))
	s.MarkLeaving(epoch, address(0), LeavingTable, true)
	is.True(s.Adopt(address(0)))
	st, _ := s.StatusOf(address(0))
	is.Equal(st.Pins, 3)
	is.Equal(s.Addresses(), []netip.AddrPort{address(0), address(1)})
}
