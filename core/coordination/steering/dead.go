package steering

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minSilentFlows is the number of flows that must have sent data again without an answer before an endpoint counts
	// as dead. One or two may have lost packets: at a loss of 0.2 % in both directions, three at a time have a
	// probability of one in 10^8.
	minSilentFlows = 3
	// minSilence is the time that must have passed since the first of these data was sent. Most requests on a loaded
	// endpoint take less, and clients give up a request after 800 ms.
	minSilence = 500 * time.Millisecond
	// othersProgressTime is the time within which another endpoint must have made progress, later than answerTime after
	// those data were sent. Otherwise this balancer itself may be cut off.
	othersProgressTime = 500 * time.Millisecond
	// maxProgressGap is the longest time without progress of any endpoint after which silence still counts. A longer gap
	// shows that this balancer's own link or processor was overloaded. Shorter ones leave, of minSilence, the 300 ms that
	// a loaded endpoint takes.
	maxProgressGap = 200 * time.Millisecond
	// silenceLifetime is how long evidence of silence counts. It is shorter than the 4 s after which a path that has
	// recovered must be treated as working again.
	silenceLifetime = 1500 * time.Millisecond
	// maxResets bounds the queued resets.
	maxResets = 4096
)

// progressHistory holds the two endpoints that made progress last. For any given endpoint, one of them is another
// endpoint. Gaps are times without progress of any endpoint.
type progressHistory struct {
	last, before     *endpointState
	lastAt, beforeAt time.Time
	gaps             uint32    // number of gaps longer than maxProgressGap
	gapEnd           time.Time // end of the last of them
}

func (s *progressHistory) record(now time.Time, v *endpointState) {
	if !s.lastAt.IsZero() && now.Sub(s.lastAt) > maxProgressGap {
		s.gaps++
		s.gapEnd = now
	}
	if s.last != v {
		s.before, s.beforeAt = s.last, s.lastAt
		s.last = v
	}
	s.lastAt = now
}

// ofOthers returns when an endpoint other than v last made progress.
func (s *progressHistory) ofOthers(v *endpointState) time.Time {
	if s.last != v {
		return s.lastAt
	}
	return s.beforeAt
}

// isDead reports whether the evidence that an endpoint no longer answers is strong enough to reset its flows. A client
// whose flow is reset can reconnect to another endpoint before its deadline. Only what this balancer has observed
// counts, and only since the last gap in the progress of all endpoints: when links are congested, several balancers
// lose packets of a few flows each, and one balancer receives the answers of some endpoints before those of others. If
// the registration of the endpoint has lapsed, or its failure domain is cut off, one flow is enough. Silence alone never
// is: the requests of a burst wait in the queue of a living endpoint for longer than minSilence, which looks the same to
// the balancer. So a probe must have shown that its host does not answer.
func (f *Forwarder) isDead(now time.Time, v *endpointState) bool {
	if !f.isSilent(now, v) || now.Sub(v.silentSince) < minSilence || !f.isUnreachable(now, v) {
		return false
	}
	if v.hasLapsed() {
		return true
	}
	if v.silentGap != f.recentProgress.gaps || now.Sub(f.recentProgress.lastAt) > maxProgressGap {
		return false
	}
	return f.domainOf(v.endpoint.FailureDomain).isCut || v.silentFlows >= minSilentFlows && f.mostOthersRespond(now, v)
}

// silence sums up, over the endpoints of a failure domain, what shows that this balancer does not reach them.
type silence struct {
	endpoints, flows int       // endpoints that are silent, and their flows that have sent data again without an answer
	since            time.Time // when the first of these data was sent
	progressAt       time.Time // latest progress of any endpoint there
	responding       int       // endpoints that have made progress lately
}

// findCutDomains decides which failure domains this balancer no longer reaches. It has few flows on each endpoint of
// another failure domain, so that no endpoint alone shows it. Together they must show as much as one that is dead:
// minSilentFlows flows wait, on at least two endpoints, for minSilence; no endpoint there has answered since the first
// of them; and of the endpoints in other failure domains, more have made progress lately than are silent.
func (f *Forwarder) findCutDomains(now time.Time) {
	for _, d := range f.domains {
		d.silence, d.isCut = silence{}, false
	}
	responding, silent := 0, 0
	for v := range f.silentStates {
		if v.isSilentLately(now) {
			silent++
		}
	}
	if silent < 2 {
		return // the usual case, without a look at all failure domains
	}
	for _, v := range f.endpointStates {
		d := f.domainOf(v.endpoint.FailureDomain)
		d.silence.progressAt = later(d.silence.progressAt, v.progressAt)
		switch {
		case v.isSilentLately(now):
			if v.silentGap == f.recentProgress.gaps {
				d.silence.add(v)
			}
		case !v.progressAt.IsZero() && now.Sub(v.progressAt) <= othersProgressTime:
			responding++
			d.silence.responding++
		}
	}
	for name, d := range f.domains {
		s := &d.silence
		d.isCut = name != f.config.FailureDomain && s.endpoints >= 2 && s.flows >= minSilentFlows &&
			now.Sub(s.since) >= minSilence && !s.progressAt.After(s.since) &&
			responding-s.responding > silent-s.endpoints
	}
}

// add adds a silent endpoint.
func (s *silence) add(v *endpointState) {
	if s.endpoints == 0 || v.silentSince.Before(s.since) {
		s.since = v.silentSince
	}
	s.endpoints++
	s.flows += v.silentFlows
}

// mostOthersRespond reports whether, of the other endpoints, more have made progress since v fell silent than are
// silent now. A balancer whose own link or processor is overloaded loses packets to many endpoints.
func (f *Forwarder) mostOthersRespond(now time.Time, v *endpointState) bool {
	responding, silent := 0, 0
	for _, u := range f.endpointStates {
		switch {
		case u == v:
		case u.progressAt.After(v.silentSince.Add(answerTime)):
			responding++
		case u.isSilentLately(now):
			silent++
		}
	}
	return responding > silent
}

// isSilentLately reports whether flows of the endpoint have lately sent data again without an answer.
func (v *endpointState) isSilentLately(now time.Time) bool {
	return v.silentFlows > 0 && now.Sub(v.silentAt) <= silenceLifetime
}

// isSilent reports whether an endpoint does not answer this balancer while another endpoint does. The evidence must be
// recent, so that an endpoint that has recovered is tried again. If its registration has lapsed, evidence of any age
// counts: the endpoint registers again when it is back.
func (f *Forwarder) isSilent(now time.Time, v *endpointState) bool {
	others := f.recentProgress.ofOthers(v)
	return (v.isSilentLately(now) || v.silentFlows > 0 && v.hasLapsed()) &&
		others.After(v.silentSince.Add(answerTime)) && now.Sub(others) <= othersProgressTime
}

// hasLapsed reports whether the endpoint is no longer registered although it did not announce that it was leaving.
func (v *endpointState) hasLapsed() bool { return v.endpoint.IsGone && !v.endpoint.IsLeaving }

// resetDeadEndpoints queues resets for the waiting flows of dead endpoints. If there are more than the queue holds, the
// flows that have waited longest are first, and the others follow at the next tick.
func (f *Forwarder) resetDeadEndpoints(now time.Time) {
	f.findCutDomains(now)
	var dead []*endpointState
	for v := range f.silentStates {
		if v.silentFlows == 0 {
			if !v.hasRefused(now) {
				delete(f.silentStates, v)
			}
			continue
		}
		if v.waitingFlows > 0 && f.isDead(now, v) {
			dead = append(dead, v)
		}
		f.requestProbe(now, v)
	}
	if len(dead) == 0 {
		return
	}
	slices.SortFunc(dead, func(a, b *endpointState) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	for _, v := range dead {
		f.addHealthEvent(HealthEvent{
			Event: EndpointDead, Endpoint: v.endpoint.ID, Failures: v.silentFlows, For: now.Sub(v.silentSince),
			Cause: "data not answered",
		})
	}
	var waiting []FlowKey
	for k, w := range f.flows {
		if !w.unansweredSince.IsZero() && slices.Contains(dead, w.endpointState) {
			waiting = append(waiting, k)
		}
	}
	slices.SortFunc(waiting, func(a, b FlowKey) int {
		if c := f.flows[a].unansweredSince.Compare(f.flows[b].unansweredSince); c != 0 {
			return c
		}
		return cmp.Compare(fraction(a), fraction(b)) // the same in each run, and prefers no client
	})
	for _, k := range waiting[:min(len(waiting), maxResets-len(f.resets))] {
		w := f.flows[k]
		f.resets = append(f.resets, Packet{Flow: k, Acknowledgment: w.acknowledged})
		f.detach(w)
		delete(f.flows, k)
	}
}

// Resets returns the queued resets and empties the queue. In each Packet only Flow and Acknowledgment are set.
func (f *Forwarder) Resets() []Packet {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.resets
	f.resets = nil
	return list
}
