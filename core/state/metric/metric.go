// Package metric holds the names of the counters, histograms and gauges of the decision core.
//
// # Usage
//
// Each package of the core declares an interface with the recorder methods that it needs. io/transport/operator exports
// every name here as an OpenTelemetry instrument.
package metric

// Counter is the name of a counter. Each has one label.
type Counter string

// The counters. The text before the colon is the meaning of the label.
const (
	Accepted    Counter = "accepted"         // class: requests that entered the queue
	Answered    Counter = "answered"         // class: requests whose whole answer arrived
	Refused     Counter = "refused"          // reason: requests and opens that were not run
	Unknown     Counter = "unknown"          // reason: requests with unknown outcome
	Dropped     Counter = "dropped"          // reason: packets and frames that were dropped
	Retried     Counter = "retried"          // cause: attempts of a request after the first
	Opened      Counter = "flows_opened"     // class: flows opened
	Adopted     Counter = "flows_adopted"    // cause (owner_lost, expired): flows restored from their ticket
	HandedOver  Counter = "flows_handedover" // direction (sent, received): flows handed over to another owner
	Repinned    Counter = "flows_repinned"   // cause: flows pinned to another endpoint
	Spilled     Counter = "opens_spilled"    // pool: opens passed to the next pool shard for lack of room
	Forwarded   Counter = "forwarded"        // kind: packets forwarded to another balancer
	Resent      Counter = "resent"           // kind: retransmissions to callers
	Violation   Counter = "invariant"        // name of the invariant: violations
	ControlSent Counter = "control_bytes"    // kind: bytes of control messages sent to other balancers
	Steered     Counter = "packets_steered"  // kind: packets forwarded to endpoints in the direct return mode
	StoreCalls  Counter = "store_calls"      // call and outcome: calls to the platform's store
	BadEntry    Counter = "bad_entries"      // subject: store entries that are not usable
	Held        Counter = "packets_held"     // reason: packets that wait for the configuration or the list of endpoints
	ResetSent   Counter = "resets_sent"      // reason: flows that the balancer reset in the direct return mode
	NoRoom      Counter = "flows_refused"    // priority: new flows reset because their service is overloaded
	Probed      Counter = "endpoint_probes"  // result: probes of silent endpoints in the direct return mode
	ColdFlows   Counter = "cold_flows"       // outcome (opened, refused): flows on cold endpoints whose flows are limited
)

// Histogram is the name of a duration histogram, recorded per customer and class, or per service in the direct return
// mode.
type Histogram string

// The histograms.
const (
	Latency   Histogram = "request_seconds" // from arrival at the owner to the answer
	QueueTime Histogram = "queue_seconds"   // from arrival at the owner to dispatch
	OpenTime  Histogram = "open_seconds"    // from a flow's opening packet to the client's next packet, in the direct return mode
	FirstByte Histogram = "answer_seconds"  // from a client's data to that client's next acknowledgement, in the direct return mode
)

// Gauge is the name of a value that is read when the metrics are collected, in the direct return mode.
type Gauge string

// The gauges.
const (
	Version           Gauge = "configuration_version"
	VersionAge        Gauge = "configuration_age_milliseconds" // time since the version was last known to be the newest
	EndpointAge       Gauge = "endpoints_age_milliseconds"     // time since the endpoint list was last known to be complete
	StoreEra          Gauge = "store_era"                      // 0 if the store sends none; rises when it is restored from a copy
	EvacuatedDomains  Gauge = "evacuated_domains"              // failure domains to which no new flow may go
	EvacuationsAge    Gauge = "evacuations_age_milliseconds"   // time since the evacuations were last known to be the newest
	OpenEndpoints     Gauge = "endpoints_open"                 // endpoints that may get new flows
	SuspectEndpoints  Gauge = "endpoints_suspect"              // endpoints that are suspect and get no new flows
	DegradedEndpoints Gauge = "endpoints_degraded"             // endpoints with fewer new flows because they fail requests
	SlowEndpoints     Gauge = "endpoints_slow"                 // endpoints with fewer new flows because they are slow
	ColdEndpoints     Gauge = "endpoints_cold"                 // endpoints that are cold and whose flows are limited
	TrackedFlows      Gauge = "flows_tracked"
	OverloadedCount   Gauge = "services_overloaded" // services with too little room, now or a moment ago
	ReachableMembers  Gauge = "members_reachable"   // reachable balancers, this one included
	IsStoreReader     Gauge = "is_reader"           // 1 while this balancer reads the store for its failure domain
	LogLinesDropped   Gauge = "log_lines_dropped"   // log lines dropped since the start because the output was too slow
)
