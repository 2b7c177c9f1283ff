package steering

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

const (
	// probeInterval is the least time between two probes of an endpoint.
	probeInterval = 500 * time.Millisecond
	// probeLifetime is how long an unanswered probe counts. It is as long as the silence that it explains.
	probeLifetime = silenceLifetime
	// maxProbes bounds the probes that are under way, each of which needs a few file descriptors.
	maxProbes = 32
)

// Probe asks whether the host of a silent endpoint answers connection attempts. An endpoint whose queue is full does
// not answer data for a while, but its host accepts or refuses a connection at once.
type Probe struct {
	Endpoint  string // ID
	StartedAt int64  // of the incarnation, see directory.Endpoint
	Address   netip.AddrPort
}

// ProbeResult is the outcome of a probe.
type ProbeResult uint8

// The results.
const (
	ProbeFailed     ProbeResult = iota // not carried out properly; says nothing about the endpoint
	ProbeAnswered                      // the host accepted or refused the connection
	ProbeUnanswered                    // the host did not answer, however often it was asked
)

// String returns the label of the result in counters.
func (r ProbeResult) String() string {
	switch r {
	case ProbeAnswered:
		return "answered"
	case ProbeUnanswered:
		return "unanswered"
	default:
		return "failed"
	}
}

// reachability is what probes have shown of an endpoint.
type reachability struct {
	probedAt      time.Time // when the last probe was requested
	isProbing     bool      // its result is not known yet
	unreachableAt time.Time // when the last probe with a result was requested if it was not answered; zero otherwise
}

// requestProbe queues a probe of an endpoint that is silent while flows wait for it, unless a recent one tells enough.
func (f *Forwarder) requestProbe(now time.Time, v *endpointState) {
	r := v.reachability
	switch {
	case v.silentFlows == 0 || v.waitingFlows == 0 || v.isReplaced:
		return
	case r != nil && (r.isProbing || now.Sub(r.probedAt) < probeInterval || v.hasLapsed() && f.isUnreachable(now, v)):
		return
	case f.probing >= maxProbes:
		f.recorder.Count(metric.Probed, "too_many", 1) // a tick requests it again
		return
	}
	if r == nil {
		r = &reachability{}
		v.reachability = r
	}
	f.probing++
	r.isProbing, r.probedAt = true, now
	f.probes = append(f.probes, Probe{Endpoint: v.endpoint.ID, StartedAt: v.endpoint.StartedAt, Address: v.endpoint.Address})
}

// Probes returns the queued probes and empties the queue. The caller carries them out and calls RecordProbe for each.
func (f *Forwarder) Probes() []Probe {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.probes
	f.probes = nil
	slices.SortFunc(list, func(a, b Probe) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// RecordProbe records the result of a probe that Probes has returned.
func (f *Forwarder) RecordProbe(now time.Time, p Probe, result ProbeResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probing--
	f.recorder.Count(metric.Probed, result.String(), 1)
	v := f.endpointStates[p.Endpoint]
	if v == nil || v.reachability == nil || v.endpoint.StartedAt != p.StartedAt {
		return
	}
	r := v.reachability
	r.isProbing = false
	if v.endpoint.Address != p.Address {
		return
	}
	switch result {
	case ProbeAnswered:
		r.unreachableAt = time.Time{}
	case ProbeUnanswered:
		r.unreachableAt = r.probedAt
	default:
		return
	}
	if v.silentFlows > 0 {
		f.addHealthEvent(HealthEvent{
			Event: EndpointProbed, Endpoint: p.Endpoint, Failures: v.silentFlows, For: now.Sub(v.silentSince), Cause: result.String(),
		})
	}
}

// isUnreachable reports whether a probe has shown, since the endpoint fell silent and since the last gap in the progress
// of all endpoints, that its host does not answer. If its registration has lapsed, a probe of any age counts: the
// endpoint registers again when it is back. A host whose address another endpoint has taken over answers for that one.
func (f *Forwarder) isUnreachable(now time.Time, v *endpointState) bool {
	if v.isReplaced {
		return true
	}
	if v.reachability == nil || v.reachability.unreachableAt.IsZero() {
		return false
	}
	at := v.reachability.unreachableAt
	return !at.Before(v.silentSince) && !at.Before(f.recentProgress.gapEnd) &&
		(v.hasLapsed() || now.Sub(at) <= probeLifetime)
}

// markReplaced records which endpoints are gone and have lost their address to an endpoint that started later.
func (f *Forwarder) markReplaced(endpoints []*directory.Endpoint) {
	gone := make(map[netip.AddrPort][]*directory.Endpoint) // few, and mostly none
	for _, e := range endpoints {
		if f.endpointStates[e.ID].isReplaced = false; e.IsGone {
			gone[e.Address] = append(gone[e.Address], e)
		}
	}
	if len(gone) == 0 {
		return
	}
	for _, e := range endpoints {
		if e.IsGone {
			continue
		}
		for _, former := range gone[e.Address] {
			if e.StartedAt > former.StartedAt {
				f.endpointStates[former.ID].isReplaced = true
			}
		}
	}
}
