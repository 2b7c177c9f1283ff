package direct

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

const (
	headerBytes = 32
	flagReset   = 1
	flagOpen    = 2
	flagEnd     = 4
	flagAck     = 32
)

// packet is one packet of a flow, from a client or from an endpoint.
type packet struct {
	sequence, acknowledgment, cookie uint32
	source, destination              netip.AddrPort
	flags                            byte
	data                             []byte
}

// checksum returns a keyed hash over everything that a balancer must not change: the whole packet but the cookie. It is
// never 0. Balancers do not know the key, so they cannot produce it.
func (p *packet) checksum() uint32 {
	b := p.encode(0)
	clear(b[28:32]) // the cookie
	h := xxhash.New()
	_, _ = h.WriteString("key of the two ends") // a hash never fails
	_, _ = h.Write(b)
	return uint32(h.Sum64()) | 1
}

func (p *packet) encode(sum uint32) []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b, p.sequence)
	binary.BigEndian.PutUint32(b[4:], p.acknowledgment)
	binary.BigEndian.PutUint16(b[8:], uint16(len(p.data)))
	source, destination := p.source.Addr().As4(), p.destination.Addr().As4()
	copy(b[10:], source[:])
	copy(b[14:], destination[:])
	binary.BigEndian.PutUint16(b[18:], p.source.Port())
	binary.BigEndian.PutUint16(b[20:], p.destination.Port())
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[24:], sum)
	binary.BigEndian.PutUint32(b[28:], p.cookie)
	return append(b, p.data...)
}

// decode parses a packet. hasWrongSum is true if the packet was changed on the way, or if a balancer wrote it. ok is
// false if the packet is malformed.
func decode(b []byte) (p packet, hasWrongSum, ok bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[8:])) != len(b)-headerBytes {
		return p, false, false
	}
	p = packet{
		sequence: binary.BigEndian.Uint32(b), acknowledgment: binary.BigEndian.Uint32(b[4:]),
		cookie: binary.BigEndian.Uint32(b[28:]), flags: b[22], data: append([]byte(nil), b[headerBytes:]...),
		source:      netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[18:])),
		destination: netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[20:])),
	}
	return p, binary.BigEndian.Uint32(b[24:]) != p.checksum(), true
}
