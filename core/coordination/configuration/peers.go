package configuration

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/member"
)

const (
	// ReaderCount is the number of members of a failure domain that watch the store. The second reader covers the 4 s
	// until the failure of the first is detected; more readers would only add watches to the load of the store.
	ReaderCount = 2
	// fetchTimeout ends a fetch that got no reply. It is short enough to ask another peer within the 4 s in which a
	// version must be in force everywhere.
	fetchTimeout = time.Second
	// remoteDelay is how long a balancer waits before it fetches a version from a peer in another failure domain,
	// because links between failure domains are expensive and the readers of the local one usually have the version
	// sooner. A balancer without tables does not wait.
	remoteDelay = time.Second
	// retryDelay is the minimum time between the starts of two fetches from the same peer. Other peers may be asked in
	// the meantime.
	retryDelay = 2 * time.Second
)

// Readers returns the members that read the store for a failure domain: the ReaderCount members with the highest
// rendezvous hash weight among those that can own pool shards, at most one for each host ID, highest weight first.
func Readers(v *member.View, domain string) []member.Host {
	ranked := RankReaders(v, domain)
	return ranked[:min(ReaderCount, len(ranked))]
}

// RankReaders returns the members of a failure domain that can own pool shards, at most one for each host ID, by
// descending rendezvous hash weight. The first ReaderCount of them are the readers.
func RankReaders(v *member.View, domain string) []member.Host {
	var candidates []member.Host
	for _, h := range v.Hosts {
		if h.FailureDomain == domain && h.CanOwn() {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b member.Host) int {
		return cmp.Or(
			cmp.Compare(readerWeight(b, domain), readerWeight(a, domain)),
			cmp.Compare(a.ID, b.ID),
			cmp.Compare(a.State, b.State), // prefer the incarnation of a host that is not suspect
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return slices.CompactFunc(candidates, func(a, b member.Host) bool { return a.ID == b.ID })
}

func readerWeight(h member.Host, domain string) uint64 {
	return xxhash.Sum64String("reader\x00" + domain + "\x00" + h.ID)
}

// peerVersions holds the versions that the peers announced and the fetch in progress, of which there is at most one.
type peerVersions struct {
	announced    map[member.Incarnation]uint64       // last announced version of each peer
	candidates   map[member.Incarnation]announcement // peers that announced a higher version than the one in force
	nextTry      map[member.Incarnation]time.Time    // earliest time of the next fetch from a peer that was asked
	fetchingFrom member.Incarnation                  // peer of the fetch in progress; 0 if there is none
	fetchStarted time.Time
}

type announcement struct {
	version   uint64
	firstSeen time.Time // when the peer first announced a version higher than the one in force
}

func newPeerVersions() peerVersions {
	return peerVersions{
		announced:  make(map[member.Incarnation]uint64),
		candidates: make(map[member.Incarnation]announcement),
		nextTry:    make(map[member.Incarnation]time.Time),
	}
}

// announce records the version that a peer announced. While the peer stays a candidate, the time of its first
// announcement is kept, so that repeated gossip does not postpone a fetch from another failure domain. The time of the
// next fetch is kept in any case: an old announcement of a lower version may arrive late.
func (p *peerVersions) announce(from member.Incarnation, version, inForce uint64, now time.Time) {
	p.announced[from] = version
	if version <= inForce {
		delete(p.candidates, from)
		return
	}
	if a, found := p.candidates[from]; found {
		a.version = version
		p.candidates[from] = a
		return
	}
	p.candidates[from] = announcement{version: version, firstSeen: now}
}

// retain removes the peers that are not in the view or not reachable. It runs only when the view changes: an
// announcement may arrive before the view that adds its sender, and is kept until the next view.
func (p *peerVersions) retain(v *member.View) {
	for incarnation := range p.announced {
		if h, found := v.Lookup(incarnation); !found || !h.IsReachable() {
			delete(p.announced, incarnation)
			delete(p.candidates, incarnation)
			delete(p.nextTry, incarnation)
		}
	}
}

// dropUpTo removes the candidates whose version is not higher than the version in force. The next version of a peer
// whose last one is in force may be fetched at once.
func (p *peerVersions) dropUpTo(inForce uint64) {
	for incarnation, version := range p.announced {
		if version <= inForce {
			delete(p.candidates, incarnation)
			delete(p.nextTry, incarnation)
		}
	}
}

func (p *peerVersions) highest() uint64 {
	var highest uint64
	for _, version := range p.announced {
		highest = max(highest, version)
	}
	return highest
}

// choosePeer returns the peer to fetch from, if one is due and no fetch is in progress. Peers in the local failure
// domain are preferred, then the highest version. Versions for which skip returns true are left out.
func (p *peerVersions) choosePeer(
	v *member.View, inForce uint64, now time.Time, skip func(version uint64) bool,
) (member.Host, bool) {
	var best member.Host
	found := false
	if p.fetchingFrom != 0 {
		return best, false
	}
	for incarnation, a := range p.candidates {
		h, known := v.Lookup(incarnation)
		if !known || !h.IsReachable() || incarnation == v.Self.Incarnation || skip(a.version) {
			continue
		}
		isDelayed := inForce > 0 && h.FailureDomain != v.Self.FailureDomain
		if now.Before(a.dueAt(isDelayed)) || now.Before(p.nextTry[incarnation]) {
			continue
		}
		if !found || p.isBetter(v, h, best) {
			best, found = h, true
		}
	}
	return best, found
}

// dueAt returns the earliest time at which the first fetch from the peer may start. delayed adds remoteDelay.
func (a announcement) dueAt(delayed bool) time.Time {
	if delayed {
		return a.firstSeen.Add(remoteDelay)
	}
	return a.firstSeen
}

func (p *peerVersions) isBetter(v *member.View, a, b member.Host) bool {
	aRemote, bRemote := a.FailureDomain != v.Self.FailureDomain, b.FailureDomain != v.Self.FailureDomain
	if aRemote != bRemote {
		return bRemote
	}
	if x, y := p.candidates[a.Incarnation].version, p.candidates[b.Incarnation].version; x != y {
		return x > y
	}
	x, y := peerHash(v.Self.Incarnation, a.Incarnation), peerHash(v.Self.Incarnation, b.Incarnation)
	return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Incarnation, b.Incarnation)) < 0
}

// peerHash orders otherwise equal peers. The order differs between balancers, so that they do not all ask the same
// peer.
func peerHash(self, peer member.Incarnation) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(self))
	binary.BigEndian.PutUint64(key[8:], uint64(peer))
	return xxhash.Sum64(key[:])
}

func (p *peerVersions) beginFetch(from member.Incarnation, now time.Time) {
	p.nextTry[from] = now.Add(retryDelay)
	p.fetchingFrom, p.fetchStarted = from, now
}

// endFetch ends the fetch from the peer and reports whether one was in progress.
func (p *peerVersions) endFetch(from member.Incarnation) bool {
	if p.fetchingFrom != from {
		return false
	}
	p.fetchingFrom = 0
	return true
}

// expireFetch ends a fetch that exceeded fetchTimeout and reports whether there was one.
func (p *peerVersions) expireFetch(now time.Time) bool {
	if p.fetchingFrom == 0 || now.Sub(p.fetchStarted) < fetchTimeout {
		return false
	}
	p.fetchingFrom = 0
	return true
}
