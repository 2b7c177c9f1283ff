package steering

import (
	"slices"
	"time"

	"cornellb/core/state/directory"
)

const (
	// firstSuspicion is how long an endpoint gets no new flows after a first failure. If only a packet was lost this
	// costs little, as the next progress ends the suspicion.
	firstSuspicion = 500 * time.Millisecond
	// maxSuspicion bounds the time until an endpoint that has recovered is tried again.
	maxSuspicion = 8 * time.Second
)

// endpointState is the state that this balancer keeps for one endpoint.
type endpointState struct {
	endpoint       *directory.Endpoint
	cold           *coldState // nil if the flows on the endpoint are not limited
	cookie         uint32
	hasCookie      bool    // false if each cookie of the endpoint is also a cookie of another endpoint
	flows          int     // tracked here, including those that are opening
	remoteFlows    float64 // flows reported by other balancers, extrapolated to those that do not report
	recentlyPlaced float64 // flows placed here recently; halved at each sweep
	openingFlows   int     // tracked here and not confirmed by the client yet
	waitingFlows   int     // flows with unanswered data
	abandonedFlows int     // of these, flows whose clients were silent for abandonedTime at the last sweep
	progressAt     time.Time
	suspicion
	silentFlows  int           // flows that have sent data again without an answer since the last progress
	silentSince  time.Time     // when the first of these data was sent, or sent again after a gap
	silentGap    uint32        // number of gaps in the progress of all endpoints when they were counted
	silentAt     time.Time     // when such data was last sent again
	refusedAt    time.Time     // when the endpoint last refused an opening packet
	unconfirmed  openings      // since the last progress or failure
	reachability *reachability // nil until the first probe
	isReplaced   bool          // gone, and another endpoint has started at its address since
	lastReport   uint64        // number of the last report that listed the endpoint as unresponsive

	observed   evidence // requests evaluated by this balancer
	reported   evidence // requests reported by other balancers of the failure domain
	evidence   evidence // sum of both at the last update of the weights
	penalty    float64  // 1 - weight: the part of its share of new flows that the endpoint does not get
	isDegraded bool     // state that was last logged

	speed          endpointSpeed
	coldSince      time.Time // when this balancer first saw that the endpoint is cold, the last time that it became so
	statedWarmAt   time.Time // end of that as it was stated then
	statedRevision uint64    // of the entry that stated it
}

// resetHealth discards what was observed and reported of the former incarnations of endpoints that have restarted.
// Their flows are not discarded: they leave the counts as they end, but no longer affect the health of the endpoint.
func (f *Forwarder) resetHealth(restarted map[*endpointState]bool) {
	if len(restarted) == 0 {
		return
	}
	cookies := make(map[uint32]bool, len(restarted))
	for v := range restarted {
		cookies[directory.Cookie(v.endpoint.ID, 0)] = true
		v.progressAt, v.refusedAt, v.suspicion, v.silentFlows = time.Time{}, time.Time{}, suspicion{}, 0
		v.unconfirmed, v.reachability = openings{}, nil
		v.observed, v.evidence, v.penalty = evidence{}, evidence{}, 0
		delete(f.withEvidence, v)
		if v.isDegraded {
			v.isDegraded = false
			f.addHealthEvent(HealthEvent{Event: EndpointRecovered, Endpoint: v.endpoint.ID, Cause: "restarted"})
		}
	}
	for sender, r := range f.reports {
		r.outcomes = slices.DeleteFunc(slices.Clone(r.outcomes), func(o EndpointOutcomes) bool { return cookies[o.Cookie] })
		f.reports[sender] = r
	}
	for _, w := range f.flows {
		if restarted[w.endpointState] {
			w.isFormer = true
		}
	}
}

// flowsPerSlot returns the flows of all balancers on the endpoint, per slot.
func (v *endpointState) flowsPerSlot() float64 {
	return (float64(v.flows) + v.remoteFlows) / float64(max(v.endpoint.Slots, 1))
}

// Health events of an endpoint, as they appear in log lines.
const (
	EndpointSuspect = "endpoint suspect"
	EndpointDead    = "endpoint dead"
	EndpointAnswers = "endpoint answers again"
	EndpointProbed  = "endpoint probed"

	EndpointDegraded  = "endpoint fails requests"
	EndpointRecovered = "endpoint has recovered"

	EndpointSlow        = "endpoint slow"
	EndpointAtFullSpeed = "endpoint at full speed again"

	ServiceOverloaded = "service overloaded"
	ServiceHasRoom    = "service has room again"
)

// HealthEvent is a change in how a balancer rates the health of an endpoint.
type HealthEvent struct {
	Event    string        // one of the constants above
	Endpoint string        // ID; empty for the events of a service
	Service  string        // name; empty for the events of an endpoint
	Failures int           // consecutive failures; flows without an answer if dead or probed, failed requests if degraded
	For      time.Duration // how long the endpoint is suspect, or for EndpointDead and EndpointProbed has been silent
	Cause    string        // for EndpointProbed, the result of the probe; for EndpointSlow, its response time
}

// maxHealthEvents bounds the events that wait to be logged; further ones are dropped.
const maxHealthEvents = 64

// HealthEvents returns the health events since the last call, at most maxHealthEvents.
func (f *Forwarder) HealthEvents() []HealthEvent {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.healthEvents
	f.healthEvents = nil
	return list
}

func (f *Forwarder) addHealthEvent(e HealthEvent) {
	if len(f.healthEvents) < maxHealthEvents {
		f.healthEvents = append(f.healthEvents, e)
	}
}

// recordProgress records that the endpoint answers, which ends any suspicion of it and of its failure domain.
func (f *Forwarder) recordProgress(now time.Time, v *endpointState) {
	if v.failures > 0 {
		f.addHealthEvent(HealthEvent{Event: EndpointAnswers, Endpoint: v.endpoint.ID, Failures: v.failures})
	}
	v.progressAt, v.suspicion, v.silentFlows, v.unconfirmed = now, suspicion{}, 0, openings{}
	f.domainOf(v.endpoint.FailureDomain).suspicion = suspicion{}
	f.recentProgress.record(now, v)
}

// recordFailure records that the endpoint did not answer a packet that was sent at sentAt.
func (f *Forwarder) recordFailure(now, sentAt time.Time, v *endpointState, cause string) {
	isBusy := f.isBusy(now, v)
	if v.endpoint.FailureDomain != f.config.FailureDomain && !isBusy {
		f.domainOf(v.endpoint.FailureDomain).suspicion.recordFailure(now, sentAt)
	}
	v.unconfirmed = openings{}
	duration, isNew := v.suspicion.recordFailure(now, sentAt)
	if !isNew {
		return
	}
	if isBusy {
		duration, v.failures, v.until = firstSuspicion, 1, now.Add(firstSuspicion)
	}
	f.addHealthEvent(HealthEvent{
		Event: EndpointSuspect, Endpoint: v.endpoint.ID, Failures: v.failures, For: duration, Cause: cause,
	})
}

// openings holds when the first two of several flows were opened on an endpoint.
type openings struct {
	first, second time.Time
}

// record records a flow that is opened now.
func (o *openings) record(now time.Time) {
	switch {
	case o.first.IsZero():
		o.first = now
	case o.second.IsZero():
		o.second = now
	}
}

// areOverdue reports whether two flows have been open for longer than an endpoint takes to accept one.
func (o *openings) areOverdue(now time.Time) bool {
	return !o.second.IsZero() && now.Sub(o.second) > acceptTime
}

// suspectUnconfirmed makes the endpoint suspect if it has accepted none of its latest flows in time. This notices a
// crashed endpoint whose host refuses opening packets before its clients, which reconnect within milliseconds, are all
// refused again. The next progress ends the suspicion.
func (f *Forwarder) suspectUnconfirmed(now time.Time, v *endpointState) {
	if v.unconfirmed.areOverdue(now) {
		f.recordFailure(now, v.unconfirmed.first, v, "opening packets not confirmed")
	}
}

// isEligible reports whether the endpoint may get a new flow like any other. After a suspicion it is tried with one
// flow at a time until it makes progress.
func (v *endpointState) isEligible(now time.Time) bool {
	return v.failures == 0 || v.suspicion.isEligible(now) && v.openingFlows == 0
}

// loadOf returns the flows that the endpoint would have with one more, relative to its capacity. reporters is the number
// of other balancers that make the same choice and report later: flows that were recently placed here are counted once
// more for each of them. Otherwise all balancers together would overload a new endpoint.
func (f *Forwarder) loadOf(now time.Time, v *endpointState, reporters int) float64 {
	capacity := float64(max(v.endpoint.Slots, 1)) * f.placementSpeed(now, v)
	return (float64(v.flows+1) + v.remoteFlows + float64(reporters)*v.recentlyPlaced) / capacity
}
