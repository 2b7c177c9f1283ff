package backend

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"cornellb/core/state/packet"

	"github.com/pkg/errors"
)

// link keeps one endpoint connected. Its run goroutine lives until the endpoint is forgotten.
type link struct {
	transport *Transport
	endpoint  netip.AddrPort

	// The fields below are guarded by the transport's lock.
	wanted  bool
	service string
	ctx     context.Context // ends when the wish changes
	cancel  context.CancelFunc

	current      atomic.Pointer[connection]        // nil while there is none
	wrongService atomic.Pointer[WrongServiceError] // why the last attempt failed; nil for another reason

	lastFailure string // cause of the last failure, which is logged once
}

func (l *link) want(service string) {
	l.forget()
	l.wanted, l.service = true, service
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

func (l *link) forget() {
	if l.wanted {
		l.cancel()
	}
	l.wanted = false
}

// wish returns what is wanted now. Without a wish, the link is removed and its run must return.
func (l *link) wish() (ctx context.Context, service string, ok bool) {
	l.transport.mu.Lock()
	defer l.transport.mu.Unlock()
	if !l.wanted {
		delete(l.transport.links, l.endpoint)
		return nil, "", false
	}
	return l.ctx, l.service, true
}

func (l *link) run() {
	backoff := minBackoff
	for {
		ctx, service, ok := l.wish()
		if !ok {
			return
		}
		// A connection that ends soon after it was up counts as a failure, so that a backend server that accepts and
		// resets connections is not dialled without pause.
		if l.serve(ctx, service) >= maxBackoff || ctx.Err() != nil {
			backoff = minBackoff
		}
		select {
		case <-l.transport.clock.After(jitter(backoff)):
		case <-ctx.Done():
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// jitter returns a duration between half of d and d, so that balancers do not reconnect in step.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// serve makes one attempt to connect, handles the connection until it ends, and returns how long it was up.
func (l *link) serve(ctx context.Context, service string) time.Duration {
	t := l.transport
	t.counters.dials.Add(1)
	conn, err := t.settings.Dialer.DialContext(ctx, "tcp", l.endpoint.String())
	if err != nil {
		t.counters.dialErrors.Add(1)
		l.down(ctx, &DialError{Endpoint: l.endpoint, Err: err}, nil, false)
		return 0
	}
	c := newConnection(t, l.endpoint, service, conn)
	l.current.Store(c)
	err = c.run(ctx)
	l.current.Store(nil)
	l.down(ctx, err, c.unsent, c.wasUp)
	if !c.wasUp {
		return 0
	}
	return t.clock.Now().Sub(c.upAt)
}

// down reports the end of a connection or attempt. An attempt that Forget ended is not reported, since its endpoint is
// not wanted any more.
func (l *link) down(ctx context.Context, err error, unsent []*packet.Backend, wasUp bool) {
	if !wasUp && ctx.Err() != nil {
		l.wrongService.Store(nil)
		return
	}
	l.count(err, wasUp, len(unsent))
	var wrong *WrongServiceError
	errors.As(err, &wrong)
	l.wrongService.Store(wrong)
	l.log(err, len(unsent), wasUp)
	l.transport.handler.BackendDown(l.endpoint, err, unsent)
}

func (l *link) count(err error, wasUp bool, unsent int) {
	c := &l.transport.counters
	c.unsent.Add(uint64(unsent))
	if wasUp {
		c.downs.Add(1)
	}
	var silence *SilenceError
	if errors.As(err, &silence) {
		c.silences.Add(1)
	}
	var wrong *WrongServiceError
	if errors.As(err, &wrong) {
		c.wrongServices.Add(1)
	}
}

// log writes a line if the connection was up or the failure has another cause than the last one.
func (l *link) log(err error, unsent int, wasUp bool) {
	failure := cause(err)
	switch {
	case wasUp:
		l.transport.logger.Info("backend connection ended", "endpoint", l.endpoint, "error", err, "unsent", unsent)
	case failure != l.lastFailure:
		l.transport.logger.Warn("backend connection failed", "endpoint", l.endpoint, "error", err)
	}
	l.lastFailure = failure
}

// cause returns the text of an error without the local port, which differs for each connection.
func cause(err error) string {
	var operation *net.OpError
	if errors.As(err, &operation) {
		return operation.Op + ": " + operation.Err.Error()
	}
	return err.Error()
}

func (l *link) send(m *packet.Backend) error {
	c := l.current.Load()
	if c != nil {
		return c.send(m)
	}
	if wrong := l.wrongService.Load(); wrong != nil {
		l.transport.counters.refusedService.Add(1)
		return wrong
	}
	l.transport.counters.refusedDown.Add(1)
	return &NotConnectedError{Endpoint: l.endpoint}
}
