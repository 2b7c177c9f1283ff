package direct

import (
	"encoding/binary"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// EndpointSettings describe an endpoint.
type EndpointSettings struct {
	ID            string // ends with hexadecimal digits
	Service       string
	FailureDomain string
	Slots         int
	ClientPort    uint16 // of all clients
}

// Endpoint takes packets of flows from balancers and answers the clients.
type Endpoint struct {
	settings EndpointSettings
	store    *Store
	conn     *net.UDPConn
	number   uint64
	entry    map[string]any
	isDark   atomic.Bool  // takes nothing and says nothing
	delay    atomic.Int64 // ns between a request and its answer
	forged   atomic.Int64
	opened   atomic.Int64

	mu    sync.Mutex
	flows map[string]*endpointFlow
}

type endpointFlow struct {
	sequence  uint32 // next to send
	expected  uint32 // next to receive
	cookie    uint32
	last      []byte // last answer, sent again if its request comes again
	isWorking bool   // its answer is not sent yet
}

// StartEndpoint starts an endpoint on a free loopback port and registers it.
func StartEndpoint(s *Store, e EndpointSettings) (*Endpoint, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	number, err := strconv.ParseUint(e.ID[strings.LastIndex(e.ID, "-")+1:], 16, 64)
	if err != nil {
		return nil, errors.Wrap(err, "number of the endpoint")
	}
	v := &Endpoint{settings: e, store: s, conn: conn, number: number, flows: make(map[string]*endpointFlow)}
	v.entry = map[string]any{
		"service": e.Service, "address": conn.LocalAddr().String(), "zone": e.FailureDomain, "version": "v1",
		"max_concurrency": e.Slots, "state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_800_000_000_000,
	}
	go v.run()
	return v, s.Put("servers", e.ID, v.entry)
}

// Drain registers the endpoint as leaving. It goes on serving.
func (e *Endpoint) Drain() error {
	e.entry["state"] = "draining"
	return e.store.Put("servers", e.settings.ID, e.entry)
}

// Remove takes the entry of the endpoint out of the store.
func (e *Endpoint) Remove() { e.store.Delete("servers", e.settings.ID) }

// SetDark lets the endpoint fall silent, or speak again.
func (e *Endpoint) SetDark(isDark bool) { e.isDark.Store(isDark) }

// SetDelay lets the endpoint answer requests late. It acknowledges their data at once.
func (e *Endpoint) SetDelay(d time.Duration) { e.delay.Store(int64(d)) }

// Forged returns the number of packets that did not arrive as their sender wrote them.
func (e *Endpoint) Forged() int64 { return e.forged.Load() }

// Opened returns the number of opening packets that the endpoint has taken.
func (e *Endpoint) Opened() int64 { return e.opened.Load() }

// Close ends the endpoint.
func (e *Endpoint) Close() { _ = e.conn.Close() }

func (e *Endpoint) run() {
	b := make([]byte, 2048)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		if n < 8 || e.isDark.Load() {
			continue
		}
		if number := binary.BigEndian.Uint64(b); number != 0 && number != e.number {
			continue
		}
		p, isForged, ok := decode(b[8:n])
		if !ok || isForged {
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
		f.sequence += uint32(len(f.last))
		f.last = []byte(e.settings.Service + " answers " + string(p.data))
		e.answer(*p, key, f)
	case len(p.data) > 0 && f.isWorking:
		e.send(p, f, flagAck, nil)
	case len(p.data) > 0 && len(f.last) > 0:
		e.send(p, f, flagAck, f.last)
	}
}

// answer sends the answer to a request, at once or after the delay.
func (e *Endpoint) answer(p packet, key string, f *endpointFlow) {
	delay := time.Duration(e.delay.Load())
	if delay == 0 {
		e.send(&p, f, flagAck, f.last)
		return
	}
	f.isWorking = true
	e.send(&p, f, flagAck, nil)
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if f.isWorking = false; e.flows[key] == f && !e.isDark.Load() {
			e.send(&p, f, flagAck, f.last)
		}
	})
}

// send answers a packet of a client.
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
	_, _ = e.conn.WriteToUDPAddrPort(answer.encode(answer.sum()), to) // a client that has ended does not read
}
