package host

import (
	"time"

	"cornellb/core/state/metric"
	"cornellb/io/transport/caller"
	"cornellb/io/transport/peer"
)

// countInterval is the time between copies of the transports' counters into the metrics.
const countInterval = time.Second

// transportCounters holds the transports' counters at the time of the last copy. It is used only by the goroutine of
// tick.
type transportCounters struct {
	recordedAt time.Time
	peer       peer.Counters
	caller     caller.Counters
}

// recordTransportCounters adds to the metrics what the transports counted since the last copy, at most once per
// countInterval.
func (h *Host) recordTransportCounters(now time.Time) {
	if now.Sub(h.lastCounters.recordedAt) < countInterval {
		return
	}
	p, c := h.peer.Counters(), h.caller.Counters()
	p.ControlSince(h.lastCounters.peer, func(kind string, bytes uint64) { h.countNonZero(metric.ControlSent, kind, bytes) })
	for label, n := range map[string]uint64{
		"peer_socket":     p.DroppedSocketFull + p.DroppedSendError,
		"peer_datagram":   p.DroppedType + p.DroppedMalformed,
		"caller_socket":   c.DroppedSocketFull + c.DroppedSendError,
		"caller_datagram": c.DroppedEnvelope + c.DroppedPacket,
		"caller_size":     c.DroppedTooLarge + c.DroppedNoAddress,
	} {
		h.countNonZero(metric.Dropped, label, n-uint64(h.metrics.Value(metric.Dropped, label)))
	}
	h.lastCounters = transportCounters{recordedAt: now, peer: p, caller: c}
}

// countNonZero adds to a counter unless n is 0, so that only labels with events appear in the metrics.
func (h *Host) countNonZero(c metric.Counter, label string, n uint64) {
	if n > 0 {
		h.metrics.Count(c, label, int64(n))
	}
}
