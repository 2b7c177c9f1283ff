package dispatch

import "cornellb/core/state/packet"

// MarkMayHaveRun sets MayHaveRun in the record of a request, which no sequence of events does for a non-idempotent
// request that waits.
func (s *Shard) MarkMayHaveRun(f packet.FlowID, request uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows[f].window.Find(request).MayHaveRun = true
}
