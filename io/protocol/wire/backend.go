package wire

import (
	"bufio"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire/backend"
	"cornellb/io/protocol/wire/datagram"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// MaxFrameBytes is the largest encoded backend frame, without its length prefix: the largest answer and 4 KiB for the
// other fields.
const MaxFrameBytes = packet.MaxAnswerBytes + 4<<10

// AppendBackend appends the frame with its length prefix to dst and returns the extended slice. The error is a
// *TooLargeError, or that of the protobuf encoder if a string is not valid UTF-8; dst is returned unchanged then.
func AppendBackend(dst []byte, m *packet.Backend) ([]byte, error) {
	message := toBackendMessage(m)
	size := proto.Size(message)
	if size > MaxFrameBytes {
		return dst, &TooLargeError{Bytes: size}
	}
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(protowire.AppendVarint(dst, uint64(size)), message)
	if err != nil {
		return dst, errors.Wrap(err, "wire: encode backend frame")
	}
	return out, nil
}

// ReadBackend reads one frame into m. The payload does not alias the buffer of r. The error is a *DecodeError or the
// error of r; io.EOF is returned only if r ends between two frames.
func ReadBackend(r *bufio.Reader, m *packet.Backend) error {
	var message backend.Backend
	err := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}.UnmarshalFrom(r, &message)
	var tooLarge *protodelim.SizeTooLargeError
	switch {
	case errors.As(err, &tooLarge):
		return &DecodeError{Message: "Backend", Reason: ReasonTooLong}
	case errors.Is(err, proto.Error):
		return &DecodeError{Message: "Backend", Reason: ReasonMalformed}
	case err != nil:
		return err
	}
	return fromBackendMessage(&message, m)
}

func toBackendMessage(m *packet.Backend) *backend.Backend {
	return &backend.Backend{
		Kind:                backend.Kind(m.Kind),
		Service:             m.Service,
		Incarnation:         m.Incarnation,
		Attempt:             m.Attempt,
		Stream:              m.Stream,
		Customer:            m.Customer,
		Class:               datagram.Class(m.Class),
		Idempotent:          m.Idempotent,
		TimeoutMicroseconds: encodeDuration(m.Timeout),
		Started:             m.Started,
		Feed:                m.Feed,
		Sequence:            m.Sequence,
		Busy:                m.Busy,
		Leaving:             m.Leaving,
		Payload:             m.Payload,
	}
}

func fromBackendMessage(message *backend.Backend, m *packet.Backend) error {
	if err := checkBackendMessage(message); err != nil {
		return err
	}
	*m = packet.Backend{
		Kind:        packet.BackendKind(message.Kind),
		Service:     message.Service,
		Incarnation: message.Incarnation,
		Attempt:     message.Attempt,
		Stream:      message.Stream,
		Customer:    message.Customer,
		Class:       packet.Class(message.Class),
		Idempotent:  message.Idempotent,
		Timeout:     time.Duration(message.TimeoutMicroseconds) * time.Microsecond,
		Started:     message.Started,
		Feed:        message.Feed,
		Sequence:    message.Sequence,
		Busy:        message.Busy,
		Leaving:     message.Leaving,
		Payload:     message.Payload,
	}
	return nil
}

func checkBackendMessage(message *backend.Backend) error {
	fail := func(field string, reason DecodeReason) error {
		return &DecodeError{Message: "Backend", Field: field, Reason: reason}
	}
	switch {
	case message.Kind <= 0 || message.Kind >= backend.Kind(packet.BackendKindCount):
		return fail("kind", ReasonOutOfRange)
	case message.Class < 0 || message.Class >= datagram.Class(packet.ClassCount):
		return fail("class", ReasonOutOfRange)
	case message.TimeoutMicroseconds > uint64(MaxDuration/time.Microsecond):
		return fail("timeout_microseconds", ReasonOutOfRange)
	case len(message.Service) > packet.MaxNameBytes:
		return fail("service", ReasonTooLong)
	case len(message.Customer) > packet.MaxNameBytes:
		return fail("customer", ReasonTooLong)
	case len(message.Feed) > packet.MaxNameBytes:
		return fail("feed", ReasonTooLong)
	case len(message.Payload) > packet.MaxAnswerBytes:
		return fail("payload", ReasonTooLong)
	}
	return nil
}
