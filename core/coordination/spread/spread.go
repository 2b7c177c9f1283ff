// Package spread keeps the balancers of a failure domain up to date from few readers of the store, without agreement.
//
// # Rules
//
// The balancer with the highest rendezvous rank of a failure domain is its reader: it reads the store all the time and
// announces what it knows, also when nothing has changed. Announcements travel along a tree whose order each balancer
// computes from its own view of the members. Every balancer keeps the time as of which its knowledge was the newest. If
// that time is too long ago, for whatever reason, the balancer reads the store itself and announces the result; those
// next in rank begin first. Differing views therefore cost calls of the store, and never an old state.
//
// # Usage
//
//	p := spread.New(incarnation, failureDomain, spread.Limits{Configuration: 2 * time.Second, Endpoints: 2700 * time.Millisecond})
//	p.SetView(view)
//	if p.ReadsConfiguration(now) { ... p.ConfirmConfiguration(asOf) }
//	for _, to := range p.Next(announcement.Reader) { ... }
//
// A Plan starts no goroutine, reads no clock and takes no lock.
package spread

import (
	"slices"
	"time"

	"cornellb/core/coordination/configuration"
	"cornellb/core/coordination/discovery"
	"cornellb/core/state/member"
)

const (
	// fanout is the number of balancers that each one passes an announcement on to. The 700 balancers of a failure domain
	// at the two-year size are reached in 5 steps, for 8 x 100 bytes at each one.
	fanout = 8
	// rankDelay lets the balancer next in rank take over alone: its announcement ends the wait of the others.
	rankDelay = 150 * time.Millisecond
	// maxRankDelay bounds the delay of the last one.
	maxRankDelay = 450 * time.Millisecond
	// maxReaders bounds the announcements that are remembered.
	maxReaders = 64
)

// Limits say how old knowledge may be before a balancer reads the store itself.
type Limits struct {
	Configuration time.Duration
	Endpoints     time.Duration
}

// Announcement is what a reader knows.
type Announcement struct {
	Reader      member.Incarnation
	Sequence    uint64        // rises with each announcement of the reader
	Version     uint64        // of the configuration
	VersionAge  time.Duration // since the version was known to be the newest
	Revision    uint64        // up to which endpoints are known
	RevisionAge time.Duration
	Base        uint64 // Changes holds all changes after this revision
	Changes     []discovery.Change
	LapsedFor   time.Duration // how long entries that lapsed during an outage of the store stay usable
}

// Plan decides who reads and who passes on.
type Plan struct {
	self          member.Incarnation
	failureDomain string
	members       []member.Host // of the failure domain, best rank first
	rank          int           // of this balancer among them, -1 if it is not there
	configuration knowledge
	endpoints     knowledge
	heard         map[member.Incarnation]uint64 // highest sequence by reader
	sequence      uint64
}

// New returns the plan of a balancer that knows no others: it reads the store itself.
func New(self member.Incarnation, failureDomain string, l Limits) *Plan {
	return &Plan{
		self: self, failureDomain: failureDomain, heard: make(map[member.Incarnation]uint64),
		configuration: knowledge{limit: l.Configuration}, endpoints: knowledge{limit: l.Endpoints},
	}
}

// SetLimits replaces the limits.
func (p *Plan) SetLimits(l Limits) {
	p.configuration.limit, p.endpoints.limit = l.Configuration, l.Endpoints
}

// SetView takes a new view of the members.
func (p *Plan) SetView(v *member.View) {
	p.members = configuration.Ranked(v, p.failureDomain)
	p.rank = slices.IndexFunc(p.members, func(h member.Host) bool { return h.Incarnation == p.self })
	for reader := range p.heard {
		if _, ok := v.Lookup(reader); !ok {
			delete(p.heard, reader)
		}
	}
}

// IsReader reports whether this balancer reads the store for its failure domain.
func (p *Plan) IsReader() bool { return p.rank <= 0 }

// knowledge is how fresh one part of what a balancer knows is.
type knowledge struct {
	limit    time.Duration
	asOf     time.Time // it was the newest then
	isActing bool      // this balancer has taken over from a reader that is not heard of
}

// ReadsConfiguration reports whether this balancer reads the configuration from the store now. A balancer that took over
// goes on until it hears of one with a better rank.
func (p *Plan) ReadsConfiguration(now time.Time) bool { return p.reads(now, &p.configuration) }

// ReadsEndpoints reports whether this balancer reads the endpoints from the store now.
func (p *Plan) ReadsEndpoints(now time.Time) bool { return p.reads(now, &p.endpoints) }

func (p *Plan) reads(now time.Time, k *knowledge) bool {
	if now.Sub(k.asOf) > k.limit+p.delay() {
		k.isActing = true
	}
	return p.IsReader() || k.isActing
}

func (p *Plan) delay() time.Duration {
	return min(time.Duration(max(p.rank-1, 0))*rankDelay, maxRankDelay)
}

// ConfirmConfiguration notes that the configuration was the newest at a time.
func (p *Plan) ConfirmConfiguration(at time.Time) { p.configuration.confirm(at) }

// ConfirmEndpoints notes that all changes of endpoints were known at a time.
func (p *Plan) ConfirmEndpoints(at time.Time) { p.endpoints.confirm(at) }

func (k *knowledge) confirm(at time.Time) {
	if at.After(k.asOf) {
		k.asOf = at
	}
}

// HasStarted tells the plan that the process has asked the store for everything once, with or without success. From then
// on it waits for announcements if it is not the reader.
func (p *Plan) HasStarted(now time.Time) {
	for _, k := range []*knowledge{&p.configuration, &p.endpoints} {
		if k.asOf.IsZero() {
			k.asOf = now
		}
		k.isActing = false
	}
}

// Ages returns how long ago the configuration and the endpoints were known to be the newest.
func (p *Plan) Ages(now time.Time) (configuration, endpoints time.Duration) {
	return now.Sub(p.configuration.asOf), now.Sub(p.endpoints.asOf)
}

// Announce completes an announcement of this balancer.
func (p *Plan) Announce(now time.Time, a *Announcement) {
	p.sequence++
	a.Reader, a.Sequence = p.self, p.sequence
	a.VersionAge, a.RevisionAge = p.Ages(now)
}

// Hear reports whether an announcement is new here. One that is not is not passed on either.
func (p *Plan) Hear(a *Announcement) bool {
	if a.Reader == p.self || a.Sequence <= p.heard[a.Reader] {
		return false
	}
	if _, ok := p.heard[a.Reader]; !ok && len(p.heard) >= maxReaders {
		return false
	}
	p.heard[a.Reader] = a.Sequence
	return true
}

// Adopt notes how fresh this balancer's knowledge is after it took an announcement over.
func (p *Plan) Adopt(received time.Time, a *Announcement, version, revision uint64) {
	isBetter := p.rankOf(a.Reader) < p.rank
	if version >= a.Version {
		p.configuration.adopt(received, a.VersionAge, isBetter)
	}
	if revision >= a.Revision {
		p.endpoints.adopt(received, a.RevisionAge, isBetter)
	}
}

func (k *knowledge) adopt(received time.Time, age time.Duration, isBetter bool) {
	k.confirm(received.Add(-age))
	if isBetter && age <= k.limit/2 {
		k.isActing = false
	}
}

// rankOf returns the rank of a member, after all others if it is not known here.
func (p *Plan) rankOf(i member.Incarnation) int {
	if rank := slices.IndexFunc(p.members, func(h member.Host) bool { return h.Incarnation == i }); rank >= 0 {
		return rank
	}
	return len(p.members)
}

// Next returns the members to which this balancer passes an announcement of a reader on. The members are numbered by
// rank with the reader in front; member i serves the members fanout*i+1 to fanout*(i+1).
func (p *Plan) Next(reader member.Incarnation) []member.Host {
	order := make([]member.Host, 0, len(p.members))
	own := -1
	root := slices.IndexFunc(p.members, func(h member.Host) bool { return h.Incarnation == reader })
	if root < 0 {
		return nil // not in this balancer's view: the reader's other children pass it on
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
