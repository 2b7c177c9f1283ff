package main

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"
)

const (
	openTime     = 1400 * time.Millisecond
	firstTimeout = 200 * time.Millisecond
	maxTimeout   = 1600 * time.Millisecond
	resetWindow  = 76800 // of the sequence number of a reset that a balancer sends, from the client's last ack
)

// clientFlow is one flow of a client. It keeps to PROTOCOL.md; in particular it places the last echo that it received on
// the flow in its packets.
type clientFlow struct {
	world    *world
	zone     string
	route    netip.AddrPort
	port     uint16
	received chan datagram

	seq, ack, echo uint32
	isOpen         bool
	openAt         netip.Addr // as endpoint, guarded by world.mu
	endpoint       netip.Addr // whose SYN+ACK the client acknowledged
	synAt          []time.Time
	synVia         []*balancer
	openedAt       time.Time
	requests       int
	answered       int
	end            string // why the flow ended
	isBrief        bool
}

// datagram is a packet with the address it came from.
type datagram struct {
	packet
	from     netip.Addr
	isSealed bool
}

func (f *clientFlow) send(p packet) *balancer {
	p.src, p.dst, p.echo = netip.AddrPortFrom(f.world.ip(clientHost), f.port), f.route, f.echo
	b := f.world.route(f.zone, f.port)
	if b != nil {
		f.world.sendToBalancer(b, p.encode(p.sum()))
	}
	return b
}

func (f *clientFlow) sendSyn() {
	p := packet{seq: f.seq, ack: uint32(len(f.synAt)), flags: flagSyn}
	at := time.Now()
	b := f.send(p)
	f.world.mu.Lock()
	f.synAt, f.synVia = append(f.synAt, at), append(f.synVia, b)
	f.world.mu.Unlock()
}

// open opens the flow and reports whether it did.
func (f *clientFlow) open() bool {
	f.seq = rand.Uint32()
	end, first, second := time.After(openTime), time.After(firstTimeout), time.After(3*firstTimeout)
	f.sendSyn()
	for {
		select {
		case d := <-f.received:
			switch {
			case d.flags&flagReset != 0:
				f.end = "refused"
				return false
			case d.flags&flagSyn != 0 && d.ack == f.seq+1:
				f.isOpen, f.endpoint, f.openedAt = true, d.from, time.Now()
				f.seq, f.ack, f.echo = f.seq+1, d.seq+1, d.echo
				f.world.mu.Lock()
				f.openAt = d.from
				f.world.mu.Unlock()
				f.send(packet{seq: f.seq, ack: f.ack, flags: flagAck})
				return true
			}
		case <-first:
			f.sendSyn()
		case <-second:
			f.sendSyn()
		case <-end:
			f.end = "not opened"
			return false
		}
	}
}

// wait lets a time pass between two requests, and reports whether the flow is still open.
func (f *clientFlow) wait(d time.Duration) bool {
	for timer := time.After(d); ; {
		select {
		case x := <-f.received:
			if f.take(x) {
				return false
			}
		case <-timer:
			return true
		}
	}
}

// take handles a packet that answers nothing, and reports whether it ends the flow.
func (f *clientFlow) take(d datagram) bool {
	if d.flags&flagReset != 0 {
		if !d.isSealed && d.seq-f.ack > resetWindow && f.ack-d.seq > resetWindow {
			return false // a balancer's reset that does not fit an open flow
		}
		f.end = "reset by " + f.world.nameOf(d.from)
		f.world.noteClientReset(f, d)
		return true
	}
	f.echo = d.echo
	return false
}

// request sends a request, and reports whether it was answered.
func (f *clientFlow) request(deadline time.Duration, bytes int) bool {
	f.requests++
	text := fmt.Sprintf("request %d of port %d", f.requests, f.port)
	if bytes > len(text) {
		text += strings.Repeat(".", bytes-len(text))
	}
	began := time.Now()
	p := packet{seq: f.seq, ack: f.ack, flags: flagAck, data: []byte(text)}
	via := f.send(p)
	timeout := firstTimeout
	again, end := time.After(timeout), time.After(deadline)
	for {
		select {
		case d := <-f.received:
			if f.take(d) {
				f.logf("%s: sent %s via %s, not answered: %s", brief(text), f.world.clock(began), via.name(), f.end)
				return false
			}
			if len(d.data) > 0 && d.seq == f.ack && d.flags&flagSyn == 0 {
				f.seq += uint32(len(text))
				f.ack += uint32(len(d.data))
				f.send(packet{seq: f.seq, ack: f.ack, flags: flagAck})
				f.answered++
				f.world.noteAnswer(f, text, string(d.data), began, via)
				return true
			}
		case <-again:
			timeout = min(2*timeout, maxTimeout)
			again = time.After(timeout)
			f.send(p)
		case <-end:
			f.end = "deadline"
			f.logf("%s: sent %s via %s, not answered by its deadline", brief(text), f.world.clock(began), via.name())
			f.send(packet{seq: f.seq, ack: f.ack, flags: flagReset | flagAck})
			return false
		}
	}
}

// load describes what each flow of a kind of client does.
type load struct {
	zone     string
	route    netip.AddrPort
	life     func() time.Duration // of a flow
	pause    func() time.Duration // between two requests
	deadline time.Duration
	bytes    int  // of each request, if it is more than the text needs
	isBrief  bool // whether a flow gets one line in the record
}

// runFlow runs one flow until its life ends, and returns it.
func (w *world) runFlow(l load) *clientFlow {
	f := &clientFlow{world: w, zone: l.zone, route: l.route, isBrief: l.isBrief, received: make(chan datagram, 64)}
	w.register(f)
	defer w.unregister(f)
	if !f.open() {
		w.logFlow(f)
		return f
	}
	for end := time.Now().Add(l.life()); time.Now().Before(end); {
		if !f.request(l.deadline, l.bytes) || !f.wait(l.pause()) {
			w.logFlow(f)
			return f
		}
	}
	f.send(packet{seq: f.seq, ack: f.ack, flags: flagFin | flagAck})
	f.end = "closed"
	w.logFlow(f)
	return f
}

func between(from, to time.Duration) func() time.Duration {
	return func() time.Duration { return from + rand.N(to-from) }
}

// brief returns a request without its padding.
func brief(text string) string { return strings.TrimRight(text, ".") }

// logf records a detail of the flow.
func (f *clientFlow) logf(format string, args ...any) {
	if !f.isBrief {
		f.world.logf(format, args...)
	}
}
