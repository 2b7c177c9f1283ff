package peer

import "sync/atomic"

// TrafficKind is the kind of traffic on the links, by which bytes are counted.
type TrafficKind uint8

// The kinds. KindCount is their number.
const (
	KindForward TrafficKind = iota
	KindGossip
	KindTables
	KindHandover
	KindMembers
	KindDirectory
	KindCount
)

var kindNames = [KindCount]string{"forward", "gossip", "tables", "handover", "members", "directory"}

// String returns the name of the kind as used in metrics.
func (k TrafficKind) String() string {
	if k >= KindCount {
		return "invalid"
	}
	return kindNames[k]
}

// Counters count since the start. Bytes are those of whole datagram payloads and of length-prefixed messages, without
// the headers of IP, UDP, TCP and yamux. A message on a stream is counted once it was sent or received in full.
type Counters struct {
	SentBytes         [KindCount]uint64
	ReceivedBytes     [KindCount]uint64
	DroppedSocketFull uint64 // outgoing datagrams that the socket did not accept at once
	DroppedSendError  uint64 // outgoing datagrams: encoding failed, too large, invalid address, or another socket error
	DroppedType       uint64 // incoming datagrams: empty, too large, or of a type that is unknown or has no handler
	DroppedMalformed  uint64 // incoming datagrams: gossip, announcements and load reports that cannot be decoded
	ReadErrors        uint64 // failed reads of datagrams and failed accepts of connections, while the sockets were open
	SessionsDialled   uint64
	SessionsAccepted  uint64
	SessionsRefused   uint64 // incoming connections above the limit, or during Close
	StreamsServed     uint64
	StreamsFaulty     uint64 // incoming streams without a valid request
	CallsFailed       uint64
}

// ControlSince calls add with the bytes of each kind except KindForward that were sent since the earlier counters.
func (c Counters) ControlSince(earlier Counters, add func(kind string, bytes uint64)) {
	for k := range KindCount {
		if k != KindForward {
			add(k.String(), c.SentBytes[k]-earlier.SentBytes[k])
		}
	}
}

// counters are the atomic counters behind Counters.
type counters struct {
	sent, received                                                        [KindCount]atomic.Uint64
	socketFull, sendErr, badType, malformed, readErr                      atomic.Uint64
	dialled, accepted, refused, streamsServed, streamsFaulty, callsFailed atomic.Uint64
}

// Counters returns the current values of the counters.
func (t *Transport) Counters() Counters {
	c := &t.counters
	r := Counters{
		DroppedSocketFull: c.socketFull.Load(),
		DroppedSendError:  c.sendErr.Load(),
		DroppedType:       c.badType.Load(),
		DroppedMalformed:  c.malformed.Load(),
		ReadErrors:        c.readErr.Load(),
		SessionsDialled:   c.dialled.Load(),
		SessionsAccepted:  c.accepted.Load(),
		SessionsRefused:   c.refused.Load(),
		StreamsServed:     c.streamsServed.Load(),
		StreamsFaulty:     c.streamsFaulty.Load(),
		CallsFailed:       c.callsFailed.Load(),
	}
	for k := range KindCount {
		r.SentBytes[k] = c.sent[k].Load()
		r.ReceivedBytes[k] = c.received[k].Load()
	}
	return r
}
