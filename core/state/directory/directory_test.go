package directory_test

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/directory"
)

var address = netip.MustParseAddrPort("198.18.0.1:443")

func configuration(service string) *directory.Configuration {
	return &directory.Configuration{Version: 1, Routes: []directory.Route{{
		Name: "feed", Address: address, Targets: []directory.Target{{Service: service, Weight: 1}},
	}}}
}

// collidingIDs returns two IDs with the same first cookie. With 32 bits, some 80,000 IDs suffice to find them.
func collidingIDs(t *testing.T) (string, string) {
	t.Helper()
	seen := make(map[uint32]string)
	for i := range 1 << 20 {
		id := fmt.Sprintf("i-%x", i)
		cookie := directory.Cookie(id, 0)
		if other, ok := seen[cookie]; ok {
			return other, id
		}
		seen[cookie] = id
	}
	t.Fatal("found no two IDs with the same cookie")
	return "", ""
}

// TestCollidingCookies guards against packets that reach the wrong one of two endpoints with a common cookie.
func TestCollidingCookies(t *testing.T) {
	is := is.New(t)
	a, b := collidingIDs(t)
	first := &directory.Endpoint{ID: a, Service: "feed"}
	second := &directory.Endpoint{ID: b, Service: "feed"}
	s := directory.NewSnapshot(configuration("feed"), nil, []*directory.Endpoint{first, second})
	for _, e := range []*directory.Endpoint{first, second} {
		cookie, ok := s.CookieOf(e)
		is.True(ok)
		is.Equal(s.ByCookie(cookie, address), e)
	}
	is.Equal(s.ByCookie(directory.Cookie(a, 0), address), nil) // ambiguous

	second.Service = "images" // the route allows only the first one's service
	s = directory.NewSnapshot(configuration("feed"), nil, []*directory.Endpoint{first, second})
	is.Equal(s.ByCookie(directory.Cookie(a, 0), address), first)
}

// TestCookieIsTheSameEverywhere guards against balancers that compute different cookies for one endpoint: flows would
// break whenever the network fabric moves them to another balancer. The test fixes the values, because balancers of
// several versions run side by side during an update.
func TestCookieIsTheSameEverywhere(t *testing.T) {
	is := is.New(t)
	is.Equal(directory.Cookie("i-7f3a91c2", 0), uint32(0xc0313b97))
	is.Equal(directory.Cookie("i-7f3a91c2", 1), uint32(0xcde928ab))
}

// TestFormerServiceKeepsItsFlows guards against a change of a route's targets that breaks open flows to a former
// target.
func TestFormerServiceKeepsItsFlows(t *testing.T) {
	is := is.New(t)
	old := &directory.Endpoint{ID: "i-1", Service: "feed"}
	s := directory.NewSnapshot(configuration("images"), map[netip.AddrPort][]string{address: {"feed"}},
		[]*directory.Endpoint{old})
	is.True(s.Allowed(address, "feed"))
	is.True(s.Allowed(address, "images"))
	is.True(!s.Allowed(address, "reports"))
	is.Equal(s.ByCookie(directory.Cookie("i-1", 0), address), old)
}

func BenchmarkNewSnapshot(b *testing.B) {
	for _, n := range []int{18, 1000, 130000} {
		b.Run(fmt.Sprint("endpoints=", n), func(b *testing.B) {
			var endpoints []*directory.Endpoint
			for i := range n {
				endpoints = append(endpoints, &directory.Endpoint{
					ID: fmt.Sprintf("i-%08x", i), Service: fmt.Sprint("service-", i/32),
				})
			}
			c := configuration("service-0")
			b.ReportAllocs()
			for b.Loop() {
				directory.NewSnapshot(c, nil, endpoints)
			}
		})
	}
}
