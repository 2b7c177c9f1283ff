package direct

import (
	"math/rand/v2"
	"strings"
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
	// readIntervalShare is the time between two reads of the configuration, as a share of the limit within which a
	// configuration must take effect. Two failed reads still fit into the limit.
	readIntervalShare = 0.45
	// firstBackoff is the wait after a failed call at the start; it doubles with each further one up to maxBackoff.
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = time.Second
	// minReadInterval is the least time between a successful read of the configuration and the next one, which bounds
	// the reads that packets to unknown routes cause.
	minReadInterval = 300 * time.Millisecond
	// defaultApplyLimit is the limit within which a configuration must take effect if the settings have none.
	defaultApplyLimit = 3 * time.Second
	// takeoverShare is the share of that limit after which a balancer that has received no announcement from the reader
	// reads the store itself. It is longer than the time between two reads, and leaves time for a call.
	takeoverShare = 0.65
	// watchShare is how long a watch waits for changes, as a share of the limit within which endpoints that leave must get
	// no new flows. It is the time between two announcements while nothing changes.
	watchShare = 0.4
	// endpointsShare is the share of that limit after which a balancer that has received no announcement reads the store
	// itself. It is longer than a watch, and leaves time for a call on a connection that has gone silent and its repetition.
	endpointsShare = 0.57
	// noConfigurationPause is the time between two reads while the operator has not written a configuration.
	noConfigurationPause = 250 * time.Millisecond
	// watchPauseShare is the least time between the beginnings of two watches, as a share of the same limit. Changes in quick
	// succession are read together, since each call of the store has its price.
	watchPauseShare = 0.07
	// defaultLeaveLimit is that limit if the settings have none. A longer one than maxLeaveLimit counts as that: new endpoints
	// and those that are gone must not become known later for it.
	defaultLeaveLimit = 3 * time.Second
	maxLeaveLimit     = 5 * time.Second
	// idlePause is the time between two checks of whether a read is due.
	idlePause = 100 * time.Millisecond
)

// applyLimit returns ApplyLimit or its default.
func (s *Settings) applyLimit() time.Duration {
	if s.ApplyLimit > 0 {
		return s.ApplyLimit
	}
	return defaultApplyLimit
}

// leaveLimit returns LeaveLimit or its default, at most maxLeaveLimit.
func (s *Settings) leaveLimit() time.Duration {
	if s.LeaveLimit > 0 {
		return min(s.LeaveLimit, maxLeaveLimit)
	}
	return defaultLeaveLimit
}

// currentSettings returns the settings in force.
func (p *Process) currentSettings() *Settings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settings
}

// limits returns how old the configuration, the endpoints and the evacuations may be before a balancer reads the store itself.
func (s *Settings) limits() spread.Limits {
	return spread.Limits{
		Configuration: share(takeoverShare, s.applyLimit()), Endpoints: share(endpointsShare, s.leaveLimit()),
		Evacuations: share(evacuationsShare, s.EvacuateLimit),
	}
}

// watchWait returns how long a watch of the endpoints waits for changes.
func (s *Settings) watchWait() time.Duration { return share(watchShare, s.leaveLimit()) }

// share returns a part of a duration.
func share(part float64, d time.Duration) time.Duration { return time.Duration(part * float64(d)) }

// readConfiguration reads the configuration at regular intervals while this balancer is the reader of its failure
// domain (see core/coordination/spread) or has received no recent announcement from the reader, and whenever a read is
// requested. A watch alone is not enough: it can return nothing although changes are made.
func (p *Process) readConfiguration() {
	failures := 0
	for {
		interval := share(readIntervalShare, p.currentSettings().applyLimit())
		isDue := func() bool { return p.peers.plan.ReadsConfiguration(p.adapters.Clock.Now()) }
		isRetry := failures > 0 && !p.isComplete.Load()
		// While the store does not answer, a packet to an unknown route is no reason to call it again.
		isRequested := p.configurationRequest.take() && failures == 0
		if !isRetry && !isRequested && !p.withLock(isDue) {
			failures = 0
			if !p.pause(idlePause, p.configurationRequest.wakeup) {
				return
			}
			continue
		}
		err := p.fetchConfiguration()
		if p.ctx.Err() != nil {
			return
		}
		p.recordStartupRead(&p.wasConfigurationRead)
		var none *NoConfigurationError
		switch {
		case errors.As(err, &none):
			failures = 0
			if !p.pause(jitter(noConfigurationPause), nil) {
				return
			}
			continue
		case err != nil:
			failures++
			if !p.pause(p.retryDelay(failures), nil) {
				return
			}
			continue
		}
		failures = 0
		p.peers.announce()
		wait := jitter(interval) - minReadInterval
		if !p.pause(minReadInterval, nil) || !p.pause(wait, p.configurationRequest.wakeup) {
			return
		}
	}
}

// readRequest lets other goroutines request a read from the loop in readConfiguration or readEndpoints before the next
// regular one.
type readRequest struct {
	isPending *atomic.Bool
	wakeup    chan struct{}
}

func newReadRequest() readRequest {
	return readRequest{isPending: new(atomic.Bool), wakeup: make(chan struct{}, 1)}
}

// submit requests a read of the store as soon as possible, whether or not one is due.
func (r readRequest) submit() {
	r.isPending.Store(true)
	r.wake()
}

// wake makes the loop check whether a read is due.
func (r readRequest) wake() {
	select {
	case r.wakeup <- struct{}{}:
	default:
	}
}

// take reports whether a read was requested since the last call.
func (r readRequest) take() bool { return r.isPending.Swap(false) }

// recordStartupRead records a read of the configuration or of the endpoint list, failed ones too. After the first read
// of each it calls Plan.MarkStarted: the process has tried once to read everything.
func (p *Process) recordStartupRead(wasRead *bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if *wasRead {
		return
	}
	*wasRead = true
	if p.wasConfigurationRead && p.wereEndpointsRead {
		p.peers.plan.MarkStarted(p.adapters.Clock.Now())
	}
}

// withLock calls check under p.mu.
func (p *Process) withLock(check func() bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return check()
}

func (p *Process) fetchConfiguration() error {
	began := p.adapters.Clock.Now()
	c, faults, err := p.adapters.Store.Configuration(p.ctx)
	if p.recordStoreCall("configuration", err); err != nil {
		return err
	}
	p.logFaults(faults)
	p.update(func(now time.Time) {
		p.configure(now, c, "store")
		p.peers.plan.ConfirmConfiguration(began)
	})
	p.forwarder.Confirm(began)
	return nil
}

// configure applies a configuration if it is newer than the present one. The caller holds p.mu.
func (p *Process) configure(now time.Time, c *directory.Configuration, source string) {
	if !p.state.Configure(now, c) {
		return
	}
	p.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "source", source)
	if r := p.peers.runner; r != nil {
		r.SetTableVersion(c.Version)
	}
}

// readEndpoints lists the registered endpoints once. It watches their changes while this balancer is the reader or has
// received no recent announcement from the reader, and whenever a read is requested.
func (p *Process) readEndpoints() {
	failures := 0
	isListed := false // the revision of the list is known, so changes after it can be watched
	isFresh := false  // the first list may be stale: the watch that follows returns the missing changes
	era := uint64(0)  // of the last reply that invalidated the revision
	lost := uint64(0) // that revision, until a watch is answered
	losses := 0       // how often it was invalid again
	var answeredAt time.Time
	for {
		isDue := func() bool { return p.peers.plan.ReadsEndpoints(p.adapters.Clock.Now()) }
		isRequested := p.endpointsRequest.take() && failures == 0
		if isListed && !isRequested && !p.withLock(isDue) {
			failures = 0
			if !p.pause(idlePause, p.endpointsRequest.wakeup) {
				return
			}
			continue
		}
		settings := p.currentSettings()
		began := p.adapters.Clock.Now()
		var err error
		if isListed {
			wait := settings.watchWait()
			if began.Sub(answeredAt) > wait {
				// The connections have been idle. A call that is answered at once shows sooner than a watch whether they
				// have gone silent meanwhile.
				wait = 0
			}
			if err = p.watchEndpoints(began, wait); err == nil {
				lost = 0
			}
		} else {
			err = p.listEndpoints(isFresh, era)
			p.recordStartupRead(&p.wereEndpointsRead)
		}
		if p.ctx.Err() != nil {
			return
		}
		var gone *HistoryGoneError
		switch {
		case errors.As(err, &gone):
			p.log.Warn("store no longer has all endpoint changes after the revision; listing the endpoints again",
				"revision", gone.Revision, "era", gone.Era)
			isListed, isFresh, era = false, true, gone.Era
			if gone.Revision != lost {
				lost, losses = gone.Revision, 0
				continue
			}
			// The list in between was older than what is known, as after a restore of a store that sends no era.
			if losses++; !p.pause(p.retryDelay(losses), nil) {
				return
			}
		case err != nil:
			failures++
			if !p.pause(p.retryDelay(failures), nil) {
				return
			}
		default:
			isListed, failures, answeredAt = true, 0, p.adapters.Clock.Now()
			p.peers.announce()
			rest := share(watchPauseShare, settings.leaveLimit()) - answeredAt.Sub(began)
			if rest > 0 && !p.pause(rest, nil) {
				return
			}
		}
	}
}

// listEndpoints lists the endpoints. era is one that the store is known to have reached; 0 if there is none.
func (p *Process) listEndpoints(isFresh bool, era uint64) error {
	began := p.adapters.Clock.Now()
	p.mu.Lock()
	era = max(era, p.state.Position().Era)
	p.mu.Unlock()
	list, at, faults, err := p.adapters.Store.Endpoints(p.ctx, isFresh)
	if p.recordStoreCall("endpoints", err); err != nil {
		return err
	}
	p.logFaults(faults)
	p.update(func(now time.Time) {
		at = discovery.StorePosition(at, era)
		before := p.state.Position()
		if p.state.Replace(now, list, at) {
			p.logEra(before, len(list), reregistrationTime, "store")
		}
		if isFresh && at.Era == p.state.Position().Era {
			p.peers.plan.ConfirmEndpoints(began)
		}
		if isFresh {
			p.observeRevision(began, nil, at) // the list says nothing about other objects but that some may have changed
		}
	})
	p.log.Info("all endpoints read from the store", "endpoints", len(list), "revision", at.Revision, "era", at.Era)
	return nil
}

// watchEndpoints waits for changes of endpoints. began is the time now.
func (p *Process) watchEndpoints(began time.Time, wait time.Duration) error {
	p.mu.Lock()
	after := p.state.Position()
	p.mu.Unlock()
	changes, at, faults, err := p.adapters.Store.WatchEndpoints(p.ctx, after, wait)
	if p.recordStoreCall("endpoints", err); err != nil {
		return err
	}
	p.logFaults(faults)
	p.update(func(now time.Time) {
		// Another balancer may have sent the list of a higher era during the watch.
		if at = discovery.StorePosition(at, after.Era); after.Era != p.state.Position().Era || at.Era != after.Era {
			return
		}
		p.apply(now, changes, after, at, "store")
		if end := began.Add(wait); len(changes) == 0 && end.Before(now) {
			now = end // the reply may have been on its way for a while; the store has waited for as long as it was asked to
		}
		p.peers.plan.ConfirmEndpoints(now)
		p.observeRevision(now, changes, at)
	})
	return nil
}

// apply applies changes of endpoints to the state and logs those that were new. The caller holds p.mu.
func (p *Process) apply(now time.Time, changes []discovery.Change, after, at directory.Position, source string) {
	applied, _ := p.state.Apply(now, changes, after, at)
	for _, c := range applied {
		p.logChange(c, source)
	}
}

// logChange logs a change of an endpoint. source is where it came from: "store" or "balancer".
func (p *Process) logChange(c discovery.Change, source string) {
	if c.Endpoint == nil {
		p.log.Info("endpoint gone", "id", c.ID, "revision", c.Revision, "source", source)
		return
	}
	p.log.Info("endpoint registered", "id", c.ID, "service", c.Endpoint.Service, "address",
		c.Endpoint.Address.String(), "is_leaving", c.Endpoint.IsLeaving, "revision", c.Revision, "source", source)
}

// wake makes both read loops check at once whether a read is due.
func (p *Process) wake() {
	p.configurationRequest.wake()
	p.endpointsRequest.wake()
}

// recordStoreCall counts a call to the store, records in the state whether the store answered, and logs when that
// changes.
func (p *Process) recordStoreCall(call string, err error) {
	var gone *HistoryGoneError
	if p.ctx.Err() != nil {
		return
	}
	var none *NoConfigurationError
	isUnavailable := err != nil && !errors.As(err, &gone) && !errors.As(err, &none)
	outcome := "answered"
	if isUnavailable {
		outcome = "failed"
	}
	p.metrics.Count(metric.StoreCalls, call+" "+outcome, 1)
	p.update(func(now time.Time) {
		if isUnavailable {
			p.state.StoreUnavailable(now)
		} else {
			p.state.StoreAnswered(now)
		}
	})
	key, reason := "store "+call, ""
	if isUnavailable {
		reason = "the store does not answer"
	}
	p.mu.Lock()
	was := p.loggedFaults[key]
	p.loggedFaults[key] = reason
	p.mu.Unlock()
	switch {
	case reason != "" && was == "":
		p.log.Warn("store lost", "call", call, "error", err)
	case reason == "" && was != "":
		p.log.Info("store regained", "call", call)
	}
}

// logFaults counts entries of the store that cannot be used, and logs an entry again only when its reason changes.
func (p *Process) logFaults(faults []Fault) {
	for _, f := range faults {
		p.metrics.Count(metric.BadEntry, f.Subject, 1)
		f.Name, f.Reason = shorten(f.Name), shorten(f.Reason)
		key := f.Subject + " " + f.Name
		p.mu.Lock()
		logged, isKnown := p.loggedFaults[key]
		isNew := logged != f.Reason && (isKnown || len(p.loggedFaults) < maxLoggedFaults)
		if isNew {
			p.loggedFaults[key] = f.Reason
		}
		p.mu.Unlock()
		if isNew {
			p.log.Warn("entry not usable", "subject", f.Subject, "name", f.Name, "reason", f.Reason)
		}
	}
}

// maxFaultBytes bounds the name and the reason of a fault in logs. Both may quote an entry, which has up to 1 MB.
const maxFaultBytes = 200

func shorten(s string) string {
	if len(s) <= maxFaultBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxFaultBytes], "") + "..."
}

// maxLoggedFaults bounds the memory for faults that were logged. Beyond it, faults of further entries are only counted.
const maxLoggedFaults = 1000

// recordDecision logs a decision, and requests a read of the store after a packet was dropped for an unknown route or
// cookie.
func (p *Process) recordDecision(now time.Time, packet *steering.Packet, d steering.Decision) {
	p.decisions.record(now, packet, d)
	if d.Verdict != steering.Drop {
		return
	}
	switch d.Reason {
	case steering.ReasonNoRoute:
		p.configurationRequest.submit()
	case steering.ReasonUnknownCookie:
		p.endpointsRequest.submit()
	}
}

func (p *Process) countMalformed(err error) {
	var malformed *PacketError
	if errors.As(err, &malformed) {
		p.metrics.Count(metric.Dropped, "malformed_"+malformed.Reason, 1)
	}
}

// pause waits for d, or until early is signalled, and reports whether the process is still running.
func (p *Process) pause(d time.Duration, early <-chan struct{}) bool {
	select {
	case <-p.ctx.Done():
		return false
	case <-early:
	case <-p.adapters.Clock.After(d):
	}
	return p.ctx.Err() == nil
}

// retryDelay returns the wait after a number of failed calls to the store in a row. A balancer that is not complete yet
// waits no longer than a reader.
func (p *Process) retryDelay(failures int) time.Duration {
	delay := min(firstBackoff<<min(failures-1, 8), maxBackoff)
	if p.isComplete.Load() {
		p.mu.Lock()
		delay = p.peers.plan.RetryDelay(failures)
		p.mu.Unlock()
	}
	return jitter(delay)
}

// jitter changes a wait at random by up to a tenth, so that balancers which started together do not call together.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
