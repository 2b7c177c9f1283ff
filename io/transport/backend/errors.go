package backend

import (
	"fmt"
	"net/netip"
	"time"

	"cornellb/core/state/packet"
)

// NotConnectedError reports that no connection to the endpoint was requested, or that none is ready for frames.
type NotConnectedError struct {
	Endpoint netip.AddrPort
}

// Error implements error.
func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("backend: %s: not connected", e.Endpoint)
}

// QueueFullError reports that the send queue of the connection has reached its limit of frames or bytes.
type QueueFullError struct {
	Endpoint netip.AddrPort
	Frames   int // number of frames in the queue
	Bytes    int // their encoded size
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("backend: %s: send queue is full: %d frames, %d bytes", e.Endpoint, e.Frames, e.Bytes)
}

// WrongServiceError reports that the backend server serves another service than expected, or that the connection was
// requested for another service than the one that the frame names.
type WrongServiceError struct {
	Endpoint netip.AddrPort
	Expected string
	Actual   string
}

// Error implements error.
func (e *WrongServiceError) Error() string {
	return fmt.Sprintf("backend: %s: service is %q, expected %q", e.Endpoint, e.Actual, e.Expected)
}

// DialError reports an attempt to connect that failed.
type DialError struct {
	Endpoint netip.AddrPort
	Err      error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("backend: %s: dial: %v", e.Endpoint, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// ConnectionError reports a connection that failed while reading or writing.
type ConnectionError struct {
	Endpoint  netip.AddrPort
	Operation string // read or write
	Err       error
}

// Error implements error.
func (e *ConnectionError) Error() string {
	return fmt.Sprintf("backend: %s: %s: %v", e.Endpoint, e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *ConnectionError) Unwrap() error { return e.Err }

// SilenceError reports a connection on which no frame arrived for silenceLimit, although the answer to a Hello or Ping
// was due.
type SilenceError struct {
	Endpoint netip.AddrPort
	Silence  time.Duration
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("backend: %s: no frame received for %s", e.Endpoint, e.Silence)
}

// FrameError reports a frame of a kind that a backend server must not send, or must not send at this point.
type FrameError struct {
	Endpoint netip.AddrPort
	Kind     packet.BackendKind
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("backend: %s: unexpected frame of kind %d", e.Endpoint, e.Kind)
}

// DisconnectedError reports a connection that was closed because of Disconnect, Close, or a Connect that names another
// service.
type DisconnectedError struct {
	Endpoint netip.AddrPort
}

// Error implements error.
func (e *DisconnectedError) Error() string {
	return fmt.Sprintf("backend: %s: connection is no longer requested, or requested for another service", e.Endpoint)
}
