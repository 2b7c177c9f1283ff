package steering

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cornellb/core/coordination/speed"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

const (
	// coldSpeed is the part of its usual speed at which an endpoint works in its first seconds. Taking it into account
	// keeps a new endpoint from getting all new flows at once.
	coldSpeed = 0.6
	// minWaitRatio is the ratio to the usual response time from which a request without an answer counts as a sample. A
	// request that has waited for less says nothing yet.
	minWaitRatio = 1.5
	// maxSlowTimeout bounds the time until a request without an answer counts as failed. A client gives up after 1.4 s.
	maxSlowTimeout = time.Second
	// maxPassedOver is the number of endpoints with reduced speed that are passed over for one flow.
	maxPassedOver = 3
	// speedInterval is the time between two updates of the speeds.
	speedInterval = 250 * time.Millisecond
	// forgottenSamples is the weight below which evidence on the speed of an endpoint is discarded.
	forgottenSamples = 0.1
	// maxReportSpeeds keeps a report within one datagram, at up to 12 bytes for each speed. maxFreshSpeeds is the same for
	// reports of fresh speeds, which are sent more often.
	maxReportSpeeds = 16
	maxFreshSpeeds  = 8
	// neededSamples is the number of samples of other balancers showing a slow endpoint from which this balancer reports its
	// own, which may show the opposite. Two long requests within some seconds reach it.
	neededSamples = 1.2
	// maxSampleAge is the age of the latest sample up to which a speed is reported, the interval between full reports.
	// Receivers take the time of a report for that of its latest sample.
	maxSampleAge = time.Second
	// maxSpeedSenders bounds the balancers whose reports on one endpoint are kept.
	maxSpeedSenders = 64
	// restartReportTime is how long reports on the speed of an endpoint that has restarted are ignored: other balancers
	// may know only its former incarnation. The list of endpoints is at most 2.9 s old, see docs/notes/platform.md.
	restartReportTime = 3 * time.Second
	// An endpoint is logged as slow when its speed falls below slowSpeed, and as at full speed again when it rises above
	// recoveredSpeed.
	slowSpeed      = 0.6
	recoveredSpeed = 0.9
)

// endpointSpeed is the state that this balancer keeps on the speed of one endpoint.
type endpointSpeed struct {
	own        speed.Evidence // first-hand
	ownMedian  float64        // of the service, by first-hand evidence
	reported   []reportedSpeed
	others     float64   // samples of other balancers
	learned    float64   // 0 while there are too few samples
	isFresh    bool      // first-hand samples since the last report
	isNeeded   bool      // reported by another balancer as slow
	isSlow     bool      // state that was last logged
	waiting    []float64 // ratios of requests without an answer that have waited longer than usual
	restarted  time.Time
	evidenceAt time.Time // when own was last decayed
}

// reportedSpeed is the latest that another balancer has reported on the speed of an endpoint.
type reportedSpeed struct {
	sender   member.Incarnation
	at       time.Time
	evidence speed.Evidence
}

// speeds is the state on the speeds of all endpoints.
type speeds struct {
	timed     map[*endpointState]bool // endpoints with evidence on their speed
	updatedAt time.Time

	waitingFlows   int // flows with unanswered data, on all endpoints
	abandonedFlows int // of these, flows whose clients were silent for abandonedTime at the last sweep
}

// speedOf returns the speed of an endpoint, as a part of the usual one of its service.
func (f *Forwarder) speedOf(now time.Time, v *endpointState) float64 {
	if f.config.LearnsSpeed && v.speed.learned > 0 {
		return v.speed.learned
	}
	if now.Before(v.endpoint.WarmAt) {
		return coldSpeed
	}
	return 1
}

// placementSpeed returns the speed by which the load of an endpoint is divided. An endpoint that fails requests gets a
// penalty as well, often for the same slow answers: the lower of speed and weight counts, not their product.
func (f *Forwarder) placementSpeed(now time.Time, v *endpointState) float64 {
	s := f.speedOf(now, v)
	if f.config.LearnsSpeed && v.penalty > 0 {
		return min(s/v.weight(), 1)
	}
	return s
}

// speedDiscount returns what is deducted from the cost of a flow on an endpoint with reduced speed, so that only the flows
// that it has count as more, not the new one and those that this balancer has just placed. An idle slow endpoint would
// otherwise cost more than a fast one with a flow and get none at all, so that nothing would show its recovery;
// chooseBySpeed accounts for the rest.
func (f *Forwarder) speedDiscount(now time.Time, v *endpointState, reporters int) float64 {
	if !f.config.LearnsSpeed || v.speed.learned == 0 || v.speed.learned == 1 {
		return 0
	}
	return (1/f.placementSpeed(now, v) - 1) * (1 + float64(reporters)*v.recentlyPlaced) / float64(max(v.endpoint.Slots, 1))
}

// chooseBySpeed chooses an endpoint for a new flow. It passes over an endpoint with reduced speed with a probability that
// leaves it a share in proportion to its speed, and counts the flow as placed there, so that the endpoint is not chosen
// the next time for having got none.
func (f *Forwarder) chooseBySpeed(now time.Time, name string, excluded *endpointState) (*endpointState, Reason) {
	v, reason := f.choose(now, name, excluded)
	if !f.config.LearnsSpeed || excluded != nil {
		return v, reason
	}
	for range maxPassedOver {
		if v == nil || v.speed.learned == 0 || v.speed.learned == 1 || f.random.Float64() < f.placementSpeed(now, v) {
			break
		}
		other, _ := f.choose(now, name, v)
		if other == nil || other == v || !other.isEligible(now) || other.weight() < f.placementSpeed(now, v) {
			break // none is left, or only one that fails requests, which is worse than a slow one
		}
		v.recentlyPlaced++
		v = other
	}
	return v, reason
}

// SetLearnsSpeed replaces Config.LearnsSpeed. Without it, all that was learned is discarded.
func (f *Forwarder) SetLearnsSpeed(learns bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.LearnsSpeed = learns
	if learns {
		return
	}
	for v := range f.timed {
		f.forgetSpeed(v, "not learned any more")
	}
}

// SlowEndpoints returns the number of endpoints that get fewer new flows because they are slow.
func (f *Forwarder) SlowEndpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for v := range f.timed {
		if v.speed.isSlow {
			n++
		}
	}
	return n
}

// recordResponse adds the time of an answer, or the time for which a request has waited in vain, to the evidence.
func (f *Forwarder) recordResponse(now time.Time, w *flow, d time.Duration) {
	if !f.config.LearnsSpeed || w.isFormer || w.baseline == nil || !w.baseline.isKnown() || w.baseline.firstByteSeconds <= 0 {
		return
	}
	v := w.endpointState
	f.decaySpeed(now, v)
	v.speed.own.Record(now, w.ratio(d), f.sampleLimit(v))
	v.speed.isFresh = true
	f.timed[v] = true
}

// outstanding returns the number of requests on an endpoint: those of this balancer, and of the flows that others have
// reported the part that waits for an answer among its own. Flows whose clients are silent do not count, since they would
// hide that the endpoint is slow.
func (f *Forwarder) outstanding(v *endpointState) int {
	waiting := max(f.waitingFlows-f.abandonedFlows, 0)
	return max(v.waitingFlows-v.abandonedFlows, 0) + int(v.remoteFlows*float64(waiting)/float64(max(len(f.flows), 1)))
}

// ratio returns the ratio of a response time to the usual one, corrected for the queue.
func (w *flow) ratio(d time.Duration) float64 {
	return speed.Correct(d.Seconds()/w.baseline.firstByteSeconds, w.outstanding, w.endpointState.endpoint.Slots)
}

// failureTimeout returns the time after which a request without an answer counts as failed. Where speeds are learned, an
// answer that is late within the range of speeds counts for the speed alone: the failure rate would take up to three
// half-lives to forget it after the endpoint has recovered.
func (f *Forwarder) failureTimeout(u *baseline) time.Duration {
	if !f.config.LearnsSpeed {
		return u.timeout()
	}
	return max(u.timeout(), min(time.Duration(float64(u.timeout())/speed.MinSpeed), maxSlowTimeout))
}

// recordTimeout adds a request to the evidence that has got no answer by the time of its evaluation. Its answer, if it
// comes later, is not counted again.
func (f *Forwarder) recordTimeout(now time.Time, w *flow) {
	if !w.unansweredSince.IsZero() && w.hasUncounted {
		w.hasUncounted = false
		f.recordResponse(now, w, now.Sub(w.unansweredSince))
	}
}

// decaySpeed decays the first-hand evidence on an endpoint up to now.
func (f *Forwarder) decaySpeed(now time.Time, v *endpointState) {
	if !v.speed.evidenceAt.IsZero() {
		v.speed.own.Decay(now.Sub(v.speed.evidenceAt))
	}
	v.speed.evidenceAt = now
}

// firstHand returns the evidence of this balancer on an endpoint, with the requests that still wait.
func (f *Forwarder) firstHand(now time.Time, v *endpointState) speed.Evidence {
	x, limit := v.speed.own, f.sampleLimit(v)
	for _, ratio := range v.speed.waiting {
		x.RecordWaiting(now, ratio, limit)
	}
	return x
}

// sampleLimit returns the number of samples that this balancer keeps of an endpoint.
func (f *Forwarder) sampleLimit(v *endpointState) float64 {
	own := f.domainOf(f.config.FailureDomain)
	return speed.Limit(1+max(own.reporters, own.members-1), v.speed.own.Samples, v.speed.others)
}

// updateSpeeds compares the endpoints of each service.
func (f *Forwarder) updateSpeeds(now time.Time) {
	if !f.config.LearnsSpeed || now.Sub(f.speeds.updatedAt) < speedInterval {
		return
	}
	f.speeds.updatedAt = now
	f.findWaiting(now)
	services := make(map[string][]*endpointState)
	for v := range f.timed {
		f.decaySpeed(now, v)
		v.speed.reported = slices.DeleteFunc(v.speed.reported, func(r reportedSpeed) bool { return now.Sub(r.at) > reportAge })
		if v.speed.own.Samples < forgottenSamples && len(v.speed.reported)+len(v.speed.waiting) == 0 || !v.endpoint.IsOpen() {
			f.forgetSpeed(v, "too few requests")
			continue
		}
		services[v.endpoint.Service] = append(services[v.endpoint.Service], v)
	}
	for _, list := range services {
		f.compareSpeeds(now, list)
	}
}

// findWaiting collects, for each endpoint, the ratios of requests that have already waited longer than usual. An endpoint
// that has become slow shows by them before its first answer.
func (f *Forwarder) findWaiting(now time.Time) {
	for v := range f.timed {
		v.speed.waiting = v.speed.waiting[:0]
	}
	for step := f.evaluatedStep; f.pendingCount > 0 && step <= f.evaluatedStep+maxSteps; step++ {
		for _, x := range f.pending[step] {
			w := x.flow
			if w.request != x.request || w.endpointState == nil || w.isOpening || w.isFormer || !w.hasUncounted ||
				w.unansweredSince.IsZero() || !w.baseline.isKnown() || w.baseline.firstByteSeconds <= 0 {
				continue
			}
			if ratio := w.ratio(now.Sub(w.unansweredSince)); ratio >= minWaitRatio {
				w.endpointState.speed.waiting = append(w.endpointState.speed.waiting, ratio)
				f.timed[w.endpointState] = true
			}
		}
	}
}

// compareSpeeds updates the speeds of the endpoints of one service. First-hand evidence is taken relative to the median of
// what this balancer observes, so that a slow link of one balancer says nothing about any endpoint.
func (f *Forwarder) compareSpeeds(now time.Time, list []*endpointState) {
	own := make([]speed.Evidence, len(list))
	for i, v := range list {
		own[i] = f.firstHand(now, v)
	}
	ownMedian, _ := speed.Median(own)
	totals := make([]speed.Evidence, len(list))
	var parts []speed.Evidence
	for i, v := range list {
		v.speed.ownMedian = ownMedian
		clearSamples := 0.0
		v.speed.others = 0
		parts = append(parts[:0], speed.Evidence{At: own[i].At, Samples: own[i].Samples, Log: own[i].Log - ownMedian})
		for _, r := range v.speed.reported {
			r.evidence.DecayReported(now.Sub(r.at))
			v.speed.others += r.evidence.Samples
			if r.evidence.IsClear(0) {
				clearSamples += r.evidence.Samples
			}
			parts = append(parts, r.evidence)
		}
		v.speed.isNeeded = clearSamples >= neededSamples
		totals[i] = speed.Sum(parts)
	}
	median, _ := speed.Median(totals)
	median = min(median, 0) // above 0 only if mostly long requests have been reported so far
	for i, v := range list {
		s, ok := speed.Of(totals[i], median)
		v.speed.learned = 0
		if ok {
			v.speed.learned = s
		}
		if !v.speed.isSlow && s < slowSpeed || v.speed.isSlow && s > recoveredSpeed {
			f.logSpeed(v, s, fmt.Sprintf("response time %.1f times that of the median endpoint", totals[i].Ratio(median)))
		}
	}
}

// logSpeed records a health event when an endpoint becomes slow or is at full speed again.
func (f *Forwarder) logSpeed(v *endpointState, s float64, cause string) {
	switch {
	case !v.speed.isSlow && s < slowSpeed:
		v.speed.isSlow = true
		f.addHealthEvent(HealthEvent{Event: EndpointSlow, Endpoint: v.endpoint.ID, Cause: cause})
	case v.speed.isSlow && s > recoveredSpeed:
		v.speed.isSlow = false
		f.addHealthEvent(HealthEvent{Event: EndpointAtFullSpeed, Endpoint: v.endpoint.ID, Cause: cause})
	}
}

// forgetSpeed discards the evidence on the speed of an endpoint.
func (f *Forwarder) forgetSpeed(v *endpointState, cause string) {
	f.logSpeed(v, 1, cause)
	v.speed = endpointSpeed{restarted: v.speed.restarted}
	delete(f.timed, v)
}

// resetSpeeds discards what is known on the speed of the former incarnations of endpoints that have restarted.
func (f *Forwarder) resetSpeeds(now time.Time, restarted map[*endpointState]bool) {
	for v := range restarted {
		f.forgetSpeed(v, "restarted")
		v.speed.restarted = now
	}
}

// SpeedReport returns a partial report with the first-hand speeds of endpoints that have had samples since they were last
// reported and are slow or suspected to be, or nil. It is sent more often than full reports: an endpoint that has become
// slow answers few requests of each balancer.
func (f *Forwarder) SpeedReport(now time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.speedsToReport(now, true, maxFreshSpeeds)
	if len(list) == 0 {
		return nil
	}
	return &Report{IsPartial: true, Speeds: list}
}

// speedsToReport returns the first-hand speeds of endpoints that deviate clearly, that other balancers report as slow, or
// that are slow, those with the most recent samples first. A request that still waits counts.
func (f *Forwarder) speedsToReport(now time.Time, onlyUnreported bool, limit int) []EndpointSpeed {
	if !f.config.LearnsSpeed {
		return nil
	}
	var list []EndpointSpeed
	for v := range f.timed {
		cookie := directory.Cookie(v.endpoint.ID, 0)
		if f.byCookie[cookie] != v {
			continue // removed while a request was waiting, or another endpoint has the same cookie
		}
		f.decaySpeed(now, v)
		x := f.firstHand(now, v)
		isFresh := now.Sub(x.At) <= maxSampleAge && (v.speed.isFresh || !onlyUnreported)
		isRelevant := v.speed.isNeeded || v.speed.learned > 0 && v.speed.learned < 1 || x.IsClear(v.speed.ownMedian)
		if isRelevant && x.Samples >= forgottenSamples && (isFresh || len(v.speed.waiting) > 0) {
			list = append(list, EndpointSpeed{
				Cookie: cookie, Samples: x.Samples, Ratio: x.Ratio(v.speed.ownMedian),
			})
		}
	}
	slices.SortFunc(list, func(a, b EndpointSpeed) int {
		return cmp.Or(cmp.Compare(b.Samples, a.Samples), cmp.Compare(a.Cookie, b.Cookie))
	})
	list = list[:min(len(list), limit)]
	for _, s := range list {
		f.byCookie[s.Cookie].speed.isFresh = false
	}
	return list
}

// applySpeeds replaces what a balancer has reported on the speed of endpoints. Values that its newer report does not
// repeat lose weight and expire as they would in the sender.
func (f *Forwarder) applySpeeds(now time.Time, r *Report) {
	if !f.config.LearnsSpeed {
		return
	}
	for _, s := range r.Speeds {
		v := f.byCookie[s.Cookie]
		if v == nil || s.Samples <= 0 || s.Ratio <= 0 || now.Sub(v.speed.restarted) < restartReportTime {
			continue
		}
		x := reportedSpeed{sender: r.Sender, at: now, evidence: speed.FromRatio(now, s.Samples, s.Ratio)}
		i := slices.IndexFunc(v.speed.reported, func(o reportedSpeed) bool { return o.sender == r.Sender })
		if i < 0 && len(v.speed.reported) >= maxSpeedSenders {
			i = 0
			for j, o := range v.speed.reported {
				if o.at.Before(v.speed.reported[i].at) {
					i = j
				}
			}
		}
		if i < 0 {
			v.speed.reported = append(v.speed.reported, x)
		} else {
			v.speed.reported[i] = x
		}
		f.timed[v] = true
	}
}
