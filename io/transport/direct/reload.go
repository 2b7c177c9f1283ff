package direct

import (
	"net/netip"
	"slices"

	"cornellb/core/coordination/steering"
)

// coldLimit returns the limit of flows on cold endpoints. The list of peers may contain this balancer itself.
func (s *Settings) coldLimit() steering.ColdLimit {
	isOther := func(a netip.AddrPort) bool { return a != s.PeerAddress }
	return steering.ColdLimit{Overshoot: s.ColdOvershoot, Slack: s.ColdSlack, HasPeers: slices.ContainsFunc(s.Peers, isOther)}
}

// Reload applies new settings for peers, limits, cold endpoints and the learning of speeds. Names, addresses, the readiness
// path and the flow age cannot change while the process runs. A change of them takes effect at the next start and is logged.
func (p *Process) Reload(s *Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.settings
	applied := *old
	applied.Peers, applied.ApplyLimit, applied.LeaveLimit, applied.DrainLimit = s.Peers, s.ApplyLimit, s.LeaveLimit, s.DrainLimit
	applied.EvacuateLimit = s.EvacuateLimit
	applied.ColdOvershoot, applied.ColdSlack = s.ColdOvershoot, s.ColdSlack
	var changed []string
	if !slices.Equal(old.Peers, s.Peers) {
		changed = append(changed, "peers")
		if p.peers.runner != nil {
			p.peers.runner.SetHints(s.Peers, nil)
		}
	}
	if old.ApplyLimit != s.ApplyLimit {
		changed = append(changed, "apply_limit")
	}
	if old.LeaveLimit != s.LeaveLimit {
		changed = append(changed, "leave_limit")
	}
	if old.DrainLimit != s.DrainLimit {
		changed = append(changed, "drain_limit")
	}
	if old.EvacuateLimit != s.EvacuateLimit {
		changed = append(changed, "evacuate_limit")
	}
	if old.LearnsSpeed != s.LearnsSpeed {
		changed = append(changed, "learns_speed")
		applied.LearnsSpeed = s.LearnsSpeed
		p.forwarder.SetLearnsSpeed(s.LearnsSpeed)
	}
	if old.ColdOvershoot != s.ColdOvershoot || old.ColdSlack != s.ColdSlack {
		changed = append(changed, "cold_limit")
	}
	p.settings = &applied
	p.forwarder.SetColdLimit(p.adapters.Clock.Now(), applied.coldLimit())
	limits := applied.limits()
	p.peers.plan.SetLimits(limits)
	p.forwarder.SetConfirmedFor(limits.Configuration)
	p.log.Info("settings reloaded", "changed", changed)
	if needsRestart := s.ID != old.ID || s.FailureDomain != old.FailureDomain || s.PacketAddress != old.PacketAddress ||
		s.ReadyAddress != old.ReadyAddress || s.ReadyPath != old.ReadyPath || s.OperatorAddress != old.OperatorAddress ||
		s.PeerAddress != old.PeerAddress || s.FlowAge != old.FlowAge; needsRestart {
		p.log.Warn("host, failure domain, flow age, readiness path or an address changed; this takes effect at the next start",
			"host", s.ID, "failure_domain", s.FailureDomain)
	}
}
