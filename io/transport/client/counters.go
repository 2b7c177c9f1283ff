package client

import "sync/atomic"

// Counters counts datagrams and the reasons for which received ones were dropped.
type Counters struct {
	Sent           uint64 `json:"sent"`
	SendErrors     uint64 `json:"send_errors"`
	Retransmitted  uint64 `json:"retransmitted"`
	Received       uint64 `json:"received"`
	Malformed      uint64 `json:"malformed"`       // not a packet, or a kind that balancers do not send
	OtherFlow      uint64 `json:"other_flow"`      // no such flow at this client
	OtherRequest   uint64 `json:"other_request"`   // no such request or feed: late, duplicate or misdelivered
	BadSegment     uint64 `json:"bad_segment"`     // segment numbers or sizes contradict each other or exceed a limit
	DigestMismatch uint64 `json:"digest_mismatch"` // assembled answers whose size or digest does not match
	DuplicateItem  uint64 `json:"duplicate_item"`  // feed items that were received before
	ItemOverflow   uint64 `json:"item_overflow"`   // feed items too far ahead of the next item for the buffer
	OldTicket      uint64 `json:"old_ticket"`      // packets with a ticket that was replaced earlier
	Subscribed     uint64 `json:"subscribed"`      // Subscribe packets, the first and the repeated ones
}

type counters struct {
	sent, sendErrors, retransmitted, received, malformed, otherFlow, otherRequest, badSegment, digestMismatch,
	duplicateItem, itemOverflow, oldTicket, subscribed atomic.Uint64
}

func (c *counters) snapshot() Counters {
	return Counters{
		Sent: c.sent.Load(), SendErrors: c.sendErrors.Load(), Retransmitted: c.retransmitted.Load(),
		Received: c.received.Load(), Malformed: c.malformed.Load(), OtherFlow: c.otherFlow.Load(),
		OtherRequest: c.otherRequest.Load(), BadSegment: c.badSegment.Load(), DigestMismatch: c.digestMismatch.Load(),
		DuplicateItem: c.duplicateItem.Load(), ItemOverflow: c.itemOverflow.Load(), OldTicket: c.oldTicket.Load(),
		Subscribed: c.subscribed.Load(),
	}
}

// Add adds the counts of another client.
func (c *Counters) Add(o Counters) {
	c.Sent += o.Sent
	c.SendErrors += o.SendErrors
	c.Retransmitted += o.Retransmitted
	c.Received += o.Received
	c.Malformed += o.Malformed
	c.OtherFlow += o.OtherFlow
	c.OtherRequest += o.OtherRequest
	c.BadSegment += o.BadSegment
	c.DigestMismatch += o.DigestMismatch
	c.DuplicateItem += o.DuplicateItem
	c.ItemOverflow += o.ItemOverflow
	c.OldTicket += o.OldTicket
	c.Subscribed += o.Subscribed
}
