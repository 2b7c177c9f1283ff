package steering

import (
	"math"
	"time"

	"cornellb/core/coordination/warmup"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
)

// Labels of metric.ColdFlows.
const (
	coldOpened  = "opened"
	coldRefused = "refused"
)

// ColdLimit is the limit of flows on cold endpoints. The zero value is no limit.
type ColdLimit struct {
	Overshoot float64 // factor of the rate of a cold endpoint that all balancers together may reach
	Slack     float64 // flows in a second that are allowed beyond that
	HasPeers  bool    // whether the settings name other balancers
}

// isActive reports whether there is a limit.
func (l ColdLimit) isActive() bool { return l.Overshoot > 0 || l.Slack > 0 }

// warmups is the state for cold endpoints.
type warmups struct {
	limit     ColdLimit
	wasActive bool // at the last call of updateCold
	ownership *warmup.Ownership
}

// coldState is the state of a cold endpoint whose flows are limited.
type coldState struct {
	until   time.Time
	share   int // flows that this balancer may open in a sliding second if it is the owner
	claim   warmup.Claim
	limiter warmup.Limiter
}

// SetColdLimit replaces the limit of flows on cold endpoints.
func (f *Forwarder) SetColdLimit(now time.Time, l ColdLimit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmups.limit = l
	f.warmups.ownership.SetPeers(l.HasPeers)
	f.updateCold(now)
}

// SetMembers replaces the view of the balancers, of which one owns each cold endpoint.
func (f *Forwarder) SetMembers(now time.Time, v *member.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmups.ownership.SetView(now, v)
}

// ColdEndpoints returns the number of endpoints whose flows are limited because they are cold.
func (f *Forwarder) ColdEndpoints(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, v := range f.endpointStates {
		if v.cold != nil && now.Before(v.cold.until) {
			n++
		}
	}
	return n
}

// updateCold determines the endpoints whose flows are limited.
func (f *Forwarder) updateCold(now time.Time) {
	if !f.warmups.limit.isActive() && !f.warmups.wasActive {
		return
	}
	f.warmups.wasActive = f.warmups.limit.isActive()
	services := make(map[string]*directory.Service)
	if f.warmups.limit.isActive() && f.snapshot != nil {
		for i := range f.snapshot.Configuration.Services {
			if s := &f.snapshot.Configuration.Services[i]; s.HasColdRate {
				services[s.Name] = s
			}
		}
	}
	for _, v := range f.endpointStates {
		if v.cold == nil && !v.endpoint.WarmAt.After(now) {
			continue
		}
		s := services[v.endpoint.Service]
		if s == nil {
			v.cold = nil
			continue
		}
		v.updateCold(now, s, f.warmups.limit)
	}
}

// restateTolerance is how much later the end of the cold time must be stated for an endpoint to have become cold anew. The
// same end arrives with different delays.
const restateTolerance = 500 * time.Millisecond

// updateCold updates the state of an endpoint from its entry. The entry of a cold endpoint states the time that is left,
// and one that is read late states too much. So the endpoint is warm at the latest when the whole time has passed since
// this balancer first saw that it is cold. An endpoint may become cold again without a new start, as when its failure
// domain was evacuated.
func (v *endpointState) updateCold(now time.Time, s *directory.Service, l ColdLimit) {
	if v.cold != nil && !now.Before(v.cold.until) {
		v.cold = nil
	}
	isOther := v.statedWarmAt.IsZero() || v.endpoint.Revision != v.statedRevision
	if isOther && v.endpoint.WarmAt.After(v.statedWarmAt.Add(restateTolerance)) {
		if v.statedWarmAt, v.statedRevision = v.endpoint.WarmAt, v.endpoint.Revision; v.cold == nil {
			v.coldSince = now
		}
	}
	until := v.endpoint.WarmAt
	if latest := v.coldSince.Add(s.ColdTime); s.ColdTime > 0 && until.After(latest) {
		until = latest
	}
	if !now.Before(until) {
		v.cold = nil
		return
	}
	if v.cold == nil {
		v.cold = &coldState{claim: warmup.NewClaim(v.endpoint.ID, v.endpoint.FailureDomain)}
	}
	v.cold.until, v.cold.share = until, warmup.Share(s.ColdPerSecond, l.Overshoot, l.Slack)
}

// isLimited reports whether the endpoint is cold and its flows are limited.
func (v *endpointState) isLimited(now time.Time) bool {
	return v.cold != nil && now.Before(v.cold.until)
}

// mayOpen reports whether this balancer may open a flow on the endpoint now. It is false for cold endpoints beyond their
// limit, and for those that another balancer owns.
func (f *Forwarder) mayOpen(now time.Time, v *endpointState) bool {
	if !v.isLimited(now) {
		return true
	}
	c := v.cold
	return f.warmups.ownership.Owns(now, &c.claim) && c.limiter.Allows(now, c.share)
}

// recordOpened records that a flow is opened on the endpoint.
func (f *Forwarder) recordOpened(now time.Time, v *endpointState) {
	if v.isLimited(now) {
		v.cold.limiter.Record(now)
		f.recorder.Count(metric.ColdFlows, coldOpened, 1)
	}
}

// chooseAnywhere chooses among all endpoints of a service, after the failure domains that are preferred had only cold
// ones that may not get the flow.
func (f *Forwarder) chooseAnywhere(now time.Time, s *service, excluded *endpointState) (*endpointState, Reason) {
	var best *endpointState
	lowest := math.Inf(1)
	for _, g := range s.groups {
		if !f.isOpenGroup(g) {
			continue
		}
		if v, cost := f.cheapest(now, s, g, len(g.endpoints), excluded); cost < lowest {
			best, lowest = v, cost
		}
	}
	if best == nil {
		f.recorder.Count(metric.ColdFlows, coldRefused, 1)
		return nil, ReasonColdLimit
	}
	return best, ReasonNone
}
