package peer

import (
	"time"

	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

// Limits of the handover messages.
const (
	MaxHandoverFlows = 4096                  // flows in one Handover
	MaxGrants        = 64                    // grants of one flow
	maxDurationNanos = int64(24 * time.Hour) // of FlowRecord.RetryAfter
)

// NewHandover converts a handover to its message.
func NewHandover(h *flow.Handover) *Handover {
	x := &Handover{From: uint64(h.From), To: uint64(h.To), Shard: newShardKey(h.Shard),
		Stream: h.FromShard, Number: h.Number}
	for i := range h.Flows {
		x.Flows = append(x.Flows, newSnapshot(&h.Flows[i]))
	}
	return x
}

// Core checks the message and converts it to a handover. The error is a *DecodeError.
func (x *Handover) Core() (*flow.Handover, error) {
	c := checker{message: "Handover"}
	h := &flow.Handover{
		From: member.Incarnation(x.GetFrom()), To: member.Incarnation(x.GetTo()), Shard: c.shardKey(x.GetShard()),
		FromShard: x.GetStream(), Number: x.GetNumber(),
	}
	if h.From == 0 || h.To == 0 {
		c.fail("from, to", ReasonMissing)
	}
	if !c.checkLimit("flows", len(x.GetFlows()), MaxHandoverFlows) {
		return nil, c.err
	}
	h.Flows = make([]flow.Snapshot, len(x.GetFlows()))
	for i, s := range x.GetFlows() {
		c.addNested(s.core(&h.Flows[i]))
	}
	if c.err != nil {
		return nil, c.err
	}
	return h, nil
}

// NewHandoverAck converts an ack to its message.
func NewHandoverAck(a *flow.HandoverAck) *HandoverAck {
	x := &HandoverAck{By: uint64(a.By)}
	for _, id := range a.Flows {
		x.Flows = append(x.Flows, id[:])
	}
	return x
}

// Core checks the message and converts it to an ack. The error is a *DecodeError.
func (x *HandoverAck) Core() (*flow.HandoverAck, error) {
	c := checker{message: "HandoverAck"}
	a := &flow.HandoverAck{By: member.Incarnation(x.GetBy())}
	if a.By == 0 {
		c.fail("by", ReasonMissing)
	}
	if c.checkLimit("flows", len(x.GetFlows()), MaxHandoverFlows) {
		for _, b := range x.GetFlows() {
			a.Flows = append(a.Flows, c.flowID("flows", b))
		}
	}
	if c.err != nil {
		return nil, c.err
	}
	return a, nil
}

func (c *checker) flowID(field string, b []byte) (id packet.FlowID) {
	if len(b) != len(id) {
		c.fail(field, ReasonWrongLength)
	}
	copy(id[:], b)
	return id
}

func newShardKey(k flow.ShardKey) *ShardKey {
	return &ShardKey{Pool: k.Pool, FailureDomain: k.FailureDomain, Group: k.Group}
}

func (c *checker) shardKey(x *ShardKey) flow.ShardKey {
	return flow.ShardKey{
		Pool:          c.name("shard.pool", x.GetPool(), true),
		FailureDomain: c.name("shard.failure_domain", x.GetFailureDomain(), true),
		Group:         x.GetGroup(),
	}
}

func newGrant(g flow.Grant) *Grant { return &Grant{Owner: uint64(g.Owner), Serial: g.Serial} }

func (x *Grant) core() flow.Grant {
	return flow.Grant{Owner: member.Incarnation(x.GetOwner()), Serial: x.GetSerial()}
}

func newTicket(t *flow.Ticket) *FlowTicket {
	x := &FlowTicket{
		Flow: t.Flow[:], Service: t.Service, Customer: t.Customer, Class: uint32(t.Class), Shard: newShardKey(t.Shard),
		Grant: newGrant(t.Grant), Endpoint: encodeAddress(t.Endpoint),
	}
	if !t.IssuedAt.IsZero() {
		x.IssuedAt = t.IssuedAt.Unix()
	}
	return x
}

func (x *FlowTicket) core(t *flow.Ticket) error {
	c := checker{message: "FlowTicket"}
	*t = flow.Ticket{
		Flow:     c.flowID("flow", x.GetFlow()),
		Service:  c.name("service", x.GetService(), true),
		Customer: c.name("customer", x.GetCustomer(), false),
		Class:    packet.Class(x.GetClass()),
		Shard:    c.shardKey(x.GetShard()),
		Grant:    x.GetGrant().core(),
		Endpoint: c.address("endpoint", x.GetEndpoint(), false),
	}
	if x.GetClass() >= uint32(packet.ClassCount) {
		c.fail("class", ReasonOutOfRange)
	}
	if s := x.GetIssuedAt(); s != 0 {
		t.IssuedAt = time.Unix(s, 0)
	}
	return c.err
}

func newRecord(r *flow.Record) *FlowRecord {
	x := &FlowRecord{
		Request: r.Request, State: uint32(r.State), Idempotent: r.Idempotent, Reason: uint32(r.Reason),
		RetryAfter: min(max(int64(r.RetryAfter), 0), maxDurationNanos), Answer: r.Answer,
	}
	if !r.SettledAt.IsZero() {
		x.SettledAt = r.SettledAt.UnixNano()
	}
	return x
}

func (x *FlowRecord) core(r *flow.Record) error {
	c := checker{message: "FlowRecord"}
	*r = flow.Record{
		Request: x.GetRequest(), State: flow.RequestState(x.GetState()), Idempotent: x.GetIdempotent(),
		Reason: packet.Reason(x.GetReason()), RetryAfter: time.Duration(x.GetRetryAfter()), Answer: x.GetAnswer(),
	}
	c.checkLimit("answer", len(r.Answer), packet.MaxAnswerBytes)
	if s := x.GetState(); s == uint32(flow.StateNone) || s > uint32(flow.StateUnknown) {
		c.fail("state", ReasonOutOfRange)
	}
	if x.GetReason() >= uint32(packet.ReasonCount) {
		c.fail("reason", ReasonOutOfRange)
	}
	if d := x.GetRetryAfter(); d < 0 || d > maxDurationNanos {
		c.fail("retry_after", ReasonOutOfRange)
	}
	if n := x.GetSettledAt(); n != 0 {
		r.SettledAt = time.Unix(0, n)
	}
	return c.err
}

func newSnapshot(s *flow.Snapshot) *FlowSnapshot {
	x := &FlowSnapshot{
		Ticket: newTicket(&s.Ticket), Caller: encodeAddress(s.Caller), Service: encodeAddress(s.Service), Floor: s.Floor,
		Feed: s.Feed, Sequence: s.Sequence,
	}
	for _, g := range s.Grants {
		x.Grants = append(x.Grants, newGrant(g))
	}
	for i := range s.Records {
		x.Records = append(x.Records, newRecord(&s.Records[i]))
	}
	return x
}

func (x *FlowSnapshot) core(s *flow.Snapshot) error {
	c := checker{message: "FlowSnapshot"}
	*s = flow.Snapshot{
		Caller: c.address("caller", x.GetCaller(), true), Service: c.address("service", x.GetService(), true),
		Floor: x.GetFloor(), Feed: c.name("feed", x.GetFeed(), false), Sequence: x.GetSequence(),
	}
	c.addNested(x.GetTicket().core(&s.Ticket))
	if c.checkLimit("grants", len(x.GetGrants()), MaxGrants) {
		for _, g := range x.GetGrants() {
			s.Grants = append(s.Grants, g.core())
		}
	}
	if !c.checkLimit("records", len(x.GetRecords()), flow.WindowSize) {
		return c.err
	}
	if len(x.GetRecords()) > 0 {
		s.Records = make([]flow.Record, len(x.GetRecords()))
	}
	for i, r := range x.GetRecords() {
		c.addNested(r.core(&s.Records[i]))
	}
	return c.err
}
