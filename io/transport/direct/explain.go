package direct

import (
	"net/netip"

	"cornellb/core/coordination/steering"
	"cornellb/io/transport/operator"
)

// verdictTexts are the verdicts in the form of explanations.
var verdictTexts = map[steering.Verdict]string{
	steering.Drop: "drop", steering.Forward: "forward", steering.Reset: "reset", steering.Hold: "hold",
}

// Explain implements operator.Explainer.
func (p *Process) Explain(service, client netip.AddrPort) any {
	x := p.forwarder.Explain(p.adapters.Clock.Now(), steering.FlowKey{Client: client, Service: service})
	s, _, _ := p.status()
	r := &operator.Explanation{
		Host: s.Host, FailureDomain: s.FailureDomain, Service: service, Client: client,
		Verdict: verdictTexts[x.Verdict], Reason: string(x.Reason), Rule: x.Rule,
		Version: x.Version, VersionAgeMS: x.VersionAge.Milliseconds(), Selected: x.Selected,
		FailureDomains: []operator.ExplainedDomain{}, Candidates: []operator.Candidate{}, Others: x.Others, Trials: x.Trials,
	}
	if x.Route != nil {
		a := operator.ExplainedAdmission(x.Admission)
		r.Route, r.Admission = &operator.ExplainedRoute{Name: x.Route.Name, Priority: x.Route.Priority}, &a
		for _, t := range x.Route.Targets {
			r.Route.Targets = append(r.Route.Targets, operator.ExplainedTarget(t))
		}
	}
	for _, d := range x.Domains {
		r.FailureDomains = append(r.FailureDomains, operator.ExplainedDomain(d))
	}
	for _, c := range x.Candidates {
		r.Candidates = append(r.Candidates, operator.Candidate{
			Endpoint: c.Endpoint, Domain: c.Domain, Load: c.Load, Flows: c.Flows, Speed: c.Speed, Penalty: c.Penalty,
			IsSuspect: c.IsSuspect, SuspectForMS: c.SuspectFor.Milliseconds(), ColdForMS: c.ColdFor.Milliseconds(),
			MayOpen: c.MayOpen, Cost: c.Cost, Likelihood: c.Likelihood,
		})
	}
	return r
}
