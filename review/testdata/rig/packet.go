package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

const (
	headerBytes = 32
	flagReset   = 1
	flagSyn     = 2
	flagFin     = 4
	flagAck     = 32
)

// packet is one packet of a flow, as PROTOCOL.md lays it out.
type packet struct {
	seq, ack, echo uint32
	src, dst       netip.AddrPort
	flags          byte
	data           []byte
}

// sum returns the keyed sum over all fields except echo and pad. It is never 0.
func (p *packet) sum() uint32 {
	b := p.encode(0)
	clear(b[28:32])
	h := fnv.New32a()
	_, _ = h.Write([]byte("known to clients and endpoints only"))
	_, _ = h.Write(b)
	return h.Sum32() | 1
}

func (p *packet) encode(sum uint32) []byte {
	b := make([]byte, headerBytes, headerBytes+len(p.data))
	binary.BigEndian.PutUint32(b, p.seq)
	binary.BigEndian.PutUint32(b[4:], p.ack)
	binary.BigEndian.PutUint16(b[8:], uint16(len(p.data)))
	src, dst := p.src.Addr().As4(), p.dst.Addr().As4()
	copy(b[10:], src[:])
	copy(b[14:], dst[:])
	binary.BigEndian.PutUint16(b[18:], p.src.Port())
	binary.BigEndian.PutUint16(b[20:], p.dst.Port())
	b[22] = p.flags
	binary.BigEndian.PutUint32(b[24:], sum)
	binary.BigEndian.PutUint32(b[28:], p.echo)
	return append(b, p.data...)
}

// decode parses a packet. isSealed is whether the sum is the one of its sender.
func decode(b []byte) (p packet, isSealed, ok bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[8:])) != len(b)-headerBytes {
		return p, false, false
	}
	p = packet{
		seq: binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]), echo: binary.BigEndian.Uint32(b[28:]),
		src:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[10:14])), binary.BigEndian.Uint16(b[18:])),
		dst:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[14:18])), binary.BigEndian.Uint16(b[20:])),
		flags: b[22], data: append([]byte(nil), b[headerBytes:]...),
	}
	return p, binary.BigEndian.Uint32(b[24:]) == p.sum(), true
}
