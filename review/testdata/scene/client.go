package main

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	retransmitTime = 200 * time.Millisecond
	openTime       = 1400 * time.Millisecond
	probeInterval  = 500 * time.Millisecond
	probeMisses    = 2
	editBytes      = 900   // body of a card-edit
	resetWindow    = 76800 // around the client's last ack, in which a balancer's reset of an open flow must lie
)

// fabric selects the balancer for each packet of a client, among the balancers of the client's zone that are ready.
type fabric struct {
	scene  *scene
	misses map[*balancer]*atomic.Int32
}

func newFabric(s *scene) *fabric {
	f := &fabric{scene: s, misses: make(map[*balancer]*atomic.Int32)}
	for _, b := range s.balancers {
		misses := new(atomic.Int32)
		misses.Store(probeMisses)
		f.misses[b] = misses
		go func() {
			client := http.Client{Timeout: probeInterval}
			for {
				response, err := client.Get("http://" + netip.AddrPortFrom(b.ip, s.port+1).String() + "/api/readiness")
				if err == nil {
					_ = response.Body.Close()
				}
				if err == nil && response.StatusCode == http.StatusOK {
					misses.Store(0)
				} else {
					misses.Add(1)
				}
				time.Sleep(probeInterval)
			}
		}()
	}
	return f
}

func (f *fabric) isReady(b *balancer) bool { return f.misses[b].Load() < probeMisses }

func (f *fabric) choose(zone string, k flowKey) *balancer {
	var all, ready, others []*balancer
	for _, b := range f.scene.balancers {
		switch {
		case b.zone == zone:
			all = append(all, b)
			if f.isReady(b) {
				ready = append(ready, b)
			}
		case f.isReady(b):
			others = append(others, b)
		}
	}
	list := ready
	switch {
	case len(ready) == 0 && len(others) > 0:
		list = others
	case 2*len(ready) < len(all):
		list = all
	}
	var best *balancer
	highest := uint32(0)
	for _, b := range list {
		h := fnv.New32a()
		_, _ = h.Write([]byte(b.ip.String() + k.client.String() + k.service.String()))
		if rank := h.Sum32() * 2654435761; best == nil || rank > highest {
			best, highest = b, rank
		}
	}
	return best
}

// attempt is what a client has seen of one request.
type attempt struct {
	id       string
	sent     time.Time // first copy of the opening packet, or the request on an open flow
	route    netip.AddrPort
	client   netip.AddrPort
	outcome  string // "200", "503", "reset by a balancer", "reset by an endpoint", "not opened", "deadline"
	answerer string // service that the answer names
}

// clients are the clients of one zone.
type clients struct {
	scene *scene
	zone  string
	conn  *net.UDPConn
	ip    netip.Addr
	ports atomic.Uint32

	mu       sync.Mutex
	flows    map[uint16]chan packet
	attempts []attempt
	forged   int
}

func (s *scene) startClients(zone string, ip netip.Addr) (*clients, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, s.port)))
	if err != nil {
		return nil, err
	}
	c := &clients{scene: s, zone: zone, conn: conn, ip: ip, flows: make(map[uint16]chan packet)}
	go c.receive()
	return c, nil
}

func (c *clients) receive() {
	b := make([]byte, 2048)
	for {
		n, _, err := c.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, ok := decode(b[:n])
		isBalancerReset := ok && p.flags == flagReset && p.sum == 0 && len(p.data) == 0
		c.mu.Lock()
		if !ok || !isBalancerReset && p.sum != p.sumOf() {
			c.forged++
			c.mu.Unlock()
			continue
		}
		flow := c.flows[p.dst.Port()]
		c.mu.Unlock()
		if flow != nil {
			select {
			case flow <- p:
			default:
			}
		}
	}
}

// clientFlow is one flow, at the client's end.
type clientFlow struct {
	clients   *clients
	key       flowKey
	received  chan packet
	seq, next uint32 // own next byte, next byte expected
	echo      uint32
	isOpen    bool
}

func (c *clients) newFlow(route netip.AddrPort) *clientFlow {
	port := uint16(20000 + c.ports.Add(1)%40000)
	f := &clientFlow{
		clients: c, key: flowKey{netip.AddrPortFrom(c.ip, port), route}, received: make(chan packet, 64), seq: rand.Uint32(),
	}
	c.mu.Lock()
	c.flows[port] = f.received
	c.mu.Unlock()
	return f
}

func (f *clientFlow) close() {
	if f.isOpen {
		f.send(&packet{seq: f.seq, ack: f.next, flags: flagFin | flagAck})
	}
	f.clients.mu.Lock()
	delete(f.clients.flows, f.key.client.Port())
	f.clients.mu.Unlock()
}

func (f *clientFlow) send(p *packet) {
	p.src, p.dst, p.echo = f.key.client, f.key.service, f.echo
	p.sum = 0
	p.sum = p.sumOf()
	if b := f.clients.scene.fabric.choose(f.clients.zone, f.key); b != nil {
		_, _ = f.clients.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(b.ip, f.clients.scene.port))
	}
}

// open returns an empty text once the flow is open.
func (f *clientFlow) open() string {
	syn := func(copies uint32) { f.send(&packet{seq: f.seq, ack: copies, flags: flagSyn}) }
	end, copies := time.After(openTime), []<-chan time.Time{time.After(retransmitTime), time.After(3 * retransmitTime)}
	syn(0)
	for {
		select {
		case p := <-f.received:
			switch {
			case p.flags&flagReset != 0 && p.sum == 0:
				return "reset by a balancer"
			case p.flags&flagReset != 0:
				return "reset by an endpoint"
			case p.flags&flagSyn != 0:
				f.seq++
				f.next, f.echo, f.isOpen = p.seq+1, p.echo, true
				f.send(&packet{seq: f.seq, ack: f.next, flags: flagAck})
				return ""
			}
		case <-copies[0]:
			syn(1)
		case <-copies[1]:
			syn(2)
		case <-end:
			return "not opened"
		}
	}
}

// request sends a request on the open flow and returns its outcome and the answer.
func (f *clientFlow) request(id string, deadline time.Duration) (outcome, answer string) {
	text := []byte(fmt.Sprintf("GET /feed HTTP/1.1\r\nHost: cards\r\nRequest-Id: %s\r\n\r\n", id))
	if f.key.service == f.clients.scene.edit {
		text = []byte(fmt.Sprintf("POST /edit HTTP/1.1\r\nHost: cards\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, editBytes,
			strings.Repeat("x", editBytes)))
	}
	wait := retransmitTime
	end, again := time.After(deadline), time.After(wait)
	data := func() { f.send(&packet{seq: f.seq, ack: f.next, flags: flagAck, data: text}) }
	data()
	for {
		select {
		case p := <-f.received:
			switch {
			case p.flags&flagReset != 0 && p.sum == 0:
				if d := int32(p.seq - f.next); d < -resetWindow || d > resetWindow {
					continue // not for this flow
				}
				f.isOpen = false
				return "reset by a balancer", ""
			case p.flags&flagReset != 0:
				f.isOpen = false
				return "reset by an endpoint", ""
			case len(p.data) > 0 && p.seq == f.next:
				f.echo = p.echo
				f.seq += uint32(len(text))
				f.next += uint32(len(p.data))
				f.send(&packet{seq: f.seq, ack: f.next, flags: flagAck})
				answer = string(p.data)
				return strings.Fields(answer)[1], answer
			case p.flags&flagAck != 0 && p.ack == f.seq+uint32(len(text)):
				again = nil // the endpoint has the request
			}
		case <-again:
			wait = min(2*wait, 1600*time.Millisecond)
			again = time.After(wait)
			data()
		case <-end:
			return "deadline", ""
		}
	}
}

// runFlow opens a flow, sends requests with pauses between them, and closes it.
func (c *clients) runFlow(route netip.AddrPort, requests int, pause, deadline time.Duration) {
	f := c.newFlow(route)
	defer f.close()
	for i := range requests {
		a := attempt{id: fmt.Sprintf("%s-%d-%d", c.zone, f.key.client.Port(), i), sent: time.Now(), route: route, client: f.key.client}
		if !f.isOpen {
			a.outcome = f.open()
		}
		if a.outcome == "" {
			var text string
			a.outcome, text = f.request(a.id, deadline)
			_, a.answerer, _ = strings.Cut(text, "answered by ")
		}
		c.mu.Lock()
		c.attempts = append(c.attempts, a)
		c.mu.Unlock()
		if a.outcome != "200" {
			return
		}
		time.Sleep(pause)
	}
}

// render opens a flow for each request, at a rate, until the scene ends.
func (c *clients) render(route netip.AddrPort, rate float64) {
	for !c.scene.hasEnded.Load() {
		go c.runFlow(route, 1, 0, 3*time.Second)
		time.Sleep(time.Duration(float64(time.Second) / rate))
	}
}

// feed keeps n flows open until the scene ends.
func (c *clients) feed(route netip.AddrPort, n int) {
	for range n {
		go func() {
			for !c.scene.hasEnded.Load() {
				c.runFlow(route, 40, time.Duration(100+rand.IntN(150))*time.Millisecond, 1200*time.Millisecond)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}
