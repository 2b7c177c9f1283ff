package direct

import (
	"time"

	"cornellb/core/state/directory"
)

// logEra logs a list of endpoints that has raised the era of the store. before is the position before the list.
// lapsedFor is how long endpoints that the store has lost stay usable. source is where the list came from: "store" or
// "balancer". The caller holds p.mu.
func (p *Process) logEra(before directory.Position, endpoints int, lapsedFor time.Duration, source string) {
	at := p.state.Position()
	if at.Era == before.Era || before == (directory.Position{}) {
		return
	}
	p.log.Warn("store era increased", "from", before.Era, "era", at.Era, "revision_before", before.Revision,
		"revision", at.Revision, "endpoints", endpoints, "missing", p.state.MissingEndpoints(),
		"lapsed_ms", lapsedFor.Milliseconds(), "source", source)
}
