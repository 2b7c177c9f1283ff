package table

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// A patch is made of chunks. Each chunk is compressed with the part of the base around the same offset as dictionary,
// because flate looks back 32 KB only and segments may be twice as long. Contents that differ by a few entries thus cost
// about the size of these entries.
const (
	patchChunk  = 16 << 10
	patchBefore = 8 << 10  // of the dictionary, before the chunk's offset
	patchAfter  = 24 << 10 // of the dictionary, from the chunk's offset on
)

// PatchError reports a patch that can't be applied.
type PatchError struct {
	Reason string
}

func (e *PatchError) Error() string { return fmt.Sprintf("faulty patch: %s", e.Reason) }

func patchDictionary(base []byte, offset int) []byte {
	return base[min(len(base), max(0, offset-patchBefore)):min(len(base), offset+patchAfter)]
}

// MakePatch encodes a content as the difference from a base, which may be empty.
func MakePatch(base, content []byte) ([]byte, error) {
	var patch, chunk bytes.Buffer
	for offset := 0; offset < len(content); offset += patchChunk {
		chunk.Reset()
		w, err := flate.NewWriterDict(&chunk, flate.DefaultCompression, patchDictionary(base, offset))
		if err != nil {
			return nil, errors.Wrap(err, "make patch")
		}
		if _, err := w.Write(content[offset:min(len(content), offset+patchChunk)]); err != nil {
			return nil, errors.Wrap(err, "make patch")
		}
		if err := w.Close(); err != nil {
			return nil, errors.Wrap(err, "make patch")
		}
		patch.Write(binary.AppendUvarint(nil, uint64(chunk.Len())))
		patch.Write(chunk.Bytes())
	}
	return patch.Bytes(), nil
}

// patchReaders keeps decompressors, whose windows are most of the cost of a short chunk.
var patchReaders = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// ApplyPatch returns the content of a patch. It returns a *PatchError for a faulty patch or a content above the limit in
// bytes. Whether the content is the right one is for the caller to check.
func ApplyPatch(base, patch []byte, limit int) ([]byte, error) {
	reader := patchReaders.Get().(io.ReadCloser)
	defer patchReaders.Put(reader)
	var content []byte
	for rest := patch; len(rest) > 0; {
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			return nil, &PatchError{Reason: "a chunk is cut off"}
		}
		if len(content)%patchChunk != 0 {
			return nil, &PatchError{Reason: "a chunk before the last one is short"}
		}
		chunk := bytes.NewReader(rest[n : n+int(size)])
		if err := reader.(flate.Resetter).Reset(chunk, patchDictionary(base, len(content))); err != nil {
			return nil, &PatchError{Reason: err.Error()}
		}
		data, err := io.ReadAll(io.LimitReader(reader, patchChunk+1))
		if err != nil {
			return nil, &PatchError{Reason: err.Error()}
		}
		if len(data) > patchChunk || len(content)+len(data) > limit {
			return nil, &PatchError{Reason: "the content is too long"}
		}
		content = append(content, data...)
		rest = rest[n+int(size):]
	}
	return content, nil
}
