package platform_test

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/core/state/table"
	protocol "cornellb/io/protocol/platform"
	"cornellb/io/transport/platform"
	standin "cornellb/standin/platform"
)

// balancer is a configuration core. It sends each version that it puts in force to versions; isReader sets its role.
type balancer struct {
	*configuration.State
	versions chan uint64
	isReader atomic.Bool
}

func (b *balancer) PutInForce(x *table.Index)               { b.versions <- x.Tables.Version }
func (b *balancer) FetchTables(member.Host, []table.Digest) {}
func (b *balancer) IsReader() bool                          { return b.isReader.Load() }

func (b *balancer) awaitVersion(t *testing.T, version uint64) {
	t.Helper()
	timeout := time.After(testTimeout)
	for {
		select {
		case v := <-b.versions:
			if v == version {
				return
			}
		case <-timeout:
			t.Fatalf("version %d was not put in force in time", version)
		}
	}
}

var discard = slog.New(slog.DiscardHandler)

// newBalancer returns a balancer with a running Reader.
func newBalancer(t *testing.T, store platform.WatchStore) *balancer {
	t.Helper()
	b := &balancer{versions: make(chan uint64, 100)}
	b.State = configuration.New(platform.SystemClock{}, b, discard)
	b.isReader.Store(true)
	r := &platform.Reader{
		Store: store, Core: b, Clock: platform.SystemClock{}, Log: discard,
		WatchWait: 50 * time.Millisecond, PollInterval: 20 * time.Millisecond,
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		r.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return b
}

// TestReader guards against a Reader that does not recover after the platform was unresponsive, refused calls or was
// slow, and against one that watches while its member is not a reader.
func TestReader(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	ctx := contextWithTimeout(t, testTimeout)
	apply := func(version uint64) {
		_, err := f.editor.Apply(ctx, tablesFrom(version, int(version)+1))
		is.NoErr(err)
	}
	// A call without a response ends soon.
	shortTimeout := platform.NewClient(f.url, 100*time.Millisecond, platform.SystemClock{})
	t.Cleanup(shortTimeout.Close)
	b := newBalancer(t, shortTimeout)
	apply(0)
	b.awaitVersion(t, 1)
	for i, fault := range []standin.Fault{
		{Mode: standin.ModeRefuse}, {Mode: standin.ModeHang}, {ResponseDelay: 30}, {Delay: 30},
	} {
		f.server.SetFault(fault)
		before := f.server.Counters()
		for now := before; now.Reads+now.Watches < before.Reads+before.Watches+3; now = f.server.Counters() {
			is.NoErr(ctx.Err())
			time.Sleep(time.Millisecond)
		}
		f.server.SetFault(standin.Fault{})
		apply(uint64(i) + 1)
		b.awaitVersion(t, uint64(i)+2)
	}
	b.isReader.Store(false)
	time.Sleep(100 * time.Millisecond) // the watch in progress may still end; no other may begin
	before := f.server.Counters().Watches
	apply(5)
	time.Sleep(100 * time.Millisecond)
	is.Equal(f.server.Counters().Watches, before)
	b.isReader.Store(true)
	b.awaitVersion(t, 6)
	is.Equal(b.Counters().InForce, uint64(6))
}

// brokenStore counts its calls. If head is nil, all calls fail; otherwise only one segment of the head exists.
type brokenStore struct {
	head                       []byte
	segment                    *table.Segment
	watches, polls             atomic.Int32
	segmentReads, missingReads atomic.Int32
}

func (s *brokenStore) Watch(context.Context, string, string, uint64, time.Duration) (protocol.Object, bool, error) {
	s.watches.Add(1)
	return s.answer()
}

func (s *brokenStore) answer() (protocol.Object, bool, error) {
	if s.head == nil {
		return protocol.Object{}, false, &platform.UnavailableError{Operation: "test", Err: context.DeadlineExceeded}
	}
	return protocol.Object{Version: 1, Value: s.head}, true, nil
}

func (s *brokenStore) Get(_ context.Context, kind, name string) (protocol.Object, error) {
	switch {
	case kind == protocol.KindTables:
		s.polls.Add(1)
		o, _, err := s.answer()
		return o, err
	case name == string(s.segment.Digest):
		s.segmentReads.Add(1)
		return protocol.Object{Version: 1, Value: s.segment.Data}, nil
	}
	for s.segmentReads.Load() == 0 { // the existing segment is read first
		time.Sleep(time.Millisecond)
	}
	s.missingReads.Add(1)
	return protocol.Object{}, &platform.NotFoundError{Kind: kind, Name: name}
}

// TestReaderPollInterval guards against a Reader that calls a failing platform without waiting between polls, stops
// polling, fetches segments again that it already has, or counts failed calls and missing segments as corrupt.
func TestReaderPollInterval(t *testing.T) {
	is := is.New(t)
	h, segments, err := table.Split(&table.Tables{
		Version: 1, Routes: []table.Route{{Name: "r", Service: "s", Pool: "p"}}, Pools: tablesFrom(1, 1).Pools,
	})
	is.NoErr(err)
	h.AppendChange(nil, table.Change{ID: "a"})
	head, err := h.Encode()
	is.NoErr(err)
	for name, store := range map[string]*brokenStore{
		"no answers": {}, "missing segment": {head: head, segment: segments[0]},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			clock := clockwork.NewFakeClock()
			b := &balancer{}
			b.State = configuration.New(clock, b, discard)
			b.isReader.Store(true)
			r := &platform.Reader{Store: store, Core: b, Clock: clock, Log: discard}
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				r.Run(ctx)
			}()
			for polls := int32(1); polls <= 10; polls++ {
				is.NoErr(clock.BlockUntilContext(ctx, 1))
				is.Equal(store.polls.Load(), polls)
				is.Equal(store.watches.Load(), int32(1))
				is.True(store.segmentReads.Load() <= 1)
				is.True(store.missingReads.Load() <= polls+1)
				clock.Advance(platform.PollInterval)
			}
			cancel()
			<-ended
			is.Equal(b.Version(), uint64(0))
			is.Equal(b.Counters().Corrupt, uint64(0)) // nothing invalid was read
		})
	}
}

// unreadableSegments fails the first reads of segments.
type unreadableSegments struct {
	platform.WatchStore
	failures atomic.Int32 // reads that still fail
}

func (s *unreadableSegments) Get(ctx context.Context, kind, name string) (protocol.Object, error) {
	if kind == protocol.KindSegment && s.failures.Add(-1) >= 0 {
		return protocol.Object{}, errors.New("store is unreachable")
	}
	return s.WatchStore.Get(ctx, kind, name)
}

// TestStoreErrorIsNotCorrupt guards against a store that cannot be read and is counted as one with corrupt tables.
func TestStoreErrorIsNotCorrupt(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	_, err := f.editor.Apply(contextWithTimeout(t, testTimeout), tablesFrom(0, 1))
	is.NoErr(err)
	store := &unreadableSegments{WatchStore: f.client}
	store.failures.Store(2)
	b := newBalancer(t, store)
	b.awaitVersion(t, 1)
	is.True(store.failures.Load() < 0)
	is.Equal(b.Counters().Corrupt, uint64(0))
}

// staleStore returns the first head that it saw from every second watch, as if an old response arrived late.
type staleStore struct {
	platform.WatchStore
	calls int
	first protocol.Object
}

func (s *staleStore) Watch(ctx context.Context, kind, name string, after uint64, wait time.Duration) (
	protocol.Object, bool, error,
) {
	o, isChanged, err := s.WatchStore.Watch(ctx, kind, name, after, wait)
	if err == nil && isChanged && s.first.Version == 0 {
		s.first = o
	}
	if s.calls++; err == nil && s.first.Version != 0 && s.calls%2 == 0 {
		return s.first, true, nil
	}
	return o, isChanged, err
}

// TestReaderOldAnswers guards against late responses with an old head that replace the version in force, and against a
// corrupt segment that is put in force.
func TestReaderOldAnswers(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	ctx := contextWithTimeout(t, testTimeout)
	b := newBalancer(t, &staleStore{WatchStore: f.client})
	for version := range uint64(5) {
		_, err := f.editor.Apply(ctx, tablesFrom(version, int(version)+1))
		is.NoErr(err)
		b.awaitVersion(t, version+1)
	}
	next := tablesFrom(6, 99)
	h, segments, err := table.Split(next)
	is.NoErr(err)
	before, err := f.editor.ReadHead(ctx)
	is.NoErr(err)
	h.AppendChange(before, table.Change{ID: "corrupt"})
	for _, s := range segments {
		_, _ = f.client.Put(ctx, protocol.KindSegment, string(s.Digest), append(s.Data, ' '), 0) // may exist already
	}
	encoded, err := h.Encode()
	is.NoErr(err)
	o, err := f.client.Get(ctx, protocol.KindTables, protocol.NameHead)
	is.NoErr(err)
	_, err = f.client.Put(ctx, protocol.KindTables, protocol.NameHead, encoded, o.Version)
	is.NoErr(err)
	for b.Counters().Corrupt < 2 {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	is.Equal(b.Version(), uint64(5))
	is.Equal(b.Counters().InForce, uint64(5))
	is.True(b.Counters().Stale > 0)
}

// statusSource provides a fixed status of a reader.
type statusSource struct{ status configuration.Status }

func (s *statusSource) IsReader() bool               { return true }
func (s *statusSource) Status() configuration.Status { return s.status }

// newStatusWriter returns a writer whose source has one member with each of the versions. The local member is the one
// at index self; it has one refused version.
func newStatusWriter(store platform.Store, self int, versions ...uint64) (*platform.StatusWriter, *statusSource) {
	s := &statusSource{status: configuration.Status{FailureDomain: "a"}}
	for i, v := range versions {
		m := configuration.MemberStatus{
			Host:    member.Host{ID: string(rune('a' + i)), FailureDomain: "a", Incarnation: member.Incarnation(i + 1)},
			Version: v, IsSelf: i == self,
		}
		if m.IsSelf {
			m.Refused = []configuration.RefusedVersion{{Version: uint64(100 + i), Reason: "slots"}}
		}
		s.status.Members = append(s.status.Members, m)
	}
	w := &platform.StatusWriter{
		Store: store, Source: s, Clock: platform.SystemClock{}, Log: discard, Interval: time.Millisecond,
	}
	return w, s
}

// TestStatusWriter guards against two readers that overwrite what the other one knows about members, and against writes
// without a change.
func TestStatusWriter(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	ctx := contextWithTimeout(t, testTimeout)
	first, _ := newStatusWriter(f.client, 0, 5, 4, 3)
	second, source := newStatusWriter(f.client, 1, 4, 5, 2)
	is.NoErr(first.Write(ctx))
	is.NoErr(second.Write(ctx))
	is.NoErr(first.Write(ctx))
	writes := f.server.Counters().Writes
	is.NoErr(second.Write(ctx))
	is.NoErr(first.Write(ctx))
	is.Equal(f.server.Counters().Writes, writes)
	o, err := f.client.Get(ctx, protocol.KindStatus, "a")
	is.NoErr(err)
	status, err := protocol.DecodeStatus(o.Value)
	is.NoErr(err)
	var versions, refused []uint64
	for _, m := range status.Members {
		versions = append(versions, m.TableVersion)
		for _, r := range m.RefusedVersions {
			refused = append(refused, r.Version)
		}
	}
	is.Equal(versions, []uint64{5, 5, 3})
	is.Equal(refused, []uint64{100, 101})

	source.status.Members[2].Version = 9
	run, cancel := context.WithCancel(ctx)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		second.Run(run)
	}()
	for f.server.Counters().Writes == writes {
		is.NoErr(ctx.Err())
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-ended
}
