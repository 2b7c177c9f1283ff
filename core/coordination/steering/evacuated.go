package steering

// isEvacuated reports whether the operator has evacuated a failure domain, so that no new flow may go there.
func (f *Forwarder) isEvacuated(failureDomain string) bool {
	return f.snapshot.IsEvacuated(failureDomain)
}
