// Package content defines the payloads that the stand-ins for callers and backend servers exchange, so that each side
// can check what it received.
//
// # Usage
//
// A caller sends Request.Append and compares the answer with Answer of the same request. A backend server reads the
// request with ParseRequest. Item gives the content of a feed item for both sides. All contents are functions of their
// arguments, so any backend server of a service gives the same answer and the same feed.
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
	Size    int    // wanted size of the answer in bytes
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
		return Request{}, &FormatError{Message: "bad answer size"}
	}
	id, b, ok := cutString(b[n:], MaxIDBytes)
	if !ok || id == "" {
		return Request{}, &FormatError{Message: "bad ID"}
	}
	service, b, ok := cutString(b, packet.MaxNameBytes)
	if !ok || len(b) != 0 {
		return Request{}, &FormatError{Message: fmt.Sprintf("bad service, %d bytes left", len(b))}
	}
	return Request{ID: id, Service: service, Size: int(size)}, nil
}

func cutString(b []byte, limit uint64) (s string, rest []byte, ok bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > limit || uint64(len(b)-n) < size {
		return "", b, false
	}
	return string(b[n : n+int(size)]), b[n+int(size):], true
}

// Answer returns the answer to a request.
func (r Request) Answer() []byte {
	return fill(r.Size, xxhash.Sum64String(r.Service+"\x00"+r.ID))
}

// Item returns the content of a feed item.
func Item(service, feed string, sequence uint64) []byte {
	return fill(itemBytes, xxhash.Sum64String(fmt.Sprintf("%s\x00%s\x00%d", service, feed, sequence)))
}

func fill(size int, seed uint64) []byte {
	random := rand.NewPCG(seed, uint64(size))
	b := make([]byte, 0, size+8)
	for len(b) < size {
		b = binary.LittleEndian.AppendUint64(b, random.Uint64())
	}
	return b[:size]
}
