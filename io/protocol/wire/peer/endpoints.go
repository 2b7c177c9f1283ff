package peer

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cornellb/core/state/directory"
)

// maxListBytes limits the size of a list of endpoints after decompression, so that a small compressed one cannot use up the
// memory of a host. At 80 bytes for each, it holds 100,000 endpoints.
const maxListBytes = 8 << 20

// CompressEndpoints encodes all endpoints that are registered at a revision of the store in less than a fifth of the bytes
// that the store's own list takes.
func CompressEndpoints(endpoints []directory.Endpoint, revision uint64, now time.Time) ([]byte, error) {
	b, err := proto.Marshal(NewDirectoryReply(&DirectoryUpdate{Revision: revision, Endpoints: endpoints}, now))
	if err != nil {
		return nil, errors.Wrap(err, "encode endpoints")
	}
	var compressed bytes.Buffer
	w, err := flate.NewWriter(&compressed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "compress endpoints")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress endpoints")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress endpoints")
	}
	return compressed.Bytes(), nil
}

// DecompressEndpoints decodes and checks what CompressEndpoints has encoded. The error is a *DecodeError.
func DecompressEndpoints(b []byte, now time.Time) ([]directory.Endpoint, uint64, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxListBytes+1))
	if err != nil {
		return nil, 0, &DecodeError{Message: "DirectoryReply", Field: "flate", Reason: ReasonMalformed}
	}
	if len(text) > maxListBytes {
		return nil, 0, &DecodeError{Message: "DirectoryReply", Field: "flate", Reason: ReasonTooLong}
	}
	var x DirectoryReply
	if err := proto.Unmarshal(text, &x); err != nil {
		return nil, 0, &DecodeError{Message: "DirectoryReply", Reason: ReasonMalformed}
	}
	d, err := x.Core(now)
	if err != nil {
		return nil, 0, err
	}
	if d.Revision == 0 {
		return nil, 0, &DecodeError{Message: "DirectoryReply", Field: "revision", Reason: ReasonMissing}
	}
	return d.Endpoints, d.Revision, nil
}
