package wire

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"

	"cornellb/core/state/flow"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire/datagram"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// malformed holds inputs at the edges of the encoding: truncated tags, lengths and varints, an unknown field, a group,
// an end of a group, field number 0, a varint of 11 bytes, a known field with another wire type, enums above 32 bits.
var malformed = []string{
	"", "\x00", "\x08", "\x08\x01\x12\xff", "\x08\x01\xf8\x01\x05", "\x08\x01\x0b\x0c", "\x08\x01\x0c", "\x08\x01\x0b",
	"\x08" + strings.Repeat("\xff", 10) + "\x01", "\x09\x01\x02\x03\x04\x05\x06\x07\x08", "\x08\x81\x80\x80\x80\x10",
	"\x08\x01\x32\x02\xff\xfe", "\x08\x01\xff\xff\xff\xff\x7f\x01", "\xff\xff\xff\xff\x0f", "\x01\xff",
}

func seed(f *testing.F, valid ...[]byte) {
	for _, s := range malformed {
		f.Add([]byte(s))
	}
	for _, b := range valid {
		f.Add(b)
	}
}

// accepted reports whether a decoder took its input, and fails if it gave an error of another type than *DecodeError.
func accepted(t *testing.T, err error) bool {
	var e *DecodeError
	is.New(t).True(err == nil || errors.As(err, &e))
	return err == nil
}

// same fails unless the generated code reads the input as the message want.
func same(t *testing.T, b []byte, got, want proto.Message) {
	is := is.New(t)
	is.NoErr(proto.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(b, got))
	is.True(proto.Equal(got, want))
}

// FuzzPacket guards against a panic, and against a packet that the generated code reads differently.
func FuzzPacket(f *testing.F) {
	w := newForwarder(f)
	is.New(f).NoErr(w.run())
	seed(f, w.forward.Packet)
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		var p packet.Packet
		if accepted(t, d.DecodePacket(b, &p)) {
			var m datagram.Packet
			want := generatedPacket(&p)
			is.New(t).NoErr(proto.Unmarshal(b, &m))
			if len(m.Flow) == len(p.Flow) { // a zero ID is also encoded by leaving it out
				want.Flow = p.Flow[:]
			}
			same(t, b, &m, want)
		}
	})
}

// FuzzForward guards against a panic, and against an envelope or forward that the generated code reads differently.
func FuzzForward(f *testing.F) {
	w := newForwarder(f)
	is.New(f).NoErr(w.run())
	seed(f, w.in, w.out)
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		var e packet.Envelope
		var fw packet.Forward
		if accepted(t, d.DecodeEnvelope(b, &e)) {
			is.NoErr(proto.Unmarshal(b, &datagram.Envelope{}))
		}
		if accepted(t, d.DecodeForward(b, &fw)) {
			is.Equal(fw.Envelope, e)
			var m datagram.Forward
			is.NoErr(proto.Unmarshal(b, &m))
			same(t, b, &m, &datagram.Forward{Caller: m.Caller, Service: m.Service, Packet: fw.Packet, Hops: uint32(fw.Hops)})
		}
	})
}

// FuzzTicket guards against a panic, against a forged ticket that opens, and against a ticket that changes when it is
// encoded again.
func FuzzTicket(f *testing.F) {
	c, k, valid := sealed(is.New(f))
	seed(f, AppendTicket(nil, &k), valid)
	d := NewDecoder()
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		var first, second flow.Ticket
		is.Equal(accepted(t, c.Open(b, &first)), bytes.Equal(b, valid))
		if accepted(t, d.DecodeTicket(b, &first)) {
			is.NoErr(proto.Unmarshal(b, &datagram.Ticket{}))
			is.NoErr(d.DecodeTicket(AppendTicket(nil, &first), &second))
			is.Equal(first, second)
		}
	})
}

// FuzzBackend guards against a panic, and against a frame beyond the limits that is accepted or read past its end.
func FuzzBackend(f *testing.F) {
	frame, _ := AppendBackend(nil, &packet.Backend{Kind: packet.BackendRun, Service: "reminders", Payload: []byte("x")})
	seed(f, frame, frame[:5], []byte("\xff\xff\xff\x7f"), []byte("\x02\x08\x01\x02\x08\x07"))
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		r := bufio.NewReader(bytes.NewReader(b))
		for {
			var m, again packet.Backend
			err := ReadBackend(r, &m)
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || !accepted(t, err) {
				return
			}
			encoded, err := AppendBackend(nil, &m)
			is.NoErr(err)
			is.NoErr(ReadBackend(bufio.NewReader(bytes.NewReader(encoded)), &again))
			is.Equal(again, m)
		}
	})
}
