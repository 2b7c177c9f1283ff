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

// ChangeLimit is the maximum number of changes that a head lists. A command that got no response to its write looks for
// its change in this list, so the outcome can no longer be determined once ChangeLimit other changes have followed.
const ChangeLimit = 64

// maxChangeTextBytes bounds the ID and the operator of a change in bytes, so that 64 changes take only a small part of
// a head.
const maxChangeTextBytes = 128

// digestBytes is the length to which SHA-256 is truncated. 128 bits still make accidental and second-preimage
// collisions infeasible, and halve the size of the digests that a balancer sends when it requests tables from a peer.
const digestBytes = 16

// Digest identifies a segment or an encoded head by its content: the first 16 bytes of its SHA-256, in hexadecimal.
type Digest string

// DigestOf computes the digest of encoded content.
func DigestOf(content []byte) Digest {
	sum := sha256.Sum256(content)
	return Digest(hex.EncodeToString(sum[:digestBytes]))
}

// IsValid reports whether the digest has the right length and consists of lowercase hexadecimal digits.
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

// Change records which operator created a version, and when.
type Change struct {
	Version  uint64    `json:"version"`
	ID       string    `json:"id"`
	Operator string    `json:"operator"`
	Time     time.Time `json:"time"`
}

// Head is the manifest of one version of both tables: it lists the digests of their segments.
type Head struct {
	Version uint64   `json:"version"`
	Routes  []Digest `json:"routes"`
	Pools   []Digest `json:"pools"`
	Changes []Change `json:"changes"` // the last ChangeLimit changes, oldest first; the last one created this version
}

// HeadError reports a head that cannot be decoded, is inconsistent, or does not match its segments.
type HeadError struct {
	Reason string
}

func (e *HeadError) Error() string { return "invalid head of the tables: " + e.Reason }

// Encode returns the stored form of the head, JSON. Equal heads have equal encodings.
func (h *Head) Encode() ([]byte, error) {
	data, err := json.Marshal(h)
	return data, errors.Wrap(err, "encode head")
}

// DecodeHead decodes and checks the stored form of a head. It returns a *HeadError for invalid input.
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

// Check returns a *HeadError if the version, the digests or the list of changes are inconsistent.
func (h *Head) Check() error {
	if h.Version == 0 {
		return &HeadError{Reason: "version is 0, must be at least 1"}
	}
	for name, digests := range map[string][]Digest{Routes: h.Routes, Pools: h.Pools} {
		if n := len(digests); n == 0 || n > MaxSegments || n&(n-1) != 0 {
			return &HeadError{Reason: fmt.Sprintf("%d segments of %s, must be a power of two up to %d", n, name, MaxSegments)}
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
		return &HeadError{Reason: fmt.Sprintf("%d changes, must be 1 to %d", n, ChangeLimit)}
	}
	// Each change increases the version by one. Without this check, a corrupt version that is far too high would block
	// all later versions permanently, because the version in force never decreases.
	for i, c := range h.Changes {
		if want := h.Version - uint64(n-1-i); c.Version != want || want == 0 || want > h.Version {
			return &HeadError{Reason: fmt.Sprintf("change %d of %d has version %d, which does not match head version %d",
				i+1, n, c.Version, h.Version)}
		}
		for _, text := range []string{c.ID, c.Operator} {
			if len(text) > maxChangeTextBytes || !isPrintable(text) {
				return &HeadError{Reason: fmt.Sprintf(
					"ID or operator of change %d is not printable or exceeds %d bytes", i+1, maxChangeTextBytes)}
			}
		}
	}
	return nil
}

// AppendChange sets the list of changes: those of the preceding head, which may be nil, and then the change that
// created this head. Only the last ChangeLimit changes are kept.
func (h *Head) AppendChange(before *Head, change Change) {
	change.Version = h.Version
	changes := []Change{}
	if before != nil {
		changes = append(changes, before.Changes...)
	}
	changes = append(changes, change)
	h.Changes = changes[max(0, len(changes)-ChangeLimit):]
}

// FindChange returns the listed change with the given ID.
func (h *Head) FindChange(id string) (Change, bool) {
	for _, c := range h.Changes {
		if c.ID == id {
			return c, true
		}
	}
	return Change{}, false
}

// Digests returns the distinct segment digests of both tables in sorted order.
func (h *Head) Digests() []Digest {
	all := append(slices.Clone(h.Routes), h.Pools...)
	slices.Sort(all)
	return slices.Compact(all)
}

// Missing returns the distinct segment digests for which has returns false, in sorted order.
func (h *Head) Missing(has func(Digest) bool) []Digest {
	return slices.DeleteFunc(h.Digests(), has)
}

// decodeStrict decodes JSON and rejects unknown fields and trailing data.
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
