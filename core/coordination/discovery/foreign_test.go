package discovery_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/discovery"
	"cornellb/core/state/directory"
)

// TestEntryContradictsIncarnation guards against an entry of another writer that moves a running endpoint to another
// service or address, so that requests are run by the wrong service. The endpoint's own next entry makes it usable again.
func TestEntryContradictsIncarnation(t *testing.T) {
	tests := map[string]struct {
		change   func(e *directory.Endpoint)
		isUsable bool
	}{
		"same":                             {change: func(*directory.Endpoint) {}, isUsable: true},
		"leaves":                           {change: func(e *directory.Endpoint) { e.IsLeaving = true }},
		"other service":                    {change: func(e *directory.Endpoint) { e.Service = "images" }},
		"other address":                    {change: func(e *directory.Endpoint) { e.Address = netip.MustParseAddrPort("10.0.0.2:80") }},
		"other service, earlier start":     {change: func(e *directory.Endpoint) { e.Service, e.StartedAt = "images", 90 }},
		"other service, later start":       {change: func(e *directory.Endpoint) { e.Service, e.StartedAt = "images", 110 }},
		"restarted under its ID elsewhere": {change: func(e *directory.Endpoint) { e.Address, e.StartedAt = netip.MustParseAddrPort("10.0.0.2:80"), 110 }, isUsable: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			own := endpoint("i-1")
			own.Address, own.StartedAt = netip.MustParseAddrPort("10.0.0.1:80"), 100
			foreign := own
			c.change(&foreign)
			want := []string(nil)
			if c.isUsable {
				want = []string{"i-1"}
			}

			watched := newState()
			watched.Replace(start, []directory.Endpoint{own}, at(10))
			applied, _ := watched.Apply(start, []discovery.Change{{ID: "i-1", Endpoint: &foreign, Revision: 11}}, at(10), at(11))
			is.Equal(openIDs(t, watched, start), want)
			if foreign.Service != own.Service && foreign.StartedAt <= own.StartedAt {
				is.True(applied[0].Endpoint == nil) // balancers that hear of it from this one must not use it either
			}
			watched.Apply(start, []discovery.Change{{ID: "i-1", Endpoint: &own, Revision: 12}}, at(11), at(12))
			if foreign.StartedAt <= own.StartedAt {
				is.Equal(openIDs(t, watched, start), []string{"i-1"})
			}

			listed := newState()
			listed.Replace(start, []directory.Endpoint{own}, at(10))
			listed.Replace(start, []directory.Endpoint{foreign}, at(11))
			is.Equal(openIDs(t, listed, start), want)
		})
	}
}

// TestColdTimeOfRepeatedEntry guards against an endpoint that stays cold because its unchanged entry, which still states the
// whole time, is listed again, and against one whose changed entry says that it is cold once more.
func TestColdTimeOfRepeatedEntry(t *testing.T) {
	is := is.New(t)
	s := newState()
	cold := func(revision uint64, warmAt int) directory.Endpoint {
		e := endpoint("i-1")
		e.Revision, e.WarmAt = revision, start.Add(time.Duration(warmAt)*time.Second)
		return e
	}
	warmAt := func() int { return int(s.Registered()[0].WarmAt.Sub(start).Seconds()) }
	s.Replace(start, []directory.Endpoint{cold(4, 2)}, at(10))
	s.Replace(start, []directory.Endpoint{cold(4, 9)}, at(11))
	is.Equal(warmAt(), 2)
	changed := cold(0, 20) // as another balancer sends it
	s.Apply(start, []discovery.Change{{ID: "i-1", Endpoint: &changed, Revision: 12}}, at(11), at(12))
	is.Equal(warmAt(), 20)
	s.Replace(start, []directory.Endpoint{cold(12, 30)}, at(13))
	is.Equal(warmAt(), 20)
}
