// Package spread distributes the state of the store to the balancers of a failure domain from few readers, without
// consensus among the balancers.
//
// # Rules
//
// The balancer with the highest rendezvous rank among those of the highest weight of a failure domain is its reader: it
// reads the store continuously and announces its state, also when nothing has changed. Announcements are forwarded along a
// tree that each balancer computes from its own view of the members. Every balancer records the time at which its state was last known to be
// the newest. If that time is too long ago, for whatever reason, the balancer reads the store itself and announces the
// result; balancers with a better rank do so earlier. If the views of balancers differ, they therefore read the store
// more often than needed, but never keep an old state.
//
// # Usage
//
//	limits := spread.Limits{Configuration: 2 * time.Second, Endpoints: 2700 * time.Millisecond}
//	p := spread.New(incarnation, failureDomain, limits)
//	p.SetView(view)
//	if p.ReadsConfiguration(now) { ... p.ConfirmConfiguration(asOf) }
//	for _, to := range p.Children(announcement.Reader) { ... }
//
// A Plan starts no goroutine, reads no clock and takes no lock.
package spread

import (
	"cmp"
	"slices"
	"time"

	"cornellb/core/coordination/configuration"
	"cornellb/core/coordination/discovery"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

const (
	// fanout is the number of balancers to which each one forwards an announcement. The 700 balancers of a failure
	// domain at the deployment size expected in two years are reached in 5 steps, with 8 x 100 bytes sent by each.
	fanout = 8
	// rankDelay is the additional delay for each rank before a balancer reads the store itself. The balancer next in
	// rank takes over alone, as its announcement ends the wait of the others.
	rankDelay = 150 * time.Millisecond
	// maxRankDelay bounds this delay for the balancers of low rank.
	maxRankDelay = 450 * time.Millisecond
	// maxReaders bounds the number of readers whose last sequence number is kept.
	maxReaders = 64
)

// Limits hold the age of the known state at which a balancer reads the store itself.
type Limits struct {
	Configuration time.Duration
	Endpoints     time.Duration
	Evacuations   time.Duration
}

// Announcement is the state that a reader announces to the balancers of its failure domain.
type Announcement struct {
	Reader      member.Incarnation
	Sequence    uint64        // rises with each announcement of the reader
	Version     uint64        // of the configuration in force at the reader
	VersionAge  time.Duration // since this version was known to be the newest
	Revision    uint64        // of the store, up to which the reader knows the endpoints
	RevisionAge time.Duration // since all changes of endpoints were known
	Base        uint64        // Changes holds all changes after this revision
	Changes     []discovery.Change
	LapsedFor   time.Duration // how long endpoints whose registration lapsed during an outage of the store stay usable
	Era         uint64        // of Revision, Base and Changes

	Evacuations    *directory.Evacuations // nil if the reader does not know them
	EvacuationsAge time.Duration          // since they were last known to be the newest
}

// Plan decides whether a balancer reads the store and to which balancers it forwards announcements.
type Plan struct {
	self          member.Incarnation
	failureDomain string
	members       []member.Host // of the failure domain, best rank first
	rank          int           // index of this balancer in members, -1 if it is not among them
	configuration freshness
	endpoints     freshness
	evacuations   freshness
	lastSequences map[member.Incarnation]uint64 // highest sequence number received, by reader
	sequence      uint64                        // of this balancer's last announcement
}

// New returns the plan of a balancer that knows no others, and therefore reads the store itself.
func New(self member.Incarnation, failureDomain string, l Limits) *Plan {
	return &Plan{
		self: self, failureDomain: failureDomain, lastSequences: make(map[member.Incarnation]uint64),
		configuration: freshness{limit: l.Configuration}, endpoints: freshness{limit: l.Endpoints},
		evacuations: freshness{limit: l.Evacuations},
	}
}

// SetLimits replaces the limits.
func (p *Plan) SetLimits(l Limits) {
	p.configuration.limit, p.endpoints.limit = l.Configuration, l.Endpoints
	p.evacuations.limit = l.Evacuations
}

// SetView replaces the view of the members.
func (p *Plan) SetView(v *member.View) {
	p.members = configuration.RankReaders(v, p.failureDomain)
	// Members with the same weight keep their rendezvous rank. The first ones read the store and relay most announcements.
	slices.SortStableFunc(p.members, func(a, b member.Host) int { return cmp.Compare(b.DutyWeight(), a.DutyWeight()) })
	p.rank = slices.IndexFunc(p.members, func(h member.Host) bool { return h.Incarnation == p.self })
	for reader := range p.lastSequences {
		if _, ok := v.Lookup(reader); !ok {
			delete(p.lastSequences, reader)
		}
	}
}

// IsReader reports whether this balancer reads the store for its failure domain.
func (p *Plan) IsReader() bool { return p.rank <= 0 }

// freshness records how old one part of the known state is.
type freshness struct {
	limit        time.Duration // age at which the balancer takes over reading
	asOf         time.Time     // when the state was last known to be the newest
	waitFrom     time.Time     // when the process began to wait for announcements
	hasTakenOver bool          // reads although it is not the reader, as no fresh announcement has arrived
}

// ReadsConfiguration reports whether this balancer reads the configuration from the store now. A balancer that has
// taken over continues until it receives a fresh announcement of one with a better rank.
func (p *Plan) ReadsConfiguration(now time.Time) bool { return p.reads(now, &p.configuration) }

// ReadsEndpoints reports whether this balancer reads the endpoints from the store now.
func (p *Plan) ReadsEndpoints(now time.Time) bool { return p.reads(now, &p.endpoints) }

func (p *Plan) reads(now time.Time, k *freshness) bool {
	if now.Sub(k.asOf) > k.limit+p.delay() && now.Sub(k.waitFrom) > k.limit+p.delay() {
		k.hasTakenOver = true
	}
	return p.IsReader() || k.hasTakenOver
}

// delay returns how much longer than the limit this balancer waits before it takes over.
func (p *Plan) delay() time.Duration {
	return min(time.Duration(max(p.rank-1, 0))*rankDelay, maxRankDelay)
}

const (
	// firstRetryDelay is the wait of the reader after a failed call to the store; it doubles with each further one up to
	// maxRetryDelay.
	firstRetryDelay = 100 * time.Millisecond
	maxRetryDelay   = time.Second
	// candidates is the number of balancers that call an unavailable store as often as the reader. The others need the
	// result of one of them only; without a bound, a store that returns is met by calls in proportion to the balancers.
	candidates = 4
	// maxRetryFactor bounds the factor by which the waits of the others are longer. It leaves them an attempt within the
	// limit for applying a configuration in case the store refuses all candidates.
	maxRetryFactor = 3
)

// RetryDelay returns how long this balancer waits after a number of failed calls to the store in a row.
func (p *Plan) RetryDelay(failures int) time.Duration {
	rank := max(p.rank, 0)
	first := min(firstRetryDelay*time.Duration(1+rank), maxRetryDelay)
	limit := maxRetryDelay * time.Duration(min(max(rank/candidates, 1), maxRetryFactor))
	return min(first<<min(max(failures-1, 0), 8), limit)
}

// ConfirmConfiguration records that the known configuration was the newest at the given time.
func (p *Plan) ConfirmConfiguration(at time.Time) { p.configuration.confirm(at) }

// ConfirmEndpoints records that all changes of endpoints up to the given time are known.
func (p *Plan) ConfirmEndpoints(at time.Time) { p.endpoints.confirm(at) }

func (k *freshness) confirm(at time.Time) {
	if at.After(k.asOf) {
		k.asOf = at
	}
}

// MarkStarted records that the process has tried once to read everything from the store, with or without success. From
// then on the balancer waits for announcements if it is not the reader. What it knows does not count as the newest for
// that: the reads may have failed, and the list may be old.
func (p *Plan) MarkStarted(now time.Time) {
	for _, k := range []*freshness{&p.configuration, &p.endpoints, &p.evacuations} {
		k.waitFrom, k.hasTakenOver = now, false
	}
}

// Ages returns the time since the configuration and the endpoints were last known to be the newest.
func (p *Plan) Ages(now time.Time) (configuration, endpoints time.Duration) {
	return now.Sub(p.configuration.asOf), now.Sub(p.endpoints.asOf)
}

// Complete sets the reader, the sequence number and the ages of an announcement of this balancer.
func (p *Plan) Complete(now time.Time, a *Announcement) {
	p.sequence++
	a.Reader, a.Sequence = p.self, p.sequence
	a.VersionAge, a.RevisionAge = p.Ages(now)
}

// Accept reports whether an announcement is newer than the last one of its reader, and records its sequence number. It
// reports false for announcements of this balancer, and for those of further readers while maxReaders are known. An
// announcement that is refused is not to be forwarded.
func (p *Plan) Accept(a *Announcement) bool {
	if a.Reader == p.self || a.Sequence <= p.lastSequences[a.Reader] {
		return false
	}
	if _, ok := p.lastSequences[a.Reader]; !ok && len(p.lastSequences) >= maxReaders {
		return false
	}
	p.lastSequences[a.Reader] = a.Sequence
	return true
}

// Position returns the store's position up to which the reader knows the endpoints.
func (a *Announcement) Position() directory.Position {
	return directory.Position{Era: a.Era, Revision: a.Revision}
}

// UpdateAges updates the ages after an announcement was applied. version and position are those that this balancer
// knows now. An announcement of another era says nothing about the age of its endpoints.
func (p *Plan) UpdateAges(received time.Time, a *Announcement, version uint64, position directory.Position) {
	isBetter := p.rankOf(a.Reader) < p.rank
	if version >= a.Version {
		p.configuration.update(received, a.VersionAge, isBetter)
	}
	if position.Era == a.Era && position.Revision >= a.Revision {
		p.endpoints.update(received, a.RevisionAge, isBetter)
	}
}

func (k *freshness) update(received time.Time, age time.Duration, isBetter bool) {
	k.confirm(received.Add(-age))
	if isBetter && age <= k.limit/2 {
		k.hasTakenOver = false
	}
}

// rankOf returns the rank of a member, or a rank after all others if the member is unknown.
func (p *Plan) rankOf(i member.Incarnation) int {
	if rank := slices.IndexFunc(p.members, func(h member.Host) bool { return h.Incarnation == i }); rank >= 0 {
		return rank
	}
	return len(p.members)
}

// Children returns the members to which this balancer forwards an announcement of a reader. The members are numbered by
// rank with the reader first; member i forwards to the members fanout*i+1 to fanout*(i+1).
func (p *Plan) Children(reader member.Incarnation) []member.Host {
	order := make([]member.Host, 0, len(p.members))
	own := -1
	root := slices.IndexFunc(p.members, func(h member.Host) bool { return h.Incarnation == reader })
	if root < 0 {
		return nil // the reader is not in this balancer's view; other members forward its announcement
	}
	order = append(order, p.members[root])
	for i, h := range p.members {
		if i != root {
			order = append(order, h)
		}
	}
	for i, h := range order {
		if h.Incarnation == p.self {
			own = i
		}
	}
	if own < 0 {
		return nil
	}
	first := min(fanout*own+1, len(order))
	return order[first:min(first+fanout, len(order))]
}
