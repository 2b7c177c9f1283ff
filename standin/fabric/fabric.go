// Package fabric is a stand-in for the network in front of the balancers. It sprays the datagrams of callers over the
// balancers, without regard to flows, and forwards the balancers' datagrams to the callers.
//
// # Usage
//
//	f, err := fabric.Start(fabric.Config{Addresses: ..., Balancers: ..., Seed: 1})
//	defer f.Close()
//	http.ListenAndServe(address, f.Handler())
//
// Every service address has a UDP listener for callers. All envelopes to and from balancers go through one more socket.
// Handler or SetFaults sets loss, duplicates, and delay with jitter; Handler or SetCut cuts balancers off. Both apply
// in both directions. The random choices come from the seed.
package fabric

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

const (
	healthPeriod  = 200 * time.Millisecond
	healthTimeout = 200 * time.Millisecond
	// maxEnvelopeBytes is the largest datagram between the fabric and a balancer.
	maxEnvelopeBytes = 2 * packet.MaxDatagramBytes
	socketBytes      = 4 << 20
	// maxDelayed bounds the number of datagrams that wait for their delay. Further ones are dropped.
	maxDelayed = 100_000
)

// Address maps a service address to the address on which callers reach it.
type Address struct {
	Service netip.AddrPort
	Listen  string
}

// Balancer is one balancer behind the fabric.
type Balancer struct {
	Address netip.AddrPort
	Health  string // base URL for GET /readyz; the balancer always counts as healthy if empty
}

// Config configures a fabric.
type Config struct {
	Addresses []Address
	Balancers []Balancer
	Listen    string // address to which balancers send
	Seed      uint64
}

// Faults are the faults of the network. Rates are between 0 and 1.
type Faults struct {
	Loss      float64       `json:"loss"`
	Duplicate float64       `json:"duplicate"`
	Delay     time.Duration `json:"delay"`  // nanoseconds
	Jitter    time.Duration `json:"jitter"` // nanoseconds; a random part of it is added to the delay
}

// Counters counts datagrams.
type Counters struct {
	FromCallers   uint64            `json:"from_callers"`
	ToCallers     uint64            `json:"to_callers"`
	Lost          uint64            `json:"lost"`
	Duplicated    uint64            `json:"duplicated"`
	Cut           uint64            `json:"cut"`         // dropped because the balancer is cut off
	NoBalancer    uint64            `json:"no_balancer"` // dropped because no balancer was healthy
	Malformed     uint64            `json:"malformed"`
	SendErrors    uint64            `json:"send_errors"`
	DelayOverflow uint64            `json:"delay_overflow"` // dropped because too many datagrams were delayed
	Sprayed       map[string]uint64 `json:"sprayed"`        // by balancer address
}

type balancer struct {
	Balancer
	isHealthy atomic.Bool
	isCut     atomic.Bool
	sprayed   atomic.Uint64
}

// Fabric is a running fabric.
type Fabric struct {
	balancers      []*balancer
	byAddress      map[netip.AddrPort]*balancer
	callerSockets  map[netip.AddrPort]*net.UDPConn // by service address
	balancerSocket *net.UDPConn
	client         *http.Client
	stop           context.CancelFunc
	running        sync.WaitGroup
	delayed        atomic.Int64
	fromCallers, toCallers, lost, duplicated, cut, noBalancer, malformed, sendErrors,
	delayOverflow atomic.Uint64

	lock   sync.Mutex
	random *rand.Rand
	faults Faults
}

// Start opens the sockets and starts to forward datagrams. A balancer with a health URL gets none before its first
// successful check.
func Start(c Config) (*Fabric, error) {
	ctx, stop := context.WithCancel(context.Background())
	f := &Fabric{
		byAddress:     make(map[netip.AddrPort]*balancer),
		callerSockets: make(map[netip.AddrPort]*net.UDPConn),
		client:        &http.Client{Timeout: healthTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
		stop:          stop,
		random:        rand.New(rand.NewPCG(c.Seed, 0)),
	}
	for _, b := range c.Balancers {
		s := &balancer{Balancer: b}
		s.isHealthy.Store(b.Health == "")
		f.balancers = append(f.balancers, s)
		f.byAddress[b.Address] = s
	}
	if err := f.listen(c); err != nil {
		f.Close()
		return nil, err
	}
	f.running.Add(1 + len(f.callerSockets))
	go f.forwardFromBalancers()
	for service, connection := range f.callerSockets {
		go f.forwardFromCaller(service, connection)
	}
	for _, b := range f.balancers {
		if b.Health != "" {
			f.running.Add(1)
			go f.watchHealth(ctx, b)
		}
	}
	return f, nil
}

func (f *Fabric) listen(c Config) error {
	socket, err := listenUDP(c.Listen)
	if err != nil {
		return err
	}
	f.balancerSocket = socket
	for _, a := range c.Addresses {
		connection, err := listenUDP(a.Listen)
		if err != nil {
			return err
		}
		f.callerSockets[a.Service] = connection
	}
	return nil
}

func listenUDP(address string) (*net.UDPConn, error) {
	a, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	connection, err := net.ListenUDP("udp", a)
	if err != nil {
		return nil, err
	}
	// Errors are ignored: with smaller buffers, datagrams are lost under load only.
	_ = connection.SetReadBuffer(socketBytes)
	_ = connection.SetWriteBuffer(socketBytes)
	return connection, nil
}

// BalancerAddress returns the address to which balancers send.
func (f *Fabric) BalancerAddress() netip.AddrPort { return localAddress(f.balancerSocket) }

// CallerAddress returns the address on which callers reach a service address.
func (f *Fabric) CallerAddress(service netip.AddrPort) netip.AddrPort {
	return localAddress(f.callerSockets[service])
}

func localAddress(c *net.UDPConn) netip.AddrPort {
	return c.LocalAddr().(*net.UDPAddr).AddrPort()
}

// SetFaults replaces the faults.
func (f *Fabric) SetFaults(x Faults) {
	f.lock.Lock()
	f.faults = x
	f.lock.Unlock()
}

// SetCut sets whether all datagrams from and to a balancer are dropped. It reports whether there is such a balancer.
func (f *Fabric) SetCut(address netip.AddrPort, isCut bool) bool {
	b := f.byAddress[address]
	if b == nil {
		return false
	}
	b.isCut.Store(isCut)
	return true
}

// Counters returns the counts so far.
func (f *Fabric) Counters() Counters {
	c := Counters{
		FromCallers: f.fromCallers.Load(), ToCallers: f.toCallers.Load(), Lost: f.lost.Load(),
		Duplicated: f.duplicated.Load(), Cut: f.cut.Load(), NoBalancer: f.noBalancer.Load(),
		Malformed: f.malformed.Load(), SendErrors: f.sendErrors.Load(), DelayOverflow: f.delayOverflow.Load(),
		Sprayed: make(map[string]uint64),
	}
	for _, b := range f.balancers {
		c.Sprayed[b.Address.String()] = b.sprayed.Load()
	}
	return c
}

// Close stops the fabric and waits for its goroutines.
func (f *Fabric) Close() {
	f.stop()
	if f.balancerSocket != nil {
		_ = f.balancerSocket.Close()
	}
	for _, c := range f.callerSockets {
		_ = c.Close()
	}
	f.running.Wait()
	f.client.CloseIdleConnections()
}

// forwardFromCaller sends the datagrams of one service address to balancers, in envelopes, until its socket is closed.
func (f *Fabric) forwardFromCaller(service netip.AddrPort, connection *net.UDPConn) {
	defer f.running.Done()
	buffer := make([]byte, maxEnvelopeBytes)
	for {
		n, from, err := connection.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.fromCallers.Add(1)
		if n > packet.MaxDatagramBytes {
			f.malformed.Add(1)
			continue
		}
		e := packet.Envelope{Caller: unmap(from), Service: service, Packet: buffer[:n]}
		encoded := wire.AppendEnvelope(nil, &e)
		f.applyFaults(func() { f.spray(encoded) })
	}
}

// unmap turns an IPv4 address in IPv6 form into its IPv4 form, so that equal addresses compare equal.
func unmap(a netip.AddrPort) netip.AddrPort { return netip.AddrPortFrom(a.Addr().Unmap(), a.Port()) }

// spray sends an envelope to a random healthy balancer.
func (f *Fabric) spray(encoded []byte) {
	healthy := make([]*balancer, 0, len(f.balancers))
	for _, b := range f.balancers {
		if b.isHealthy.Load() {
			healthy = append(healthy, b)
		}
	}
	if len(healthy) == 0 {
		f.noBalancer.Add(1)
		return
	}
	f.lock.Lock()
	b := healthy[f.random.IntN(len(healthy))]
	f.lock.Unlock()
	if b.isCut.Load() {
		f.cut.Add(1)
		return
	}
	b.sprayed.Add(1)
	if _, err := f.balancerSocket.WriteToUDPAddrPort(encoded, b.Address); err != nil {
		f.sendErrors.Add(1)
	}
}

// forwardFromBalancers sends the content of the balancers' envelopes to the callers, until the socket is closed.
func (f *Fabric) forwardFromBalancers() {
	defer f.running.Done()
	buffer := make([]byte, maxEnvelopeBytes)
	decoder := wire.NewDecoder()
	for {
		n, from, err := f.balancerSocket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		if b := f.byAddress[unmap(from)]; b != nil && b.isCut.Load() {
			f.cut.Add(1)
			continue
		}
		var e packet.Envelope
		if err := decoder.DecodeEnvelope(buffer[:n], &e); err != nil {
			f.malformed.Add(1)
			continue
		}
		connection := f.callerSockets[e.Service]
		if connection == nil {
			f.malformed.Add(1)
			continue
		}
		f.toCallers.Add(1)
		datagram, caller := append([]byte(nil), e.Packet...), e.Caller
		f.applyFaults(func() {
			if _, err := connection.WriteToUDPAddrPort(datagram, caller); err != nil {
				f.sendErrors.Add(1)
			}
		})
	}
}

// applyFaults draws loss, duplication and delays for a datagram, and calls send for each copy that is not lost.
func (f *Fabric) applyFaults(send func()) {
	f.lock.Lock()
	x := f.faults
	isLost := x.Loss > 0 && f.random.Float64() < x.Loss
	copies := 1
	if x.Duplicate > 0 && f.random.Float64() < x.Duplicate {
		copies = 2
	}
	var delays [2]time.Duration
	for i := range delays {
		delays[i] = x.Delay
		if x.Jitter > 0 {
			delays[i] += time.Duration(f.random.Int64N(int64(x.Jitter)))
		}
	}
	f.lock.Unlock()
	if isLost {
		f.lost.Add(1)
		return
	}
	if copies == 2 {
		f.duplicated.Add(1)
	}
	for _, d := range delays[:copies] {
		f.sendAfter(d, send)
	}
}

func (f *Fabric) sendAfter(d time.Duration, send func()) {
	if d == 0 {
		send()
		return
	}
	if f.delayed.Add(1) > maxDelayed {
		f.delayed.Add(-1)
		f.delayOverflow.Add(1)
		return
	}
	time.AfterFunc(d, func() {
		defer f.delayed.Add(-1)
		send()
	})
}
