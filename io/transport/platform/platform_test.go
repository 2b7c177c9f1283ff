package platform_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"
	"go.uber.org/goleak"

	"cornellb/core/state/table"
	protocol "cornellb/io/protocol/platform"
	"cornellb/io/transport/platform"
	standin "cornellb/standin/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout bounds waits for events that must happen. It is long enough not to fail a test on a slow machine.
const testTimeout = 20 * time.Second

// fixture is a stand-in server of the platform with a client and an editor.
type fixture struct {
	url    string
	server *standin.Server
	client *platform.Client
	editor *platform.Editor
}

func newFixture(t *testing.T, s standin.Settings) *fixture {
	t.Helper()
	f := &fixture{server: standin.New(s)}
	h := httptest.NewServer(f.server)
	f.url = h.URL
	f.client = platform.NewClient(h.URL, 0, platform.SystemClock{})
	f.editor = newEditor(f.client, "test")
	t.Cleanup(func() {
		f.client.Close()
		f.server.Close()
		h.Close()
	})
	return f
}

func newEditor(store platform.Store, operator string) *platform.Editor {
	next := 0
	return &platform.Editor{Store: store, Clock: platform.SystemClock{}, Operator: operator, NewID: func() string {
		next++
		return fmt.Sprintf("%s-%d", operator, next)
	}}
}

func contextWithTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// tablesFrom returns tables with one endpoint, as edited from the given version. Different slots make different
// tables.
func tablesFrom(version uint64, slots int) *table.Tables {
	e := table.Endpoint{
		Address: netip.MustParseAddrPort("10.1.0.1:9000"), FailureDomain: "a", Slots: slots, Connections: 1,
	}
	return &table.Tables{
		Version: version,
		Routes:  []table.Route{},
		Pools:   []table.Pool{{Name: "p", Service: "s", Endpoints: []table.Endpoint{e}}},
	}
}

// TestRacingOperators guards against a concurrent change that overwrites another one and against a change that is
// accepted twice.
func TestRacingOperators(t *testing.T) {
	const operators, rounds = 6, 8
	f := newFixture(t, standin.Settings{})
	ctx := contextWithTimeout(t, testTimeout)
	var mutex sync.Mutex
	accepted := make(map[uint64]string)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			is := is.New(t)
			operator := fmt.Sprintf("operator-%d", i)
			e := newEditor(f.client, operator)
			for done := 0; done < rounds && ctx.Err() == nil; {
				tables, err := e.Read(ctx)
				is.NoErr(err)
				result, err := e.Apply(ctx, tablesFrom(tables.Version, int(tables.Version)%900+1))
				var conflict *platform.VersionConflictError
				if errors.As(err, &conflict) {
					is.Equal(conflict.Edited, tables.Version)
					is.True(conflict.Current > tables.Version)
					continue
				}
				is.NoErr(err)
				done++
				mutex.Lock()
				is.Equal(accepted[result.Version], "") // no two operators get the same version accepted
				accepted[result.Version] = result.ChangeID
				mutex.Unlock()
			}
		})
	}
	group.Wait()
	is := is.New(t)
	head, err := f.editor.ReadHead(ctx)
	is.NoErr(err)
	is.Equal(head.Version, uint64(operators*rounds))
	for _, c := range head.Changes {
		is.Equal(accepted[c.Version], c.ID)
	}
}

// TestLostResponse guards against an accepted change that is reported as failed or made a second time when the response
// to its write is lost.
func TestLostResponse(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	ctx := contextWithTimeout(t, testTimeout)
	for version := range uint64(4) {
		f.server.SetFault(standin.Fault{LoseWrites: int(version)}) // of segments first, then of the head
		result, err := f.editor.Apply(ctx, tablesFrom(version, int(version)+1))
		is.NoErr(err)
		is.Equal(result.Version, version+1)
	}
	f.server.SetFault(standin.Fault{LoseWrites: 1, LoseKind: protocol.KindTables})
	writes := f.server.Counters().Writes
	_, err := f.editor.Apply(ctx, tablesFrom(4, 77))
	is.NoErr(err)
	is.Equal(f.server.Counters().Writes-writes, uint64(2)) // one segment and the head, each once
	head, err := f.editor.ReadHead(ctx)
	is.NoErr(err)
	is.Equal(len(head.Changes), 5)
	result, err := f.editor.Apply(ctx, tablesFrom(5, 77))
	is.NoErr(err)
	is.True(!result.IsChanged)
}

// delayedStore returns an error for the first put of the head and executes that put only when apply is called. It calls
// onRead once, after the first read that follows the put.
type delayedStore struct {
	platform.Store
	apply  func()
	onRead func()
}

func (s *delayedStore) Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if kind == protocol.KindTables && s.apply == nil {
		s.apply = func() { _, _ = s.Store.Put(ctx, kind, name, value, ifVersion) } // fails if another put came first
		return 0, &platform.UnavailableError{Operation: "put", Err: errors.New("no response")}
	}
	return s.Store.Put(ctx, kind, name, value, ifVersion)
}

func (s *delayedStore) Get(ctx context.Context, kind, name string) (protocol.Object, error) {
	o, err := s.Store.Get(ctx, kind, name)
	if s.apply != nil && s.onRead != nil {
		s.onRead()
		s.onRead = nil
	}
	return o, err
}

// TestDelayedWrite guards against a second change when the first write takes effect only after the head was read back,
// and against reported success when another operator's change was accepted before the retry.
func TestDelayedWrite(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	ctx := contextWithTimeout(t, testTimeout)
	late := &delayedStore{Store: f.client}
	late.onRead = func() { late.apply() }
	result, err := newEditor(late, "late").Apply(ctx, tablesFrom(0, 1))
	is.NoErr(err)
	is.Equal(result.Version, uint64(1))
	head, err := f.editor.ReadHead(ctx)
	is.NoErr(err)
	is.Equal(len(head.Changes), 1)

	delayed := &delayedStore{Store: f.client}
	delayed.onRead = func() {} // the head read back is the old one; another operator's change follows
	competing := &competingStore{Store: delayed, applyCompeting: func() {
		_, err := f.editor.Apply(ctx, tablesFrom(1, 2))
		is.NoErr(err)
	}}
	_, err = newEditor(competing, "slow").Apply(ctx, tablesFrom(1, 3))
	var conflict *platform.VersionConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, platform.VersionConflictError{Edited: 1, Current: 2})
}

// competingStore calls applyCompeting, in which another operator applies a change, before the second put of the head.
type competingStore struct {
	platform.Store
	applyCompeting func()
	puts           int
}

func (s *competingStore) Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if kind == protocol.KindTables {
		if s.puts++; s.puts == 2 {
			s.applyCompeting()
		}
	}
	return s.Store.Put(ctx, kind, name, value, ifVersion)
}

// rejectedStore lets other operators apply their changes before the first put of the head. The put then fails with a
// conflict.
type rejectedStore struct {
	platform.Store
	applyOthers func()
}

func (s *rejectedStore) Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if kind == protocol.KindTables {
		s.applyOthers()
	}
	return s.Store.Put(ctx, kind, name, value, ifVersion)
}

// TestManyChangesOfOthers guards against an unknown outcome of a change that was certainly not accepted, because its only
// write was rejected, and against a definite outcome of one whose first write got no response. The head that is read
// back no longer lists the version of the change.
func TestManyChangesOfOthers(t *testing.T) {
	for name, hasNoResponse := range map[string]bool{"write rejected": false, "write without a response": true} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(t, standin.Settings{})
			ctx := contextWithTimeout(t, testTimeout)
			applyOthers := func() {
				for version := range uint64(table.ChangeLimit + 1) {
					_, err := f.editor.Apply(ctx, tablesFrom(version, int(version)+2))
					is.NoErr(err)
				}
			}
			var store platform.Store = &rejectedStore{Store: f.client, applyOthers: applyOthers}
			if hasNoResponse {
				store = &delayedStore{Store: f.client, onRead: applyOthers}
			}
			_, err := newEditor(store, "late").Apply(ctx, tablesFrom(0, 1))
			var conflict *platform.VersionConflictError
			var unknown *platform.OutcomeUnknownError
			is.Equal(errors.As(err, &conflict), !hasNoResponse)
			is.Equal(errors.As(err, &unknown), hasNoResponse)
			if !hasNoResponse {
				is.Equal(*conflict, platform.VersionConflictError{Edited: 0, Current: table.ChangeLimit + 1})
			}
		})
	}
}

// TestUnknownOutcome guards against reporting success or failure when the outcome cannot be determined, and against
// reporting an unknown outcome when nothing was written.
func TestUnknownOutcome(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{})
	dead := &failingStore{Store: f.client, server: f.server}
	_, err := newEditor(dead, "dead").Apply(contextWithTimeout(t, time.Second), tablesFrom(0, 1))
	var unknown *platform.OutcomeUnknownError
	is.True(errors.As(err, &unknown))
	is.Equal(unknown.Version, uint64(1))
	_, err = f.editor.Apply(contextWithTimeout(t, time.Second), tablesFrom(1, 2))
	var unavailable *platform.UnavailableError
	is.True(errors.As(err, &unavailable))
	is.True(!errors.As(err, &unknown))
	f.server.SetFault(standin.Fault{})
	head, err := f.editor.ReadHead(contextWithTimeout(t, testTimeout))
	is.NoErr(err)
	_, found := head.FindChange(unknown.ChangeID)
	is.True(found)
}

// failingStore drops the response to the put of the head and makes the platform refuse all later calls.
type failingStore struct {
	platform.Store
	server *standin.Server
}

func (s *failingStore) Put(ctx context.Context, kind, name string, value []byte, ifVersion uint64) (uint64, error) {
	if kind == protocol.KindTables {
		s.server.SetFault(standin.Fault{LoseWrites: 1})
		defer s.server.SetFault(standin.Fault{Mode: standin.ModeRefuse})
	}
	return s.Store.Put(ctx, kind, name, value, ifVersion)
}

// TestClientErrors guards against errors of the wrong type, against puts that are retried, and against calls that do
// not end while the platform is unresponsive.
func TestClientErrors(t *testing.T) {
	is := is.New(t)
	f := newFixture(t, standin.Settings{WritesPerSecond: 5})
	ctx := contextWithTimeout(t, testTimeout)
	_, err := f.client.Get(ctx, "a", "b/c")
	var missing *platform.NotFoundError
	is.True(errors.As(err, &missing))
	version, err := f.client.Put(ctx, "a", "b/c", []byte{0xff, 0}, 0)
	is.NoErr(err)
	o, err := f.client.Get(ctx, "a", "b/c")
	is.NoErr(err)
	is.Equal(o, protocol.Object{Kind: "a", Name: "b/c", Version: version, Value: []byte{0xff, 0}})
	_, err = f.client.Put(ctx, "a", "b/c", nil, version+7)
	var conflict *platform.ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(*conflict, platform.ConflictError{Kind: "a", Name: "b/c", Expected: version + 7, Actual: version})
	_, err = f.client.Put(ctx, "a", "large", make([]byte, protocol.MaxValue+1), 0)
	var refused *platform.RequestError
	is.True(errors.As(err, &refused))
	for range 20 {
		if _, err = f.client.Put(ctx, "a", "b/c", nil, 0); !errors.As(err, &conflict) {
			break
		}
	}
	var limited *platform.RateLimitError
	is.True(errors.As(err, &limited))
	is.Equal(limited.RetryAfter, time.Second)

	var unavailable *platform.UnavailableError
	for _, mode := range []string{standin.ModeRefuse, standin.ModeHang} {
		f.server.SetFault(standin.Fault{Mode: mode})
		before := f.server.Counters()
		shortTimeout := platform.NewClient(f.url, 50*time.Millisecond, platform.SystemClock{})
		_, err = shortTimeout.Put(ctx, "a", "b/c", nil, version)
		is.True(errors.As(err, &unavailable))
		_, err = shortTimeout.Get(ctx, "a", "b/c")
		is.True(errors.As(err, &unavailable))
		after := f.server.Counters()
		is.Equal(after.Writes-before.Writes, uint64(1))
		is.Equal(after.Reads-before.Reads, uint64(platform.ReadAttempts))
		shortTimeout.Close()
	}
}
