package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/coordination/discovery"
	"cornellb/core/state/directory"
	"cornellb/io/transport/direct"
)

// Evacuations returns what the test sets, or an empty set.
func (s *store) Evacuations(context.Context) (*directory.Evacuations, []direct.Fault, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuationReads++
	if s.evacuations == nil {
		return &directory.Evacuations{}, nil, nil
	}
	return s.evacuations()
}

// evacuationStore is a store in which only the revision and the evacuated failure domains change. Watches end after a
// short time, so that tests need not wait.
type evacuationStore struct {
	*store
	revision uint64
	domains  []string
	err      error
}

func newEvacuationStore(err error) *evacuationStore {
	s := &evacuationStore{store: newIdleStore(), revision: 3, err: err}
	s.evacuations = func() (*directory.Evacuations, []direct.Fault, error) { // called with s.mu held
		return &directory.Evacuations{Position: directory.Position{Revision: s.revision}, Domains: s.domains}, nil, s.err
	}
	return s
}

func (s *evacuationStore) WatchEndpoints(ctx context.Context, _ directory.Position, wait time.Duration) (
	[]discovery.Change, directory.Position, []direct.Fault, error,
) {
	select {
	case <-ctx.Done():
	case <-time.After(min(wait, 100*time.Millisecond)):
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return nil, directory.Position{}, nil, s.err
	}
	return nil, directory.Position{Revision: s.revision}, nil, ctx.Err()
}

// write changes the store.
func (s *evacuationStore) write(err error, domains ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.domains, s.err = domains, err
}

func (s *evacuationStore) reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evacuationReads
}

const evacuateLimit = 5 * time.Second

func withEvacuations() *direct.Settings {
	s := testSettings()
	s.EvacuateLimit = evacuateLimit
	return s
}

// TestUnchangedRevisionSavesReads guards against calls of the store for evacuations while its revision shows that there is
// no new one, and against a logged evacuation that is repeated or missing.
func TestUnchangedRevisionSavesReads(t *testing.T) {
	is := is.New(t)
	s := newEvacuationStore(nil)
	p, out := startWith(t, withEvacuations(), s)
	eventually(t, "ready", p.IsReady)
	is.Equal(s.reads(), 1)
	time.Sleep(evacuateLimit)
	is.Equal(s.reads(), 1) // watches confirm the revision
	for _, c := range []struct {
		line    string
		domains []string
	}{{"failure domain evacuated", []string{"attiki-2"}}, {"failure domain restored", nil}} {
		before := s.reads()
		s.write(nil, c.domains...)
		written := time.Now()
		eventually(t, c.line, func() bool { return out.count(c.line) > 0 })
		is.True(time.Since(written) < evacuateLimit)
		is.Equal(s.reads(), before+1)
	}
	is.Equal(out.count("failure domain"), 2)
}

// TestUnknownEvacuationsPlaceNothing guards against a balancer that serves clients although it does not know which failure
// domains are evacuated, and against one that waits for them where there are none.
func TestUnknownEvacuationsPlaceNothing(t *testing.T) {
	is := is.New(t)
	s := newEvacuationStore(errors.New("connection refused"))
	p, _ := startWith(t, withEvacuations(), s)
	eventually(t, "some reads", func() bool { return s.reads() >= 3 })
	is.True(!p.IsReady())
	s.write(nil)
	eventually(t, "ready", p.IsReady)
	off, _ := startWith(t, testSettings(), newEvacuationStore(errors.New("connection refused")))
	eventually(t, "ready without evacuations", off.IsReady)
}

// TestReloadOfEvacuateLimit guards against a changed limit that takes effect at the next start only.
func TestReloadOfEvacuateLimit(t *testing.T) {
	is := is.New(t)
	s := newEvacuationStore(nil)
	s.write(nil, "attiki-2")
	p, out := startWith(t, testSettings(), s)
	eventually(t, "ready", p.IsReady)
	is.Equal(s.reads(), 0)
	p.Reload(withEvacuations())
	eventually(t, "evacuated", func() bool { return out.count("failure domain evacuated") == 1 })
	p.Reload(testSettings())
	eventually(t, "restored", func() bool { return out.count("failure domain restored") == 1 })
}

// freePort returns a port of the loopback address that was free a moment ago.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return netip.MustParseAddrPort(l.Addr().String())
}

// TestRefusedBalancerFollows guards against an evacuation that does not reach a balancer which the store refuses, from a
// balancer of its own failure domain or of another one, also if the set is too large for an announcement.
func TestRefusedBalancerFollows(t *testing.T) {
	for name, c := range map[string]struct {
		failureDomain string // of the balancer that the store serves
		domains       int
	}{
		"own failure domain":              {"attiki-1", 1},
		"own failure domain, large set":   {"attiki-1", 400},
		"other failure domain":            {"attiki-2", 1},
		"other failure domain, large set": {"attiki-2", 400},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			served, refused := withEvacuations(), withEvacuations()
			served.ID, served.FailureDomain, served.PeerAddress = "front-2", c.failureDomain, freePort(t)
			refused.PeerAddress, refused.Peers = freePort(t), []netip.AddrPort{served.PeerAddress}
			s := newEvacuationStore(nil)
			startWith(t, served, s)
			p, out := startWith(t, refused, newEvacuationStore(errors.New("connection refused")))
			eventually(t, "ready", p.IsReady)
			var domains []string
			for i := range c.domains {
				domains = append(domains, fmt.Sprintf("region-7-zone-%d", i))
			}
			s.write(nil, domains...)
			written := time.Now()
			eventually(t, "evacuated", func() bool { return out.count("failure domain evacuated") == c.domains })
			is.True(time.Since(written) < evacuateLimit)
			s.write(nil)
			written = time.Now()
			eventually(t, "restored", func() bool { return out.count("failure domain restored") == c.domains })
			is.True(time.Since(written) < evacuateLimit)
		})
	}
}
