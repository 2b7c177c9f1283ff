// Package directory holds the state that a balancer forwards by in the direct return mode: the routes of one
// configuration version, and the registered endpoints.
//
// In this mode a balancer forwards opaque packets to endpoints, and the endpoints answer the clients directly.
// Forwarding needs no flow state in the balancer: it writes a cookie that identifies the endpoint into the first packet
// of a flow, the endpoint and the client repeat the cookie in all later packets, and every balancer finds the endpoint
// by it.
//
// # Usage
//
// core/coordination/discovery builds a new Snapshot after each change. A Snapshot is immutable, so the data path reads
// it without a lock:
//
//	s := directory.NewSnapshot(configuration, formerServices, endpoints)
//	route := s.RouteOf(address)
//	candidates := s.EndpointsOf(route.Targets[0].Service)
//	cookie, ok := s.CookieOf(candidates[0])
//	endpoint := s.ByCookie(cookie, address)
package directory

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// Target is a service that a route sends new flows to, with its share of them.
type Target struct {
	Service string
	Weight  float64 // relative to the other targets of the route, above 0
}

// Route sends the new flows of one service address to one or more services.
type Route struct {
	Name    string
	Address netip.AddrPort // destination of the clients' packets
	Targets []Target       // at least one

	Priority int           // of its requests; 0 is the most urgent
	Aim      time.Duration // latency objective of its requests; 0 if not set
	Timeout  time.Duration // of its requests; 0 if not set
}

// Service holds what the operator states of a service.
type Service struct {
	Name          string
	ColdTime      time.Duration // how long an endpoint is cold after its start
	ColdPerSecond float64       // requests that a cold endpoint bears
	HasColdRate   bool          // whether ColdPerSecond is stated
}

// Allows reports whether the route sends new flows to a service.
func (r *Route) Allows(service string) bool {
	return slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == service })
}

// Configuration is one version of the configuration that the operator has written.
type Configuration struct {
	Version     uint64 // rises with each change, not always by one; 0 means that there is none yet
	Routes      []Route
	Services    []Service
	IdleTimeout time.Duration // flows without packets for longer may be forgotten; 0 if not set
}

// Endpoint is one incarnation of a backend server that registered itself.
type Endpoint struct {
	ID            string // the registered name
	Number        uint64 // checked by the endpoint on each datagram; 0 is not allowed
	Service       string
	FailureDomain string
	Address       netip.AddrPort // receives datagrams
	Slots         int            // number of requests served at a time
	IsLeaving     bool           // keeps its flows and gets no new ones
	IsGone        bool           // no longer registered: keeps its flows, gets no new ones
	StartedAt     int64          // Unix time in ms, by the endpoint's clock; identifies the incarnation
	WarmAt        time.Time      // until then the endpoint serves requests more slowly
	Revision      uint64         // of the store at the last change of the entry; 0 if unknown, as in a list of another balancer
}

// IsOpen reports whether the endpoint may get new flows.
func (e *Endpoint) IsOpen() bool { return !e.IsLeaving && !e.IsGone }

// cookieVariants is the number of cookies that each endpoint may have. The second one is needed only if the first is
// also a cookie of another endpoint.
const cookieVariants = 2

// cookieEndpoints lists the endpoints that have a cookie: one, or several after a collision.
type cookieEndpoints struct {
	first  *Endpoint
	others []*Endpoint
}

// Snapshot is an immutable set of lookups over one configuration version and a set of endpoints.
type Snapshot struct {
	Configuration  *Configuration
	IsPartial      bool            // no list of endpoints has been received yet
	Evacuated      map[string]bool // failure domains to which no new flow may go
	IsUnsure       bool            // Evacuated is not known yet, so that no flow may be placed
	routes         map[netip.AddrPort]*Route
	formerServices map[netip.AddrPort][]string // services that earlier versions used, by service address
	cookies        map[uint32]cookieEndpoints
	services       map[string][]*Endpoint
	endpoints      []*Endpoint
}

// NewSnapshot builds the lookups. formerServices lists the services to which earlier versions sent a service address,
// since flows opened then stay with their endpoints. The snapshot keeps the arguments, which must not change
// afterwards.
func NewSnapshot(c *Configuration, formerServices map[netip.AddrPort][]string, endpoints []*Endpoint) *Snapshot {
	s := &Snapshot{
		Configuration:  c,
		routes:         make(map[netip.AddrPort]*Route, len(c.Routes)),
		formerServices: formerServices,
		cookies:        make(map[uint32]cookieEndpoints, cookieVariants*len(endpoints)),
		services:       make(map[string][]*Endpoint),
		endpoints:      endpoints,
	}
	for i := range c.Routes {
		s.routes[c.Routes[i].Address] = &c.Routes[i]
	}
	for _, e := range endpoints {
		for v := range cookieVariants {
			cookie := Cookie(e.ID, v)
			entry := s.cookies[cookie]
			if entry.first == nil {
				entry.first = e
			} else {
				entry.others = append(entry.others, e)
			}
			s.cookies[cookie] = entry
		}
		if e.IsOpen() {
			s.services[e.Service] = append(s.services[e.Service], e)
		}
	}
	for _, list := range s.services {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return s
}

// IsEvacuated reports whether no new flow may go to the endpoints of a failure domain.
func (s *Snapshot) IsEvacuated(failureDomain string) bool { return s.Evacuated[failureDomain] }

// RouteOf returns the route of a service address, or nil.
func (s *Snapshot) RouteOf(address netip.AddrPort) *Route { return s.routes[address] }

// WasRouted reports whether an earlier version had a route for the address.
func (s *Snapshot) WasRouted(address netip.AddrPort) bool { return len(s.formerServices[address]) > 0 }

// Allowed reports whether this or an earlier version sends an address to a service.
func (s *Snapshot) Allowed(address netip.AddrPort, service string) bool {
	if r := s.routes[address]; r != nil && r.Allows(service) {
		return true
	}
	return slices.Contains(s.formerServices[address], service)
}

// EndpointsOf returns the endpoints of a service that may get new flows, ordered by ID.
func (s *Snapshot) EndpointsOf(service string) []*Endpoint { return s.services[service] }

// Endpoints returns all endpoints, including those that are gone.
func (s *Snapshot) Endpoints() []*Endpoint { return s.endpoints }

// CookieOf returns a cookie that no other endpoint of this snapshot has. It reports false if there is none; such an
// endpoint must not get new flows.
func (s *Snapshot) CookieOf(e *Endpoint) (uint32, bool) {
	for v := range cookieVariants {
		cookie := Cookie(e.ID, v)
		if entry := s.cookies[cookie]; len(entry.others) == 0 {
			return cookie, true
		}
	}
	return 0, false
}

// ByCookie returns the endpoint of a cookie, or nil. A balancer that knows other endpoints may have written a cookie
// that several endpoints have here. Then ByCookie returns the one whose service is allowed for the address, if there is
// exactly one.
func (s *Snapshot) ByCookie(cookie uint32, address netip.AddrPort) *Endpoint {
	entry := s.cookies[cookie]
	if len(entry.others) == 0 {
		return entry.first
	}
	var found *Endpoint
	for _, e := range append([]*Endpoint{entry.first}, entry.others...) {
		if !s.Allowed(address, e.Service) {
			continue
		}
		if found != nil {
			return nil
		}
		found = e
	}
	return found
}
