package steering_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
)

func heldPacket(port uint16, isOpening bool, sequence uint32) *steering.Packet {
	return &steering.Packet{Flow: steering.FlowKey{
		Client: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.7"), port), Service: feedAddress,
	}, IsOpening: isOpening, Sequence: sequence}
}

// TestPacketsWhileStarting guards against packets of clients that are lost, or that open flows nobody uses any more, when
// all balancers start at the same moment.
func TestPacketsWhileStarting(t *testing.T) {
	type arrival struct {
		after  time.Duration
		packet *steering.Packet
	}
	tests := map[string]struct {
		arrivals []arrival
		want     []uint16 // ports of the packets that are due after a second
		expired  int
	}{
		"order of arrival": {arrivals: []arrival{
			{after: 500 * time.Millisecond, packet: heldPacket(2, false, 1)}, {after: 600 * time.Millisecond, packet: heldPacket(1, true, 1)},
			{after: 700 * time.Millisecond, packet: heldPacket(3, false, 1)},
		}, want: []uint16{2, 1, 3}},
		"several packets of a flow": {arrivals: []arrival{
			{packet: heldPacket(1, false, 1)}, {packet: heldPacket(1, false, 101)}, {packet: heldPacket(1, true, 1)},
		}, want: []uint16{1, 1}, expired: 1},
		"retransmitted data": {arrivals: []arrival{
			{packet: heldPacket(1, false, 1)}, {after: 200 * time.Millisecond, packet: heldPacket(1, false, 1)},
		}, want: []uint16{1}},
		"opening packet whose client has stopped trying": {arrivals: []arrival{
			{packet: heldPacket(1, true, 1)}, {after: 200 * time.Millisecond, packet: heldPacket(1, true, 1)},
			{after: 600 * time.Millisecond, packet: heldPacket(1, true, 1)}, {after: 400 * time.Millisecond, packet: heldPacket(2, true, 1)},
		}, want: []uint16{2}, expired: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q steering.HoldQueue
			for _, a := range c.arrivals {
				is.Equal(q.Add(start.Add(a.after), a.packet, []byte("datagram")), 0)
			}
			is.Equal(q.Len(), len(c.want)+c.expired)
			due, expired := q.Take(start.Add(time.Second))
			var ports []uint16
			for _, h := range due {
				ports = append(ports, h.Packet.Flow.Client.Port())
			}
			is.Equal(ports, c.want)
			is.Equal(expired, c.expired)
			is.Equal(q.Len(), 0)
		})
	}
}

// TestFloodWhileStarting guards against memory that grows without bound while a balancer waits for its configuration,
// and against new packets that are lost because old ones fill the queue.
func TestFloodWhileStarting(t *testing.T) {
	tests := map[string]struct {
		packets, bytes int // number and size
		least, most    int // packets that are due
	}{
		"many packets":  {packets: 10_000, bytes: 40, least: 2500, most: 4096},
		"large packets": {packets: 10_000, bytes: 1240, least: 1000, most: 1700},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var q steering.HoldQueue
			dropped := 0
			for i := range c.packets {
				dropped += q.Add(start, heldPacket(uint16(i), false, uint32(i)), make([]byte, c.bytes))
			}
			is.Equal(q.Len()+dropped, c.packets)
			due, _ := q.Take(start)
			is.True(len(due) >= c.least && len(due) <= c.most)
			is.Equal(due[len(due)-1].Packet.Sequence, uint32(c.packets-1))
		})
	}
}
