package direct

import (
	"net"
	"net/netip"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/net/ipv4"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/metric"
)

const (
	// batchSize is the number of datagrams that are read or written by one system call.
	batchSize = 32
	// receiveBuffer is the size of the socket's receive buffer in bytes. It holds about 100 ms of packets at 10,000 a
	// second.
	receiveBuffer = 1 << 20
	// readErrorPause is the wait after a read error, so that a socket on which each read fails does not use a whole
	// core.
	readErrorPause = 10 * time.Millisecond
)

// socket reads packets in batches and forwards them. Its buffers are reused, so that packets cause no allocations.
type socket struct {
	process      *Process
	conn         *net.UDPConn
	batch        *ipv4.PacketConn
	in           []ipv4.Message
	buffers      [][]byte // the buffers of in, with the headroom in front of them
	out          []ipv4.Message
	destinations []net.UDPAddr // addresses of out
	resetBuffers [][]byte      // for resets that are encoded
	headroom     int
	held         steering.HoldQueue // used only by the goroutine of run
	heldCount    atomic.Int64       // Len of held
	lastPacketAt atomic.Int64       // time of the last batch, in Unix nanoseconds by the adapters' clock
}

func listenPackets(p *Process) (*socket, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(p.settings.PacketAddress))
	if err != nil {
		return nil, errors.Wrap(err, "listen for packets")
	}
	if err := conn.SetReadBuffer(receiveBuffer); err != nil {
		p.log.Warn("receive buffer size of the packet socket not set; keeping the default size",
			"requested_bytes", receiveBuffer, "error", err)
	}
	c := p.adapters.Codec
	s := &socket{
		process: p, conn: conn, batch: ipv4.NewPacketConn(conn), headroom: c.Headroom(),
		in: make([]ipv4.Message, batchSize), out: make([]ipv4.Message, 0, batchSize),
		destinations: make([]net.UDPAddr, batchSize), resetBuffers: make([][]byte, batchSize),
	}
	for i := range s.in {
		// One byte more than the largest packet, so that longer datagrams are recognized.
		b := make([]byte, s.headroom+c.MaxBytes()+1)
		s.in[i].Buffers = [][]byte{b[s.headroom:]}
		s.buffers = append(s.buffers, b)
		s.resetBuffers[i] = make([]byte, c.MaxBytes())
		s.destinations[i].IP = make(net.IP, net.IPv4len)
	}
	for range s.in {
		s.out = append(s.out, ipv4.Message{Buffers: make([][]byte, 1)})
	}
	return s, nil
}

func (s *socket) lastPacket() time.Time { return time.Unix(0, s.lastPacketAt.Load()) }

func (s *socket) close() { _ = s.conn.Close() }

// run forwards packets until the socket is closed.
func (s *socket) run() {
	for {
		n, err := s.batch.ReadBatch(s.in, 0)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if errors.Is(err, os.ErrDeadlineExceeded) {
				s.decideHeld()
				continue
			}
			s.process.log.Warn("read from the packet socket failed; retrying", "error", err)
			select {
			case <-s.process.ctx.Done():
				return
			case <-s.process.adapters.Clock.After(readErrorPause):
			}
			continue
		}
		now := s.process.adapters.Clock.Now()
		s.lastPacketAt.Store(now.UnixNano())
		s.send(s.decide(now, n))
		s.process.startProbes()
	}
}

// decide handles the first n packets of in and returns the number of datagrams to send, which it places in out.
func (s *socket) decide(now time.Time, n int) int {
	count := 0
	for i := range n {
		m := &s.in[i]
		var p steering.Packet
		if err := s.process.adapters.Codec.Decode(m.Buffers[0][:m.N], &p); err != nil {
			s.process.countMalformed(err)
			continue
		}
		count = s.decidePacket(now, &p, s.buffers[i][:s.headroom+m.N], now, count)
	}
	return count
}

// decidePacket handles one packet, whose datagram begins after the headroom of b. It places the datagram to send, if
// there is one, at index count of out, and returns the number of datagrams there.
func (s *socket) decidePacket(now time.Time, p *steering.Packet, b []byte, receivedAt time.Time, count int) int {
	d := s.process.forwarder.Handle(now, p)
	switch d.Verdict {
	case steering.Forward:
		s.process.adapters.Codec.Encode(b, d.Endpoint.Number, d.Cookie)
		s.setDatagram(count, b, d.Endpoint.Address)
		count++
	case steering.Reset:
		reset, to := s.process.adapters.Codec.Reset(s.resetBuffers[count], p)
		s.setDatagram(count, reset, to)
		count++
	case steering.Hold:
		dropped := s.held.Add(receivedAt, p, slices.Clone(b))
		s.process.metrics.Count(metric.Dropped, "held_too_many", int64(dropped))
		s.heldCount.Store(int64(s.held.Len()))
	}
	s.process.recordDecision(now, p, d)
	return count
}

// wakeHeld makes the goroutine of run decide the held packets again, if there are any.
func (s *socket) wakeHeld() {
	if s.heldCount.Load() == 0 {
		return
	}
	if err := s.conn.SetReadDeadline(time.Unix(1, 0)); err != nil && !errors.Is(err, net.ErrClosed) {
		s.process.log.Warn("held packets wait for the next packet", "error", err)
	}
}

// decideHeld decides the held packets again.
func (s *socket) decideHeld() {
	if err := s.conn.SetReadDeadline(time.Time{}); err != nil {
		return // the socket is closed
	}
	now := s.process.adapters.Clock.Now()
	due, expired := s.held.Take(now)
	s.heldCount.Store(0)
	s.process.metrics.Count(metric.Dropped, "held_too_long", int64(expired))
	for batch := range slices.Chunk(due, batchSize) {
		count := 0
		for i := range batch {
			h := &batch[i]
			count = s.decidePacket(now, &h.Packet, h.Datagram, h.ReceivedAt, count)
		}
		s.send(count)
	}
	if len(due) > 0 {
		s.process.log.Info("held packets decided", "packets", len(due), "held_again", s.held.Len(), "expired", expired,
			"longest_ms", now.Sub(due[0].ReceivedAt).Milliseconds())
	}
}

// sendResets sends the resets that the forwarder issues of its own accord, not in answer to a packet, because an
// endpoint is dead. It may run concurrently with run.
func (s *socket) sendResets() {
	for _, p := range s.process.forwarder.Resets() {
		b, to := s.process.adapters.Codec.Reset(make([]byte, s.process.adapters.Codec.MaxBytes()), &p)
		if _, err := s.conn.WriteToUDPAddrPort(b, to); err != nil {
			s.process.metrics.Count(metric.Dropped, "send_failed", 1)
			continue
		}
		s.process.metrics.Count(metric.ResetSent, string(steering.ReasonDeadEndpoint), 1)
	}
}

// setDatagram sets the datagram to send at index i.
func (s *socket) setDatagram(i int, b []byte, to netip.AddrPort) {
	ip := to.Addr().As4()
	copy(s.destinations[i].IP, ip[:])
	s.destinations[i].Port = int(to.Port())
	s.out[i].Buffers[0] = b
	s.out[i].Addr = &s.destinations[i]
}

// send sends the first n datagrams of out. One that cannot be sent is counted and skipped: the client sends its data
// again.
func (s *socket) send(n int) {
	for sent := 0; sent < n; {
		k, err := s.batch.WriteBatch(s.out[sent:n], 0)
		if err != nil {
			s.process.metrics.Count(metric.Dropped, "send_failed", 1)
			k = max(k, 0) + 1
		}
		sent += k
	}
}
