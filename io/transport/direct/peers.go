package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"cornellb/core/coordination/membership"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/io/transport/peer"

	wire "cornellb/io/protocol/wire/peer"
)

const (
	// gossipBytes is the limit of membership gossip in bytes per second, out of the 4 KB/s that a balancer may use for
	// control traffic.
	gossipBytes = 1536
	// fetchTimeout limits a call to another balancer, so that enough time is left to read the store instead.
	fetchTimeout = 600 * time.Millisecond
	// reportInterval is the time between two full reports.
	reportInterval = time.Second
	// minReportInterval is the least time between two reports, full or partial.
	minReportInterval = 100 * time.Millisecond
	// reportFanout is the number of balancers of the failure domain that get each report: all of them at today's
	// deployment size. At the size expected in two years, a balancer still gets about 80 reports within the time that a
	// report is valid.
	reportFanout = 8
	// otherDomainFanout is the number of balancers in other failure domains that get each full report. The receivers
	// extrapolate from those that they get to the whole domain.
	otherDomainFanout = 2
	// speedInterval is the time between two reports of fresh speeds. They go to as many balancers of the failure domain as
	// speedBytes permits in a second, datagram headers included: with more balancers each has fewer samples to report, so
	// that the part of them that gets a report at once does not depend on their number.
	speedInterval = 250 * time.Millisecond
	speedBytes    = 2048
	speedBurst    = 2 * speedBytes
	// reportHeaderBytes is the size of a report with no entries, with the headers of a datagram, and speedEntryBytes that
	// of a speed.
	reportHeaderBytes = 40
	speedEntryBytes   = 12
)

// peers exchanges data with the other balancers.
type peers struct {
	process           *Process
	transport         *peer.Transport
	runner            *peer.Runner
	plan              *spread.Plan   // guarded by Process.mu, like view, reachableByDomain and reachable
	view              *member.View   // nil until the first one
	reachableByDomain map[string]int // number of reachable balancers by failure domain
	reachable         int
	lastCounters      peer.Counters // as last copied into the metrics; used only by the goroutine of tick
	self              member.Host
	slowness          *spread.Slowness // of this host; used only by the goroutine of tick, as weight
	weight            uint8            // announced last
	speedBudget       *rate.Limiter    // used only by the goroutine of tick, like speedsSentAt
	speedsSentAt      time.Time
	reportNow         chan struct{} // requests a report before the next regular one
	fetching          chan struct{} // holds a token while a directory is fetched
}

// joinPeers opens the links to other balancers and joins the membership group, if there is a peer address. It does not
// fail if no other balancer can be reached.
func joinPeers(p *Process) error {
	s := p.settings
	h := &peers{process: p, fetching: make(chan struct{}, 1), reportNow: make(chan struct{}, 1), self: member.Host{
		ID: s.ID, FailureDomain: s.FailureDomain, Address: s.PeerAddress,
		Incarnation: member.Incarnation(rand.Uint64() | 1), // 0 means no incarnation
		Weight:      spread.HostWeight(s.Processor, s.LinkMbps),
	}}
	h.slowness, h.weight = spread.NewSlowness(tickInterval), h.self.Weight
	h.speedBudget = rate.NewLimiter(speedBytes, speedBurst)
	h.plan = spread.New(h.self.Incarnation, s.FailureDomain, s.limits())
	p.peers = h // before Listen, after which messages arrive
	if !s.PeerAddress.IsValid() {
		return nil
	}
	h.runner = peer.NewRunner(p.adapters.Clock, h)
	var err error
	h.transport, err = peer.Listen(peer.Settings{Listen: s.PeerAddress, CallTimeout: fetchTimeout},
		peer.Handlers{Gossip: h.runner, Members: h.runner, Directory: h})
	if err != nil {
		return errors.Wrap(err, "listen on the peer address")
	}
	h.runner.Start(h.transport, membership.Config{
		ID: s.ID, FailureDomain: s.FailureDomain, Address: s.PeerAddress, Incarnation: h.self.Incarnation,
		StartedAt: p.adapters.Clock.Now(), BytesPerSecond: gossipBytes, Weight: h.self.Weight,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.runner.SetHints(s.Peers, nil)
	p.work.Go(h.sendReports)
	return nil
}

func (h *peers) close() {
	if h.transport == nil {
		return
	}
	h.runner.Close()
	if err := h.transport.Close(); err != nil {
		h.process.log.Warn("peer transport not closed cleanly", "error", err)
	}
}

// leave tells the others that this balancer is leaving, so that another one takes over reading the store at once.
func (h *peers) leave() {
	if h.runner != nil {
		h.runner.Leave()
	}
}

// SetView implements peer.Events.
func (h *peers) SetView(v *member.View) {
	p := h.process
	p.mu.Lock()
	wasReader := h.plan.IsReader()
	h.plan.SetView(v)
	p.forwarder.SetMembers(p.adapters.Clock.Now(), v)
	h.view, h.reachable, h.reachableByDomain = v, 0, make(map[string]int)
	for _, m := range v.Hosts {
		if m.IsReachable() {
			h.reachable++
			h.reachableByDomain[m.FailureDomain]++
		}
	}
	isReader := h.plan.IsReader()
	p.mu.Unlock()
	if wasReader != isReader {
		p.log.Info("reader changed", "is_reader", isReader, "members", len(v.Hosts))
		p.wake()
	}
}

// ReportNewerTables implements peer.Events. In the direct return mode, the table version is that of the configuration.
// Newer versions are fetched also from other failure domains, which helps when no reader of this balancer's own domain
// can reach the store.
func (h *peers) ReportNewerTables(from member.Host, version uint64) {
	h.process.mu.Lock()
	isNewer := version > h.process.state.Version()
	h.process.mu.Unlock()
	if isNewer {
		h.startFetch(from.Address, nil)
	}
}

// announce sends versions and recent changes along the distribution tree of the failure domain, after this balancer has
// read the store.
func (h *peers) announce() {
	if h.transport == nil {
		return
	}
	p := h.process
	p.mu.Lock()
	now := p.adapters.Clock.Now()
	changes, base := p.state.RecentChanges()
	a := &spread.Announcement{
		Version: p.state.Version(), Era: base.Era, Revision: p.state.Position().Revision, Base: base.Revision, Changes: changes,
		LapsedFor: max(p.state.LapsedUntil().Sub(now), 0),
	}
	a.Evacuations, a.EvacuationsAge = p.sentEvacuations(now, maxAnnouncedBytes)
	h.plan.Complete(now, a)
	next := h.plan.Children(a.Reader)
	p.mu.Unlock()
	h.send(next, a)
}

func (h *peers) send(to []member.Host, a *spread.Announcement) {
	for _, m := range to {
		h.transport.SendAnnouncement(m.Address, a) // a dropped datagram is counted; the next announcement follows soon
	}
}

// updateWeight passes the duties of this balancer on to others while its host is slow.
func (h *peers) updateWeight(now time.Time) {
	isSlow := h.slowness.Tick(now)
	weight := h.slowness.Weight(h.self.Weight)
	if h.runner == nil || weight == h.weight {
		return
	}
	h.weight = weight
	h.runner.SetWeight(weight)
	h.process.log.Info("weight for duties changed", "weight", weight, "is_slow", isSlow)
}

// countControlBytes adds the control bytes sent to other balancers since the last call to the metrics.
func (h *peers) countControlBytes() {
	if h.transport == nil {
		return
	}
	now := h.transport.Counters()
	now.ControlSince(h.lastCounters, func(kind string, bytes uint64) {
		h.process.metrics.Count(metric.ControlSent, kind, int64(bytes))
	})
	h.lastCounters = now
}

// HandleAnnouncement implements peer.DirectoryHandler.
func (h *peers) HandleAnnouncement(from netip.AddrPort, a *spread.Announcement) {
	p := h.process
	var isBehind bool
	p.update(func(now time.Time) {
		if !h.plan.Accept(a) {
			a = nil // not new, so neither fetched nor relayed
			return
		}
		if a.Era == p.state.Position().Era {
			p.state.ExtendLapsedUntil(now.Add(a.LapsedFor))
		}
		p.apply(now, a.Changes, directory.Position{Era: a.Era, Revision: a.Base}, a.Position(), "balancer")
		isBehind = p.state.Version() < a.Version || p.state.Position().Compare(a.Position()) < 0
		isBehind = p.acceptEvacuations(now, a) || isBehind
		h.updateFreshness(now, a)
	})
	switch {
	case a == nil:
	case isBehind:
		h.startFetch(from, a)
	default:
		h.relay(a, 0)
	}
}

// updateFreshness records as of when the configuration and the endpoints are known to be the newest, according to an
// announcement. The caller holds Process.mu.
func (h *peers) updateFreshness(received time.Time, a *spread.Announcement) {
	p := h.process
	h.plan.UpdateAges(received, a, p.state.Version(), p.state.Position())
	if p.state.Version() >= a.Version {
		p.forwarder.Confirm(received.Add(-a.VersionAge))
	}
}

// relay sends an announcement on to the next balancers in the distribution tree. held is how long it was delayed here;
// it is added to the ages in the announcement.
func (h *peers) relay(a *spread.Announcement, held time.Duration) {
	p := h.process
	p.mu.Lock()
	next := h.plan.Children(a.Reader)
	p.mu.Unlock()
	relayed := *a
	relayed.VersionAge += held
	relayed.RevisionAge += held
	relayed.LapsedFor = max(relayed.LapsedFor-held, 0)
	if relayed.Evacuations != nil || relayed.EvacuationsAge > 0 {
		relayed.EvacuationsAge += held
	}
	h.send(next, &relayed)
}

// startFetch fetches missing data from a balancer in the background and then relays the announcement, if a is not nil.
// If the balancer does not answer, it requests reads of the store.
func (h *peers) startFetch(from netip.AddrPort, a *spread.Announcement) {
	p := h.process
	select {
	case h.fetching <- struct{}{}:
	default:
		return // a fetch is in progress; the next announcement follows soon
	}
	p.work.Go(func() {
		defer func() { <-h.fetching }()
		began := p.adapters.Clock.Now()
		if !h.fetch(from) {
			p.configurationRequest.submit()
			p.endpointsRequest.submit()
			return
		}
		if a == nil {
			return
		}
		p.update(func(time.Time) { h.updateFreshness(began, a) })
		h.relay(a, p.adapters.Clock.Now().Sub(began))
	})
}

// fetch gets a newer configuration and newer endpoints from a balancer, and reports whether it answered.
func (h *peers) fetch(from netip.AddrPort) bool {
	p := h.process
	ctx, cancel := context.WithTimeout(p.ctx, fetchTimeout)
	defer cancel()
	p.mu.Lock()
	version, position := p.state.Version(), p.state.Position()
	evacuations, began := p.evacuationsPosition(), p.adapters.Clock.Now()
	p.mu.Unlock()
	d, err := h.transport.FetchDirectory(ctx, from, wire.DirectoryQuery{
		Version: version, Endpoints: position, Evacuations: evacuations,
	})
	if err != nil {
		p.metrics.Count(metric.StoreCalls, "balancer failed", 1)
		p.log.Debug("configuration and endpoints not fetched from balancer", "address", from.String(), "error", err)
		return false
	}
	p.metrics.Count(metric.StoreCalls, "balancer answered", 1)
	p.update(func(now time.Time) {
		p.mergeEvacuations(now, d.Evacuations, began.Add(-d.EvacuationsAge), "balancer")
		if d.Configuration != nil {
			p.configure(now, d.Configuration, "balancer")
		}
		if d.Difference != nil {
			// Apply fails if another answer has changed the configuration meanwhile; the next announcement then leads
			// to a new fetch.
			if c, ok := d.Difference.Apply(p.state.Configuration()); ok {
				p.configure(now, c, "balancer")
			}
		}
		at := directory.Position{Era: d.Era, Revision: d.Revision}
		switch {
		case d.ChangesOnly:
			p.apply(now, d.Changes, position, at, "balancer")
		case d.Revision != 0:
			before := p.state.Position()
			if p.state.Adopt(now, d.Endpoints, at, d.LapsedFor) {
				p.logEra(before, len(d.Endpoints), d.LapsedFor, "balancer")
			}
		}
		if d.Era == p.state.Position().Era {
			p.state.ExtendLapsedUntil(now.Add(d.LapsedFor))
		}
	})
	return true
}

// HandleDirectory implements peer.DirectoryHandler. It returns what is newer than the caller's version and revision:
// the changes if they are still kept, and otherwise everything.
func (h *peers) HandleDirectory(_ context.Context, q wire.DirectoryQuery) (*wire.DirectoryUpdate, error) {
	version := q.Version
	p := h.process
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &wire.DirectoryUpdate{}
	h.addEvacuations(d, q)
	if p.state.Version() > version {
		var ok bool
		if d.Difference, ok = p.state.VersionsSince(version); !ok {
			d.Configuration, d.Difference = p.state.Configuration(), nil
		}
	}
	if !p.state.IsComplete() || p.state.Position().Compare(q.Endpoints) <= 0 {
		return d, nil
	}
	d.Era, d.Revision = p.state.Position().Era, p.state.Position().Revision
	d.LapsedFor = max(p.state.LapsedUntil().Sub(p.adapters.Clock.Now()), 0)
	if d.Changes, d.ChangesOnly = p.state.ChangesSince(q.Endpoints); !d.ChangesOnly {
		d.Endpoints = p.state.Registered()
	}
	return d, nil
}

// HandleLoadReport implements peer.DirectoryHandler.
func (h *peers) HandleLoadReport(_ netip.AddrPort, r *steering.Report) {
	p := h.process
	p.mu.Lock()
	sender, isKnown := member.Host{}, false
	if h.view != nil {
		sender, isKnown = h.view.Lookup(r.Sender)
	}
	from := steering.Origin{FailureDomain: sender.FailureDomain, Members: h.reachableByDomain[sender.FailureDomain]}
	p.mu.Unlock()
	if isKnown {
		p.forwarder.ApplyReport(p.adapters.Clock.Now(), r, from)
	}
}

// sendReports sends full reports of loads, silent endpoints and outcomes to other balancers every reportInterval, and
// in between partial reports of silent endpoints when there are any.
func (h *peers) sendReports() {
	p := h.process
	next := p.adapters.Clock.Now()
	for p.pause(jitter(max(next.Sub(p.adapters.Clock.Now()), minReportInterval)), h.reportNow) {
		now := p.adapters.Clock.Now()
		r := p.forwarder.ReportSilences(now)
		if !now.Before(next) {
			r = p.forwarder.Report(now)
			next = now.Add(reportInterval)
		} else if len(r.Silences) == 0 {
			continue
		}
		r.Sender = h.self.Incarnation
		for _, m := range h.reportReceivers(r) {
			sent := *r
			if m.FailureDomain != h.self.FailureDomain {
				sent.Speeds = nil // not used there
			}
			h.transport.SendLoadReport(m.Address, &sent)
		}
		if !p.pause(minReportInterval, nil) {
			return
		}
	}
}

// sendSpeeds sends fresh speeds of endpoints to random balancers of the failure domain, as far as the budget permits.
func (h *peers) sendSpeeds(now time.Time) {
	isDue := now.Sub(h.speedsSentAt) >= speedInterval && h.speedBudget.TokensAt(now) >= reportHeaderBytes+speedEntryBytes
	if h.transport == nil || !isDue {
		return
	}
	h.speedsSentAt = now
	r := h.process.forwarder.SpeedReport(now)
	if r == nil {
		return
	}
	r.Sender = h.self.Incarnation
	size := reportHeaderBytes + speedEntryBytes*len(r.Speeds)
	for _, m := range sample(h.sameDomain(), int(h.speedBudget.TokensAt(now))/size) {
		h.speedBudget.AllowN(now, size)
		h.transport.SendLoadReport(m.Address, r)
	}
}

// sameDomain returns the reachable members of this balancer's own failure domain.
func (h *peers) sameDomain() []member.Host {
	h.process.mu.Lock()
	defer h.process.mu.Unlock()
	if h.view == nil {
		return nil
	}
	var list []member.Host
	for _, m := range h.view.Hosts {
		if m.Incarnation != h.self.Incarnation && m.IsReachable() && m.FailureDomain == h.self.FailureDomain {
			list = append(list, m)
		}
	}
	return list
}

// reportReceivers returns random members of this balancer's own failure domain, and for a full report some of other
// domains too.
func (h *peers) reportReceivers(r *steering.Report) []member.Host {
	h.process.mu.Lock()
	defer h.process.mu.Unlock()
	var sameDomain, otherDomains []member.Host
	if h.view == nil {
		return nil
	}
	for _, m := range h.view.Hosts {
		switch {
		case m.Incarnation == h.self.Incarnation || !m.IsReachable():
		case m.FailureDomain == h.self.FailureDomain:
			sameDomain = append(sameDomain, m)
		default:
			otherDomains = append(otherDomains, m)
		}
	}
	list := sample(sameDomain, reportFanout)
	if !r.IsPartial {
		list = append(list, sample(otherDomains, otherDomainFanout)...)
	}
	return list
}

// sample returns up to n random hosts. It reorders hosts.
func sample(hosts []member.Host, n int) []member.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), n)]
}
