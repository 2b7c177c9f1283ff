// Package peer holds the protobuf messages between balancers and converts them from and to the structs of the core
// packages.
//
// # Usage
//
// Datagrams have a function that appends the encoded struct and one that decodes and checks it: AppendGossip and
// DecodeGossip, AppendAnnouncement and DecodeAnnouncement, AppendLoadReport and DecodeLoadReport. Request and Reply are
// the messages on streams; their bodies are listed in the proto file. NewHandover and the other constructors convert a
// struct of the core packages to a body; the Core method of a body checks it and converts it back. Bodies of tables
// messages are used as they are and checked by their Check methods. Every error of a check is a *DecodeError with the
// message, the field and a reason.
//
// Byte slices of converted structs alias those of the protobuf message.
package peer

import (
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/member"
)

// AppendGossip appends the encoded message to dst and returns the extended slice. It fails if a name is not valid
// UTF-8.
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
	if !c.checkLimit("", len(b), membership.MaxMessageBytes) {
		return nil, c.err
	}
	var x Gossip
	if err := proto.Unmarshal(b, &x); err != nil {
		return nil, &DecodeError{Message: "Gossip", Reason: ReasonMalformed}
	}
	sender, err := x.GetSender().Core()
	c.addNested(err)
	if sender.State == member.StateSuspect || sender.State == member.StateDead {
		c.fail("sender", ReasonOutOfRange)
	}
	changes, err := coreHosts(x.GetChanges())
	c.addNested(err)
	if k := x.GetKind(); k <= GossipKind_GOSSIP_KIND_INVALID || k >= GossipKind(membership.KindCount) {
		c.fail("kind", ReasonOutOfRange)
	}
	isRequest := x.GetKind() == GossipKind_GOSSIP_KIND_PING_REQUEST
	address := c.unicastAddress("target_address", x.GetTargetAddress(), isRequest)
	if isRequest && x.GetTarget() == 0 {
		c.fail("target", ReasonMissing)
	}
	if c.err != nil {
		return nil, c.err
	}
	return &membership.Message{
		Kind: membership.MessageKind(x.GetKind()), Sequence: x.GetSequence(), Sender: sender,
		Target: member.Incarnation(x.GetTarget()), TargetAddress: address, TableVersion: x.GetTableVersion(),
		Changes: changes, Digest: x.GetDigest(),
	}, nil
}
