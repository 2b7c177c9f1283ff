// Package peer connects balancers to each other, with one UDP socket and one TCP listener on the same address.
//
// # Usage
//
//	r := peer.NewRunner(clock, events)
//	t, err := peer.Listen(peer.Settings{Listen: listen}, peer.Handlers{
//		Forward: forwarder, Gossip: r, Handover: owner, Tables: tables, Members: r,
//	})
//	r.Start(t, config, random) // config.Address is the address under which others reach t
//	...
//	t.SendForward(host.Address, encoded)
//	ack, err := t.SendHandover(ctx, host.Address, handover)
//	...
//	r.Leave()  // at the start of a drain
//	r.Depart() // at its end
//	r.Close()
//	err = t.Close()
//
// # Datagrams
//
// The first byte of a datagram is its type: 1 for a forwarded caller datagram, whose content this package does not
// inspect, 2 for gossip, 3 for an announcement and 4 for a load report. Sending does not block: a datagram that the
// socket does not accept at once is dropped and counted.
//
// # Streams
//
// TCP connections carry yamux sessions. Each stream carries one length-prefixed protobuf request and its reply. A
// session is dialled when it is needed, kept while it is used, and closed after SessionIdle without a stream. The
// number of sessions and of streams served at a time is limited, and each stream has a deadline. A failed call returns
// a *CallError, which names the stage of the failure; from StageRequest on, the peer may have handled the request.
//
// # Runner
//
// Runner owns the membership state machine (membership.Machine) and calls it from one goroutine with the real time.
package peer
