package table

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/pkg/errors"
)

// ChangeLimit is the number of changes that a head remembers. An operator whose response was lost looks there for the
// change, so the limit bounds how many other changes may follow before the outcome can no longer be told.
const ChangeLimit = 64

// changeTextLimit bounds the ID and the operator of a change in bytes, so that 64 changes stay a small part of a head.
const changeTextLimit = 128

// digestBytes truncates SHA-256: 128 bits keep accidental and second-preimage collisions out of reach and halve the
// digests that a member sends when it asks a peer for tables.
const digestBytes = 16

// Digest names a segment by its content: the first 16 bytes of the SHA-256, in hexadecimal.
type Digest string

// DigestOf returns the digest of a content.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// IsValid reports whether the digest is well formed.
func (d Digest) IsValid() bool {
	if len(d) != 2*digestBytes {
		return false
	}
	for _, c := range d {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return false
		}
	}
	return true
}

// Change records who made a version.
type Change struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

// Head names the segments of one version of both tables.
type Head struct {
	Version uint64   `json:"version"`
	Routes  []Digest `json:"routes"`
	Pools   []Digest `json:"pools"`
	Changes []Change `json:"changes"` // the last ChangeLimit changes, oldest first; the last one made this version
}

// HeadError reports a head that cannot be used.
type HeadError struct {
	Reason string
}

func (e *HeadError) Error() string { return "faulty head of the tables: " + e.Reason }

// Encode returns the stored form of the head. Equal heads have equal encodings.
func (h *Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Wrap(err, "encode head")
}

// DecodeHead reads and checks the stored form of a head. It returns a *HeadError for faulty input.
func DecodeHead(data []byte) (*Head, error) {
	h := &Head{}
	if err := decodeStrict(data, h); err != nil {
		return nil, &HeadError{Reason: err.Error()}
	}
	if err := h.Check(); err != nil {
		return nil, err
	}
	return h, nil
}

// Check returns a *HeadError if the head is not consistent in itself.
func (h *Head) Check() error {
	if h.Version == 0 {
		return &HeadError{Reason: "version 0"}
	}
	for name, digests := range map[string][]Digest{Routes: h.Routes, Pools: h.Pools} {
		if n := len(digests); n == 0 || n > maxSegments || n&(n-1) != 0 {
			return &HeadError{Reason: fmt.Sprintf("%d segments of %s, not a power of two up to %d", n, name, maxSegments)}
		}
		for _, d := range digests {
			if !d.IsValid() {
				return &HeadError{Reason: fmt.Sprintf("malformed digest %.40q", string(d))}
			}
		}
	}
	return h.checkChanges()
}

func (h *Head) checkChanges() error {
	n := len(h.Changes)
	if n == 0 || n > ChangeLimit {
		return &HeadError{Reason: fmt.Sprintf("%d changes, not 1 to %d", n, ChangeLimit)}
	}
	// The version rises by one with each change. A corrupt version that is far too high would otherwise win over all
	// later ones for good, because a version in force never reverts.
	for i, c := range h.Changes {
		if want := h.Version - uint64(n-1-i); c.Version != want || want == 0 || want > h.Version {
			return &HeadError{Reason: fmt.Sprintf("change %d has version %d, the head version %d", i+1, c.Version, h.Version)}
		}
		for _, text := range []string{c.ID, c.Operator} {
			if len(text) > changeTextLimit || !isPrintable(text) {
				return &HeadError{Reason: fmt.Sprintf(
					"ID or operator of change %d is not printable or exceeds %d bytes", i+1, changeTextLimit)}
			}
		}
	}
	return nil
}

// Append records the change that made the head, after the changes of its predecessor, which may be nil.
func (h *Head) Append(before *Head, change Change) {
	change.Version = h.Version
	changes := []Change{}
	if before != nil {
		changes = append(changes, before.Changes...)
	}
	changes = append(changes, change)
	h.Changes = changes[max(0, len(changes)-ChangeLimit):]
}

// FindChange returns the change with an ID.
func (h *Head) FindChange(id string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Digests returns the distinct digests of both tables in sorted order.
func (h *Head) Digests() []Digest {
	all := append(slices.Clone(h.Routes), h.Pools...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Missing returns the distinct digests for which has is false, in sorted order.
func (h *Head) Missing(has func(Digest) bool) []Digest {
	return slices.DeleteFunc(h.Digests(), has)
}

// decodeStrict rejects unknown fields and trailing data.
func decodeStrict(data []byte, value any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		return err
	}
	if d.More() || len(bytes.TrimSpace(data[d.InputOffset():])) > 0 {
		return errors.New("trailing data")
	}
	return nil
}
