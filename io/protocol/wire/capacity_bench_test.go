package wire

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"cornellb/core/state/packet"

	"github.com/matryer/is"
)

// BenchmarkForwardPayload measures the codec work and the encoded size of one forwarded packet for several payload
// sizes.
func BenchmarkForwardPayload(b *testing.B) {
	for _, size := range []int{0, 200, packet.MaxPayloadBytes} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			w := newForwarder(b)
			is.New(b).NoErr(w.decode())
			w.packet.Payload = make([]byte, size)
			e := w.forward.Envelope
			e.Packet = AppendPacket(nil, &w.packet)
			w.in = AppendEnvelope(nil, &e)
			b.ReportAllocs()
			for b.Loop() {
				if err := w.run(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(w.in)), "bytes-in/op")
			b.ReportMetric(float64(len(w.out)), "bytes-out/op")
			b.ReportMetric(float64(len(w.out)-size), "overhead-bytes/op")
		})
	}
}

// BenchmarkPin measures, for several lengths of the names in a ticket, the bytes that the pinned endpoint adds to the
// ticket and the time to seal and open it.
func BenchmarkPin(b *testing.B) {
	for _, length := range []int{4, 16, 32} {
		c, k, _ := newSealedTicket(is.New(b))
		name := strings.Repeat("n", length)
		k.Service, k.Customer, k.Shard.Pool, k.Shard.FailureDomain = name, name, name, name
		pinned := c.Seal(&k)
		k.Endpoint = netip.AddrPort{}
		unpinned := c.Seal(&k)
		b.Run(fmt.Sprintf("seal/%d", length), func(b *testing.B) {
			for b.Loop() {
				c.Seal(&k)
			}
			b.ReportMetric(float64(len(pinned)), "ticket-bytes")
			b.ReportMetric(float64(len(pinned)-len(unpinned)), "pin-bytes")
		})
		b.Run(fmt.Sprintf("open/%d", length), func(b *testing.B) {
			for b.Loop() {
				if err := c.Open(pinned, &k); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
