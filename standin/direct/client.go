package direct

import (
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

// Timing of clients and of the fabric, as the published protocol defines it.
const (
	retransmitInterval = 200 * time.Millisecond
	openTimeout        = 1400 * time.Millisecond
	readyInterval      = 500 * time.Millisecond
	readyFailures      = 2
)

// Balancer is one balancer as the fabric knows it.
type Balancer struct {
	PacketAddress netip.AddrPort // where the balancer receives packets
	ReadyURL      string         // polled for readiness; status 200 means ready
}

// ClientSettings configure the clients and the fabric.
type ClientSettings struct {
	Address    netip.Addr // of the clients
	ClientPort uint16     // where packets for the clients arrive
	Balancers  []Balancer
	Routes     map[netip.AddrPort]string // the service that must answer, by service address
	Flows      int                       // open at the same time
	Requests   int                       // in each flow
	Pause      time.Duration             // between two requests
	Deadline   time.Duration             // of a request
}

// Result counts what the clients have observed.
type Result struct {
	Requests  int64
	Answered  int64
	Late      int64 // answered after a retransmission
	Unopened  int64 // flows that did not open in time
	Refused   int64 // flows reset before they were open
	Broken    int64 // open flows reset by a balancer, without those in Lost
	Lost      int64 // open flows reset by a balancer, of endpoints that were passed to MarkLost
	Ended     int64 // open flows reset by their endpoint
	TimedOut  int64 // requests without an answer until their deadline
	Misrouted int64 // answers of another service
	Forged    int64 // malformed packets, and packets whose checksum does not match
}

// Load runs clients until Stop is called.
type Load struct {
	settings      ClientSettings
	conn          *net.UDPConn
	stop          chan struct{}
	work          sync.WaitGroup
	failedChecks  []atomic.Int32   // consecutive failed readiness checks, by balancer
	portCounter   atomic.Uint32    // selects the port of the next flow
	result        [11]atomic.Int64 // fields of Result, by the indices below
	lostEndpoints sync.Map         // cookies of endpoints whose flows may be reset

	mu    sync.Mutex
	flows map[uint16]chan packet // packets for each open flow, by client port
}

// Indices of Load.result.
const (
	requests = iota
	answered
	late
	unopened
	refused
	broken
	ended
	timedOut
	misrouted
	forged
	lostFlows
)

// StartClients starts the fabric and the clients.
func StartClients(s ClientSettings) (*Load, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(s.Address, s.ClientPort)))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	l := &Load{
		settings: s, conn: conn, stop: make(chan struct{}), failedChecks: make([]atomic.Int32, len(s.Balancers)),
		flows: make(map[uint16]chan packet),
	}
	l.portCounter.Store(rand.Uint32N(20000))
	go l.receive()
	for i := range s.Balancers {
		l.work.Go(func() { l.checkReadiness(i) })
	}
	addresses := make([]netip.AddrPort, 0, len(s.Routes))
	for a := range s.Routes {
		addresses = append(addresses, a)
	}
	for i := range s.Flows {
		l.work.Go(func() { l.runFlows(addresses[i%len(addresses)]) })
	}
	return l, nil
}

// Stop stops the clients and returns the final result.
func (l *Load) Stop() Result {
	close(l.stop)
	l.work.Wait()
	_ = l.conn.Close()
	return l.Result()
}

// MarkLost marks the endpoint with this cookie as lost from now on: resets of its flows by a balancer count as Lost
// instead of Broken.
func (l *Load) MarkLost(cookie uint32) { l.lostEndpoints.Store(cookie, true) }

// Result returns the counts so far.
func (l *Load) Result() Result {
	n := func(i int) int64 { return l.result[i].Load() }
	return Result{
		Requests: n(requests), Answered: n(answered), Late: n(late), Unopened: n(unopened), Refused: n(refused),
		Broken: n(broken), Lost: n(lostFlows), Ended: n(ended), TimedOut: n(timedOut), Misrouted: n(misrouted), Forged: n(forged),
	}
}

// checkReadiness polls the readiness of a balancer until the clients are stopped.
func (l *Load) checkReadiness(i int) {
	client := http.Client{Timeout: readyInterval}
	for {
		response, err := client.Get(l.settings.Balancers[i].ReadyURL)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			l.failedChecks[i].Store(0)
		} else {
			l.failedChecks[i].Add(1)
		}
		select {
		case <-l.stop:
			return
		case <-time.After(readyInterval):
		}
	}
}

// selectBalancer returns the balancer with the highest rendezvous rank for the port of a flow. It chooses among the
// balancers that are ready, or among all if none is.
func (l *Load) selectBalancer(port uint16) netip.AddrPort {
	var best netip.AddrPort
	var highest uint64
	for _, includeUnready := range []bool{false, true} {
		for i, b := range l.settings.Balancers {
			if !includeUnready && l.failedChecks[i].Load() >= readyFailures {
				continue
			}
			if rank := xxhash.Sum64String(b.PacketAddress.String() + string(rune(port))); rank >= highest {
				best, highest = b.PacketAddress, rank
			}
		}
		if best.IsValid() {
			break
		}
	}
	return best
}

func (l *Load) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := l.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, hasWrongSum, ok := decode(b[:n])
		// Balancers do not know the key of the checksum. Their resets have 0 in its place.
		isReset := ok && p.flags == flagReset && len(p.data) == 0 && b[24] == 0 && b[25] == 0 && b[26] == 0 && b[27] == 0
		if !ok || hasWrongSum && !isReset {
			l.result[forged].Add(1)
			continue
		}
		if isReset {
			p.flags |= flagFromBalancer
		}
		l.mu.Lock()
		c := l.flows[p.destination.Port()]
		l.mu.Unlock()
		if c == nil {
			continue
		}
		select {
		case c <- p:
		default: // the flow has ended, or its queue is full
		}
	}
}

// flagFromBalancer marks a received reset that has no checksum, which only balancers send. It is never on the wire.
const flagFromBalancer = 128

// runFlows opens flows to a service address, one after the other.
func (l *Load) runFlows(address netip.AddrPort) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		f := &clientFlow{load: l, address: address, port: uint16(20000 + l.portCounter.Add(1)%40000), received: make(chan packet, 64)}
		l.mu.Lock()
		l.flows[f.port] = f.received
		l.mu.Unlock()
		f.run()
		l.mu.Lock()
		delete(l.flows, f.port)
		l.mu.Unlock()
	}
}
