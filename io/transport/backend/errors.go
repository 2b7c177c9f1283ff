package backend

import (
	"fmt"
	"net/netip"
	"time"

	"cornellb/core/state/packet"
)

// NotConnectedError reports that the endpoint is not wanted or has no connection that is ready for frames.
type NotConnectedError struct {
	Endpoint netip.AddrPort
}

// Error implements error.
func (e *NotConnectedError) Error() string {
	return fmt.Sprintf("backend: %s: not connected", e.Endpoint)
}

// QueueFullError reports that too many frames or bytes wait for the connection's writer.
type QueueFullError struct {
	Endpoint netip.AddrPort
	Frames   int
	Bytes    int
}

// Error implements error.
func (e *QueueFullError) Error() string {
	return fmt.Sprintf("backend: %s: queue is full with %d frames and %d bytes", e.Endpoint, e.Frames, e.Bytes)
}

// WrongServiceError reports that the backend server, or the link to it, belongs to another service than expected.
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

// SilenceError reports a connection on which no frame arrived although one was due.
type SilenceError struct {
	Endpoint netip.AddrPort
	Silence  time.Duration
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("backend: %s: no frame for %s", e.Endpoint, e.Silence)
}

// FrameError reports a frame that a backend server must not send, or not at this point.
type FrameError struct {
	Endpoint netip.AddrPort
	Kind     packet.BackendKind
}

// Error implements error.
func (e *FrameError) Error() string {
	return fmt.Sprintf("backend: %s: unexpected frame of kind %d", e.Endpoint, e.Kind)
}

// ForgottenError reports a connection that ended because the endpoint is not wanted any more, or for another service.
type ForgottenError struct {
	Endpoint netip.AddrPort
}

// Error implements error.
func (e *ForgottenError) Error() string {
	return fmt.Sprintf("backend: %s: not wanted any more", e.Endpoint)
}
