package platform_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/io/transport/platform"
)

// silentServer is a platform whose connections can go silent.
type silentServer struct {
	calls   atomic.Int32 // that were handled
	delay   atomic.Int64 // ns before each answer
	release chan struct{}

	mu    sync.Mutex
	conns map[net.Conn]bool // whether the connection is silent
}

func newSilentServer(t *testing.T, timeout time.Duration) (*silentServer, *platform.Client) {
	t.Helper()
	s := &silentServer{release: make(chan struct{}), conns: make(map[net.Conn]bool)}
	h := httptest.NewUnstartedServer(s)
	h.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns[c] = false
		return context.WithValue(ctx, connKey{}, c)
	}
	h.Start()
	c := platform.NewClient(h.URL, timeout, platform.SystemClock{})
	t.Cleanup(func() {
		c.Close()
		close(s.release)
		h.Close()
	})
	return s, c
}

type connKey struct{}

// silence lets all connections that are open now go silent.
func (s *silentServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		s.conns[c] = true
	}
}

func (s *silentServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	isSilent := s.conns[r.Context().Value(connKey{}).(net.Conn)]
	s.mu.Unlock()
	if isSilent {
		select { // the client has given up the connection, or the test has ended
		case <-r.Context().Done():
		case <-s.release:
		}
		return
	}
	s.calls.Add(1)
	time.Sleep(time.Duration(s.delay.Load()))
	_, _ = w.Write([]byte(`{"events":[],"at":5}`))
}

func call(c *platform.Client, method string, wait time.Duration) error {
	var reply struct{}
	_, err := c.Do(context.Background(), platform.Call{Method: method, Operation: "test", Path: "/x", Wait: wait, Reply: &reply})
	return err
}

// TestSilentIdleConnection guards against a balancer that waits for an answer on a connection which has gone silent while
// it was idle, although new connections work.
func TestSilentIdleConnection(t *testing.T) {
	tests := map[string]time.Duration{"read": 0, "watch": 300 * time.Millisecond}
	for name, wait := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, c := newSilentServer(t, testTimeout)
			var calls sync.WaitGroup
			for range 3 { // several connections become idle
				calls.Go(func() { is.NoErr(call(c, http.MethodGet, 0)) })
			}
			calls.Wait()
			s.silence()
			var reported []string
			c.OnSilent = func(operation string) { reported = append(reported, operation) }
			began := time.Now()
			is.NoErr(call(c, http.MethodGet, wait))
			is.True(time.Since(began) < testTimeout/2)
			is.Equal(s.calls.Load(), int32(4))
			is.Equal(reported, []string{"test"})
		})
	}
}

// TestSilentWrite guards against a write that is sent twice: one without an answer may have taken effect.
func TestSilentWrite(t *testing.T) {
	is := is.New(t)
	s, c := newSilentServer(t, time.Second)
	is.NoErr(call(c, http.MethodPut, 0))
	s.delay.Store(int64(2 * time.Second))
	var unavailable *platform.UnavailableError
	is.True(errors.As(call(c, http.MethodPut, 0), &unavailable))
	is.Equal(s.calls.Load(), int32(2))
}

// TestSlowPlatformIsAskedOnce guards against a platform that is slow and gets every call twice for that.
func TestSlowPlatformIsAskedOnce(t *testing.T) {
	is := is.New(t)
	s, c := newSilentServer(t, testTimeout)
	s.delay.Store(int64(2 * time.Second))
	for range 2 {
		is.NoErr(call(c, http.MethodGet, 0))
	}
	is.Equal(s.calls.Load(), int32(2))
}
