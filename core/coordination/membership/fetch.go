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
	fetchInterval = 30 * time.Second // between full lists that are fetched after a partition
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
	peer    netip.AddrPort // the only peer to ask, not valid for any
	waiting netip.AddrPort // the peer that was asked, not valid for none
	after   Cursor
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

// startFetch decides whether a message is a reason to read the full list: the first contact of a process, or an ack
// from a member that was not reachable, which means that a partition healed.
func (m *Machine) startFetch(sender *record, wasReachable bool, k Kind) {
	f := &m.fetch
	if sender == nil || sender.index < 0 || f.wanted {
		return
	}
	if !f.done {
		f.wanted = true
		return
	}
	if !wasReachable && k == KindAck && m.now.Sub(f.ended) >= fetchInterval {
		m.fetch = fetch{wanted: true, done: true, peer: sender.host.Address}
	}
}

func (m *Machine) tickFetch() {
	f := &m.fetch
	if !f.wanted || m.now.Before(f.next) {
		return
	}
	if f.waiting.IsValid() && f.peer.IsValid() {
		m.endFetch() // the peer of a healed partition did not answer; the next contact starts again
		return
	}
	f.waiting = f.peer
	if !f.peer.IsValid() {
		r := m.randomMember()
		if len(m.near) > 0 {
			r = m.near[m.random.IntN(len(m.near))]
		}
		if r == nil {
			return
		}
		f.waiting = r.host.Address
	}
	f.next = m.now.Add(fetchTimeout)
	m.out.FetchMembers(f.waiting, MembersRequest{FailureDomain: m.self.FailureDomain, After: f.after})
}

func (m *Machine) endFetch() { m.fetch = fetch{done: true, ended: m.now} }

// ReceiveMembers takes a page that came from the peer that was asked last; other pages are ignored.
func (m *Machine) ReceiveMembers(from netip.AddrPort, r *MembersReply) {
	f := &m.fetch
	if !f.wanted || !f.waiting.IsValid() || f.waiting != from || m.departed {
		return
	}
	how := sourceGossip
	if !f.done {
		how = sourceJoin
	}
	bytes, isNear := 0, true
	for _, h := range r.Hosts {
		bytes += HostSize(h)
		isNear = isNear && h.FailureDomain == m.self.FailureDomain
		m.merge(h, how)
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
