// Package warmup decides which balancer may open flows on an endpoint that is cold, and how many in a second.
//
// # Rules
//
// Only the owner of a cold endpoint opens flows on it: the balancer that ranks first for the endpoint among the members
// of the endpoint's failure domain, in its own view of the members. Views differ while news of members spreads, and
// balancers may be cut off from each other, so that there may be two or three owners for a time. Each therefore opens at most a
// third of what the endpoint may get, and a balancer uses what it owns only under conditions under which other balancers do not
// use it as well, see Ownership. If no balancer can be sure to be the owner, the endpoint gets no flows until it is warm.
//
// # Usage
//
//	o := warmup.New(failureDomain)
//	o.SetPeers(true)
//	o.SetView(now, view)
//	o.RecordContact(now, sender.FailureDomain) // for each message from another balancer
//	o.Tick(now)                                // about every 100 ms
//	claim := warmup.NewClaim(endpoint.ID, endpoint.FailureDomain)
//	if o.Owns(now, &claim) && limiter.Allows(now, warmup.Share(rate, overshoot, slack)) {
//		limiter.Record(now)
//	}
//
// The types start no goroutine, read no clock and take no lock.
package warmup

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/member"
)

const (
	// waitTime is how long a balancer must have ranked first, under all conditions, before it opens flows. News of members
	// takes up to 1.5 s to reach the former owner. It is too short if a former owner is cut off before this balancer has
	// learned of it, see "Not kept" in docs/design/cold-endpoints.md.
	waitTime = 2 * time.Second
	// memberWindow is the time over which the largest number of members is kept. A part of a failure domain that is cut
	// off becomes an owner only after it.
	memberWindow = 30 * time.Second
	// startTime is the time after the start of a process during which it learns the members page by page. Each new member
	// of the failure domain then starts the wait anew.
	startTime = 30 * time.Second
	// contactLimit is the time without a message after which a balancer counts as cut off. Reports arrive every second. It
	// is shorter than the time in which the others declare this balancer dead, while a lone balancer of many takes minutes
	// to find that it reaches none of them.
	contactLimit = 3 * time.Second
	// pauseLimit is the time without a call after which the process counts as having been paused, so that its view may be
	// old. Ticks are 100 ms apart.
	pauseLimit = 500 * time.Millisecond
)

// Ownership decides which endpoints a balancer owns. A balancer uses its ownership of an endpoint if all of this has held
// for waitTime without interruption:
//
//   - It ranks first among the members of the endpoint's failure domain that are alive or suspect.
//   - More than half of the largest number of members of its failure domain in the last memberWindow are alive.
//   - It reaches another balancer, and has had a message of one in the last contactLimit: from its own failure domain if
//     others there are alive.
//   - The process was not paused.
//
// A process whose settings name no other balancer, and that has seen none for memberWindow, owns all endpoints.
type Ownership struct {
	failureDomain string
	hasPeers      bool
	self          member.Host
	rivals        []rival // other members of the failure domain that may be owners, or were in the last waitTime
	rivalExpiry   time.Time
	generation    uint64 // increases when rivals change
	alive         int    // members of the failure domain that are alive, this one included
	members       int    // members of the failure domain that are alive or suspect, this one included
	pastMembers   []pastCount
	others        int // balancers in all failure domains that are alive or suspect, without this one
	othersAlive   int // those that are alive

	startedAt   time.Time // of the first call
	observedAt  time.Time // of the last call
	contactAt   time.Time // of the last message from the failure domain
	messageAt   time.Time // of the last message from any balancer
	othersAt    time.Time // until when a former view held another balancer; zero if none did
	steadySince time.Time // since when the conditions that do not depend on the endpoint hold; zero if they do not
}

// rival is another member that may own an endpoint.
type rival struct {
	host       member.Host
	hash       uint64
	departedAt time.Time // zero while it is in the view
}

// pastCount is a former number of members, and the time until which it was the present one.
type pastCount struct {
	until   time.Time
	members int
}

// New returns the Ownership of a balancer that knows no others.
func New(failureDomain string) *Ownership {
	return &Ownership{failureDomain: failureDomain, generation: 1}
}

// Clone returns a copy that shares no state with o, to ask what o would decide without changing it.
func (o *Ownership) Clone() *Ownership {
	c := *o
	c.rivals, c.pastMembers = slices.Clone(o.rivals), slices.Clone(o.pastMembers)
	return &c
}

// SetPeers sets whether the settings name other balancers.
func (o *Ownership) SetPeers(hasPeers bool) { o.hasPeers = hasPeers }

// SetView replaces the view of the members.
func (o *Ownership) SetView(now time.Time, v *member.View) {
	o.Tick(now)
	if o.self.Incarnation != v.Self.Incarnation {
		o.generation++
	}
	o.self = v.Self
	o.countMembers(now, v)
	present := make(map[member.Incarnation]bool, o.members)
	for _, h := range v.Hosts {
		if o.isRival(h) {
			present[h.Incarnation] = true
		}
	}
	o.updateRivals(now, v, present)
	o.Tick(now)
}

// isRival reports whether a member may own endpoints of the failure domain besides this balancer.
func (o *Ownership) isRival(h member.Host) bool {
	return h.CanOwn() && h.FailureDomain == o.failureDomain && h.Incarnation != o.self.Incarnation
}

func (o *Ownership) countMembers(now time.Time, v *member.View) {
	if o.others > 0 {
		o.othersAt = now
	}
	o.others, o.othersAlive = 0, 0
	alive, members := 1, 1
	for _, h := range v.Hosts {
		if h.Incarnation == o.self.Incarnation || !h.CanOwn() {
			continue
		}
		o.others++
		isAlive := h.State == member.StateAlive
		if isAlive {
			o.othersAlive++
		}
		if h.FailureDomain != o.failureDomain {
			continue
		}
		members++
		if isAlive {
			alive++
		}
	}
	if o.members > members {
		o.recordPast(now, o.members)
	}
	o.alive, o.members = alive, members
}

// recordPast records that there were more members until now. Lower former numbers no longer matter.
func (o *Ownership) recordPast(now time.Time, members int) {
	n := len(o.pastMembers)
	for n > 0 && o.pastMembers[n-1].members <= members {
		n--
	}
	o.pastMembers = append(o.pastMembers[:n], pastCount{now, members})
}

// updateRivals adds the rivals that are new in a view, and marks those that are no longer in it.
func (o *Ownership) updateRivals(now time.Time, v *member.View, present map[member.Incarnation]bool) {
	for i := range o.rivals {
		r := &o.rivals[i]
		switch {
		case present[r.host.Incarnation]:
			r.departedAt = time.Time{}
			delete(present, r.host.Incarnation)
		case r.departedAt.IsZero():
			r.departedAt = now
			if o.rivalExpiry.IsZero() {
				o.rivalExpiry = now.Add(waitTime)
			}
		}
	}
	if len(present) == 0 {
		return
	}
	for _, h := range v.Hosts {
		if present[h.Incarnation] {
			o.rivals = append(o.rivals, rival{host: h, hash: xxhash.Sum64String(h.ID)})
		}
	}
	o.generation++
	if now.Sub(o.startedAt) <= startTime {
		o.steadySince = time.Time{}
	}
}

// expireRivals removes the rivals that have not been in the view for waitTime.
func (o *Ownership) expireRivals(now time.Time) {
	kept := o.rivals[:0]
	o.rivalExpiry = time.Time{}
	for _, r := range o.rivals {
		if !r.departedAt.IsZero() {
			expiry := r.departedAt.Add(waitTime)
			if now.After(expiry) {
				continue
			}
			if o.rivalExpiry.IsZero() || expiry.Before(o.rivalExpiry) {
				o.rivalExpiry = expiry
			}
		}
		kept = append(kept, r)
	}
	if len(kept) < len(o.rivals) {
		o.generation++
	}
	clear(o.rivals[len(kept):])
	o.rivals = kept
}

// RecordContact records a message from another balancer.
func (o *Ownership) RecordContact(now time.Time, failureDomain string) {
	o.Tick(now) // before, as a gap since the last message starts the wait anew
	o.messageAt = now
	if failureDomain == o.failureDomain {
		o.contactAt = now
	}
	o.Tick(now)
}

// Tick checks the conditions that do not depend on an endpoint.
func (o *Ownership) Tick(now time.Time) {
	if o.startedAt.IsZero() {
		o.startedAt, o.observedAt = now, now
	}
	if now.Sub(o.observedAt) > pauseLimit {
		o.steadySince = time.Time{}
	}
	o.observedAt = now
	if !o.rivalExpiry.IsZero() && now.After(o.rivalExpiry) {
		o.expireRivals(now)
	}
	switch {
	case !o.isAlone(now) && !o.hasMajority(now):
		o.steadySince = time.Time{}
	case o.steadySince.IsZero():
		o.steadySince = now
	}
}

// isAlone reports whether this is the only balancer of its deployment.
func (o *Ownership) isAlone(now time.Time) bool {
	return !o.hasPeers && o.others == 0 && (o.othersAt.IsZero() || now.Sub(o.othersAt) > memberWindow)
}

// hasMajority reports whether this balancer reaches more than half of the members of its failure domain, and at least
// one other balancer of any.
func (o *Ownership) hasMajority(now time.Time) bool {
	if o.othersAlive == 0 || !o.self.CanOwn() || 2*o.alive <= o.largest(now) {
		return false
	}
	at := o.contactAt
	if o.alive == 1 {
		at = o.messageAt
	}
	return !at.IsZero() && now.Sub(at) <= contactLimit
}

// largest returns the largest number of members of the failure domain in the last memberWindow.
func (o *Ownership) largest(now time.Time) int {
	for len(o.pastMembers) > 0 && now.Sub(o.pastMembers[0].until) > memberWindow {
		o.pastMembers = o.pastMembers[1:]
	}
	if len(o.pastMembers) == 0 {
		return o.members
	}
	return max(o.members, o.pastMembers[0].members)
}

// Claim is the claim of a balancer to a cold endpoint.
type Claim struct {
	hash          uint64
	failureDomain string
	generation    uint64 // of the Ownership when ranksFirst was computed
	ranksFirst    bool
}

// NewClaim returns the claim to an endpoint.
func NewClaim(endpoint, failureDomain string) Claim {
	return Claim{hash: xxhash.Sum64String(endpoint), failureDomain: failureDomain}
}

// Owns reports whether this balancer may open flows on a cold endpoint.
func (o *Ownership) Owns(now time.Time, c *Claim) bool {
	if now != o.observedAt { // the candidates for one flow are asked for at the same time
		o.Tick(now)
	}
	if o.steadySince.IsZero() || now.Sub(o.steadySince) <= waitTime {
		return false
	}
	if o.isAlone(now) {
		return true
	}
	if c.failureDomain != o.failureDomain {
		return false
	}
	if c.generation != o.generation {
		c.ranksFirst, c.generation = o.ranksFirst(c.hash), o.generation
	}
	return c.ranksFirst
}

// ranksFirst reports whether no rival ranks before this balancer for an endpoint.
func (o *Ownership) ranksFirst(endpoint uint64) bool {
	own := score(endpoint, xxhash.Sum64String(o.self.ID))
	for i := range o.rivals {
		r := &o.rivals[i]
		if r.host.ID == o.self.ID {
			if isLater(r.host, o.self) {
				return false
			}
			continue
		}
		if s := score(endpoint, r.hash); s > own || s == own && r.host.ID < o.self.ID {
			return false
		}
	}
	return true
}

// isLater reports whether a is a later incarnation of the same host than b.
func isLater(a, b member.Host) bool {
	return a.StartedAt > b.StartedAt || a.StartedAt == b.StartedAt && a.Incarnation > b.Incarnation
}

func score(endpoint, host uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], endpoint)
	binary.LittleEndian.PutUint64(b[8:], host)
	return xxhash.Sum64(b[:])
}
