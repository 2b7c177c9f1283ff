// Package peer holds the protobuf messages between balancers and their conversion to the structs of the core.
//
// # Usage
//
// AppendGossip and DecodeGossip handle the gossip datagrams. The messages on streams, Request and Reply, hold one of
// Handover, TablesRequest and MembersRequest with its reply. NewHandover and the other constructors convert from the
// core; the Core methods check and convert to it. Tables messages have no struct in the core and are checked by Check.
// Every error of a check is a *DecodeError with the message, the field and a reason.
//
// Byte slices of converted messages share memory with the protobuf message.
package peer

import (
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/member"
)

// AppendGossip appends the encoded message. It fails for names that are not valid UTF-8.
func AppendGossip(dst []byte, m *membership.Message) ([]byte, error) {
	x := &Gossip{
		Kind: GossipKind(m.Kind), Sequence: m.Sequence, Sender: NewHost(m.Sender), Target: uint64(m.Target),
		TargetAddress: encodeAddress(m.TargetAddress), TableVersion: m.TableVersion, Changes: NewHosts(m.Changes),
		Digest: m.Digest,
	}
	return proto.MarshalOptions{}.MarshalAppend(dst, x)
}

// DecodeGossip decodes and checks a message. The error is a *DecodeError.
func DecodeGossip(b []byte) (*membership.Message, error) {
	c := checker{message: "Gossip"}
	if !c.count("", len(b), membership.MaxMessageBytes) {
		return nil, c.err
	}
	var x Gossip
	if err := proto.Unmarshal(b, &x); err != nil {
		return nil, &DecodeError{Message: "Gossip", Reason: ReasonMalformed}
	}
	sender, err := x.GetSender().Core()
	c.nested(err)
	if sender.State == member.StateSuspect || sender.State == member.StateDead {
		c.fail("sender", ReasonOutOfRange)
	}
	changes, err := coreHosts(x.GetChanges())
	c.nested(err)
	if k := x.GetKind(); k <= GossipKind_GOSSIP_KIND_INVALID || k >= GossipKind(membership.KindCount) {
		c.fail("kind", ReasonOutOfRange)
	}
	isRequest := x.GetKind() == GossipKind_GOSSIP_KIND_PING_REQUEST
	address := c.balancer("target_address", x.GetTargetAddress(), isRequest)
	if isRequest && x.GetTarget() == 0 {
		c.fail("target", ReasonMissing)
	}
	if c.err != nil {
		return nil, c.err
	}
	return &membership.Message{
		Kind: membership.Kind(x.GetKind()), Sequence: x.GetSequence(), Sender: sender,
		Target: member.Incarnation(x.GetTarget()), TargetAddress: address, TableVersion: x.GetTableVersion(),
		Changes: changes, Digest: x.GetDigest(),
	}, nil
}
