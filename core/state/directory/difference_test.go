package directory_test

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/state/directory"
)

// randomConfiguration draws a configuration with routes for a random subset of eight addresses.
func randomConfiguration(t *rapid.T, version uint64) *directory.Configuration {
	c := &directory.Configuration{Version: version}
	for port := range uint16(8) {
		if !rapid.Bool().Draw(t, "exists") {
			continue
		}
		services := rapid.SliceOfN(rapid.SampledFrom([]string{"feed", "images"}), 1, 2).Draw(t, "services")
		r := directory.Route{Name: fmt.Sprint("r", port), Address: netip.AddrPortFrom(address.Addr(), 1+port)}
		for _, s := range services {
			r.Targets = append(r.Targets, directory.Target{Service: s, Weight: 1})
		}
		c.Routes = append(c.Routes, r)
	}
	return c
}

func sorted(c *directory.Configuration) *directory.Configuration {
	x := *c
	x.Routes = slices.SortedFunc(slices.Values(c.Routes), func(a, b directory.Route) int {
		return cmp.Compare(a.Address.Port(), b.Address.Port())
	})
	return &x
}

// TestRandomDifferences guards against a balancer that applies differences and ends up with other routes than one that
// has read the whole configuration: new flows would reach the wrong service.
func TestRandomDifferences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		versions := []*directory.Configuration{randomConfiguration(t, 1)}
		var list []*directory.Difference
		for n := range rapid.IntRange(1, 5).Draw(t, "changes") {
			next := randomConfiguration(t, uint64(10*(n+1)))
			list = append(list, directory.Diff(versions[n], next))
			versions = append(versions, next)
		}
		last := versions[len(versions)-1]
		for i := range list {
			got, ok := directory.Merge(list[i:]).Apply(versions[i])
			is.True(ok)
			is.Equal(sorted(got), sorted(last))
		}
		_, ok := directory.Merge(list).Apply(last) // it is not the version that the differences start from
		is.True(!ok)
	})
}
