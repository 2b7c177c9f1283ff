package peer

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/state/table"
)

// TestTablesLimits guards against messages about tables of the largest size that are refused: a balancer that does not
// read the store would keep its version.
func TestTablesLimits(t *testing.T) {
	const most = 2 * table.MaxSegments // segments of both tables
	for name, c := range map[string]struct {
		segments int
		isValid  bool
	}{
		"largest tables": {most, true}, "too many segments": {most + 1, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			request, reply, change := &TablesRequest{}, &TablesReply{Segments: make(map[string][]byte)}, &TablesChangeReply{}
			for i := range c.segments {
				digest := fmt.Sprintf("%032x", i)
				request.Have = append(request.Have, digest)
				reply.Segments[digest] = []byte("segment")
				change.Segments = append(change.Segments, &SegmentPatch{Digest: digest})
			}
			for _, err := range []error{request.Check(), reply.Check(), change.Check()} {
				if c.isValid {
					is.NoErr(err)
					continue
				}
				var invalid *DecodeError
				is.True(errors.As(err, &invalid))
				is.Equal(invalid.Reason, ReasonTooLong)
			}
		})
	}
}
