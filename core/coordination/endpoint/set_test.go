package endpoint

import (
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
		s.byName[address(i)].slowWindow = slots
	}
	return s
}

// Guards against new work on an endpoint that any source marks as leaving, and against a mark of one source that
// clears the mark of another.
func TestLeavingStopsNewWorkAtOnce(t *testing.T) {
	is := is.New(t)
	s := newUpSet(1, 3, 10)
	is.True(s.Acquire(epoch, address(0)))
	is.True(s.Observe(epoch, address(0), 1, true))
	is.Equal(s.MarkHost(epoch, address(0).Addr(), true), nil)
	is.True(!s.CanAcquire(address(0)))
	s.Observe(epoch, address(0), 1, false)
	is.True(!s.CanAcquire(address(0)))
	s.MarkHost(epoch, address(0).Addr(), false)
	is.True(s.CanAcquire(address(0)))
	es := entries(1, 3, 10)
	es[0].Leaving = true
	_, _, leaving := s.Update(epoch, es)
	is.Equal(leaving, []netip.AddrPort{address(0)})
	_, ok := s.Choose(epoch, netip.AddrPort{})
	is.True(!ok)
	is.True(s.Release(epoch, address(0), OutcomeAnswered))
}
