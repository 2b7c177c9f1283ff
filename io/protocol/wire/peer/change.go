package peer

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/table"
)

// Check checks the lengths of a request. The error is a *DecodeError.
func (x *TablesChangeRequest) Check() error {
	c := checker{message: "TablesChangeRequest"}
	c.checkLimit("base", len(x.GetBase()), MaxDigestBytes)
	return c.err
}

// Check checks the lengths of a reply; Apply checks the contents of the patches. The error is a *DecodeError.
func (x *TablesChangeReply) Check() error {
	c := checker{message: "TablesChangeReply"}
	c.checkLimit("digest", len(x.GetDigest()), MaxDigestBytes)
	c.checkLimit("head", len(x.GetHead()), MaxHeadBytes)
	c.checkLimit("segments", len(x.GetSegments()), MaxSegments)
	for _, s := range x.GetSegments() {
		c.checkLimit("segments", len(s.GetDigest()), MaxDigestBytes)
		c.checkLimit("segments", len(s.GetBase()), MaxDigestBytes)
		c.checkLimit("segments", len(s.GetPatch()), MaxSegmentBytes)
	}
	return c.err
}

// NewTablesChangeReply encodes a difference between two versions of the tables as patches. A nil difference means that
// the base is not known here.
func NewTablesChangeReply(c *configuration.TablesDifference) (*TablesChangeReply, error) {
	if c == nil {
		return &TablesChangeReply{}, nil
	}
	base, err := c.From.Encoded()
	if err != nil {
		return nil, err
	}
	head, err := c.To.Encoded()
	if err != nil {
		return nil, err
	}
	x := &TablesChangeReply{IsKnown: true, Digest: string(c.To.Digest)}
	if x.Head, err = table.MakePatch(base, head); err != nil {
		return nil, err
	}
	for _, r := range c.Segments {
		patch, err := table.MakePatch(c.From.Segment(r.Base), r.Segment.Data)
		if err != nil {
			return nil, err
		}
		x.Segments = append(x.Segments, &SegmentPatch{
			Digest: string(r.Segment.Digest), Base: string(r.Base), Patch: patch,
		})
	}
	return x, nil
}

// Apply applies the patches of a reply to the base that the request named, and returns the new head and the new
// segments. The errors are *table.PatchError, *table.HeadError and *table.SegmentError.
func (x *TablesChangeReply) Apply(base *configuration.Snapshot) (*table.Head, []*table.Segment, error) {
	before, err := base.Encoded()
	if err != nil {
		return nil, nil, err
	}
	encoded, err := table.ApplyPatch(before, x.GetHead(), MaxHeadBytes)
	if err != nil {
		return nil, nil, err
	}
	if table.DigestOf(encoded) != table.Digest(x.GetDigest()) {
		return nil, nil, &table.PatchError{Reason: "the digest of the patched head differs from the digest in the reply"}
	}
	head, err := table.DecodeHead(encoded)
	if err != nil {
		return nil, nil, err
	}
	var segments []*table.Segment
	for _, p := range x.GetSegments() {
		data, err := table.ApplyPatch(base.Segment(table.Digest(p.GetBase())), p.GetPatch(), table.SegmentLimit)
		if err != nil {
			return nil, nil, err
		}
		s, err := table.ParseSegment(table.Digest(p.GetDigest()), data)
		if err != nil {
			return nil, nil, err
		}
		segments = append(segments, s)
	}
	return head, segments, nil
}

// maxDecompressedBytes is the largest size of a compressed reply after decompression. It equals the limit that streams
// have for an uncompressed reply.
const maxDecompressedBytes = 16 << 20

// Compress returns a reply whose flate field holds x in compressed form.
func (x *TablesReply) Compress() (*TablesReply, error) {
	plain, err := proto.Marshal(x)
	if err != nil {
		return nil, errors.Wrap(err, "compress tables")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed) // for 8 MB of tables, a fifth of the time of the default level
	if err != nil {
		return nil, errors.Wrap(err, "compress tables")
	}
	if _, err := w.Write(plain); err != nil {
		return nil, errors.Wrap(err, "compress tables")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress tables")
	}
	return &TablesReply{Flate: out.Bytes()}, nil
}

// Decompress returns the reply without compression, which is x itself if x is not compressed. The error is a
// *DecodeError.
func (x *TablesReply) Decompress() (*TablesReply, error) {
	if len(x.GetFlate()) == 0 {
		return x, nil
	}
	plain, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(x.GetFlate())), maxDecompressedBytes+1))
	if err != nil {
		return nil, &DecodeError{Message: "TablesReply", Field: "flate", Reason: ReasonMalformed}
	}
	if len(plain) > maxDecompressedBytes {
		return nil, &DecodeError{Message: "TablesReply", Field: "flate", Reason: ReasonTooLong}
	}
	reply := &TablesReply{}
	if proto.Unmarshal(plain, reply) != nil || len(reply.GetFlate()) > 0 {
		return nil, &DecodeError{Message: "TablesReply", Field: "flate", Reason: ReasonMalformed}
	}
	return reply, nil
}
