// Package direct runs a balancer in the direct return mode: it reads packets from a UDP socket, forwards them as
// core/coordination/steering decides, keeps routes and endpoints up to date from a store, and answers the fabric's
// readiness checks.
//
// The formats of packets and of the store come in through the interfaces Codec and Store, so that the mode runs without
// any particular platform.
//
// # Usage
//
//	p, err := direct.Start(settings, direct.Adapters{Store: store, Codec: codec, Clock: clock}, log)
//	...
//	p.Drain(ctx) // reports not ready to the fabric, keeps forwarding until no packets arrive
//	p.Close()
package direct

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/io/transport/operator"
)

// Settings describe one balancer process.
type Settings struct {
	ID              string
	FailureDomain   string
	PacketAddress   netip.AddrPort   // UDP, packets from clients
	ReadyAddress    netip.AddrPort   // TCP, readiness checks of the fabric
	ReadyPath       string           // URL path of the readiness check
	OperatorAddress netip.AddrPort   // TCP, metrics and status
	PeerAddress     netip.AddrPort   // UDP and TCP, other balancers; if invalid, the process contacts none
	Peers           []netip.AddrPort // peer addresses of some other balancers, possibly outdated
	ApplyLimit      time.Duration    // within which a new configuration must take effect; 0 selects a default
	LeaveLimit      time.Duration    // within which endpoints that leave must get no new flows; 0 selects a default
	DrainLimit      time.Duration    // from the signal to the forced end of the process
	FlowAge         time.Duration    // longest life of a flow

	EvacuateLimit time.Duration // within which an evacuation must take effect; 0 if there are none
	ColdOvershoot float64       // part of its rate that all balancers together may send a cold endpoint; 0 if there is no limit
	ColdSlack     float64       // flows in a second that are allowed beyond that
	LearnsSpeed   bool          // whether new flows follow the speed of endpoints
	RefusesFlows  bool          // whether overloaded services refuse flows of less urgent routes
	Processor     float64       // cores of this host; 0 if unknown
	LinkMbps      float64       // bandwidth of this host's link; 0 if unknown
}

// Codec decodes and encodes packets. Its methods may be called concurrently.
type Codec interface {
	Headroom() int                                                        // bytes that Encode adds in front of a packet
	MaxBytes() int                                                        // size of the largest packet
	Decode(b []byte, p *steering.Packet) error                            // the error is a *PacketError
	Encode(b []byte, number uint64, cookie uint32)                        // in place; b starts with the headroom
	Reset(b []byte, p *steering.Packet) (reset []byte, to netip.AddrPort) // encodes into b
}

// Store holds the configuration and the registered endpoints.
type Store interface {
	// Configuration returns the newest configuration and the faults of its entries that cannot be used. The error is a
	// *NoConfigurationError if there is none.
	Configuration(ctx context.Context) (*directory.Configuration, []Fault, error)
	// Endpoints lists all endpoints, with the position of the list. If isFresh is false, the list may be seconds old.
	Endpoints(ctx context.Context, isFresh bool) ([]directory.Endpoint, directory.Position, []Fault, error)
	// WatchEndpoints waits for changes after a position, at most for wait, and returns them with the position to
	// continue from. The reply holds all changes that the store had acknowledged when the call began. The error
	// is a *HistoryGoneError if the store no longer has all changes after that revision, or has been restored from a copy
	// since. The era of a position is 0 if the reply has none.
	WatchEndpoints(ctx context.Context, after directory.Position, wait time.Duration) (
		[]discovery.Change, directory.Position, []Fault, error,
	)
	// Evacuations returns the evacuated failure domains as of some time during the call. The position has the revision of
	// the whole store, or none if the store has no list.
	Evacuations(ctx context.Context) (*directory.Evacuations, []Fault, error)
}

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Adapters are the implementations of the interfaces that the process depends on.
type Adapters struct {
	Store  Store
	Codec  Codec
	Clock  Clock
	Dialer Dialer       // probes endpoints; a net.Dialer if nil
	Log    *AsyncWriter // output of the logger, whose count of dropped lines is exported; may be nil
}

// Process is a running balancer.
type Process struct {
	settings  *Settings // replaced under mu by Reload, which keeps names and addresses
	adapters  Adapters
	log       *slog.Logger
	metrics   *operator.Metrics
	forwarder *steering.Forwarder
	socket    *socket
	ready     *readyServer
	operator  *operator.Server
	peers     *peers
	decisions *decisionLog

	mu           sync.Mutex // guards the fields below
	state        *discovery.State
	loggedFaults map[string]string // reasons of the faults that were logged, by subject and name; "" after recovery

	evacuations evacuations

	wasConfigurationRead bool // whether a read of the configuration has ended, also without success
	wereEndpointsRead    bool // the same for the endpoint list

	isComplete           atomic.Bool // a configuration and an endpoint list were received
	isServing            atomic.Bool // socket is open
	isDraining           atomic.Bool
	configurationRequest readRequest
	endpointsRequest     readRequest
	ctx                  context.Context
	cancel               context.CancelFunc
	work                 sync.WaitGroup
}

// reregistrationTime is the time that live endpoints have to register again after an outage of the store. The platform
// promises about 2 s.
const reregistrationTime = 2200 * time.Millisecond

// Start opens the sockets and starts to read the store. The process is ready once it has a configuration and a list of
// endpoints, and knows the evacuations if there may be any.
func Start(s *Settings, a Adapters, log *slog.Logger) (*Process, error) {
	if a.Dialer == nil {
		a.Dialer = &net.Dialer{}
	}
	p := &Process{
		settings: s, adapters: a, log: log, decisions: newDecisionLog(log), loggedFaults: make(map[string]string),
		configurationRequest: newReadRequest(), endpointsRequest: newReadRequest(),
		state: discovery.New(discovery.Config{
			FlowAge: s.FlowAge, ReregistrationTime: reregistrationTime, LeaveTime: s.leaveLimit(),
		}),
	}
	p.evacuations.request = newReadRequest()
	if p.refreshEvacuations(a.Clock.Now()); s.EvacuateLimit > 0 {
		p.state.AwaitEvacuations()
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.open(); err != nil {
		p.Close()
		return nil, err
	}
	p.log.Info("started", "host", s.ID, "failure_domain", s.FailureDomain, "packets", s.PacketAddress.String())
	p.isServing.Store(true)
	p.work.Go(p.socket.run)
	p.work.Go(p.readConfiguration)
	p.work.Go(p.readEndpoints)
	p.work.Go(p.readEvacuations)
	p.work.Go(p.tick)
	return p, nil
}

// open opens the sockets and registers the metrics.
func (p *Process) open() error {
	var err error
	if p.metrics, err = operator.NewMetrics(p.settings.ID, p.settings.FailureDomain); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.forwarder = steering.New(steering.Config{
		FailureDomain: p.settings.FailureDomain, FlowAge: p.settings.FlowAge,
		ConfirmedFor: p.settings.limits().Configuration, LearnsSpeed: p.settings.LearnsSpeed,
		RefusesFlows: p.settings.RefusesFlows,
	}, p.metrics, random)
	p.forwarder.SetColdLimit(p.adapters.Clock.Now(), p.settings.coldLimit())
	if err = joinPeers(p); err != nil {
		return err
	}
	if p.socket, err = listenPackets(p); err != nil {
		return err
	}
	if p.ready, err = listenReady(p.settings.ReadyAddress, p.settings.ReadyPath, p.IsReady, p.log); err != nil {
		return err
	}
	if err = p.registerGauges(); err != nil {
		return err
	}
	if !p.settings.OperatorAddress.IsValid() {
		return nil
	}
	p.operator, err = operator.Listen(p.settings.OperatorAddress.String(), p.metrics, p)
	return err
}

// IsReady reports whether the fabric may send packets to this balancer.
func (p *Process) IsReady() bool { return p.isComplete.Load() && !p.isDraining.Load() }

// update calls change under p.mu and then publishes the state that it changed.
func (p *Process) update(change func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.adapters.Clock.Now()
	change(now)
	p.publish(now)
}

// publish passes a new snapshot to the forwarder if the state has changed. The caller holds p.mu.
func (p *Process) publish(now time.Time) {
	p.refreshEvacuations(now)
	if s, ok := p.state.Snapshot(now); ok {
		p.forwarder.SetSnapshot(now, s)
		if p.isServing.Load() {
			p.socket.wakeHeld()
		}
	}
	if p.state.IsComplete() && p.state.KnowsEvacuations() && !p.isComplete.Swap(true) {
		p.log.Info("ready", "version", p.state.Version(), "revision", p.state.Position().Revision)
	}
}

// tickInterval is the period of tick and of the checks in Drain, and thereby the resolution of their time limits.
const tickInterval = 100 * time.Millisecond

// tick does the periodic work until the process is closed.
func (p *Process) tick() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.adapters.Clock.After(tickInterval):
		}
		p.update(func(now time.Time) { p.forwarder.Tick(now) })
		p.socket.sendResets()
		p.startProbes()
		p.peers.updateWeight(p.adapters.Clock.Now())
		p.peers.sendSpeeds(p.adapters.Clock.Now())
		p.peers.countControlBytes()
		p.logHealthEvents()
	}
}

const (
	// removalTime is how long the fabric takes to stop sending to a balancer that is not ready: two checks, 500 ms
	// apart.
	removalTime = 1200 * time.Millisecond
	// drainIdleTime is the time without packets after which a drain ends.
	drainIdleTime = 500 * time.Millisecond
	// drainMargin is how long before the drain limit a drain ends, so that the process exits before it is forced to.
	drainMargin = time.Second
)

// Drain reports not ready to the fabric, tells the other balancers that this one is leaving, and returns when packets
// no longer arrive, or shortly before the drain limit. Further calls return at once.
func (p *Process) Drain(ctx context.Context) error {
	if p.isDraining.Swap(true) {
		return nil
	}
	p.mu.Lock()
	limit := p.settings.DrainLimit
	p.mu.Unlock()
	p.log.Info("draining", "limit", limit.String())
	p.peers.leave()
	began := p.adapters.Clock.Now()
	for {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "drain")
		case <-p.adapters.Clock.After(tickInterval):
		}
		now := p.adapters.Clock.Now()
		if now.Sub(began) > limit-drainMargin {
			break
		}
		if now.Sub(began) > removalTime && now.Sub(p.socket.lastPacket()) > drainIdleTime {
			break
		}
	}
	p.log.Info("drained", "after", p.adapters.Clock.Now().Sub(began).String())
	return nil
}

// Close stops the balancer without a drain and waits for its goroutines.
func (p *Process) Close() {
	p.cancel()
	if p.socket != nil {
		p.socket.close()
	}
	if p.ready != nil {
		p.ready.close()
	}
	if p.peers != nil {
		p.peers.close()
	}
	p.work.Wait()
	if p.operator != nil {
		if err := p.operator.Close(); err != nil {
			p.log.Warn("operator server not closed cleanly", "error", err)
		}
	}
}
