package flow

import (
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// HandoverAck lists the flows of a Handover that the receiver holds from now on: all of them, or none if it refuses the
// message for good, so that the sender serves them again.
type HandoverAck struct {
	By    member.Incarnation // the receiver; the sender ignores an ack of another incarnation
	Flows []packet.FlowID
}
