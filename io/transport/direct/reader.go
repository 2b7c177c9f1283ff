package direct

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

const (
	// configurationShare is the part of the limit for applying a configuration that passes between two reads. Two failed
	// reads still fit into the limit.
	configurationShare = 0.45
	// watchWait is how long a watch waits for changes. It bounds the time until a silent connection is noticed.
	watchWait = 2 * time.Second
	// firstPause is the wait after a failed call; it doubles with each one up to maxPause.
	firstPause = 100 * time.Millisecond
	maxPause   = time.Second
	// wantedPause is the least time between two reads that unknown routes or cookies cause.
	wantedPause = 300 * time.Millisecond
	// defaultApplyLimit holds if the settings have no limit for applying a configuration.
	defaultApplyLimit = 3 * time.Second
	// takeoverShare is the part of that limit after which a balancer that hears nothing of the reader reads by itself. It
	// is longer than the time between two reads, and leaves time for a call.
	takeoverShare = 0.65
	// endpointsLimit does the same for endpoints. A reader's watch ends after watchWait at the latest.
	endpointsLimit = watchWait + 600*time.Millisecond
	// noConfigurationPause is the time between two reads while the operator has not written a configuration.
	noConfigurationPause = 250 * time.Millisecond
	// watchPause is the time between two watches, in which changes that come together are collected.
	watchPause = 50 * time.Millisecond
	// idlePause is the time between two checks whether a read is due.
	idlePause = 100 * time.Millisecond
)

// applyLimit returns the time in which a configuration must be in force.
func (p *Process) applyLimit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settings.ApplyLimit > 0 {
		return p.settings.ApplyLimit
	}
	return defaultApplyLimit
}

// limits returns how old knowledge may be before this balancer reads the store itself.
func (p *Process) limits(applyLimit time.Duration) spread.Limits {
	if applyLimit <= 0 {
		applyLimit = defaultApplyLimit
	}
	return spread.Limits{
		Configuration: time.Duration(takeoverShare * float64(applyLimit)), Endpoints: endpointsLimit,
	}
}

// readConfiguration reads the configuration at regular intervals, as long as this balancer is the reader or hears too
// little of others. A watch alone is not enough: it can stay silent while changes are made.
func (p *Process) readConfiguration() {
	failures := 0
	for {
		interval := time.Duration(configurationShare * float64(p.applyLimit()))
		isDue := func() bool { return p.peers.plan.ReadsConfiguration(p.adapters.Clock.Now()) }
		isRetry := failures > 0 && !p.isComplete.Load()
		if !isRetry && !p.configurationRequest.take() && !p.isDue(isDue) {
			if !p.pause(idlePause, p.configurationRequest.woken) {
				return
			}
			continue
		}
		err := p.fetchConfiguration()
		if p.ctx.Err() != nil {
			return
		}
		p.noteStart()
		var none *NoConfigurationError
		switch {
		case errors.As(err, &none):
			failures = 0
			if !p.pause(vary(noConfigurationPause), nil) {
				return
			}
			continue
		case err != nil:
			failures++
			if !p.pause(backoff(failures), nil) {
				return
			}
			continue
		}
		failures = 0
		p.peers.announce()
		wait := vary(interval) - wantedPause
		if !p.pause(wantedPause, nil) || !p.pause(wait, p.configurationRequest.woken) {
			return
		}
	}
}

// request asks a loop for a read before the next regular one.
type request struct {
	isAsked *atomic.Bool
	woken   chan struct{}
}

func newRequest() request { return request{isAsked: new(atomic.Bool), woken: make(chan struct{}, 1)} }

// ask makes the loop read at its next opportunity.
func (r request) ask() {
	r.isAsked.Store(true)
	r.wake()
}

// wake makes the loop check whether a read is due.
func (r request) wake() {
	select {
	case r.woken <- struct{}{}:
	default:
	}
}

// take reports whether a read was asked for since the last call.
func (r request) take() bool { return r.isAsked.Swap(false) }

// noteStart tells the plan when the store was asked for everything once.
func (p *Process) noteStart() {
	if p.asked.Add(1) == startCalls {
		p.update(func(now time.Time) { p.peers.plan.HasStarted(now) })
	}
}

// startCalls is the number of calls with which a process starts: the configuration and the endpoints.
const startCalls = 2

func (p *Process) isDue(check func() bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return check()
}

func (p *Process) fetchConfiguration() error {
	began := p.adapters.Clock.Now()
	c, faults, err := p.adapters.Store.Configuration(p.ctx)
	if p.noteCall("configuration", err); err != nil {
		return err
	}
	p.reportFaults(faults)
	p.update(func(now time.Time) {
		p.configure(now, c, "store")
		p.peers.plan.ConfirmConfiguration(began)
	})
	p.forwarder.Confirm(began)
	return nil
}

// configure puts a configuration in force if it is newer. The caller holds p.mu.
func (p *Process) configure(now time.Time, c *directory.Configuration, source string) {
	if !p.state.Configure(now, c) {
		return
	}
	p.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "source", source)
	if r := p.peers.runner; r != nil {
		r.SetTableVersion(c.Version)
	}
}

// readEndpoints follows the registered endpoints, as long as this balancer is the reader or hears too little of others.
func (p *Process) readEndpoints() {
	failures := 0
	isKnown := false // changes can be watched from the known revision on
	isFresh := false // a first list may be stale: the watch that follows brings what is missing
	for {
		isDue := func() bool { return p.peers.plan.ReadsEndpoints(p.adapters.Clock.Now()) }
		if isKnown && !p.endpointsRequest.take() && !p.isDue(isDue) {
			if !p.pause(idlePause, p.endpointsRequest.woken) {
				return
			}
			continue
		}
		var err error
		if isKnown {
			err = p.watchEndpoints()
		} else {
			err = p.listEndpoints(isFresh)
			p.noteStart()
		}
		if p.ctx.Err() != nil {
			return
		}
		var gone *HistoryGoneError
		switch {
		case errors.As(err, &gone):
			p.log.Warn("changes of endpoints were missed", "revision", gone.Revision)
			isKnown, isFresh = false, true
		case err != nil:
			failures++
			if !p.pause(backoff(failures), nil) {
				return
			}
		default:
			isKnown, failures = true, 0
			p.peers.announce()
			if !p.pause(watchPause, nil) {
				return
			}
		}
	}
}

func (p *Process) listEndpoints(isFresh bool) error {
	began := p.adapters.Clock.Now()
	list, revision, faults, err := p.adapters.Store.Endpoints(p.ctx, isFresh)
	if p.noteCall("endpoints", err); err != nil {
		return err
	}
	p.reportFaults(faults)
	p.update(func(now time.Time) {
		p.state.Replace(now, list, revision)
		if isFresh {
			p.peers.plan.ConfirmEndpoints(began)
		}
	})
	p.log.Info("endpoints listed", "endpoints", len(list), "revision", revision)
	return nil
}

func (p *Process) watchEndpoints() error {
	p.mu.Lock()
	after := p.state.Revision()
	p.mu.Unlock()
	changes, revision, faults, err := p.adapters.Store.WatchEndpoints(p.ctx, after, watchWait)
	if p.noteCall("endpoints", err); err != nil {
		return err
	}
	p.reportFaults(faults)
	p.update(func(now time.Time) {
		p.apply(now, changes, after, revision, "store")
		p.peers.plan.ConfirmEndpoints(now)
	})
	return nil
}

// apply takes changes of endpoints over. The caller holds p.mu.
func (p *Process) apply(now time.Time, changes []discovery.Change, after, revision uint64, source string) {
	applied, _ := p.state.Apply(now, changes, after, revision)
	for _, c := range applied {
		p.logChange(c, source)
	}
}

// logChange logs what a change of an endpoint means for new flows.
func (p *Process) logChange(c discovery.Change, source string) {
	if c.Endpoint == nil {
		p.log.Info("endpoint gone", "id", c.ID, "revision", c.Revision, "source", source)
		return
	}
	p.log.Info("endpoint registered", "id", c.ID, "service", c.Endpoint.Service, "address",
		c.Endpoint.Address.String(), "is_leaving", c.Endpoint.IsLeaving, "revision", c.Revision, "source", source)
}

// wake lets the reads check at once whether they are due.
func (p *Process) wake() {
	p.configurationRequest.wake()
	p.endpointsRequest.wake()
}

// noteCall tells the state whether the store answers, and logs when that changes.
func (p *Process) noteCall(what string, err error) {
	var gone *HistoryGoneError
	if p.ctx.Err() != nil {
		return
	}
	var none *NoConfigurationError
	isAway := err != nil && !errors.As(err, &gone) && !errors.As(err, &none)
	outcome := "answered"
	if isAway {
		outcome = "failed"
	}
	p.metrics.Count(metric.StoreCalls, what+" "+outcome, 1)
	p.update(func(now time.Time) {
		if isAway {
			p.state.StoreAway(now)
		} else {
			p.state.StoreAnswered(now)
		}
	})
	key, reason := "store "+what, ""
	if isAway {
		reason = "the store does not answer"
	}
	p.mu.Lock()
	was := p.bad[key]
	p.bad[key] = reason
	p.mu.Unlock()
	switch {
	case reason != "" && was == "":
		p.log.Warn("store lost", "call", what, "error", err)
	case reason == "" && was != "":
		p.log.Info("store regained", "call", what)
	}
}

// reportFaults counts entries that cannot be used and logs each cause once.
func (p *Process) reportFaults(faults []Fault) {
	for _, f := range faults {
		p.metrics.Count(metric.BadEntry, f.Subject, 1)
		key := f.Subject + " " + f.Name
		p.mu.Lock()
		isNew := p.bad[key] != f.Reason && len(p.bad) < maxBad
		if isNew {
			p.bad[key] = f.Reason
		}
		p.mu.Unlock()
		if isNew {
			p.log.Warn("entry not usable", "subject", f.Subject, "name", f.Name, "reason", f.Reason)
		}
	}
}

// maxBad bounds the memory for faults that were logged.
const maxBad = 1000

// noteDecision logs what happens to a flow, and asks for fresh data after a packet that could not be placed.
func (p *Process) noteDecision(now time.Time, packet *steering.Packet, d steering.Decision) {
	p.decisions.note(now, packet, d)
	if d.Verdict != steering.Drop {
		return
	}
	switch d.Reason {
	case steering.ReasonNoRoute:
		p.configurationRequest.ask()
	case steering.ReasonUnknownCookie:
		p.endpointsRequest.ask()
	}
}

func (p *Process) countMalformed(err error) {
	var malformed *PacketError
	if errors.As(err, &malformed) {
		p.metrics.Count(metric.Dropped, "malformed_"+malformed.Reason, 1)
	}
}

// pause waits, or until early is signalled, and reports whether the process goes on.
func (p *Process) pause(d time.Duration, early <-chan struct{}) bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-early:
	case <-p.adapters.Clock.After(d):
	}
	return p.ctx.Err() == nil
}

func backoff(failures int) time.Duration {
	return vary(min(firstPause<<min(failures-1, 8), maxPause))
}

// vary changes a wait by a tenth, so that balancers which started together do not call together.
func vary(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
