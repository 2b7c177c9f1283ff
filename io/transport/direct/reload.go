package direct

import "slices"

// Reload puts new settings in force. Names and addresses of a process cannot change while it runs; a change of them is
// logged and takes effect at the next start.
func (p *Process) Reload(s *Settings) {
	p.mu.Lock()
	defer p.mu.Unlock()
	old := p.settings
	applied := *old
	applied.Peers, applied.ApplyLimit, applied.DrainLimit = s.Peers, s.ApplyLimit, s.DrainLimit
	var changed []string
	if !slices.Equal(old.Peers, s.Peers) {
		changed = append(changed, "peers")
		if p.peers.runner != nil {
			p.peers.runner.SetHints(s.Peers, nil)
		}
	}
	if old.ApplyLimit != s.ApplyLimit {
		changed = append(changed, "apply_limit")
		p.peers.plan.SetLimits(p.limits(s.ApplyLimit))
	}
	if old.DrainLimit != s.DrainLimit {
		changed = append(changed, "drain_limit")
	}
	p.settings = &applied
	p.log.Info("settings reloaded", "changed", changed)
	if isOther := s.ID != old.ID || s.FailureDomain != old.FailureDomain || s.PacketAddress != old.PacketAddress ||
		s.ReadyAddress != old.ReadyAddress || s.PeerAddress != old.PeerAddress || s.FlowAge != old.FlowAge; isOther {
		p.log.Warn("some settings take effect at the next start", "host", s.ID, "failure_domain", s.FailureDomain)
	}
}
