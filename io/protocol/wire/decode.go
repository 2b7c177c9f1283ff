package wire

import (
	"encoding/binary"
	"net/netip"
	"time"
	"unicode/utf8"

	"cornellb/core/state/packet"

	"google.golang.org/protobuf/encoding/protowire"
)

const (
	// MaxDuration bounds the durations in messages. A longer timeout is of no use to a caller, and the bound keeps sums
	// with the current time far from overflow.
	MaxDuration = 24 * time.Hour
	// MaxTicketBytes bounds an encoded ticket in a packet. It holds a ticket whose names all have the largest length.
	MaxTicketBytes = 360
	// MaxEnvelopeOverheadBytes bounds what Envelope and Forward add to a packet: two addresses of up to 18 bytes, the
	// hops, tags and lengths, and some room for later fields.
	MaxEnvelopeOverheadBytes = 64
	// MaxSegments bounds the number of segments of an answer. It allows segments of 256 bytes for the largest answer.
	MaxSegments = packet.MaxAnswerBytes / 256

	addressBytes4  = 4 + 2
	addressBytes16 = 16 + 2
)

// Wire types as the low bits of a field key.
const (
	typeVarint  = uint64(protowire.VarintType)
	typeFixed64 = uint64(protowire.Fixed64Type)
	typeBytes   = uint64(protowire.BytesType)
)

// Decoder decodes datagrams. It is not safe for concurrent use.
type Decoder struct {
	names interner
}

// NewDecoder returns a decoder with an empty intern table.
func NewDecoder() *Decoder { return &Decoder{names: interner{}} }

// reader walks over the fields of one encoded message. After the first fault, next returns false.
type reader struct {
	rest   []byte
	key    uint64 // field number and wire type, as in the encoded tag
	number uint64 // value of a varint or fixed64 field
	data   []byte // value of a bytes field
	field  string // field at fault
	reason Reason // first fault; empty without one
}

// next reads one field. Fields with wire types that no message uses are checked for their form only.
func (r *reader) next() bool {
	if len(r.rest) == 0 || r.reason != "" {
		return false
	}
	num, typ, n := protowire.ConsumeTag(r.rest)
	if n < 0 || num > protowire.MaxValidNumber {
		return r.malformed()
	}
	r.rest = r.rest[n:]
	r.key = uint64(num)<<3 | uint64(typ)
	switch typ {
	case protowire.VarintType:
		r.number, n = protowire.ConsumeVarint(r.rest)
	case protowire.Fixed64Type:
		r.number, n = protowire.ConsumeFixed64(r.rest)
	case protowire.BytesType:
		r.data, n = protowire.ConsumeBytes(r.rest)
	default:
		n = protowire.ConsumeFieldValue(num, typ, r.rest)
	}
	if n < 0 {
		return r.malformed()
	}
	r.rest = r.rest[n:]
	return true
}

func (r *reader) malformed() bool {
	r.fail("", ReasonMalformed)
	return false
}

func (r *reader) fail(field string, reason Reason) {
	if r.reason == "" {
		r.field, r.reason = field, reason
	}
}

// err returns the first fault as a *DecodeError.
func (r *reader) err(message string) error {
	if r.reason == "" {
		return nil
	}
	return &DecodeError{Message: message, Field: r.field, Reason: r.reason}
}

// enum returns an enum value below count. Like protobuf, it drops all but the low 32 bits.
func (r *reader) enum(field string, count uint8) uint8 {
	v := uint32(r.number)
	if v >= uint32(count) {
		r.fail(field, ReasonOutOfRange)
		return 0
	}
	return uint8(v)
}

// uint32 returns the low 32 bits of a varint, as protobuf does, and checks the limit.
func (r *reader) uint32(field string, limit uint32) uint32 {
	v := uint32(r.number)
	if v > limit {
		r.fail(field, ReasonOutOfRange)
	}
	return v
}

func (r *reader) bool() bool { return r.number != 0 }

func (r *reader) duration(field string) time.Duration {
	if r.number > uint64(MaxDuration/time.Microsecond) {
		r.fail(field, ReasonOutOfRange)
		return 0
	}
	return time.Duration(r.number) * time.Microsecond
}

// bytes returns a value that aliases the input; nil if it is empty.
func (r *reader) bytes(field string, limit int) []byte {
	if len(r.data) > limit {
		r.fail(field, ReasonTooLong)
		return nil
	}
	if len(r.data) == 0 {
		return nil
	}
	return r.data[:len(r.data):len(r.data)]
}

func (r *reader) name(field string, names interner) string {
	if len(r.data) > packet.MaxNameBytes {
		r.fail(field, ReasonTooLong)
		return ""
	}
	if !utf8.Valid(r.data) {
		r.fail(field, ReasonNotUTF8)
		return ""
	}
	return names.intern(r.data)
}

// flow returns a flow ID. An empty value stands for the zero ID, which encoders leave out.
func (r *reader) flow(field string) packet.FlowID {
	var id packet.FlowID
	if len(r.data) != 0 && len(r.data) != len(id) {
		r.fail(field, ReasonLength)
		return id
	}
	copy(id[:], r.data)
	return id
}

// address returns an address. An empty value stands for the invalid address, which encoders leave out.
func (r *reader) address(field string) netip.AddrPort {
	a, ok := decodeAddress(r.data)
	if !ok {
		r.fail(field, ReasonLength)
	}
	return a
}

func decodeAddress(b []byte) (netip.AddrPort, bool) {
	switch len(b) {
	case 0:
		return netip.AddrPort{}, true
	case addressBytes4:
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b)), binary.BigEndian.Uint16(b[4:])), true
	case addressBytes16:
		return netip.AddrPortFrom(netip.AddrFrom16([16]byte(b)).Unmap(), binary.BigEndian.Uint16(b[16:])), true
	}
	return netip.AddrPort{}, false
}
