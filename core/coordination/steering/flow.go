package steering

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/metric"
)

const (
	// DefaultMaxFlows bounds the memory for tracked flows to about 20 MB. The deployment size expected in two years has
	// 16,000 flows on each balancer.
	DefaultMaxFlows = 65536
	// DefaultConfirmedFor is how long the configuration counts as the newest after it was read, if Config sets nothing.
	DefaultConfirmedFor = 2 * time.Second
	// answerTime is the time in which a healthy endpoint answers an opening packet. Clients retransmit the packet after
	// 200 ms; the longest round trip between failure domains takes some 10 ms.
	answerTime = 150 * time.Millisecond
	// acceptTime is the time in which a healthy endpoint accepts one of two flows and the client's next packet arrives:
	// several of the longest round trips between failure domains, which take some 10 ms.
	acceptTime = 40 * time.Millisecond
	// refusedTime is the time after which an opening packet counts as refused if neither a retransmission nor another
	// packet of the client has arrived: a client without an answer of the endpoint retransmits after 200 ms.
	refusedTime = 350 * time.Millisecond
	// openTime is the time after which a client has stopped trying to open a flow: 1.4 s plus a margin.
	openTime = 2 * time.Second
	// sweepInterval is the time between two searches for idle flows, whose end this balancer has not seen.
	sweepInterval = time.Second
	// defaultIdle is the idle timeout if the configuration sets none.
	defaultIdle = 60 * time.Second
)

// flow is the state of a tracked flow. It serves to count load and to rate the health of endpoints; forwarding works
// without it.
type flow struct {
	endpointState    *endpointState
	openedAt         time.Time // when the endpoint was first sent the opening packet; zero if another balancer did
	isOpening        bool      // no packet but opening ones has arrived from the client
	lastPacketAt     time.Time
	unansweredSince  time.Time // when the oldest unanswered data was sent; zero if there is none
	sequence         uint32    // of the unanswered data, or of the opening packet while isOpening
	acknowledged     uint32
	isFailureCounted bool   // already counted as a failure of the endpoint; cleared by the next progress
	failureGap       uint32 // number of gaps in the progress of all endpoints when it was counted

	baseline           *baseline // of the service address
	request            uint64    // number of the request or opening packet to be evaluated; 0 if there is none
	acknowledgedBefore uint32    // value of acknowledged when the request was sent
	sentEnd            uint32    // sequence number after the last data sent; valid if hasSent
	hasSent            bool

	outstanding  int  // requests on the endpoint when the last one was sent, itself included, as far as known
	hasUncounted bool // the last request has not been counted for the speed of the endpoint

	isFormer bool // opened before the endpoint restarted; says nothing about its present incarnation
}

// fraction hashes a flow to a number in [0, 1).
func fraction(k FlowKey) float64 { return seededFraction(k, 0) }

// seededFraction hashes a flow like fraction; the results for different seeds are independent of each other.
func seededFraction(k FlowKey, seed uint64) float64 {
	var b [36]byte
	c, s := k.Client.Addr().As16(), k.Service.Addr().As16()
	copy(b[:16], c[:])
	copy(b[16:32], s[:])
	binary.BigEndian.PutUint16(b[32:], k.Client.Port())
	binary.BigEndian.PutUint16(b[34:], k.Service.Port())
	var d xxhash.Digest
	d.ResetWithSeed(seed)
	_, _ = d.Write(b[:]) // never fails
	return float64(d.Sum64()>>11) / (1 << 53)
}

// retransmittedOpening handles a retransmission of an opening packet. It returns the endpoint that the flow stays with.
// It returns nil and true if the endpoint did not answer in time and another one should be chosen, and nil and false if
// the packet is no retransmission of a tracked opening packet.
func (f *Forwarder) retransmittedOpening(now time.Time, p *Packet) (*endpointState, bool) {
	w := f.flows[p.Flow]
	if w == nil || !w.isOpening || w.sequence != p.Sequence {
		return nil, false
	}
	v := w.endpointState
	w.request = 0 // a client that retransmits has not been refused
	if f.isEvacuated(v.endpoint.FailureDomain) {
		return nil, true
	}
	if now.Sub(w.openedAt) < answerTime {
		return v, true // the first packet was delayed on its way here; the endpoint had no time to answer
	}
	if v.progressAt.After(w.openedAt) && v.endpoint.IsOpen() {
		return v, true // the endpoint answers other packets: one was lost
	}
	if !w.isFailureCounted && !w.isFormer {
		w.isFailureCounted = true
		f.recordFailure(now, w.openedAt, v, "opening packet not answered")
	}
	return nil, true
}

// trackOpening records the opening packet of a flow, unless MaxFlows flows are tracked already.
func (f *Forwarder) trackOpening(now time.Time, p *Packet, v *endpointState) {
	w := f.flows[p.Flow]
	if w == nil {
		if len(f.flows) >= f.config.MaxFlows {
			return
		}
		w = &flow{}
		f.flows[p.Flow] = w
	}
	if w.endpointState != v || !w.isOpening {
		f.detach(w)
		*w = flow{endpointState: v, isOpening: true, openedAt: now, sequence: p.Sequence}
		v.flows++
		v.openingFlows++
		v.recentlyPlaced++
		v.unconfirmed.record(now)
		f.evaluateAt(now.Add(refusedTime), w)
	}
	w.lastPacketAt = now
}

// detach removes a flow from the counts of its endpoint.
func (f *Forwarder) detach(w *flow) {
	if w.endpointState == nil {
		return
	}
	w.endpointState.flows--
	if w.isOpening {
		w.endpointState.openingFlows--
	}
	if !w.unansweredSince.IsZero() {
		w.endpointState.waitingFlows--
		f.waitingFlows--
	}
	w.endpointState = nil
}

// forget stops tracking a flow.
func (f *Forwarder) forget(k FlowKey) {
	if w := f.flows[k]; w != nil {
		f.detach(w)
		delete(f.flows, k)
	}
}

// observe updates the load and the health of the endpoint from a packet of an open flow.
func (f *Forwarder) observe(now time.Time, p *Packet, v *endpointState) {
	if p.IsClosing {
		f.observeClose(now, p, v)
		return
	}
	w := f.flows[p.Flow]
	if w == nil || w.endpointState != v {
		w = f.adopt(p, v)
		if w == nil {
			return
		}
	}
	w.lastPacketAt = now
	switch {
	case w.isOpening:
		w.isOpening, w.isFailureCounted, w.request = false, false, 0
		v.openingFlows--
		f.recorder.ObserveService(metric.OpenTime, v.endpoint.Service, now.Sub(w.openedAt))
		f.recordOpenTime(v, now.Sub(w.openedAt))
		w.acknowledged = p.Acknowledgment
		f.recordProgress(now, v)
	case int32(p.Acknowledgment-w.acknowledged) > 0:
		w.acknowledged, w.isFailureCounted = p.Acknowledgment, false
		f.recordProgress(now, v)
		f.answerReceived(now, w)
	}
	if p.Length > 0 {
		f.observeData(now, p, w)
	}
}

// observeClose handles a packet that ends a flow.
func (f *Forwarder) observeClose(now time.Time, p *Packet, v *endpointState) {
	w := f.flows[p.Flow]
	if w == nil {
		return
	}
	if w.isOpening {
		f.recordProgress(now, v)
	}
	if w.request != 0 && !w.isOpening {
		if int32(p.Acknowledgment-w.acknowledged) > 0 {
			w.acknowledged = p.Acknowledgment
		}
		f.evaluate(w, false)
	}
	f.forget(p.Flow)
}

// adopt begins to track a flow that another balancer opened, or that was not tracked. It ignores packets without data:
// the last acknowledgments of a flow arrive after its end.
func (f *Forwarder) adopt(p *Packet, v *endpointState) *flow {
	if p.Length == 0 || len(f.flows) >= f.config.MaxFlows {
		return nil
	}
	f.forget(p.Flow)
	w := &flow{endpointState: v, acknowledged: p.Acknowledgment}
	f.flows[p.Flow] = w
	v.flows++
	return w
}

// observeData records data sent to the endpoint. If the client sends the same data again, it has received no answer.
func (f *Forwarder) observeData(now time.Time, p *Packet, w *flow) {
	v := w.endpointState
	isNew := !w.hasSent || int32(p.Sequence+uint32(p.Length)-w.sentEnd) > 0
	if isNew {
		w.sentEnd, w.hasSent = p.Sequence+uint32(p.Length), true
	}
	if w.unansweredSince.IsZero() {
		if !isNew {
			return // retransmitted although its answer has been received; not a new request
		}
		if w.request != 0 {
			f.evaluate(w, false)
		}
		w.unansweredSince, w.sequence = now, p.Sequence
		v.waitingFlows++
		f.waitingFlows++
		w.outstanding, w.hasUncounted = f.outstanding(v), true
		f.requestProbe(now, v)
		f.trackRequest(now, p.Flow.Service, w)
		return
	}
	if p.Sequence != w.sequence || now.Sub(w.unansweredSince) < answerTime {
		return
	}
	if w.isFormer || v.progressAt.After(w.unansweredSince) {
		return
	}
	v.silentAt = now
	f.countSilence(now, w)
}

// countSilence counts a flow that has sent data again without an answer, once since the last gap in the progress of all
// endpoints. Data sent before the gap may have been delayed in this balancer, so that its silence counts from now.
func (f *Forwarder) countSilence(now time.Time, w *flow) {
	v, history := w.endpointState, &f.recentProgress
	if w.isFailureCounted && w.failureGap == history.gaps {
		return
	}
	w.isFailureCounted, w.failureGap = true, history.gaps
	if v.silentGap != history.gaps {
		v.silentFlows, v.silentGap = 0, history.gaps
	}
	if v.silentFlows == 0 {
		v.silentSince = w.unansweredSince
		if v.silentSince.Before(history.gapEnd) {
			v.silentSince = now
		}
	}
	v.silentFlows++
	f.silentStates[v] = struct{}{}
	f.recordFailure(now, w.unansweredSince, v, "data not answered")
	f.requestProbe(now, v)
}

// answerReceived records that the flow's unanswered data has been answered.
func (f *Forwarder) answerReceived(now time.Time, w *flow) {
	if w.unansweredSince.IsZero() {
		return
	}
	d := now.Sub(w.unansweredSince)
	f.recorder.ObserveService(metric.FirstByte, w.endpointState.endpoint.Service, d)
	if u := w.baseline; u != nil {
		if w.hasUncounted {
			w.hasUncounted = false
			f.recordResponse(now, w, d)
		}
		u.update(&u.firstByteSeconds, min(d, u.timeout()).Seconds())
	}
	w.unansweredSince = time.Time{}
	w.endpointState.waitingFlows--
	f.waitingFlows--
}

// Tick resets the waiting flows of dead endpoints, evaluates requests that are due, updates the weights of endpoints,
// and removes idle flows and expired reports.
func (f *Forwarder) Tick(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.warmups.ownership.Tick(now)
	f.resetDeadEndpoints(now)
	f.evaluateDue(now)
	f.updateWeights(now)
	f.updateSpeeds(now)
	f.tickRooms(now)
	if now.Sub(f.sweptAt) < sweepInterval {
		return
	}
	f.sweptAt = now
	f.expireReports(now)
	f.abandonedFlows = 0
	for _, v := range f.endpointStates {
		v.recentlyPlaced /= 2
		v.abandonedFlows = 0
	}
	idle := time.Duration(defaultIdle)
	if f.snapshot != nil && f.snapshot.Configuration.IdleTimeout > 0 {
		idle = f.snapshot.Configuration.IdleTimeout
	}
	for k, w := range f.flows {
		limit := idle
		if w.isOpening {
			limit = openTime
		}
		if now.Sub(w.lastPacketAt) > limit {
			f.detach(w)
			delete(f.flows, k)
		} else if !w.unansweredSince.IsZero() && now.Sub(w.lastPacketAt) > abandonedTime {
			w.endpointState.abandonedFlows++
			f.abandonedFlows++
		}
	}
}
