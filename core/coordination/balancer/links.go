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
// kept until the last shard calls disconnect.
type links struct {
	out dispatch.BackendSender

	mu        sync.Mutex
	byAddress map[netip.AddrPort]*linkState
}

type linkState struct {
	services map[uint64]string // service that each shard uses the address for, by shard number
	service  string            // service last requested from the transport
	info     *backendInfo      // nil while the connection is down
}

// backendInfo is the state that a backend server reported when the connection came up.
type backendInfo struct {
	service     string
	incarnation uint64
	busy        int
	leaving     bool
}

func newLinks(out dispatch.BackendSender) *links {
	return &links{out: out, byAddress: make(map[netip.AddrPort]*linkState)}
}

func (l *links) connect(shard uint64, a netip.AddrPort, service string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.byAddress[a]
	if st == nil {
		st = &linkState{services: make(map[uint64]string)}
		l.byAddress[a] = st
	}
	st.services[shard] = service
	l.requestService(st, a, service)
}

func (l *links) requestService(st *linkState, a netip.AddrPort, service string) {
	if st.service == service {
		return
	}
	st.service, st.info = service, nil
	l.out.Connect(a, service)
}

func (l *links) disconnect(shard uint64, a netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	st := l.byAddress[a]
	if st == nil {
		return
	}
	delete(st.services, shard)
	if len(st.services) == 0 {
		delete(l.byAddress, a)
		l.out.Disconnect(a)
		return
	}
	for _, service := range st.services {
		if service == st.service {
			return
		}
	}
	first := slices.Sorted(maps.Keys(st.services))[0]
	l.requestService(st, a, st.services[first])
}

// setInfo records what the backend server reported when the connection came up, or nil when the connection was lost.
func (l *links) setInfo(a netip.AddrPort, info *backendInfo) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.byAddress[a]; st != nil {
		st.info = info
	}
}

// infoOf returns what setInfo recorded, or nil if no connection is requested or up.
func (l *links) infoOf(a netip.AddrPort) *backendInfo {
	l.mu.Lock()
	defer l.mu.Unlock()
	if st := l.byAddress[a]; st != nil {
		return st.info
	}
	return nil
}

// shardLinks implements dispatch.BackendSender for one shard.
type shardLinks struct {
	links *links
	shard uint64
}

func (s shardLinks) Send(to netip.AddrPort, m *packet.Backend) error { return s.links.out.Send(to, m) }

func (s shardLinks) Connect(to netip.AddrPort, service string) { s.links.connect(s.shard, to, service) }

func (s shardLinks) Disconnect(to netip.AddrPort) { s.links.disconnect(s.shard, to) }
