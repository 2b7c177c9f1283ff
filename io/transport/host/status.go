package host

import (
	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/member"
)

// Status is the JSON object that /status returns.
type Status struct {
	ID            string                   `json:"id"`
	FailureDomain string                   `json:"failure_domain"`
	Incarnation   uint64                   `json:"incarnation"`
	Ready         bool                     `json:"ready"`
	Draining      bool                     `json:"draining"`
	TableVersion  uint64                   `json:"table_version"`
	Members       []Member                 `json:"members"`
	Shards        map[string]dispatch.Load `json:"pool_shards"`
}

// Member is one balancer in the local view.
type Member struct {
	ID            string `json:"id"`
	FailureDomain string `json:"failure_domain"`
	Incarnation   uint64 `json:"incarnation"`
	State         string `json:"state"`
}

// stateProvider implements operator.StateProvider.
type stateProvider struct{ h *Host }

func (p stateProvider) IsReady() bool {
	return !p.h.draining.Load() && p.h.joined.Load() && p.h.tables.IsReady()
}

func (p stateProvider) Status() any {
	h := p.h
	s := Status{
		ID: h.self.ID, FailureDomain: h.self.FailureDomain, Incarnation: uint64(h.self.Incarnation), Ready: p.IsReady(),
		Draining: h.draining.Load(), TableVersion: h.balancer.Version(), Shards: map[string]dispatch.Load{},
	}
	for _, m := range h.balancer.Plan().View.Hosts {
		s.Members = append(s.Members, newMember(m))
	}
	for key, load := range h.balancer.Loads() {
		s.Shards[key.String()] = load
	}
	return s
}

func newMember(m member.Host) Member {
	return Member{
		ID: m.ID, FailureDomain: m.FailureDomain, Incarnation: uint64(m.Incarnation), State: m.State.String(),
	}
}
