package direct

import (
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/steering"
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
	// defaultInterval is the time between reads of the configuration if no limit is set.
	defaultInterval = 1500 * time.Millisecond
)

// readConfiguration reads the configuration at regular intervals. A watch alone is not enough: it can stay silent while
// changes are made.
func (p *Process) readConfiguration() {
	interval := time.Duration(configurationShare * float64(p.settings.ApplyLimit))
	if interval <= 0 {
		interval = defaultInterval
	}
	failures := 0
	for {
		began := p.adapters.Clock.Now()
		c, faults, err := p.adapters.Store.Configuration(p.ctx)
		if p.ctx.Err() != nil {
			return
		}
		p.noteCall("configuration", err)
		if err != nil {
			failures++
			if !p.pause(backoff(failures), nil) {
				return
			}
			continue
		}
		failures = 0
		p.reportFaults(faults)
		p.update(func(now time.Time) {
			if p.state.Configure(now, c) {
				p.log.Info("configuration in force", "version", c.Version, "routes", len(c.Routes), "source", "store")
			}
		})
		p.forwarder.Confirm(began)
		if !p.pause(wantedPause, nil) || !p.pause(spread(interval)-wantedPause, p.wanted) {
			return
		}
	}
}

// readEndpoints follows the registered endpoints.
func (p *Process) readEndpoints() {
	failures := 0
	for {
		err := p.listEndpoints()
		for err == nil {
			failures = 0
			err = p.watchEndpoints()
		}
		if p.ctx.Err() != nil {
			return
		}
		var gone *HistoryGoneError
		if errors.As(err, &gone) {
			p.log.Warn("changes of endpoints were missed", "revision", gone.Revision)
			continue
		}
		failures++
		if !p.pause(backoff(failures), nil) {
			return
		}
	}
}

func (p *Process) listEndpoints() error {
	list, revision, faults, err := p.adapters.Store.Endpoints(p.ctx, true)
	if p.noteCall("endpoints", err); err != nil {
		return err
	}
	p.reportFaults(faults)
	p.update(func(now time.Time) { p.state.Replace(now, list, revision) })
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
		for _, c := range changes {
			if !p.state.Change(now, c) {
				continue
			}
			if c.Endpoint == nil {
				p.log.Info("endpoint gone", "id", c.ID, "revision", c.Revision)
				continue
			}
			p.log.Info("endpoint registered", "id", c.ID, "service", c.Endpoint.Service, "address",
				c.Endpoint.Address.String(), "is_leaving", c.Endpoint.IsLeaving, "revision", c.Revision)
		}
		p.state.Advance(revision)
	})
	return nil
}

// noteCall tells the state whether the store answers, and logs when that changes.
func (p *Process) noteCall(what string, err error) {
	var gone *HistoryGoneError
	if p.ctx.Err() != nil {
		return
	}
	isAway := err != nil && !errors.As(err, &gone)
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

// noteDecision asks for fresh data after a packet that could not be placed, and logs refusals.
func (p *Process) noteDecision(packet *steering.Packet, d steering.Decision) {
	if d.Verdict == steering.Forward {
		return
	}
	if d.Reason == steering.ReasonNoRoute && d.Verdict == steering.Drop {
		select {
		case p.wanted <- struct{}{}:
		default:
		}
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
	return spread(min(firstPause<<min(failures-1, 8), maxPause))
}

// spread varies a wait by a tenth, so that balancers which started together do not call together.
func spread(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.9 + 0.2*rand.Float64()))
}
