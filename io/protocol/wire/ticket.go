package wire

import (
	"crypto/hmac"
	"crypto/sha256"
	"hash"
	"math"
	"slices"
	"sync"
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// Field numbers of Ticket.
const (
	ticketFlow     = 1
	ticketService  = 2
	ticketCustomer = 3
	ticketClass    = 4
	ticketPool     = 5
	ticketDomain   = 6
	ticketGroup    = 7
	ticketOwner    = 8
	ticketEndpoint = 9
	ticketIssuedAt = 10
	ticketSerial   = 11
)

const (
	macBytes           = 16
	ticketHeaderBytes  = 1 + macBytes // key ID and authentication code
	minSecretBytes     = 16
	typicalTicketBytes = 200
	// maxIssuedAt is the last second of the year 9999.
	maxIssuedAt = 253402300799
)

// AppendTicket appends the encoded ticket message, without key ID and authentication code, and returns the extended
// slice.
func AppendTicket(dst []byte, t *flow.Ticket) []byte {
	dst = appendFlowID(dst, ticketFlow, t.Flow)
	dst = appendString(dst, ticketService, t.Service)
	dst = appendString(dst, ticketCustomer, t.Customer)
	dst = appendUint(dst, ticketClass, uint64(t.Class))
	dst = appendString(dst, ticketPool, t.Shard.Pool)
	dst = appendString(dst, ticketDomain, t.Shard.FailureDomain)
	dst = appendUint(dst, ticketGroup, uint64(t.Shard.Group))
	dst = appendFixed64(dst, ticketOwner, uint64(t.Grant.Owner))
	dst = appendAddress(dst, ticketEndpoint, t.Endpoint)
	dst = appendUint(dst, ticketIssuedAt, uint64(max(t.IssuedAt.Unix(), 0)))
	return appendUint(dst, ticketSerial, t.Grant.Serial)
}

// DecodeTicket overwrites t with the decoded ticket message. It does not authenticate the message. The error is a
// *DecodeError; t is not usable then.
func (d *Decoder) DecodeTicket(b []byte, t *flow.Ticket) error {
	*t = flow.Ticket{}
	r := fieldReader{rest: b}
	for r.next() {
		d.decodeTicketField(&r, t)
	}
	return r.err("Ticket")
}

func (d *Decoder) decodeTicketField(r *fieldReader, t *flow.Ticket) {
	switch r.key {
	case ticketFlow<<3 | typeBytes:
		t.Flow = r.flowID("flow")
	case ticketService<<3 | typeBytes:
		t.Service = r.name("service", d.names)
	case ticketCustomer<<3 | typeBytes:
		t.Customer = r.name("customer", d.names)
	case ticketClass<<3 | typeVarint:
		t.Class = packet.Class(r.enum("class", uint8(packet.ClassCount)))
	case ticketPool<<3 | typeBytes:
		t.Shard.Pool = r.name("pool", d.names)
	case ticketDomain<<3 | typeBytes:
		t.Shard.FailureDomain = r.name("failure_domain", d.names)
	case ticketGroup<<3 | typeVarint:
		t.Shard.Group = r.uint32("group", math.MaxUint32)
	case ticketOwner<<3 | typeFixed64:
		t.Grant.Owner = member.Incarnation(r.value)
	case ticketEndpoint<<3 | typeBytes:
		t.Endpoint = r.address("endpoint")
	case ticketIssuedAt<<3 | typeVarint:
		t.IssuedAt = r.seconds("issued_at_seconds")
	case ticketSerial<<3 | typeVarint:
		t.Grant.Serial = r.value
	}
}

// seconds returns a Unix time. Zero stands for the zero time, which encoders omit.
func (r *fieldReader) seconds(field string) time.Time {
	if r.value > maxIssuedAt {
		r.fail(field, ReasonOutOfRange)
	}
	if r.value == 0 || r.reason != "" {
		return time.Time{}
	}
	return time.Unix(int64(r.value), 0).UTC()
}

// Key is a secret key that authenticates tickets. Each sealed ticket carries the ID of its key, so that keys can be
// replaced while tickets of the old key are in use.
type Key struct {
	ID     uint8
	Secret []byte // at least 16 bytes
}

// TicketCodec seals and opens tickets. It is safe for concurrent use.
type TicketCodec struct {
	keys []*ticketKey // the first one seals
}

type ticketKey struct {
	id     uint8
	states sync.Pool // of *ticketState
}

// ticketState holds the keyed hash and the buffers for one call of Seal or Open. Pooling it avoids the key schedule of
// HMAC and all allocations.
type ticketState struct {
	hash    hash.Hash
	id      [1]byte
	sum     [sha256.Size]byte
	decoder *Decoder
}

// NewTicketCodec returns a codec that seals tickets with the first key and opens tickets of all keys. The error is a
// *KeyError.
func NewTicketCodec(keys []Key) (*TicketCodec, error) {
	if len(keys) == 0 {
		return nil, &KeyError{Reason: "no key given"}
	}
	c := &TicketCodec{}
	for _, k := range keys {
		if len(k.Secret) < minSecretBytes {
			return nil, &KeyError{ID: k.ID, Reason: "secret is shorter than 16 bytes"}
		}
		if c.key(k.ID) != nil {
			return nil, &KeyError{ID: k.ID, Reason: "ID is used twice"}
		}
		c.keys = append(c.keys, newTicketKey(k))
	}
	return c, nil
}

func newTicketKey(k Key) *ticketKey {
	secret := slices.Clone(k.Secret)
	t := &ticketKey{id: k.ID}
	t.states.New = func() any {
		return &ticketState{hash: hmac.New(sha256.New, secret), id: [1]byte{k.ID}, decoder: NewDecoder()}
	}
	return t
}

func (c *TicketCodec) key(id uint8) *ticketKey {
	for _, k := range c.keys {
		if k.id == id {
			return k
		}
	}
	return nil
}

// mac returns the authentication code of an encoded ticket message. It is valid until the next call.
func (s *ticketState) mac(body []byte) []byte {
	s.hash.Reset()
	s.hash.Write(s.id[:])
	s.hash.Write(body)
	return s.hash.Sum(s.sum[:0])[:macBytes]
}

// Seal returns the sealed ticket: the ID of the first key, the authentication code and the encoded ticket message.
func (c *TicketCodec) Seal(t *flow.Ticket) []byte {
	k := c.keys[0]
	b := make([]byte, ticketHeaderBytes, typicalTicketBytes)
	b[0] = k.id
	b = AppendTicket(b, t)
	s := k.states.Get().(*ticketState)
	copy(b[1:], s.mac(b[ticketHeaderBytes:]))
	k.states.Put(s)
	return b
}

// Open verifies the authentication code of a sealed ticket and overwrites t with the decoded ticket, which does not
// alias encoded. The error is a *DecodeError; t is unchanged if the code does not match.
func (c *TicketCodec) Open(encoded []byte, t *flow.Ticket) error {
	if len(encoded) < ticketHeaderBytes {
		return &DecodeError{Message: "Ticket", Reason: ReasonMalformed}
	}
	if len(encoded) > MaxTicketBytes {
		return &DecodeError{Message: "Ticket", Reason: ReasonTooLong}
	}
	k := c.key(encoded[0])
	if k == nil {
		return &DecodeError{Message: "Ticket", Reason: ReasonUnknownKey}
	}
	s := k.states.Get().(*ticketState)
	err := s.open(encoded, t)
	k.states.Put(s)
	return err
}

// open verifies and decodes a sealed ticket. Its length and key ID must have been checked.
func (s *ticketState) open(encoded []byte, t *flow.Ticket) error {
	body := encoded[ticketHeaderBytes:]
	if !hmac.Equal(s.mac(body), encoded[1:ticketHeaderBytes]) {
		return &DecodeError{Message: "Ticket", Reason: ReasonForged}
	}
	return s.decoder.DecodeTicket(body, t)
}
