package flow

import (
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// HandoverAck lists the flows of a Handover that the receiver holds from now on. Flows that are not listed stay with
// the sender, which sends them to the same incarnation again.
type HandoverAck struct {
	By    member.Incarnation // the receiver; the sender ignores an ack of another incarnation
	Flows []packet.FlowID
}
