package flow

import (
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// HandoverAck lists the flows of a Handover that the receiver has taken over: all of them, or none if it will never
// take the message, so that the sender serves the flows again.
type HandoverAck struct {
	By    member.Incarnation // the receiver; the sender ignores an acknowledgement by another incarnation
	Flows []packet.FlowID
}
