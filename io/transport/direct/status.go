package direct

import (
	"net/netip"

	"cornellb/core/state/member"
	"cornellb/io/transport/operator"
)

// Status implements operator.StateProvider.
func (p *Process) Status() any {
	s, settings, view := p.status()
	own := settings.OperatorAddress
	s.Members = []operator.BalancerMember{{ID: s.Host, FailureDomain: s.FailureDomain, OperatorAddress: own.String()}}
	if view == nil {
		return s
	}
	for _, m := range view.Hosts {
		if m.Incarnation != view.Self.Incarnation && m.IsReachable() {
			s.Members = append(s.Members, operator.BalancerMember{
				ID: m.ID, FailureDomain: m.FailureDomain,
				OperatorAddress: netip.AddrPortFrom(m.Address.Addr(), own.Port()).String(), // all balancers use the same port
			})
		}
	}
	return s
}

// BriefStatus implements operator.BriefStatusProvider.
func (p *Process) BriefStatus() any {
	s, _, _ := p.status()
	return s
}

// status returns the status without members, and what the members are listed from. Settings and view, which may be nil,
// are replaced and never changed, so that no lock is held while many members are listed.
func (p *Process) status() (*operator.BalancerStatus, *Settings, *member.View) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &operator.BalancerStatus{
		Host: p.settings.ID, FailureDomain: p.settings.FailureDomain, Version: p.state.Version(),
		Revision: p.state.Position().Revision, Era: p.state.Position().Era, IsReady: p.IsReady(), Evacuated: p.evacuations.inForce,
	}
	if e := p.evacuations.state; e != nil && e.IsKnown() {
		s.Evacuations = operator.NewEvacuationsPosition(e.Current().Position)
	}
	return s, p.settings, p.peers.view
}
