package peer

import (
	"encoding/binary"
	"fmt"
	"math"
	"net/netip"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// Reason is the kind of a decoding error.
type Reason string

// The reasons.
const (
	ReasonMalformed   Reason = "malformed"    // not valid protobuf
	ReasonMissing     Reason = "missing"      // a required field is empty
	ReasonTooLong     Reason = "too_long"     // a length is above its limit
	ReasonWrongLength Reason = "wrong_length" // a value or list does not have the length that it must have
	ReasonOutOfRange  Reason = "out_of_range" // a value is outside its range
)

// DecodeError reports an invalid message. Field is empty if the error does not concern a single field.
type DecodeError struct {
	Message string // name of the protobuf message
	Field   string
	Reason  Reason
}

// Error implements error.
func (e *DecodeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("peer: %s: %s", e.Message, e.Reason)
	}
	return fmt.Sprintf("peer: %s.%s: %s", e.Message, e.Field, e.Reason)
}

// checker checks the fields of one message and keeps the first error.
type checker struct {
	message string
	err     error
}

func (c *checker) fail(field string, r Reason) {
	if c.err == nil {
		c.err = &DecodeError{Message: c.message, Field: field, Reason: r}
	}
}

// addNested keeps the error of an embedded message if it is the first one. err may be nil.
func (c *checker) addNested(err error) {
	if c.err == nil {
		c.err = err
	}
}

func (c *checker) name(field, v string, isRequired bool) string {
	switch {
	case len(v) > packet.MaxNameBytes:
		c.fail(field, ReasonTooLong)
	case isRequired && v == "":
		c.fail(field, ReasonMissing)
	}
	return v
}

func (c *checker) checkLimit(field string, n, limit int) bool {
	if n > limit {
		c.fail(field, ReasonTooLong)
		return false
	}
	return true
}

// address decodes an address. An empty value stands for the zero AddrPort.
func (c *checker) address(field string, b []byte, isRequired bool) netip.AddrPort {
	if len(b) == 0 {
		if isRequired {
			c.fail(field, ReasonMissing)
		}
		return netip.AddrPort{}
	}
	ip, ok := netip.AddrFromSlice(b[:max(len(b)-2, 0)])
	if !ok {
		c.fail(field, ReasonWrongLength)
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(ip.Unmap(), binary.BigEndian.Uint16(b[len(b)-2:]))
}

// unicastAddress decodes an address to which packets are sent: its port is not 0, and its IP address is neither
// unspecified nor multicast.
func (c *checker) unicastAddress(field string, b []byte, isRequired bool) netip.AddrPort {
	a := c.address(field, b, isRequired)
	if a.IsValid() && (a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast()) {
		c.fail(field, ReasonOutOfRange)
	}
	return a
}

func encodeAddress(a netip.AddrPort) []byte {
	if !a.IsValid() {
		return nil
	}
	return binary.BigEndian.AppendUint16(a.Addr().Unmap().AsSlice(), a.Port())
}

// NewHost converts a member to its message.
func NewHost(h member.Host) *Host {
	return &Host{
		Id: h.ID, FailureDomain: h.FailureDomain, Incarnation: uint64(h.Incarnation), Address: encodeAddress(h.Address),
		State: HostState(h.State), Refutation: h.Refutation, StartedAt: uint64(max(h.StartedAt, 0)), Weight: uint32(h.Weight),
	}
}

// Core checks the message and converts it to a member. The error is a *DecodeError.
func (x *Host) Core() (member.Host, error) {
	c := checker{message: "Host"}
	h := member.Host{
		ID:            c.name("id", x.GetId(), true),
		FailureDomain: c.name("failure_domain", x.GetFailureDomain(), true),
		Incarnation:   member.Incarnation(x.GetIncarnation()),
		Address:       c.unicastAddress("address", x.GetAddress(), true),
		Refutation:    x.GetRefutation(),
		StartedAt:     int64(x.GetStartedAt()),
		Weight:        uint8(min(x.GetWeight(), member.FullWeight)),
	}
	if h.Incarnation == 0 {
		c.fail("incarnation", ReasonMissing)
	}
	if x.GetStartedAt() > math.MaxInt64 {
		c.fail("started_at", ReasonOutOfRange)
	}
	if s := x.GetState(); s < 0 || s >= HostState(member.StateCount) {
		c.fail("state", ReasonOutOfRange)
	} else {
		h.State = member.State(s)
	}
	return h, c.err
}

// NewHosts converts a list of members to their messages.
func NewHosts(hosts []member.Host) []*Host {
	list := make([]*Host, len(hosts))
	for i, h := range hosts {
		list[i] = NewHost(h)
	}
	return list
}

func coreHosts(list []*Host) ([]member.Host, error) {
	hosts := make([]member.Host, 0, len(list))
	for _, x := range list {
		h, err := x.Core()
		if err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

// NewMembersRequest converts a request for a page of the member list to its message.
func NewMembersRequest(r membership.MembersRequest) *MembersRequest {
	return &MembersRequest{FailureDomain: r.FailureDomain, After: newCursor(r.After)}
}

// Core checks the message and converts it to a request. The error is a *DecodeError.
func (x *MembersRequest) Core() (membership.MembersRequest, error) {
	c := checker{message: "MembersRequest"}
	r := membership.MembersRequest{FailureDomain: c.name("failure_domain", x.GetFailureDomain(), true)}
	r.After = c.cursor("after", x.GetAfter())
	return r, c.err
}

// NewMembersReply converts a page of the member list to its message.
func NewMembersReply(r membership.MembersReply) *MembersReply {
	return &MembersReply{Hosts: NewHosts(r.Hosts), Next: newCursor(r.Next), Last: r.Last}
}

// Core checks the message and converts it to a page of the member list. The error is a *DecodeError.
func (x *MembersReply) Core() (membership.MembersReply, error) {
	c := checker{message: "MembersReply"}
	r := membership.MembersReply{Next: c.cursor("next", x.GetNext()), Last: x.GetLast()}
	if c.checkLimit("hosts", len(x.GetHosts()), membership.PageHosts) {
		hosts, err := coreHosts(x.GetHosts())
		c.addNested(err)
		r.Hosts = hosts
	}
	return r, c.err
}

func newCursor(k membership.Cursor) *MembersCursor {
	return &MembersCursor{Others: k.Others, Id: k.ID, Incarnation: uint64(k.Incarnation)}
}

func (c *checker) cursor(field string, x *MembersCursor) membership.Cursor {
	return membership.Cursor{
		Others: x.GetOthers(), ID: c.name(field, x.GetId(), false), Incarnation: member.Incarnation(x.GetIncarnation()),
	}
}
