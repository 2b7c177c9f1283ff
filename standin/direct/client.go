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

// Timing of clients and of the fabric, from the published protocol.
const (
	firstRepeat   = 200 * time.Millisecond
	openLimit     = 1400 * time.Millisecond
	readyInterval = 500 * time.Millisecond
	readyMisses   = 2
)

// Balancer is one balancer as the fabric knows it.
type Balancer struct {
	Packets netip.AddrPort
	Ready   string // URL
}

// ClientSettings describe the load.
type ClientSettings struct {
	Address    netip.Addr // of the clients
	ClientPort uint16     // where packets for the clients arrive
	Balancers  []Balancer
	Routes     map[netip.AddrPort]string // the services that the clients expect, by service address
	Flows      int                       // at a time
	Requests   int                       // in each flow
	Pause      time.Duration             // between two requests
	Deadline   time.Duration             // of a request
}

// Result is what the clients have seen.
type Result struct {
	Requests  int64
	Answered  int64
	Late      int64 // answered after a repetition
	Unopened  int64 // flows that did not open in time
	Refused   int64 // flows reset before they were open
	Broken    int64 // open flows reset by a balancer, except for those of Lost
	Lost      int64 // open flows of endpoints that Expect names, reset by a balancer
	Ended     int64 // open flows reset by their endpoint
	TimedOut  int64 // requests without an answer until their deadline
	Misrouted int64 // answers of another service
	Forged    int64 // packets that did not arrive as their sender wrote them
}

// Load runs clients until Stop.
type Load struct {
	settings ClientSettings
	conn     *net.UDPConn
	stop     chan struct{}
	work     sync.WaitGroup
	misses   []atomic.Int32
	ports    atomic.Uint32
	result   [11]atomic.Int64
	lost     sync.Map // cookies of endpoints whose flows may be reset

	mu    sync.Mutex
	flows map[uint16]chan packet
}

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
		settings: s, conn: conn, stop: make(chan struct{}), misses: make([]atomic.Int32, len(s.Balancers)),
		flows: make(map[uint16]chan packet),
	}
	l.ports.Store(rand.Uint32N(20000))
	go l.receive()
	for i := range s.Balancers {
		l.work.Go(func() { l.check(i) })
	}
	addresses := make([]netip.AddrPort, 0, len(s.Routes))
	for a := range s.Routes {
		addresses = append(addresses, a)
	}
	for i := range s.Flows {
		l.work.Go(func() { l.run(addresses[i%len(addresses)]) })
	}
	return l, nil
}

// Stop ends the clients and returns what they have seen.
func (l *Load) Stop() Result {
	close(l.stop)
	l.work.Wait()
	_ = l.conn.Close()
	return l.Result()
}

// Expect says that an endpoint is lost from now on: balancers may reset its flows.
func (l *Load) Expect(cookie uint32) { l.lost.Store(cookie, true) }

// Result returns what the clients have seen so far.
func (l *Load) Result() Result {
	n := func(i int) int64 { return l.result[i].Load() }
	return Result{
		Requests: n(requests), Answered: n(answered), Late: n(late), Unopened: n(unopened), Refused: n(refused),
		Broken: n(broken), Lost: n(lostFlows), Ended: n(ended), TimedOut: n(timedOut), Misrouted: n(misrouted), Forged: n(forged),
	}
}

// check asks a balancer whether it is ready.
func (l *Load) check(i int) {
	client := http.Client{Timeout: readyInterval}
	for {
		response, err := client.Get(l.settings.Balancers[i].Ready)
		if err == nil {
			_ = response.Body.Close()
		}
		if err == nil && response.StatusCode == http.StatusOK {
			l.misses[i].Store(0)
		} else {
			l.misses[i].Add(1)
		}
		select {
		case <-l.stop:
			return
		case <-time.After(readyInterval):
		}
	}
}

// balancer returns the balancer of a flow: the one with the highest rendezvous rank of those in rotation.
func (l *Load) balancer(port uint16) netip.AddrPort {
	var best netip.AddrPort
	var highest uint64
	for _, isAll := range []bool{false, true} {
		for i, b := range l.settings.Balancers {
			if !isAll && l.misses[i].Load() >= readyMisses {
				continue
			}
			if rank := xxhash.Sum64String(b.Packets.String() + string(rune(port))); rank >= highest {
				best, highest = b.Packets, rank
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
		p, isForged, ok := decode(b[:n])
		isReset := ok && p.flags == flagReset && len(p.data) == 0 && b[24] == 0 && b[25] == 0 && b[26] == 0 && b[27] == 0
		if !ok || isForged && !isReset {
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
		default: // the flow has ended or is far behind
		}
	}
}

// flagFromBalancer marks resets without the sum of an endpoint. It is not on the wire.
const flagFromBalancer = 128

func (l *Load) run(address netip.AddrPort) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		f := &clientFlow{load: l, address: address, port: uint16(20000 + l.ports.Add(1)%40000), received: make(chan packet, 64)}
		l.mu.Lock()
		l.flows[f.port] = f.received
		l.mu.Unlock()
		f.run()
		l.mu.Lock()
		delete(l.flows, f.port)
		l.mu.Unlock()
	}
}
