package steering

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

const (
	// maxCandidates bounds the endpoints that an explanation lists.
	maxCandidates = 20
	// The number of trial choices of an explanation is trialCosts divided by the endpoints of the service, since a choice
	// may compare all of them, within minTrials and maxTrials. A comparison takes about 0.1 us.
	minTrials, maxTrials = 50, 500
	trialCosts           = 500_000
)

// Explanation says what would happen to the opening packet of a new flow, and why.
type Explanation struct {
	Flow       FlowKey
	Version    uint64        // of the configuration in force
	VersionAge time.Duration // since it was last known to be the newest; negative if it never was

	Route    *directory.Route // nil if there is none
	Selected string           // the service that the flow's hash selects; empty without a route

	Admission  Admission
	Domains    []DomainState // failure domains with endpoints of the service that may get new flows, by name
	Candidates []Candidate   // at most maxCandidates, see Explain
	Others     int           // endpoints that are not evacuated and not listed in Candidates
	Trials     int           // number of choices that the likelihoods come from; 0 if the flow is refused before

	Verdict Verdict
	Reason  Reason
	Rule    string // that decides, in a sentence
}

// Admission says whether the load of the service admits the flow.
type Admission struct {
	IsLimited   bool    // whether the routes of the service differ in priority; otherwise all flows are admitted
	Utilization float64 // requests without an answer for each slot
	Refusal     float64 // probability with which flows of the route are refused
	Hash        float64 // of the flow; it is refused if this is below Refusal
	IsAdmitted  bool
}

// DomainState describes the endpoints of the service in one failure domain.
type DomainState struct {
	Name        string
	IsOwn       bool
	IsEvacuated bool
	IsSuspect   bool
	Load        float64 // mean of the endpoints that may get flows, with one more on each; 0 if there are none
	Endpoints   int
	Eligible    int // endpoints that may get flows from this balancer and are not suspect
}

// Candidate describes one endpoint.
type Candidate struct {
	Endpoint   string
	Domain     string
	Load       float64 // flows of all balancers for each slot
	Flows      float64 // of all balancers
	Speed      float64 // relative to the usual one of the service
	Penalty    float64 // part of its share of new flows that it does not get, because it fails requests
	IsSuspect  bool
	SuspectFor time.Duration // until it is tried again; 0 if it is not suspect or is being tried
	ColdFor    time.Duration // for which its flows are limited; 0 if they are not
	MayOpen    bool          // whether this balancer may open flows on it now
	Cost       float64       // the lowest is chosen among those compared; 0 unless MayOpen
	Likelihood float64       // part of the trial choices that ended here
}

// Explain says what would happen to the first packet of a new flow now. It decides on a copy of the state, with a random
// source of its own, and changes nothing.
//
// Random samples decide which endpoints are compared. So the choice is made many times on the copy, always in the same
// state, and the likelihood of an endpoint is the part of these choices that ended there. The candidates are those of the
// failure domains that got any, the cheapest first, followed by those of the others.
func (f *Forwarder) Explain(now time.Time, k FlowKey) Explanation {
	x := Explanation{Flow: k}
	c := f.copyFor(now, k, &x)
	if c == nil {
		x.Verdict, x.Reason = Hold, ReasonNotReady
		x.Rule = "the balancer does not know the configuration, the endpoints or the evacuations yet, and holds the packet"
		return x
	}
	if x.Route == nil {
		d := c.missingRoute(now, &Packet{Flow: k, IsOpening: true})
		x.Verdict, x.Reason = d.Verdict, d.Reason
		x.Rule = missingRouteRule(d)
		return x
	}
	s := c.serviceNamed(now, x.Selected)
	x.Admission = c.explainAdmission(now, x.Route, x.Selected, k)
	x.Domains = c.explainDomains(now, s)
	var chosen map[*endpointState]int
	if x.Admission.IsAdmitted {
		x.Trials = min(max(trialCosts/max(s.endpoints, 1), minTrials), maxTrials)
		chosen, x.Reason = c.tryChoices(now, x.Selected, x.Trials)
	} else {
		x.Reason = ReasonNoRoom
	}
	x.Verdict = Reset
	if len(chosen) > 0 {
		x.Verdict, x.Reason = Forward, ReasonNone
	}
	x.Candidates = c.explainCandidates(now, s, chosen, x.Trials)
	x.Rule = c.rule(now, &x, s, chosen)
	x.Others = max(len(x.Candidates)-maxCandidates, 0)
	x.Candidates = x.Candidates[:len(x.Candidates)-x.Others]
	return x
}

// copyFor returns a forwarder with a copy of the state that decides on a new flow, and fills in what decides before an
// endpoint is chosen. It returns nil if the flow cannot be decided on yet.
func (f *Forwarder) copyFor(now time.Time, k FlowKey, x *Explanation) *Forwarder {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot != nil {
		x.Version = f.snapshot.Configuration.Version
	}
	if x.VersionAge = -time.Millisecond; !f.confirmedAt.IsZero() {
		x.VersionAge = max(now.Sub(f.confirmedAt), 0)
	}
	if f.snapshot == nil || !f.isComplete() {
		return nil
	}
	random := rand.New(rand.NewPCG(math.Float64bits(fraction(k)), uint64(now.UnixNano())))
	c := New(f.config, discard{}, random)
	c.snapshot, c.confirmedAt, c.configuredAt = f.snapshot, f.confirmedAt, f.configuredAt
	c.healthEvents = make([]HealthEvent, maxHealthEvents) // full, so that none is kept
	if x.Route = f.snapshot.RouteOf(k.Service); x.Route == nil {
		return c
	}
	x.Selected = f.serviceOf(x.Route, k)
	for name, d := range f.domains {
		copied := *d
		c.domains[name] = &copied
	}
	c.reports, c.withEvidence = maps.Clone(f.reports), maps.Clone(f.withEvidence)
	c.warmups.limit, c.warmups.ownership = f.warmups.limit, f.warmups.ownership.Clone()
	for _, e := range f.snapshot.EndpointsOf(x.Selected) {
		if v := f.endpointStates[e.ID]; v != nil {
			c.endpointStates[e.ID] = v.copy()
		}
	}
	if s := f.services[x.Selected]; s != nil {
		c.services[x.Selected] = c.copyService(s)
	}
	c.rooms = make(map[string]*room)
	if r := f.rooms[x.Selected]; r != nil {
		c.rooms[x.Selected] = r.copy()
		for _, route := range r.routes {
			if u := f.baselines[route.Address]; u != nil {
				copied := *u
				c.baselines[route.Address] = &copied
			}
		}
	}
	return c
}

// copy returns a copy of what placement uses.
func (v *endpointState) copy() *endpointState {
	c := *v
	c.reachability, c.speed.reported, c.speed.waiting = nil, nil, nil
	if v.cold != nil {
		cold := *v.cold
		cold.limiter = v.cold.limiter.Clone()
		c.cold = &cold
	}
	return &c
}

func (r *room) copy() *room {
	c, controller := *r, *r.Controller
	c.Controller = &controller
	return &c
}

// copyService returns a copy of a service of another forwarder, with its sums, for the endpoints and domains of f.
func (f *Forwarder) copyService(s *service) *service {
	c := *s
	c.groups, c.own = nil, nil
	for _, g := range s.groups {
		copied := *g
		copied.domain, copied.endpoints = f.domainOf(g.name), nil
		for _, v := range g.endpoints {
			copied.endpoints = append(copied.endpoints, f.endpointStates[v.endpoint.ID])
		}
		c.groups = append(c.groups, &copied)
		if g == s.own {
			c.own = &copied
		}
	}
	return &c
}

// tryChoices makes a choice several times in the same state. It returns how often each endpoint was chosen, and the
// reason of the last choice without one.
func (f *Forwarder) tryChoices(now time.Time, service string, trials int) (map[*endpointState]int, Reason) {
	chosen := make(map[*endpointState]int)
	var reason Reason
	placed := make(map[*endpointState]float64, len(f.endpointStates))
	for _, v := range f.endpointStates {
		placed[v] = v.recentlyPlaced
	}
	for range trials {
		v, r := f.chooseBySpeed(now, service, nil)
		if v == nil {
			reason = r
			continue
		}
		chosen[v]++
		if f.config.LearnsSpeed { // endpoints that were passed over count as chosen
			for v, n := range placed {
				v.recentlyPlaced = n
			}
		}
	}
	return chosen, reason
}

func (f *Forwarder) explainAdmission(now time.Time, route *directory.Route, service string, k FlowKey) Admission {
	a := Admission{IsAdmitted: f.admits(now, route, service, k), Hash: seededFraction(k, admissionSeed)}
	if r := f.rooms[service]; r != nil {
		a.IsLimited, a.Utilization, a.Refusal = true, r.Utilization(), r.Refusal(route.Priority, cmp.Or(route.Aim, route.Timeout))
	}
	return a
}

func (f *Forwarder) explainDomains(now time.Time, s *service) []DomainState {
	var list []DomainState
	for _, g := range s.groups {
		d := DomainState{
			Name: g.name, IsOwn: g == s.own, IsEvacuated: !f.isOpenGroup(g), IsSuspect: !g.domain.isEligible(now),
			Endpoints: len(g.endpoints), Eligible: g.eligible,
		}
		if d.IsEvacuated {
			d.Eligible = 0
		}
		if g.weightSum > 0 {
			d.Load = g.mean()
		}
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b DomainState) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// explainCandidates returns all endpoints that are not evacuated, with their costs without the noise that breaks ties.
func (f *Forwarder) explainCandidates(now time.Time, s *service, chosen map[*endpointState]int, trials int) []Candidate {
	f.random = rand.New(zeros{})
	getsFlows := make(map[string]bool)
	for v := range chosen {
		getsFlows[v.endpoint.FailureDomain] = true
	}
	var list []Candidate
	for _, g := range s.groups {
		if !f.isOpenGroup(g) {
			continue
		}
		for _, v := range g.endpoints {
			c := Candidate{
				Endpoint: v.endpoint.ID, Domain: g.name, Load: v.flowsPerSlot(), Flows: float64(v.flows) + v.remoteFlows,
				Speed: f.speedOf(now, v), Penalty: v.penalty, MayOpen: f.mayOpen(now, v),
				Likelihood: float64(chosen[v]) / float64(max(trials, 1)),
			}
			if c.MayOpen {
				c.Cost = f.cost(now, s, v, nil)
			}
			if c.IsSuspect = !v.isEligible(now); c.IsSuspect {
				c.SuspectFor = max(v.until.Sub(now), 0)
			}
			if v.isLimited(now) {
				c.ColdFor = v.cold.until.Sub(now)
			}
			list = append(list, c)
		}
	}
	rank := func(c *Candidate) int { // failure domains that get the flow first; endpoints that may not get it last
		switch {
		case !c.MayOpen:
			return 2
		case !getsFlows[c.Domain]:
			return 1
		}
		return 0
	}
	slices.SortFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(rank(&a), rank(&b)), cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return list
}

func missingRouteRule(d Decision) string {
	switch {
	case d.Reason == ReasonRouteRemoved:
		return "an earlier version of the configuration had a route for the address, and the one in force has none"
	case d.Verdict == Drop:
		return "no version known here has a route for the address, but the one in force may be outdated: the packet is " +
			"dropped, and the client sends it again"
	}
	return "no version of the configuration known here has a route for the address"
}

// rule returns the rule that decides on a flow with a route.
func (f *Forwarder) rule(now time.Time, x *Explanation, s *service, chosen map[*endpointState]int) string {
	switch x.Reason {
	case ReasonNoRoom:
		return "the service is overloaded, and the flow's hash is below the refusal probability of the route"
	case ReasonEvacuated:
		return "all failure domains with endpoints of the service are evacuated"
	case ReasonColdLimit:
		return "only cold endpoints are left, and this balancer may not open a flow on any of them now"
	case ReasonNoEndpoint:
		return "the service has no registered endpoint that may get new flows"
	}
	isOnlyOwn, isSuspect := true, true
	for v := range chosen {
		isOnlyOwn = isOnlyOwn && v.endpoint.FailureDomain == f.config.FailureDomain
		isSuspect = isSuspect && !v.isEligible(now)
	}
	other, load := f.leastLoaded(now, s)
	switch {
	case isSuspect:
		return "all endpoints that may get flows are suspect, and the cheapest of them gets the flow"
	case isOnlyOwn:
		compared := "all of its endpoints"
		if n := f.choices(s.own); n < len(s.own.endpoints) {
			compared = fmt.Sprintf("%d random ones of its endpoints", n)
		}
		return "the own failure domain keeps the flow, and the cheapest of " + compared + " gets it"
	case s.own == nil:
		return "the own failure domain has no endpoint of the service; another gets the flow at random, by free capacity"
	case !f.isOpenGroup(s.own):
		return "the own failure domain is evacuated; another gets the flow at random, by free capacity"
	case s.own.eligible == 0:
		return "the endpoints of the own failure domain are suspect, or cold ones that may not get the flow; another gets it"
	case other != nil && !s.keepsFlows(load):
		return fmt.Sprintf("the own failure domain is clearly more loaded than %s, whose endpoints are compared", other.name)
	}
	return "the endpoints of the own failure domain that are compared may be suspect; then another one gets the flow"
}

// discard is a Recorder that records nothing.
type discard struct{}

func (discard) Count(metric.Counter, string, int64)                    {}
func (discard) ObserveService(metric.Histogram, string, time.Duration) {}

// zeros is a random source without noise.
type zeros struct{}

func (zeros) Uint64() uint64 { return 0 }
