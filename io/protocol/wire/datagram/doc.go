// Package datagram holds the generated protobuf messages between callers and balancers.
//
// # Usage
//
// io/protocol/wire converts them from and to the structs of core/state/packet, which the other packages use. The
// messages are defined in io/protocol/wire/proto/datagram.proto; "make generate" generates the code.
package datagram
