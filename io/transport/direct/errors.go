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

// HistoryGoneError reports a watch from a revision after which the store no longer has all changes, or whose revision
// has another meaning since the store was restored from a copy.
type HistoryGoneError struct {
	Revision uint64
	Era      uint64 // of the reply if it is higher than the one that the watch began in; else 0
}

func (e *HistoryGoneError) Error() string {
	if e.Era != 0 {
		return fmt.Sprintf("the store was restored (era %d) since revision %d", e.Era, e.Revision)
	}
	return fmt.Sprintf("the store no longer has the changes after revision %d", e.Revision)
}

// NoConfigurationError reports that the operator has not written a configuration yet.
type NoConfigurationError struct{}

func (*NoConfigurationError) Error() string { return "there is no configuration yet" }

// Fault describes an entry of the store that cannot be used.
type Fault struct {
	Subject string // endpoint or route
	Name    string
	Reason  string
}
