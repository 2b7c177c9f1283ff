// Package dispatch runs a pool shard at the balancer that owns it: it holds the shard's flows, its queue and the slots
// of its endpoints, sends requests to backend servers, relays feeds, and hands flows over to another owner.
//
// # Usage
//
// A Shard takes events (HandleCaller, HandleBackend, BackendUp, BackendDown, HandleHandover, Tick) and sends messages
// through the interfaces in Outputs. It starts no goroutines and reads no clock: each event carries the time. A Shard
// is safe for concurrent use; one lock guards its whole state.
//
// The code keeps these rules even if several balancers act as the owner at the same time:
//
//   - A non-idempotent request is sent at most once, and only under a grant that this shard holds.
//   - A request that was answered with "not run" has a record, so that a late copy is not run either.
//   - Work is sent only to an endpoint whose backend server has confirmed the shard's service.
package dispatch

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cornellb/core/coordination/admission"
	"cornellb/core/coordination/endpoint"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// CallerSender sends a packet to a caller through the fabric. It does not block and may lose packets.
type CallerSender interface {
	SendCaller(service netip.AddrPort, to packet.CallerAddress, p *packet.Packet)
}

// BackendSender holds the connections to backend servers and sends frames on them.
type BackendSender interface {
	// Send sends a frame. An error means that nothing was or will be written.
	Send(to netip.AddrPort, m *packet.Backend) error
	// Connect requests a connection to an endpoint of a service, which is kept up until Disconnect.
	Connect(to netip.AddrPort, service string)
	// Disconnect ends the connection to an endpoint, which is not dialled again.
	Disconnect(to netip.AddrPort)
}

// HandoverSender sends flows to another owner. The result is passed to HandoverDone.
type HandoverSender interface {
	SendHandover(to member.Host, h *flow.Handover)
}

// TicketSealer encodes tickets.
type TicketSealer interface {
	Seal(t *flow.Ticket) []byte
}

// Recorder records metrics.
type Recorder interface {
	Count(c metric.Counter, label string, n int64)
	Observe(h metric.Histogram, customer string, class packet.Class, d time.Duration)
}

// Outputs holds the interfaces through which a shard sends messages and records metrics.
type Outputs struct {
	Caller   CallerSender
	Backend  BackendSender
	Handover HandoverSender
	Tickets  TicketSealer
	Recorder Recorder
}

// Mode selects how endpoints are chosen. ModeOwner is for production; the others are baselines that measurements
// compare it with.
type Mode string

// The modes.
const (
	ModeOwner            Mode = "owner"             // one owner for each pool shard, exact counts, pins
	ModeHash             Mode = "hash"              // consistent hashing of the flow ID, no pins, no shared counts
	ModeLeastConnections Mode = "least_connections" // each balancer chooses by its own counts only
)

// Config holds the settings of a shard.
type Config struct {
	Mode             Mode
	Admission        admission.Config
	Endpoint         endpoint.Config
	Retry            endpoint.RetryConfig
	MaxFlows         int           // flows held by one shard
	FlowIdle         time.Duration // a flow without packets is removed after this time
	FeedIdle         time.Duration // a feed whose caller is silent is closed after this time
	AnswerRetention  time.Duration // unconfirmed answers are kept for this time
	MaxAnswerBytes   int           // total size of the kept answers of a shard
	AttemptGrace     time.Duration // time after the deadline for the backend server's reply to a cancellation
	FeedWindow       int           // largest number of unacknowledged items of a feed
	FeedResend       time.Duration // time after which unacknowledged items are sent again
	HandoverInterval time.Duration // time after which an unacknowledged handover is sent again
}

// DefaultConfig returns the defaults.
func DefaultConfig() Config {
	return Config{
		Mode:             ModeOwner,
		Admission:        admission.Config{Limit: admission.DefaultLimit, Weights: admission.DefaultWeights},
		MaxFlows:         200_000,
		FlowIdle:         5 * time.Minute,
		FeedIdle:         10 * time.Second,
		AnswerRetention:  30 * time.Second,
		MaxAnswerBytes:   32 << 20,
		AttemptGrace:     5 * time.Second,
		FeedWindow:       64,
		FeedResend:       300 * time.Millisecond,
		HandoverInterval: 500 * time.Millisecond,
	}
}

// numberBits is the number of low bits of an attempt or stream number that a shard counts itself; the bits above hold
// the shard's number, so that a reply finds its shard.
const numberBits = 40

// ShardNumber returns the number of the shard that made an attempt or stream number.
func ShardNumber(attempt uint64) uint64 { return attempt >> numberBits }

// Shard is one pool shard at its owner.
type Shard struct {
	key     flow.ShardKey
	service string
	self    member.Incarnation
	config  Config
	out     Outputs

	mu              sync.Mutex
	random          *rand.Rand
	queue           *admission.Queue
	endpoints       *endpoint.Set
	budget          *endpoint.RetryBudget
	flows           map[packet.FlowID]*flowState
	all             flowList
	feeds           flowList
	unacked         flowList
	expiryNext      int // index in all where the next scan for idle flows begins
	attempts        map[uint64]*attempt
	streams         map[uint64]*flowState
	queued          map[requestKey]*pending // waiting requests, in the queue or delayed
	delayed         []*pending              // retries in their backoff
	numberBase      uint64                  // shard number in the high bits
	lastNumber      uint64                  // last attempt or stream number
	serial          *atomic.Uint64          // last serial number of a grant or handover message of the process
	answerBytes     int                     // total size of the kept answers
	answers         []settledAnswer         // oldest first
	handover        handoverState
	meanServiceTime time.Duration           // moving mean from dispatch to answer; 0 before the first
	createdAt       time.Time               // when the first endpoint was added
	unlisted        map[netip.AddrPort]bool // endpoints no longer in the tables that still have attempts
	unusableSince   time.Time               // since when no endpoint is usable; zero while one is
	eventAt         time.Time               // last event
	catchUpTill     time.Time               // no work is sent before; set when the process was suspended
	closed          bool                    // no endpoint is left and no new work is taken
}

type requestKey struct {
	flow    packet.FlowID
	request uint64
}

type settledAnswer struct {
	key requestKey
	at  time.Time
}

// NewShard returns a shard without endpoints. The number must be unique among the shards of the process; serial is
// shared by all shards of the process.
func NewShard(key flow.ShardKey, service string, number uint64, self member.Incarnation, serial *atomic.Uint64,
	config Config, random *rand.Rand, out Outputs) *Shard {
	return &Shard{
		key:        key,
		service:    service,
		self:       self,
		config:     config,
		out:        out,
		random:     random,
		queue:      admission.New(config.Admission),
		endpoints:  endpoint.New(config.Endpoint, random),
		budget:     endpoint.NewRetryBudget(config.Retry, random),
		flows:      make(map[packet.FlowID]*flowState),
		feeds:      flowList{kind: listFeeds},
		unacked:    flowList{kind: listUnacked},
		attempts:   make(map[uint64]*attempt),
		streams:    make(map[uint64]*flowState),
		queued:     make(map[requestKey]*pending),
		unlisted:   make(map[netip.AddrPort]bool),
		numberBase: number << numberBits,
		serial:     serial,
	}
}

// Key returns the shard's key.
func (s *Shard) Key() flow.ShardKey { return s.key }

// Service returns the service of the shard's pool.
func (s *Shard) Service() string { return s.service }

// SetEndpoints replaces the shard's endpoints with those of a new table version, and returns those that are new.
func (s *Shard) SetEndpoints(now time.Time, endpoints []table.Endpoint) (added []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	added, removed, leaving := s.endpoints.Update(now, endpoints)
	for _, a := range added {
		if s.createdAt.IsZero() {
			s.createdAt = now
		}
		delete(s.unlisted, a)
		s.out.Backend.Connect(a, s.service)
	}
	for _, a := range removed {
		s.moveFeeds(now, a, "removed")
		s.unlisted[a] = true
	}
	s.forgetUnlisted()
	for _, a := range leaving {
		s.moveFeeds(now, a, "leaving")
	}
	s.dispatch(now)
	return added
}

// MarkLeaving stops new work for an endpoint while the platform lists its host as leaving, and allows it again after.
func (s *Shard) MarkLeaving(now time.Time, address netip.AddrPort, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints.MarkLeaving(now, address, endpoint.LeavingHost, leaving) {
		s.moveFeeds(now, address, "leaving")
	}
}

// BackendUp records that a connection to an endpoint is established and its backend server has confirmed the service.
func (s *Shard) BackendUp(now time.Time, address netip.AddrPort, service string, incarnation uint64, busy int,
	leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endpoints.IsListed(address) || service != s.service {
		return
	}
	s.endpoints.Up(now, address, incarnation)
	s.applyReport(now, address, busy, leaving)
	s.resumeFeeds(now)
	s.dispatch(now)
}

// BackendDown records that the connection to an endpoint is lost. The frames in unsent were not passed to the kernel.
func (s *Shard) BackendDown(now time.Time, address netip.AddrPort, unsent []*packet.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.endpoints.IsListed(address) && s.inFlight(address) == 0 {
		return
	}
	s.endpoints.Down(now, address)
	s.failAttempts(now, address, unsent)
	s.moveFeeds(now, address, "down")
	s.dispatch(now)
}

// HandleBackend handles a frame of an attempt or stream that this shard started, or a report of an endpoint's load.
func (s *Shard) HandleBackend(now time.Time, address netip.AddrPort, m *packet.Backend) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Kind {
	case packet.BackendAnswer:
		s.handleAnswer(now, address, m)
	case packet.BackendShed:
		s.handleShed(now, address, m)
	case packet.BackendCancelled:
		s.handleCancelled(now, address, m)
	case packet.BackendItem:
		s.handleItem(now, address, m)
	case packet.BackendPong:
	default:
		s.countDropped("backend_kind")
		return
	}
	if m.Kind != packet.BackendItem && s.endpoints.IsListed(address) {
		s.applyReport(now, address, int(m.Busy), m.Leaving)
	}
	s.dispatch(now)
}

// applyReport records what a backend server reports about itself. Feeds move to other endpoints as soon as it reports
// that it is leaving.
func (s *Shard) applyReport(now time.Time, address netip.AddrPort, busy int, leaving bool) {
	if s.endpoints.RecordReport(now, address, busy, leaving) {
		s.moveFeeds(now, address, "leaving")
	}
}

// Tick runs all work that is due by time: expiry, retries, resends and handover. It must be called about every 50 ms.
func (s *Shard) Tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireAttempts(now)
	s.forgetUnlisted()
	s.pushDelayed(now)
	s.dispatch(now)
	s.resumeFeeds(now)
	s.resendItems(now)
	s.expireAnswers(now)
	s.expireFlows(now)
	s.continueHandover(now)
	s.updateUnusableSince(now)
}

// unusableTime is the time without a usable endpoint after which a shard's flows should move to another shard. It is
// longer than a reconnect takes.
const unusableTime = 2 * time.Second

func (s *Shard) updateUnusableSince(now time.Time) {
	switch {
	case s.endpoints.AnyUsable():
		s.unusableSince = time.Time{}
	case s.unusableSince.IsZero():
		s.unusableSince = now
	}
}

// HasNoUsableEndpoint reports whether the shard has had no usable endpoint for at least unusableTime.
func (s *Shard) HasNoUsableEndpoint(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.unusableSince.IsZero() && now.Sub(s.unusableSince) >= unusableTime
}

// Load holds the counts of a shard for status reports and tests.
type Load struct {
	Flows    int `json:"flows"`
	Feeds    int `json:"feeds"`
	Queued   int `json:"queued"`
	InFlight int `json:"in_flight"`
}

// Add returns the sum of two loads.
func (l Load) Add(o Load) Load {
	return Load{
		Flows: l.Flows + o.Flows, Feeds: l.Feeds + o.Feeds, Queued: l.Queued + o.Queued, InFlight: l.InFlight + o.InFlight,
	}
}

// Load returns the current counts.
func (s *Shard) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Load{Flows: len(s.flows), Feeds: len(s.feeds.flows), Queued: len(s.queued), InFlight: len(s.attempts)}
}

// IsIdle reports whether nothing is left to finish or to hand over.
func (s *Shard) IsIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flows) == 0 && len(s.attempts) == 0 && len(s.queued) == 0
}

// Close removes all endpoints of an idle shard and ends its connections. The shard takes no new flows afterwards.
func (s *Shard) Close(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_, removed, _ := s.endpoints.Update(now, nil)
	for _, a := range removed {
		s.unlisted[a] = true
	}
	s.forgetUnlisted()
}

// forgetUnlisted closes the connections to endpoints that the tables no longer have, once nothing runs there.
func (s *Shard) forgetUnlisted() {
	for _, a := range slices.SortedFunc(maps.Keys(s.unlisted), netip.AddrPort.Compare) {
		if s.inFlight(a) == 0 {
			delete(s.unlisted, a)
			s.out.Backend.Disconnect(a)
		}
	}
}

// nextNumber returns a new attempt or stream number.
func (s *Shard) nextNumber() uint64 {
	s.lastNumber++
	return s.numberBase | s.lastNumber&(1<<numberBits-1)
}

// countDropped counts a message that is dropped.
func (s *Shard) countDropped(reason string) { s.out.Recorder.Count(metric.Dropped, reason, 1) }

// countViolation counts a violated invariant.
func (s *Shard) countViolation(name string) { s.out.Recorder.Count(metric.Violation, name, 1) }
