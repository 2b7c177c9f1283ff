package peer

import (
	"fmt"
	"net/netip"
)

// Stage is the stage at which a call failed.
type Stage string

// The stages. From StageRequest on in this list, the peer may have handled the request.
const (
	StageLimit   Stage = "limit"   // all allowed sessions are in use, or the transport is closed
	StageDial    Stage = "dial"    // no connection to the peer could be made
	StageOpen    Stage = "open"    // no stream could be opened on the session
	StageEncode  Stage = "encode"  // the request is too large; nothing was sent
	StageRequest Stage = "request" // the request could not be sent in full
	StageReply   Stage = "reply"   // no complete reply was received, for example before the deadline
	StageDecode  Stage = "decode"  // the reply is invalid or does not match the request
	StageRemote  Stage = "remote"  // the peer answered with an error; Err is a *RemoteError
)

// CallError reports a failed request to a peer.
type CallError struct {
	Kind  TrafficKind
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

// RemoteError is the error with which a peer answered a request.
type RemoteError struct {
	Text string
}

// Error implements error.
func (e *RemoteError) Error() string { return "refused by the peer: " + e.Text }

// TooLargeError reports a message that was not sent because its size exceeds the limit.
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
