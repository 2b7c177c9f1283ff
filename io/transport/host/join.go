package host

import (
	"sync/atomic"
	"time"

	"cornellb/core/state/member"
)

// A process that has just started knows only itself and would take itself for the owner of every pool shard. The core
// therefore gets its first view only after there was time to fetch the member list, or when no other member has
// answered.
const (
	joinDelay  = time.Second     // after the first other member was seen
	aloneDelay = 3 * time.Second // after the start, without any other member
)

// joinTimes holds Unix times in nanoseconds, which are 0 before the event.
type joinTimes struct {
	startedAt   atomic.Int64
	firstPeerAt atomic.Int64
}

// handleView stores a new membership view, and passes it to the core if the process has joined.
func (h *Host) handleView(v *member.View) {
	if before := h.latestView.Swap(v); before != nil {
		h.logChanges(before, v)
	}
	if len(v.Hosts) > 1 {
		h.joining.firstPeerAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	if h.joined.Load() {
		h.balancer.SetView(v)
	}
}

// publishFirstView passes the first view to the core after joinDelay or aloneDelay.
func (h *Host) publishFirstView(now time.Time) {
	v := h.latestView.Load()
	if h.joined.Load() || v == nil {
		return
	}
	h.joining.startedAt.CompareAndSwap(0, now.UnixNano())
	peer := h.joining.firstPeerAt.Load()
	isComplete := peer != 0 && now.UnixNano()-peer >= int64(joinDelay)
	if !isComplete && now.UnixNano()-h.joining.startedAt.Load() < int64(aloneDelay) {
		return
	}
	h.joined.Store(true)
	h.balancer.SetView(h.latestView.Load())
	h.log.Info("joined the membership", "members", len(v.Hosts))
}
