package main

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval of an endpoint's writes, heartbeat_ms of the settings.
const heartbeat = 1200 * time.Millisecond

// A request whose id begins with "long" takes the longest work of the class card-edit in the site file.
const (
	longRequest = "Request-Id: long"
	longWork    = 310 * time.Millisecond
)

// opening is one opening packet that an endpoint took.
type opening struct {
	at   time.Time
	via  netip.Addr // balancer that sent it on
	flow flowKey
}

// run is one request that an endpoint has worked on.
type run struct {
	at      time.Time
	request string
	route   netip.AddrPort // that the client sent it to
}

// endpoint is one endpoint of PROTOCOL.md, "Endpoints".
type endpoint struct {
	scene    *scene
	id       string
	number   uint64
	service  string
	zone     string
	conn     *net.UDPConn
	address  netip.AddrPort
	slots    chan struct{}
	work     time.Duration
	born     int64
	stop     chan struct{}
	stopOnce sync.Once

	mu       sync.Mutex
	seq      int
	draining bool
	queued   int
	flows    map[flowKey]*endpointFlow
	openings []opening
	runs     []run
	resets   int // of packets of flows that it does not hold
	forged   int
}

type endpointFlow struct {
	first    uint32 // own sequence number of the opening
	next     uint32 // to send
	expected uint32 // from the client
	echo     uint32
	isOpen   bool
	unacked  *packet // the last answer, until the client has acknowledged it
	received int     // data packets since the last acknowledgement; every second one is acknowledged
}

func (s *scene) startEndpoint(id, service, zone string, ip netip.Addr, work time.Duration) (*endpoint, error) {
	address := netip.AddrPortFrom(ip, s.port+31)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	var number uint64
	if _, err := fmt.Sscanf(id[strings.LastIndex(id, "-")+1:], "%x", &number); err != nil {
		return nil, err
	}
	e := &endpoint{
		scene: s, id: id, number: number, service: service, zone: zone, conn: conn, work: work,
		address: address, slots: make(chan struct{}, 3), born: time.Now().UnixMilli(),
		stop: make(chan struct{}), flows: make(map[flowKey]*endpointFlow),
	}
	go e.receive()
	e.write()
	go func() {
		for {
			select {
			case <-e.stop:
				return
			case <-time.After(heartbeat):
				e.write()
			}
		}
	}()
	return e, nil
}

// write registers the endpoint, and returns the time of the store's acknowledgement.
func (e *endpoint) write() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	state := "ready"
	if e.draining {
		state = "draining"
	}
	return e.scene.store.put("servers", e.id, e.entry(e.service, state))
}

func (e *endpoint) entry(service, state string) map[string]any {
	return map[string]any{
		"service": service, "address": e.address.String(), "zone": e.zone, "version": "v1", "max_concurrency": cap(e.slots),
		"state": state, "cold_remaining_ms": 0, "seq": e.seq, "born": e.born,
	}
}

// drain reports draining, and returns the time of the store's acknowledgement.
func (e *endpoint) drain() time.Time {
	e.mu.Lock()
	e.draining = true
	e.mu.Unlock()
	return e.write()
}

// leave ends the endpoint and removes its entry.
func (e *endpoint) leave() {
	e.close()
	e.scene.store.remove("servers", e.id)
}

func (e *endpoint) close() {
	e.stopOnce.Do(func() {
		close(e.stop)
		_ = e.conn.Close()
	})
}

func (e *endpoint) receive() {
	b := make([]byte, 2048)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < numberBytes {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != e.number {
			continue
		}
		p, ok := decode(b[numberBytes:n])
		e.mu.Lock()
		if !ok || p.sum != p.sumOf() {
			e.forged++
		} else {
			e.handle(&p, from.Addr())
		}
		e.mu.Unlock()
	}
}

// handle handles a packet of a client. The caller holds mu.
func (e *endpoint) handle(p *packet, via netip.Addr) {
	key := flowKey{p.src, p.dst}
	f := e.flows[key]
	switch {
	case p.flags&flagSyn != 0:
		if f == nil {
			first := rand.Uint32()
			f = &endpointFlow{first: first, next: first + 1, expected: p.seq + 1}
			e.flows[key] = f
			e.openings = append(e.openings, opening{time.Now(), via, key})
		}
		f.echo = p.echo
		e.send(key, &packet{seq: f.first, ack: f.expected, flags: flagSyn | flagAck, echo: f.echo})
		return
	case f == nil:
		e.resets++
		e.send(key, &packet{seq: p.ack, ack: p.seq, flags: flagReset, echo: p.echo})
		return
	case !f.isOpen && p.ack != f.first+1:
		e.resets++
		e.send(key, &packet{seq: p.ack, ack: p.seq, flags: flagReset, echo: p.echo})
		return
	}
	f.isOpen, f.echo = true, p.echo
	if f.unacked != nil && int32(p.ack-f.unacked.seq) >= int32(len(f.unacked.data)) {
		f.unacked = nil
	}
	if len(p.data) > 0 {
		f.received++
	}
	switch {
	case p.flags&flagReset != 0:
		delete(e.flows, key)
	case len(p.data) > 0 && p.seq == f.expected:
		f.expected += uint32(len(p.data))
		e.accept(key, f, string(p.data))
	case p.flags&flagFin != 0:
		delete(e.flows, key)
		e.send(key, &packet{seq: f.next, ack: f.expected + 1, flags: flagFin | flagAck, echo: f.echo})
	case len(p.data) > 0 && f.unacked != nil:
		e.send(key, f.unacked)
	}
	if f.received >= 2 && e.flows[key] == f {
		f.received = 0
		e.send(key, &packet{seq: f.next, ack: f.expected, flags: flagAck, echo: f.echo})
	}
}

// accept queues a request for one of the slots. The caller holds mu.
func (e *endpoint) accept(key flowKey, f *endpointFlow, request string) {
	if e.queued >= 12+cap(e.slots) {
		e.respond(key, f, "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return
	}
	e.queued++
	go func() {
		e.slots <- struct{}{}
		e.mu.Lock()
		e.runs = append(e.runs, run{time.Now(), request, key.service})
		e.mu.Unlock()
		if strings.Contains(request, longRequest) {
			time.Sleep(longWork)
		} else {
			time.Sleep(e.work)
		}
		<-e.slots
		e.mu.Lock()
		defer e.mu.Unlock()
		e.queued--
		body := "answered by " + e.service
		e.respond(key, f, fmt.Sprintf("HTTP/1.1 200 OK\r\nServer-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", e.id, len(body), body))
	}()
}

// respond sends an answer and repeats it until it is acknowledged. The caller holds mu.
func (e *endpoint) respond(key flowKey, f *endpointFlow, text string) {
	f.unacked = &packet{seq: f.next, ack: f.expected, flags: flagAck, data: []byte(text)}
	f.next += uint32(len(text))
	e.repeat(key, f, f.unacked, 200*time.Millisecond, 0)
}

func (e *endpoint) repeat(key flowKey, f *endpointFlow, p *packet, wait time.Duration, sends int) {
	if e.flows[key] != f || f.unacked != p || sends > 8 {
		return
	}
	p.echo, p.ack = f.echo, f.expected
	f.received = 0
	e.send(key, p)
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.repeat(key, f, p, min(2*wait, 1600*time.Millisecond), sends+1)
	})
}

func (e *endpoint) send(key flowKey, p *packet) {
	p.src, p.dst = key.service, key.client
	p.sum = 0
	p.sum = p.sumOf()
	_, _ = e.conn.WriteToUDPAddrPort(p.encode(), netip.AddrPortFrom(key.client.Addr(), e.scene.port))
}
