package wire

import "fmt"

// DecodeReason is why input cannot be decoded. The reason for the outcome of a request is a packet.Reason.
type DecodeReason string

// The reasons.
const (
	ReasonMalformed   DecodeReason = "malformed"    // not valid protobuf
	ReasonTooLong     DecodeReason = "too_long"     // a length is above its limit
	ReasonWrongLength DecodeReason = "wrong_length" // a value does not have its fixed size, or a required address is empty
	ReasonOutOfRange  DecodeReason = "out_of_range" // a number or enum is outside its range
	ReasonNotUTF8     DecodeReason = "not_utf8"     // a string is not valid UTF-8
	ReasonUnknownKey  DecodeReason = "unknown_key"  // the key ID of a ticket is not configured
	ReasonForged      DecodeReason = "forged"       // the authentication code of a ticket does not match
)

// DecodeError reports input that cannot be decoded. Field is empty if the error does not concern a single field.
type DecodeError struct {
	Message string // name of the protobuf message
	Field   string
	Reason  DecodeReason
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("wire: %s: %s", e.Message, e.Reason)
	}
	return fmt.Sprintf("wire: %s.%s: %s", e.Message, e.Field, e.Reason)
}

// KeyError reports an invalid set of ticket keys.
type KeyError struct {
	ID     uint8 // of the invalid key; 0 if no key was given
	Reason string
}

// Error implements error.
func (e *KeyError) Error() string { return fmt.Sprintf("wire: ticket key %d: %s", e.ID, e.Reason) }

// TooLargeError reports a backend frame that was not encoded because it is larger than MaxFrameBytes.
type TooLargeError struct {
	Bytes int // encoded size
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("wire: backend frame of %d bytes exceeds the limit of %d bytes", e.Bytes, MaxFrameBytes)
}
