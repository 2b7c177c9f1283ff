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

// A patch is a sequence of chunks, each preceded by its compressed length as a uvarint. Each chunk of the content is
// compressed with the part of the base around the same offset as the preset dictionary, because the flate window is
// only 32 KB and segments may be twice as long. If content and base differ by a few entries, the patch is about as
// large as these entries.
const (
	patchChunkSize  = 16 << 10 // bytes of the content
	patchDictBefore = 8 << 10  // bytes of the base before the chunk's offset
	patchDictAfter  = 24 << 10 // bytes of the base from the chunk's offset on
)

// PatchError reports a patch that is malformed or whose content exceeds the size limit.
type PatchError struct {
	Reason string
}

func (e *PatchError) Error() string { return fmt.Sprintf("invalid patch: %s", e.Reason) }

func patchDictionary(base []byte, offset int) []byte {
	return base[min(len(base), max(0, offset-patchDictBefore)):min(len(base), offset+patchDictAfter)]
}

// MakePatch encodes content as a difference from base, which may be empty.
func MakePatch(base, content []byte) ([]byte, error) {
	var patch, chunk bytes.Buffer
	for offset := 0; offset < len(content); offset += patchChunkSize {
		chunk.Reset()
		w, err := flate.NewWriterDict(&chunk, flate.DefaultCompression, patchDictionary(base, offset))
		if err != nil {
			return nil, errors.Wrap(err, "make patch")
		}
		if _, err := w.Write(content[offset:min(len(content), offset+patchChunkSize)]); err != nil {
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

// patchReaders reuses decompressors: allocating their window is most of the cost of decoding a short chunk.
var patchReaders = sync.Pool{New: func() any { return flate.NewReader(bytes.NewReader(nil)) }}

// ApplyPatch returns the content that a patch produces from base. It returns a *PatchError for a malformed patch or
// content longer than limit bytes. The patch has no checksum: the caller must check the digest of the content.
func ApplyPatch(base, patch []byte, limit int) ([]byte, error) {
	reader := patchReaders.Get().(io.ReadCloser)
	defer patchReaders.Put(reader)
	var content []byte
	for rest := patch; len(rest) > 0; {
		size, n := binary.Uvarint(rest)
		if n <= 0 || size > uint64(len(rest)-n) {
			return nil, &PatchError{Reason: fmt.Sprintf("invalid chunk length, %d bytes of the patch are left", len(rest))}
		}
		if len(content)%patchChunkSize != 0 {
			return nil, &PatchError{Reason: fmt.Sprintf("a chunk before the last one has less than %d bytes", patchChunkSize)}
		}
		chunk := bytes.NewReader(rest[n : n+int(size)])
		if err := reader.(flate.Resetter).Reset(chunk, patchDictionary(base, len(content))); err != nil {
			return nil, &PatchError{Reason: err.Error()}
		}
		data, err := io.ReadAll(io.LimitReader(reader, patchChunkSize+1))
		if err != nil {
			return nil, &PatchError{Reason: err.Error()}
		}
		if len(data) > patchChunkSize || len(content)+len(data) > limit {
			return nil, &PatchError{Reason: fmt.Sprintf("content exceeds %d bytes or a chunk exceeds %d bytes",
				limit, patchChunkSize)}
		}
		content = append(content, data...)
		rest = rest[n+int(size):]
	}
	return content, nil
}
