package content

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestRequest guards against request IDs that change in encoding or decoding, which would hide executions, and against
// panics on damaged payloads.
func TestRequest(t *testing.T) {
	is := is.New(t)
	q := Request{ID: "run/1", Service: "reminders", Size: 1000}
	encoded := q.Append(nil)
	got, err := ParseRequest(encoded)
	is.NoErr(err)
	is.Equal(got, q)
	is.Equal(len(q.Answer()), q.Size)
	for n := range encoded {
		_, err := ParseRequest(encoded[:n])
		is.True(err != nil)
	}
	rapid.Check(t, func(t *rapid.T) {
		// The test only checks that nothing panics.
		_, _ = ParseRequest(rapid.SliceOf(rapid.Byte()).Draw(t, "payload"))
	})
}
