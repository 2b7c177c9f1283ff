package peer

import "cornellb/core/state/packet"

// Limits of tables messages. Tables of 130,000 endpoints take 256 segments of up to 64 KB, about 8 MB in total.
const (
	MaxSegments     = 1024
	MaxDigestBytes  = 128
	MaxSegmentBytes = 1 << 20 // the platform's limit of a value
	MaxHeadBytes    = 1 << 20
)

// Check checks the lengths of a request. The error is a *DecodeError.
func (x *TablesRequest) Check() error {
	c := checker{message: "TablesRequest"}
	c.count("have", len(x.GetHave()), MaxSegments)
	for _, d := range x.GetHave() {
		c.count("have", len(d), MaxDigestBytes)
	}
	return c.err
}

// Check checks the lengths of a reply; the digests of the segments are checked by their reader. The error is a
// *DecodeError.
func (x *TablesReply) Check() error {
	c := checker{message: "TablesReply"}
	c.count("head", len(x.GetHead()), MaxHeadBytes)
	c.count("segments", len(x.GetSegments()), MaxSegments)
	for d, b := range x.GetSegments() {
		c.count("segments", len(d), MaxDigestBytes)
		c.count("segments", len(b), MaxSegmentBytes)
	}
	return c.err
}

// MaxErrorBytes bounds the error text of a Reply.
const MaxErrorBytes = 2 * packet.MaxNameBytes
