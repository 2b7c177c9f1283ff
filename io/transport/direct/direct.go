// Package direct runs a balancer in the direct return mode: it reads packets from a UDP socket, sends them on as
// core/coordination/steering decides, keeps routes and endpoints up to date from a store, and tells the fabric whether
// it may get packets.
//
// The formats of packets and of the store come in through the interfaces Codec and Store, so that the mode runs without
// any particular platform.
//
// # Usage
//
//	p, err := direct.Start(settings, direct.Adapters{Store: store, Codec: codec, Clock: clock}, log)
//	...
//	p.Drain(ctx) // leaves the rotation, goes on forwarding until no packets arrive
//	p.Close()
package direct

import (
	"context"
	"log/slog"
	"math/rand/v2"
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
	PacketAddress   netip.AddrPort   // UDP, packets of clients
	ReadyAddress    netip.AddrPort   // TCP, readiness for the fabric
	ReadyPath       string           // of the readiness request
	OperatorAddress netip.AddrPort   // TCP, metrics and status
	PeerAddress     netip.AddrPort   // UDP and TCP, other balancers; without it the process works alone
	Peers           []netip.AddrPort // peer addresses of some other balancers, which may be stale
	ApplyLimit      time.Duration    // in which a configuration must be in force
	DrainLimit      time.Duration    // from the signal to the forced end of the process
	FlowAge         time.Duration    // longest life of a flow
}

// Codec reads and writes packets. Its methods may be called concurrently.
type Codec interface {
	Headroom() int                                                        // bytes that Encode needs before a packet
	MaxBytes() int                                                        // of a packet
	Decode(b []byte, p *steering.Packet) error                            // the error is a *PacketError
	Encode(b []byte, number uint64, cookie uint32)                        // in place, for an endpoint
	Reset(b []byte, p *steering.Packet) (reset []byte, to netip.AddrPort) // writes into b
}

// Store is where the configuration is kept and endpoints register.
type Store interface {
	// Configuration returns the newest configuration and what cannot be used of it. The error is a *NoConfigurationError
	// if there is none.
	Configuration(ctx context.Context) (*directory.Configuration, []Fault, error)
	// Endpoints lists all endpoints and the revision of the list. A list that need not be fresh may be seconds old.
	Endpoints(ctx context.Context, isFresh bool) ([]directory.Endpoint, uint64, []Fault, error)
	// WatchEndpoints waits for changes after a revision and returns them with the revision to continue from.
	WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) ([]discovery.Change, uint64, []Fault, error)
}

// Clock tells the time and waits.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Adapters connect the process with its surroundings.
type Adapters struct {
	Store Store
	Codec Codec
	Clock Clock
	Log   *AsyncWriter // behind the logger; its count of dropped lines is exported. May be nil
}

// Process is a running balancer.
type Process struct {
	settings  *Settings // replaced under mu by Reload; names and addresses stay
	adapters  Adapters
	log       *slog.Logger
	metrics   *operator.Metrics
	forwarder *steering.Forwarder
	socket    *socket
	ready     *readyServer
	operator  *operator.Server
	peers     *peers
	decisions *decisionLog

	mu    sync.Mutex // guards the fields below
	state *discovery.State
	bad   map[string]string // faults that were logged, by subject and name

	isComplete           atomic.Bool
	asked                atomic.Int32 // calls of the store since the start, up to startCalls
	isDraining           atomic.Bool
	configurationRequest request
	endpointsRequest     request
	ctx                  context.Context
	cancel               context.CancelFunc
	work                 sync.WaitGroup
}

// returnTime is the time after the store's return in which entries of living endpoints come back. The platform promises
// about 2 s.
const returnTime = 2200 * time.Millisecond

// Start opens the sockets and begins to read the store. The process is ready once it knows routes and endpoints.
func Start(s *Settings, a Adapters, log *slog.Logger) (*Process, error) {
	p := &Process{
		settings: s, adapters: a, log: log, decisions: newDecisionLog(log), bad: make(map[string]string),
		configurationRequest: newRequest(), endpointsRequest: newRequest(),
		state: discovery.New(discovery.Config{FlowAge: s.FlowAge, ReturnTime: returnTime}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if err := p.open(); err != nil {
		p.Close()
		return nil, err
	}
	p.log.Info("started", "host", s.ID, "failure_domain", s.FailureDomain, "packets", s.PacketAddress.String())
	p.work.Go(p.socket.run)
	p.work.Go(p.readConfiguration)
	p.work.Go(p.readEndpoints)
	p.work.Go(p.tick)
	return p, nil
}

func (p *Process) open() error {
	var err error
	if p.metrics, err = operator.NewMetrics(p.settings.ID, p.settings.FailureDomain); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	p.forwarder = steering.New(steering.Config{FailureDomain: p.settings.FailureDomain, FlowAge: p.settings.FlowAge}, p.metrics, random)
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

// IsReady reports whether the fabric may send packets here.
func (p *Process) IsReady() bool { return p.isComplete.Load() && !p.isDraining.Load() }

// Status implements operator.Probe.
func (p *Process) Status() any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return struct {
		Host     string `json:"host"`
		Version  uint64 `json:"version"`
		Revision uint64 `json:"revision"`
		IsReady  bool   `json:"is_ready"`
	}{p.settings.ID, p.state.Version(), p.state.Revision(), p.IsReady()}
}

// update changes what is known and publishes it.
func (p *Process) update(change func(now time.Time)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.adapters.Clock.Now()
	change(now)
	p.publish(now)
}

func (p *Process) publish(now time.Time) {
	if s, ok := p.state.Snapshot(now); ok {
		p.forwarder.SetSnapshot(now, s)
	}
	if p.state.IsComplete() && !p.isComplete.Swap(true) {
		p.log.Info("ready", "version", p.state.Version(), "revision", p.state.Revision())
	}
}

// tickInterval is the resolution of time limits.
const tickInterval = 100 * time.Millisecond

func (p *Process) tick() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.adapters.Clock.After(tickInterval):
		}
		p.update(func(now time.Time) { p.forwarder.Tick(now) })
		p.socket.sendResets()
		p.peers.count()
		p.tellBeliefs()
	}
}

const (
	// leaveTime is how long the fabric takes to leave out a balancer that is not ready: two checks, one each 500 ms.
	leaveTime = 1200 * time.Millisecond
	// quietTime is the time without packets after which a balancer that is draining ends.
	quietTime = 500 * time.Millisecond
	// drainMargin is kept between the end of the process and the end of the time that it is given.
	drainMargin = time.Second
)

// Drain leaves the rotation and returns when packets no longer arrive, or shortly before the drain limit.
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
		if now.Sub(began) > leaveTime && now.Sub(p.socket.lastPacket()) > quietTime {
			break
		}
	}
	p.log.Info("drained", "after", p.adapters.Clock.Now().Sub(began).String())
	return nil
}

// Close ends the process at once.
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
			p.log.Warn("operator server not closed", "error", err)
		}
	}
}
