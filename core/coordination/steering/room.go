package steering

import (
	"time"

	"cornellb/core/state/directory"
)

// admits reports whether a new flow of a route may be opened at the present load of the service.
func (f *Forwarder) admits(time.Time, *directory.Route, string, FlowKey) bool { return true }
