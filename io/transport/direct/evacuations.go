package direct

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/evacuation"
	"cornellb/core/coordination/spread"
	"cornellb/core/state/directory"
	"cornellb/core/state/metric"

	wire "cornellb/io/protocol/wire/peer"
)

// The times are shares of EvacuateLimit. An evacuation shows at the latest at the end of a watch of the endpoints, 0.24 of
// the limit at the usual settings. With a read that has just ended, a call and its announcement, it is in force in time.
const (
	// evacuationsShare is the age of the set at which a balancer that has received no announcement of a newer one reads the
	// store itself.
	evacuationsShare = 0.65
	// evacuationsReadShare is the age at which a balancer that reads the store lists the evacuations although no watch has
	// shown a change. Two failed reads still fit into the limit.
	evacuationsReadShare = 0.45
	// evacuationsPauseShare is the least time between two reads, about that between two reads of the configuration. Other
	// objects of the store may change all the time.
	evacuationsPauseShare = 0.27
	// evacuationsFetchPause is the least time between two fetches of the set from other balancers.
	evacuationsFetchPause = time.Second
	// minAnnouncedGain is how much later a fetched set must have been confirmed than the own one to be announced. While the
	// store refuses a failure domain, all its balancers fetch; about one of them in this time announces.
	minAnnouncedGain = time.Second
	// maxAnnouncedBytes is the largest size of the names in an announcement, half of a datagram. The rest is left to changes
	// of endpoints.
	maxAnnouncedBytes = 600
	// maxSentEvacuations is the largest set that balancers give each other, the limit of the message. A larger one is read
	// from the store only.
	maxSentEvacuations = 1024
	// unsentAge marks an announcement of a set that is too large for it. The message has ages in milliseconds, and 0 means
	// that the sender knows no set.
	unsentAge = time.Millisecond
)

// evacuations is what a process keeps of the evacuated failure domains, guarded by Process.mu.
type evacuations struct {
	state     *evacuation.State // nil while EvacuateLimit is 0
	inForce   []string          // as logged
	source    string            // of the set: "store" or "balancer"
	fetchedAt time.Time         // last fetch because of the evacuations
	request   readRequest
}

func newEvacuationState() *evacuation.State {
	return evacuation.New(evacuation.Config{RewriteTime: reregistrationTime})
}

// readEvacuations lists the evacuations when they may have changed, while this balancer is the reader or has received no
// recent announcement from the reader, and once at the start. While the store does not answer, it fetches the set from
// another balancer.
func (p *Process) readEvacuations() {
	failures := 0
	for {
		if !p.withLock(p.isEvacuationReadDue) {
			failures = 0
			if !p.pause(idlePause, p.evacuations.request.wakeup) {
				return
			}
			continue
		}
		err := p.fetchEvacuations()
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			failures++
			p.peers.fetchEvacuations()
			if !p.pause(p.retryDelay(failures), nil) {
				return
			}
			continue
		}
		failures = 0
		p.peers.announce()
		if !p.pause(jitter(share(evacuationsPauseShare, p.currentSettings().EvacuateLimit)), nil) {
			return
		}
	}
}

// isEvacuationReadDue reports whether to list the evacuations now. The caller holds p.mu.
func (p *Process) isEvacuationReadDue() bool {
	s := p.evacuations.state
	if s == nil {
		return false
	}
	now := p.adapters.Clock.Now()
	isReader := p.peers.plan.ReadsEvacuations(now)
	return !s.IsKnown() || isReader && s.NeedsRead(now, share(evacuationsReadShare, p.settings.EvacuateLimit))
}

func (p *Process) fetchEvacuations() error {
	began := p.adapters.Clock.Now()
	p.mu.Lock()
	reached, domains := p.state.Position(), []string(nil)
	if s := p.evacuations.state; s != nil {
		domains = s.Current().Domains
		if at := s.Current().Position; at.Compare(reached) > 0 {
			reached = at
		}
	}
	p.mu.Unlock()
	e, faults, err := p.adapters.Store.Evacuations(p.ctx)
	if p.recordStoreCall("evacuations", err); err != nil {
		return err
	}
	p.logFaults(faults)
	p.update(func(now time.Time) {
		e.Position = discovery.StorePosition(e.Position, reached.Era)
		if s := p.evacuations.state; s != nil && e.Revision == 0 {
			if e.Era < reached.Era || s.IsKnown() && !slices.Equal(s.Current().Domains, domains) {
				return // from before a restore, or possibly from before a set that was received during the call
			}
			if e.Era > reached.Era {
				reached = directory.Position{Era: e.Era} // revisions of another era say nothing about this one
			}
			e.Position = s.Locate(reached)
		}
		p.mergeEvacuations(now, e, began, "store")
	})
	return nil
}

// mergeEvacuations takes over a set that was the newest at asOf, unless a newer one is known. e may be nil. The caller holds
// p.mu.
func (p *Process) mergeEvacuations(now time.Time, e *directory.Evacuations, asOf time.Time, source string) {
	s := p.evacuations.state
	if s == nil || e == nil || !s.Merge(now, e, asOf) {
		return
	}
	p.evacuations.source = source
	p.peers.plan.ConfirmEvacuations(s.AsOf())
}

// observeRevision takes into account which revision a watch of the endpoints has shown. The caller holds p.mu.
func (p *Process) observeRevision(asOf time.Time, changes []discovery.Change, at directory.Position) {
	s := p.evacuations.state
	if s == nil {
		return
	}
	w := evacuation.Watch{Position: at}
	for _, c := range changes {
		w.Changed = append(w.Changed, c.Revision)
	}
	s.ObserveWatch(w, asOf)
	p.peers.plan.ConfirmEvacuations(s.AsOf())
	if p.isEvacuationReadDue() {
		p.evacuations.request.wake()
	}
}

// refreshEvacuations puts the known set in force and logs what has changed. The caller holds p.mu.
func (p *Process) refreshEvacuations(now time.Time) {
	x := &p.evacuations
	isOn := p.settings.EvacuateLimit > 0
	switch {
	case isOn && x.state == nil:
		x.state = newEvacuationState()
	case !isOn:
		x.state = nil
	}
	var domains []string
	if x.state != nil {
		if !x.state.IsKnown() {
			return
		}
		domains = x.state.Domains(now)
	}
	p.state.Evacuate(domains)
	if slices.Equal(domains, x.inForce) {
		return
	}
	var revision uint64
	if x.state != nil {
		revision = x.state.Current().Revision
	}
	for _, name := range domains {
		if !slices.Contains(x.inForce, name) {
			p.log.Info("failure domain evacuated", "failure_domain", shorten(name), "revision", revision, "source", x.source)
		}
	}
	for _, name := range x.inForce {
		if !slices.Contains(domains, name) {
			p.log.Info("failure domain restored", "failure_domain", shorten(name), "revision", revision, "source", x.source)
		}
	}
	x.inForce = domains
}

// sentEvacuations returns the known set and its age. The set is nil if none is known, with age 0, or if it has more than
// maxSentEvacuations names or more than maxBytes bytes, with its age. The caller holds p.mu.
func (p *Process) sentEvacuations(now time.Time, maxBytes int) (*directory.Evacuations, time.Duration) {
	s := p.evacuations.state
	if s == nil || !s.IsKnown() {
		return nil, 0
	}
	e, age := s.Current(), max(s.Age(now), 0)
	bytes := 0
	for _, name := range e.Domains {
		bytes += len(name) + 2 // tag and length
	}
	if bytes > maxBytes || len(e.Domains) > maxSentEvacuations {
		return nil, max(age, unsentAge)
	}
	return &e, age
}

// acceptEvacuations takes over the evacuations of an announcement. It reports whether they are too large for it and must
// be fetched. The caller holds p.mu.
func (p *Process) acceptEvacuations(now time.Time, a *spread.Announcement) bool {
	s := p.evacuations.state
	if s == nil {
		return false
	}
	p.mergeEvacuations(now, a.Evacuations, now.Add(-a.EvacuationsAge), "balancer")
	p.peers.plan.UpdateEvacuations(a)
	if a.Evacuations != nil || a.EvacuationsAge == 0 || s.Age(now) <= a.EvacuationsAge+evacuationsFetchPause {
		return false
	}
	return p.mayFetchEvacuations(now)
}

// mayFetchEvacuations reports whether the evacuations may be fetched from a balancer now, and then records the fetch. The
// caller holds p.mu.
func (p *Process) mayFetchEvacuations(now time.Time) bool {
	if now.Sub(p.evacuations.fetchedAt) < evacuationsFetchPause {
		return false
	}
	p.evacuations.fetchedAt = now
	return true
}

// evacuationsPosition returns the position of the known set. The caller holds p.mu.
func (p *Process) evacuationsPosition() directory.Position {
	if s := p.evacuations.state; s != nil {
		return s.Current().Position
	}
	return directory.Position{}
}

// addEvacuations adds the known set to a reply, unless the requester's is newer. The requester's own one is added too,
// since it may be the newest for longer than the requester knows. The caller holds Process.mu.
func (h *peers) addEvacuations(d *wire.DirectoryUpdate, q wire.DirectoryQuery) {
	p := h.process
	const anySize = maxSentEvacuations * (directory.MaxNameBytes + 2)
	e, age := p.sentEvacuations(p.adapters.Clock.Now(), anySize)
	if e != nil && e.Compare(q.Evacuations) >= 0 {
		d.Evacuations, d.EvacuationsAge = e, age
	}
}

// fetchEvacuations fetches the set from a balancer of another failure domain and announces it. The store may refuse all
// balancers of this one.
func (h *peers) fetchEvacuations() {
	p := h.process
	p.mu.Lock()
	s, from := p.evacuations.state, h.anyOther()
	if s == nil || !from.IsValid() || !p.mayFetchEvacuations(p.adapters.Clock.Now()) {
		p.mu.Unlock()
		return
	}
	before := s.Mark()
	p.mu.Unlock()
	select {
	case h.fetching <- struct{}{}:
	default:
		return // a fetch is in progress
	}
	isAnswered := h.fetch(from)
	<-h.fetching
	if isAnswered && p.withLock(func() bool { return s.HasAdvanced(before, minAnnouncedGain) }) {
		h.announce()
	}
}

// anyOther returns the address of a random reachable balancer, one of another failure domain if there is any. The caller
// holds Process.mu.
func (h *peers) anyOther() netip.AddrPort {
	var near, far []netip.AddrPort
	if h.view == nil {
		return netip.AddrPort{}
	}
	for _, m := range h.view.Hosts {
		switch {
		case m.Incarnation == h.self.Incarnation || !m.IsReachable():
		case m.FailureDomain == h.self.FailureDomain:
			near = append(near, m.Address)
		default:
			far = append(far, m.Address)
		}
	}
	if len(far) > 0 {
		near = far
	}
	if len(near) == 0 {
		return netip.AddrPort{}
	}
	return near[rand.IntN(len(near))]
}

// evacuationGauges returns the gauges of the evacuations.
func (p *Process) evacuationGauges() map[metric.Gauge]func(now time.Time) int64 {
	return map[metric.Gauge]func(now time.Time) int64{
		metric.EvacuatedDomains: func(time.Time) int64 { return int64(len(p.evacuations.inForce)) },
		metric.EvacuationsAge: func(now time.Time) int64 {
			if p.evacuations.state == nil {
				return 0
			}
			return p.evacuations.state.Age(now).Milliseconds()
		},
	}
}
