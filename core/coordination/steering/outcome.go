package steering

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/directory"
)

const (
	// timeoutFactor times the usual time to the first byte of an answer is the time that a request is given. On today's
	// deployments requests take up to six times the mean, but few take more than four times.
	timeoutFactor = 4
	// minTimeout leaves time for a queue of a few requests and for a packet that is retransmitted after 200 ms.
	// maxTimeout bounds the time until a request is evaluated; it is below the shortest deadline of long requests.
	minTimeout = 200 * time.Millisecond
	maxTimeout = 2 * time.Second
	// minAnswerRatio is the part of the usual answer length below which an answer counts as an error. Answers of one
	// service address vary by a factor of up to three; errors have no content.
	minAnswerRatio = 0.25
	// baselineSamples is the number of answers from a service address after which its baseline is used.
	baselineSamples = 20
	// smoothingFactor is the weight of one answer in the moving averages of the baseline. A sample is limited to
	// maxSampleRatio times the average.
	smoothingFactor = 1.0 / 32
	maxSampleRatio  = 4
	// maxBaselines bounds the number of service addresses with a baseline, maxPendingRequests the number of requests
	// that wait to be evaluated.
	maxBaselines       = 4096
	maxPendingRequests = DefaultMaxFlows
	// evaluationStep is the resolution of the time at which requests are evaluated, half of the interval between ticks.
	evaluationStep = 50 * time.Millisecond
	// maxSteps is the number of steps in maxTimeout.
	maxSteps = int64(maxTimeout/evaluationStep) + 1

	// weightInterval is the time between two updates of the weights of endpoints.
	weightInterval = 250 * time.Millisecond
	// evidenceHalfLife is the time after which a request counts half. The evidence against a failing endpoint, which
	// gets few requests, lasts for some seconds; an endpoint that has recovered has its full share again within three
	// half-lives.
	evidenceHalfLife = 3 * time.Second
	// maxEvidence is the largest number of requests of one balancer that count. Under heavy load older requests would
	// otherwise hide a failure for seconds.
	maxEvidence = 12
	// assumedGood is the number of successful requests that is assumed for each endpoint, so that a single failure
	// changes its failure rate little.
	assumedGood = 3
	// An endpoint keeps its full weight while its failure rate is at most toleratedFailureRate above the median of the
	// service's endpoints. At failureRateSpan above that its weight is minWeight.
	toleratedFailureRate = 0.1
	failureRateSpan      = 0.2
	// minWeight is the part of its usual share of new flows that a failing endpoint keeps. These flows show when it
	// recovers, and no endpoint is left out if all fail.
	minWeight = 0.05
	// An endpoint is logged as degraded when its weight falls below degradedWeight, and as recovered when it rises
	// above recoveredWeight.
	degradedWeight  = 0.5
	recoveredWeight = 0.8
	// minReported is the number of failed requests, after decay, from which an endpoint is included in reports. Many
	// balancers that have each seen one failure some seconds ago provide evidence together. Evidence of fewer requests
	// in all is discarded.
	minReported = 0.1
	// maxReportOutcomes keeps a report within one datagram, at up to 8 bytes for each outcome.
	maxReportOutcomes = 20
)

// baseline holds the usual response time and answer length of one service address.
type baseline struct {
	samples          int     // number of answers in the averages
	firstByteSeconds float64 // average time until the first byte of an answer, in seconds
	answerBytes      float64 // average number of bytes acknowledged by the time of the evaluation
}

func (u *baseline) isKnown() bool { return u.samples >= baselineSamples }

// timeout returns the time after which a request without an answer counts as failed.
func (u *baseline) timeout() time.Duration {
	if !u.isKnown() {
		return maxTimeout
	}
	return min(max(time.Duration(timeoutFactor*u.firstByteSeconds*float64(time.Second)), minTimeout), maxTimeout)
}

// update adds a sample x to an average: the plain mean of the first baselineSamples, a moving average afterwards.
func (u *baseline) update(value *float64, x float64) {
	if !u.isKnown() {
		*value += (x - *value) / float64(u.samples+1)
		return
	}
	limit := maxSampleRatio * *value
	*value += (min(x, limit) - *value) * smoothingFactor
}

// evidence counts requests by outcome. The counts decay with time.
type evidence struct{ good, bad float64 }

func (e *evidence) add(o evidence, factor float64) {
	e.good = max(e.good+factor*o.good, 0)
	e.bad = max(e.bad+factor*o.bad, 0)
}

// record adds one request. If the total would exceed maxEvidence, it scales the counts down first.
func (e *evidence) record(isGood bool) {
	if total := e.good + e.bad + 1; total > maxEvidence {
		e.good, e.bad = e.good*maxEvidence/total, e.bad*maxEvidence/total
	}
	if isGood {
		e.good++
	} else {
		e.bad++
	}
}

// failureRate returns the part of requests that failed, with assumedGood more successful ones.
func (e evidence) failureRate() float64 { return e.bad / (e.good + e.bad + assumedGood) }

// EndpointOutcomes counts the recent requests to one endpoint that has failed some. The counts decay, so that they are
// fractional.
type EndpointOutcomes struct {
	Cookie    uint32 // Cookie(ID, 0) of the endpoint
	Good, Bad float64
}

// pendingRequest is a request that waits to be evaluated.
type pendingRequest struct {
	flow    *flow
	request uint64 // of the flow; the entry is void if the flow has another one by then
}

// outcomes evaluates requests by the data that their clients acknowledge, and endpoints by their requests.
type outcomes struct {
	baselines        map[netip.AddrPort]*baseline
	epoch            time.Time                  // step 0; the time of day would not do as it may jump
	pending          map[int64][]pendingRequest // by the step at which they are evaluated
	pendingCount     int                        // number of requests in pending
	evaluatedStep    int64                      // the requests of this step and earlier ones have been evaluated
	lastRequest      uint64                     // number given to the newest request
	withEvidence     map[*endpointState]bool    // endpoints with outcomes observed here or reported
	weightsUpdatedAt time.Time
}

func newOutcomes() outcomes {
	return outcomes{
		baselines: make(map[netip.AddrPort]*baseline), pending: make(map[int64][]pendingRequest), withEvidence: make(map[*endpointState]bool),
	}
}

// trackRequest schedules the evaluation of a request whose first data has been sent to the endpoint.
func (f *Forwarder) trackRequest(now time.Time, address netip.AddrPort, w *flow) {
	u := f.baselines[address]
	if u == nil {
		if len(f.baselines) >= maxBaselines {
			return
		}
		u = &baseline{}
		f.baselines[address] = u
	}
	w.baseline, w.acknowledgedBefore = u, w.acknowledged
	f.evaluateAt(now.Add(f.failureTimeout(u)), w)
}

// evaluateAt schedules the evaluation of the flow's request or opening packet. The evaluation is skipped if the flow
// has another request number, or none, by then.
func (f *Forwarder) evaluateAt(at time.Time, w *flow) {
	if f.pendingCount >= maxPendingRequests {
		return
	}
	if f.epoch.IsZero() {
		f.epoch = at
	}
	step := f.step(at) + 1
	if f.pendingCount == 0 {
		f.evaluatedStep = step - maxSteps
	}
	f.lastRequest++
	f.pendingCount++
	w.request = f.lastRequest
	f.pending[step] = append(f.pending[step], pendingRequest{w, w.request})
}

// step returns the number of whole steps since the epoch.
func (f *Forwarder) step(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(f.epoch)) / float64(evaluationStep)))
}

// evaluateDue evaluates the requests and opening packets whose time has passed.
func (f *Forwarder) evaluateDue(now time.Time) {
	for step := f.step(now); f.pendingCount > 0 && f.evaluatedStep < step; {
		f.evaluatedStep++
		for _, x := range f.pending[f.evaluatedStep] {
			f.pendingCount--
			switch w := x.flow; {
			case w.request != x.request || w.endpointState == nil:
			case w.isOpening:
				f.openingRefused(now, w)
			default:
				f.recordTimeout(now, w)
				f.evaluate(w, true)
			}
		}
		delete(f.pending, f.evaluatedStep)
	}
}

// openingRefused handles an opening packet after which the client sent nothing: the endpoint has answered with a reset,
// as hosts do after the process has ended. The flow no longer counts.
func (f *Forwarder) openingRefused(now time.Time, w *flow) {
	v, openedAt := w.endpointState, w.openedAt
	f.detach(w)
	w.isOpening, w.request = false, 0
	if w.isFormer || v.progressAt.After(openedAt) {
		return
	}
	v.refusedAt = now
	f.silentStates[v] = struct{}{}
	f.recordFailure(now, openedAt, v, "opening packet refused")
}

// evaluate records the outcome of a request by the data that the client has acknowledged since. isOver is whether its
// timeout has passed. A request without an answer is not evaluated before: its client may have abandoned it.
func (f *Forwarder) evaluate(w *flow, hasTimedOut bool) {
	received := float64(int32(w.acknowledged - w.acknowledgedBefore))
	if received <= 0 && !hasTimedOut {
		return
	}
	w.request = 0
	u := w.baseline
	isKnown := u.isKnown()
	isGood := received > 0 && received >= minAnswerRatio*u.answerBytes
	if received > 0 {
		u.update(&u.answerBytes, received)
		u.samples++
	}
	if !isKnown || w.isFormer {
		return
	}
	v := w.endpointState
	v.observed.record(isGood)
	f.withEvidence[v] = true
}

// updateWeights compares the endpoints of each service. An endpoint with a clearly higher failure rate than the median
// gets fewer new flows. If all fail alike, as when a burst fills their queues, all keep their weight.
func (f *Forwarder) updateWeights(now time.Time) {
	elapsed := now.Sub(f.weightsUpdatedAt)
	if elapsed < weightInterval {
		return
	}
	f.weightsUpdatedAt = now
	decay := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
	services := make(map[string][]*endpointState)
	for v := range f.withEvidence {
		v.observed = evidence{v.observed.good * decay, v.observed.bad * decay}
		v.evidence = v.observed
		v.evidence.add(v.reported, 1)
		if v.evidence.good+v.evidence.bad < minReported {
			delete(f.withEvidence, v)
			v.observed = evidence{}
			f.setWeight(v, 1, 0)
			continue
		}
		if !v.endpoint.IsOpen() {
			f.setWeight(v, 1, 0) // it gets no new flows, and its failure rate must not affect the median
			continue
		}
		services[v.endpoint.Service] = append(services[v.endpoint.Service], v)
	}
	for _, list := range services {
		var rates []float64
		for _, v := range list {
			if v.evidence.good+v.evidence.bad >= 1 {
				rates = append(rates, v.evidence.failureRate())
			}
		}
		medianRate := 0.0
		if len(rates) > 0 {
			slices.Sort(rates)
			medianRate = rates[(len(rates)-1)/2]
		}
		for _, v := range list {
			excess := (v.evidence.failureRate() - medianRate - toleratedFailureRate) / failureRateSpan
			f.setWeight(v, 1-min(max(excess, 0), 1)*(1-minWeight), medianRate)
		}
	}
}

// setWeight sets the weight of an endpoint and records a health event when the endpoint becomes degraded or recovers.
func (f *Forwarder) setWeight(v *endpointState, weight, medianRate float64) {
	v.penalty = 1 - weight
	switch {
	case !v.isDegraded && weight < degradedWeight:
		v.isDegraded = true
		f.addHealthEvent(HealthEvent{
			Event: EndpointDegraded, Endpoint: v.endpoint.ID, Failures: int(math.Round(v.evidence.bad)),
			Cause: fmt.Sprintf("share of failed requests %.2f, of the median endpoint %.2f", v.evidence.failureRate(), medianRate),
		})
	case v.isDegraded && weight > recoveredWeight:
		v.isDegraded = false
		f.addHealthEvent(HealthEvent{Event: EndpointRecovered, Endpoint: v.endpoint.ID})
	}
}

// weight returns the part of its usual share of new flows that an endpoint gets.
func (v *endpointState) weight() float64 { return 1 - v.penalty }

// outcomesToReport returns the outcomes that this balancer has observed for endpoints with failed requests, the
// endpoint with the most failures first.
func (f *Forwarder) outcomesToReport() []EndpointOutcomes {
	var list []EndpointOutcomes
	for v := range f.withEvidence {
		if v.observed.bad >= minReported {
			list = append(list, EndpointOutcomes{Cookie: directory.Cookie(v.endpoint.ID, 0), Good: v.observed.good, Bad: v.observed.bad})
		}
	}
	slices.SortFunc(list, func(a, b EndpointOutcomes) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Cookie, b.Cookie))
	})
	return list[:min(len(list), maxReportOutcomes)]
}

// addReported adds the outcomes of a report, or subtracts them with factor -1.
func (f *Forwarder) addReported(list []EndpointOutcomes, factor float64) {
	for _, o := range list {
		if v := f.byCookie[o.Cookie]; v != nil {
			v.reported.add(evidence{o.Good, o.Bad}, factor)
			f.withEvidence[v] = true
		}
	}
}
