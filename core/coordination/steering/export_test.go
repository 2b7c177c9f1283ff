package steering

// PendingRequests returns the number of requests that wait to be evaluated.
func (f *Forwarder) PendingRequests() int { return f.pendingCount }
