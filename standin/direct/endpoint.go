package direct

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// EndpointSettings configure an endpoint.
type EndpointSettings struct {
	ID            string // the hexadecimal digits after the last "-" are the number of the endpoint
	Service       string
	FailureDomain string
	Slots         int
	ClientPort    uint16        // at which all clients receive packets
	ColdTime      time.Duration // for which the endpoint is cold after its start
}

// Endpoint receives the packets of flows from balancers and answers the clients directly.
type Endpoint struct {
	settings EndpointSettings
	store    *Store
	conn     *net.UDPConn
	host     *host // of the endpoint's process
	number   uint64
	isSilent atomic.Bool  // drops every packet and sends nothing
	delay    atomic.Int64 // ns between a request and its answer
	forged   atomic.Int64
	opened   atomic.Int64

	mu       sync.Mutex
	entry    map[string]any // as last written to the store
	flows    map[string]*endpointFlow
	openings []time.Time // of all flows
	warmAt   time.Time   // when the endpoint is no longer cold
}

type endpointFlow struct {
	sequence        uint32 // next to send
	expected        uint32 // next to receive
	cookie          uint32
	lastAnswer      []byte // sent again if its request arrives again
	isAnswerPending bool   // lastAnswer is not sent yet
}

// StartEndpoint starts an endpoint on a free loopback port and registers it.
func StartEndpoint(s *Store, e EndpointSettings) (*Endpoint, error) {
	conn, h, err := listenEndpoint()
	if err != nil {
		return nil, err
	}
	number, err := strconv.ParseUint(e.ID[strings.LastIndex(e.ID, "-")+1:], 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "parse the number at the end of the endpoint ID")
	}
	v := &Endpoint{
		settings: e, store: s, conn: conn, host: h, number: number, flows: make(map[string]*endpointFlow),
		warmAt: time.Now().Add(e.ColdTime),
	}
	v.entry = map[string]any{
		"service": e.Service, "address": conn.LocalAddr().String(), "zone": e.FailureDomain, "version": "v1",
		"max_concurrency": e.Slots, "state": "ready", "cold_remaining_ms": e.ColdTime.Milliseconds(), "seq": 1, "born": 1_800_000_000_000,
	}
	go v.run()
	return v, s.Put("servers", e.ID, v.entry)
}

// listenEndpoint returns a packet socket and a host that accepts connections at the same port, which is free for both.
func listenEndpoint() (*net.UDPConn, *host, error) {
	const attempts = 20
	var failed error
	for range attempts {
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen for packets")
		}
		h, err := listenHost(conn.LocalAddr().(*net.UDPAddr))
		if err == nil {
			return conn, h, nil
		}
		_, failed = conn.Close(), err
	}
	return nil, nil, failed
}

// Drain registers the endpoint as draining. It still serves requests.
func (e *Endpoint) Drain() error {
	e.mu.Lock()
	e.entry["state"] = "draining"
	e.mu.Unlock()
	return e.Register()
}

// Register writes the entry of the endpoint to the store again, as an endpoint does that misses it there.
func (e *Endpoint) Register() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.register()
}

func (e *Endpoint) register() error {
	e.entry["cold_remaining_ms"] = max(0, time.Until(e.warmAt).Milliseconds())
	return e.store.Put("servers", e.settings.ID, e.entry)
}

// Restart starts the endpoint again under its ID, without the flows of before. It is cold for a time.
func (e *Endpoint) Restart(cold time.Duration) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.flows, e.warmAt = make(map[string]*endpointFlow), time.Now().Add(cold)
	e.entry["born"] = e.entry["born"].(int) + 1
	return e.register()
}

// Remove deletes the entry of the endpoint from the store.
func (e *Endpoint) Remove() { e.store.Delete("servers", e.settings.ID) }

// SetSilent makes the endpoint and its host drop everything and send nothing, as after a loss of power, or ends that.
func (e *Endpoint) SetSilent(isSilent bool) error {
	e.isSilent.Store(isSilent)
	return e.host.setDark(isSilent)
}

// SetDelay sets the time between a request and its answer. Until then, only data that arrives again is acknowledged: an
// endpoint acknowledges every second packet.
func (e *Endpoint) SetDelay(d time.Duration) { e.delay.Store(int64(d)) }

// Forged returns the number of packets that were malformed or whose checksum did not match.
func (e *Endpoint) Forged() int64 { return e.forged.Load() }

// Opened returns the number of flows that were opened at the endpoint. Copies of an opening packet do not count.
func (e *Endpoint) Opened() int64 { return e.opened.Load() }

// FailureDomain returns the failure domain of the endpoint.
func (e *Endpoint) FailureDomain() string { return e.settings.FailureDomain }

// Openings returns the times at which the flows counted by Opened were opened, earliest first.
func (e *Endpoint) Openings() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.openings)
}

// Close stops the endpoint. Its entry stays in the store.
func (e *Endpoint) Close() {
	_ = e.conn.Close()
	e.host.close()
}

func (e *Endpoint) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 || e.isSilent.Load() {
			continue
		}
		// A packet from a balancer begins with the number of the endpoint that it is for; 0 fits every endpoint.
		if number := binary.BigEndian.Uint64(b); number != 0 && number != e.number {
			continue
		}
		p, hasWrongSum, ok := decode(b[8:n])
		if !ok || hasWrongSum {
			e.forged.Add(1)
			continue
		}
		e.handle(&p)
	}
}

func (e *Endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := p.source.String() + p.destination.String()
	f := e.flows[key]
	switch {
	case p.flags&flagOpen != 0:
		if f == nil {
			e.opened.Add(1)
			e.openings = append(e.openings, time.Now())
			f = &endpointFlow{sequence: rand.Uint32(), expected: p.sequence + 1}
			e.flows[key] = f
		}
		f.cookie = p.cookie
		e.send(p, f, flagOpen|flagAck, nil)
	case f == nil:
		e.send(p, &endpointFlow{sequence: p.acknowledgment, cookie: p.cookie}, flagReset, nil)
	case p.flags&(flagEnd|flagReset) != 0:
		delete(e.flows, key)
		f.expected = p.sequence + 1
		e.send(p, f, flagEnd|flagAck, nil)
	case len(p.data) > 0 && p.sequence == f.expected:
		f.cookie = p.cookie
		f.expected += uint32(len(p.data))
		f.sequence += uint32(len(f.lastAnswer))
		f.lastAnswer = []byte(e.settings.Service + " answers " + string(p.data))
		e.answer(*p, key, f)
	case len(p.data) > 0 && f.isAnswerPending:
		e.send(p, f, flagAck, nil)
	case len(p.data) > 0 && len(f.lastAnswer) > 0:
		e.send(p, f, flagAck, f.lastAnswer)
	}
}

// answer sends the answer to a request, at once or after the delay.
func (e *Endpoint) answer(p packet, key string, f *endpointFlow) {
	delay := time.Duration(e.delay.Load())
	if delay == 0 {
		e.send(&p, f, flagAck, f.lastAnswer)
		return
	}
	f.isAnswerPending = true
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if f.isAnswerPending = false; e.flows[key] == f && !e.isSilent.Load() {
			e.send(&p, f, flagAck, f.lastAnswer)
		}
	})
}

// send sends a packet to the client that p came from.
func (e *Endpoint) send(p *packet, f *endpointFlow, flags byte, data []byte) {
	sequence := f.sequence
	if flags&flagOpen == 0 {
		sequence++ // the opening packet counts as one byte
	}
	answer := &packet{
		sequence: sequence, acknowledgment: f.expected, cookie: f.cookie, flags: flags, data: data,
		source: p.destination, destination: p.source,
	}
	to := netip.AddrPortFrom(p.source.Addr(), e.settings.ClientPort)
	_, _ = e.conn.WriteToUDPAddrPort(answer.encode(answer.checksum()), to) // an error means that the client has stopped
}
