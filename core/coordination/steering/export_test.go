package steering

// SetRefusesFlows replaces Config.RefusesFlows.
func (f *Forwarder) SetRefusesFlows(refuses bool) { f.config.RefusesFlows = refuses }

// PendingRequests returns the number of requests that wait to be evaluated.
func (f *Forwarder) PendingRequests() int { return f.pendingCount }

// RoomHash returns the hash of a service name in reports.
func RoomHash(service string) uint32 { return roomHash(service) }
