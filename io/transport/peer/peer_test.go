package peer

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/membership"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	wire "cornellb/io/protocol/wire/peer"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// process is one balancer's end of the links. It records the messages that it receives.
type process struct {
	*Runner
	transport   *Transport
	forwards    chan string
	handovers   chan *flow.Handover
	newerTables chan uint64
	block       chan struct{} // if set, HandleTables waits until it is closed
}

func (p *process) HandleForward(_ netip.AddrPort, payload []byte) { p.forwards <- string(payload) }

func (p *process) HandleHandover(_ context.Context, h *flow.Handover) (*flow.HandoverAck, error) {
	p.handovers <- h
	if len(h.Flows) == 0 {
		return nil, errors.New("no flows")
	}
	return &flow.HandoverAck{By: h.To, Flows: []packet.FlowID{h.Flows[0].Ticket.Flow}}, nil
}

func (p *process) HandleTables(ctx context.Context, r *wire.TablesRequest) (*wire.TablesReply, error) {
	if p.block != nil {
		select {
		case <-p.block:
		case <-ctx.Done():
		}
	}
	return &wire.TablesReply{Head: []byte("head"), Segments: map[string][]byte{r.Have[0]: []byte("segment")}}, nil
}

func (p *process) HandleTablesChange(_ context.Context, r *wire.TablesChangeRequest) (*wire.TablesChangeReply, error) {
	return &wire.TablesChangeReply{IsKnown: r.Base == "base", Digest: r.Base}, nil
}

func (p *process) SetView(*member.View) {}

func (p *process) ReportNewerTables(_ member.Host, version uint64) {
	select {
	case p.newerTables <- version:
	default:
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

func start(t *testing.T, s Settings) *process {
	t.Helper()
	p := &process{
		forwards: make(chan string, 16), handovers: make(chan *flow.Handover, 16), newerTables: make(chan uint64, 1),
	}
	p.Runner = NewRunner(systemClock{}, p)
	s.Listen = loopback
	tr, err := Listen(s, Handlers{Forward: p, Gossip: p.Runner, Handover: p, Tables: p, Members: p.Runner})
	is.New(t).NoErr(err)
	p.transport = tr
	t.Cleanup(func() {
		p.Runner.Close()
		is.New(t).NoErr(tr.Close())
	})
	return p
}

func (p *process) join(id string, seeds ...netip.AddrPort) {
	p.SetHints(seeds, nil)
	p.Start(p.transport, membership.Config{
		ID: id, FailureDomain: "domain", Address: p.transport.Address(), StartedAt: time.Now(),
		Incarnation: member.Incarnation(rand.Uint64() | 1),
	}, rand.New(rand.NewPCG(1, 2)))
}

// eventually waits until other goroutines have made a condition true. If that never happens, the test times out.
func eventually(isTrue func() bool) {
	for !isTrue() {
		time.Sleep(5 * time.Millisecond)
	}
}

func reachable(v *member.View) int {
	n := 0
	for _, h := range v.Hosts {
		if h.IsReachable() {
			n++
		}
	}
	return n
}

// fakeClock is a Clock that stands still until it is set.
type fakeClock struct{ now time.Time }

func (f *fakeClock) Now() time.Time { return f.now }

// TestPauseBeforeQueued guards against queued messages that are answered before the machine notices that the process
// was paused: the answers then carry outdated changes.
func TestPauseBeforeQueued(t *testing.T) {
	clock := &fakeClock{now: time.Unix(1_000_000, 0)}
	r := NewRunner(clock, &process{})
	r.machine = membership.New(membership.Config{ID: "a", Incarnation: 1}, clock.now, rand.New(rand.NewPCG(1, 2)), output{r})
	clock.now = clock.now.Add(time.Minute)
	pauses := uint64(0)
	r.inbox <- func(m *membership.Machine) { pauses = m.Stats().Pauses }
	r.handleQueued()
	is.New(t).Equal(pauses, uint64(1))
}

// TestGroup guards against processes that do not find each other over real sockets, do not notice a new table version,
// or do not notice that a member leaves.
func TestGroup(t *testing.T) {
	is := is.New(t)
	a, b, c := start(t, Settings{}), start(t, Settings{}), start(t, Settings{})
	a.join("a")
	b.join("b", a.transport.Address())
	c.join("c", a.transport.Address())
	for _, p := range []*process{a, b, c} {
		eventually(func() bool { return reachable(p.View()) == 3 })
	}
	a.SetTableVersion(7)
	is.Equal(<-b.newerTables, uint64(7))
	c.Leave()
	inc := c.View().Self.Incarnation
	eventually(func() bool { h, _ := a.View().Lookup(inc); return h.State == member.StateLeaving })
	c.Depart()
	eventually(func() bool { h, _ := a.View().Lookup(inc); return h.State == member.StateLeft })
	k := a.transport.Counters()
	is.True(k.SentBytes[KindGossip] > 0 && k.ReceivedBytes[KindGossip] > 0)
	eventually(func() bool { return b.transport.Counters().ReceivedBytes[KindMembers] > 0 })
}

// TestForward guards against changed payloads, and against invalid datagrams that stop the reading goroutine or are not
// counted.
func TestForward(t *testing.T) {
	is := is.New(t)
	a, b := start(t, Settings{}), start(t, Settings{Readers: 1})
	conn, err := net.DialUDP("udp4", nil, net.UDPAddrFromAddrPort(b.transport.Address()))
	is.NoErr(err)
	defer func() { is.NoErr(conn.Close()) }()
	for _, d := range [][]byte{{}, {9, 1}, make([]byte, maxDatagram+1), {typeGossip, 0xff}} {
		_, err = conn.Write(d)
		is.NoErr(err)
	}
	is.True(a.transport.SendForward(b.transport.Address(), []byte("payload")))
	is.Equal(<-b.forwards, "payload")
	is.True(!a.transport.SendForward(b.transport.Address(), make([]byte, maxDatagram)))
	is.True(!a.transport.SendForward(netip.AddrPort{}, nil))
	eventually(func() bool { k := b.transport.Counters(); return k.DroppedType == 3 && k.DroppedMalformed == 1 })
	is.Equal(a.transport.Counters().DroppedSendError, uint64(2))
	is.Equal(a.transport.Counters().SentBytes[KindForward], uint64(8))
}

// TestCalls guards against calls that lose content, and against errors of the peer that are reported as another error.
func TestCalls(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	a, b := start(t, Settings{}), start(t, Settings{})
	to := b.transport.Address()
	h := &flow.Handover{From: 1, To: 2, Shard: flow.ShardKey{Pool: "p", FailureDomain: "d"}, Flows: []flow.Snapshot{{
		Ticket: flow.Ticket{Flow: packet.FlowID{5}, Service: "s", Shard: flow.ShardKey{Pool: "p", FailureDomain: "d"}},
		Caller: netip.MustParseAddrPort("10.0.0.1:1"), Service: netip.MustParseAddrPort("10.0.0.2:2"),
		Records: []flow.Record{{Request: 1, State: flow.StateAnswered, Answer: make([]byte, packet.MaxAnswerBytes)}},
	}}}
	ack, err := a.transport.SendHandover(ctx, to, h)
	is.NoErr(err)
	is.Equal(*ack, flow.HandoverAck{By: 2, Flows: []packet.FlowID{{5}}})
	is.Equal(<-b.handovers, h)
	tables, err := a.transport.FetchTables(ctx, to, &wire.TablesRequest{Have: []string{"digest"}})
	is.NoErr(err)
	is.Equal(string(tables.Segments["digest"]), "segment")
	is.Equal(a.transport.Counters().SessionsDialled, uint64(1)) // both calls used one session

	var remote *RemoteError
	_, err = a.transport.SendHandover(ctx, to, &flow.Handover{From: 1, To: 2, Shard: h.Shard})
	is.True(errors.As(err, &remote))
	is.Equal(remote.Text, "no flows")
	for range 4 {
		h.Flows[0].Records = append(h.Flows[0].Records, h.Flows[0].Records[0])
	}
	var large *TooLargeError
	_, err = a.transport.SendHandover(ctx, to, h)
	is.True(errors.As(err, &large))
	_, err = a.transport.FetchMembers(ctx, to, membership.MembersRequest{FailureDomain: "domain"})
	is.True(errors.As(err, &remote)) // b has not started its membership
	is.Equal(a.transport.Counters().CallsFailed, uint64(3))
}

// TestCallFailures guards against calls that never return or do not report the stage at which they failed.
func TestCallFailures(t *testing.T) {
	is := is.New(t)
	a, b := start(t, Settings{MaxSessions: 1}), start(t, Settings{})
	b.block = make(chan struct{})
	request := &wire.TablesRequest{Have: []string{"digest"}}
	stage := func(err error) Stage {
		var e *CallError
		is.True(errors.As(err, &e))
		return e.Stage
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	closed := netip.MustParseAddrPort(listener.Addr().String())
	is.NoErr(listener.Close())
	_, err = a.transport.FetchTables(context.Background(), closed, request)
	is.Equal(stage(err), StageDial)

	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error)
	go func() {
		_, err := a.transport.FetchTables(ctx, b.transport.Address(), request)
		result <- err
	}()
	eventually(func() bool { return len(b.transport.servingSlots) == 1 })
	_, err = a.transport.FetchTables(context.Background(), closed, request)
	is.Equal(stage(err), StageLimit) // the only session is in use
	cancel()
	is.Equal(stage(<-result), StageReply)
	close(b.block)
}

// TestSessions guards against sessions that stay open without use, and against a peer that cannot be reached again
// after its session was closed.
func TestSessions(t *testing.T) {
	is := is.New(t)
	a, b := start(t, Settings{SessionIdle: 40 * time.Millisecond}), start(t, Settings{})
	request := &wire.TablesRequest{Have: []string{"digest"}}
	sessions := func(t *Transport) int {
		t.mu.Lock()
		defer t.mu.Unlock()
		return len(t.dialled) + len(t.accepted)
	}
	for range 2 {
		_, err := a.transport.FetchTables(context.Background(), b.transport.Address(), request)
		is.NoErr(err)
		eventually(func() bool { return sessions(a.transport) == 0 && sessions(b.transport) == 0 })
	}
	is.Equal(a.transport.Counters().SessionsDialled, uint64(2))
}

// TestSessionLimit guards against a peer that is refused because others keep unused sessions open.
func TestSessionLimit(t *testing.T) {
	is := is.New(t)
	b := start(t, Settings{MaxSessions: 1})
	for range 3 {
		a := start(t, Settings{})
		_, err := a.transport.FetchTables(context.Background(), b.transport.Address(), &wire.TablesRequest{Have: []string{"d"}})
		is.NoErr(err)
		eventually(func() bool { // the reply may arrive before the stream is released
			b.transport.mu.Lock()
			defer b.transport.mu.Unlock()
			for s := range b.transport.accepted {
				return s.users == 0
			}
			return true
		})
	}
	is.Equal(b.transport.Counters().SessionsRefused, uint64(0))
}

// TestSendDoesNotBlock guards against a send that waits while the socket's buffer is full.
func TestSendDoesNotBlock(t *testing.T) {
	is := is.New(t)
	a := start(t, Settings{SocketBytes: 1})
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	defer func() { is.NoErr(sink.Close()) }()
	is.NoErr(a.transport.conn.SetWriteDeadline(time.Unix(1, 0))) // a send that waits would fail with another error
	to := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	for range 2000 {
		a.transport.SendForward(to, make([]byte, 1200))
	}
	k := a.transport.Counters()
	is.Equal(k.DroppedSendError, uint64(0))
	is.Equal(k.SentBytes[KindForward]/1201+k.DroppedSocketFull, uint64(2000))
}

// BenchmarkSendForward measures the cost of one forwarded datagram of 600 bytes.
func BenchmarkSendForward(b *testing.B) {
	p := &process{forwards: make(chan string, 1)}
	p.Runner = NewRunner(systemClock{}, p)
	tr, err := Listen(Settings{Listen: loopback}, Handlers{Forward: p, Gossip: p, Handover: p, Tables: p, Members: p})
	is.New(b).NoErr(err)
	defer func() { _ = tr.Close() }()
	sink, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.New(b).NoErr(err)
	defer func() { _ = sink.Close() }()
	to, payload := sink.LocalAddr().(*net.UDPAddr).AddrPort(), make([]byte, 600)
	b.ReportAllocs()
	for b.Loop() {
		tr.SendForward(to, payload)
	}
}

// TestAnnouncementNotEncoded guards against a datagram without content that is sent and counted as sent when an
// announcement cannot be encoded, because a name is not valid UTF-8.
func TestAnnouncementNotEncoded(t *testing.T) {
	is := is.New(t)
	a, b := start(t, Settings{}), start(t, Settings{})
	changes := []discovery.Change{{ID: "i-\xff", Revision: 3}}
	is.True(!a.transport.SendAnnouncement(b.transport.Address(), &spread.Announcement{Reader: 7, Sequence: 1, Changes: changes}))
	is.Equal(a.transport.Counters().SentBytes[KindDirectory], uint64(0))
	is.Equal(a.transport.Counters().DroppedSendError, uint64(1))
}

// announcements records what a balancer announces to this one.
type announcements struct{ received chan *spread.Announcement }

func (a *announcements) HandleAnnouncement(_ netip.AddrPort, x *spread.Announcement) { a.received <- x }

func (a *announcements) HandleLoadReport(netip.AddrPort, *steering.Report) {}

// TestLargestReportFits guards against a report with all that a balancer may report, apart from rooms, that does not fit into
// a datagram and is dropped. The numbers of entries are the limits of the package steering.
func TestLargestReportFits(t *testing.T) {
	is := is.New(t)
	r := &steering.Report{Sender: math.MaxUint64}
	for range 120 {
		r.Loads = append(r.Loads, steering.EndpointLoad{Cookie: math.MaxUint32, Flows: 1000})
	}
	for range 10 {
		r.Silences = append(r.Silences, math.MaxUint32)
	}
	for range 20 {
		r.Outcomes = append(r.Outcomes, steering.EndpointOutcomes{Cookie: math.MaxUint32, Good: 12, Bad: 12})
	}
	for range 16 {
		r.Speeds = append(r.Speeds, steering.EndpointSpeed{Cookie: math.MaxUint32, Samples: 6, Ratio: 64})
	}
	b, err := wire.AppendLoadReport([]byte{typeLoadReport}, r)
	is.NoErr(err)
	t.Logf("%d bytes of %d", len(b), maxDatagram)
	is.True(len(b) <= maxDatagram)
}

func (a *announcements) HandleDirectory(context.Context, wire.DirectoryQuery) (*wire.DirectoryUpdate, error) {
	return &wire.DirectoryUpdate{}, nil
}

// TestAnnouncementOfLongNames guards against entries with long names that keep all announcements from being sent, because
// they do not fit into a datagram together.
func TestAnnouncementOfLongNames(t *testing.T) {
	is := is.New(t)
	a := start(t, Settings{})
	h := &announcements{received: make(chan *spread.Announcement, 1)}
	r := NewRunner(systemClock{}, a)
	b, err := Listen(Settings{Listen: loopback}, Handlers{Gossip: r, Members: r, Directory: h})
	is.NoErr(err)
	defer func() {
		r.Close()
		is.NoErr(b.Close())
	}()
	var changes []discovery.Change
	for i := range 8 {
		id := strings.Repeat("i", directory.MaxNameBytes-1) + strconv.Itoa(i)
		changes = append(changes, discovery.Change{ID: id, Revision: uint64(20 + i), Endpoint: &directory.Endpoint{
			ID: id, Number: 1, Service: strings.Repeat("s", directory.MaxNameBytes), FailureDomain: "attiki-1", Slots: 1,
			Address: netip.MustParseAddrPort("10.0.0.1:80"),
		}})
	}
	is.True(a.transport.SendAnnouncement(b.Address(), &spread.Announcement{
		Reader: 7, Sequence: 1, Version: 3, Base: 19, Revision: 27, Changes: changes,
	}))
	x := <-h.received
	is.Equal(x.Version, uint64(3))
	is.True(len(x.Changes) > 0 && len(x.Changes) < len(changes))
	is.Equal(x.Base, changes[len(changes)-len(x.Changes)-1].Revision)
	is.Equal(x.Changes[len(x.Changes)-1].Revision, uint64(27))
}
