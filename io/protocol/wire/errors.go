package wire

import "fmt"

// Reason tells what is wrong with encoded input.
type Reason string

// The reasons.
const (
	ReasonMalformed  Reason = "malformed"    // not valid protobuf
	ReasonTooLong    Reason = "too_long"     // a length above its limit
	ReasonLength     Reason = "wrong_length" // a value of fixed size has another length
	ReasonOutOfRange Reason = "out_of_range" // a number or enum above its limit
	ReasonNotUTF8    Reason = "not_utf8"     // a string is not valid UTF-8
	ReasonUnknownKey Reason = "unknown_key"  // a ticket names a key that is not configured
	ReasonForged     Reason = "forged"       // the authentication code of a ticket does not match
)

// DecodeError reports input that cannot be decoded. Field is empty if no single field is at fault.
type DecodeError struct {
	Message string // name of the protobuf message
	Field   string
	Reason  Reason
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("wire: %s: %s", e.Message, e.Reason)
	}
	return fmt.Sprintf("wire: %s.%s: %s", e.Message, e.Field, e.Reason)
}

// KeyError reports a ticket key that cannot be used.
type KeyError struct {
	ID     uint8
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("wire: ticket key %d: %s", e.ID, e.Reason) }

// TooLargeError reports a backend frame above MaxFrameBytes, which was not encoded.
type TooLargeError struct {
	Bytes int // encoded size
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("wire: backend frame of %d bytes exceeds the limit of %d bytes", e.Bytes, MaxFrameBytes)
}
