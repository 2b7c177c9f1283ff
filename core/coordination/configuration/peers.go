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
	// ReaderCount is the number of members of a failure domain that watch the store. The second one covers the 4 s until
	// the death of the first is noticed; more would only cost the store watches.
	ReaderCount = 2
	// fetchTimeout ends a fetch whose peer became silent, early enough to ask another one within the 4 s in which a
	// version must be in force.
	fetchTimeout = time.Second
	// remoteDelay lets the readers of the own failure domain deliver a version first, because links between failure
	// domains are expensive. A balancer without tables does not wait.
	remoteDelay = time.Second
	// retryDelay is how long a peer is left alone after a fetch from it began. Other peers are asked in the meantime.
	retryDelay = 2 * time.Second
)

// Readers returns the members that read the store for a failure domain: the rendezvous winners among the members that
// can own pool shards, at most one for each host ID, best first.
func Readers(v *member.View, domain string) []member.Host {
	ranked := Ranked(v, domain)
	return ranked[:min(ReaderCount, len(ranked))]
}

// Ranked returns the members of a failure domain that can own pool shards in the order in which they become readers, at
// most one for each host ID.
func Ranked(v *member.View, domain string) []member.Host {
	var candidates []member.Host
	for _, h := range v.Hosts {
		if h.FailureDomain == domain && h.CanOwn() {
			candidates = append(candidates, h)
		}
	}
	slices.SortFunc(candidates, func(a, b member.Host) int {
		return cmp.Or(
			cmp.Compare(readerRank(b, domain), readerRank(a, domain)),
			cmp.Compare(a.ID, b.ID),
			cmp.Compare(a.State, b.State), // of two incarnations of one host the one that is not suspect
			cmp.Compare(a.Incarnation, b.Incarnation),
		)
	})
	return slices.CompactFunc(candidates, func(a, b member.Host) bool { return a.ID == b.ID })
}

func readerRank(h member.Host, domain string) uint64 {
	return xxhash.Sum64String("reader\x00" + domain + "\x00" + h.ID)
}

// peerVersions holds what the peers announced and the one fetch under way.
type peerVersions struct {
	announced map[member.Incarnation]uint64
	offers    map[member.Incarnation]announcement // peers with a higher version than the one in force
	fetching  member.Incarnation                  // 0 without a fetch
	since     time.Time
}

type announcement struct {
	version uint64
	at      time.Time // of the first message of this offer
	nextTry time.Time // zero before the first fetch
}

func newPeerVersions() peerVersions {
	return peerVersions{
		announced: make(map[member.Incarnation]uint64),
		offers:    make(map[member.Incarnation]announcement),
	}
}

// announce records a version. The time of the first announcement is kept while the same offer stands, so that repeated
// gossip does not put off a remote fetch.
func (p *peerVersions) announce(from member.Incarnation, version, inForce uint64, now time.Time) {
	p.announced[from] = version
	if version <= inForce {
		delete(p.offers, from)
		return
	}
	if a, found := p.offers[from]; found {
		a.version = version
		p.offers[from] = a
		return
	}
	p.offers[from] = announcement{version: version, at: now}
}

// retain forgets the peers that are not in the view. Announcements may arrive before the view that adds their sender,
// so an entry of an unknown sender is kept until the next view.
func (p *peerVersions) retain(v *member.View) {
	for incarnation := range p.announced {
		if h, found := v.Lookup(incarnation); !found || !h.IsReachable() {
			delete(p.announced, incarnation)
			delete(p.offers, incarnation)
		}
	}
}

// drop forgets the offers that a version in force makes superfluous.
func (p *peerVersions) drop(inForce uint64) {
	for incarnation, a := range p.offers {
		if a.version <= inForce {
			delete(p.offers, incarnation)
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

// choose returns the peer to fetch from: of the own failure domain if possible, then the highest version.
func (p *peerVersions) choose(
	v *member.View, inForce uint64, now time.Time, skip func(version uint64) bool,
) (member.Host, bool) {
	var best member.Host
	found := false
	if p.fetching != 0 {
		return best, false
	}
	for incarnation, a := range p.offers {
		h, known := v.Lookup(incarnation)
		if !known || !h.IsReachable() || incarnation == v.Self.Incarnation || skip(a.version) {
			continue
		}
		if now.Before(a.dueAt(inForce > 0 && h.FailureDomain != v.Self.FailureDomain)) {
			continue
		}
		if !found || p.isBetter(v, h, best) {
			best, found = h, true
		}
	}
	return best, found
}

// dueAt returns when the peer may be asked.
func (a announcement) dueAt(delayed bool) time.Time {
	due := a.at
	if delayed {
		due = due.Add(remoteDelay)
	}
	if a.nextTry.After(due) {
		return a.nextTry
	}
	return due
}

func (p *peerVersions) isBetter(v *member.View, a, b member.Host) bool {
	aRemote, bRemote := a.FailureDomain != v.Self.FailureDomain, b.FailureDomain != v.Self.FailureDomain
	if aRemote != bRemote {
		return bRemote
	}
	if x, y := p.offers[a.Incarnation].version, p.offers[b.Incarnation].version; x != y {
		return x > y
	}
	x, y := spread(v.Self.Incarnation, a.Incarnation), spread(v.Self.Incarnation, b.Incarnation)
	return cmp.Or(cmp.Compare(x, y), cmp.Compare(a.Incarnation, b.Incarnation)) < 0
}

// spread orders equal peers differently on each balancer, so that they do not all ask the same one.
func spread(self, peer member.Incarnation) uint64 {
	var key [16]byte
	binary.BigEndian.PutUint64(key[:8], uint64(self))
	binary.BigEndian.PutUint64(key[8:], uint64(peer))
	return xxhash.Sum64(key[:])
}

func (p *peerVersions) beginFetch(from member.Incarnation, now time.Time) {
	a := p.offers[from]
	a.nextTry = now.Add(retryDelay)
	p.offers[from] = a
	p.fetching, p.since = from, now
}

// endFetch reports whether a fetch from the peer was under way.
func (p *peerVersions) endFetch(from member.Incarnation) bool {
	if p.fetching != from {
		return false
	}
	p.fetching = 0
	return true
}

func (p *peerVersions) expire(now time.Time) bool {
	if p.fetching == 0 || now.Sub(p.since) < fetchTimeout {
		return false
	}
	p.fetching = 0
	return true
}
