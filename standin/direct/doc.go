// Package direct contains small stand-ins for the systems around a balancer in the direct return mode. They implement
// the published protocol: the store with watches, endpoints that register and answer clients directly, and clients
// behind a fabric that hashes flows over the balancers which are ready.
//
// # Usage
//
//	store := direct.NewStore()
//	listener, err := store.Listen("127.0.0.1:7600") // one for each balancer whose store calls fail separately
//	endpoint, err := direct.StartEndpoint(store, direct.EndpointSettings{ID: "i-1", Service: "feed", ClientPort: port})
//	load, err := direct.StartClients(direct.ClientSettings{Routes: routes, Balancers: balancers, ClientPort: port})
//	result := load.Stop()
//
// Everything runs on loopback. Clients and balancers have separate addresses in 127.0.0.0/8, because endpoints and
// balancers send to a client's address at one port that all clients share.
package direct
