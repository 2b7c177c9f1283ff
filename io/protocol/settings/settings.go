// Package settings reads the YAML settings of a balancer.
//
// # Usage
//
//	s, err := settings.Load("balancer.yaml")
//
// Load checks everything and reports all faults at once as a *FaultsError. Durations are written like "300ms" or "30s",
// addresses like "192.0.2.1:7000".
package settings

import "time"

// SA5008 takes the options of go-zero's conf package in json tags, such as default and range, for options of
// encoding/json, which does not read these structs.
//
//lint:file-ignore SA5008 the json tags hold options of go-zero's conf package

// TicketKey is one key that authenticates tickets.
type TicketKey struct {
	ID     uint8  `json:"id"`
	Secret string `json:"secret"` // hexadecimal, at least 16 bytes
}

// Weights are the guaranteed shares of the classes.
type Weights struct {
	Urgent float64 `json:"urgent,default=6"`
	Normal float64 `json:"normal,default=3"`
	Bulk   float64 `json:"bulk,default=1"`
}

// Log selects the form and the level of log lines.
type Log struct {
	Format string `json:"format,default=json,options=json|text"`
	Level  string `json:"level,default=info,options=debug|info|warn|error"`
}

// Settings are the settings of one balancer. docs/OPERATIONS.md describes each of them.
type Settings struct {
	ID              string        `json:"id"`                                                              // name of the host, unique in the fleet
	FailureDomain   string        `json:"failure_domain"`                                                  // as used in the pools table
	CallerAddress   string        `json:"caller_address"`                                                  // UDP, receives from the fabric
	FabricAddress   string        `json:"fabric_address"`                                                  // UDP, takes packets for callers
	PeerAddress     string        `json:"peer_address"`                                                    // UDP and TCP, for other balancers
	OperatorAddress string        `json:"operator_address"`                                                // HTTP: /healthz, /readyz, /metrics, /status
	Platform        string        `json:"platform"`                                                        // base URL of the object API
	Peers           []string      `json:"peers,optional"`                                                  // peer addresses to join through
	TicketKeys      []TicketKey   `json:"ticket_keys"`                                                     // the first seals, all open
	RoutingMode     string        `json:"routing_mode,default=owner,options=owner|hash|least_connections"` // all but owner are baselines for measurements
	ShardEndpoints  int           `json:"shard_endpoints,default=32,range=[1:1000]"`                       // endpoints in one pool shard
	QueueLimit      int           `json:"queue_limit,default=1024,range=[1:1000000]"`                      // waiting requests in one pool shard
	MaxFlows        int           `json:"max_flows,default=200000,range=[1:10000000]"`                     // flows in one pool shard
	Weights         Weights       `json:"weights"`                                                         // of the classes
	FlowIdle        time.Duration `json:"flow_idle,default=5m"`                                            // a flow without packets is forgotten after this time
	SlowStartStep   time.Duration `json:"slow_start_step,default=1s"`                                      // time of good answers that earns a new endpoint its next slot
	ControlBytes    int           `json:"control_bytes_per_second,default=4096,range=[1024:1048576]"`      // gossip budget
	DrainLimit      time.Duration `json:"drain_limit,default=30s"`                                         // requests in progress may take this long after SIGTERM
	Log             Log           `json:"log"`
}
