package backend

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cornellb/core/state/packet"
)

const (
	pingInterval       = time.Second
	silenceLimit       = 3 * time.Second        // a connection on which no frame arrives for this long is closed
	checkInterval      = 250 * time.Millisecond // time between checks for silence and for a due ping
	minBackoff         = 50 * time.Millisecond
	maxBackoff         = 2 * time.Second
	dialTimeout        = 2 * time.Second
	defaultQueueFrames = 1024
	defaultQueueBytes  = 4 << 20
	maxRetainedBytes   = 64 << 10 // a write buffer that grew larger is released after use
	readBufferSize     = 64 << 10
)

// Clock tells the time and makes timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the real clock.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// After returns a channel that receives the time after d.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Dialer opens connections. It must return when the context ends.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// Handler receives frames and connection changes. See the package comment for the order of calls.
type Handler interface {
	// BackendUp reports a connection that is ready for frames. The other arguments come from the Identity: the service
	// and incarnation of the backend server, its number of busy slots, and whether it is draining.
	BackendUp(endpoint netip.AddrPort, service string, incarnation uint64, busy int, leaving bool)
	// HandleBackend receives a frame. The frame is valid until HandleBackend returns; its payload may be kept.
	HandleBackend(endpoint netip.AddrPort, m *packet.Backend)
	// BackendDown reports the end of a connection or a failed attempt to connect. No byte of the frames in unsent was
	// passed to the kernel. Every other frame that Send accepted may have been received.
	BackendDown(endpoint netip.AddrPort, err error, unsent []*packet.Backend)
}

// Settings configure the transport. Zero values select defaults.
type Settings struct {
	QueueFrames int    // largest number of frames in the send queue of one connection
	QueueBytes  int    // once this many bytes are queued, no further frame is accepted
	Dialer      Dialer // opens connections; net.Dialer by default
}

// Counters count since the start of the transport, over all endpoints.
type Counters struct {
	Dials               uint64
	DialErrors          uint64
	Connected           uint64 // connections reported by BackendUp
	Disconnected        uint64 // connections that ended after BackendUp
	SilenceTimeouts     uint64 // connections closed because no frame arrived for silenceLimit
	WrongServices       uint64 // connections closed because the backend server named another service
	FramesSent          uint64 // frames passed to the kernel in full, including Hello and Ping
	BytesSent           uint64
	FramesReceived      uint64
	RefusedNotConnected uint64 // calls of Send refused because no connection was ready
	RefusedQueueFull    uint64 // calls of Send refused because the queue was full
	RefusedWrongService uint64 // calls of Send refused because the service did not match
	Unsent              uint64 // frames that BackendDown reported as unsent
}

type counters struct {
	dials, dialErrors, connected, disconnected, silenceTimeouts, wrongServices atomic.Uint64
	framesSent, bytesSent, framesReceived                                      atomic.Uint64
	refusedNotConnected, refusedQueueFull, refusedWrongService, unsent         atomic.Uint64
}

// Transport maintains the connections to all requested endpoints. It is safe for concurrent use.
type Transport struct {
	settings Settings
	clock    Clock
	logger   *slog.Logger
	handler  Handler
	counters counters
	running  sync.WaitGroup

	mu     sync.RWMutex
	closed bool
	links  map[netip.AddrPort]*link
}

// New returns a transport without connections.
func New(s Settings, c Clock, logger *slog.Logger, h Handler) *Transport {
	if s.QueueFrames <= 0 {
		s.QueueFrames = defaultQueueFrames
	}
	if s.QueueBytes <= 0 {
		s.QueueBytes = defaultQueueBytes
	}
	if s.Dialer == nil {
		s.Dialer = &net.Dialer{Timeout: dialTimeout}
	}
	return &Transport{settings: s, clock: c, logger: logger, handler: h, links: map[netip.AddrPort]*link{}}
}

// Connect requests a connection to the endpoint, which is dialled again whenever it ends, until Disconnect. The
// endpoint must belong to the service. If a connection was requested for another service before, it is replaced.
// Connect does not block.
func (t *Transport) Connect(endpoint netip.AddrPort, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	l := t.links[endpoint]
	if l == nil {
		l = &link{transport: t, endpoint: endpoint}
		t.links[endpoint] = l
		t.running.Go(l.run)
	} else if l.requested && l.service == service {
		return
	}
	l.request(service)
}

// Disconnect ends the connection to the endpoint and stops dialling it. BackendDown follows if the connection was up.
// Disconnect does not block.
func (t *Transport) Disconnect(endpoint netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.links[endpoint]; l != nil {
		l.withdraw()
	}
}

// Send queues a frame. Run and Subscribe must name the service of the endpoint, so that no work reaches a backend
// server of another service even if Connect assigns the endpoint to another service between the choice of the endpoint
// and the call. The transport keeps m until it is written or returned by BackendDown, so neither it nor its payload may
// be changed. An error means that nothing of the frame was or will be written.
func (t *Transport) Send(endpoint netip.AddrPort, m *packet.Backend) error {
	t.mu.RLock()
	l := t.links[endpoint]
	t.mu.RUnlock()
	if l == nil {
		t.counters.refusedNotConnected.Add(1)
		return &NotConnectedError{Endpoint: endpoint}
	}
	return l.send(m)
}

// Counters returns the current counts.
func (t *Transport) Counters() Counters {
	c := &t.counters
	return Counters{
		Dials:               c.dials.Load(),
		DialErrors:          c.dialErrors.Load(),
		Connected:           c.connected.Load(),
		Disconnected:        c.disconnected.Load(),
		SilenceTimeouts:     c.silenceTimeouts.Load(),
		WrongServices:       c.wrongServices.Load(),
		FramesSent:          c.framesSent.Load(),
		BytesSent:           c.bytesSent.Load(),
		FramesReceived:      c.framesReceived.Load(),
		RefusedNotConnected: c.refusedNotConnected.Load(),
		RefusedQueueFull:    c.refusedQueueFull.Load(),
		RefusedWrongService: c.refusedWrongService.Load(),
		Unsent:              c.unsent.Load(),
	}
}

// Close ends all connections and waits until no goroutine of the transport is left. It must not be called by a handler.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	for _, l := range t.links {
		l.withdraw()
	}
	t.mu.Unlock()
	t.running.Wait()
}
