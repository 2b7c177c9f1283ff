// Package backend holds the generated protobuf messages between a balancer and a backend server.
//
// # Usage
//
// io/protocol/wire converts them from and to the structs of core/state/packet, which the other packages use. The
// messages are defined in io/protocol/wire/proto/backend.proto; "make generate" generates the code.
package backend
