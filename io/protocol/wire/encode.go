package wire

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// The append functions omit zero values, as proto3 does.

func appendUint(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.VarintType)
	return protowire.AppendVarint(dst, v)
}

func appendBool(dst []byte, field protowire.Number, v bool) []byte {
	if !v {
		return dst
	}
	return appendUint(dst, field, 1)
}

func appendFixed64(dst []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.Fixed64Type)
	return protowire.AppendFixed64(dst, v)
}

func appendBytes(dst []byte, field protowire.Number, v []byte) []byte {
	if len(v) == 0 {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	return protowire.AppendBytes(dst, v)
}

func appendString(dst []byte, field protowire.Number, v string) []byte {
	if v == "" {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	return protowire.AppendString(dst, v)
}

func appendFlowID(dst []byte, field protowire.Number, id [16]byte) []byte {
	if id == [16]byte{} {
		return dst
	}
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	dst = append(dst, byte(len(id)))
	return append(dst, id[:]...)
}

// appendAddress encodes an IPv4-mapped IPv6 address as IPv4, so that each address has only one encoding. IPv6 zones are
// omitted, because they have no meaning on another host.
func appendAddress(dst []byte, field protowire.Number, a netip.AddrPort) []byte {
	if !a.IsValid() {
		return dst
	}
	ip := a.Addr().Unmap()
	dst = protowire.AppendTag(dst, field, protowire.BytesType)
	if ip.Is4() {
		b := ip.As4()
		dst = append(dst, addressBytes4)
		dst = append(dst, b[:]...)
	} else {
		b := ip.As16()
		dst = append(dst, addressBytes16)
		dst = append(dst, b[:]...)
	}
	return append(dst, byte(a.Port()>>8), byte(a.Port()))
}

// encodeDuration returns a duration in microseconds, clamped to the range from 0 to MaxDuration.
func encodeDuration(d time.Duration) uint64 {
	return uint64(min(max(d, 0), MaxDuration) / time.Microsecond)
}
