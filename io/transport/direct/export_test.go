package direct

import "time"

// Ages returns the ages that the gauges of the configuration and the endpoints show.
func (p *Process) Ages() (configuration, endpoints time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peers.plan.Ages(p.adapters.Clock.Now())
}

// ProbeEndpoint carries out one probe.
var ProbeEndpoint = probe
