package peer

import (
	"bytes"
	"compress/flate"
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

// BenchmarkHandover measures one flow of a handover: its bytes with a number of settled records whose answers were
// confirmed, and the work to encode it.
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

// BenchmarkMembersList counts the bytes of the full member list as its replies carry it.
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

// BenchmarkTablesExchange counts the bytes of the exchange in which a member fetches one change of one endpoint from a
// peer: the request and the reply as the product sends them.
func BenchmarkTablesExchange(b *testing.B) {
	for _, endpoints := range []int{1_000, 10_000, 130_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			request, reply := tablesExchange(b, endpoints)
			b.ReportMetric(float64(proto.Size(request)), "request-bytes")
			b.ReportMetric(float64(proto.Size(reply)), "reply-bytes")
			encoded, err := proto.Marshal(reply)
			is.New(b).NoErr(err)
			b.ReportMetric(float64(deflated(b, encoded)), "reply-flate-bytes")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func deflated(b *testing.B, data []byte) int {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.DefaultCompression)
	is.New(b).NoErr(err)
	_, err = w.Write(data)
	is.New(b).NoErr(err)
	is.New(b).NoErr(w.Close())
	return out.Len()
}

// tablesExchange builds tables with a head that is full of changes and the messages that carry the next change.
func tablesExchange(b *testing.B, endpoints int) (*Request, *Reply) {
	is := is.New(b)
	t := benchTables(endpoints)
	before, _, err := table.Split(t)
	is.NoErr(err)
	t.Pools[0].Endpoints[0].Slots++
	after, segments, err := table.Split(t)
	is.NoErr(err)
	for i := range table.ChangeLimit {
		after.Version = uint64(i + 1)
		after.Append(after, table.Change{
			ID: fmt.Sprintf("%032x", uint64(i)*0x9e3779b97f4a7c15), Operator: "operator@example.org",
			Time: time.Unix(1_796_380_000+int64(i), 0).UTC(),
		})
	}
	have := before.Digests()
	known := make(map[table.Digest]bool)
	request := &TablesRequest{HaveVersion: 1}
	for _, d := range have {
		known[d] = true
		request.Have = append(request.Have, string(d))
	}
	encoded, err := after.Encode()
	is.NoErr(err)
	reply := &TablesReply{Head: encoded, Segments: make(map[string][]byte)}
	for _, s := range segments {
		if !known[s.Digest] {
			reply.Segments[string(s.Digest)] = s.Data
		}
	}
	is.Equal(len(reply.Segments), 1)
	return &Request{Body: &Request_Tables{Tables: request}}, &Reply{Body: &Reply_Tables{Tables: reply}}
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
