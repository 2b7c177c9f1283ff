package platform

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/go-json-experiment/json/jsontext"
	"github.com/matryer/is"
)

// TestReplyReader guards against a text that the JSON decoder rejects as a whole because of one value in it, and against
// changes to any other value.
func TestReplyReader(t *testing.T) {
	deep := strings.Repeat("[", 40_000) + `1,NaN,{"b":2},3` + strings.Repeat("]", 40_000)
	kept := strings.Repeat("[", maxReplyDepth) + `"a"` + strings.Repeat("]", maxReplyDepth)
	tests := map[string]struct{ text, want string }{
		"empty":              {"", ""},
		"scalar":             {"-12.5e+3", "-12.5e+3"},
		"object":             {`{"a": [1, true , null], "b":"\"]}\\"}`, `{"a": [1, true , null], "b":"\"]}\\"}`},
		"deepest level":      {kept, kept},
		"one level more":     {"[" + kept + ",2]", "[" + strings.Replace(kept, `["a"]`, replacement, 1) + ",2]"},
		"deep value":         {`{"a":` + deep + `,"b":1}`, `{"a":` + strings.Repeat("[", maxReplyDepth-1) + replacement + strings.Repeat("]", maxReplyDepth-1) + `,"b":1}`},
		"brackets in string": {`["` + strings.Repeat("[", 40_000) + `",1]`, `["` + strings.Repeat("[", 40_000) + `",1]`},
		"literals":           {`[NaN,Infinity,-Infinity,1,01,+1,nul]`, `[[[]],[[]],[[]],1,[[]],[[]],[[]]]`},
		"long number":        {"[" + strings.Repeat("9", 100_000) + ",1]", "[[[]],1]"},
		"truncated":          {`{"a":"b`, `{"a":"b`},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, source := range []io.Reader{
				strings.NewReader(c.text), iotest.OneByteReader(strings.NewReader(c.text)), iotest.DataErrReader(strings.NewReader(c.text)),
			} {
				b, err := io.ReadAll(newReplyReader(source))
				is.NoErr(err)
				is.Equal(string(b), c.want)
			}
		})
	}
}

// TestReplyReaderError guards against a reply that broke off and is taken for a complete one.
func TestReplyReaderError(t *testing.T) {
	is := is.New(t)
	_, err := io.ReadAll(newReplyReader(iotest.TimeoutReader(strings.NewReader(strings.Repeat("[", 100_000)))))
	is.Equal(err, iotest.ErrTimeout)
}

// FuzzReplyReader guards against valid JSON text that is changed although it has no value to replace, and against a text
// that depends on the sizes of the reads.
func FuzzReplyReader(f *testing.F) {
	f.Add(`{"a":[1,"\\",{"b":null}],"c":-1.5e3}`)
	f.Add(`[NaN,[[]]]`)
	f.Fuzz(func(t *testing.T, text string) {
		whole, err := io.ReadAll(newReplyReader(strings.NewReader(text)))
		if err != nil {
			t.Fatal(err)
		}
		bytewise, err := io.ReadAll(newReplyReader(iotest.OneByteReader(strings.NewReader(text))))
		if err != nil || string(whole) != string(bytewise) {
			t.Fatalf("whole %q, byte by byte %q, error %v", whole, bytewise, err)
		}
		if jsontext.Value(text).IsValid() && len(text) < maxReplyDepth && string(whole) != text {
			t.Fatalf("got %q, want %q", whole, text)
		}
	})
}

// BenchmarkReplyReader measures the filter on a reply of the size of a large configuration.
func BenchmarkReplyReader(b *testing.B) {
	text := "[" + strings.Repeat(`{"name":"route-17","host":"198.18.0.1","path_prefix":"/8443/","service":"feed","timeout_ms":1500},`, 2500) + "1]"
	b.SetBytes(int64(len(text)))
	for b.Loop() {
		if _, err := io.Copy(io.Discard, newReplyReader(strings.NewReader(text))); err != nil {
			b.Fatal(err)
		}
	}
}
