package peer

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/membership"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
	peerwire "cornellb/io/protocol/wire/peer"
)

// Types of datagrams, which are their first byte.
const (
	typeForward      = 1
	typeGossip       = 2
	typeAnnouncement = 3
	typeLoadReport   = 4
)

const (
	// maxDatagram is the largest datagram, in bytes: the type, a caller packet, and the addresses and counters that the
	// Forward message adds to it.
	maxDatagram = 1 + packet.MaxDatagramBytes + wire.MaxEnvelopeOverheadBytes
	// readErrorPause is the wait after a read error, so that a socket on which each read fails does not use a whole
	// core.
	readErrorPause = 10 * time.Millisecond
)

// sender holds the buffer, address and result of one send. It keeps the method value of sendTo in call, because
// creating it for each send would allocate.
type sender struct {
	buffer []byte
	is4    bool
	to4    syscall.SockaddrInet4
	to6    syscall.SockaddrInet6
	call   func(fd uintptr)
	err    error
}

func newSender() *sender {
	s := &sender{buffer: make([]byte, 0, maxDatagram)}
	s.call = s.sendTo
	return s
}

func (s *sender) setAddress(a netip.AddrPort) {
	ip := a.Addr().Unmap()
	if s.is4 = ip.Is4(); s.is4 {
		s.to4.Port, s.to4.Addr = int(a.Port()), ip.As4()
		return
	}
	s.to6.Port, s.to6.Addr = int(a.Port()), ip.As16()
}

// sendTo passes the datagram to the kernel without blocking and sets err. It fails with EAGAIN if the socket is full.
func (s *sender) sendTo(fd uintptr) {
	for {
		if s.is4 {
			s.err = syscall.Sendto(int(fd), s.buffer, syscall.MSG_DONTWAIT, &s.to4)
		} else {
			s.err = syscall.Sendto(int(fd), s.buffer, syscall.MSG_DONTWAIT, &s.to6)
		}
		if s.err != syscall.EINTR {
			return
		}
	}
}

// SendForward sends an encoded caller datagram to another balancer. It does not block and does not keep the payload. It
// reports false if the datagram was dropped, which is counted.
func (t *Transport) SendForward(to netip.AddrPort, payload []byte) bool {
	s := t.senders.Get().(*sender)
	defer t.senders.Put(s)
	s.buffer = append(append(s.buffer[:0], typeForward), payload...)
	return t.send(s, to, KindForward)
}

// SendGossip sends a gossip message. It does not block. It reports false if the datagram was dropped, which is counted.
func (t *Transport) SendGossip(to netip.AddrPort, m *membership.Message) bool {
	s := t.senders.Get().(*sender)
	defer t.senders.Put(s)
	b, err := peerwire.AppendGossip(append(s.buffer[:0], typeGossip), m)
	return t.sendEncoded(s, to, KindGossip, b, err)
}

// SendAnnouncement sends the versions and recent changes that a reader of the store announces, without the oldest changes
// if they do not fit into a datagram; the receiver fetches those. It does not block. It reports false if the datagram
// was dropped, which is counted.
func (t *Transport) SendAnnouncement(to netip.AddrPort, a *spread.Announcement) bool {
	s := t.senders.Get().(*sender)
	defer t.senders.Put(s)
	now, fitting := time.Now(), *a
	for {
		b, err := peerwire.AppendAnnouncement(append(s.buffer[:0], typeAnnouncement), &fitting, now)
		if err != nil || len(b) <= maxDatagram || len(fitting.Changes) == 0 {
			return t.sendEncoded(s, to, KindDirectory, b, err)
		}
		fitting.Base, fitting.Changes = fitting.Changes[0].Revision, fitting.Changes[1:]
	}
}

// SendLoadReport sends a load report. It does not block. It reports false if the datagram was dropped, which is
// counted.
func (t *Transport) SendLoadReport(to netip.AddrPort, r *steering.Report) bool {
	s := t.senders.Get().(*sender)
	defer t.senders.Put(s)
	b, err := peerwire.AppendLoadReport(append(s.buffer[:0], typeLoadReport), r)
	return t.sendEncoded(s, to, KindDirectory, b, err)
}

// sendEncoded sends the datagram b, which was encoded into the buffer of s. If encoding failed with err, it drops the
// datagram.
func (t *Transport) sendEncoded(s *sender, to netip.AddrPort, k TrafficKind, b []byte, err error) bool {
	if err != nil {
		t.counters.sendErr.Add(1)
		return false
	}
	s.buffer = b
	return t.send(s, to, k)
}

// send sends the datagram in the buffer of s, counts it as sent or dropped, and reports whether it was sent.
func (t *Transport) send(s *sender, to netip.AddrPort, k TrafficKind) bool {
	if len(s.buffer) > maxDatagram || !to.IsValid() {
		t.counters.sendErr.Add(1)
		return false
	}
	s.setAddress(to)
	err := t.raw.Control(s.call)
	if err == nil {
		err = s.err
	}
	switch {
	case err == nil:
		t.counters.sent[k].Add(uint64(len(s.buffer)))
		return true
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.ENOBUFS):
		t.counters.socketFull.Add(1)
	default:
		t.counters.sendErr.Add(1)
	}
	return false
}

// receive reads datagrams and calls their handlers until the socket is closed.
func (t *Transport) receive() {
	buffer := make([]byte, maxDatagram+1) // one byte more, so that longer datagrams are recognized
	for {
		n, from, err := t.conn.ReadFromUDPAddrPort(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			t.counters.readErr.Add(1)
			t.pause(readErrorPause)
		default:
			t.handle(netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), buffer[:n])
		}
	}
}

// pause waits for d, or until Close.
func (t *Transport) pause(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

// handle counts a received datagram, decodes it and calls its handler.
func (t *Transport) handle(from netip.AddrPort, b []byte) {
	switch {
	case len(b) == 0 || len(b) > maxDatagram:
		t.counters.badType.Add(1)
	case b[0] == typeForward && t.handlers.Forward != nil:
		t.counters.received[KindForward].Add(uint64(len(b)))
		t.handlers.Forward.HandleForward(from, b[1:])
	case b[0] == typeGossip:
		t.counters.received[KindGossip].Add(uint64(len(b)))
		m, err := peerwire.DecodeGossip(b[1:])
		if err != nil {
			t.counters.malformed.Add(1)
			return
		}
		t.handlers.Gossip.HandleGossip(from, m)
	case b[0] == typeAnnouncement && t.handlers.Directory != nil:
		t.counters.received[KindDirectory].Add(uint64(len(b)))
		a, err := peerwire.DecodeAnnouncement(b[1:], time.Now())
		if err != nil {
			t.counters.malformed.Add(1)
			return
		}
		t.handlers.Directory.HandleAnnouncement(from, a)
	case b[0] == typeLoadReport && t.handlers.Directory != nil:
		t.counters.received[KindDirectory].Add(uint64(len(b)))
		r, err := peerwire.DecodeLoadReport(b[1:])
		if err != nil {
			t.counters.malformed.Add(1)
			return
		}
		t.handlers.Directory.HandleLoadReport(from, r)
	default:
		t.counters.badType.Add(1)
	}
}
