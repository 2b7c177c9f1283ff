package wire

import (
	"math"
	"net/netip"

	"cornellb/core/state/packet"
)

// Field numbers of Packet.
const (
	packetKind       = 1
	packetFlow       = 2
	packetTicket     = 3
	packetRequest    = 4
	packetClass      = 5
	packetCustomer   = 6
	packetIdempotent = 7
	packetTimeout    = 8
	packetReason     = 9
	packetPayload    = 10
	packetSegment    = 11
	packetSegments   = 12
	packetSize       = 13
	packetDigest     = 14
	packetSequence   = 15
	packetRetryAfter = 16
	packetFeed       = 17
)

// AppendPacket appends the encoded packet to dst and returns the extended slice.
func AppendPacket(dst []byte, p *packet.Packet) []byte {
	dst = appendUint(dst, packetKind, uint64(p.Kind))
	dst = appendFlowID(dst, packetFlow, p.Flow)
	dst = appendBytes(dst, packetTicket, p.Ticket)
	dst = appendUint(dst, packetRequest, p.Request)
	dst = appendUint(dst, packetClass, uint64(p.Class))
	dst = appendString(dst, packetCustomer, p.Customer)
	dst = appendBool(dst, packetIdempotent, p.Idempotent)
	dst = appendUint(dst, packetTimeout, encodeDuration(p.Timeout))
	dst = appendUint(dst, packetReason, uint64(p.Reason))
	dst = appendBytes(dst, packetPayload, p.Payload)
	dst = appendUint(dst, packetSegment, uint64(p.Segment))
	dst = appendUint(dst, packetSegments, uint64(p.Segments))
	dst = appendUint(dst, packetSize, uint64(p.Size))
	dst = appendFixed64(dst, packetDigest, p.Digest)
	dst = appendUint(dst, packetSequence, p.Sequence)
	dst = appendUint(dst, packetRetryAfter, encodeDuration(p.RetryAfter))
	return appendString(dst, packetFeed, p.Feed)
}

// DecodePacket overwrites p with the decoded packet. The ticket and the payload alias b. A packet without a kind is
// rejected. The error is a *DecodeError; p is not usable then.
func (d *Decoder) DecodePacket(b []byte, p *packet.Packet) error {
	*p = packet.Packet{}
	if len(b) > packet.MaxDatagramBytes {
		return &DecodeError{Message: "Packet", Reason: ReasonTooLong}
	}
	r := fieldReader{rest: b}
	for r.next() {
		d.decodePacketField(&r, p)
	}
	if p.Kind == packet.KindInvalid {
		r.fail("kind", ReasonOutOfRange)
	}
	return r.err("Packet")
}

func (d *Decoder) decodePacketField(r *fieldReader, p *packet.Packet) {
	switch r.key {
	case packetKind<<3 | typeVarint:
		p.Kind = packet.Kind(r.enum("kind", uint8(packet.KindCount)))
	case packetFlow<<3 | typeBytes:
		p.Flow = r.flowID("flow")
	case packetTicket<<3 | typeBytes:
		p.Ticket = r.bytes("ticket", MaxTicketBytes)
	case packetRequest<<3 | typeVarint:
		p.Request = r.value
	case packetClass<<3 | typeVarint:
		p.Class = packet.Class(r.enum("class", uint8(packet.ClassCount)))
	case packetCustomer<<3 | typeBytes:
		p.Customer = r.name("customer", d.names)
	case packetIdempotent<<3 | typeVarint:
		p.Idempotent = r.bool()
	case packetTimeout<<3 | typeVarint:
		p.Timeout = r.duration("timeout_microseconds")
	case packetReason<<3 | typeVarint:
		p.Reason = packet.Reason(r.enum("reason", uint8(packet.ReasonCount)))
	case packetPayload<<3 | typeBytes:
		p.Payload = r.bytes("payload", packet.MaxPayloadBytes)
	default:
		d.decodeRarePacketField(r, p)
	}
}

// decodeRarePacketField decodes the fields for segments, feeds and retries, which most requests do not have.
func (d *Decoder) decodeRarePacketField(r *fieldReader, p *packet.Packet) {
	switch r.key {
	case packetSegment<<3 | typeVarint:
		p.Segment = r.uint32("segment", MaxSegments)
	case packetSegments<<3 | typeVarint:
		p.Segments = r.uint32("segments", MaxSegments)
	case packetSize<<3 | typeVarint:
		p.Size = r.uint32("size", packet.MaxAnswerBytes)
	case packetDigest<<3 | typeFixed64:
		p.Digest = r.value
	case packetSequence<<3 | typeVarint:
		p.Sequence = r.value
	case packetRetryAfter<<3 | typeVarint:
		p.RetryAfter = r.duration("retry_after_microseconds")
	case packetFeed<<3 | typeBytes:
		p.Feed = r.name("feed", d.names)
	}
}

// Field numbers of Envelope and Forward.
const (
	envelopeCaller  = 1
	envelopeService = 2
	envelopePacket  = 3
	forwardHops     = 4
	forwardSpill    = 5
)

// AppendEnvelope appends the encoded envelope to dst and returns the extended slice.
func AppendEnvelope(dst []byte, e *packet.Envelope) []byte {
	dst = appendAddress(dst, envelopeCaller, e.Caller)
	dst = appendAddress(dst, envelopeService, e.Service)
	return appendBytes(dst, envelopePacket, e.Packet)
}

// DecodeEnvelope overwrites e with the decoded envelope. The packet aliases b and is not decoded. The caller address is
// required; the service address may be absent, as in an envelope to the fabric. The error is a *DecodeError; e is not
// usable then.
func (d *Decoder) DecodeEnvelope(b []byte, e *packet.Envelope) error {
	*e = packet.Envelope{}
	if len(b) > packet.MaxDatagramBytes+MaxEnvelopeOverheadBytes {
		return &DecodeError{Message: "Envelope", Reason: ReasonTooLong}
	}
	r := fieldReader{rest: b}
	for r.next() {
		decodeEnvelopeField(&r, e)
	}
	requireAddress(&r, "caller", e.Caller)
	return r.err("Envelope")
}

func decodeEnvelopeField(r *fieldReader, e *packet.Envelope) {
	switch r.key {
	case envelopeCaller<<3 | typeBytes:
		e.Caller = r.address("caller")
	case envelopeService<<3 | typeBytes:
		e.Service = r.address("service")
	case envelopePacket<<3 | typeBytes:
		e.Packet = r.bytes("packet", packet.MaxDatagramBytes)
	}
}

func requireAddress(r *fieldReader, field string, a netip.AddrPort) {
	if !a.IsValid() {
		r.fail(field, ReasonWrongLength)
	}
}

// AppendForward appends the encoded Forward to dst and returns the extended slice.
func AppendForward(dst []byte, f *packet.Forward) []byte {
	dst = AppendEnvelope(dst, &f.Envelope)
	dst = appendUint(dst, forwardHops, uint64(f.Hops))
	return appendUint(dst, forwardSpill, uint64(f.Spill))
}

// DecodeForward overwrites f with the decoded Forward. The packet aliases b and is not decoded. Both addresses are
// required. The error is a *DecodeError; f is not usable then.
func (d *Decoder) DecodeForward(b []byte, f *packet.Forward) error {
	*f = packet.Forward{}
	if len(b) > packet.MaxDatagramBytes+MaxEnvelopeOverheadBytes {
		return &DecodeError{Message: "Forward", Reason: ReasonTooLong}
	}
	r := fieldReader{rest: b}
	for r.next() {
		switch r.key {
		case forwardHops<<3 | typeVarint:
			f.Hops = uint8(r.uint32("hops", packet.MaxHops))
		case forwardSpill<<3 | typeVarint:
			f.Spill = uint8(r.uint32("spill", math.MaxUint8))
		default:
			decodeEnvelopeField(&r, &f.Envelope)
		}
	}
	requireAddress(&r, "caller", f.Caller)
	requireAddress(&r, "service", f.Service)
	return r.err("Forward")
}
