package platform_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/core/state/table"
	"cornellb/io/transport/platform"
	standin "cornellb/standin/platform"
)

// benchState is a configuration core that is always a reader and sends each version that it puts in force to versions.
type benchState struct {
	*configuration.State
	versions chan uint64
}

func (c *benchState) PutInForce(x *table.Index)               { c.versions <- x.Tables.Version }
func (c *benchState) FetchTables(member.Host, []table.Digest) {}
func (c *benchState) IsReader() bool                          { return true }

func benchPlatformTables(endpoints int, version uint64) *table.Tables {
	t := &table.Tables{Version: version, Routes: []table.Route{}}
	for i := 0; i < endpoints; i += 10 {
		name := fmt.Sprintf("service-%d", i/10)
		p := table.Pool{Name: name, Service: name}
		for k := i; k < i+10; k++ {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(k >> 16), byte(k >> 8), byte(k)}), 9000)
			p.Endpoints = append(p.Endpoints, table.Endpoint{Address: a, FailureDomain: "a", Slots: 3, Connections: 2000})
		}
		t.Pools = append(t.Pools, p)
	}
	t.Pools[0].Endpoints[0].Slots = 3 + int(version)
	return t
}

// BenchmarkStoreCalls counts the calls to the platform that an operator's command makes for one change, and that one
// reader makes for its first version with all segments and for one later change. The stand-in server counts a watch
// when it begins.
func BenchmarkStoreCalls(b *testing.B) {
	for _, endpoints := range []int{1_000, 10_000, 130_000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			is := is.New(b)
			server := standin.New(standin.Settings{ReadsPerSecond: 100_000, WritesPerSecond: 100_000})
			h := httptest.NewServer(server)
			client := platform.NewClient(h.URL, 20*time.Second, platform.SystemClock{})
			defer func() { client.Close(); server.Close(); h.Close() }()
			editor := newEditor(client, "test")
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			calls := func(change func()) (reads, writes, watches float64) {
				before := server.Counters()
				change()
				after := server.Counters()
				return float64(after.Reads - before.Reads), float64(after.Writes - before.Writes),
					float64(after.Watches - before.Watches)
			}
			apply := func(version uint64) func() {
				return func() {
					_, err := editor.Apply(ctx, benchPlatformTables(endpoints, version))
					is.NoErr(err)
				}
			}
			calls(apply(0))
			reads, writes, _ := calls(apply(1))
			b.ReportMetric(reads, "command-reads/change")
			b.ReportMetric(writes, "command-writes/change")
			c := &benchState{versions: make(chan uint64, 8)}
			c.State = configuration.New(platform.SystemClock{}, c, slog.New(slog.DiscardHandler))
			r := &platform.Reader{Store: client, Core: c, Clock: platform.SystemClock{}, Log: slog.New(slog.DiscardHandler),
				WatchWait: time.Minute}
			done := make(chan struct{})
			first, _, _ := calls(func() {
				go func() { r.Run(ctx); close(done) }()
				<-c.versions
			})
			b.ReportMetric(first, "reader-reads/first")
			for server.Counters().Watches < 2 {
				time.Sleep(time.Millisecond)
			}
			before := server.Counters()
			apply(2)()
			<-c.versions
			for server.Counters().Watches == before.Watches {
				time.Sleep(time.Millisecond)
			}
			after := server.Counters()
			b.ReportMetric(float64(after.Reads-before.Reads)-reads, "reader-reads/change")
			b.ReportMetric(float64(after.Watches-before.Watches), "reader-watches/change")
			cancel()
			<-done
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkStatusCalls counts the calls to the platform of one status write.
func BenchmarkStatusCalls(b *testing.B) {
	for _, members := range []int{8, 100, 700} {
		b.Run(fmt.Sprint(members), func(b *testing.B) {
			is := is.New(b)
			server := standin.New(standin.Settings{})
			h := httptest.NewServer(server)
			client := platform.NewClient(h.URL, 20*time.Second, platform.SystemClock{})
			defer func() { client.Close(); server.Close(); h.Close() }()
			st := configuration.Status{FailureDomain: "a"}
			for i := range members {
				st.Members = append(st.Members, configuration.MemberStatus{
					Host: member.Host{ID: fmt.Sprintf("balancer-%05d", i), Incarnation: member.Incarnation(i + 1)}, IsSelf: i == 0,
				})
			}
			source := &statusSource{status: st}
			w := &platform.StatusWriter{Store: client, Source: source, Clock: platform.SystemClock{}, Log: slog.New(slog.DiscardHandler)}
			is.NoErr(w.Write(context.Background()))
			source.status.Members[0].Version++
			before := server.Counters()
			is.NoErr(w.Write(context.Background()))
			after := server.Counters()
			b.ReportMetric(float64(after.Reads-before.Reads), "reads/status")
			b.ReportMetric(float64(after.Writes-before.Writes), "writes/status")
			b.ReportMetric(0, "ns/op")
		})
	}
}
