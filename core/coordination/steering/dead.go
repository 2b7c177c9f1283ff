package steering

import "time"

const (
	// deadFlows is the number of flows that must have repeated data to an endpoint in vain. One or two may have lost
	// packets: at a loss of 0.2 % on the way and back, three at a time are one in 10^8.
	deadFlows = 3
	// deadTime is how long an endpoint must have been silent since the first of these data was sent. Work takes up to
	// 300 ms on a full endpoint, and clients give a request up after 800 ms.
	deadTime = 500 * time.Millisecond
	// othersTime is the time in which another endpoint must have shown a sign of life, well after those data were sent.
	// Otherwise this balancer may be the one that is cut off.
	othersTime = 500 * time.Millisecond
	// silentFor is how long evidence counts. It stays below the 4 s after which a path that has healed must be taken for a
	// good one again.
	silentFor = 1500 * time.Millisecond
	// maxResets bounds the resets that wait to be sent.
	maxResets = 4096
)

// sign holds the last two endpoints that showed a sign of life, so that there is always one that is not a given one.
type sign struct {
	last, before     *server
	lastAt, beforeAt time.Time
}

func (s *sign) note(now time.Time, v *server) {
	if s.last != v {
		s.before, s.beforeAt = s.last, s.lastAt
		s.last = v
	}
	s.lastAt = now
}

// of returns when an endpoint other than v last showed a sign of life.
func (s *sign) of(v *server) time.Time {
	if s.last != v {
		return s.lastAt
	}
	return s.beforeAt
}

// isDead reports whether it is certain enough that an endpoint no longer answers to reset its flows. A client that is
// reset can come back on another endpoint before its deadline. Only what this balancer has seen counts: when links are
// full, several balancers lose packets of a few flows each. If the entry of the endpoint has lapsed, one flow is enough.
func (f *Forwarder) isDead(now time.Time, v *server) bool {
	if !f.isSilent(now, v) || now.Sub(v.silentSince) < deadTime {
		return false
	}
	return v.hasLapsed() || v.silentFlows >= deadFlows && f.isAlone(now, v)
}

// isAlone reports whether more other endpoints have shown a sign of life since an endpoint fell silent than are silent. A
// balancer whose own link or processor is overloaded loses packets to many endpoints.
func (f *Forwarder) isAlone(now time.Time, v *server) bool {
	living, silent := 0, 0
	for _, u := range f.servers {
		switch {
		case u == v:
		case u.progressAt.After(v.silentSince.Add(answerTime)):
			living++
		case u.silentFlows > 0 && now.Sub(u.silentAt) <= silentFor:
			silent++
		}
	}
	return living > silent
}

// isSilent reports whether this balancer has evidence against an endpoint, and is not cut off itself. The evidence must be
// fresh, so that an endpoint which has come back is tried again, unless its entry has lapsed: then it registers first.
func (f *Forwarder) isSilent(now time.Time, v *server) bool {
	others := f.progress.of(v)
	return v.silentFlows > 0 && (v.hasLapsed() || now.Sub(v.silentAt) <= silentFor) &&
		others.After(v.silentSince.Add(answerTime)) && now.Sub(others) <= othersTime
}

// hasLapsed reports whether the endpoint is no longer registered although it did not leave in an orderly way.
func (v *server) hasLapsed() bool { return v.endpoint.IsGone && !v.endpoint.IsLeaving }

// resetWaiting queues resets for the flows that wait for an endpoint which has just proved to be dead.
func (f *Forwarder) resetWaiting(v *server) {
	for k, w := range f.flows {
		if w.server != v || w.sentAt.IsZero() || len(f.resets) >= maxResets {
			continue
		}
		f.resets = append(f.resets, Packet{Flow: k, Acknowledgment: w.acknowledged})
		f.leave(w)
		delete(f.flows, k)
	}
}

// findDead resets the waiting flows of endpoints that are dead.
func (f *Forwarder) findDead(now time.Time) {
	for _, v := range f.servers {
		if isDead := f.isDead(now, v); isDead && v.waiting > 0 {
			f.resetWaiting(v)
			f.believe(Belief{
				What: EndpointDead, Endpoint: v.endpoint.ID, Failures: v.silentFlows, For: now.Sub(v.silentSince),
				Cause: "data not answered",
			})
		}
	}
}

// Resets returns packets whose flows are to be reset, since their endpoint is dead. Only Flow and Acknowledgment are set.
func (f *Forwarder) Resets() []Packet {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.resets
	f.resets = nil
	return list
}
