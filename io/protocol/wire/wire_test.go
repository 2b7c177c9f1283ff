package wire

import (
	"bufio"
	"bytes"
	"errors"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire/backend"
	"cornellb/io/protocol/wire/datagram"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

func drawAddress(t *rapid.T, label string) netip.AddrPort {
	port := rapid.Uint16().Draw(t, label+"Port")
	if rapid.Bool().Draw(t, label+"Is4") {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(rapid.SliceOfN(rapid.Byte(), 4, 4).Draw(t, label))), port)
	}
	ip := netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, label)))
	return netip.AddrPortFrom(ip.Unmap(), port)
}

func drawBytes(t *rapid.T, label string, limit int) []byte {
	b := rapid.SliceOfN(rapid.Byte(), 0, limit).Draw(t, label)
	if len(b) == 0 {
		return nil
	}
	return b
}

func drawName(t *rapid.T, label string) string {
	return rapid.StringN(0, -1, packet.MaxNameBytes).Draw(t, label)
}

func drawDuration(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.Int64Range(0, int64(MaxDuration/time.Microsecond)).Draw(t, label)) * time.Microsecond
}

func drawFlowID(t *rapid.T) packet.FlowID {
	return packet.FlowID(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "flow"))
}

func drawPacket(t *rapid.T) packet.Packet {
	return packet.Packet{
		Kind:       packet.Kind(rapid.IntRange(1, int(packet.KindCount)-1).Draw(t, "kind")),
		Flow:       drawFlowID(t),
		Ticket:     drawBytes(t, "ticket", 64),
		Request:    rapid.Uint64().Draw(t, "request"),
		Class:      packet.Class(rapid.IntRange(0, int(packet.ClassCount)-1).Draw(t, "class")),
		Customer:   drawName(t, "customer"),
		Idempotent: rapid.Bool().Draw(t, "idempotent"),
		Timeout:    drawDuration(t, "timeout"),
		Reason:     packet.Reason(rapid.IntRange(0, int(packet.ReasonCount)-1).Draw(t, "reason")),
		RetryAfter: drawDuration(t, "retryAfter"),
		Segment:    rapid.Uint32Range(0, MaxSegments).Draw(t, "segment"),
		Segments:   rapid.Uint32Range(0, MaxSegments).Draw(t, "segments"),
		Size:       rapid.Uint32Range(0, packet.MaxAnswerBytes).Draw(t, "size"),
		Digest:     rapid.Uint64().Draw(t, "digest"),
		Feed:       drawName(t, "feed"),
		Sequence:   rapid.Uint64().Draw(t, "sequence"),
		Payload:    drawBytes(t, "payload", 64),
	}
}

func drawTicket(t *rapid.T) flow.Ticket {
	k := flow.Ticket{
		Flow:     drawFlowID(t),
		Service:  drawName(t, "service"),
		Customer: drawName(t, "customer"),
		Class:    packet.Class(rapid.IntRange(0, int(packet.ClassCount)-1).Draw(t, "class")),
		Shard: flow.ShardKey{Pool: drawName(t, "pool"), FailureDomain: drawName(t, "domain"),
			Group: rapid.Uint32().Draw(t, "group")},
		Grant: flow.Grant{
			Owner:  member.Incarnation(rapid.Uint64().Draw(t, "owner")),
			Serial: rapid.Uint64().Draw(t, "serial"),
		},
	}
	if rapid.Bool().Draw(t, "pinned") {
		k.Endpoint = drawAddress(t, "endpoint")
	}
	if s := rapid.Int64Range(0, maxIssuedAt).Draw(t, "issuedAt"); s > 0 {
		k.IssuedAt = time.Unix(s, 0).UTC()
	}
	return k
}

func generatedPacket(p *packet.Packet) *datagram.Packet {
	var flow []byte
	if p.Flow != (packet.FlowID{}) {
		flow = p.Flow[:]
	}
	return &datagram.Packet{
		Kind: datagram.Kind(p.Kind), Flow: flow, Ticket: p.Ticket, Request: p.Request,
		Class: datagram.Class(p.Class), Customer: p.Customer, Idempotent: p.Idempotent,
		TimeoutMicroseconds: uint64(p.Timeout.Microseconds()), Reason: datagram.Reason(p.Reason), Payload: p.Payload,
		Segment: p.Segment, Segments: p.Segments, Size: p.Size, Digest: p.Digest, Sequence: p.Sequence,
		RetryAfterMicroseconds: uint64(p.RetryAfter.Microseconds()), Feed: p.Feed,
	}
}

func generatedTicket(k *flow.Ticket) *datagram.Ticket {
	m := &datagram.Ticket{
		Service: k.Service, Customer: k.Customer, Class: datagram.Class(k.Class), Pool: k.Shard.Pool,
		FailureDomain: k.Shard.FailureDomain, Group: k.Shard.Group, Owner: uint64(k.Grant.Owner), Serial: k.Grant.Serial,
		Endpoint: generatedAddress(k.Endpoint),
	}
	if k.Flow != (packet.FlowID{}) {
		m.Flow = k.Flow[:]
	}
	if !k.IssuedAt.IsZero() {
		m.IssuedAtSeconds = uint64(k.IssuedAt.Unix())
	}
	return m
}

func generatedAddress(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	return append(a.Addr().AsSlice(), byte(a.Port()>>8), byte(a.Port()))
}

func marshalGenerated(t *rapid.T, m proto.Message) []byte {
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	is.New(t).NoErr(err)
	return b
}

// TestAgreesWithGeneratedCode guards against a hand-written codec that differs from the proto files in a field number,
// wire type or default.
func TestAgreesWithGeneratedCode(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		d := NewDecoder()
		var p packet.Packet
		wantPacket := drawPacket(t)
		b := marshalGenerated(t, generatedPacket(&wantPacket))
		is.Equal(AppendPacket(nil, &wantPacket), b)
		is.NoErr(d.DecodePacket(b, &p))
		is.Equal(p, wantPacket)

		var f packet.Forward
		want := packet.Forward{
			Envelope: packet.Envelope{
				Caller: drawAddress(t, "caller"), Service: drawAddress(t, "service"), Packet: AppendPacket(nil, &p)},
			Hops: rapid.Uint8Range(0, packet.MaxHops).Draw(t, "hops"), Spill: rapid.Uint8().Draw(t, "spill")}
		b = marshalGenerated(t, &datagram.Forward{Caller: generatedAddress(want.Caller),
			Service: generatedAddress(want.Service), Packet: want.Packet, Hops: uint32(want.Hops), Spill: uint32(want.Spill)})
		is.Equal(AppendForward(nil, &want), b)
		is.NoErr(d.DecodeForward(b, &f))
		is.Equal(f, want)

		var e packet.Envelope
		b = marshalGenerated(t, &datagram.Envelope{Caller: generatedAddress(want.Caller),
			Service: generatedAddress(want.Service), Packet: want.Packet})
		is.Equal(AppendEnvelope(nil, &want.Envelope), b)
		is.NoErr(d.DecodeEnvelope(b, &e))
		is.Equal(e, want.Envelope)

		var k flow.Ticket
		wantTicket := drawTicket(t)
		b = marshalGenerated(t, generatedTicket(&wantTicket))
		is.Equal(AppendTicket(nil, &wantTicket), b)
		is.NoErr(d.DecodeTicket(b, &k))
		is.Equal(k, wantTicket)
	})
}

// TestBackendRoundTrip guards against a field that is lost between AppendBackend and ReadBackend, against a reader that
// does not stop at the end of a frame, and against a frame that is encoded although it is above the size limit.
func TestBackendRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		want := packet.Backend{
			Kind:    packet.BackendKind(rapid.IntRange(1, int(packet.BackendKindCount)-1).Draw(t, "kind")),
			Service: drawName(t, "service"), Customer: drawName(t, "customer"), Feed: drawName(t, "feed"),
			Incarnation: rapid.Uint64().Draw(t, "incarnation"), Attempt: rapid.Uint64().Draw(t, "attempt"),
			Stream: rapid.Uint64().Draw(t, "stream"), Sequence: rapid.Uint64().Draw(t, "sequence"),
			Class:   packet.Class(rapid.IntRange(0, int(packet.ClassCount)-1).Draw(t, "class")),
			Timeout: drawDuration(t, "timeout"), Busy: rapid.Uint32().Draw(t, "busy"),
			Idempotent: rapid.Bool().Draw(t, "idempotent"), Started: rapid.Bool().Draw(t, "started"),
			Leaving: rapid.Bool().Draw(t, "leaving"), Payload: drawBytes(t, "payload", 300),
		}
		b, err := AppendBackend(nil, &want)
		is.NoErr(err)
		b, err = AppendBackend(b, &want)
		is.NoErr(err)
		r := bufio.NewReader(bytes.NewReader(b))
		for range 2 {
			var got packet.Backend
			is.NoErr(ReadBackend(r, &got))
			is.Equal(got, want)
		}
	})
	var tooLarge *TooLargeError
	_, err := AppendBackend(nil, &packet.Backend{Payload: make([]byte, MaxFrameBytes)})
	is.New(t).True(errors.As(err, &tooLarge))
}

func newSealedTicket(is *is.I) (*TicketCodec, flow.Ticket, []byte) {
	c, err := NewTicketCodec([]Key{{ID: 1, Secret: []byte(strings.Repeat("a", 32))}})
	is.NoErr(err)
	k := sampleTicket()
	return c, k, c.Seal(&k)
}

func sampleTicket() flow.Ticket {
	return flow.Ticket{
		Flow: packet.FlowID{1, 2, 3, 4, 5, 6, 7, 8}, Service: "reminders", Customer: "customer-0042",
		Class: packet.ClassNormal, Shard: flow.ShardKey{Pool: "reminders-attiki", FailureDomain: "attiki-1", Group: 3},
		Grant: flow.Grant{Owner: 0x1234567890abcdef, Serial: 7}, Endpoint: netip.MustParseAddrPort("10.20.30.40:7000"),
		IssuedAt: time.Unix(1796380000, 0).UTC(),
	}
}

// TestTicketForgery guards against a ticket that is accepted although a bit, its length or its key ID was changed after
// it was sealed.
func TestTicketForgery(t *testing.T) {
	is := is.New(t)
	c, want, b := newSealedTicket(is)
	is.True(len(b) < 200)
	var got flow.Ticket
	is.NoErr(c.Open(b, &got))
	is.Equal(got, want)
	checkRejected := func(b []byte) {
		var e *DecodeError
		got = flow.Ticket{Service: "kept"}
		is.True(errors.As(c.Open(b, &got), &e))
		is.Equal(got, flow.Ticket{Service: "kept"})
	}
	for i := range len(b) * 8 {
		flipped := bytes.Clone(b)
		flipped[i/8] ^= 1 << (i % 8)
		checkRejected(flipped)
	}
	for n := range b {
		checkRejected(b[:n])
	}
	checkRejected(append(bytes.Clone(b), 0))
	checkRejected(make([]byte, MaxTicketBytes+1))
}

// TestTicketKeyRotation guards against a rotation that invalidates tickets of the previous key, against a removed key
// that stays valid, and against invalid sets of keys that are accepted.
func TestTicketKeyRotation(t *testing.T) {
	is := is.New(t)
	_, want, b := newSealedTicket(is)
	first := Key{ID: 1, Secret: []byte(strings.Repeat("a", 32))}
	second := Key{ID: 2, Secret: []byte(strings.Repeat("b", 32))}
	both, err := NewTicketCodec([]Key{second, first})
	is.NoErr(err)
	var got flow.Ticket
	is.NoErr(both.Open(b, &got))
	is.Equal(got, want)
	is.Equal(both.Seal(&want)[0], second.ID)
	removed, err := NewTicketCodec([]Key{second})
	is.NoErr(err)
	var e *DecodeError
	is.True(errors.As(removed.Open(b, &got), &e))
	is.Equal(e.Reason, ReasonUnknownKey)
	for _, keys := range [][]Key{nil, {{ID: 1, Secret: []byte("short")}}, {first, first}} {
		var e *KeyError
		_, err := NewTicketCodec(keys)
		is.True(errors.As(err, &e))
	}
}

// TestTicketCodecIsShared guards against data races between concurrent calls of Seal and Open, and against valid
// tickets with the longest names that are rejected for their length.
func TestTicketCodecIsShared(t *testing.T) {
	is := is.New(t)
	c, want, _ := newSealedTicket(is)
	long := strings.Repeat("n", packet.MaxNameBytes)
	want.Service, want.Customer, want.Shard = long, long, flow.ShardKey{Pool: long, FailureDomain: long, Group: 1 << 31}
	want.Endpoint = netip.MustParseAddrPort("[2001:db8::1]:65535")
	want.Grant.Serial = 1 << 63
	want.IssuedAt = time.Unix(maxIssuedAt, 0).UTC()
	var workers sync.WaitGroup
	for i := range 8 {
		workers.Go(func() {
			k, got := want, flow.Ticket{}
			k.Flow[0] = byte(i)
			for range 500 {
				if err := c.Open(c.Seal(&k), &got); err != nil || got != k {
					t.Errorf("opened %+v with error %v", got, err)
					return
				}
			}
		})
	}
	workers.Wait()
}

// TestDecodeLimits guards against decoders that accept values outside their limits, so that these reach the core
// packages.
func TestDecodeLimits(t *testing.T) {
	tests := map[string]struct {
		m      proto.Message
		field  string
		reason DecodeReason
	}{
		"no kind":       {&datagram.Packet{}, "kind", ReasonOutOfRange},
		"kind":          {&datagram.Packet{Kind: datagram.Kind(packet.KindCount)}, "kind", ReasonOutOfRange},
		"negative kind": {&datagram.Packet{Kind: -1}, "kind", ReasonOutOfRange},
		"class":         {&datagram.Packet{Kind: 1, Class: 3}, "class", ReasonOutOfRange},
		"reason":        {&datagram.Packet{Kind: 1, Reason: datagram.Reason(packet.ReasonCount)}, "reason", ReasonOutOfRange},
		"flow":          {&datagram.Packet{Kind: 1, Flow: make([]byte, 15)}, "flow", ReasonWrongLength},
		"customer":      {&datagram.Packet{Kind: 1, Customer: strings.Repeat("x", 65)}, "customer", ReasonTooLong},
		"payload":       {&datagram.Packet{Kind: 1, Payload: make([]byte, 901)}, "payload", ReasonTooLong},
		"ticket":        {&datagram.Packet{Kind: 1, Ticket: make([]byte, 361)}, "ticket", ReasonTooLong},
		"timeout":       {&datagram.Packet{Kind: 1, TimeoutMicroseconds: 1 << 63}, "timeout_microseconds", ReasonOutOfRange},
		"size":          {&datagram.Packet{Kind: 1, Size: packet.MaxAnswerBytes + 1}, "size", ReasonOutOfRange},
		"no caller":     {&datagram.Forward{Service: make([]byte, 6)}, "caller", ReasonWrongLength},
		"address":       {&datagram.Forward{Caller: make([]byte, 7)}, "caller", ReasonWrongLength},
		"hops":          {&datagram.Forward{Hops: packet.MaxHops + 1}, "hops", ReasonOutOfRange},
		"packet":        {&datagram.Forward{Packet: make([]byte, packet.MaxDatagramBytes+1)}, "packet", ReasonTooLong},
		"frame kind":    {&backend.Backend{Kind: -1}, "kind", ReasonOutOfRange},
		"frame class":   {&backend.Backend{Kind: 1, Class: -1}, "class", ReasonOutOfRange},
		"frame feed":    {&backend.Backend{Kind: 1, Feed: strings.Repeat("x", 65)}, "feed", ReasonTooLong},
		"frame timeout": {&backend.Backend{Kind: 1, TimeoutMicroseconds: 1 << 62}, "timeout_microseconds", ReasonOutOfRange},
		"frame payload": {&backend.Backend{Kind: 1, Payload: make([]byte, packet.MaxAnswerBytes+1)}, "payload", ReasonTooLong},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b, err := proto.Marshal(tt.m)
			is.NoErr(err)
			d := NewDecoder()
			switch m := tt.m.(type) {
			case *datagram.Packet:
				err = d.DecodePacket(b, &packet.Packet{})
			case *datagram.Forward:
				err = d.DecodeForward(b, &packet.Forward{})
			case *backend.Backend:
				err = fromBackendMessage(m, &packet.Backend{})
			}
			var e *DecodeError
			is.True(errors.As(err, &e))
			is.Equal(e.Field, tt.field)
			is.Equal(e.Reason, tt.reason)
		})
	}
}
