package table_test

import (
	"bytes"
	"math/rand"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"cornellb/core/state/table"
)

// TestPatch guards against content that ApplyPatch does not restore exactly, also when the base is shorter,
// longer or unrelated, and against a panic or an unexpected error type for a corrupt patch.
func TestPatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		random := rand.New(rand.NewSource(rapid.Int64().Draw(t, "seed")))
		base := make([]byte, rapid.IntRange(0, 70_000).Draw(t, "base"))
		random.Read(base)
		from := rapid.IntRange(0, len(base)).Draw(t, "from")
		to := rapid.IntRange(from, len(base)).Draw(t, "to")
		inserted := rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "inserted")
		content := append(append(bytes.Clone(base[:from]), inserted...), base[to:]...)
		patch, err := table.MakePatch(base, content)
		is.NoErr(err)
		got, err := table.ApplyPatch(base, patch, len(content))
		is.NoErr(err)
		is.True(bytes.Equal(got, content))
		var fault *table.PatchError
		if len(content) > 0 {
			_, err = table.ApplyPatch(base, patch, len(content)-1)
			is.True(errors.As(err, &fault)) // content longer than the limit is rejected
			patch[rapid.IntRange(0, len(patch)-1).Draw(t, "at")] ^= byte(rapid.IntRange(1, 255).Draw(t, "bits"))
			if _, err = table.ApplyPatch(base, patch, len(content)); err != nil {
				is.True(errors.As(err, &fault))
			}
		}
	})
}

// TestPatchIsSmall guards against a dictionary that does not cover the changed part: the patch of 70 KB of
// incompressible data with one insertion must be about as large as the insertion.
func TestPatchIsSmall(t *testing.T) {
	is := is.New(t)
	base := make([]byte, 70_000)
	rand.New(rand.NewSource(1)).Read(base)
	content := append(append(bytes.Clone(base[:50_000]), "sixty bytes that were added in the middle of the old content"...),
		base[50_000:]...)
	patch, err := table.MakePatch(base, content)
	is.NoErr(err)
	is.True(len(patch) < 1000)
}
