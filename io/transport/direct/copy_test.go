package direct_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/state/directory"
	"cornellb/io/transport/direct"
)

// fastClock runs clockRate times as fast as the clock of the machine.
type fastClock struct{ began time.Time }

const clockRate = 20

func (c fastClock) Now() time.Time { return c.began.Add(clockRate * time.Since(c.began)) }

func (fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / clockRate) }

func endpoints(ids ...string) []directory.Endpoint {
	var list []directory.Endpoint
	for _, id := range ids {
		list = append(list, directory.Endpoint{
			ID: id, Number: 1, Service: "feed", FailureDomain: "attiki-1", Slots: 2, Address: netip.MustParseAddrPort("10.0.0.1:80"),
		})
	}
	return list
}

func startFast(t *testing.T, s *store) (*direct.Process, *output) {
	t.Helper()
	s.configuration = func() (*directory.Configuration, []direct.Fault, error) {
		return &directory.Configuration{Version: 7}, nil, nil
	}
	out := &output{}
	p, err := direct.Start(testSettings(), direct.Adapters{Store: s, Codec: codec{}, Clock: fastClock{time.Now()}},
		slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p, out
}

// TestAllBalancersStartTogether guards against balancers that wait for the whole list of endpoints while all of them read
// it at the same time, after a loss of power: a copy is enough to be ready. What a copy says is replaced by the list, so
// that a foreign or outdated copy has no lasting effect.
func TestAllBalancersStartTogether(t *testing.T) {
	release := make(chan struct{})
	s := &store{
		copied: func() ([]directory.Endpoint, uint64, error) { return endpoints("i-1", "i-2", "i-9"), 5, nil },
		endpoints: func(ctx context.Context) ([]directory.Endpoint, uint64, []direct.Fault, error) {
			select {
			case <-ctx.Done():
				return nil, 0, nil, ctx.Err()
			case <-release:
				return endpoints("i-1", "i-2"), 6, nil, nil
			}
		},
	}
	p, out := startFast(t, s)
	eventually(t, "ready with the copy", p.IsReady)
	is.New(t).Equal(out.count("is_copy=true"), 1)
	close(release)
	eventually(t, "the list itself is read", func() bool { return out.count("is_copy=false") == 1 && p.OpenEndpoints() == 2 })
}

// TestStartWithoutCopy guards against a balancer that uses a copy whose later changes it does not know, and against one that
// does not become ready because a copy cannot be used.
func TestStartWithoutCopy(t *testing.T) {
	tests := map[string]*store{
		"no copy":         {},
		"not readable":    {copied: func() ([]directory.Endpoint, uint64, error) { return nil, 0, errors.New("malformed") }},
		"empty":           {copied: func() ([]directory.Endpoint, uint64, error) { return nil, 5, nil }},
		"changes unknown": {copied: func() ([]directory.Endpoint, uint64, error) { return endpoints("i-9"), 5, nil }, isHistoryGone: true},
		"newer than store": {
			copied: func() ([]directory.Endpoint, uint64, error) { return endpoints("i-9"), 50, nil }, watchRevision: 6,
		},
	}
	for name, s := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s.endpoints = func(context.Context) ([]directory.Endpoint, uint64, []direct.Fault, error) {
				time.Sleep(100 * time.Millisecond) // the copy, or its fault, is known before
				return endpoints("i-1", "i-2"), 6, nil, nil
			}
			p, out := startFast(t, s)
			eventually(t, "ready with the list", p.IsReady)
			is.Equal(out.count("is_copy=true"), 0)
			is.Equal(p.OpenEndpoints(), 2)
		})
	}
}

// TestCopiesAreStored guards against copies that are missing after a loss of power, and against calls to the store for lists
// that are read as fast without a copy.
func TestCopiesAreStored(t *testing.T) {
	tests := map[string]struct{ endpoints, want int }{
		"many endpoints": {endpoints: 600, want: 600},
		"few endpoints":  {endpoints: 18, want: 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var watches atomic.Int32
			var ids []string
			for i := range c.endpoints {
				ids = append(ids, fmt.Sprintf("i-%d", i))
			}
			s := &store{endpoints: func(context.Context) ([]directory.Endpoint, uint64, []direct.Fault, error) {
				return endpoints(ids...), 6, nil, nil
			}}
			s.watched = func() { watches.Add(1) }
			startFast(t, s)
			eventually(t, "watches for more than the time between two copies", func() bool { return watches.Load() > 8 })
			eventually(t, "the copy", func() bool { return s.stored.Load() == int32(c.want) })
		})
	}
}
