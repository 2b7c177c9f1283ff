// Package content defines the payloads that the stand-ins for callers and backend servers exchange, so that each side
// can check what it received.
//
// # Usage
//
// A caller sends the bytes of Request.Append and compares the answer with Request.Answer. A backend server decodes the
// request with ParseRequest. Item returns the content of a feed item for both sides. All contents depend only on their
// arguments, so every backend server of a service sends the same answer and the same feed.
package content

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/packet"
)

// MaxIDBytes is the largest length of a request ID.
const MaxIDBytes = 200

// itemBytes is the size of a feed item's content.
const itemBytes = 64

// Request is the payload of a request.
type Request struct {
	ID      string // unique per request, chosen by the caller
	Service string // service that the caller wants
	Size    int    // size of the answer that the caller wants, in bytes
}

// FormatError reports a payload that is not a Request.
type FormatError struct {
	Message string
}

func (e *FormatError) Error() string { return "request payload: " + e.Message }

// Append appends the encoded request to b.
func (r Request) Append(b []byte) []byte {
	b = binary.AppendUvarint(b, uint64(r.Size))
	b = binary.AppendUvarint(b, uint64(len(r.ID)))
	b = append(b, r.ID...)
	b = binary.AppendUvarint(b, uint64(len(r.Service)))
	return append(b, r.Service...)
}

// ParseRequest decodes a payload. It returns a *FormatError for anything but an encoded request.
func ParseRequest(b []byte) (Request, error) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > packet.MaxAnswerBytes {
		return Request{}, &FormatError{Message: "size of the answer is missing or too large"}
	}
	id, b, ok := cutString(b[n:], MaxIDBytes)
	if !ok || id == "" {
		return Request{}, &FormatError{Message: "ID is missing, empty, truncated or too long"}
	}
	service, b, ok := cutString(b, packet.MaxNameBytes)
	if !ok || len(b) != 0 {
		return Request{}, &FormatError{Message: fmt.Sprintf("service is malformed or followed by other data, %d bytes left", len(b))}
	}
	return Request{ID: id, Service: service, Size: int(size)}, nil
}

// cutString decodes a string after its length. ok is false if it is truncated or longer than limit.
func cutString(b []byte, limit uint64) (s string, rest []byte, ok bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > limit || uint64(len(b)-n) < size {
		return "", b, false
	}
	return string(b[n : n+int(size)]), b[n+int(size):], true
}

// Answer returns the answer to a request.
func (r Request) Answer() []byte {
	return pseudorandomBytes(r.Size, xxhash.Sum64String(r.Service+"\x00"+r.ID))
}

// Item returns the content of a feed item.
func Item(service, feed string, sequence uint64) []byte {
	return pseudorandomBytes(itemBytes, xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", service, feed, sequence)))
}

// pseudorandomBytes returns size bytes that depend only on size and seed.
func pseudorandomBytes(size int, seed uint64) []byte {
	random := rand.NewPCG(seed, uint64(size))
	b := make([]byte, 0, size+8)
	for len(b) < size {
		b = binary.LittleEndian.AppendUint64(b, random.Uint64())
	}
	return b[:size]
}
