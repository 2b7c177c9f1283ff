package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/pkg/errors"
)

// session is one yamux session. A dialled session is in Transport.dialled from the start of its dial on.
type session struct {
	ready chan struct{} // closed when mux or err is set
	mux   *yamux.Session
	err   error

	// Guarded by Transport.mu.
	users    int // calls or served streams that use the session
	lastUsed time.Time
}

func (t *Transport) muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = 2 * maxServing
	c.KeepAliveInterval = t.settings.SessionIdle / 2
	c.ConnectionWriteTimeout = t.settings.CallTimeout
	c.StreamOpenTimeout = t.settings.CallTimeout
	c.StreamCloseTimeout = t.settings.CallTimeout
	c.LogOutput = io.Discard // failures are returned as errors
	return c
}

// acquire returns the session to a peer, dialling it if there is none. The caller must release it.
func (t *Transport) acquire(ctx context.Context, to netip.AddrPort) (*session, Stage, error) {
	s, err := t.reserve(to)
	if err != nil {
		return nil, StageLimit, err
	}
	select {
	case <-s.ready:
	case <-ctx.Done():
		t.release(s)
		return nil, StageDial, ctx.Err()
	}
	if s.err != nil {
		t.release(s)
		return nil, StageDial, s.err
	}
	return s, "", nil
}

// reserve returns the session to a peer with one more user. If there is none, it starts to dial a new one, and closes
// an unused session if the limit is reached.
func (t *Transport) reserve(to netip.AddrPort) (*session, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil {
		return nil, net.ErrClosed
	}
	if s := t.dialled[to]; s != nil && !s.isBroken() {
		s.users++
		return s, nil
	}
	delete(t.dialled, to)
	if len(t.dialled) >= t.settings.MaxSessions && !t.evictDialled() {
		return nil, &LimitError{Sessions: t.settings.MaxSessions}
	}
	s := &session{ready: make(chan struct{}), users: 1, lastUsed: time.Now()}
	t.dialled[to] = s
	t.work.Go(func() { t.dial(to, s) })
	return s, nil
}

// isBroken reports whether the session cannot carry new streams. It is false during the dial.
func (s *session) isBroken() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.mux.IsClosed()
	default:
		return false
	}
}

// evictDialled closes the unused dialled session that was used longest ago, and reports whether there was one. The
// caller holds Transport.mu.
func (t *Transport) evictDialled() bool {
	var oldest netip.AddrPort
	for a, s := range t.dialled {
		if s.users == 0 && (!oldest.IsValid() || s.lastUsed.Before(t.dialled[oldest].lastUsed)) {
			oldest = a
		}
	}
	if !oldest.IsValid() {
		return false
	}
	t.closeInBackground(t.dialled[oldest])
	delete(t.dialled, oldest)
	return true
}

// dial connects the session for all calls that wait for it. It does not use the context of the first of them, so that
// the end of that call does not cancel the others.
func (t *Transport) dial(to netip.AddrPort, s *session) {
	defer close(s.ready)
	dialer := net.Dialer{Timeout: t.settings.CallTimeout}
	conn, err := dialer.DialContext(t.ctx, "tcp", to.String())
	if err != nil {
		s.err = err
		return
	}
	s.mux, s.err = yamux.Client(conn, t.muxConfig())
	if s.err != nil {
		_ = conn.Close()
		return
	}
	t.counters.dialled.Add(1)
	if t.ctx.Err() != nil {
		_ = s.mux.Close()
	}
}

// release ends one use of a session.
func (t *Transport) release(s *session) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s.users--
	s.lastUsed = time.Now()
}

// closeInBackground closes a session without waiting for it.
func (t *Transport) closeInBackground(s *session) {
	select {
	case <-s.ready:
	default:
		return // the dial is in progress and ends with Transport.ctx
	}
	if s.mux != nil {
		t.work.Go(func() { _ = s.mux.Close() })
	}
}

// closeIdle closes unused sessions until Close. Accepted sessions are kept twice as long as dialled ones, since the
// dialling side is meant to close them.
func (t *Transport) closeIdle() {
	ticker := time.NewTicker(t.settings.SessionIdle / 4)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case now := <-ticker.C:
			t.closeIdleAt(now)
		}
	}
}

func (t *Transport) closeIdleAt(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for a, s := range t.dialled {
		if s.users == 0 && (s.isBroken() || now.Sub(s.lastUsed) >= t.settings.SessionIdle) {
			t.closeInBackground(s)
			delete(t.dialled, a)
		}
	}
	for s := range t.accepted {
		if s.users == 0 && now.Sub(s.lastUsed) >= 2*t.settings.SessionIdle {
			t.closeInBackground(s) // the goroutine of serve removes it
		}
	}
}

func (t *Transport) closeSessions() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.dialled {
		t.closeInBackground(s)
	}
	for s := range t.accepted {
		t.closeInBackground(s)
	}
}

// accept accepts connections from peers until the listener is closed.
func (t *Transport) accept() {
	for {
		conn, err := t.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			t.counters.readErr.Add(1)
			t.pause(readErrorPause)
		default:
			t.admit(conn)
		}
	}
}

// admit starts to serve a connection, or closes it if the limit is reached and no accepted session is unused.
func (t *Transport) admit(conn net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx.Err() != nil || len(t.accepted) >= t.settings.MaxSessions && !t.evictAccepted() {
		t.counters.refused.Add(1)
		_ = conn.Close()
		return
	}
	mux, err := yamux.Server(conn, t.muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	s := &session{ready: make(chan struct{}), mux: mux, lastUsed: time.Now()}
	close(s.ready)
	t.accepted[s] = struct{}{}
	t.counters.accepted.Add(1)
	t.work.Go(func() { t.serve(s) })
}

// evictAccepted closes the accepted session without a stream that was used longest ago, and reports whether there was
// one. Peers that keep a session after one request thus do not lock out others. The caller holds Transport.mu.
func (t *Transport) evictAccepted() bool {
	var oldest *session
	for s := range t.accepted {
		if s.users == 0 && (oldest == nil || s.lastUsed.Before(oldest.lastUsed)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	t.closeInBackground(oldest)
	delete(t.accepted, oldest)
	return true
}

// serve handles the streams of one accepted session. It accepts a stream only after the previous one got a serving
// slot, so that yamux refuses the streams that a peer opens beyond the backlog.
func (t *Transport) serve(s *session) {
	var streams sync.WaitGroup
	defer func() {
		_ = s.mux.Close()
		streams.Wait()
		t.mu.Lock()
		delete(t.accepted, s)
		t.mu.Unlock()
	}()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		select {
		case t.servingSlots <- struct{}{}:
		case <-t.ctx.Done():
			return
		}
		t.mu.Lock()
		s.users++
		t.mu.Unlock()
		streams.Go(func() {
			defer func() { <-t.servingSlots }()
			defer t.release(s)
			t.serveStream(stream)
		})
	}
}
