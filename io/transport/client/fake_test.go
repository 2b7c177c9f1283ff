package client

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

// network connects clients to a service. It loses, duplicates, delays (and so reorders) datagrams, and delivers some of
// the datagrams for a client to another client as well.
type network struct {
	loss, duplicate, misdeliver float64 // probabilities
	maxDelay                    time.Duration

	lock   sync.Mutex
	random *rand.Rand
	pipes  []*pipe
}

// pipe is a client's connection.
type pipe struct {
	network  *network
	service  *service
	incoming chan []byte
	closed   chan struct{}
	once     sync.Once
}

func (n *network) connect(s *service) *pipe {
	p := &pipe{network: n, service: s, incoming: make(chan []byte, 1<<16), closed: make(chan struct{})}
	n.pipes = append(n.pipes, p)
	return p
}

func (p *pipe) Read(b []byte) (int, error) {
	select {
	case d := <-p.incoming:
		return copy(b, d), nil
	case <-p.closed:
		return 0, io.EOF
	}
}

func (p *pipe) Write(b []byte) (int, error) {
	d := bytes.Clone(b)
	p.service.recordSent(d)
	p.network.deliver(func() { p.service.handle(p, d) })
	return len(b), nil
}

func (p *pipe) Close() error {
	p.once.Do(func() { close(p.closed) })
	return nil
}

func (n *network) chance(rate float64) bool { return n.random.Float64() < rate }

func (n *network) deliver(f func()) {
	n.lock.Lock()
	copies := 1
	if n.chance(n.duplicate) {
		copies = 2
	}
	var delays []time.Duration
	for range copies {
		if !n.chance(n.loss) {
			delays = append(delays, time.Duration(n.random.Int64N(int64(n.maxDelay)+1)))
		}
	}
	n.lock.Unlock()
	for _, d := range delays {
		time.AfterFunc(d, f)
	}
}

// toClient delivers a packet to its client, and sometimes to another one as well.
func (n *network) toClient(to *pipe, p *packet.Packet) {
	encoded := wire.AppendPacket(nil, p)
	n.lock.Lock()
	targets := []*pipe{to}
	if n.chance(n.misdeliver) {
		targets = append(targets, n.pipes[n.random.IntN(len(n.pipes))])
	}
	n.lock.Unlock()
	for _, t := range targets {
		n.deliver(func() { t.incoming <- encoded })
	}
}

// service simulates the balancers and backend servers. An open for the customer "silent" or "refuse" is ignored or
// refused, and of those for a flow of the customer "once" only the first is answered. The payload of a request, "KIND ID SIZE", determines its outcome. KIND is answer, damaged (answered with a
// wrong digest), refuse, unknown or silent.
type service struct {
	lock        sync.Mutex
	network     *network
	work        time.Duration // longest time until a request has an outcome
	openTime    time.Duration // until an open is answered
	flows       map[packet.FlowID]*servedFlow
	executed    map[string]int
	seen        map[packet.Kind]int
	lastPackets map[packet.Kind]packet.Packet
	violations  []string
	renewTicket float64 // probability that a Pong, an Item, a NotRun or an Unknown carries a new ticket
}

type servedFlow struct {
	id       packet.FlowID
	pipe     *pipe
	tickets  [][]byte // all that were issued; the last one is current
	requests map[uint64]*servedRequest
	highest  uint64
	feed     *servedFeed
}

type servedRequest struct {
	first   packet.Packet
	outcome *packet.Packet // nil until known, and for ever if the payload says silent
	answer  []byte
}

func newService(n *network) *service {
	return &service{
		network: n, flows: make(map[packet.FlowID]*servedFlow), executed: make(map[string]int),
		seen: make(map[packet.Kind]int), lastPackets: make(map[packet.Kind]packet.Packet),
	}
}

// recordSent records a packet that a client sent, whether or not it arrives.
func (s *service) recordSent(encoded []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	var p packet.Packet
	if err := wire.NewDecoder().DecodePacket(encoded, &p); err != nil {
		s.recordViolation("client sent a packet that cannot be decoded: %v", err)
		return
	}
	s.seen[p.Kind]++
	s.lastPackets[p.Kind] = p
}

func (s *service) count(k packet.Kind) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.seen[k]
}

func (s *service) lastOf(k packet.Kind) packet.Packet {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.lastPackets[k]
}

func (s *service) recordViolation(format string, values ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, values...))
}

func (s *service) handle(from *pipe, encoded []byte) {
	var p packet.Packet
	if wire.NewDecoder().DecodePacket(encoded, &p) != nil {
		return
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if p.Kind == packet.KindOpen {
		s.open(from, &p)
		return
	}
	f := s.flows[p.Flow]
	if f == nil || !f.issued(p.Ticket) {
		s.recordViolation("packet of kind %v without a ticket that was issued for its flow", p.Kind)
		return
	}
	switch p.Kind {
	case packet.KindRequest:
		s.request(f, &p)
	case packet.KindPing:
		s.reply(f, &packet.Packet{Kind: packet.KindPong, Flow: p.Flow})
	case packet.KindSubscribe:
		s.subscribe(f, &p)
	case packet.KindItemAck:
		if f.feed != nil {
			f.feed.acked = max(f.feed.acked, p.Sequence)
		}
	}
}

func (f *servedFlow) issued(t []byte) bool {
	for _, i := range f.tickets {
		if bytes.Equal(i, t) {
			return true
		}
	}
	return false
}

// issue adds a ticket to those of a flow.
func (s *service) issue(id packet.FlowID, ticket []byte) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.flows[id].tickets = append(s.flows[id].tickets, ticket)
}

// reply sends p, sometimes with a new ticket.
func (s *service) reply(f *servedFlow, p *packet.Packet) {
	s.network.lock.Lock()
	renews := s.network.chance(s.renewTicket)
	s.network.lock.Unlock()
	if renews {
		f.tickets = append(f.tickets, fmt.Appendf(nil, "%v/%d", p.Flow, len(f.tickets)))
		p.Ticket = f.tickets[len(f.tickets)-1]
	}
	s.network.toClient(f.pipe, p)
}

func (s *service) open(from *pipe, p *packet.Packet) {
	switch p.Customer {
	case "silent":
		return
	case "refuse":
		s.network.toClient(from, &packet.Packet{
			Kind: packet.KindNotRun, Flow: p.Flow, Reason: packet.ReasonLimit, RetryAfter: time.Second,
		})
		return
	}
	f := s.flows[p.Flow]
	if f == nil {
		ticket := fmt.Appendf(nil, "%v/0", p.Flow)
		f = &servedFlow{id: p.Flow, pipe: from, tickets: [][]byte{ticket}, requests: make(map[uint64]*servedRequest)}
		s.flows[p.Flow] = f
	} else if p.Customer == "once" {
		return
	}
	opened := &packet.Packet{Kind: packet.KindOpened, Flow: p.Flow, Ticket: f.tickets[0]}
	time.AfterFunc(s.openTime, func() { s.network.toClient(from, opened) })
}

func (s *service) request(f *servedFlow, p *packet.Packet) {
	r := f.requests[p.Request]
	if r == nil {
		r = &servedRequest{first: *p}
		f.requests[p.Request] = r
		if f.highest >= p.Request+flow.WindowSize {
			s.recordViolation("request %d is below the window of records that ends at %d", p.Request, f.highest)
		}
		f.highest = max(f.highest, p.Request)
		s.network.lock.Lock()
		wait := time.Duration(s.network.random.Int64N(int64(s.work) + 1))
		s.network.lock.Unlock()
		time.AfterFunc(wait, func() {
			s.lock.Lock()
			defer s.lock.Unlock()
			s.settle(r)
			s.report(f, r, 0)
		})
		return
	}
	if !bytes.Equal(r.first.Ticket, p.Ticket) || !bytes.Equal(r.first.Payload, p.Payload) ||
		r.first.Idempotent != p.Idempotent {
		s.recordViolation("retransmission of request %d differs in ticket, payload or idempotence", p.Request)
	}
	s.report(f, r, int(p.Segment))
}

// settle determines the outcome of the request from its payload.
func (s *service) settle(r *servedRequest) {
	var kind, id string
	var size int
	if _, err := fmt.Sscan(string(r.first.Payload), &kind, &id, &size); err != nil {
		s.recordViolation("payload %q is not of the form KIND ID SIZE: %v", r.first.Payload, err)
	}
	r.outcome = &packet.Packet{Flow: r.first.Flow, Request: r.first.Request}
	switch kind {
	case "answer", "damaged":
		s.executed[id]++
		r.answer = answerTo(id, size)
		r.outcome.Kind, r.outcome.Digest = packet.KindAnswer, xxhash.Sum64(r.answer)
		if kind == "damaged" {
			r.outcome.Digest++
		}
	case "refuse":
		r.outcome.Kind, r.outcome.Reason = packet.KindNotRun, packet.ReasonQueueFull
		r.outcome.RetryAfter = time.Second
	case "unknown":
		r.outcome.Kind, r.outcome.Reason = packet.KindUnknown, packet.ReasonConnectionLost
	default:
		r.outcome = nil // silent
	}
}

func answerTo(id string, size int) []byte {
	return []byte(strings.Repeat(id+"-", size/len(id)+1)[:size])
}

// burst is the largest number of answer segments that are sent for one request packet.
const burst = 64

// report sends the outcome of a request, if it is known. Of an answer, it sends the segments from first on.
func (s *service) report(f *servedFlow, r *servedRequest, first int) {
	switch {
	case r.outcome == nil:
	case r.outcome.Kind != packet.KindAnswer:
		p := *r.outcome
		s.reply(f, &p)
	default:
		count := max(1, (len(r.answer)+packet.MaxPayloadBytes-1)/packet.MaxPayloadBytes)
		for i := first; i < min(count, first+burst); i++ {
			p := *r.outcome
			p.Segment, p.Segments, p.Size = uint32(i), uint32(count), uint32(len(r.answer))
			from := i * packet.MaxPayloadBytes
			p.Payload = r.answer[from:min(from+packet.MaxPayloadBytes, len(r.answer))]
			s.network.toClient(f.pipe, &p)
		}
	}
}

// servedFeed is a feed at one owner. If the owner loses it, the next subscription replaces it.
type servedFeed struct {
	next, acked uint64
	stopped     bool
}

const fakeFeedPeriod = 20 * time.Millisecond

func itemContent(n uint64) []byte { return fmt.Appendf(nil, "item %d", n) }

func (s *service) subscribe(f *servedFlow, p *packet.Packet) {
	if f.feed != nil && !f.feed.stopped {
		return
	}
	f.feed = &servedFeed{next: p.Sequence, acked: p.Sequence - 1}
	s.sendItems(f, f.feed)
}

// sendItems sends a new item or, if the window is full, the oldest unacknowledged ones again.
func (s *service) sendItems(f *servedFlow, d *servedFeed) {
	if d.stopped {
		return
	}
	first := d.next
	if d.next > d.acked+8 {
		first = d.acked + 1
	}
	for n := first; n <= d.next && n <= first+8; n++ {
		s.reply(f, &packet.Packet{
			Kind: packet.KindItem, Flow: f.id, Sequence: n, Payload: itemContent(n),
		})
	}
	if d.next < d.acked+64 {
		d.next++
	}
	time.AfterFunc(fakeFeedPeriod, func() {
		s.lock.Lock()
		defer s.lock.Unlock()
		s.sendItems(f, d)
	})
}
