package operator

import (
	"cmp"
	"slices"

	"cornellb/core/state/directory"
)

// BalancerStatus is what a balancer in the direct return mode returns for /status.
type BalancerStatus struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failure_domain"`
	Version       uint64 `json:"version"` // of the configuration in force
	Revision      uint64 `json:"revision"`
	Era           uint64 `json:"era"` // of the store
	IsReady       bool   `json:"is_ready"`

	Evacuated   []string             `json:"evacuated"`   // failure domains whose evacuation is in force
	Evacuations *EvacuationsPosition `json:"evacuations"` // nil if the set is not known or not read

	Members []BalancerMember `json:"members,omitempty"` // reachable ones, with the balancer itself; not in a brief status
}

// EvacuationsPosition is the position of the store that the set of evacuations belongs to.
type EvacuationsPosition struct {
	Era      uint64 `json:"era"`
	Revision uint64 `json:"revision"`
}

// NewEvacuationsPosition returns the position of a set in the form of the status.
func NewEvacuationsPosition(p directory.Position) *EvacuationsPosition {
	return &EvacuationsPosition{Era: p.Era, Revision: p.Revision}
}

// BalancerMember is one member of the status.
type BalancerMember struct {
	ID              string `json:"id"`
	FailureDomain   string `json:"failure_domain"`
	OperatorAddress string `json:"operator_address"`
}

// Evacuates reports whether the evacuation of a failure domain is in force.
func (s *BalancerStatus) Evacuates(domain string) bool { return slices.Contains(s.Evacuated, domain) }

// HasRestored reports whether no evacuation of the failure domain is in force. A balancer that does not know the set is
// not counted, unless it is ready and so needs none.
func (s *BalancerStatus) HasRestored(domain string) bool {
	return (s.Evacuations != nil || s.IsReady) && !s.Evacuates(domain)
}

// Balancer is a member with its status, or the reason why there is none.
type Balancer struct {
	BalancerMember
	Status *BalancerStatus // brief; nil if the member did not answer
	Err    error
}

// Summary is what the balancers of a fleet have in force.
type Summary struct {
	Balancers      int                 `json:"balancers"` // that the asked one reaches
	Answered       int                 `json:"answered"`
	FailureDomains []DomainSummary     `json:"failure_domains"` // sorted by name
	Evacuations    []EvacuationSummary `json:"evacuations"`     // in force on at least one balancer, sorted by name
	Unanswered     []string            `json:"unanswered"`      // IDs
}

// DomainSummary describes the balancers of one failure domain.
type DomainSummary struct {
	FailureDomain string         `json:"failure_domain"`
	Balancers     int            `json:"balancers"`
	Answered      int            `json:"answered"`
	Ready         int            `json:"ready"`
	Versions      []VersionCount `json:"versions"` // highest first
}

// VersionCount is a version of the configuration and the number of balancers that have it in force.
type VersionCount struct {
	Version   uint64 `json:"version"`
	Balancers int    `json:"balancers"`
}

// EvacuationSummary tells on how many balancers an evacuation is in force.
type EvacuationSummary struct {
	FailureDomain string   `json:"failure_domain"` // the evacuated one
	InForce       int      `json:"in_force"`
	Behind        []string `json:"behind"` // IDs of balancers that answered and do not have it in force
}

// Summarize adds up the balancers by failure domain.
func Summarize(list []Balancer) Summary {
	s := Summary{
		Balancers: len(list), FailureDomains: []DomainSummary{}, Evacuations: []EvacuationSummary{}, Unanswered: []string{},
	}
	domains, versions := make(map[string]*DomainSummary), make(map[string]map[uint64]int)
	evacuated := make(map[string]bool)
	for _, b := range list {
		d := domains[b.FailureDomain]
		if d == nil {
			d = &DomainSummary{FailureDomain: b.FailureDomain}
			domains[b.FailureDomain], versions[b.FailureDomain] = d, make(map[uint64]int)
		}
		d.Balancers++
		if b.Status == nil {
			s.Unanswered = append(s.Unanswered, b.ID)
			continue
		}
		s.Answered++
		d.Answered++
		if b.Status.IsReady {
			d.Ready++
		}
		versions[b.FailureDomain][b.Status.Version]++
		for _, name := range b.Status.Evacuated {
			evacuated[name] = true
		}
	}
	for name, d := range domains {
		for v, n := range versions[name] {
			d.Versions = append(d.Versions, VersionCount{Version: v, Balancers: n})
		}
		slices.SortFunc(d.Versions, func(a, b VersionCount) int { return cmp.Compare(b.Version, a.Version) })
		s.FailureDomains = append(s.FailureDomains, *d)
	}
	slices.SortFunc(s.FailureDomains, func(a, b DomainSummary) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	for name := range evacuated {
		s.Evacuations = append(s.Evacuations, summarizeEvacuation(name, list))
	}
	slices.SortFunc(s.Evacuations, func(a, b EvacuationSummary) int { return cmp.Compare(a.FailureDomain, b.FailureDomain) })
	return s
}

func summarizeEvacuation(domain string, list []Balancer) EvacuationSummary {
	e := EvacuationSummary{FailureDomain: domain, Behind: []string{}}
	for _, b := range list {
		switch {
		case b.Status == nil:
		case b.Status.Evacuates(domain):
			e.InForce++
		default:
			e.Behind = append(e.Behind, b.ID)
		}
	}
	return e
}
