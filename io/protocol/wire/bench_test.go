package wire

import (
	"bufio"
	"bytes"
	"net/netip"
	"testing"
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"

	"github.com/matryer/is"
)

// forwarder does the codec work of an ingress balancer for one packet: it decodes the envelope and the packet, opens
// the ticket and encodes the Forward.
type forwarder struct {
	codec   *TicketCodec
	state   *ticketState // kept here, because sync.Pool drops entries at random under the race detector
	decoder *Decoder
	in      []byte
	out     []byte
	packet  packet.Packet
	forward packet.Forward
	ticket  flow.Ticket
}

func newForwarder(t testing.TB) *forwarder {
	c, _, sealed := newSealedTicket(is.New(t))
	p := packet.Packet{Kind: packet.KindRequest, Flow: packet.FlowID{1, 2, 3, 4, 5, 6, 7, 8}, Ticket: sealed, Request: 77,
		Idempotent: true, Timeout: 2 * time.Second, Payload: make([]byte, 200)}
	e := packet.Envelope{Caller: netip.MustParseAddrPort("10.1.2.3:40000"),
		Service: netip.MustParseAddrPort("192.0.2.1:7000"), Packet: AppendPacket(nil, &p)}
	return &forwarder{codec: c, state: c.keys[0].states.Get().(*ticketState), decoder: NewDecoder(),
		in: AppendEnvelope(nil, &e)}
}

func (w *forwarder) decode() error {
	if err := w.decoder.DecodeEnvelope(w.in, &w.forward.Envelope); err != nil {
		return err
	}
	return w.decoder.DecodePacket(w.forward.Packet, &w.packet)
}

func (w *forwarder) run() error {
	if err := w.decode(); err != nil {
		return err
	}
	if err := w.state.open(w.packet.Ticket, &w.ticket); err != nil {
		return err
	}
	w.forward.Hops, w.forward.Spill = 1, 2
	w.out = AppendForward(w.out[:0], &w.forward)
	return nil
}

// TestForwardDoesNotAllocate guards against allocations in the codec work that an ingress balancer does for each
// packet.
func TestForwardDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	w := newForwarder(t)
	is.NoErr(w.run())
	var failed error
	is.Equal(testing.AllocsPerRun(1000, func() {
		if err := w.run(); err != nil {
			failed = err
		}
		w.out = AppendPacket(w.out[:0], &w.packet)
	}), 0.0)
	is.NoErr(failed)
}

// TestInternTableIsBounded guards against an intern table that grows without limit with the names that callers choose.
func TestInternTableIsBounded(t *testing.T) {
	is := is.New(t)
	names := interner{}
	for i := range 3 * internLimit {
		names.intern([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		is.True(len(names) <= internLimit)
	}
}

func BenchmarkForward(b *testing.B) {
	w := newForwarder(b)
	b.ReportAllocs()
	for b.Loop() {
		if err := w.run(); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(w.in)), "bytes-in/op")
	b.ReportMetric(float64(len(w.out)), "bytes-out/op")
	b.ReportMetric(float64(len(w.out)-len(w.packet.Payload)), "overhead-bytes/op")
	b.ReportMetric(float64(len(w.packet.Ticket)), "ticket-bytes")
}

func BenchmarkCodec(b *testing.B) {
	w := newForwarder(b)
	is.New(b).NoErr(w.run())
	frame := packet.Backend{Kind: packet.BackendRun, Service: "reminders", Attempt: 77, Payload: make([]byte, 200)}
	encoded, _ := AppendBackend(nil, &frame)
	source := bytes.NewReader(nil)
	reader := bufio.NewReader(source)
	cases := map[string]func() error{
		"decode": w.decode,
		"encode": func() error { w.out = AppendPacket(w.out[:0], &w.packet); return nil },
		"open":   func() error { return w.codec.Open(w.packet.Ticket, &w.ticket) },
		"seal":   func() error { w.codec.Seal(&w.ticket); return nil },
		"frame-encode": func() (err error) {
			w.out, err = AppendBackend(w.out[:0], &frame)
			return err
		},
		"frame-decode": func() error {
			source.Reset(encoded)
			reader.Reset(source)
			return ReadBackend(reader, &frame)
		},
	}
	for name, run := range cases {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
