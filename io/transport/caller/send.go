package caller

import (
	"net/netip"
	"syscall"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"

	"github.com/pkg/errors"
)

// sender holds the buffers of one call of SendCaller. Senders are reused, so that a call does not allocate.
type sender struct {
	transport  *Transport
	packet     []byte
	envelope   []byte
	sendToFunc func(fd uintptr) // the method value s.sendTo, kept because each evaluation of it allocates
	err        error            // result of the last sendTo
}

func newSender(t *Transport) *sender {
	s := &sender{
		transport: t,
		packet:    make([]byte, 0, packet.MaxDatagramBytes),
		envelope:  make([]byte, 0, receiveBytes),
	}
	s.sendToFunc = s.sendTo
	return s
}

// sendTo passes the envelope to the kernel. It does not block: if the send buffer is full, s.err is EAGAIN.
func (s *sender) sendTo(fd uintptr) {
	for {
		s.err = syscall.Sendto(int(fd), s.envelope, syscall.MSG_DONTWAIT, s.transport.fabric)
		if s.err != syscall.EINTR {
			return
		}
	}
}

// SendCaller sends the packet to a caller through the fabric, which replaces the source address by the service address.
// It does not block and does not keep p. A packet that cannot be sent is dropped and counted.
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
	if err := t.raw.Control(s.sendToFunc); err != nil {
		t.counters.sendErrors.Add(1)
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
		t.counters.sendErrors.Add(1)
	}
}
