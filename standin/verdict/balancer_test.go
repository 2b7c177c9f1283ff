package verdict_test

import (
	"bufio"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

// fakeBalancer is the only balancer and owns all flows. It does only what the other stand-ins need, and injects a fault
// if one is set.
type fakeBalancer struct {
	socket *net.UDPConn
	fabric netip.AddrPort
	fault  string

	lock     sync.Mutex
	services map[netip.AddrPort]string // by service address
	links    map[string]net.Conn       // by service
	attempts map[attemptKey]*fakeRequest
	requests map[requestKey]*fakeRequest
	feeds    map[attemptKey]*fakeFeed
	next     uint64
}

type attemptKey struct {
	service string
	number  uint64
}

type requestKey struct {
	flow   packet.FlowID
	number uint64
}

type fakeRequest struct {
	to      packet.Envelope
	p       packet.Packet
	answers []packet.Packet
}

type fakeFeed struct {
	to      packet.Envelope
	flow    packet.FlowID
	stream  uint64
	service string
	pending map[uint64][]byte
}

func startBalancer(t *testing.T, services map[netip.AddrPort]string, backends map[string]netip.AddrPort) *fakeBalancer {
	is := is.New(t)
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.MustParseAddrPort("127.0.0.1:0")))
	is.NoErr(err)
	b := &fakeBalancer{
		socket: socket, services: services, links: make(map[string]net.Conn), feeds: make(map[attemptKey]*fakeFeed),
		attempts: make(map[attemptKey]*fakeRequest), requests: make(map[requestKey]*fakeRequest),
	}
	t.Cleanup(func() { socket.Close() })
	for service, address := range backends {
		link, err := net.Dial("tcp", address.String())
		is.NoErr(err)
		t.Cleanup(func() { link.Close() })
		b.links[service] = link
		b.sendToBackend(service, &packet.Backend{Kind: packet.BackendHello, Service: service})
		go b.readBackend(service, link)
	}
	return b
}

func (b *fakeBalancer) address() netip.AddrPort {
	return b.socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// serve handles envelopes until the socket is closed.
func (b *fakeBalancer) serve() {
	buffer := make([]byte, 4096)
	decoder := wire.NewDecoder()
	for {
		n, err := b.socket.Read(buffer)
		if err != nil {
			return
		}
		var e packet.Envelope
		var p packet.Packet
		d := append([]byte(nil), buffer[:n]...)
		if decoder.DecodeEnvelope(d, &e) != nil || decoder.DecodePacket(e.Packet, &p) != nil {
			continue
		}
		b.lock.Lock()
		b.handle(e, p)
		b.lock.Unlock()
	}
}

func (b *fakeBalancer) handle(e packet.Envelope, p packet.Packet) {
	service := b.services[e.Service]
	switch p.Kind {
	case packet.KindOpen:
		b.sendToCaller(e, &packet.Packet{Kind: packet.KindOpened, Flow: p.Flow, Ticket: p.Flow[:]})
	case packet.KindPing:
		b.sendToCaller(e, &packet.Packet{Kind: packet.KindPong, Flow: p.Flow})
	case packet.KindRequest:
		b.handleRequest(e, p, service)
	case packet.KindSubscribe:
		key := attemptKey{service, streamOf(p.Flow)}
		if b.feeds[key] == nil {
			b.feeds[key] = &fakeFeed{to: e, flow: p.Flow, stream: key.number, service: service, pending: make(map[uint64][]byte)}
			b.sendToBackend(service, &packet.Backend{
				Kind: packet.BackendSubscribe, Stream: key.number, Service: service, Feed: p.Feed, Sequence: p.Sequence,
			})
		}
	case packet.KindItemAck:
		if f := b.feeds[attemptKey{service, streamOf(p.Flow)}]; f != nil {
			for n := range f.pending {
				if n <= p.Sequence {
					delete(f.pending, n)
				}
			}
			b.sendToBackend(service, &packet.Backend{Kind: packet.BackendItemAck, Stream: f.stream, Sequence: p.Sequence})
		}
	}
}

// streamOf returns the stream number for the feed of a flow.
func streamOf(id packet.FlowID) uint64 { return xxhash.Sum64(id[:]) }

func (b *fakeBalancer) handleRequest(e packet.Envelope, p packet.Packet, service string) {
	key := requestKey{p.Flow, p.Request}
	if r := b.requests[key]; r != nil {
		b.sendAnswers(r)
		return
	}
	r := &fakeRequest{to: e, p: p}
	b.requests[key] = r
	runs, to := 1, service
	switch {
	case b.fault == "runs twice" && !p.Idempotent:
		runs = 2
	case b.fault == "answers without running":
		runs = 0
		b.answer(r, []byte("invented"))
	case b.fault == "crosses services":
		to = "other"
	}
	for range runs {
		b.next++
		b.attempts[attemptKey{to, b.next}] = r
		b.sendToBackend(to, &packet.Backend{
			Kind: packet.BackendRun, Attempt: b.next, Service: to, Customer: "customer", Timeout: p.Timeout,
			Payload: p.Payload,
		})
	}
	if b.fault == "denies running" {
		r.answers = []packet.Packet{{Kind: packet.KindNotRun, Flow: p.Flow, Request: p.Request, Reason: packet.ReasonQueueFull}}
		b.sendAnswers(r)
	}
}

// answer splits the answer to a request into segments, stores them and sends them.
func (b *fakeBalancer) answer(r *fakeRequest, answer []byte) {
	if b.fault == "cuts answers" {
		answer = answer[:len(answer)/2]
	}
	count := max(1, (len(answer)+packet.MaxPayloadBytes-1)/packet.MaxPayloadBytes)
	for i := range count {
		from := i * packet.MaxPayloadBytes
		r.answers = append(r.answers, packet.Packet{
			Kind: packet.KindAnswer, Flow: r.p.Flow, Request: r.p.Request, Segment: uint32(i), Segments: uint32(count),
			Size: uint32(len(answer)), Digest: xxhash.Sum64(answer),
			Payload: answer[from:min(from+packet.MaxPayloadBytes, len(answer))],
		})
	}
	b.sendAnswers(r)
}

// sendAnswers sends the stored answer to a request; there is none while the request runs.
func (b *fakeBalancer) sendAnswers(r *fakeRequest) {
	for i := range r.answers {
		b.sendToCaller(r.to, &r.answers[i])
	}
}

func (b *fakeBalancer) readBackend(service string, link net.Conn) {
	reader := bufio.NewReader(link)
	for {
		var m packet.Backend
		if wire.ReadBackend(reader, &m) != nil {
			return
		}
		b.lock.Lock()
		b.handleBackend(service, &m)
		b.lock.Unlock()
	}
}

func (b *fakeBalancer) handleBackend(service string, m *packet.Backend) {
	key := attemptKey{service, m.Attempt}
	r := b.attempts[key]
	switch {
	case m.Kind == packet.BackendItem:
		if f := b.feeds[attemptKey{service, m.Stream}]; f != nil {
			f.pending[m.Sequence] = m.Payload
			b.sendItems(f)
		}
		return
	case r == nil || len(r.answers) > 0:
	case m.Kind == packet.BackendAnswer:
		b.answer(r, m.Payload)
	case m.Kind == packet.BackendShed:
		r.answers = []packet.Packet{{Kind: packet.KindNotRun, Flow: r.p.Flow, Request: r.p.Request, Reason: packet.ReasonQueueFull}}
		b.sendAnswers(r)
	}
	delete(b.attempts, key)
}

// sendItems sends all unacknowledged items, in any order.
func (b *fakeBalancer) sendItems(f *fakeFeed) {
	for n, payload := range f.pending {
		b.sendToCaller(f.to, &packet.Packet{Kind: packet.KindItem, Flow: f.flow, Sequence: n, Payload: payload})
	}
}

func (b *fakeBalancer) sendToCaller(to packet.Envelope, p *packet.Packet) {
	to.Packet = wire.AppendPacket(nil, p)
	// Errors are ignored: after a loss the caller retransmits, and is answered again.
	_, _ = b.socket.WriteToUDPAddrPort(wire.AppendEnvelope(nil, &to), b.fabric)
}

func (b *fakeBalancer) sendToBackend(service string, m *packet.Backend) {
	encoded, err := wire.AppendBackend(nil, m)
	if err != nil {
		panic(err)
	}
	// An error means that the test is ending.
	_ = b.links[service].SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = b.links[service].Write(encoded)
}
