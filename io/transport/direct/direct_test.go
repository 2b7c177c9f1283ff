package direct_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/io/transport/direct"
)

// store is a store whose replies the test sets.
type store struct {
	configurations atomic.Int32  // number of reads of the configuration
	watches        atomic.Int32  // number of watches of the endpoints
	isBusy         bool          // each watch returns a change at once
	delay          time.Duration // of each reply to a watch
	failures       int32         // number of watches that fail, the first ones

	mu            sync.Mutex
	waits         []time.Duration // of the watches
	configuration func() (*directory.Configuration, []direct.Fault, error)
	endpoints     func(ctx context.Context) ([]directory.Endpoint, directory.Position, []direct.Fault, error)

	evacuationReads int
	evacuations     func() (*directory.Evacuations, []direct.Fault, error) // called under mu; nil for none
}

func (s *store) Configuration(context.Context) (*directory.Configuration, []direct.Fault, error) {
	defer s.configurations.Add(1)
	return s.configuration()
}

func (s *store) Endpoints(ctx context.Context, _ bool) ([]directory.Endpoint, directory.Position, []direct.Fault, error) {
	return s.endpoints(ctx)
}

func (s *store) WatchEndpoints(ctx context.Context, after directory.Position, wait time.Duration) (
	[]discovery.Change, directory.Position, []direct.Fault, error,
) {
	s.mu.Lock()
	s.waits = append(s.waits, wait)
	s.mu.Unlock()
	if s.watches.Add(1) <= s.failures {
		return nil, directory.Position{}, nil, errors.New("connection refused")
	}
	time.Sleep(s.delay)
	if s.isBusy {
		after.Revision++
		return []discovery.Change{{ID: "i-1", Revision: after.Revision}}, after, nil, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, nil, ctx.Err()
}

// codec rejects all packets.
type codec struct{}

func (codec) Headroom() int { return 0 }

func (codec) MaxBytes() int { return 1500 }

func (codec) Decode([]byte, *steering.Packet) error { return &direct.PacketError{Reason: "test"} }

func (codec) Encode([]byte, uint64, uint32) {}

func (codec) Reset([]byte, *steering.Packet) ([]byte, netip.AddrPort) { return nil, netip.AddrPort{} }

type clock struct{}

func (clock) Now() time.Time { return time.Now() }

func (clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// output collects log lines.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(line []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(line)
}

// count returns how often the log contains a text.
func (o *output) count(text string) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Count(o.text.Bytes(), []byte(text))
}

var otherAddress = netip.MustParseAddrPort("127.0.0.1:4711")

func testSettings() *direct.Settings {
	return &direct.Settings{
		ID: "front-1", FailureDomain: "attiki-1", PacketAddress: netip.MustParseAddrPort("127.0.0.1:0"),
		ReadyAddress: netip.MustParseAddrPort("127.0.0.1:0"), ReadyPath: "/ready", DrainLimit: 2 * time.Second,
		FlowAge: time.Minute,
	}
}

// start starts a balancer that reads the store and contacts no other balancer.
func start(t *testing.T, s *store) (*direct.Process, *output) {
	t.Helper()
	return startWith(t, testSettings(), s)
}

func startWith(t *testing.T, settings *direct.Settings, s direct.Store) (*direct.Process, *output) {
	t.Helper()
	out := &output{}
	p, err := direct.Start(settings, direct.Adapters{Store: s, Codec: codec{}, Clock: clock{}},
		slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, out
}

// eventually fails the test if the condition does not become true within 10 seconds.
func eventually(t *testing.T, what string, isTrue func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !isTrue(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("not within 10 s: %s", what)
		}
	}
}

// TestStartupReads guards against endpoints that are reported as fresh, and against a balancer that is ready, while the
// endpoint list has not been read: the store answers several reads of the configuration and not the one of the list.
func TestStartupReads(t *testing.T) {
	tests := map[string]func() (*directory.Configuration, []direct.Fault, error){
		"no configuration yet": func() (*directory.Configuration, []direct.Fault, error) {
			return nil, nil, &direct.NoConfigurationError{}
		},
		"reads of the configuration fail": func() (*directory.Configuration, []direct.Fault, error) {
			return nil, nil, errors.New("connection refused")
		},
		"configuration": func() (*directory.Configuration, []direct.Fault, error) {
			return &directory.Configuration{Version: 7}, nil, nil
		},
	}
	for name, configuration := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			s := &store{configuration: configuration}
			s.endpoints = func(ctx context.Context) ([]directory.Endpoint, directory.Position, []direct.Fault, error) {
				select {
				case <-ctx.Done():
					return nil, directory.Position{}, nil, ctx.Err()
				case <-release:
					return nil, directory.Position{Revision: 3}, nil, nil
				}
			}
			p, _ := start(t, s)
			eventually(t, "four reads of the configuration", func() bool { return s.configurations.Load() >= 4 })
			if _, age := p.Ages(); age < time.Hour {
				t.Errorf("the endpoint list was not read, and its age is %s", age)
			}
			if p.IsReady() {
				t.Error("ready without a list of endpoints")
			}
			close(release)
			eventually(t, "the age of the endpoint list is known", func() bool {
				_, age := p.Ages()
				return age < 10*time.Second
			})
			eventually(t, "ready with a configuration and a list", func() bool { return p.IsReady() == (name == "configuration") })
		})
	}
}

// TestChangesAreReadTogether guards against a call of the store for each of many changes in quick succession, as endpoints
// make them that start together.
func TestChangesAreReadTogether(t *testing.T) {
	is := is.New(t)
	s := newIdleStore()
	s.isBusy = true
	began := time.Now()
	start(t, s)
	eventually(t, "some watches", func() bool { return s.watches.Load() >= 5 })
	calls, elapsed := s.watches.Load(), time.Since(began)
	is.True(time.Duration(calls-1)*200*time.Millisecond <= elapsed)
}

// TestWatchAfterSilenceIsShort guards against a balancer that goes on with a long watch after a time without an answer:
// whether its connections have gone silent would show only when the watch should have ended.
func TestWatchAfterSilenceIsShort(t *testing.T) {
	is := is.New(t)
	const failures = 5 // more than a second, with the waits between them
	s := newIdleStore()
	s.failures = failures
	start(t, s)
	eventually(t, "watches after the failed ones", func() bool { return s.watches.Load() >= failures+2 })
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(s.waits[failures], time.Duration(0))
	is.True(s.waits[0] > 0)          // the list has just been read
	is.True(s.waits[failures+1] > 0) // the connection works
}

// TestLateReplyIsOld guards against a list that counts as newer than it is because the reply of the store was on its way
// for a while.
func TestLateReplyIsOld(t *testing.T) {
	s := newIdleStore()
	s.delay = time.Second
	p, _ := start(t, s)
	eventually(t, "the age of the endpoint list is known", func() bool {
		_, age := p.Ages()
		return age < time.Hour
	})
	if _, age := p.Ages(); age < s.delay {
		t.Errorf("the reply took %s, and the list counts as %s old", s.delay, age)
	}
}

// newIdleStore returns a store with a configuration and without endpoints, in which nothing changes.
func newIdleStore() *store {
	return &store{
		configuration: func() (*directory.Configuration, []direct.Fault, error) {
			return &directory.Configuration{Version: 7}, nil, nil
		},
		endpoints: func(context.Context) ([]directory.Endpoint, directory.Position, []direct.Fault, error) {
			return nil, directory.Position{Revision: 3}, nil, nil
		},
	}
}

// TestTakeoverFitsLeaveLimit guards against limits that add up to more than the time within which an endpoint that leaves
// must get no new flows: the reader is lost just before, and the call of the balancer that takes over is repeated on a
// new connection after half a second.
func TestTakeoverFitsLeaveLimit(t *testing.T) {
	const (
		check  = 100 * time.Millisecond // until the balancer checks whether a read is due
		silent = 500 * time.Millisecond
		rest   = 400 * time.Millisecond // a slow host connects, reads and announces
	)
	for _, limit := range []time.Duration{0, 3 * time.Second, 5 * time.Second, 6 * time.Second, time.Hour} {
		is := is.New(t)
		s := direct.Settings{LeaveLimit: limit}
		takeover, watch := s.Limits().Endpoints, s.WatchWait()
		is.True(takeover+check+silent+rest <= max(limit, 3*time.Second))
		is.True(watch+check < takeover) // the announcements of a reader that lives come in time
		is.True(watch <= 2*time.Second) // the store refuses watches of more than 30 s
	}
}

// TestChangedFaultIsLogged guards against an entry whose fault changes unnoticed because many entries had faults
// before: the limit of logged faults applies to further entries only.
func TestChangedFaultIsLogged(t *testing.T) {
	is := is.New(t)
	var isChanged atomic.Bool
	s := &store{endpoints: func(context.Context) ([]directory.Endpoint, directory.Position, []direct.Fault, error) {
		return nil, directory.Position{Revision: 3}, nil, nil
	}}
	s.configuration = func() (*directory.Configuration, []direct.Fault, error) {
		var faults []direct.Fault
		for i := range 1500 {
			f := direct.Fault{Subject: "route", Name: fmt.Sprintf("r-%d", i), Reason: "first reason"}
			if isChanged.Load() {
				f.Reason = "second reason"
			}
			faults = append(faults, f)
		}
		return &directory.Configuration{Version: 7}, faults, nil
	}
	_, out := start(t, s)
	eventually(t, "first read", func() bool { return s.configurations.Load() > 0 && out.count("first reason") >= 900 })
	isChanged.Store(true)
	eventually(t, "changed reason of the first entry", func() bool { return out.count(`name=r-0 reason="second reason"`) == 1 })
	before := s.configurations.Load()
	eventually(t, "two more reads", func() bool { return s.configurations.Load() >= before+2 })
	is.True(out.count("first reason") <= 1000)
	is.Equal(out.count("second reason"), out.count("first reason")) // once each, and further entries are only counted
}

// TestColdLimitIsReloaded guards against settings of cold endpoints that reach the decisions only at the next start.
func TestColdLimitIsReloaded(t *testing.T) {
	s := newIdleStore()
	s.configuration = func() (*directory.Configuration, []direct.Fault, error) {
		return &directory.Configuration{Version: 7, Services: []directory.Service{{Name: "feed", HasColdRate: true}}}, nil, nil
	}
	s.endpoints = func(context.Context) ([]directory.Endpoint, directory.Position, []direct.Fault, error) {
		return []directory.Endpoint{{
			ID: "i-1", Number: 1, Service: "feed", FailureDomain: "attiki-1", Slots: 2, WarmAt: time.Now().Add(time.Hour),
		}}, directory.Position{Revision: 3}, nil, nil
	}
	p, out := start(t, s)
	eventually(t, "ready", p.IsReady)
	settings := testSettings()
	for cold, slack := range []float64{0, 5} {
		settings.ColdSlack = slack
		p.Reload(settings)
		eventually(t, "limit in force", func() bool { return p.ColdEndpoints() == cold })
	}
	is.New(t).Equal(out.count("changed=[cold_limit]"), 1)
}

// TestReloadNamesRestart guards against a changed setting that is neither applied nor logged.
func TestReloadNamesRestart(t *testing.T) {
	tests := map[string]struct {
		change       func(s *direct.Settings)
		needsRestart bool
	}{
		"nothing":          {change: func(*direct.Settings) {}},
		"drain limit":      {change: func(s *direct.Settings) { s.DrainLimit++ }},
		"leave limit":      {change: func(s *direct.Settings) { s.LeaveLimit++ }},
		"evacuate limit":   {change: func(s *direct.Settings) { s.EvacuateLimit++ }},
		"host":             {change: func(s *direct.Settings) { s.ID = "front-2" }, needsRestart: true},
		"failure domain":   {change: func(s *direct.Settings) { s.FailureDomain = "attiki-2" }, needsRestart: true},
		"flow age":         {change: func(s *direct.Settings) { s.FlowAge++ }, needsRestart: true},
		"packet address":   {change: func(s *direct.Settings) { s.PacketAddress = otherAddress }, needsRestart: true},
		"ready address":    {change: func(s *direct.Settings) { s.ReadyAddress = otherAddress }, needsRestart: true},
		"ready path":       {change: func(s *direct.Settings) { s.ReadyPath = "/other" }, needsRestart: true},
		"operator address": {change: func(s *direct.Settings) { s.OperatorAddress = otherAddress }, needsRestart: true},
		"peer address":     {change: func(s *direct.Settings) { s.PeerAddress = otherAddress }, needsRestart: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, out := start(t, &store{
				configuration: func() (*directory.Configuration, []direct.Fault, error) {
					return nil, nil, &direct.NoConfigurationError{}
				},
				endpoints: func(context.Context) ([]directory.Endpoint, directory.Position, []direct.Fault, error) {
					return nil, directory.Position{Revision: 3}, nil, nil
				},
			})
			s := testSettings()
			c.change(s)
			p.Reload(s)
			is.Equal(out.count("takes effect at the next start") == 1, c.needsRestart)
		})
	}
}
