package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Header layout and flags of PROTOCOL.md, "Packets".
const (
	headerBytes = 32
	numberBytes = 8
	flagReset   = 1
	flagSyn     = 2
	flagFin     = 4
	flagAck     = 32
)

type packet struct {
	seq, ack, echo uint32
	src, dst       netip.AddrPort
	flags          byte
	data           []byte
	sum            uint32
}

// flowKey names a flow by the ends of the client's packets.
type flowKey struct{ client, service netip.AddrPort }

// sumOf is the keyed sum over all fields except echo and pad. Only clients and endpoints know it.
func (p *packet) sumOf() uint32 {
	q := *p
	q.sum, q.echo = 0, 0
	h := fnv.New32a()
	_, _ = h.Write([]byte("key of the two ends"))
	_, _ = h.Write(q.encode())
	return h.Sum32() | 1
}

func (p *packet) encode() []byte {
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
	binary.BigEndian.PutUint32(b[24:], p.sum)
	binary.BigEndian.PutUint32(b[28:], p.echo)
	return append(b, p.data...)
}

func decode(b []byte) (p packet, ok bool) {
	if len(b) < headerBytes || int(binary.BigEndian.Uint16(b[8:])) != len(b)-headerBytes {
		return p, false
	}
	address := func(ip, port int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte(b[ip:ip+4])), binary.BigEndian.Uint16(b[port:]))
	}
	return packet{
		seq: binary.BigEndian.Uint32(b), ack: binary.BigEndian.Uint32(b[4:]), echo: binary.BigEndian.Uint32(b[28:]),
		src: address(10, 18), dst: address(14, 20), flags: b[22], sum: binary.BigEndian.Uint32(b[24:]),
		data: append([]byte(nil), b[headerBytes:]...),
	}, true
}
