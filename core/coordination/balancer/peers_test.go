package balancer_test

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/packet"
)

// backendServer is a fake backend server that counts the requests that it runs.
type backendServer struct {
	sim         *simulation
	address     netip.AddrPort
	domain      string
	service     string
	incarnation uint64
	slots       int
	leaving     bool
	leftAt      time.Time
	running     map[attemptKey]bool
	links       []*link
	streams     []*stream
	serviceTime time.Duration
}

type attemptKey struct {
	l       *link
	attempt uint64
}

type stream struct {
	l           *link
	number      uint64
	feed        string
	next, acked uint64
}

func (sim *simulation) addBackend(address, domain, service string, slots int) *backendServer {
	s := &backendServer{
		sim: sim, address: netip.MustParseAddrPort(address), domain: domain, service: service,
		incarnation: sim.random.Uint64() | 1, slots: slots, running: map[attemptKey]bool{}, serviceTime: 10 * time.Millisecond,
	}
	sim.backends[s.address] = s
	sim.every(20*time.Millisecond, func() bool {
		s.emit()
		return sim.backends[s.address] == s
	})
	sim.every(time.Second, func() bool {
		for _, l := range s.links {
			l.reply(&packet.Backend{Kind: packet.BackendPong})
		}
		return sim.backends[s.address] == s
	})
	return s
}

// disconnect breaks a connection. Of the frames that were not delivered, a random tail counts as never sent.
func (s *backendServer) disconnect(l *link) {
	s.links = slices.DeleteFunc(s.links, func(o *link) bool { return o == l })
	s.streams = slices.DeleteFunc(s.streams, func(st *stream) bool { return st.l == l })
	l.server = nil
	unsent := l.pending
	if len(unsent) > 0 {
		unsent = unsent[s.sim.random.IntN(len(unsent)+1):]
	}
	l.pending = nil
	s.sim.after(0, func() { l.n.deliver(func() { l.n.b.BackendDown(l.address, unsent) }) })
	s.sim.after(50*time.Millisecond, l.connect)
}

func (s *backendServer) kill() {
	delete(s.sim.backends, s.address)
	for _, l := range slices.Clone(s.links) {
		s.disconnect(l)
	}
}

func (s *backendServer) receive(l *link, m *packet.Backend) {
	if m.Service != s.service {
		s.sim.recordViolation("frame for %s reached %s", m.Service, s.service)
		return
	}
	switch m.Kind {
	case packet.BackendRun:
		s.start(l, m)
	case packet.BackendSubscribe:
		if s.sim.onPlacement != nil {
			s.sim.onPlacement(s, m.Feed)
		}
		s.streams = append(s.streams,
			&stream{l: l, number: m.Stream, feed: m.Feed, next: m.Sequence, acked: m.Sequence - 1})
	case packet.BackendItemAck:
		for _, st := range s.streams {
			if st.l == l && st.number == m.Stream {
				st.acked = max(st.acked, m.Sequence)
			}
		}
	case packet.BackendUnsubscribe:
		s.streams = slices.DeleteFunc(s.streams, func(st *stream) bool { return st.l == l && st.number == m.Stream })
	}
}

func (s *backendServer) start(l *link, m *packet.Backend) {
	if len(s.running) >= s.slots {
		l.reply(&packet.Backend{Kind: packet.BackendShed, Attempt: m.Attempt})
		return
	}
	if s.leaving && s.sim.now.Sub(s.leftAt) > leavingBound {
		s.sim.recordViolation("%s got a new request %v after it reported that it is leaving", s.address, s.sim.now.Sub(s.leftAt))
	}
	s.sim.runsByRequest[requestID(m.Payload)]++
	s.sim.runsByEndpoint[s.address]++
	if s.sim.onPlacement != nil {
		s.sim.onPlacement(s, requestID(m.Payload))
	}
	key := attemptKey{l, m.Attempt}
	s.running[key] = true
	epoch := l.epoch
	s.sim.after(s.sim.jitter(s.serviceTime/2, s.serviceTime*3/2), func() {
		delete(s.running, key)
		if l.server == s && l.epoch == epoch {
			l.reply(&packet.Backend{Kind: packet.BackendAnswer, Attempt: m.Attempt, Payload: answerTo(m.Payload)})
			s.sendStrayAnswers(l, m.Attempt)
		}
	})
}

// sendStrayAnswers sends, after 1 of 20 requests, a second answer to the attempt and answers to the attempts of other
// backend servers. The balancer must drop all of them.
func (s *backendServer) sendStrayAnswers(l *link, attempt uint64) {
	if s.sim.random.IntN(20) > 0 {
		return
	}
	wrong := []byte("answer to nobody")
	l.reply(&packet.Backend{Kind: packet.BackendAnswer, Attempt: attempt, Payload: wrong})
	var attempts []uint64
	for _, other := range s.sim.backends {
		for key := range other.running {
			if other != s && key.l.n == l.n {
				attempts = append(attempts, key.attempt)
			}
		}
	}
	// The attempt number selects the shard that handles the frame, so the order must not be the random order of the
	// map.
	slices.Sort(attempts)
	for _, attempt := range attempts {
		l.reply(&packet.Backend{Kind: packet.BackendAnswer, Attempt: attempt, Payload: wrong})
	}
}

// leavingBound is the documented time after which a leaving backend server receives no new requests.
const leavingBound = 3 * time.Second

func (s *backendServer) emit() {
	for _, st := range s.streams {
		if st.next-st.acked <= 64 {
			st.l.reply(&packet.Backend{
				Kind: packet.BackendItem, Stream: st.number, Sequence: st.next, Payload: itemOf(st.feed, st.next),
			})
			st.next++
		}
	}
}

func requestID(payload []byte) string { return strings.TrimRight(string(payload), "\x00") }

// answerTo returns an answer of several segments, so that an incomplete answer or one to another request is detected.
func answerTo(payload []byte) []byte {
	return bytes.Repeat(append([]byte("answer to "), payload...), 100)
}

func itemOf(feed string, sequence uint64) []byte {
	return binary.BigEndian.AppendUint64([]byte(feed), sequence)
}

// caller is a fake caller with one flow. It follows the caller protocol: all retransmissions of a request carry the
// same ticket.
type caller struct {
	sim     *simulation
	address packet.CallerAddress
	service netip.AddrPort
	flow    packet.FlowID
	name    string
	ticket  []byte
	opened  bool
	done    bool

	request    uint64
	current    *call
	answered   int
	notRun     map[string]packet.Reason
	unknown    map[string]packet.Reason
	calls      int
	feed       string
	delivered  uint64
	buffer     map[uint64][]byte
	receivedAt time.Time
	onPacket   func(*packet.Packet) // if set, handles all received packets instead of the caller

	customer  string
	class     packet.Class
	timeout   time.Duration // of each request
	resend    time.Duration // shortest time between retransmissions
	pause     time.Duration // longest pause between an outcome and the next request
	onOutcome func(k *call, kind packet.Kind)
}

type call struct {
	id         string
	idempotent bool
	ticket     []byte
	request    uint64
	startedAt  time.Time
	deadline   time.Time
	segments   map[uint32][]byte
	mayHaveRun bool // an earlier transmission under another ticket may have run
}

func (sim *simulation) addCaller(service netip.AddrPort, feed string) *caller {
	n := len(sim.callers)
	c := &caller{
		sim: sim, service: service, feed: feed, name: fmt.Sprintf("caller-%d", n), notRun: map[string]packet.Reason{},
		unknown: map[string]packet.Reason{},
		address: netip.AddrPortFrom(netip.MustParseAddr("10.9.0.1"), uint16(10000+n)), buffer: map[uint64][]byte{},
		receivedAt: sim.now, customer: "customer-1", class: packet.ClassNormal, timeout: 3 * time.Second,
		resend: 100 * time.Millisecond, pause: 50 * time.Millisecond,
	}
	c.start()
	return c
}

// start adds a new caller to the simulation and opens its flow.
func (c *caller) start() {
	sim := c.sim
	binary.BigEndian.PutUint64(c.flow[:], sim.random.Uint64())
	sim.callers[c.address] = c
	c.open()
	sim.every(time.Second, func() bool {
		c.keepalive()
		return !c.done
	})
}

func (c *caller) send(p packet.Packet) {
	p.Flow = c.flow
	c.sim.fromCaller(c, c.service, p)
}

func (c *caller) open() {
	if c.opened || c.done {
		return
	}
	c.send(packet.Packet{Kind: packet.KindOpen, Customer: c.customer, Class: c.class, Timeout: 3 * time.Second})
	c.sim.after(c.sim.jitter(c.resend, 2*c.resend), c.open)
}

func (c *caller) keepalive() {
	if !c.opened {
		return
	}
	if c.feed != "" && c.sim.now.Sub(c.receivedAt) >= 3*time.Second {
		c.subscribe()
		return
	}
	c.send(packet.Packet{Kind: packet.KindPing, Ticket: c.ticket})
}

func (c *caller) subscribe() {
	c.send(packet.Packet{Kind: packet.KindSubscribe, Ticket: c.ticket, Feed: c.feed, Sequence: c.delivered + 1})
}

func (c *caller) receive(p *packet.Packet) {
	if c.onPacket != nil {
		c.onPacket(p)
		return
	}
	if c.done || p.Flow != c.flow {
		return
	}
	c.receivedAt = c.sim.now
	if len(p.Ticket) > 0 {
		c.ticket = p.Ticket
	}
	switch p.Kind {
	case packet.KindOpened:
		if !c.opened {
			c.opened = true
			if c.feed != "" {
				c.subscribe()
			} else {
				c.next()
			}
		}
	case packet.KindPong:
		if c.feed != "" && p.Feed != c.feed {
			c.subscribe()
		}
	case packet.KindItem:
		c.receiveItem(p)
	case packet.KindAnswer, packet.KindNotRun, packet.KindUnknown:
		if c.current != nil && p.Request == c.current.request {
			c.receiveOutcome(p)
		}
	}
}

func (c *caller) receiveItem(p *packet.Packet) {
	if !bytes.Equal(p.Payload, itemOf(c.feed, p.Sequence)) {
		c.sim.recordViolation("%s: item %d has the wrong content", c.name, p.Sequence)
	}
	if p.Sequence > c.delivered && len(c.buffer) < 256 {
		c.buffer[p.Sequence] = p.Payload
	}
	for c.buffer[c.delivered+1] != nil {
		c.delivered++
		delete(c.buffer, c.delivered)
	}
	c.send(packet.Packet{Kind: packet.KindItemAck, Ticket: c.ticket, Sequence: c.delivered})
}

func (c *caller) next() {
	if c.done {
		return
	}
	c.request++
	c.calls++
	c.current = &call{
		id: fmt.Sprintf("%s-%d", c.name, c.request), idempotent: c.sim.random.IntN(2) == 0, ticket: c.ticket,
		request: c.request, startedAt: c.sim.now, deadline: c.sim.now.Add(c.timeout), segments: map[uint32][]byte{},
	}
	c.transmit(c.current)
}

// repeat sends an idempotent request again under the flow's new ticket, as a new request.
func (c *caller) repeat(k *call) {
	c.request++
	c.current = &call{
		id: k.id, idempotent: true, ticket: c.ticket, request: c.request, startedAt: k.startedAt, deadline: k.deadline,
		segments: map[uint32][]byte{}, mayHaveRun: true,
	}
	c.transmit(c.current)
}

func (c *caller) transmit(k *call) {
	if c.current != k || c.done {
		return
	}
	left := k.deadline.Sub(c.sim.now)
	if left <= 0 {
		c.unknown[k.id] = packet.ReasonNone
		c.finish(packet.KindUnknown)
		return
	}
	c.send(packet.Packet{
		Kind: packet.KindRequest, Ticket: k.ticket, Request: k.request, Idempotent: k.idempotent, Timeout: left,
		Payload: []byte(k.id),
	})
	c.sim.after(c.sim.jitter(c.resend, 2*c.resend), func() { c.transmit(k) })
}

func (c *caller) finish(kind packet.Kind) {
	if c.onOutcome != nil {
		c.onOutcome(c.current, kind)
	}
	c.current = nil
	c.sim.after(c.sim.jitter(5*time.Millisecond, c.pause), c.next)
}

func (c *caller) receiveOutcome(p *packet.Packet) {
	k := c.current
	switch p.Kind {
	case packet.KindNotRun:
		if k.mayHaveRun {
			c.unknown[k.id] = p.Reason
		} else {
			c.notRun[k.id] = p.Reason
		}
		c.finish(p.Kind)
	case packet.KindUnknown:
		if k.idempotent && p.Reason == packet.ReasonOwnerLost && len(p.Ticket) > 0 {
			c.repeat(k)
			return
		}
		c.unknown[k.id] = p.Reason
		c.finish(p.Kind)
	case packet.KindAnswer:
		k.segments[p.Segment] = p.Payload
		if len(k.segments) < int(p.Segments) {
			return
		}
		var whole []byte
		for i := range p.Segments {
			whole = append(whole, k.segments[i]...)
		}
		if xxhash.Sum64(whole) != p.Digest || !bytes.Equal(whole, answerTo([]byte(k.id))) {
			c.sim.recordViolation("%s: wrong answer to %s", c.name, k.id)
		}
		c.send(packet.Packet{Kind: packet.KindConfirm, Ticket: k.ticket, Request: k.request})
		c.answered++
		c.finish(p.Kind)
	}
}

// check records a violation for each request that was reported as not run but ran. Call it when no request is in
// progress.
func (sim *simulation) check() {
	for _, c := range sim.callers {
		for id, reason := range c.notRun {
			if sim.runsByRequest[id] > 0 {
				sim.recordViolation("%s was reported as not run (%s) but ran %d times", id, reason, sim.runsByRequest[id])
			}
		}
	}
}
