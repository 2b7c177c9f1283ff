package membership

import (
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/member"
)

// PageHosts is the largest number of members in one page; a page is then at most about 50 KB and mostly under 16 KB.
const PageHosts = 256

const (
	fetchTimeout  = 5 * time.Second
	fetchRetry    = 500 * time.Millisecond // after a peer that could not be asked
	fetchInterval = 30 * time.Second       // between full lists that are fetched after a partition
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

// fetch is the progress of reading the full member list.
type fetch struct {
	wanted  bool
	done    bool           // the first full list is complete
	peer    netip.AddrPort // the only peer to ask, which is on the other side of a healed partition; not valid for any
	waiting netip.AddrPort // the peer that was asked, not valid for none
	after   Cursor
	news    int // members that this list brought
	started time.Time
	next    time.Time // not before this time
	ended   time.Time
}

// PageOf returns the page of a view that a peer asked for.
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

// healFetch decides whether a message is a reason to read the full list of its sender: an ack of a member that was not
// reachable means that a partition healed.
func (m *Machine) healFetch(sender *record, wasReachable bool, k Kind) {
	f := &m.fetch
	if sender == nil || sender.index < 0 || wasReachable || k != KindAck || f.wanted || m.now.Sub(f.ended) < fetchInterval {
		return
	}
	m.fetch = fetch{wanted: true, done: true, peer: sender.host.Address, started: m.now}
}

func (m *Machine) tickFetch() {
	f := &m.fetch
	if !f.wanted || m.now.Before(f.next) {
		return
	}
	if f.waiting.IsValid() && f.peer.IsValid() {
		m.fetch = fetch{done: true, ended: m.now} // no answer; the next contact starts again
		return
	}
	if f.waiting = f.peer; !f.peer.IsValid() {
		f.waiting = m.fetchPeer()
	}
	if f.waiting.IsValid() {
		f.next = m.now.Add(fetchTimeout)
		m.out.FetchMembers(f.waiting, MembersRequest{FailureDomain: m.self.FailureDomain, After: f.after})
	}
}

// fetchPeer picks a member, if possible of the own failure domain, or a hint.
func (m *Machine) fetchPeer() netip.AddrPort {
	switch {
	case len(m.near) > 0:
		return m.near[m.random.IntN(len(m.near))].host.Address
	case len(m.far) > 0:
		return m.far[m.random.IntN(len(m.far))].host.Address
	case len(m.hints) > 0:
		return m.hints[m.random.IntN(len(m.hints))]
	}
	return netip.AddrPort{}
}

// endFetch finishes a list. Reachable members that were not in it are probed next, since the peers may have forgotten
// them as dead.
func (m *Machine) endFetch() {
	f := m.fetch
	m.fetch = fetch{done: true, ended: m.now}
	m.agreement.listed(f.news > 0)
	for _, list := range [][]*record{m.near, m.far} {
		for _, r := range list {
			if r.listedAt.Before(f.started) && len(m.probeList) <= 2*len(m.sorted) {
				m.probeList = append(m.probeList, r)
			}
		}
	}
}

// ReceiveMembers takes a page that came from the peer that was asked last, or nil if that peer could not be asked;
// other pages are ignored.
func (m *Machine) ReceiveMembers(from netip.AddrPort, r *MembersReply) {
	f := &m.fetch
	if !f.wanted || !f.waiting.IsValid() || f.waiting != from || m.departed {
		return
	}
	if r == nil {
		f.next = m.now.Add(fetchRetry)
		return
	}
	how := sourceJoin
	if f.peer.IsValid() {
		how = sourceGossip
	}
	bytes, isNear := 0, true
	for _, h := range r.Hosts {
		bytes += HostSize(h)
		isNear = isNear && h.FailureDomain == m.self.FailureDomain
		if m.records[h.Incarnation] == nil && !isGone(h.State) && h.Incarnation != m.self.Incarnation {
			f.news++
		}
		m.merge(h, how)
		if k := m.records[h.Incarnation]; k != nil {
			k.listedAt = m.now
		}
	}
	if r.Last || r.Next == f.after {
		m.endFetch()
		return
	}
	f.waiting = netip.AddrPort{}
	f.after = r.Next
	f.next = m.now
	if !isNear {
		// Pages of other failure domains are paced to the byte rate of control traffic.
		f.next = m.now.Add(time.Duration(float64(bytes) / float64(m.limiter.Limit()) * float64(time.Second)))
	}
}
