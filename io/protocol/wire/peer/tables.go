package peer

import (
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// Limits of tables messages. Tables with 130,000 endpoints have 288 segments of up to 64 KB, about 8 MB in total. A
// message about the largest tables may name all their segments, but the contents of whole tables are limited further
// by the size of a reply.
const (
	MaxSegments     = 2 * table.MaxSegments // of both tables
	MaxDigestBytes  = 128
	MaxSegmentBytes = 1 << 20 // the platform's limit for one value
	MaxHeadBytes    = 1 << 20
)

// Check checks the lengths of a request. The error is a *DecodeError.
func (x *TablesRequest) Check() error {
	c := checker{message: "TablesRequest"}
	c.checkLimit("have", len(x.GetHave()), MaxSegments)
	for _, d := range x.GetHave() {
		c.checkLimit("have", len(d), MaxDigestBytes)
	}
	return c.err
}

// Check checks the lengths of a reply. The digests of the segments are checked when these are parsed. The error is a
// *DecodeError.
func (x *TablesReply) Check() error {
	c := checker{message: "TablesReply"}
	c.checkLimit("head", len(x.GetHead()), MaxHeadBytes)
	c.checkLimit("segments", len(x.GetSegments()), MaxSegments)
	for d, b := range x.GetSegments() {
		c.checkLimit("segments", len(d), MaxDigestBytes)
		c.checkLimit("segments", len(b), MaxSegmentBytes)
	}
	return c.err
}

// MaxErrorBytes is the longest error text of a Reply.
const MaxErrorBytes = 2 * packet.MaxNameBytes
