// Package packet holds the plain structs of all data-path messages: datagrams between callers and balancers, datagrams
// that balancers forward to each other, and frames between a balancer and a backend server.
//
// # Usage
//
// Codecs in io/protocol/wire convert these structs from and to protobuf. The decision core in core/coordination reads
// and builds them directly. The only encoded bytes that it handles are payloads and tickets, which it does not parse.
// A payload slice may alias a receive buffer: code that keeps it after the call returns must copy it.
package packet

import (
	"encoding/hex"
	"net/netip"
	"time"
)

// MaxDatagramBytes is the largest datagram between a caller and a balancer, in bytes.
const MaxDatagramBytes = 1200

// MaxPayloadBytes is the largest payload of one datagram, in bytes. Larger answers are sent in segments.
const MaxPayloadBytes = 900

// MaxAnswerBytes is the largest whole answer, in bytes.
const MaxAnswerBytes = 1 << 20

// MaxNameBytes is the largest length of a service, pool, customer, feed or failure domain name, in bytes.
const MaxNameBytes = 64

// MaxHops is the number of times that balancers may forward one datagram to each other.
const MaxHops = 3

// FlowID identifies a flow. The caller chooses it at random.
type FlowID [16]byte

// String returns the ID in hexadecimal digits.
func (id FlowID) String() string { return hex.EncodeToString(id[:]) }

// Class is the priority class of a flow's requests.
type Class uint8

// The classes, most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBulk
	ClassCount
)

// String returns the name of the class as used in settings, metrics and logs.
func (c Class) String() string {
	switch c {
	case ClassUrgent:
		return "urgent"
	case ClassNormal:
		return "normal"
	case ClassBulk:
		return "bulk"
	}
	return "invalid"
}

// Kind is the message type of a caller datagram.
type Kind uint8

// The kinds of caller datagrams. Callers send Open, Request, Cancel, Confirm, Subscribe, ItemAck, Ping and Close;
// balancers send the others.
const (
	KindInvalid   Kind = iota
	KindOpen           // asks the balancer to open a flow
	KindOpened         // confirms that the flow is open and carries its ticket
	KindRequest        // asks a backend server to run one request
	KindAnswer         // carries one segment of an answer
	KindNotRun         // the request, or the open, was not run and will not be
	KindUnknown        // the request may or may not have run
	KindCancel         // the caller no longer needs the answer
	KindConfirm        // the caller has received the whole answer
	KindSubscribe      // starts or resumes the flow's feed from Sequence
	KindItem           // carries one feed item
	KindItemAck        // acknowledges feed items up to and including Sequence
	KindPing           // keepalive
	KindPong           // answer to a keepalive; names the open feed and may carry a newer ticket
	KindClose          // ends the flow
	KindCount
)

// Reason is why a request was refused or why its outcome is unknown.
type Reason uint8

// The reasons.
const (
	ReasonNone             Reason = iota
	ReasonNoRoute                 // the service address has no route
	ReasonNoEndpoint              // no endpoint can take the request now
	ReasonQueueFull               // the owner's queue is full
	ReasonDeadline                // the request cannot start before its deadline
	ReasonShare                   // the customer or class is above its share of a full queue
	ReasonLimit                   // a limit on flows or connections is reached
	ReasonCancelled               // the caller cancelled the request before it started
	ReasonDraining                // the balancer is shutting down
	ReasonOwnerLost               // the owner that knows the outcome is unreachable or has stopped
	ReasonConnectionLost          // the connection to the backend server broke after the request was sent
	ReasonTimeout                 // no answer came before the deadline
	ReasonBadTicket               // the ticket is missing, forged or for another service
	ReasonTooOld                  // the request number is below the window of requests that the flow keeps records of
	ReasonAnswerDropped           // the request was run but its answer is no longer stored
	ReasonRetriesExhausted        // the retry budget allowed no further attempt
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "no_route", "no_endpoint", "queue_full", "deadline", "share", "limit", "cancelled", "draining", "owner_lost",
	"connection_lost", "timeout", "bad_ticket", "too_old", "answer_dropped", "retries_exhausted",
}

// String returns the name of the reason as used in metrics and logs.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "invalid"
	}
	return reasonNames[r]
}

// Packet is a datagram between a caller and a balancer. Which fields are set depends on Kind.
type Packet struct {
	Kind       Kind
	Flow       FlowID
	Ticket     []byte        // encoded ticket; empty in Open
	Request    uint64        // request number, starts at 1 and increases within a flow
	Class      Class         // Open
	Customer   string        // Open
	Idempotent bool          // Request
	Timeout    time.Duration // Open, Request: time left until the caller's deadline
	Reason     Reason        // NotRun, Unknown
	RetryAfter time.Duration // NotRun: time after which the caller may retry
	Segment    uint32        // Answer: index from 0; Request: first segment that the caller lacks
	Segments   uint32        // Answer: number of segments of the whole answer
	Size       uint32        // Answer: size of the whole answer in bytes
	Digest     uint64        // Answer: xxhash64 of the whole answer
	Feed       string        // Subscribe, Item; Pong: the open feed, empty without one
	Sequence   uint64        // Subscribe: first item wanted; Item: its number; ItemAck: last item received in order
	Payload    []byte
}

// CallerAddress is the address from which a caller's packets reach the fabric.
type CallerAddress = netip.AddrPort

// Envelope is a caller packet with its addresses, as exchanged between the fabric and a balancer.
type Envelope struct {
	Caller  CallerAddress
	Service netip.AddrPort // service address that the caller sent to
	Packet  []byte         // encoded Packet
}

// Forward is a caller datagram that one balancer forwards to another.
type Forward struct {
	Envelope
	Hops  uint8 // number of forwards so far, at most MaxHops
	Spill uint8 // Open only: number of pool shards that did not take the flow so far
}

// BackendKind is the message type of a backend frame.
type BackendKind uint8

// The kinds of backend frames. Balancers send Hello, Run, Cancel, Subscribe, ItemAck, Unsubscribe and Ping; backend
// servers send the others.
const (
	BackendInvalid     BackendKind = iota
	BackendHello                   // first frame; names the expected service
	BackendIdentity                // first reply; names the actual service and the incarnation of the backend server
	BackendRun                     // starts an attempt
	BackendAnswer                  // whole answer of an attempt
	BackendShed                    // the backend server refused the attempt; it was not started
	BackendCancel                  // stops an attempt if possible
	BackendCancelled               // the attempt was stopped; Started says whether it was running
	BackendSubscribe               // starts a feed at Sequence
	BackendItem                    // one feed item
	BackendItemAck                 // acknowledges feed items up to and including Sequence
	BackendUnsubscribe             // ends a feed
	BackendPing                    // keepalive
	BackendPong                    // answer to a keepalive
	BackendKindCount
)

// Backend is a frame between a balancer and a backend server. Which fields are set depends on Kind.
type Backend struct {
	Kind        BackendKind
	Service     string        // Hello, Identity, Run, Subscribe; may be empty in the other frames of a balancer
	Incarnation uint64        // Identity: incarnation of the backend server
	Attempt     uint64        // Run, Answer, Shed, Cancel, Cancelled: number unique within the connection
	Stream      uint64        // Subscribe, Item, ItemAck, Unsubscribe: number unique within the connection
	Customer    string        // Run, Subscribe
	Class       Class         // Run, Subscribe
	Idempotent  bool          // Run
	Timeout     time.Duration // Run: time left until the deadline
	Started     bool          // Cancelled
	Feed        string        // Subscribe
	Sequence    uint64        // Subscribe, Item, ItemAck
	Busy        uint32        // Identity, Answer, Shed, Cancelled, Pong: slots in use
	Leaving     bool          // Identity, Answer, Shed, Cancelled, Pong: the backend server is draining
	Payload     []byte
}
