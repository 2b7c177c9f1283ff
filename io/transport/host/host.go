// Package host assembles one balancer process: it connects the core with the transports to the fabric, other balancers,
// backend servers, the platform and operators.
//
// # Usage
//
//	h, err := host.Start(settings, logger)
//	...
//	err = h.Drain(ctx) // hands all flows over; returns early when ctx ends
//	h.Close()
//
// The process is ready to receive packets from the fabric when it has tables and a membership view, and is not
// draining.
package host

import (
	"context"
	"encoding/hex"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/admission"
	"cornellb/core/coordination/balancer"
	"cornellb/core/coordination/configuration"
	"cornellb/core/coordination/dispatch"
	"cornellb/core/coordination/membership"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/settings"
	"cornellb/io/protocol/wire"
	"cornellb/io/transport/backend"
	"cornellb/io/transport/caller"
	"cornellb/io/transport/operator"
	"cornellb/io/transport/peer"
	"cornellb/io/transport/platform"
)

const (
	// tickInterval is the resolution of the core's retransmission times and deadlines.
	tickInterval = 50 * time.Millisecond
	// hostListInterval is the time between reads of the platform's host list. It is below the 3 s after which a leaving
	// backend server must get no new work.
	hostListInterval = 2 * time.Second
	// platformTimeout bounds one call to the platform.
	platformTimeout = 3 * time.Second
)

// Host is a running balancer process.
type Host struct {
	settings *settings.Settings
	log      *slog.Logger
	self     member.Host
	metrics  *operator.Metrics

	balancer *balancer.Balancer
	tables   *configuration.State
	client   *platform.Client
	caller   *caller.Transport
	backend  *backend.Transport
	peer     *peer.Transport
	runner   *peer.Runner
	operator *operator.Server

	changeReply          cachedChangeReply
	startOrDrain         sync.Mutex                  // orders the start of gossip and the begin of a drain
	draining             atomic.Bool                 // written with startOrDrain locked
	gossiping            atomic.Bool                 // other members may know of this process; written with startOrDrain locked
	joined               atomic.Bool                 // the core has received a membership view
	latestView           atomic.Pointer[member.View] // last view from the membership, also before joined
	joining              joinTimes
	lastCounters         transportCounters
	gossipedTableVersion uint64 // last table version passed to the membership; used only by the goroutine of tick
	ctx                  context.Context
	cancel               context.CancelFunc
	goroutines           sync.WaitGroup
}

// Start opens the sockets of a balancer process and joins the membership in the background.
func Start(s *settings.Settings, log *slog.Logger) (*Host, error) {
	h := &Host{settings: s, log: log, self: selfOf(s)}
	h.ctx, h.cancel = context.WithCancel(context.Background())
	if err := h.open(); err != nil {
		h.Close()
		return nil, err
	}
	h.goroutines.Go(h.join)
	h.log.Info("balancer started", "id", s.ID, "failure_domain", s.FailureDomain, "incarnation", h.self.Incarnation)
	return h, nil
}

func selfOf(s *settings.Settings) member.Host {
	return member.Host{
		ID: s.ID, FailureDomain: s.FailureDomain, Address: netip.MustParseAddrPort(s.PeerAddress),
		Incarnation: member.Incarnation(rand.Uint64() | 1), // 0 stands for no incarnation
	}
}

// open creates the core and opens all sockets. Handlers may be called before it returns.
func (h *Host) open() error {
	s := h.settings
	var err error
	if h.metrics, err = operator.NewMetrics(s.ID, s.FailureDomain); err != nil {
		return err
	}
	codec, err := newTicketCodec(s.TicketKeys)
	if err != nil {
		return err
	}
	h.tables = configuration.New(platform.SystemClock{}, tableActions{h}, h.log)
	h.client = platform.NewClient(s.Platform, platformTimeout, platform.SystemClock{})
	h.backend = backend.New(backend.Settings{}, backend.SystemClock{}, h.log, backendEvents{h})
	out := balancer.Outputs{
		Caller: callerSender{h}, Backend: h.backend, Handover: handoverSender{h}, Peer: forwardSender{h},
		Tickets: codec, Recorder: recorder{h.metrics, h},
	}
	h.balancer = balancer.New(h.self, coreConfig(s), backend.SystemClock{}, out)
	h.runner = peer.NewRunner(backend.SystemClock{}, membershipEvents{h})
	h.peer, err = peer.Listen(peer.Settings{Listen: h.self.Address}, peer.Handlers{
		Forward: newForwardHandler(h), Gossip: h.runner, Handover: handoverHandler{h}, Tables: tablesHandler{h},
		Members: h.runner,
	})
	if err != nil {
		return err
	}
	h.caller, err = caller.Listen(caller.Settings{
		Listen: netip.MustParseAddrPort(s.CallerAddress), Fabric: netip.MustParseAddrPort(s.FabricAddress),
	}, h.balancer)
	if err != nil {
		return err
	}
	h.operator, err = operator.Listen(s.OperatorAddress, h.metrics, stateProvider{h})
	return err
}

// join waits for the first tables, then starts gossip and the periodic goroutines, unless a drain has begun by then.
func (h *Host) join() {
	h.bootstrap()
	if h.ctx.Err() != nil || !h.startGossip() {
		return
	}
	h.runner.SetHints(parseAddresses(h.settings.Peers), nil)
	reader := &platform.Reader{Store: h.client, Core: h.tables, Clock: platform.SystemClock{}, Log: h.log}
	status := &platform.StatusWriter{Store: h.client, Source: h.tables, Clock: platform.SystemClock{}, Log: h.log}
	h.goroutines.Go(func() { reader.Run(h.ctx) })
	h.goroutines.Go(func() { status.Run(h.ctx) })
	h.goroutines.Go(h.tick)
	h.goroutines.Go(h.pollHostList)
}

// startGossip starts gossip and returns true, unless a drain has begun.
func (h *Host) startGossip() bool {
	h.startOrDrain.Lock()
	defer h.startOrDrain.Unlock()
	if h.draining.Load() {
		return false
	}
	h.runner.Start(h.peer, membership.Config{
		ID: h.self.ID, FailureDomain: h.self.FailureDomain, Address: h.self.Address, Incarnation: h.self.Incarnation,
		StartedAt: time.Now(), BytesPerSecond: h.settings.ControlBytes,
	}, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	h.gossiping.Store(true)
	return true
}

func newTicketCodec(keys []settings.TicketKey) (*wire.TicketCodec, error) {
	var list []wire.Key
	for _, k := range keys {
		secret, err := hex.DecodeString(k.Secret)
		if err != nil {
			return nil, errors.Wrap(err, "decode ticket key")
		}
		list = append(list, wire.Key{ID: k.ID, Secret: secret})
	}
	return wire.NewTicketCodec(list)
}

func coreConfig(s *settings.Settings) balancer.Config {
	d := dispatch.DefaultConfig()
	d.Mode = dispatch.Mode(s.RoutingMode)
	d.Admission = admission.Config{
		Limit:   s.QueueLimit,
		Weights: [packet.ClassCount]float64{s.Weights.Urgent, s.Weights.Normal, s.Weights.Bulk},
	}
	d.Endpoint.SlowStartStep = s.SlowStartStep
	d.MaxFlows = s.MaxFlows
	d.FlowIdle = s.FlowIdle
	return balancer.Config{
		ShardEndpoints: s.ShardEndpoints, Dispatch: d, Seed: rand.Uint64(),
	}
}

func parseAddresses(texts []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, t := range texts {
		if a, err := netip.ParseAddrPort(t); err == nil {
			list = append(list, a)
		}
	}
	return list
}

func (h *Host) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-ticker.C:
		}
		h.publishFirstView(time.Now())
		h.balancer.Tick()
		h.tables.Tick()
		h.recordTransportCounters(time.Now())
		if v := h.tables.Version(); v != h.gossipedTableVersion {
			h.gossipedTableVersion = v
			h.runner.SetTableVersion(v)
		}
	}
}

// Drain marks the process as leaving and returns when all flows have been handed over, or with the error of the
// context. At the drain limit, requests still in progress end with the outcome unknown and their flows are handed over.
// A process that has not started gossip yet has no flows and will not join the membership.
func (h *Host) Drain(ctx context.Context) error {
	h.startOrDrain.Lock()
	wasDraining := h.draining.Swap(true)
	h.startOrDrain.Unlock()
	if wasDraining {
		return nil
	}
	h.log.Info("draining", "limit", h.settings.DrainLimit.String())
	if !h.gossiping.Load() {
		h.log.Info("drained", "flows_left", h.flows())
		return nil // no other member knows of this process
	}
	h.runner.Leave()
	limit, cancel := context.WithTimeout(ctx, h.settings.DrainLimit)
	defer cancel()
	if !h.awaitDrained(limit) {
		if ctx.Err() != nil {
			return errors.Wrap(ctx.Err(), "drain")
		}
		h.log.Warn("drain limit reached; requests in progress end with outcome unknown")
		h.balancer.ForceDrain()
		last, cancelLast := context.WithTimeout(ctx, forcedDrainTime)
		defer cancelLast()
		h.awaitDrained(last)
	}
	h.runner.Depart()
	h.log.Info("drained", "flows_left", h.flows())
	return nil
}

// forcedDrainTime is the time for the last handovers after the drain limit.
const forcedDrainTime = 2 * time.Second

// lingerTime is how long the process keeps running after its last flow was handed over, for packets that are still in
// transit in the fabric.
const lingerTime = 500 * time.Millisecond

func (h *Host) awaitDrained(ctx context.Context) bool {
	var since time.Time
	for {
		switch {
		case !h.balancer.IsDrained():
			since = time.Time{}
		case since.IsZero():
			since = time.Now()
		case time.Since(since) >= lingerTime:
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(tickInterval):
		}
	}
}

func (h *Host) flows() int {
	n := 0
	for _, l := range h.balancer.Loads() {
		n += l.Flows
	}
	return n
}

// Close stops the process without a handover of its flows.
func (h *Host) Close() {
	h.cancel()
	if h.caller != nil {
		_ = h.caller.Close()
	}
	if h.runner != nil {
		h.runner.Close()
	}
	if h.peer != nil {
		_ = h.peer.Close()
	}
	if h.backend != nil {
		h.backend.Close()
	}
	h.goroutines.Wait() // after the transports are closed, because their handlers start calls to other balancers
	if h.operator != nil {
		_ = h.operator.Close()
	}
	if h.client != nil {
		h.client.Close()
	}
}
