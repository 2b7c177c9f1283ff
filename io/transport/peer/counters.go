package peer

import "sync/atomic"

// Kind tells which use of the links a byte belongs to.
type Kind uint8

// The kinds.
const (
	KindForward Kind = iota
	KindGossip
	KindTables
	KindHandover
	KindMembers
	KindDirectory
	KindCount
)

var kindNames = [KindCount]string{"forward", "gossip", "tables", "handover", "members", "directory"}

// String returns the name of the kind as used in metrics.
func (k Kind) String() string {
	if k >= KindCount {
		return "invalid"
	}
	return kindNames[k]
}

// Counters count since the start. Bytes are those of whole datagram payloads and of length-prefixed messages, without
// the headers of IP, UDP, TCP and yamux. A message on a stream counts when it was sent or received in full.
type Counters struct {
	SentBytes         [KindCount]uint64
	ReceivedBytes     [KindCount]uint64
	DroppedSocketFull uint64 // datagrams to send: the socket did not take them at once
	DroppedSendError  uint64 // datagrams to send: another error of the socket, or too large
	DroppedType       uint64 // datagrams received: empty, too large or of an unknown type
	DroppedGossip     uint64 // datagrams received: faulty gossip
	ReadErrors        uint64 // reads that failed while the socket was open
	SessionsDialled   uint64
	SessionsAccepted  uint64
	SessionsRefused   uint64 // incoming, above the limit
	StreamsServed     uint64
	StreamsFaulty     uint64 // incoming streams without a usable request
	CallsFailed       uint64
}

// ControlSince calls add with the bytes that each use of the links but forwarding has sent since earlier counters.
func (c Counters) ControlSince(earlier Counters, add func(kind string, bytes uint64)) {
	for k := range KindCount {
		if k != KindForward {
			add(k.String(), c.SentBytes[k]-earlier.SentBytes[k])
		}
	}
}

type counters struct {
	sent, received                                    [KindCount]atomic.Uint64
	socketFull, sendErr, badType, badGossip, readErr  atomic.Uint64
	dialled, accepted, refused, served, faulty, calls atomic.Uint64
}

// Counters returns the current counts.
func (t *Transport) Counters() Counters {
	c := &t.counters
	r := Counters{
		DroppedSocketFull: c.socketFull.Load(),
		DroppedSendError:  c.sendErr.Load(),
		DroppedType:       c.badType.Load(),
		DroppedGossip:     c.badGossip.Load(),
		ReadErrors:        c.readErr.Load(),
		SessionsDialled:   c.dialled.Load(),
		SessionsAccepted:  c.accepted.Load(),
		SessionsRefused:   c.refused.Load(),
		StreamsServed:     c.served.Load(),
		StreamsFaulty:     c.faulty.Load(),
		CallsFailed:       c.calls.Load(),
	}
	for k := range KindCount {
		r.SentBytes[k] = c.sent[k].Load()
		r.ReceivedBytes[k] = c.received[k].Load()
	}
	return r
}
