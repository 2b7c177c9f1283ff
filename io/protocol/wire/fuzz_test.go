package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire/datagram"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// malformed holds edge cases of the encoding: truncated tags, lengths and varints, an unknown field, a group, an end of
// a group, field number 0, a varint of 11 bytes, a known field with another wire type, enums above 32 bits.
var malformed = []string{
	"", "\x00", "\x08", "\x08\x01\x12\xff", "\x08\x01\xf8\x01\x05", "\x08\x01\x0b\x0c", "\x08\x01\x0c", "\x08\x01\x0b",
	"\x08" + strings.Repeat("\xff", 10) + "\x01", "\x09\x01\x02\x03\x04\x05\x06\x07\x08", "\x08\x81\x80\x80\x80\x10",
	"\x08\x01\x32\x02\xff\xfe", "\x08\x01\xff\xff\xff\xff\x7f\x01", "\xff\xff\xff\xff\x0f", "\x01\xff",
}

func addSeeds(f *testing.F, valid ...[]byte) {
	for _, s := range malformed {
		f.Add([]byte(s))
	}
	for _, b := range valid {
		f.Add(b)
	}
}

// isAccepted reports whether a decoder accepted its input. The test fails if the error is not a *DecodeError.
func isAccepted(t *testing.T, err error) bool {
	var e *DecodeError
	is.New(t).True(err == nil || errors.As(err, &e))
	return err == nil
}

// checkSameMessage decodes b into got with the generated code. The test fails unless the result equals want.
func checkSameMessage(t *testing.T, b []byte, got, want proto.Message) {
	is := is.New(t)
	is.NoErr(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, got))
	is.True(proto.Equal(got, want))
}

// FuzzPacket guards against a panic, and against a packet that the generated code decodes differently.
func FuzzPacket(f *testing.F) {
	w := newForwarder(f)
	is.New(f).NoErr(w.run())
	addSeeds(f, w.forward.Packet)
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		var p packet.Packet
		if isAccepted(t, d.DecodePacket(b, &p)) {
			var m datagram.Packet
			want := generatedPacket(&p)
			is.New(t).NoErr(proto.Unmarshal(b, &m))
			if len(m.Flow) == len(p.Flow) { // a zero ID may be sent in full or omitted
				want.Flow = p.Flow[:]
			}
			checkSameMessage(t, b, &m, want)
		}
	})
}

// addressOf returns the address of a field that the generated code decoded: the IP address, then the port.
func addressOf(b []byte) netip.AddrPort {
	if len(b) < 2 {
		return netip.AddrPort{}
	}
	ip, _ := netip.AddrFromSlice(b[:len(b)-2])
	return netip.AddrPortFrom(ip.Unmap(), uint16(b[len(b)-2])<<8|uint16(b[len(b)-1]))
}

// FuzzForward guards against a panic, and against an Envelope or Forward that the generated code decodes differently.
func FuzzForward(f *testing.F) {
	w := newForwarder(f)
	is.New(f).NoErr(w.run())
	w.forward.Caller = netip.MustParseAddrPort("[2001:db8::1]:40000")
	addSeeds(f, w.in, w.out, AppendForward(nil, &w.forward))
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		var e packet.Envelope
		var fw packet.Forward
		if isAccepted(t, d.DecodeEnvelope(b, &e)) {
			var m datagram.Envelope
			is.NoErr(proto.Unmarshal(b, &m))
			is.Equal(e.Caller, addressOf(m.Caller))
			is.Equal(e.Service, addressOf(m.Service))
			is.True(bytes.Equal(e.Packet, m.Packet))
		}
		if isAccepted(t, d.DecodeForward(b, &fw)) {
			is.Equal(fw.Envelope, e)
			var m datagram.Forward
			is.NoErr(proto.Unmarshal(b, &m))
			is.Equal(fw.Caller, addressOf(m.Caller))
			is.Equal(fw.Service, addressOf(m.Service))
			checkSameMessage(t, b, &m, &datagram.Forward{Caller: m.Caller, Service: m.Service, Packet: fw.Packet,
				Hops: uint32(fw.Hops), Spill: uint32(fw.Spill)})
		}
	})
}

// FuzzTicket guards against a panic, against a forged ticket that is accepted, and against a ticket that changes when
// it is encoded and decoded again.
func FuzzTicket(f *testing.F) {
	c, k, valid := newSealedTicket(is.New(f))
	addSeeds(f, AppendTicket(nil, &k), valid)
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		var first, second flow.Ticket
		is.Equal(isAccepted(t, c.Open(b, &first)), bytes.Equal(b, valid))
		if isAccepted(t, d.DecodeTicket(b, &first)) {
			is.NoErr(proto.Unmarshal(b, &datagram.Ticket{}))
			is.NoErr(d.DecodeTicket(AppendTicket(nil, &first), &second))
			is.Equal(first, second)
		}
	})
}

// FuzzBackend guards against a panic, against a frame above the size limit that is accepted, and against an accepted
// frame that changes when it is encoded and decoded again.
func FuzzBackend(f *testing.F) {
	frame, _ := AppendBackend(nil, &packet.Backend{Kind: packet.BackendRun, Service: "reminders", Payload: []byte("x")})
	addSeeds(f, frame, frame[:5], []byte("\xff\xff\xff\x7f"), []byte("\x02\x08\x01\x02\x08\x07"))
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		r := bufio.NewReader(bytes.NewReader(b))
		for {
			var m, again packet.Backend
			err := ReadBackend(r, &m)
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || !isAccepted(t, err) {
				return
			}
			encoded, err := AppendBackend(nil, &m)
			is.NoErr(err)
			is.NoErr(ReadBackend(bufio.NewReader(bytes.NewReader(encoded)), &again))
			is.Equal(again, m)
		}
	})
}
