// Package direct holds small stand-ins of what surrounds a balancer in the direct return mode, written over the published
// protocol: the store with watches, endpoints that register and answer clients directly, and clients behind a fabric that
// hashes flows over the balancers which are ready.
//
// # Usage
//
//	store := direct.NewStore()
//	door, err := store.Listen("127.0.0.1:7600") // one for each balancer whose calls fail on their own
//	endpoint, err := direct.StartEndpoint(store, direct.EndpointSettings{ID: "i-1", Service: "feed", ClientPort: port})
//	load, err := direct.StartClients(direct.ClientSettings{Routes: routes, Balancers: balancers, ClientPort: port})
//	result := load.Stop()
//
// All of it runs on loopback. Clients and balancers have addresses of their own in 127.0.0.0/8, because endpoints and
// balancers send to a client's address at one port that all clients share.
package direct
