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
	// MaxDuration is the longest duration in a message. A caller has no use for a longer timeout, and the limit keeps
	// sums with the current time far from an overflow.
	MaxDuration = 24 * time.Hour
	// MaxTicketBytes is the largest sealed ticket in a packet. It suffices for names of the maximum length.
	MaxTicketBytes = 360
	// MaxEnvelopeOverheadBytes is the largest number of bytes that Envelope and Forward add to a packet: two addresses
	// of up to 18 bytes, hops and spill, tags and lengths, and some reserve for future fields.
	MaxEnvelopeOverheadBytes = 64
	// MaxSegments is the largest number of segments of an answer: the largest answer in segments of 256 bytes.
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

// Decoder decodes datagrams and ticket messages. It is not safe for concurrent use.
type Decoder struct {
	names interner
}

// NewDecoder returns a decoder with an empty intern table.
func NewDecoder() *Decoder { return &Decoder{names: interner{}} }

// fieldReader iterates over the fields of one encoded message. After the first error, next returns false.
type fieldReader struct {
	rest     []byte
	key      uint64       // field number and wire type, as in the encoded tag
	value    uint64       // of a varint or fixed64 field
	data     []byte       // of a bytes field
	errField string       // field of the first error; empty if the message as a whole is malformed
	reason   DecodeReason // of the first error; empty if there is none
}

// next reads one field. For wire types that no message uses, it only checks that the value is well-formed.
func (r *fieldReader) next() bool {
	if len(r.rest) == 0 || r.reason != "" {
		return false
	}
	num, typ, n := protowire.ConsumeTag(r.rest)
	if n < 0 || num > protowire.MaxValidNumber {
		return r.failMalformed()
	}
	r.rest = r.rest[n:]
	r.key = uint64(num)<<3 | uint64(typ)
	switch typ {
	case protowire.VarintType:
		r.value, n = protowire.ConsumeVarint(r.rest)
	case protowire.Fixed64Type:
		r.value, n = protowire.ConsumeFixed64(r.rest)
	case protowire.BytesType:
		r.data, n = protowire.ConsumeBytes(r.rest)
	default:
		n = protowire.ConsumeFieldValue(num, typ, r.rest)
	}
	if n < 0 {
		return r.failMalformed()
	}
	r.rest = r.rest[n:]
	return true
}

func (r *fieldReader) failMalformed() bool {
	r.fail("", ReasonMalformed)
	return false
}

func (r *fieldReader) fail(field string, reason DecodeReason) {
	if r.reason == "" {
		r.errField, r.reason = field, reason
	}
}

// err returns the first error as a *DecodeError, or nil.
func (r *fieldReader) err(message string) error {
	if r.reason == "" {
		return nil
	}
	return &DecodeError{Message: message, Field: r.errField, Reason: r.reason}
}

// enum returns an enum value, which must be below count. Like protobuf, it uses only the low 32 bits.
func (r *fieldReader) enum(field string, count uint8) uint8 {
	v := uint32(r.value)
	if v >= uint32(count) {
		r.fail(field, ReasonOutOfRange)
		return 0
	}
	return uint8(v)
}

// uint32 returns the low 32 bits of a varint, as protobuf does. The value must not exceed limit.
func (r *fieldReader) uint32(field string, limit uint32) uint32 {
	v := uint32(r.value)
	if v > limit {
		r.fail(field, ReasonOutOfRange)
	}
	return v
}

func (r *fieldReader) bool() bool { return r.value != 0 }

func (r *fieldReader) duration(field string) time.Duration {
	if r.value > uint64(MaxDuration/time.Microsecond) {
		r.fail(field, ReasonOutOfRange)
		return 0
	}
	return time.Duration(r.value) * time.Microsecond
}

// bytes returns a value that aliases the input, or nil if it is empty.
func (r *fieldReader) bytes(field string, limit int) []byte {
	if len(r.data) > limit {
		r.fail(field, ReasonTooLong)
		return nil
	}
	if len(r.data) == 0 {
		return nil
	}
	return r.data[:len(r.data):len(r.data)]
}

func (r *fieldReader) name(field string, names interner) string {
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

// flowID returns a flow ID. An empty value stands for the zero ID, which encoders omit.
func (r *fieldReader) flowID(field string) packet.FlowID {
	var id packet.FlowID
	if len(r.data) != 0 && len(r.data) != len(id) {
		r.fail(field, ReasonWrongLength)
		return id
	}
	copy(id[:], r.data)
	return id
}

// address returns an address. An empty value stands for the zero AddrPort, which encoders omit.
func (r *fieldReader) address(field string) netip.AddrPort {
	a, ok := decodeAddress(r.data)
	if !ok {
		r.fail(field, ReasonWrongLength)
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
