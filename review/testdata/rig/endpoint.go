package main

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

// halfOpenTime is how long an endpoint keeps a flow whose client has not acknowledged its SYN+ACK.
const halfOpenTime = 1400 * time.Millisecond

// endpoint is a stand-in of an endpoint. It answers clients directly.
type endpoint struct {
	world     *world
	id        string
	number    uint64
	service   string
	zone      string
	address   netip.AddrPort
	startedAt time.Time
	maxConns  int
	work      time.Duration // of one request
	conn      *net.UDPConn
	http      *http.Server

	mu    sync.Mutex
	flows map[uint16]*endpointFlow // by the client's port; all clients have one address
	ended map[uint16]bool
}

type endpointFlow struct {
	seq      uint32 // of the SYN+ACK; the next byte to send is seq+1+sent
	sent     uint32
	expected uint32 // next byte from the client
	echo     uint32 // last one received on the flow
	copyNo   uint32 // of the SYN that was taken
	via      netip.Addr
	takenAt  time.Time
	isOpen   bool
	isBusy   bool // a request is at work
	answer   []byte
}

func startEndpoint(w *world, n int, service, zone string, maxConns int, work time.Duration) (*endpoint, error) {
	id := "i-" + strconv.FormatUint(0x10000000+uint64(rand.Uint32()>>4), 16)
	number, err := strconv.ParseUint(id[2:], 16, 64)
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		world: w, id: id, number: number, service: service, zone: zone, maxConns: maxConns, work: work,
		address: netip.AddrPortFrom(w.ip(100+n), w.endpointPort), flows: map[uint16]*endpointFlow{}, ended: map[uint16]bool{},
	}
	if e.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.address)); err != nil {
		return nil, err
	}
	_ = e.conn.SetReadBuffer(4 << 20)
	l, err := net.Listen("tcp4", e.address.String())
	if err != nil {
		return nil, err
	}
	e.http = &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), ReadHeaderTimeout: time.Second}
	go func() { _ = e.http.Serve(l) }()
	go e.run()
	e.startedAt = time.Now()
	return e, w.store.Put("servers", id, e.entry(1))
}

// entry returns what the endpoint writes into the store with a heartbeat.
func (e *endpoint) entry(seq int) map[string]any {
	return map[string]any{
		"service": e.service, "address": e.address.String(), "zone": e.zone, "version": "v1", "max_concurrency": 3,
		"state": "ready", "cold_remaining_ms": 0, "seq": seq, "born": e.startedAt.UnixMilli(),
	}
}

func (e *endpoint) close() {
	_ = e.conn.Close()
	_ = e.http.Close()
}

func (e *endpoint) run() {
	b := make([]byte, 4096)
	for {
		n, from, err := e.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 {
			continue
		}
		p, isSealed, ok := decode(b[8:n])
		number := binary.BigEndian.Uint64(b)
		isIntended := number == 0 || number == e.number
		e.world.noteArrival(&p, e, from.Addr(), isIntended)
		if !isIntended {
			continue
		}
		if !ok || !isSealed {
			e.world.logf("UNASKED endpoint %s got a packet that its sender did not write", e.id)
			continue
		}
		e.mu.Lock()
		e.handle(&p, from.Addr())
		e.mu.Unlock()
	}
}

func (e *endpoint) handle(p *packet, via netip.Addr) {
	port, now := p.src.Port(), time.Now()
	f := e.flows[port]
	if f != nil && !f.isOpen && now.Sub(f.takenAt) > halfOpenTime {
		delete(e.flows, port)
		f = nil
	}
	switch {
	case p.flags&flagSyn != 0 && f != nil && f.isOpen:
		return // a copy of the SYN of an open flow
	case p.flags&flagSyn != 0:
		e.takeSyn(p, f, via, now)
	case f == nil && e.ended[port] && p.flags&flagFin != 0:
		e.send(p, &packet{seq: p.ack, ack: p.seq + 1, echo: p.echo, flags: flagAck})
	case f == nil, !f.isOpen && p.ack != f.seq+1:
		if p.flags&flagReset != 0 {
			return
		}
		e.world.noteEndpointReset(port, e, via, now)
		e.send(p, &packet{seq: p.ack, ack: p.seq + uint32(len(p.data)), echo: p.echo, flags: flagReset | flagAck})
	default:
		e.handleOpen(p, f, now)
	}
}

func (e *endpoint) takeSyn(p *packet, f *endpointFlow, via netip.Addr, now time.Time) {
	if f == nil {
		if e.count(now) >= e.maxConns {
			return // full: it sends nothing
		}
		f = &endpointFlow{seq: rand.Uint32(), expected: p.seq + 1, copyNo: p.ack, via: via, takenAt: now}
		e.flows[p.src.Port()] = f
	}
	f.echo = p.echo
	e.send(p, &packet{seq: f.seq, ack: f.expected, echo: f.echo, flags: flagSyn | flagAck})
}

// count returns the number of flows that the endpoint holds.
func (e *endpoint) count(now time.Time) int {
	for port, f := range e.flows {
		if !f.isOpen && now.Sub(f.takenAt) > halfOpenTime {
			delete(e.flows, port)
		}
	}
	return len(e.flows)
}

func (e *endpoint) handleOpen(p *packet, f *endpointFlow, now time.Time) {
	port := p.src.Port()
	if !f.isOpen {
		f.isOpen = true
		e.world.noteOpened(port, e, f, now)
	}
	f.echo = p.echo
	switch {
	case p.flags&flagReset != 0:
		e.end(port)
	case p.flags&flagFin != 0:
		e.end(port)
		e.send(p, &packet{seq: f.seq + 1 + f.sent, ack: p.seq + 1, echo: f.echo, flags: flagFin | flagAck})
	case len(p.data) == 0:
	case p.seq == f.expected && !f.isBusy:
		f.expected += uint32(len(p.data))
		f.sent += uint32(len(f.answer))
		f.isBusy, f.answer = true, nil
		e.world.noteRun(port, e, f, string(p.data), now)
		request := *p
		time.AfterFunc(e.work, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if f.isBusy, f.answer = false, []byte(e.service+" answers "+string(request.data)); e.flows[port] == f {
				e.send(&request, &packet{seq: f.seq + 1 + f.sent, ack: f.expected, echo: f.echo, flags: flagAck, data: f.answer})
			}
		})
	case f.isBusy:
		e.send(p, &packet{seq: f.seq + 1 + f.sent, ack: f.expected, echo: f.echo, flags: flagAck})
	default:
		e.send(p, &packet{seq: f.seq + 1 + f.sent, ack: f.expected, echo: f.echo, flags: flagAck, data: f.answer})
	}
}

func (e *endpoint) end(port uint16) {
	delete(e.flows, port)
	e.ended[port] = true
}

// send sends a packet to the client that p came from.
func (e *endpoint) send(p, answer *packet) {
	answer.src, answer.dst = p.dst, p.src
	to := netip.AddrPortFrom(p.src.Addr(), e.world.port)
	_, _ = e.conn.WriteToUDPAddrPort(answer.encode(answer.sum()), to) // a lost datagram is sent again by the ends
}

func (e *endpoint) name() string { return strings.Join([]string{e.id, e.service, e.zone}, "/") }
