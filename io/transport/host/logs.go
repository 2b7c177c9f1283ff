package host

import (
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/io/transport/operator"
)

// recorder implements dispatch.Recorder. It also logs the first violation of each invariant.
type recorder struct {
	*operator.Metrics
	host *Host
}

// Count implements dispatch.Recorder.
func (r recorder) Count(c metric.Counter, label string, n int64) {
	if c == metric.Violation && r.Value(c, label) == 0 {
		r.host.log.Error("invariant violated", "name", label)
	}
	r.Metrics.Count(c, label, n)
}

// logChanges writes a line for each member of the own failure domain whose state changed. Members of other failure
// domains are logged at the debug level, because a large fleet has some change every few seconds.
func (h *Host) logChanges(before, after *member.View) {
	for _, m := range after.Hosts {
		if m.Incarnation == h.self.Incarnation {
			continue
		}
		old, known := before.Lookup(m.Incarnation)
		if known && old.State == m.State {
			continue
		}
		log := h.log.Debug
		if m.FailureDomain == h.self.FailureDomain {
			log = h.log.Info
		}
		log("member changed", "id", m.ID, "failure_domain", m.FailureDomain, "incarnation", m.Incarnation,
			"state", m.State.String())
	}
}
