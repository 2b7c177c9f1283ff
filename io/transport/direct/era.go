package direct

import (
	"time"

	"cornellb/core/state/directory"
)

// replace replaces the registered endpoints by a full list and logs a higher era of the store. lapsedFor is how long
// endpoints that a restored store has lost stay usable. source is where the list came from: "store" or "balancer". The
// caller holds p.mu.
func (p *Process) replace(
	now time.Time, list []directory.Endpoint, at directory.Position, lapsedFor time.Duration, source string,
) {
	before := p.state.Position()
	if !p.state.Adopt(now, list, at, lapsedFor) || at.Era == before.Era || before == (directory.Position{}) {
		return
	}
	p.log.Warn("store era increased", "from", before.Era, "era", at.Era, "revision_before", before.Revision,
		"revision", at.Revision, "endpoints", len(list), "missing", p.state.MissingEndpoints(),
		"lapsed_ms", lapsedFor.Milliseconds(), "source", source)
}
