// Package settings reads the YAML settings of a balancer.
//
// # Usage
//
//	s, err := settings.Load("balancer.yaml")
//
// Load checks all settings and reports all faults at once as a *FaultsError. Durations are written like "300ms" or
// "30s", addresses like "192.0.2.1:7000".
package settings

import "time"

// staticcheck SA5008 reports the options of go-zero's conf package in json tags, such as default and range, as unknown
// options of encoding/json. encoding/json does not read these structs.
//
//lint:file-ignore SA5008 the json tags hold options of go-zero's conf package

// TicketKey is one key that authenticates tickets.
type TicketKey struct {
	ID     uint8  `json:"id"`
	Secret string `json:"secret"` // hexadecimal, at least 16 bytes
}

// Weights are the weights of the scheduling classes, which set their guaranteed shares.
type Weights struct {
	Urgent float64 `json:"urgent,default=6"`
	Normal float64 `json:"normal,default=3"`
	Bulk   float64 `json:"bulk,default=1"`
}

// Log selects the format and the level of log lines.
type Log struct {
	Format string `json:"format,default=json,options=json|text"`
	Level  string `json:"level,default=info,options=debug|info|warn|error"`
}

// Settings are the settings of one balancer. docs/OPERATIONS.md describes each of them.
type Settings struct {
	ID              string        `json:"id"`                                                              // name of the host, unique among all balancers
	FailureDomain   string        `json:"failure_domain"`                                                  // same name as in the pools table
	CallerAddress   string        `json:"caller_address"`                                                  // UDP; receives packets of callers from the fabric
	FabricAddress   string        `json:"fabric_address"`                                                  // UDP; the fabric receives packets for callers there
	PeerAddress     string        `json:"peer_address"`                                                    // UDP and TCP; receives from other balancers
	OperatorAddress string        `json:"operator_address"`                                                // HTTP: /healthz, /readyz, /metrics, /status
	Platform        string        `json:"platform"`                                                        // base URL of the object API
	Peers           []string      `json:"peers,optional"`                                                  // peer addresses of balancers to contact at start to join the fleet
	TicketKeys      []TicketKey   `json:"ticket_keys"`                                                     // the first key seals new tickets; tickets of each key are accepted
	RoutingMode     string        `json:"routing_mode,default=owner,options=owner|hash|least_connections"` // the modes other than owner are baselines for measurements
	ShardEndpoints  int           `json:"shard_endpoints,default=32,range=[1:1000]"`                       // largest number of endpoints in one pool shard
	QueueLimit      int           `json:"queue_limit,default=1024,range=[1:1000000]"`                      // largest number of queued requests in one pool shard
	MaxFlows        int           `json:"max_flows,default=200000,range=[1:10000000]"`                     // largest number of flows in one pool shard
	Weights         Weights       `json:"weights"`                                                         // of the scheduling classes
	FlowIdle        time.Duration `json:"flow_idle,default=5m"`                                            // the state of a flow without packets is removed after this time
	SlowStartStep   time.Duration `json:"slow_start_step,default=1s"`                                      // time without failures after which slow start gives a new endpoint one more slot
	ControlBytes    int           `json:"control_bytes_per_second,default=4096,range=[1024:1048576]"`      // limit of the gossip traffic
	DrainLimit      time.Duration `json:"drain_limit,default=30s"`                                         // time that requests in progress have to finish after SIGTERM
	Log             Log           `json:"log"`
}
