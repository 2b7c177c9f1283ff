// Package wire converts the structs of core/state/packet and core/state/flow from and to the protobuf messages of the
// data path.
//
// # Usage
//
// The codecs of datagrams (Packet, Envelope, Forward and the ticket inside a packet) are written by hand with
// protowire, because the generated code allocates for each message and a balancer handles one for every packet. They
// produce the same encoding as the generated code in the datagram package; a test compares both.
//
//	buffer = wire.AppendPacket(buffer[:0], &p)
//
//	d := wire.NewDecoder() // one per goroutine
//	err := d.DecodePacket(datagram, &p)
//
// Byte slices of a decoded struct alias the input. Strings come from the decoder's bounded intern table, so that
// repeated names do not allocate. Unknown fields, and known fields with another wire type, are ignored, as in protobuf.
//
// TicketCodec seals tickets, that is, encodes them with an authentication code, and opens them, that is, verifies the
// code and decodes them. It is safe for concurrent use.
//
// AppendBackend and ReadBackend encode and decode the frames to and from backend servers with the generated code,
// because a frame is copied only once per request and answers may be large.
//
// All decoding errors are *DecodeError with the message, the field and a reason. Durations are sent in microseconds,
// rounded down. Durations below 0 or above MaxDuration are clamped when encoded; longer ones are rejected when decoded.
package wire
