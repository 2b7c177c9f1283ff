// Package flow holds the state of flows: pool shard keys, tickets, request records and the snapshots that one owner
// hands over to another.
//
// # Usage
//
// A Ticket is part of the packets of a flow and names the only owner incarnation that may run the flow's non-idempotent
// requests. Window keeps the records of the last WindowSize requests of one flow, so that a retransmission is answered
// from its record and never run again.
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

// WindowSize is the largest number of request records kept for a flow. A request whose number is below the window is
// never run.
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

// Grant is the right of one incarnation to run a flow's non-idempotent requests. Each flow that is created at an
// incarnation gets a higher serial number, so that tickets from before and after an expiry of a flow there differ.
type Grant struct {
	Owner  member.Incarnation
	Serial uint64
}

// Ticket is the routing state of a flow. The caller keeps it and sends it with its packets; it is authenticated with a
// key that the balancers share.
type Ticket struct {
	Flow     packet.FlowID
	Service  string
	Customer string
	Class    packet.Class
	Shard    ShardKey
	Grant    Grant
	Endpoint netip.AddrPort // endpoint that the flow is pinned to; not valid without a pin
	IssuedAt time.Time      // with a resolution of one second
}

// RequestState is the state of one request at its owner.
type RequestState uint8

// The request states. StateAnswered and the states after it are final.
const (
	StateNone RequestState = iota
	StateQueued
	StateSent
	StateAnswered
	StateRefused
	StateCancelled
	StateUnknown
)

// IsFinal reports whether the request has its outcome.
func (s RequestState) IsFinal() bool { return s >= StateAnswered }

// Record is the state of one request and, once that is final, its outcome.
type Record struct {
	Request    uint64
	State      RequestState
	Idempotent bool
	MayHaveRun bool // an earlier attempt may have started
	Reason     packet.Reason
	RetryAfter time.Duration
	Answer     []byte    // whole answer, until it is confirmed, expired or dropped for lack of space; nil afterwards
	SettledAt  time.Time // when the state became final
}

// Snapshot is the state of a flow that is handed over to another owner.
type Snapshot struct {
	Ticket   Ticket  // under the sender's grant, with the receiver's shard
	Grants   []Grant // grants whose tickets the receiver accepts as its own
	Caller   packet.CallerAddress
	Service  netip.AddrPort // service address that the caller uses
	Floor    uint64         // request numbers up to and including Floor are never run
	Records  []Record
	Feed     string // name of the open feed; empty without one
	Sequence uint64 // last feed item that the caller acknowledged
}

// Handover moves flows of one pool shard to another owner. Only the incarnation To may take it. With FromShard and
// Number, the receiver takes each message once: a copy that arrives after the receiver handed the flows over to a third
// owner would otherwise bring back old records, and a request could run twice.
type Handover struct {
	From      member.Incarnation
	To        member.Incarnation
	FromShard uint64 // identifies the sending shard within the process From
	Number    uint64 // higher in each new message of FromShard; a message that is sent again keeps its number
	Shard     ShardKey
	Flows     []Snapshot
}
