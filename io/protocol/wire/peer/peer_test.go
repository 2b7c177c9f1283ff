package peer

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
)

func drawHost(t *rapid.T, name string) member.Host {
	address := netip.AddrFrom4([4]byte{10, 0, 0, 1})
	if rapid.Bool().Draw(t, name+"_is6") {
		address = netip.MustParseAddr("2001:db8::1")
	}
	label := rapid.StringMatching(`[a-z]{1,64}`)
	return member.Host{
		ID: label.Draw(t, name+"_id"), FailureDomain: label.Draw(t, name+"_domain"),
		Incarnation: member.Incarnation(rapid.Uint64Min(1).Draw(t, name+"_incarnation")),
		Address:     netip.AddrPortFrom(address, rapid.Uint16Min(1).Draw(t, name+"_port")),
		State:       member.State(rapid.IntRange(0, int(member.StateCount)-1).Draw(t, name+"_state")),
		Refutation:  rapid.Uint32().Draw(t, name+"_refutation"),
		StartedAt:   rapid.Int64Min(0).Draw(t, name+"_started"),
	}
}

// TestGossip guards against messages that differ after encoding and decoding, and against an upper bound of the size in
// core/coordination/membership that is below the encoded size: the byte budget and the datagram limit would be
// exceeded.
func TestGossip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &membership.Message{
			Kind:     membership.MessageKind(rapid.IntRange(1, int(membership.KindCount)-1).Draw(t, "kind")),
			Sequence: rapid.Uint64().Draw(t, "sequence"), Sender: drawHost(t, "sender"),
			Target:       member.Incarnation(rapid.Uint64Min(1).Draw(t, "target")),
			TableVersion: rapid.Uint64().Draw(t, "tables"), Changes: []member.Host{},
			Digest: rapid.Uint64().Draw(t, "digest"),
		}
		m.Sender.State = member.StateLeaving
		if m.Kind == membership.KindPingRequest {
			m.TargetAddress = m.Sender.Address
		}
		for range rapid.IntRange(0, 4).Draw(t, "changes") {
			m.Changes = append(m.Changes, drawHost(t, "change"))
		}
		b, err := AppendGossip(nil, m)
		if err != nil || len(b) > m.Size() {
			t.Fatalf("%d bytes with an upper bound of %d: %v", len(b), m.Size(), err)
		}
		got, err := DecodeGossip(b)
		if err != nil {
			t.Fatal(err)
		}
		is.New(t).Equal(got, m)
	})
}

func fullHandover() *flow.Handover {
	shard := flow.ShardKey{Pool: "pool", FailureDomain: "domain", Group: 3}
	return &flow.Handover{From: 1, To: 2, Shard: shard, Flows: []flow.Snapshot{{
		Ticket: flow.Ticket{
			Flow: packet.FlowID{1, 2, 3}, Service: "service", Customer: "customer", Class: packet.ClassBulk, Shard: shard,
			Grant: flow.Grant{Owner: 9, Serial: 8}, Endpoint: netip.MustParseAddrPort("10.0.0.9:80"),
			IssuedAt: time.Unix(1_700_000_000, 0),
		},
		Grants:  []flow.Grant{{Owner: 9, Serial: 7}, {Owner: 9, Serial: 8}},
		Caller:  netip.MustParseAddrPort("10.0.0.1:1"),
		Service: netip.MustParseAddrPort("[2001:db8::1]:2"),
		Floor:   4,
		Records: []flow.Record{
			{Request: 5, State: flow.StateAnswered, Idempotent: true, Answer: []byte("answer"), SettledAt: time.Unix(9, 5)},
			{Request: 6, State: flow.StateAnswered, Answer: []byte{}},
			{Request: 7, State: flow.StateRefused, Reason: packet.ReasonShare, RetryAfter: time.Second},
		},
		Feed: "feed", Sequence: 6,
	}}}
}

// TestHandover guards against flows that differ after encoding and decoding. An empty answer that is decoded as an
// answer that is no longer kept, or a lost grant, would change the outcome of a request.
func TestHandover(t *testing.T) {
	is := is.New(t)
	want := fullHandover()
	b, err := proto.Marshal(NewHandover(want))
	is.NoErr(err)
	var x Handover
	is.NoErr(proto.Unmarshal(b, &x))
	got, err := x.Core()
	is.NoErr(err)
	is.Equal(got, want)
	is.True(got.Flows[0].Records[1].Answer != nil)
	is.True(got.Flows[0].Records[2].Answer == nil)
}

// TestFaulty guards against invalid lengths and numbers in a handover that are accepted.
func TestFaulty(t *testing.T) {
	long := strings.Repeat("x", packet.MaxNameBytes+1)
	for name, test := range map[string]struct {
		change func(h *Handover)
		field  string
		reason Reason
	}{
		"no target":      {func(h *Handover) { h.To = 0 }, "from, to", ReasonMissing},
		"no shard":       {func(h *Handover) { h.Shard = nil }, "shard.pool", ReasonMissing},
		"long pool":      {func(h *Handover) { h.Shard.Pool = long }, "shard.pool", ReasonTooLong},
		"many flows":     {func(h *Handover) { h.Flows = make([]*FlowSnapshot, MaxHandoverFlows+1) }, "flows", ReasonTooLong},
		"no ticket":      {func(h *Handover) { h.Flows[0].Ticket = nil }, "flow", ReasonWrongLength},
		"nil flow":       {func(h *Handover) { h.Flows[0] = nil }, "caller", ReasonMissing},
		"short flow":     {func(h *Handover) { h.Flows[0].Ticket.Flow = []byte{1} }, "flow", ReasonWrongLength},
		"class":          {func(h *Handover) { h.Flows[0].Ticket.Class = 3 }, "class", ReasonOutOfRange},
		"endpoint":       {func(h *Handover) { h.Flows[0].Ticket.Endpoint = []byte{1} }, "endpoint", ReasonWrongLength},
		"many grants":    {func(h *Handover) { h.Flows[0].Grants = make([]*Grant, MaxGrants+1) }, "grants", ReasonTooLong},
		"many records":   {func(h *Handover) { h.Flows[0].Records = make([]*FlowRecord, 65) }, "records", ReasonTooLong},
		"record state":   {func(h *Handover) { h.Flows[0].Records[0].State = 7 }, "state", ReasonOutOfRange},
		"nil record":     {func(h *Handover) { h.Flows[0].Records[0] = nil }, "state", ReasonOutOfRange},
		"record reason":  {func(h *Handover) { h.Flows[0].Records[0].Reason = 99 }, "reason", ReasonOutOfRange},
		"negative retry": {func(h *Handover) { h.Flows[0].Records[0].RetryAfter = -1 }, "retry_after", ReasonOutOfRange},
		"long answer": {
			func(h *Handover) { h.Flows[0].Records[0].Answer = make([]byte, packet.MaxAnswerBytes+1) }, "answer", ReasonTooLong,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			x := NewHandover(fullHandover())
			test.change(x)
			_, err := x.Core()
			var decodeErr *DecodeError
			is.True(errors.As(err, &decodeErr))
			is.Equal(decodeErr.Field, test.field)
			is.Equal(decodeErr.Reason, test.reason)
		})
	}
}

// FuzzDecode guards against a panic and against an error that is not a *DecodeError, for any input.
func FuzzDecode(f *testing.F) {
	host := member.Host{
		ID: "host", FailureDomain: "domain", Incarnation: 1, Address: netip.MustParseAddrPort("10.0.0.1:1"), StartedAt: 1,
	}
	gossip, err := AppendGossip(nil, &membership.Message{Kind: membership.KindPing, Sender: host, Changes: []member.Host{host}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(gossip)
	announcement, err := AppendAnnouncement(nil, sampleAnnouncement(), directoryTime)
	is.New(f).NoErr(err)
	report, err := AppendLoadReport(nil, sampleReport())
	is.New(f).NoErr(err)
	for _, b := range [][]byte{announcement, report} {
		f.Add(b)
		f.Add(b[:len(b)-1]) // truncated
	}
	whole, change, difference := sampleUpdates()
	for _, m := range []proto.Message{
		&Request{Body: &Request_Handover{Handover: NewHandover(fullHandover())}},
		&Request{Body: &Request_Tables{Tables: &TablesRequest{Have: []string{"digest"}}}},
		&Request{Body: &Request_Members{Members: NewMembersRequest(membership.MembersRequest{FailureDomain: "domain"})}},
		&Request{Body: &Request_TablesChange{TablesChange: &TablesChangeRequest{Base: "digest"}}},
		&Request{Body: &Request_Directory{Directory: &DirectoryRequest{Version: 1, Revision: 2}}},
		&Reply{Body: &Reply_Handover{Handover: NewHandoverAck(&flow.HandoverAck{By: 1, Flows: []packet.FlowID{{1}}})}},
		&Reply{Body: &Reply_Tables{Tables: &TablesReply{Segments: map[string][]byte{"digest": {1}}}}},
		&Reply{Body: &Reply_Members{Members: NewMembersReply(membership.MembersReply{Hosts: []member.Host{host}})}},
		&Reply{Body: &Reply_TablesChange{TablesChange: &TablesChangeReply{
			IsKnown: true, Digest: "digest", Head: []byte{1}, Segments: []*SegmentPatch{{Digest: "new", Base: "old", Patch: []byte{1}}},
		}}},
		&Reply{Body: &Reply_Directory{Directory: NewDirectoryReply(whole, directoryTime)}},
		&Reply{Body: &Reply_Directory{Directory: NewDirectoryReply(change, directoryTime)}},
		&Reply{Body: &Reply_Directory{Directory: NewDirectoryReply(difference, directoryTime)}},
	} {
		b, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		_, err := DecodeGossip(b)
		check := func(err error) {
			var decodeErr *DecodeError
			if err != nil && !errors.As(err, &decodeErr) {
				t.Fatalf("%T: %v", err, err)
			}
		}
		check(err)
		_, err = DecodeAnnouncement(b, directoryTime)
		check(err)
		_, err = DecodeLoadReport(b)
		check(err)
		var request Request
		if proto.Unmarshal(b, &request) == nil {
			_, err = request.GetHandover().Core()
			check(err)
			_, err = request.GetMembers().Core()
			check(err)
			check(request.GetTables().Check())
			check(request.GetTablesChange().Check())
		}
		var reply Reply
		if proto.Unmarshal(b, &reply) == nil {
			_, err = reply.GetHandover().Core()
			check(err)
			_, err = reply.GetMembers().Core()
			check(err)
			check(reply.GetTables().Check())
			check(reply.GetTablesChange().Check())
			_, err = reply.GetDirectory().Core(directoryTime)
			check(err)
		}
	})
}
