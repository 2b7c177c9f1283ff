package wire

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"

	"github.com/matryer/is"
)

func requestDatagram(b testing.TB) (*TicketCodec, []byte) {
	c, _, ticket := sealed(is.New(b))
	p := packet.Packet{Kind: packet.KindRequest, Flow: packet.FlowID{1, 2, 3, 4, 5, 6, 7, 8}, Ticket: ticket, Request: 77,
		Idempotent: true, Timeout: 2 * time.Second, Payload: []byte(strings.Repeat("x", 200))}
	e := packet.Envelope{Caller: netip.MustParseAddrPort("10.1.2.3:40000"),
		Service: netip.MustParseAddrPort("192.0.2.1:7000"), Packet: AppendPacket(nil, &p)}
	return c, AppendEnvelope(nil, &e)
}

// forwarder does the codec work of one forwarded packet: envelope in, ticket check, forward out.
type forwarder struct {
	c *TicketCodec
	d *Decoder
	e packet.Envelope
	p packet.Packet
	k flow.Ticket
	f packet.Forward
	b []byte
}

func (w *forwarder) forward(in []byte) error {
	if err := w.d.DecodeEnvelope(in, &w.e); err != nil {
		return err
	}
	if err := w.d.DecodePacket(w.e.Packet, &w.p); err != nil {
		return err
	}
	if err := w.c.Open(w.p.Ticket, &w.k); err != nil {
		return err
	}
	w.f = packet.Forward{Envelope: w.e, Hops: 1}
	w.b = AppendForward(w.b[:0], &w.f)
	return nil
}

// TestForwardDoesNotAllocate guards against an allocation per packet on the path of the ingress.
func TestForwardDoesNotAllocate(t *testing.T) {
	is := is.New(t)
	c, in := requestDatagram(t)
	w := &forwarder{c: c, d: NewDecoder()}
	is.NoErr(w.forward(in))
	var err error
	allocations := testing.AllocsPerRun(1000, func() {
		if e := w.forward(in); e != nil {
			err = e
		}
		w.b = AppendPacket(w.b[:0], &w.p)
	})
	is.NoErr(err)
	// The race detector makes sync.Pool drop entries at random, which costs the ticket state.
	is.True(allocations == 0 || raceEnabled)
}

// TestInternTableIsBounded guards against memory that grows with the names that callers make up.
func TestInternTableIsBounded(t *testing.T) {
	is := is.New(t)
	names := interner{}
	for i := range 3 * internLimit {
		names.intern([]byte{byte(i), byte(i >> 8), byte(i >> 16)})
		is.True(len(names) <= internLimit)
	}
}

func BenchmarkForward(b *testing.B) {
	c, in := requestDatagram(b)
	w := &forwarder{c: c, d: NewDecoder()}
	b.ReportAllocs()
	for b.Loop() {
		if err := w.forward(in); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(in)), "bytes-in/op")
	b.ReportMetric(float64(len(w.b)), "bytes-out/op")
	b.ReportMetric(float64(len(w.b)-len(w.p.Payload)), "overhead-bytes/op")
}

func BenchmarkDecode(b *testing.B) {
	_, in := requestDatagram(b)
	d := NewDecoder()
	var e packet.Envelope
	var p packet.Packet
	b.ReportAllocs()
	for b.Loop() {
		_ = d.DecodeEnvelope(in, &e)
		_ = d.DecodePacket(e.Packet, &p)
	}
}

func BenchmarkEncode(b *testing.B) {
	_, in := requestDatagram(b)
	d := NewDecoder()
	var e packet.Envelope
	var p packet.Packet
	_ = d.DecodeEnvelope(in, &e)
	_ = d.DecodePacket(e.Packet, &p)
	out := make([]byte, 0, 2048)
	b.ReportAllocs()
	for b.Loop() {
		out = AppendPacket(out[:0], &p)
	}
}

func BenchmarkTicketOpen(b *testing.B) {
	c, k, sealed := sealed(is.New(b))
	b.ReportAllocs()
	for b.Loop() {
		_ = c.Open(sealed, &k)
	}
	b.ReportMetric(float64(len(sealed)), "ticket-bytes")
}

func BenchmarkTicketSeal(b *testing.B) {
	c, k, _ := sealed(is.New(b))
	b.ReportAllocs()
	for b.Loop() {
		_ = c.Seal(&k)
	}
}
