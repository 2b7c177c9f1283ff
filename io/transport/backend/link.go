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

// link maintains the connection to one endpoint. Its run goroutine ends once the connection is no longer requested.
type link struct {
	transport *Transport
	endpoint  netip.AddrPort

	// The fields below are guarded by the transport's lock.
	requested bool
	service   string
	ctx       context.Context // cancelled by withdraw, and by request for another service
	cancel    context.CancelFunc

	current      atomic.Pointer[connection]        // nil while there is no connection
	wrongService atomic.Pointer[WrongServiceError] // cause of the last failure; nil if it had another cause

	lastFailure string // text of the last failure; a repeated failure to connect is logged once
}

func (l *link) request(service string) {
	l.withdraw()
	l.requested, l.service = true, service
	l.ctx, l.cancel = context.WithCancel(context.Background())
}

func (l *link) withdraw() {
	if l.requested {
		l.cancel()
	}
	l.requested = false
}

// target returns the service for which a connection is requested, and a context that ends when the request changes. If
// no connection is requested, it removes the link and returns false, after which run must return.
func (l *link) target() (ctx context.Context, service string, ok bool) {
	l.transport.mu.Lock()
	defer l.transport.mu.Unlock()
	if !l.requested {
		delete(l.transport.links, l.endpoint)
		return nil, "", false
	}
	return l.ctx, l.service, true
}

func (l *link) run() {
	backoff := minBackoff
	for {
		ctx, service, ok := l.target()
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

// jitter returns a random duration between d/2 and d, so that balancers do not all reconnect at the same moment.
func jitter(d time.Duration) time.Duration { return d/2 + rand.N(d/2) }

// serve makes one attempt to connect, handles the connection until it ends, and returns how long it was up.
func (l *link) serve(ctx context.Context, service string) time.Duration {
	t := l.transport
	t.counters.dials.Add(1)
	conn, err := t.settings.Dialer.DialContext(ctx, "tcp", l.endpoint.String())
	if err != nil {
		t.counters.dialErrors.Add(1)
		l.reportDown(ctx, &DialError{Endpoint: l.endpoint, Err: err}, nil, false)
		return 0
	}
	c := newConnection(t, l.endpoint, service, conn)
	l.current.Store(c)
	err = c.run(ctx)
	l.current.Store(nil)
	l.reportDown(ctx, err, c.unsent, c.wasUp)
	if !c.wasUp {
		return 0
	}
	return t.clock.Now().Sub(c.upAt)
}

// reportDown reports the end of a connection, or a failed attempt to connect, to the counters, the log and the handler.
// An attempt that failed after its context was cancelled is not reported, since the connection is no longer requested.
func (l *link) reportDown(ctx context.Context, err error, unsent []*packet.Backend, wasUp bool) {
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
		c.disconnected.Add(1)
	}
	var silence *SilenceError
	if errors.As(err, &silence) {
		c.silenceTimeouts.Add(1)
	}
	var wrong *WrongServiceError
	if errors.As(err, &wrong) {
		c.wrongServices.Add(1)
	}
}

// log writes a line if the connection was up, or if the text of the failure differs from that of the last one.
func (l *link) log(err error, unsent int, wasUp bool) {
	failure := cause(err)
	switch {
	case wasUp:
		l.transport.logger.Info("connection to backend server ended", "endpoint", l.endpoint, "error", err,
			"unsent", unsent)
	case failure != l.lastFailure:
		l.transport.logger.Warn("attempt to connect to backend server failed", "endpoint", l.endpoint, "error", err)
	}
	l.lastFailure = failure
}

// cause returns the text of an error. It leaves out the addresses of a network error, since the local port differs for
// each connection.
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
		l.transport.counters.refusedWrongService.Add(1)
		return wrong
	}
	l.transport.counters.refusedNotConnected.Add(1)
	return &NotConnectedError{Endpoint: l.endpoint}
}
