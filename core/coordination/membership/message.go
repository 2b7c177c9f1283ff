package membership

import (
	"math/bits"
	"net/netip"

	"cornellb/core/state/member"
)

// MaxMessageBytes is the largest encoded gossip message, in bytes, without the type byte of the datagram.
const MaxMessageBytes = 1199

// datagramOverhead is the size in bytes of what a datagram adds to the message: IPv4 and UDP headers and the type byte.
const datagramOverhead = 20 + 8 + 1

// MessageKind is the type of a gossip message.
type MessageKind uint8

// The kinds of gossip messages.
const (
	KindInvalid     MessageKind = iota
	KindPing                    // asks the receiver for an Ack
	KindPingRequest             // asks the receiver to ping Target
	KindAck                     // reports that Target is alive
	KindAnnounce                // carries changes and the table version only
	KindCount
)

// Message is one gossip datagram.
type Message struct {
	Kind          MessageKind
	Sequence      uint64             // probe number: chosen by the sender of a Ping or PingRequest, returned in the Ack
	Sender        member.Host        // the sender's record of itself
	Target        member.Incarnation // Ping: expected receiver, 0 for any; PingRequest, Ack: the member in question
	TargetAddress netip.AddrPort     // PingRequest: address of Target
	TableVersion  uint64             // version of the tables in force at the sender
	Digest        uint64             // of the members that are reachable in the view of the sender
	Changes       []member.Host
}

// Size returns an upper bound of the encoded size of the message in bytes.
func (m *Message) Size() int {
	n := 2 + 1 + varintSize(m.Sequence) + HostSize(m.Sender) + 9 + 9 + 1 + varintSize(m.TableVersion)
	if m.TargetAddress.IsValid() {
		n += addressSize(m.TargetAddress)
	}
	for _, h := range m.Changes {
		n += HostSize(h)
	}
	return n
}

// HostSize returns an upper bound of the encoded size of one member in bytes, including its protobuf field header.
func HostSize(h member.Host) int {
	return 1 + 2 + // header and length of the embedded message
		2 + len(h.ID) + 2 + len(h.FailureDomain) + 9 + addressSize(h.Address) + 2 +
		1 + varintSize(uint64(h.Refutation)) + 1 + varintSize(uint64(h.StartedAt)) + 1 + varintSize(uint64(h.Weight))
}

// addressSize returns the encoded size of an address field: its header, the IP address and the port.
func addressSize(a netip.AddrPort) int { return 2 + a.Addr().BitLen()/8 + 2 }

func varintSize(v uint64) int { return (bits.Len64(v|1) + 6) / 7 }
