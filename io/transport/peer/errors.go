package peer

import (
	"fmt"
	"net/netip"
)

// Stage is the part of a call that failed.
type Stage string

// The stages, in order.
const (
	StageLimit   Stage = "limit"   // too many sessions are in use
	StageDial    Stage = "dial"    // no connection to the peer
	StageOpen    Stage = "open"    // no stream on the session
	StageEncode  Stage = "encode"  // the request is faulty or too large; nothing was sent
	StageRequest Stage = "request" // the request was not sent in full
	StageReply   Stage = "reply"   // no whole reply came before the deadline
	StageDecode  Stage = "decode"  // the reply is faulty
	StageRemote  Stage = "remote"  // the peer refused; Err is a *RemoteError
)

// CallError reports a failed request to a peer.
type CallError struct {
	Kind  Kind
	To    netip.AddrPort
	Stage Stage
	Err   error
}

// Error implements error.
func (e *CallError) Error() string {
	return fmt.Sprintf("peer: %v call to %v: %s: %v", e.Kind, e.To, e.Stage, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// RemoteError is the reason that a peer gave for a refusal.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "refused by the peer: " + e.Text }

// TooLargeError reports a message above the limit, which was not sent.
type TooLargeError struct {
	Bytes int // encoded size
	Limit int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("message of %d bytes exceeds the limit of %d bytes", e.Bytes, e.Limit)
}

// LimitError reports that all allowed sessions are in use.
type LimitError struct {
	Sessions int
}

// Error implements error.
func (e *LimitError) Error() string { return fmt.Sprintf("all %d sessions are in use", e.Sessions) }

// SettingsError reports a setting that cannot be used.
type SettingsError struct {
	Setting string
	Reason  string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("peer: setting %s: %s", e.Setting, e.Reason)
}
