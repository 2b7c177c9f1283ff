// Package caller is the balancer's UDP socket towards the fabric, the network that delivers the datagrams of callers to
// the balancer and the balancer's datagrams to callers. Both directions carry envelopes, which name the caller and the
// service address.
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
// without any allocation. The structs and their slices are valid only until the handler returns, so a handler that
// keeps a ticket, a payload or an envelope must copy it. Strings may be kept.
//
// Sending never blocks: a datagram that the socket does not take at once is dropped and counted. Callers have to cope
// with the loss anyway, since the network may lose datagrams too. All other errors are counted as well, see Counters.
// Nothing is logged, since a datagram that is dropped changes no state.
package caller
