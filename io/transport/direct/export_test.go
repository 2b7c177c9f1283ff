package direct

import (
	"time"

	"cornellb/core/coordination/spread"
)

// Ages returns the ages that the gauges of the configuration and the endpoints show.
func (p *Process) Ages() (configuration, endpoints time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers.plan.Ages(p.adapters.Clock.Now())
}

// ColdEndpoints returns the value of the gauge of cold endpoints.
func (p *Process) ColdEndpoints() int { return p.forwarder.ColdEndpoints(p.adapters.Clock.Now()) }

// ProbeEndpoint carries out one probe.
var ProbeEndpoint = probe

// Limits returns how old the configuration and the endpoints may be before a balancer reads the store itself.
func (s *Settings) Limits() spread.Limits { return s.limits() }

// WatchWait returns how long a watch of the endpoints waits for changes.
func (s *Settings) WatchWait() time.Duration { return s.watchWait() }
