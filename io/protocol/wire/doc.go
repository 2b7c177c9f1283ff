// Package wire converts the structs of core/state/packet and core/state/flow from and to the protobuf messages that
// cross sockets.
//
// # Usage
//
// Datagrams (Packet, Envelope, Forward and the ticket inside a packet) are encoded and decoded by hand with protowire,
// since each balancer handles every packet of its share of the traffic and the generated code allocates for each
// message. The encoding is the one that the generated code in the datagram package produces; a test compares both.
//
//	buffer = wire.AppendPacket(buffer[:0], &p)
//
//	d := wire.NewDecoder() // one per goroutine
//	err := d.DecodePacket(datagram, &p)
//
// Byte slices of a decoded struct alias the input. Strings come from the decoder's bounded intern table, so that names
// that repeat do not allocate. Unknown fields, and known fields with another wire type, are ignored as protobuf does.
//
// TicketCodec seals and opens tickets and may be used by several goroutines at once.
//
// Frames to and from backend servers are handled by AppendBackend and ReadBackend with the generated code, since a
// frame is copied once per request only and answers may be large.
//
// All decoding errors are *DecodeError with the message, the field and a reason. Durations are sent in microseconds,
// rounded down, from 0 to MaxDuration; values outside are cut to the bounds when encoded and refused when decoded.
package wire
