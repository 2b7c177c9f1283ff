package host

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/table"
	"cornellb/io/protocol/settings"
	"cornellb/io/transport/peer"
	"cornellb/io/transport/platform"
	standin "cornellb/standin/platform"
)

// testTimeout bounds waits for events that must happen. It is long, so that a slow machine does not fail the test.
const testTimeout = 30 * time.Second

func freeAddress(is *is.I) string {
	is.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer func() { is.NoErr(l.Close()) }()
	return l.Addr().String()
}

func startHost(t *testing.T, id, platformURL string, peers ...string) *Host {
	t.Helper()
	return startLoggedHost(t, slog.New(slog.DiscardHandler), id, platformURL, peers...)
}

func startLoggedHost(t *testing.T, log *slog.Logger, id, platformURL string, peers ...string) *Host {
	t.Helper()
	is := is.New(t)
	s := &settings.Settings{
		ID: id, FailureDomain: "a", CallerAddress: "127.0.0.1:0", FabricAddress: "127.0.0.1:9", Platform: platformURL,
		PeerAddress: freeAddress(is), OperatorAddress: "127.0.0.1:0", Peers: peers, RoutingMode: "owner",
		ShardEndpoints: 32, QueueLimit: 16, MaxFlows: 16, FlowIdle: time.Minute, SlowStartStep: time.Second,
		ControlBytes: 4096, DrainLimit: time.Second, Weights: settings.Weights{Urgent: 6, Normal: 3, Bulk: 1},
		TicketKeys: []settings.TicketKey{{ID: 1, Secret: strings.Repeat("ab", 32)}},
	}
	h, err := Start(s, log)
	is.NoErr(err)
	t.Cleanup(h.Close)
	return h
}

func manyEndpoints(version uint64) *table.Tables {
	t := &table.Tables{Version: version, Routes: []table.Route{}}
	for i := range 100 {
		name := fmt.Sprintf("pool-%d", i)
		p := table.Pool{Name: name, Service: name}
		for k := range 4 {
			a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i), byte(k)}), 9)
			p.Endpoints = append(p.Endpoints, table.Endpoint{Address: a, FailureDomain: "b", Slots: 1, Connections: 1})
		}
		t.Pools = append(t.Pools, p)
	}
	t.Pools[0].Endpoints[0].Slots += int(version)
	return t
}

// logBuffer collects log lines. Its methods may be called concurrently.
type logBuffer struct {
	lock  sync.Mutex
	lines []string
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.lines = append(b.lines, string(line))
	return len(line), nil
}

// TestOneLinePerVersion guards against a version that is not logged when it is put in force, or is logged twice.
func TestOneLinePerVersion(t *testing.T) {
	is := is.New(t)
	server := standin.New(standin.Settings{})
	store := httptest.NewServer(server)
	t.Cleanup(func() { server.Close(); store.Close() })
	client := platform.NewClient(store.URL, 0, platform.SystemClock{})
	t.Cleanup(client.Close)
	editor := &platform.Editor{
		Store: client, Clock: platform.SystemClock{}, Operator: "test", NewID: func() string { return "edit" },
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := editor.Apply(ctx, manyEndpoints(0))
	is.NoErr(err)
	b := &logBuffer{}
	h := startLoggedHost(t, slog.New(slog.NewJSONHandler(b, nil)), "host-0", store.URL)
	for !h.gossiping.Load() { // the tables are in force since bootstrap
		is.NoErr(ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(h.tables.Version(), uint64(1))
	b.lock.Lock()
	defer b.lock.Unlock()
	var found []string
	for _, line := range b.lines {
		if strings.Contains(line, `"version":1`) {
			found = append(found, line)
		}
	}
	is.Equal(len(found), 1)
}

// TestTablesFromPeer guards against a balancer that does not read the store and gets no tables from its peers, or gets
// whole segments for each change. Two of the four balancers read the store; the others can get a version only from a
// peer.
func TestTablesFromPeer(t *testing.T) {
	is := is.New(t)
	server := standin.New(standin.Settings{})
	store := httptest.NewServer(server)
	t.Cleanup(func() { server.Close(); store.Close() })
	client := platform.NewClient(store.URL, 0, platform.SystemClock{})
	t.Cleanup(client.Close)
	number := 0
	editor := &platform.Editor{Store: client, Clock: platform.SystemClock{}, Operator: "test", NewID: func() string {
		number++
		return fmt.Sprint(number)
	}}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	apply := func(version uint64) {
		_, err := editor.Apply(ctx, manyEndpoints(version))
		is.NoErr(err)
	}
	apply(0)
	first := startHost(t, "host-0", store.URL)
	hosts := []*Host{first}
	for i := 1; i < 4; i++ {
		hosts = append(hosts, startHost(t, fmt.Sprintf("host-%d", i), store.URL, first.settings.PeerAddress))
	}
	await := func(isDone func(h *Host) bool) {
		is.Helper()
		for _, h := range hosts {
			for !isDone(h) {
				is.NoErr(ctx.Err())
				time.Sleep(5 * time.Millisecond)
			}
		}
	}
	await(func(h *Host) bool {
		v := h.latestView.Load()
		return h.tables.Version() == 1 && v != nil && len(v.Hosts) == len(hosts)
	})
	var others []*Host
	for _, h := range hosts {
		if !h.tables.IsReader() {
			others = append(others, h)
		}
	}
	is.Equal(len(others), 2)
	// Each process read the store while it knew no other one. This change ends its watches that are still open since then.
	apply(1)
	await(func(h *Host) bool { return h.tables.Version() == 2 })
	received := func(h *Host) uint64 { return h.peer.Counters().ReceivedBytes[peer.KindTables] }
	before := []uint64{received(others[0]), received(others[1])}
	apply(2)
	await(func(h *Host) bool { return h.tables.Version() == 3 })
	for i, h := range others {
		is.Equal(h.tables.InForce().Tables, first.tables.InForce().Tables)
		is.True(received(h)-before[i] > 0)
		is.True(received(h)-before[i] < 4000) // the changed segment alone has more than 20,000 bytes
	}
}

// TestCorruptSegmentFromPeer guards against a corrupt segment from a peer that is not counted as corrupt. The memory of
// the peer is changed after it has checked the segment.
func TestCorruptSegmentFromPeer(t *testing.T) {
	is := is.New(t)
	server, empty := standin.New(standin.Settings{}), standin.New(standin.Settings{})
	store, emptyStore := httptest.NewServer(server), httptest.NewServer(empty)
	t.Cleanup(func() { server.Close(); store.Close(); empty.Close(); emptyStore.Close() })
	client := platform.NewClient(store.URL, 0, platform.SystemClock{})
	t.Cleanup(client.Close)
	editor := &platform.Editor{
		Store: client, Clock: platform.SystemClock{}, Operator: "test", NewID: func() string { return "1" },
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	_, err := editor.Apply(ctx, manyEndpoints(0))
	is.NoErr(err)
	first := startHost(t, "host-0", store.URL)
	for first.tables.Version() == 0 {
		is.NoErr(ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	_, segments := first.tables.ExportTables(nil)
	segments[0].Data[0] ^= 1
	first.tables.ExportTables(nil) // its lock makes the change visible to the goroutines of the host
	second := startHost(t, "host-1", emptyStore.URL, first.settings.PeerAddress)
	// The first fetch is made before the peer is known as a member.
	for c := second.tables.Counters(); c.Corrupt < 2 || c.Failures == 0; c = second.tables.Counters() {
		is.NoErr(ctx.Err())
		time.Sleep(5 * time.Millisecond)
	}
	is.Equal(second.tables.Version(), uint64(0))
}
