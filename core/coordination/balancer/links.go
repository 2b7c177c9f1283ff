package balancer

import (
	"maps"
	"net/netip"
	"slices"
	"sync"

	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/packet"
)

// links shares the connections to endpoints among the local shards. Two shards may use one address for a while: after
// the endpoint moved to another pool or failure domain, attempts of the former shard may still run. The connection is
// kept until the last shard calls forget.
type links struct {
	out dispatch.BackendSender

	mu        sync.Mutex
	byAddress map[netip.AddrPort]*linkState
}

type linkState struct {
	wanted  map[uint64]string // service that each shard uses the address for, by shard number
	service string            // service last requested from the transport
	up      *linkUp           // nil while down
}

// linkUp is the state that a backend server reported when the connection came up.
type linkUp struct {
	service     string
	incarnation uint64
	busy        int
	leaving     bool
}

func newLinks(out dispatch.BackendSender) *links {
	return &links{out: out, byAddress: make(map[netip.AddrPort]*linkState)}
}

func (l *links) want(shard uint64, a netip.AddrPort, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.byAddress[a]
	if st == nil {
		st = &linkState{wanted: make(map[uint64]string)}
		l.byAddress[a] = st
	}
	st.wanted[shard] = service
	l.requestService(st, a, service)
}

func (l *links) requestService(st *linkState, a netip.AddrPort, service string) {
	if st.service == service {
		return
	}
	st.service, st.up = service, nil
	l.out.Want(a, service)
}

func (l *links) forget(shard uint64, a netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.byAddress[a]
	if st == nil {
		return
	}
	delete(st.wanted, shard)
	if len(st.wanted) == 0 {
		delete(l.byAddress, a)
		l.out.Forget(a)
		return
	}
	for _, service := range st.wanted {
		if service == st.service {
			return
		}
	}
	first := slices.Sorted(maps.Keys(st.wanted))[0]
	l.requestService(st, a, st.wanted[first])
}

// setUp records the state of a connection. up is nil when the connection was lost.
func (l *links) setUp(a netip.AddrPort, up *linkUp) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.byAddress[a]; st != nil {
		st.up = up
	}
}

func (l *links) upOf(a netip.AddrPort) *linkUp {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.byAddress[a]; st != nil {
		return st.up
	}
	return nil
}

// shardLinks implements dispatch.BackendSender for one shard.
type shardLinks struct {
	links *links
	shard uint64
}

func (s shardLinks) Send(to netip.AddrPort, m *packet.Backend) error { return s.links.out.Send(to, m) }

func (s shardLinks) Want(to netip.AddrPort, service string) { s.links.want(s.shard, to, service) }

func (s shardLinks) Forget(to netip.AddrPort) { s.links.forget(s.shard, to) }
