package direct

import (
	"maps"
	"time"

	"cornellb/core/state/metric"
)

// registerGauges registers the gauges that show the state of this balancer and how old its data is.
func (p *Process) registerGauges() error {
	gauges := map[metric.Gauge]func(now time.Time) int64{
		metric.Version: func(time.Time) int64 { return int64(p.state.Version()) },
		metric.VersionAge: func(now time.Time) int64 {
			age, _ := p.peers.plan.Ages(now)
			return age.Milliseconds()
		},
		metric.EndpointAge: func(now time.Time) int64 {
			_, age := p.peers.plan.Ages(now)
			return age.Milliseconds()
		},
		metric.StoreEra:          func(time.Time) int64 { return int64(p.state.Position().Era) },
		metric.OpenEndpoints:     func(time.Time) int64 { return int64(p.state.OpenEndpoints()) },
		metric.SuspectEndpoints:  func(now time.Time) int64 { return int64(p.forwarder.SuspectEndpoints(now)) },
		metric.DegradedEndpoints: func(time.Time) int64 { return int64(p.forwarder.DegradedEndpoints()) },
		metric.SlowEndpoints:     func(time.Time) int64 { return int64(p.forwarder.SlowEndpoints()) },
		metric.OverloadedCount:   func(time.Time) int64 { return int64(p.forwarder.OverloadedServices()) },
		metric.ColdEndpoints:     func(now time.Time) int64 { return int64(p.forwarder.ColdEndpoints(now)) },
		metric.TrackedFlows:      func(time.Time) int64 { return int64(p.forwarder.TrackedFlows()) },
		metric.ReachableMembers:  func(time.Time) int64 { return int64(p.peers.reachable) },
		metric.IsStoreReader: func(time.Time) int64 {
			if p.peers.plan.IsReader() {
				return 1
			}
			return 0
		},
	}
	maps.Copy(gauges, p.evacuationGauges())
	if log := p.adapters.Log; log != nil {
		gauges[metric.LogLinesDropped] = func(time.Time) int64 { return log.Dropped() }
	}
	for name, read := range gauges {
		err := p.metrics.Gauge(name, func() int64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return read(p.adapters.Clock.Now())
		})
		if err != nil {
			return err
		}
	}
	return nil
}
