// Package caller is the balancer's UDP socket towards the fabric.
//
// # Usage
//
//	t, err := caller.Listen(caller.Settings{Listen: listen, Fabric: fabric}, handler)
//	...
//	t.SendCaller(service, to, &p)
//	...
//	err = t.Close()
//
// Several goroutines read the socket. Each decodes the envelope and the packet in its own buffer and calls the handler,
// without any allocation. The structs and their slices are valid until the handler returns, so a handler that keeps a
// ticket, a payload or an envelope must copy it. Strings may be kept.
//
// Sending never blocks: a datagram that the socket does not take at once is dropped and counted, as it might be lost in
// the network as well. All other faults are counted too; see Counters. There are no log lines, since a faulty datagram
// changes no state.
package caller
