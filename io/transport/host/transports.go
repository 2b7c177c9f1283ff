package host

import (
	"time"

	"cornellb/core/state/metric"
	"cornellb/io/transport/caller"
	"cornellb/io/transport/peer"
)

// countInterval is the time between copies of the transports' counters into the metrics.
const countInterval = time.Second

// transportCounts remembers the transports' counters as of the last copy. It is used by the ticking goroutine alone.
type transportCounts struct {
	at     time.Time
	peer   peer.Counters
	caller caller.Counters
}

// countTransports copies what the transports counted since the last call into the metrics.
func (h *Host) countTransports(now time.Time) {
	if now.Sub(h.counted.at) < countInterval {
		return
	}
	p, c := h.peer.Counters(), h.caller.Counters()
	p.ControlSince(h.counted.peer, func(kind string, bytes uint64) { h.add(metric.ControlSent, kind, bytes) })
	for label, n := range map[string]uint64{
		"peer_socket":     p.DroppedSocketFull + p.DroppedSendError,
		"peer_datagram":   p.DroppedType + p.DroppedGossip,
		"caller_socket":   c.DroppedSocketFull + c.DroppedSendError,
		"caller_datagram": c.DroppedEnvelope + c.DroppedPacket,
		"caller_size":     c.DroppedTooLarge + c.DroppedNoAddress,
	} {
		h.add(metric.Dropped, label, n-uint64(h.metrics.Value(metric.Dropped, label)))
	}
	h.counted = transportCounts{at: now, peer: p, caller: c}
}

// add leaves out zero, so that only what happened appears in the metrics.
func (h *Host) add(c metric.Counter, label string, n uint64) {
	if n > 0 {
		h.metrics.Count(c, label, int64(n))
	}
}
