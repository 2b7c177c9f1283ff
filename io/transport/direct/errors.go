package direct

import "fmt"

// PacketError reports a datagram that cannot be decoded as a packet.
type PacketError struct {
	Reason string // metric label, without the prefix "malformed_"
	Bytes  int    // length of the datagram
}

func (e *PacketError) Error() string {
	return fmt.Sprintf("malformed packet of %d bytes: %s", e.Bytes, e.Reason)
}

// HistoryGoneError reports a watch from a revision after which the store no longer has all changes.
type HistoryGoneError struct {
	Revision uint64
}

func (e *HistoryGoneError) Error() string {
	return fmt.Sprintf("the store no longer has the changes after revision %d", e.Revision)
}

// NoConfigurationError reports that the operator has not written a configuration yet.
type NoConfigurationError struct{}

func (*NoConfigurationError) Error() string { return "there is no configuration yet" }

// NoCopyError reports that no balancer of a failure domain has stored a copy of the list of endpoints.
type NoCopyError struct {
	FailureDomain string
}

func (e *NoCopyError) Error() string {
	return fmt.Sprintf("there is no copy of the endpoints from failure domain %q", e.FailureDomain)
}

// Fault describes an entry of the store that cannot be used.
type Fault struct {
	Subject string // endpoint or route
	Name    string
	Reason  string
}
