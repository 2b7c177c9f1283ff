// Package steering decides what happens to each packet in the direct return mode: which endpoint a new flow gets, where
// a later packet goes, and which endpoints are suspect or dead.
//
// # Placement
//
// A new flow goes to the least loaded endpoint in the balancer's own failure domain, unless that domain as a whole is
// clearly more loaded than another one. Load is the number of flows per slot that the balancers report on the endpoint.
// Endpoints that are leaving or gone get no new flows.
//
// # Evidence
//
// The balancer sees only the packets from clients. A retransmitted opening packet, and data that the client sends again
// without having received anything, show that an endpoint did not answer. The first packet after the opening one, and
// an acknowledgment of new data, show that the endpoint answers; the comments call this progress. An endpoint that has
// failed and made no progress since is suspect for a time that doubles with each failure, and meanwhile gets new flows
// only if no other endpoint is left. After that time it is probed with one flow at a time. Open flows are never moved
// to another endpoint. They are reset if their endpoint is dead: it is silent, and its host does not answer either.
//
// An endpoint may respond and still fail: it answers late, never, or with errors. The amount of data that the client
// has acknowledged some time after a request shows this. Endpoints that fail clearly more requests than the others of
// their service get a smaller share of the new flows. Balancers of a failure domain report to each other what they have
// observed.
//
// # Usage
//
//	f := steering.New(steering.Config{FailureDomain: "attiki-1"}, recorder, random)
//	f.SetSnapshot(now, snapshot)
//	d := f.Handle(now, &packet)
//	f.Tick(now) // about every 100 ms
//	for _, p := range f.Probes() { ... f.RecordProbe(now, p, result) }
//
// A Forwarder starts no goroutine and reads no clock. All methods may be called concurrently.
package steering

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"cornellb/core/coordination/warmup"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
)

// FlowKey identifies a flow by the addresses of its client and its service.
type FlowKey struct {
	Client  netip.AddrPort
	Service netip.AddrPort // the address that the client sends to
}

// Packet holds the fields of a client's packet that the balancer uses.
type Packet struct {
	Flow           FlowKey
	IsOpening      bool // asks to open the flow
	IsClosing      bool // the client sends no more data, or aborts the flow
	Sequence       uint32
	Acknowledgment uint32 // acknowledgment number for the data received by the client; meaningless while IsOpening
	Copy           uint32 // of an opening packet: 0 for the first one, higher for retransmissions
	Length         int    // of the data, in bytes
	Cookie         uint32 // 0 if there is none
}

// Verdict is what to do with a packet.
type Verdict uint8

// The verdicts.
const (
	Drop Verdict = iota
	Forward
	Reset // answer the client with a reset
	Hold  // decide again when there is a configuration and a list of endpoints, see HoldQueue
)

// Reason explains a verdict other than Forward. It is the label of counters and log lines.
type Reason string

// The reasons.
const (
	ReasonNone          Reason = ""
	ReasonNotReady      Reason = "not_ready"      // no configuration or no list of endpoints yet
	ReasonNoRoute       Reason = "no_route"       // no version known here has a route
	ReasonRouteRemoved  Reason = "route_removed"  // an earlier version had a route
	ReasonNoEndpoint    Reason = "no_endpoint"    // no endpoint of the service may get new flows
	ReasonUnknownCookie Reason = "unknown_cookie" // no endpoint known here has the cookie, or more than one has
	ReasonWrongService  Reason = "wrong_service"  // the cookie names an endpoint of another service
	ReasonDeadEndpoint  Reason = "dead_endpoint"  // the endpoint of the flow no longer answers
	ReasonEvacuated     Reason = "evacuated"      // all failure domains with endpoints of the service are evacuated
	ReasonColdLimit     Reason = "cold_limit"     // only cold endpoints are left, and none may get a flow from this balancer now
	ReasonNoRoom        Reason = "no_room"        // the service is overloaded and the route is not urgent enough
)

// Decision is the result for one packet.
type Decision struct {
	Verdict        Verdict
	Reason         Reason
	Endpoint       *directory.Endpoint // set for Forward
	Cookie         uint32              // to write into the packet, for Forward
	Load           float64             // flows per slot of the endpoint; set when an opening packet is forwarded
	SilentEndpoint *directory.Endpoint // did not answer an earlier copy of this opening packet; nil if there is none

	Version    uint64        // of the configuration in force
	VersionAge time.Duration // since it was last known to be the newest
}

// Recorder counts events and measures durations.
type Recorder interface {
	Count(c metric.Counter, label string, n int64)
	ObserveService(h metric.Histogram, service string, d time.Duration)
}

// Config describes the balancer.
type Config struct {
	FailureDomain string
	FlowAge       time.Duration // longest life of a flow; 0 if there is no limit
	// ConfirmedFor is how long the configuration counts as the newest after it was read. It must be longer than the
	// interval between reads, and shorter than the time within which a new configuration must take effect. 0 means
	// DefaultConfirmedFor.
	ConfirmedFor time.Duration
	MaxFlows     int  // limit of tracked flows; others are forwarded untracked. 0 means DefaultMaxFlows
	LearnsSpeed  bool // whether new flows follow the speed of endpoints, see endpointspeed.go
	RefusesFlows bool // whether overloaded services refuse flows of less urgent routes, see room.go
}

// Forwarder decides on packets.
type Forwarder struct {
	config   Config
	recorder Recorder

	mu             sync.Mutex // guards everything below
	random         *rand.Rand
	snapshot       *directory.Snapshot
	confirmedAt    time.Time // when the configuration was last known to be the newest
	endpointStates map[string]*endpointState
	byCookie       map[uint32]*endpointState   // by Cookie(ID, 0)
	silentStates   map[*endpointState]struct{} // at least those with silentFlows or a recent refusal; a tick removes the others
	flows          map[FlowKey]*flow
	reports        map[member.Incarnation]receivedReport
	domains        map[string]*domain
	services       map[string]*service // by name; built when first used, discarded with the snapshot
	sweptAt        time.Time
	configuredAt   time.Time // when the first snapshot with a configuration arrived
	healthEvents   []HealthEvent
	recentProgress progressHistory  // the latest progress of any endpoint
	silenceReports uint64           // number of the last report of unresponsive endpoints
	resets         []Packet         // of flows whose endpoint is dead, until Resets returns them
	probes         []Probe          // until Probes returns them
	probing        int              // number of probes without a result
	rooms          map[string]*room // of services whose routes differ in priority
	roomsOf        *directory.Configuration
	outcomes
	speeds
	warmups warmups
}

// New returns a Forwarder without a snapshot; it drops all packets.
func New(c Config, r Recorder, random *rand.Rand) *Forwarder {
	if c.MaxFlows <= 0 {
		c.MaxFlows = DefaultMaxFlows
	}
	if c.ConfirmedFor <= 0 {
		c.ConfirmedFor = DefaultConfirmedFor
	}
	return &Forwarder{
		config: c, recorder: r, random: random,
		endpointStates: make(map[string]*endpointState), silentStates: make(map[*endpointState]struct{}),
		flows: make(map[FlowKey]*flow), reports: make(map[member.Incarnation]receivedReport),
		domains: make(map[string]*domain), services: make(map[string]*service), outcomes: newOutcomes(),
		speeds:  speeds{timed: make(map[*endpointState]bool)},
		warmups: warmups{ownership: warmup.New(c.FailureDomain)},
	}
}

// SetSnapshot makes a snapshot the one that decisions use, and adds and removes endpoint state accordingly.
func (f *Forwarder) SetSnapshot(now time.Time, s *directory.Snapshot) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.snapshot = s
	if f.configuredAt.IsZero() && s.Configuration.Version != 0 {
		f.configuredAt = now
	}
	known := make(map[string]bool, len(s.Endpoints()))
	restarted := make(map[*endpointState]bool)
	for _, e := range s.Endpoints() {
		known[e.ID] = true
		v := f.endpointStates[e.ID]
		if v == nil {
			v = &endpointState{}
			f.endpointStates[e.ID] = v
		} else if v.endpoint.StartedAt != e.StartedAt {
			restarted[v] = true
			v.statedWarmAt, v.cold = time.Time{}, nil
		}
		v.endpoint = e
		v.cookie, v.hasCookie = s.CookieOf(e)
	}
	for id := range f.endpointStates {
		if !known[id] {
			delete(f.withEvidence, f.endpointStates[id])
			delete(f.silentStates, f.endpointStates[id])
			delete(f.timed, f.endpointStates[id])
			delete(f.endpointStates, id)
		}
	}
	f.resetHealth(restarted)
	f.resetSpeeds(now, restarted)
	f.markReplaced(s.Endpoints())
	f.indexCookies()
	f.updateCold(now)
	clear(f.services)
	f.setRooms()
}

// Confirm records that the configuration in force was the newest one at the given time.
func (f *Forwarder) Confirm(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at.After(f.confirmedAt) {
		f.confirmedAt = at
	}
}

// SetConfirmedFor replaces Config.ConfirmedFor.
func (f *Forwarder) SetConfirmedFor(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.config.ConfirmedFor = d
}

// Handle decides on one packet of a client.
func (f *Forwarder) Handle(now time.Time, p *Packet) Decision {
	f.mu.Lock()
	defer f.mu.Unlock()
	var d Decision
	switch {
	case f.snapshot == nil, p.IsOpening && !f.isComplete():
		d = Decision{Verdict: Hold, Reason: ReasonNotReady}
	case p.IsOpening:
		d = f.handleOpening(now, p)
	default:
		d = f.handleExisting(now, p)
	}
	if f.snapshot != nil {
		d.Version, d.VersionAge = f.snapshot.Configuration.Version, now.Sub(f.confirmedAt)
	}
	switch d.Verdict {
	case Forward:
		kind := "data"
		if p.IsOpening {
			kind = "opening"
		}
		f.recorder.Count(metric.Steered, kind, 1)
	case Reset:
		f.recorder.Count(metric.ResetSent, string(d.Reason), 1)
	case Hold:
		f.recorder.Count(metric.Held, string(d.Reason), 1)
	default:
		f.recorder.Count(metric.Dropped, string(d.Reason), 1)
	}
	return d
}

// handleOpening decides on a packet that opens a flow.
func (f *Forwarder) handleOpening(now time.Time, p *Packet) Decision {
	route := f.snapshot.RouteOf(p.Flow.Service)
	if route == nil {
		return f.missingRoute(now, p)
	}
	var excluded *endpointState
	v, isRepeated := f.retransmittedOpening(now, p)
	if v == nil {
		if isRepeated {
			excluded = f.flows[p.Flow].endpointState
		}
		service := f.serviceOf(route, p.Flow)
		if !isRepeated && p.Copy == 0 && !f.isActive(now, p.Flow) && !f.admits(now, route, service, p.Flow) {
			f.forget(p.Flow)
			return Decision{Verdict: Reset, Reason: ReasonNoRoom}
		}
		var reason Reason
		if v, reason = f.chooseBySpeed(now, service, excluded); v == nil {
			return f.refuseOpening(p, reason, excluded)
		}
		if v != excluded {
			f.recordOpened(now, v)
		}
	}
	f.trackOpening(now, p, v)
	d := Decision{Verdict: Forward, Endpoint: v.endpoint, Cookie: v.cookie, Load: v.flowsPerSlot()}
	if excluded != nil && excluded != v {
		d.SilentEndpoint = excluded.endpoint
	}
	return d
}

// isActive reports whether a flow is open and its client has sent a packet lately. An opening packet of such a flow is a
// duplicate of the one that opened it.
func (f *Forwarder) isActive(now time.Time, k FlowKey) bool {
	w := f.flows[k]
	return w != nil && !w.isOpening && now.Sub(w.lastPacketAt) < openTime
}

// refuseOpening decides on an opening packet for which there is no endpoint. It resets the flow if no endpoint can have
// opened it. An earlier copy may have been sent to an endpoint that still lives, by this balancer or another one, and may
// be answered; then the packet is dropped, and the client stops trying after its last copy.
func (f *Forwarder) refuseOpening(p *Packet, reason Reason, former *endpointState) Decision {
	mayBeOpen := former != nil && !former.endpoint.IsGone || former == nil && p.Copy > 0 && reason != ReasonNoEndpoint
	if mayBeOpen {
		return Decision{Reason: reason}
	}
	f.forget(p.Flow)
	return Decision{Verdict: Reset, Reason: reason}
}

// missingRoute decides on an opening packet to an address without a route. It resets the flow if the route was removed
// or the configuration is known to be fresh. Otherwise it drops the packet: the client retransmits it, and a fresher
// configuration may decide.
func (f *Forwarder) missingRoute(now time.Time, p *Packet) Decision {
	reason := ReasonNoRoute
	if f.snapshot.WasRouted(p.Flow.Service) {
		reason = ReasonRouteRemoved
	}
	if reason == ReasonRouteRemoved || now.Sub(f.confirmedAt) <= f.config.ConfirmedFor {
		return Decision{Verdict: Reset, Reason: reason}
	}
	return Decision{Reason: reason}
}

// serviceOf selects a target of the route by weight. The choice depends on the flow alone, so that retransmissions that
// reach other balancers get the same service.
func (f *Forwarder) serviceOf(r *directory.Route, k FlowKey) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := fraction(k) * sum
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[len(r.Targets)-1].Service
}

// isConfigured reports whether there is a configuration.
func (f *Forwarder) isConfigured() bool { return f.snapshot.Configuration.Version != 0 }

// isComplete reports whether there is a configuration and a list of endpoints, and the evacuations are known. Before, no
// packet is refused for lack of a route or an endpoint.
func (f *Forwarder) isComplete() bool {
	return f.isConfigured() && !f.snapshot.IsPartial && !f.snapshot.IsUnsure
}

// handleExisting decides on a packet of a flow that is already open. The cookie is enough to forward it: a balancer
// that has just started can forward flows opened by other balancers before it has received the configuration, which is
// most of the data that it reads.
func (f *Forwarder) handleExisting(now time.Time, p *Packet) Decision {
	e := f.snapshot.ByCookie(p.Cookie, p.Flow.Service)
	if e == nil && f.snapshot.IsPartial {
		return Decision{Verdict: Hold, Reason: ReasonNotReady}
	}
	if e == nil {
		return Decision{Reason: ReasonUnknownCookie}
	}
	if f.isConfigured() && f.snapshot.RouteOf(p.Flow.Service) == nil {
		if f.snapshot.WasRouted(p.Flow.Service) {
			f.forget(p.Flow)
			return Decision{Verdict: Reset, Reason: ReasonRouteRemoved}
		}
		return Decision{Reason: ReasonNoRoute}
	}
	if f.knowsHistory(now) && !f.snapshot.Allowed(p.Flow.Service, e.Service) {
		return Decision{Reason: ReasonWrongService}
	}
	if v := f.endpointStates[e.ID]; v != nil {
		f.observe(now, p, v)
		if !p.IsClosing && f.isDead(now, v) {
			f.forget(p.Flow)
			return Decision{Verdict: Reset, Reason: ReasonDeadEndpoint, Endpoint: e}
		}
	}
	return Decision{Verdict: Forward, Endpoint: e, Cookie: p.Cookie}
}

// SuspectEndpoints returns the number of endpoints that failed and get no new flows for the present.
func (f *Forwarder) SuspectEndpoints(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, v := range f.endpointStates {
		if v.failures > 0 && now.Before(v.until) {
			n++
		}
	}
	return n
}

// DegradedEndpoints returns the number of endpoints that get fewer new flows because they fail requests.
func (f *Forwarder) DegradedEndpoints() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for v := range f.withEvidence {
		if v.isDegraded {
			n++
		}
	}
	return n
}

// knowsHistory reports whether this process has seen every configuration version under which an open flow can have been
// opened, that is, whether it has had a configuration for longer than FlowAge.
func (f *Forwarder) knowsHistory(now time.Time) bool {
	return f.config.FlowAge > 0 && !f.configuredAt.IsZero() && now.Sub(f.configuredAt) > f.config.FlowAge
}

// TrackedFlows returns the number of flows that are tracked.
func (f *Forwarder) TrackedFlows() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.flows)
}
