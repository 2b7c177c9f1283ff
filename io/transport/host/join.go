package host

import (
	"sync/atomic"
	"time"

	"cornellb/core/state/member"
)

// A process that just started knows only itself and would take every pool shard for its own. Its core gets the first
// view when the gossip has had time to fetch the member list, or when no other member answers.
const (
	joinTime  = time.Second     // after the first other member was seen
	aloneTime = 3 * time.Second // after the start, without any other member
)

// joinTimes are Unix times in nanoseconds; 0 before the event.
type joinTimes struct {
	startedAt   atomic.Int64
	firstPeerAt atomic.Int64
}

// takeView keeps a view of the gossip and passes it to the core once the process has joined.
func (h *Host) takeView(v *member.View) {
	if before := h.latest.Swap(v); before != nil {
		h.logChanges(before, v)
	}
	if len(v.Hosts) > 1 {
		h.joining.firstPeerAt.CompareAndSwap(0, time.Now().UnixNano())
	}
	if h.joined.Load() {
		h.balancer.SetView(v)
	}
}

// admitView passes the first view to the core when it is complete enough.
func (h *Host) admitView(now time.Time) {
	v := h.latest.Load()
	if h.joined.Load() || v == nil {
		return
	}
	h.joining.startedAt.CompareAndSwap(0, now.UnixNano())
	peer := h.joining.firstPeerAt.Load()
	isComplete := peer != 0 && now.UnixNano()-peer >= int64(joinTime)
	if !isComplete && now.UnixNano()-h.joining.startedAt.Load() < int64(aloneTime) {
		return
	}
	h.joined.Store(true)
	h.balancer.SetView(h.latest.Load())
	h.log.Info("joined", "members", len(v.Hosts))
}
