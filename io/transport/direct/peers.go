package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/membership"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/io/transport/peer"

	wire "cornellb/io/protocol/wire/peer"
)

const (
	// gossipBytes is the membership's part of the 4 KB/s that a balancer may use for control.
	gossipBytes = 1536
	// fetchTimeout bounds a call of another balancer, so that the store can still be asked in time.
	fetchTimeout = 600 * time.Millisecond
	// reportInterval is the time between two reports of flows.
	reportInterval = time.Second
	// urgentPause is the least time between two reports.
	urgentPause = 100 * time.Millisecond
	// reportFanout is the number of balancers that get each report: all at today's size, and at the two-year size enough
	// for some 80 reports within the time that a report counts.
	reportFanout = 8
	// farFanout is the number of balancers in other failure domains that get each report. The receivers extrapolate.
	farFanout = 2
)

// peers connects a process with the other balancers.
type peers struct {
	process   *Process
	transport *peer.Transport
	runner    *peer.Runner
	plan      *spread.Plan   // under Process.mu
	view      *member.View   // the rest of the group is under Process.mu too
	members   map[string]int // reachable ones by failure domain
	reachable int
	counted   peer.Counters // as last copied into the metrics, by the ticking goroutine alone
	self      member.Host
	urgent    chan struct{} // asks for a report at once
	fetching  chan struct{} // holds a token while a directory is fetched
}

// joinPeers opens the links to other balancers. The process works without any of them.
func joinPeers(p *Process) error {
	s := p.settings
	h := &peers{process: p, fetching: make(chan struct{}, 1), urgent: make(chan struct{}, 1), self: member.Host{
		ID: s.ID, FailureDomain: s.FailureDomain, Address: s.PeerAddress,
		Incarnation: member.Incarnation(rand.Uint64() | 1), // 0 stands for no incarnation
	}}
	h.plan = spread.New(h.self.Incarnation, s.FailureDomain, p.limits(s.ApplyLimit))
	p.peers = h // before messages arrive
	if !s.PeerAddress.IsValid() {
		return nil
	}
	h.runner = peer.NewRunner(p.adapters.Clock, h)
	var err error
	h.transport, err = peer.Listen(peer.Settings{Listen: s.PeerAddress, CallTimeout: fetchTimeout},
		peer.Handlers{Gossip: h.runner, Members: h.runner, Directory: h})
	if err != nil {
		return errors.Wrap(err, "listen for balancers")
	}
	h.runner.Start(h.transport, membership.Config{
		ID: s.ID, FailureDomain: s.FailureDomain, Address: s.PeerAddress, Incarnation: h.self.Incarnation,
		StartedAt: p.adapters.Clock.Now(), BytesPerSecond: gossipBytes,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.runner.SetHints(s.Peers, nil)
	p.work.Go(h.report)
	return nil
}

func (h *peers) close() {
	if h.transport == nil {
		return
	}
	h.runner.Close()
	if err := h.transport.Close(); err != nil {
		h.process.log.Warn("links to balancers not closed", "error", err)
	}
}

// leave tells the others that this process ends, so that another one reads the store at once.
func (h *peers) leave() {
	if h.runner != nil {
		h.runner.Leave()
	}
}

// SetView implements peer.Events.
func (h *peers) SetView(v *member.View) {
	p := h.process
	p.mu.Lock()
	was := h.plan.IsReader()
	h.plan.SetView(v)
	h.view, h.reachable, h.members = v, 0, make(map[string]int)
	for _, m := range v.Hosts {
		if m.IsReachable() {
			h.reachable++
			h.members[m.FailureDomain]++
		}
	}
	is := h.plan.IsReader()
	p.mu.Unlock()
	if was != is {
		p.log.Info("reader changed", "is_reader", is, "members", len(v.Hosts))
		p.wake()
	}
}

// OfferTables implements peer.Events. It brings versions over from other failure domains when the own one has no reader
// that reaches the store.
func (h *peers) OfferTables(from member.Host, version uint64) {
	h.process.mu.Lock()
	isNewer := version > h.process.state.Version()
	h.process.mu.Unlock()
	if isNewer {
		h.fetchLater(from.Address, nil)
	}
}

// announce tells the failure domain what this balancer knows, after it has read the store.
func (h *peers) announce() {
	if h.transport == nil {
		return
	}
	p := h.process
	p.mu.Lock()
	now := p.adapters.Clock.Now()
	changes, base := p.state.Recent()
	a := &spread.Announcement{
		Version: p.state.Version(), Revision: p.state.Revision(), Base: base, Changes: changes,
		LapsedFor: max(p.state.LapsedUntil().Sub(now), 0),
	}
	h.plan.Announce(now, a)
	next := h.plan.Next(a.Reader)
	p.mu.Unlock()
	h.send(next, a)
}

func (h *peers) send(to []member.Host, a *spread.Announcement) {
	for _, m := range to {
		h.transport.SendAnnouncement(m.Address, a) // a drop is counted, and the next one comes soon
	}
}

// count copies what the links have sent since the last call into the metrics.
func (h *peers) count() {
	if h.transport == nil {
		return
	}
	now := h.transport.Counters()
	now.ControlSince(h.counted, func(kind string, bytes uint64) {
		h.process.metrics.Count(metric.ControlSent, kind, int64(bytes))
	})
	h.counted = now
}

// HandleAnnouncement implements peer.DirectoryHandler.
func (h *peers) HandleAnnouncement(from netip.AddrPort, a *spread.Announcement) {
	p := h.process
	var isBehind bool
	p.update(func(now time.Time) {
		if !h.plan.Hear(a) {
			a = nil
			return
		}
		p.state.KeepLapsed(now.Add(a.LapsedFor))
		p.apply(now, a.Changes, a.Base, a.Revision, "balancer")
		isBehind = p.state.Version() < a.Version || p.state.Revision() < a.Revision
		h.adopt(now, a)
	})
	switch {
	case a == nil:
	case isBehind:
		h.fetchLater(from, a)
	default:
		h.passOn(a, 0)
	}
}

// adopt notes how fresh the knowledge is. The caller holds Process.mu.
func (h *peers) adopt(received time.Time, a *spread.Announcement) {
	p := h.process
	h.plan.Adopt(received, a, p.state.Version(), p.state.Revision())
	if p.state.Version() >= a.Version {
		p.forwarder.Confirm(received.Add(-a.VersionAge))
	}
}

// passOn sends an announcement further down the tree. The time that it was held counts as age.
func (h *peers) passOn(a *spread.Announcement, held time.Duration) {
	p := h.process
	p.mu.Lock()
	next := h.plan.Next(a.Reader)
	p.mu.Unlock()
	further := *a
	further.VersionAge += held
	further.RevisionAge += held
	h.send(next, &further)
}

// fetchLater gets what is missing from a balancer, and passes the announcement on, if there is one, when it is there. If
// the balancer does not answer, the store is asked.
func (h *peers) fetchLater(from netip.AddrPort, a *spread.Announcement) {
	p := h.process
	select {
	case h.fetching <- struct{}{}:
	default:
		return // one is under way; the next announcement comes soon
	}
	p.work.Go(func() {
		defer func() { <-h.fetching }()
		began := p.adapters.Clock.Now()
		if !h.fetch(from) {
			p.configurationRequest.ask()
			p.endpointsRequest.ask()
			return
		}
		if a == nil {
			return
		}
		p.update(func(time.Time) { h.adopt(began, a) })
		h.passOn(a, p.adapters.Clock.Now().Sub(began))
	})
}

// fetch takes over a configuration and endpoints from a balancer.
func (h *peers) fetch(from netip.AddrPort) bool {
	p := h.process
	ctx, cancel := context.WithTimeout(p.ctx, fetchTimeout)
	defer cancel()
	p.mu.Lock()
	version, revision := p.state.Version(), p.state.Revision()
	p.mu.Unlock()
	d, err := h.transport.FetchDirectory(ctx, from, version, revision)
	if err != nil {
		p.metrics.Count(metric.StoreCalls, "balancer failed", 1)
		p.log.Debug("balancer does not answer", "address", from.String(), "error", err)
		return false
	}
	p.metrics.Count(metric.StoreCalls, "balancer answered", 1)
	p.update(func(now time.Time) {
		if d.Configuration != nil {
			p.configure(now, d.Configuration, "balancer")
		}
		if d.Difference != nil {
			// It no longer follows if another answer was faster; the next announcement shows what is missing then.
			if c, ok := d.Difference.Apply(p.state.Configuration()); ok {
				p.configure(now, c, "balancer")
			}
		}
		switch {
		case d.IsChange:
			p.apply(now, d.Changes, revision, d.Revision, "balancer")
		case d.Revision != 0:
			p.state.Replace(now, d.Endpoints, d.Revision)
		}
	})
	return true
}

// HandleDirectory implements peer.DirectoryHandler.
func (h *peers) HandleDirectory(_ context.Context, version, revision uint64) (*wire.Directory, error) {
	p := h.process
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &wire.Directory{}
	if p.state.Version() > version {
		var ok bool
		if d.Difference, ok = p.state.VersionsSince(version); !ok {
			d.Configuration, d.Difference = p.state.Configuration(), nil
		}
	}
	if !p.state.IsComplete() || p.state.Revision() <= revision {
		return d, nil
	}
	d.Revision = p.state.Revision()
	if d.Changes, d.IsChange = p.state.Since(revision); !d.IsChange {
		d.Endpoints = p.state.Registered()
	}
	return d, nil
}

// HandleLoad implements peer.DirectoryHandler.
func (h *peers) HandleLoad(_ netip.AddrPort, r *steering.Report) {
	p := h.process
	p.mu.Lock()
	sender, isKnown := member.Host{}, false
	if h.view != nil {
		sender, isKnown = h.view.Lookup(r.Sender)
	}
	from := steering.Origin{FailureDomain: sender.FailureDomain, Members: h.members[sender.FailureDomain]}
	p.mu.Unlock()
	if isKnown {
		p.forwarder.HearReport(p.adapters.Clock.Now(), r, from)
	}
}

// report tells other balancers of the failure domain about flows and silent endpoints, and in between of silent
// endpoints alone when there is something new.
func (h *peers) report() {
	p := h.process
	next := p.adapters.Clock.Now()
	for p.pause(vary(max(next.Sub(p.adapters.Clock.Now()), urgentPause)), h.urgent) {
		now := p.adapters.Clock.Now()
		r := p.forwarder.ReportSilences(now)
		if !now.Before(next) {
			r = p.forwarder.Report(now)
			next = now.Add(reportInterval)
		} else if len(r.Silences) == 0 {
			continue
		}
		r.Sender = h.self.Incarnation
		for _, m := range h.audience(r) {
			h.transport.SendLoad(m.Address, r)
		}
		if !p.pause(urgentPause, nil) {
			return
		}
	}
}

// audience returns random members of the own failure domain, and for loads some of the others too.
func (h *peers) audience(r *steering.Report) []member.Host {
	h.process.mu.Lock()
	defer h.process.mu.Unlock()
	var near, far []member.Host
	if h.view == nil {
		return nil
	}
	for _, m := range h.view.Hosts {
		switch {
		case m.Incarnation == h.self.Incarnation || !m.IsReachable():
		case m.FailureDomain == h.self.FailureDomain:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}
	list := sample(near, reportFanout)
	if !r.IsPartial {
		list = append(list, sample(far, farFanout)...)
	}
	return list
}

// sample returns up to n random hosts, in any order.
func sample(hosts []member.Host, n int) []member.Host {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(len(hosts), n)]
}
