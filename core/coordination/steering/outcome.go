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
	// patienceFactor times the usual time until the first byte of an answer is what a request is given. Work has tails of
	// up to six times its mean on today's deployments, but few requests above four times.
	patienceFactor = 4
	// minPatience covers queues of a few requests and a packet that is repeated after 200 ms; maxPatience bounds what a
	// balancer waits before it judges, below the shortest deadlines of requests that take long.
	minPatience = 200 * time.Millisecond
	maxPatience = 2 * time.Second
	// shortAnswer is the part of the usual length below which an answer counts as an error. Answers of one service
	// address vary by up to three times; errors have no content.
	shortAnswer = 0.25
	// learnedAnswers is the number of answers at a service address from which on its usual values count.
	learnedAnswers = 20
	// usualWeight is the weight of one answer in the usual values, and usualCap bounds it to so many times the value.
	usualWeight = 1.0 / 32
	usualCap    = 4
	// maxUsual bounds the service addresses whose usual values are kept, maxExpected the requests that wait to be judged.
	maxUsual    = 4096
	maxExpected = DefaultMaxFlows
	// judgeStep is the granularity of the time at which requests are judged, half of the interval of ticks.
	judgeStep = 50 * time.Millisecond
	// maxSteps is the number of steps in the longest patience.
	maxSteps = int64(maxPatience/judgeStep) + 1

	// weighInterval is the time between two comparisons of endpoints.
	weighInterval = 250 * time.Millisecond
	// evidenceHalfLife is the time after which a request counts half. An endpoint that gets few requests because it failed
	// is believed for some seconds, and one that has recovered has its full share again within three half-lives.
	evidenceHalfLife = 3 * time.Second
	// maxEvidence is the number of requests of one balancer that count at most. Under heavy load older ones would otherwise
	// hide a failure for seconds.
	maxEvidence = 12
	// doubt is the number of good requests that are assumed of each endpoint, so that one failure proves little.
	doubt = 3
	// toleratedShare of failed requests above the median of the service's endpoints has no effect; badShare above that
	// leaves minWeight.
	toleratedShare = 0.1
	badShare       = 0.2
	// minWeight is the part of its usual share of new flows that a failing endpoint keeps. They show when it recovers, and
	// with all endpoints failing none is left out.
	minWeight = 0.05
	// degradedWeight and recoveredWeight bound what is logged as a change of belief.
	degradedWeight  = 0.5
	recoveredWeight = 0.8
	// minReported is the number of failed requests from which on they are reported. Many balancers that have seen one each
	// some seconds ago are evidence together.
	minReported = 0.1
	// maxReportOutcomes keeps a report within one datagram, at up to 8 bytes each.
	maxReportOutcomes = 20
)

// usual is what is usual for requests to one service address.
type usual struct {
	count int     // answers that were learned from
	time  float64 // s until the first byte
	bytes float64 // within the patience
}

func (u *usual) isKnown() bool { return u.count >= learnedAnswers }

// patience is how long a request waits before it counts as failed.
func (u *usual) patience() time.Duration {
	if !u.isKnown() {
		return maxPatience
	}
	return min(max(time.Duration(patienceFactor*u.time*float64(time.Second)), minPatience), maxPatience)
}

func (u *usual) learn(value *float64, x float64) {
	if !u.isKnown() {
		*value += (x - *value) / float64(u.count+1)
		return
	}
	limit := usualCap * *value
	*value += (min(x, limit) - *value) * usualWeight
}

// evidence counts requests by their outcome; older ones count less.
type evidence struct{ good, bad float64 }

func (e *evidence) add(o evidence, factor float64) {
	e.good = max(e.good+factor*o.good, 0)
	e.bad = max(e.bad+factor*o.bad, 0)
}

// note adds one request.
func (e *evidence) note(isGood bool) {
	if total := e.good + e.bad + 1; total > maxEvidence {
		e.good, e.bad = e.good*maxEvidence/total, e.bad*maxEvidence/total
	}
	if isGood {
		e.good++
	} else {
		e.bad++
	}
}

// share returns the part of requests that failed.
func (e evidence) share() float64 { return e.bad / (e.good + e.bad + doubt) }

// Outcome is what became of recent requests to one endpoint that failed some. Older requests count in part.
type Outcome struct {
	Cookie    uint32 // the first cookie of the endpoint
	Good, Bad float64
}

// expected is a request that is judged at a time.
type expected struct {
	flow    *flow
	request uint64
}

// outcomes judges requests by what their clients acknowledge, and endpoints by their requests.
type outcomes struct {
	usual    map[netip.AddrPort]*usual
	began    time.Time            // of the first request; steps count from here, as the time of day may jump
	expected map[int64][]expected // by the step at which they are judged
	waiting  int                  // requests in expected
	judgedTo int64                // steps up to this one are done
	requests uint64               // numbers given to requests
	judged   map[*server]bool     // servers with evidence
	weighed  time.Time
}

func newOutcomes() outcomes {
	return outcomes{
		usual: make(map[netip.AddrPort]*usual), expected: make(map[int64][]expected), judged: make(map[*server]bool),
	}
}

// expect notes a request whose first data has been sent on.
func (f *Forwarder) expect(now time.Time, address netip.AddrPort, w *flow) {
	u := f.usual[address]
	if u == nil {
		if len(f.usual) >= maxUsual {
			return
		}
		u = &usual{}
		f.usual[address] = u
	}
	w.usual, w.before = u, w.acknowledged
	f.judgeAt(now.Add(u.patience()), w)
}

// judgeAt lets a flow be judged at a time, unless something else is known of it by then.
func (f *Forwarder) judgeAt(at time.Time, w *flow) {
	if f.waiting >= maxExpected {
		return
	}
	if f.began.IsZero() {
		f.began = at
	}
	step := f.step(at) + 1
	if f.waiting == 0 {
		f.judgedTo = step - maxSteps
	}
	f.requests++
	f.waiting++
	w.request = f.requests
	f.expected[step] = append(f.expected[step], expected{w, w.request})
}

// step returns the number of whole steps since the first request.
func (f *Forwarder) step(at time.Time) int64 {
	return int64(math.Floor(float64(at.Sub(f.began)) / float64(judgeStep)))
}

// judgeDue judges the requests whose time is over.
func (f *Forwarder) judgeDue(now time.Time) {
	for step := f.step(now); f.waiting > 0 && f.judgedTo < step; {
		f.judgedTo++
		for _, x := range f.expected[f.judgedTo] {
			f.waiting--
			switch w := x.flow; {
			case w.request != x.request || w.server == nil:
			case w.isOpening:
				f.refused(now, w)
			default:
				f.judge(w, true)
			}
		}
		delete(f.expected, f.judgedTo)
	}
}

// refused notes that the client of an opening packet has fallen silent: the endpoint has answered with a reset, as one
// does whose process has ended. The flow no longer counts.
func (f *Forwarder) refused(now time.Time, w *flow) {
	v, openedAt := w.server, w.openedAt
	f.leave(w)
	w.isOpening, w.request = false, 0
	if v.progressAt.After(openedAt) {
		return
	}
	v.refusedAt = now
	f.fail(now, openedAt, v, "opening packet refused")
}

// judge decides on a request by what the client has received since. Before its time is over, a request without an answer
// is left open: its client may have lost interest.
func (f *Forwarder) judge(w *flow, isOver bool) {
	received := float64(int32(w.acknowledged - w.before))
	if received <= 0 && !isOver {
		return
	}
	w.request = 0
	u := w.usual
	isKnown := u.isKnown()
	isGood := received > 0 && received >= shortAnswer*u.bytes
	if received > 0 {
		u.learn(&u.bytes, received)
		u.count++
	}
	if !isKnown {
		return
	}
	v := w.server
	v.seen.note(isGood)
	f.judged[v] = true
}

// weigh compares the endpoints of each service. An endpoint that fails clearly more requests than the median gets fewer
// new flows; if all fail alike, as when a burst fills their queues, none is blamed.
func (f *Forwarder) weigh(now time.Time) {
	elapsed := now.Sub(f.weighed)
	if elapsed < weighInterval {
		return
	}
	f.weighed = now
	decay := math.Exp2(-elapsed.Seconds() / evidenceHalfLife.Seconds())
	services := make(map[string][]*server)
	for v := range f.judged {
		v.seen = evidence{v.seen.good * decay, v.seen.bad * decay}
		v.evidence = v.seen
		v.evidence.add(v.told, 1)
		if v.evidence.good+v.evidence.bad < minReported {
			delete(f.judged, v)
			v.seen = evidence{}
			f.setWeight(v, 1, 0)
			continue
		}
		if !v.endpoint.IsOpen() {
			f.setWeight(v, 1, 0) // it gets no new flows, and its failures are no measure for others
			continue
		}
		services[v.endpoint.Service] = append(services[v.endpoint.Service], v)
	}
	for _, list := range services {
		var shares []float64
		for _, v := range list {
			if v.evidence.good+v.evidence.bad >= 1 {
				shares = append(shares, v.evidence.share())
			}
		}
		usualShare := 0.0
		if len(shares) > 0 {
			slices.Sort(shares)
			usualShare = shares[(len(shares)-1)/2]
		}
		for _, v := range list {
			excess := (v.evidence.share() - usualShare - toleratedShare) / badShare
			f.setWeight(v, 1-min(max(excess, 0), 1)*(1-minWeight), usualShare)
		}
	}
}

func (f *Forwarder) setWeight(v *server, weight, usualShare float64) {
	v.penalty = 1 - weight
	switch {
	case !v.isDegraded && weight < degradedWeight:
		v.isDegraded = true
		f.believe(Belief{
			What: EndpointDegraded, Endpoint: v.endpoint.ID, Failures: int(math.Round(v.evidence.bad)),
			Cause: fmt.Sprintf("share of failed requests %.2f, of the median endpoint %.2f", v.evidence.share(), usualShare),
		})
	case v.isDegraded && weight > recoveredWeight:
		v.isDegraded = false
		f.believe(Belief{What: EndpointRecovered, Endpoint: v.endpoint.ID})
	}
}

// weight is the part of its usual share of new flows that an endpoint gets.
func (v *server) weight() float64 { return 1 - v.penalty }

// outcomesToReport returns what this balancer has seen of endpoints that failed requests, the worst first.
func (f *Forwarder) outcomesToReport() []Outcome {
	var list []Outcome
	for v := range f.judged {
		if v.seen.bad >= minReported {
			list = append(list, Outcome{Cookie: directory.Cookie(v.endpoint.ID, 0), Good: v.seen.good, Bad: v.seen.bad})
		}
	}
	slices.SortFunc(list, func(a, b Outcome) int { return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.Cookie, b.Cookie)) })
	return list[:min(len(list), maxReportOutcomes)]
}

// addTold adds the outcomes of a report, or takes them back with the factor -1.
func (f *Forwarder) addTold(list []Outcome, factor float64) {
	for _, o := range list {
		if v := f.byCookie[o.Cookie]; v != nil {
			v.told.add(evidence{o.Good, o.Bad}, factor)
			f.judged[v] = true
		}
	}
}
