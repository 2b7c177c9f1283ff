package peer

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

// BenchmarkHandover measures the encoded size per flow and the time to encode a handover, for several numbers of
// settled records per flow. The answers of the records are no longer kept.
func BenchmarkHandover(b *testing.B) {
	const flows = 256
	for _, records := range []int{0, 8, 32, flow.WindowSize} {
		b.Run(fmt.Sprint(records), func(b *testing.B) {
			h := fullHandover()
			sn := h.Flows[0]
			sn.Records = nil
			for i := range records {
				sn.Records = append(sn.Records, flow.Record{
					Request: uint64(i + 1), State: flow.StateAnswered, SettledAt: time.Unix(1_796_380_000, int64(i)),
				})
			}
			h.Flows = nil
			for i := range flows {
				sn.Ticket.Flow = packet.FlowID{byte(i), 1, 2, 3}
				h.Flows = append(h.Flows, sn)
			}
			var data []byte
			for b.Loop() {
				var err error
				data, err = proto.Marshal(NewHandover(h))
				is.New(b).NoErr(err)
			}
			b.ReportMetric(float64(len(data))/flows, "bytes/flow")
		})
	}
}

// BenchmarkMembersList measures the encoded size of all replies that carry the full member list.
func BenchmarkMembersList(b *testing.B) {
	for _, count := range []int{1_000, 4_000, 12_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			v := benchView(count)
			total, request := 0, membership.MembersRequest{FailureDomain: v.Self.FailureDomain}
			for last := false; !last; {
				page := membership.PageOf(v, request)
				total += proto.Size(&Reply{Body: &Reply_Members{Members: NewMembersReply(page)}})
				request.After, last = page.Next, page.Last
			}
			b.ReportMetric(float64(total), "list-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func benchView(count int) *member.View {
	hosts := make([]member.Host, count)
	for i := range hosts {
		hosts[i] = member.Host{
			ID: fmt.Sprintf("balancer-%05d", i), FailureDomain: fmt.Sprintf("attiki-%02d", i%17),
			Incarnation: member.Incarnation(uint64(i+1) * 0x9e3779b97f4a7c15), StartedAt: 1_796_380_000_000,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 7000),
		}
	}
	return member.NewView(1, hosts[0], hosts)
}

// BenchmarkTablesExchange measures the encoded size of the request and the reply with which a balancer fetches a change
// of one endpoint from a peer: with the digests of all segments and whole segments (the reply also compressed), and as
// a difference from the version in force. It also measures the size of the whole tables, which a joining process
// fetches.
func BenchmarkTablesExchange(b *testing.B) {
	for _, endpoints := range []int{1_000, 10_000, 130_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			is := is.New(b)
			before, after := newTablesVersions(is, benchTables(endpoints), table.ChangeLimit)
			peer := newState(is, before, after)
			head, segments := peer.ExportTables(before.head.Digests())
			is.Equal(len(segments), 1)
			request := &TablesRequest{HaveVersion: 1}
			for _, d := range before.head.Digests() {
				request.Have = append(request.Have, string(d))
			}
			compressed := func(head *table.Head, segments []*table.Segment) *TablesReply {
				x, err := newReply(is, head, segments).Compress()
				is.NoErr(err)
				return x
			}
			change, err := NewTablesChangeReply(peer.DifferenceSince(before.digest(is)))
			is.NoErr(err)
			changeRequest := &TablesChangeRequest{Base: string(before.digest(is))}
			for name, size := range map[string]int{
				"request-bytes":        proto.Size(&Request{Body: &Request_Tables{Tables: request}}),
				"reply-bytes":          proto.Size(&Reply{Body: &Reply_Tables{Tables: newReply(is, head, segments)}}),
				"reply-flate-bytes":    proto.Size(&Reply{Body: &Reply_Tables{Tables: compressed(head, segments)}}),
				"change-request-bytes": proto.Size(&Request{Body: &Request_TablesChange{TablesChange: changeRequest}}),
				"change-reply-bytes":   proto.Size(&Reply{Body: &Reply_TablesChange{TablesChange: change}}),
				"whole-bytes":          proto.Size(&Reply{Body: &Reply_Tables{Tables: newReply(is, head, after.segments)}}),
				"whole-flate-bytes":    proto.Size(&Reply{Body: &Reply_Tables{Tables: compressed(head, after.segments)}}),
			} {
				b.ReportMetric(float64(size), name)
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkTablesChange measures the time to make a difference, which a peer does once for each version, and the time
// to apply it at a balancer.
func BenchmarkTablesChange(b *testing.B) {
	for _, endpoints := range []int{1_000, 10_000, 130_000} {
		is := is.New(b)
		before, after := newTablesVersions(is, benchTables(endpoints), table.ChangeLimit)
		change := newState(is, before, after).DifferenceSince(before.digest(is))
		base := newState(is, before).Snapshot()
		x, err := NewTablesChangeReply(change)
		is.NoErr(err)
		b.Run(fmt.Sprintf("make/%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				_, err := NewTablesChangeReply(change)
				is.NoErr(err)
			}
		})
		b.Run(fmt.Sprintf("apply/%d", endpoints), func(b *testing.B) {
			for b.Loop() {
				_, _, err := x.Apply(base)
				is.NoErr(err)
			}
		})
	}
}

func benchTables(endpoints int) *table.Tables {
	t := &table.Tables{Version: 1}
	for i := 0; i < endpoints; i += 10 {
		name := fmt.Sprintf("service-%d", i/10)
		p := table.Pool{Name: name, Service: name}
		for k := i; k < i+10; k++ {
			p.Endpoints = append(p.Endpoints, table.Endpoint{
				Address: benchAddress(10, k), FailureDomain: fmt.Sprintf("attiki-%02d", k%17), Slots: 3, Connections: 2000,
			})
		}
		t.Pools = append(t.Pools, p)
		t.Routes = append(t.Routes, table.Route{Name: name, Address: benchAddress(11, i), Service: name, Pool: name})
	}
	return t
}

func benchAddress(net, i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(net), byte(i >> 16), byte(i >> 8), byte(i)}), 9000)
}
