package membership

import (
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/member"
)

// PageHosts is the largest number of members in one page. It bounds a page to about 50 KB; most pages are under 16 KB.
const PageHosts = 256

const (
	fetchTimeout    = 5 * time.Second
	fetchRetryDelay = 500 * time.Millisecond // after a request that failed
	fetchInterval   = 30 * time.Second       // between full lists that are fetched because a partition healed
)

// Cursor is a position in the order in which member pages list the members: first those of the requested failure
// domain, then all others, each part by ID and incarnation. The zero value is the start. The order does not depend on
// the peer, so each page may come from another one.
type Cursor struct {
	Others      bool // the position is in the second part
	ID          string
	Incarnation member.Incarnation
}

// MembersRequest asks for the page after a cursor.
type MembersRequest struct {
	FailureDomain string
	After         Cursor
}

// MembersReply is one page.
type MembersReply struct {
	Hosts []member.Host
	Next  Cursor
	Last  bool
}

// fetch is the progress of fetching the full member list page by page.
type fetch struct {
	wanted     bool           // a list is to be fetched, or a part of it has been fetched
	healedPeer netip.AddrPort // the only peer to ask, across a healed partition; invalid if any peer will do
	asked      netip.AddrPort // the peer that the pending request went to; invalid if none is pending
	after      Cursor
	added      int // members that were unknown before this list
	started    time.Time
	notBefore  time.Time // earliest time of the next request
	ended      time.Time
}

// PageOf returns the page of a view that a peer requested.
func PageOf(v *member.View, r MembersRequest) MembersReply {
	reply := MembersReply{Next: r.After}
	for _, others := range []bool{false, true} {
		if r.After.Others && !others {
			continue
		}
		start := 0
		if r.After.Others == others {
			after := member.Host{ID: r.After.ID, Incarnation: r.After.Incarnation}
			at, found := slices.BinarySearchFunc(v.Hosts, after, compareHosts)
			if start = at; found {
				start++
			}
		}
		for _, h := range v.Hosts[start:] {
			if (h.FailureDomain != r.FailureDomain) != others {
				continue
			}
			if len(reply.Hosts) == PageHosts {
				return reply
			}
			reply.Hosts = append(reply.Hosts, h)
			reply.Next = Cursor{Others: others, ID: h.ID, Incarnation: h.Incarnation}
		}
	}
	reply.Last = true
	return reply
}

// startHealFetch fetches the full member list of a sender that was unreachable before its ack: such an ack means that a
// partition healed.
func (m *Machine) startHealFetch(sender *record, wasReachable bool, k MessageKind) {
	f := &m.fetch
	if sender == nil || sender.index < 0 || wasReachable || k != KindAck || f.wanted || m.now.Sub(f.ended) < fetchInterval {
		return
	}
	m.fetch = fetch{wanted: true, healedPeer: sender.host.Address, started: m.now}
}

func (m *Machine) tickFetch() {
	f := &m.fetch
	if !f.wanted || m.now.Before(f.notBefore) {
		return
	}
	if f.asked.IsValid() && f.healedPeer.IsValid() {
		m.fetch = fetch{ended: m.now} // no reply; the next ack of an unreachable member starts a new one
		return
	}
	if f.asked = f.healedPeer; !f.healedPeer.IsValid() {
		f.asked = m.fetchPeer()
	}
	if f.asked.IsValid() {
		f.notBefore = m.now.Add(fetchTimeout)
		m.out.FetchMembers(f.asked, MembersRequest{FailureDomain: m.self.FailureDomain, After: f.after})
	}
}

// fetchPeer picks a random member, preferably of the own failure domain, or a hint if no member is reachable.
func (m *Machine) fetchPeer() netip.AddrPort {
	switch {
	case len(m.sameDomain) > 0:
		return m.sameDomain[m.random.IntN(len(m.sameDomain))].host.Address
	case len(m.otherDomains) > 0:
		return m.otherDomains[m.random.IntN(len(m.otherDomains))].host.Address
	case len(m.hints) > 0:
		return m.hints[m.random.IntN(len(m.hints))]
	}
	return netip.AddrPort{}
}

// endFetch completes a full member list. Reachable members that were not in it are probed next, since the peers may
// have declared them dead and forgotten them.
func (m *Machine) endFetch() {
	f := m.fetch
	m.fetch = fetch{ended: m.now}
	m.agreement.fullListFetched(f.added > 0)
	for _, list := range [][]*record{m.sameDomain, m.otherDomains} {
		for _, r := range list {
			if r.listedAt.Before(f.started) && len(m.probeList) <= 2*len(m.sorted) {
				m.probeList = append(m.probeList, r)
			}
		}
	}
}

// ReceiveMembers handles the page that a peer returned, or nil if the request failed. Pages from any peer but the one
// that was asked last are ignored.
func (m *Machine) ReceiveMembers(from netip.AddrPort, r *MembersReply) {
	f := &m.fetch
	if !f.wanted || !f.asked.IsValid() || f.asked != from || m.departed {
		return
	}
	if r == nil {
		f.notBefore = m.now.Add(fetchRetryDelay)
		return
	}
	bytes, allSameDomain := 0, true
	for _, h := range r.Hosts {
		bytes += HostSize(h)
		allSameDomain = allSameDomain && h.FailureDomain == m.self.FailureDomain
		if m.records[h.Incarnation] == nil && !isGone(h.State) && h.Incarnation != m.self.Incarnation {
			f.added++
		}
		m.merge(h, sourceMemberList)
		if k := m.records[h.Incarnation]; k != nil {
			k.listedAt = m.now
		}
	}
	if r.Last || r.Next == f.after {
		m.endFetch()
		return
	}
	f.asked = netip.AddrPort{}
	f.after = r.Next
	f.notBefore = m.now
	if !allSameDomain {
		// Pages of other failure domains are paced to the byte rate of control traffic.
		f.notBefore = m.now.Add(time.Duration(float64(bytes) / float64(m.limiter.Limit()) * float64(time.Second)))
	}
}
