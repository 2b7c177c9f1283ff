package platform

import (
	"io"

	"github.com/go-json-experiment/json/jsontext"
)

const (
	// maxReplyDepth is the deepest nesting of a reply that is passed on to the JSON decoder, which rejects the whole
	// reply beyond a limit of its own. The objects that cornellb reads need less than ten levels.
	maxReplyDepth = 32
	// maxLiteralBytes bounds the memory for a number. The exact form of a float64 has less than 800 bytes.
	maxLiteralBytes = 1024
	// replyChunk is the size of one read from the body.
	replyChunk = 16 << 10
)

// replacement is a value that can be decoded neither as a number, text or object, nor as a list of them.
const replacement = "[[]]"

// replyReader passes on the JSON text of a reply. It replaces what would make the decoder reject the reply as a
// whole: values nested deeper than maxReplyDepth, numbers longer than maxLiteralBytes, and literals that some encoders
// write although JSON lacks them, such as NaN and Infinity. One such value in an object of another writer then costs
// that object at most, and not the others in the reply.
type replyReader struct {
	source    io.Reader
	in        []byte
	out       []byte // part of buffer that Read has not returned yet
	buffer    []byte // reused by the next read
	depth     int    // of the present position
	isString  bool   // inside a string
	isEscaped bool   // after a backslash inside a string
	literal   []byte // the literal before the present position; empty if there is none
	err       error  // of source
}

func newReplyReader(source io.Reader) *replyReader {
	return &replyReader{source: source, in: make([]byte, replyChunk)}
}

// Read implements io.Reader.
func (r *replyReader) Read(p []byte) (int, error) {
	for len(r.out) == 0 {
		if r.err != nil {
			return 0, r.err
		}
		var n int
		n, r.err = r.source.Read(r.in)
		r.buffer = r.buffer[:0]
		r.filter(r.in[:n])
		if r.err != nil {
			r.endLiteral()
		}
		r.out = r.buffer
	}
	n := copy(p, r.out)
	r.out = r.out[n:]
	return n, nil
}

// filter appends the filtered text of b to the buffer.
func (r *replyReader) filter(b []byte) {
	from := 0 // b[:from] has been passed on
	for i := 0; i < len(b); i++ {
		if r.isString {
			i += r.skipString(b[i:])
			continue
		}
		c := b[i]
		isLiteral := false
		switch c {
		case '"':
			r.isString = true
		case '{', '[':
			if r.depth == maxReplyDepth {
				r.pass(b[from:i])
				r.pass([]byte(replacement))
				from = i
			}
			r.depth++
		case '}', ']':
			if r.depth--; r.depth == maxReplyDepth {
				from = i + 1
			}
		case ',', ':', ' ', '\t', '\r', '\n':
		default:
			isLiteral = true
		}
		switch {
		case isLiteral:
			r.pass(b[from:i])
			from = i + 1
			if r.depth <= maxReplyDepth && len(r.literal) <= maxLiteralBytes {
				r.literal = append(r.literal, c)
			}
		case len(r.literal) > 0:
			r.endLiteral()
			from = i
		}
	}
	r.pass(b[from:])
}

// skipString looks for the end of the string in which b begins. It returns the index of the last byte of b that belongs
// to the string.
func (r *replyReader) skipString(b []byte) int {
	for i, c := range b {
		switch {
		case r.isEscaped:
			r.isEscaped = false
		case c == '\\':
			r.isEscaped = true
		case c == '"':
			r.isString = false
			return i
		}
	}
	return len(b) - 1
}

// pass appends text to the buffer, unless it is nested too deeply.
func (r *replyReader) pass(b []byte) {
	if r.depth <= maxReplyDepth {
		r.buffer = append(r.buffer, b...)
	}
}

// endLiteral passes on the literal before the present position, if there is one.
func (r *replyReader) endLiteral() {
	if len(r.literal) == 0 {
		return
	}
	if len(r.literal) > maxLiteralBytes || !jsontext.Value(r.literal).IsValid() {
		r.literal = append(r.literal[:0], replacement...)
	}
	r.pass(r.literal)
	r.literal = r.literal[:0]
}
