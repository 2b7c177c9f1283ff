// Package table defines the two tables that operators edit: routes, which map a service address to a service, and
// pools, which list the backend servers that may serve a service. A route refers to its pool by name.
//
// # Usage
//
// Tables holds one version of both tables. Validate returns all faults at once. NewIndex builds the maps that the data
// path looks routes and pools up in; an Index is immutable, so it can be read without a lock. Split and Join convert
// between Tables and the stored form, a Head and its Segments.
package table

import (
	"net/netip"
)

// Route sends the traffic of one service address to a pool.
type Route struct {
	Name    string         `yaml:"name" json:"name" validate:"required,max=64"`
	Address netip.AddrPort `yaml:"address" json:"address"`
	Service string         `yaml:"service" json:"service" validate:"required,max=64"`
	Pool    string         `yaml:"pool" json:"pool" validate:"required,max=64"`
}

// Pool lists the endpoints that may serve a service.
type Pool struct {
	Name      string     `yaml:"name" json:"name" validate:"required,max=64"`
	Service   string     `yaml:"service" json:"service" validate:"required,max=64"`
	Endpoints []Endpoint `yaml:"endpoints" json:"endpoints"`
}

// Endpoint is one backend server in a pool.
type Endpoint struct {
	Address       netip.AddrPort `yaml:"address" json:"address"`
	FailureDomain string         `yaml:"failure_domain" json:"failure_domain" validate:"required,max=64"`
	Slots         int            `yaml:"slots" json:"slots" validate:"min=1,max=1000"`               // concurrent requests
	Connections   int            `yaml:"connections" json:"connections" validate:"min=1,max=100000"` // pinned flows
	Leaving       bool           `yaml:"leaving,omitempty" json:"leaving,omitempty"`                 // gets no new work
}

// Tables is one version of both tables.
type Tables struct {
	Version uint64  `yaml:"version" json:"version"` // 1, 2, 3 ..., one more with each change; 0 if there is none yet
	Routes  []Route `yaml:"routes" json:"routes"`
	Pools   []Pool  `yaml:"pools" json:"pools"`
}

// Index looks up routes by service address and pools by name in one version of the tables. It is immutable.
type Index struct {
	Tables *Tables
	routes map[netip.AddrPort]*Route
	pools  map[string]*Pool
}

// NewIndex builds an index of valid tables.
func NewIndex(t *Tables) *Index {
	x := &Index{
		Tables: t,
		routes: make(map[netip.AddrPort]*Route, len(t.Routes)),
		pools:  make(map[string]*Pool, len(t.Pools)),
	}
	for i := range t.Routes {
		x.routes[t.Routes[i].Address] = &t.Routes[i]
	}
	for i := range t.Pools {
		x.pools[t.Pools[i].Name] = &t.Pools[i]
	}
	return x
}

// RouteOf returns the route of a service address, or nil if there is none.
func (x *Index) RouteOf(address netip.AddrPort) *Route { return x.routes[address] }

// PoolOf returns the pool with the given name, or nil if there is none.
func (x *Index) PoolOf(name string) *Pool { return x.pools[name] }
