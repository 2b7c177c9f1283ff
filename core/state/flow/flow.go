// Package flow holds the state of flows: pool shard keys, tickets, request records and the snapshots that one owner
// hands over to another.
//
// # Usage
//
// A Ticket travels with each packet of a flow and names the owner incarnation that alone may run the flow's
// non-idempotent requests. Window keeps the outcome of the last WindowSize requests of one flow, so that a
// retransmission is answered and never run again.
package flow

import (
	"cmp"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// WindowSize is the number of request records kept for a flow. A request number below the window is never run.
const WindowSize = 64

// ShardKey names a pool shard: a group of endpoints of one pool in one failure domain.
type ShardKey struct {
	Pool          string
	FailureDomain string
	Group         uint32
}

// String returns the key as used in logs.
func (k ShardKey) String() string { return fmt.Sprintf("%s/%s/%d", k.Pool, k.FailureDomain, k.Group) }

// Compare orders keys by pool, failure domain and group.
func (k ShardKey) Compare(o ShardKey) int {
	return cmp.Or(strings.Compare(k.Pool, o.Pool), strings.Compare(k.FailureDomain, o.FailureDomain),
		cmp.Compare(k.Group, o.Group))
}

// Grant is the right of one incarnation to run a flow's non-idempotent requests. The serial number rises with each
// creation of a flow at that incarnation, so that a ticket from before a flow expired there is told from a later one.
type Grant struct {
	Owner  member.Incarnation
	Serial uint64
}

// Ticket is the routing state of a flow, carried by the caller and authenticated by the balancers' common key.
type Ticket struct {
	Flow     packet.FlowID
	Service  string
	Customer string
	Class    packet.Class
	Shard    ShardKey
	Grant    Grant
	Endpoint netip.AddrPort // pinned endpoint; not valid before the pin is known
	IssuedAt time.Time      // to the second
}

// RequestState is the progress of one request at its owner.
type RequestState uint8

// The request states. All but StateQueued and StateSent are final.
const (
	StateNone RequestState = iota
	StateQueued
	StateSent
	StateAnswered
	StateRefused
	StateCancelled
	StateUnknown
)

// IsFinal reports whether the outcome is settled.
func (s RequestState) IsFinal() bool { return s >= StateAnswered }

// Record is the outcome of one request.
type Record struct {
	Request    uint64
	State      RequestState
	Idempotent bool
	MayHaveRun bool // an earlier attempt may have started
	Reason     packet.Reason
	RetryAfter time.Duration
	Answer     []byte    // whole answer, until confirmed or expired; nil afterwards
	SettledAt  time.Time // when the state became final
}

// Snapshot is a flow as handed over to another owner.
type Snapshot struct {
	Ticket   Ticket  // as last issued
	Grants   []Grant // grants whose tickets the receiver accepts as its own
	Caller   packet.CallerAddress
	Service  netip.AddrPort // service address that the caller uses
	Floor    uint64         // request numbers up to and including Floor are never run
	Records  []Record
	Feed     string // name of the open feed; empty without one
	Sequence uint64 // last feed item that the caller acknowledged
}

// Handover moves flows of one pool shard to another owner. It is meant for the incarnation To alone. Stream and Number
// let the receiver take each message once: a copy that arrives after the receiver passed the flows on would otherwise
// bring back old records, and a request could run twice.
type Handover struct {
	From   member.Incarnation
	To     member.Incarnation
	Stream uint64 // names the sending shard within its process
	Number uint64 // rises with each message of a stream; a repeated message keeps its number
	Shard  ShardKey
	Flows  []Snapshot
}
