package caller

import (
	"net/netip"
	"syscall"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"

	"github.com/pkg/errors"
)

// sender holds what one call of SendCaller needs. The bound method is kept, since binding it anew would allocate.
type sender struct {
	transport *Transport
	packet    []byte
	envelope  []byte
	call      func(fd uintptr)
	err       error
}

func newSender(t *Transport) *sender {
	s := &sender{
		transport: t,
		packet:    make([]byte, 0, packet.MaxDatagramBytes),
		envelope:  make([]byte, 0, receiveBytes),
	}
	s.call = s.sendTo
	return s
}

// sendTo hands the envelope to the kernel or fails with EAGAIN.
func (s *sender) sendTo(fd uintptr) {
	for {
		s.err = syscall.Sendto(int(fd), s.envelope, syscall.MSG_DONTWAIT, s.transport.fabric)
		if s.err != syscall.EINTR {
			return
		}
	}
}

// SendCaller sends the packet to a caller by way of the fabric, which makes it come from the service address. It does
// not block and does not keep p. A packet that cannot be sent is counted.
func (t *Transport) SendCaller(service netip.AddrPort, to packet.CallerAddress, p *packet.Packet) {
	s := t.senders.Get().(*sender)
	s.send(service, to, p)
	t.senders.Put(s)
}

func (s *sender) send(service netip.AddrPort, to packet.CallerAddress, p *packet.Packet) {
	t := s.transport
	if !service.IsValid() || !to.IsValid() {
		t.counters.noAddress.Add(1)
		return
	}
	s.packet = wire.AppendPacket(s.packet[:0], p)
	if len(s.packet) > packet.MaxDatagramBytes {
		t.counters.tooLarge.Add(1)
		return
	}
	e := packet.Envelope{Caller: to, Service: service, Packet: s.packet}
	s.envelope = wire.AppendEnvelope(s.envelope[:0], &e)
	if err := t.raw.Control(s.call); err != nil {
		t.counters.sendErr.Add(1)
		return
	}
	t.countSend(s.err)
}

func (t *Transport) countSend(err error) {
	switch {
	case err == nil:
		t.counters.sent.Add(1)
	case errors.Is(err, syscall.EAGAIN), errors.Is(err, syscall.ENOBUFS):
		t.counters.socketFull.Add(1)
	default:
		t.counters.sendErr.Add(1)
	}
}
