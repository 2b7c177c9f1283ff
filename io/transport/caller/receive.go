package caller

import (
	"net"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"

	"github.com/pkg/errors"
)

const (
	// receiveBytes is one more than the size of the largest envelope. A longer datagram is cut to this size by the
	// read and is then recognized as too long.
	receiveBytes = packet.MaxDatagramBytes + wire.MaxEnvelopeOverheadBytes + 1
	// readErrorPause is the wait after a failed read. Without it, a socket whose reads all fail would use a whole
	// processor core.
	readErrorPause = 10 * time.Millisecond
)

// receiver is the state of one reading goroutine.
type receiver struct {
	decoder  *wire.Decoder
	buffer   [receiveBytes]byte
	envelope packet.Envelope
	packet   packet.Packet
}

func (t *Transport) receive() {
	r := &receiver{decoder: wire.NewDecoder()}
	for {
		n, _, err := t.conn.ReadFromUDPAddrPort(r.buffer[:])
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			t.counters.readErrors.Add(1)
			t.pause()
		default:
			t.handle(r, r.buffer[:n])
		}
	}
}

// pause waits for readErrorPause or until Close.
func (t *Transport) pause() {
	timer := time.NewTimer(readErrorPause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.done:
	}
}

func (t *Transport) handle(r *receiver, datagram []byte) {
	t.counters.received.Add(1)
	if r.decoder.DecodeEnvelope(datagram, &r.envelope) != nil || !r.envelope.Service.IsValid() {
		t.counters.badEnvelope.Add(1)
		return
	}
	if r.decoder.DecodePacket(r.envelope.Packet, &r.packet) != nil {
		t.counters.badPacket.Add(1)
		return
	}
	t.handler.HandleCaller(&r.envelope, &r.packet)
}
