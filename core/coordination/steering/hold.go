package steering

import "time"

const (
	// openingHoldTime is how long an opening packet is held. A client stops trying to open a flow after 1.4 s, and its
	// last copy is sent after 0.6 s; an endpoint that gets the packet later opens a flow that nobody uses.
	openingHoldTime = 700 * time.Millisecond
	// dataHoldTime is how long other packets are held. The longest interval between retransmissions is 1.6 s.
	dataHoldTime = 1500 * time.Millisecond
	// maxHeldPackets and maxHeldBytes bound the memory for held packets. They last for more than a second of the traffic
	// of one balancer at the size expected in two years.
	maxHeldPackets = 4096
	maxHeldBytes   = 2 << 20
)

// HeldPacket is a packet with the verdict Hold.
type HeldPacket struct {
	Packet     Packet
	Datagram   []byte // as received
	ReceivedAt time.Time
}

// limit returns the time until which the packet may be held.
func (h *HeldPacket) limit() time.Time {
	if h.Packet.IsOpening {
		return h.ReceivedAt.Add(openingHoldTime)
	}
	return h.ReceivedAt.Add(dataHoldTime)
}

// heldKey identifies a packet and its retransmissions.
type heldKey struct {
	flow      FlowKey
	isOpening bool
	isClosing bool
	sequence  uint32
	length    int
}

func keyOf(p *Packet) heldKey {
	return heldKey{flow: p.Flow, isOpening: p.IsOpening, isClosing: p.IsClosing, sequence: p.Sequence, length: p.Length}
}

// HoldQueue keeps the packets that arrive before a balancer has a configuration and a list of endpoints. A client whose
// packet is dropped sends it again after up to 1.6 s only, while a balancer that starts is complete within a fraction of
// that. The zero value is an empty queue. A HoldQueue is not safe for concurrent use.
type HoldQueue struct {
	packets []HeldPacket // in the order of their arrival
	index   map[heldKey]int
	bytes   int
}

// Len returns the number of packets that are held.
func (q *HoldQueue) Len() int { return len(q.index) }

// Add keeps a packet, and takes over the datagram. A retransmission replaces the earlier packet; an opening packet then
// keeps the time of the first one. Add returns the number of packets that it dropped because of the limits: those that
// have been held longest.
func (q *HoldQueue) Add(now time.Time, p *Packet, datagram []byte) (dropped int) {
	if q.index == nil {
		q.index = make(map[heldKey]int)
	}
	key := keyOf(p)
	held := HeldPacket{Packet: *p, Datagram: datagram, ReceivedAt: now}
	if i, ok := q.index[key]; ok {
		if p.IsOpening {
			held.ReceivedAt = q.packets[i].ReceivedAt
		}
		q.bytes += len(datagram) - len(q.packets[i].Datagram)
		q.packets[i] = held
		return 0
	}
	if len(q.packets) >= maxHeldPackets || q.bytes+len(datagram) > maxHeldBytes {
		dropped = q.dropOldest()
	}
	q.index[key] = len(q.packets)
	q.packets = append(q.packets, held)
	q.bytes += len(datagram)
	return dropped
}

// dropOldest drops a quarter of the packets, so that the index is not rebuilt for each packet.
func (q *HoldQueue) dropOldest() int {
	n := len(q.packets)/4 + 1
	kept := append([]HeldPacket(nil), q.packets[n:]...)
	*q = HoldQueue{index: make(map[heldKey]int, len(kept))}
	for i := range kept {
		q.index[keyOf(&kept[i].Packet)] = i
		q.bytes += len(kept[i].Datagram)
	}
	q.packets = kept
	return n
}

// Take empties the queue. It returns the packets that may still be of use, in the order of their arrival, and the number
// of those that were held for too long.
func (q *HoldQueue) Take(now time.Time) (due []HeldPacket, expired int) {
	for _, h := range q.packets {
		if now.After(h.limit()) {
			expired++
			continue
		}
		due = append(due, h)
	}
	*q = HoldQueue{}
	return due, expired
}
