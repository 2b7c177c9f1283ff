package backend

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

// entry is a frame in a batch. Frames of the connection itself have no message.
type entry struct {
	message *packet.Backend
	start   int // offset of the frame in the batch
}

// batch is a run of encoded frames that are written with one call.
type batch struct {
	bytes   []byte
	entries []entry
}

func (b *batch) reset() {
	clear(b.entries) // lets go of the messages
	b.entries = b.entries[:0]
	if cap(b.bytes) > retainBytes {
		b.bytes = nil
	}
	b.bytes = b.bytes[:0]
}

// messagesFrom returns the frames that start at or after the offset.
func (b *batch) messagesFrom(offset int) []*packet.Backend {
	var out []*packet.Backend
	for _, e := range b.entries {
		if e.start >= offset && e.message != nil {
			out = append(out, e.message)
		}
	}
	return out
}

// connection is one TCP connection, from dialling to its end.
type connection struct {
	transport *Transport
	endpoint  netip.AddrPort
	service   string
	conn      net.Conn
	faults    chan error    // first fault of reader and writer each
	wake      chan struct{} // tells the writer that a frame waits
	ended     chan struct{} // closed at the end
	received  atomic.Int64  // clock time of the last frame, in nanoseconds since 1970
	handling  atomic.Bool   // the reader is in a handler call

	mu      sync.Mutex
	up      bool // frames are accepted
	closed  bool // frames will not be accepted any more
	waiting batch

	// Valid after run returned.
	unsent []*packet.Backend
	wasUp  bool
	upAt   time.Time
}

func newConnection(t *Transport, endpoint netip.AddrPort, service string, conn net.Conn) *connection {
	return &connection{
		transport: t, endpoint: endpoint, service: service, conn: conn,
		faults: make(chan error, 2), wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// run handles the connection until its first fault or the end of ctx and returns the reason. No handler call for the
// connection is running or will follow.
func (c *connection) run(ctx context.Context) error {
	c.received.Store(c.transport.clock.Now().UnixNano())
	c.hello()
	var workers sync.WaitGroup
	var rest []*packet.Backend // of the batch whose write failed
	workers.Go(func() { c.faults <- c.read() })
	workers.Go(func() {
		var err error
		if rest, err = c.write(); err != nil {
			c.faults <- err
		}
	})
	err := c.supervise(ctx)
	c.end()
	workers.Wait()
	c.unsent = append(rest, c.waiting.messagesFrom(0)...)
	return err
}

// end refuses further frames and stops reader and writer. Data that the kernel still holds is discarded, so that a
// backend server does not start work whose outcome no one waits for.
func (c *connection) end() {
	c.mu.Lock()
	c.up, c.closed = false, true
	c.mu.Unlock()
	if tcp, ok := c.conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	close(c.ended)
	_ = c.conn.Close()
}

// supervise sends pings and waits for the first fault, silence or the end of ctx.
func (c *connection) supervise(ctx context.Context) error {
	clock := c.transport.clock
	w := silenceWatch{last: clock.Now(), pinged: clock.Now()}
	for {
		select {
		case err := <-c.faults:
			return err
		case <-ctx.Done():
			return &ForgottenError{Endpoint: c.endpoint}
		case <-clock.After(checkInterval):
		}
		if silence := w.check(clock.Now(), time.Unix(0, c.received.Load())); silence >= silenceLimit && !c.handling.Load() {
			return &SilenceError{Endpoint: c.endpoint, Silence: silence}
		}
		if w.isPingDue() {
			c.ping()
		}
	}
}

// silenceWatch measures silence from regular checks.
type silenceWatch struct {
	last    time.Time // last check
	pinged  time.Time // last ping
	resumed time.Time // last check that came after a pause
}

// check returns for how long no frame arrived. A late check means that this process was paused; frames may then wait
// in the socket, and silence counts from the check only.
func (w *silenceWatch) check(now, received time.Time) time.Duration {
	if now.Sub(w.last) > 2*pingInterval {
		w.resumed = now
	}
	w.last = now
	if received.Before(w.resumed) {
		received = w.resumed
	}
	return now.Sub(received)
}

// isPingDue reports whether a ping is due at the last check and takes it as sent. A ping, or before the first one the
// Hello, is therefore always outstanding when the silence limit is reached.
func (w *silenceWatch) isPingDue() bool {
	if w.last.Sub(w.pinged) < pingInterval {
		return false
	}
	w.pinged = w.last
	return true
}

// startsWork reports whether the backend server does work for a frame of the kind.
func startsWork(k packet.BackendKind) bool {
	return k == packet.BackendRun || k == packet.BackendSubscribe
}

// send queues a frame of the core.
func (c *connection) send(m *packet.Backend) error {
	counters := &c.transport.counters
	if m.Service != c.service && (m.Service != "" || startsWork(m.Kind)) {
		counters.refusedService.Add(1)
		return &WrongServiceError{Endpoint: c.endpoint, Expected: m.Service, Actual: c.service}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.up {
		counters.refusedDown.Add(1)
		return &NotConnectedError{Endpoint: c.endpoint}
	}
	if c.isFull() {
		counters.refusedFull.Add(1)
		return &QueueFullError{Endpoint: c.endpoint, Frames: len(c.waiting.entries), Bytes: len(c.waiting.bytes)}
	}
	return c.enqueue(m, m)
}

func (c *connection) isFull() bool {
	s := &c.transport.settings
	return len(c.waiting.entries) >= s.QueueFrames || len(c.waiting.bytes) >= s.QueueBytes
}

// hello queues the first frame.
func (c *connection) hello() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.enqueue(&packet.Backend{Kind: packet.BackendHello, Service: c.service}, nil)
}

// ping queues a ping, unless the queue is full or the backend server has not answered the Hello yet.
func (c *connection) ping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up && !c.isFull() {
		_ = c.enqueue(&packet.Backend{Kind: packet.BackendPing}, nil)
	}
}

// enqueue encodes m. The caller holds the lock.
func (c *connection) enqueue(m, message *packet.Backend) error {
	start := len(c.waiting.bytes)
	encoded, err := wire.AppendBackend(c.waiting.bytes, m)
	if err != nil {
		return err
	}
	c.waiting.bytes = encoded
	c.waiting.entries = append(c.waiting.entries, entry{message: message, start: start})
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// write passes batches to the kernel until the connection ends. After a failed write it returns the frames of the batch
// of which no byte was passed.
func (c *connection) write() ([]*packet.Backend, error) {
	var writing batch
	for {
		select {
		case <-c.wake:
		case <-c.ended:
			return nil, nil
		}
		c.mu.Lock()
		writing, c.waiting = c.waiting, writing
		c.mu.Unlock()
		if len(writing.entries) == 0 { // a frame was queued, and taken, after the wake-up for an earlier one
			continue
		}
		n, err := c.conn.Write(writing.bytes)
		if err != nil {
			return writing.messagesFrom(n), &ConnectionError{Endpoint: c.endpoint, Operation: "write", Err: err}
		}
		c.transport.counters.framesSent.Add(uint64(len(writing.entries)))
		c.transport.counters.bytesSent.Add(uint64(n))
		writing.reset()
	}
}

// read passes frames to the handler until the connection fails.
func (c *connection) read() error {
	r := bufio.NewReaderSize(c.conn, readBufferSize)
	for {
		var m packet.Backend
		if err := wire.ReadBackend(r, &m); err != nil {
			return &ConnectionError{Endpoint: c.endpoint, Operation: "read", Err: err}
		}
		c.transport.counters.framesReceived.Add(1)
		c.handling.Store(true)
		err := c.handle(&m)
		c.received.Store(c.transport.clock.Now().UnixNano())
		c.handling.Store(false)
		if err != nil {
			return err
		}
	}
}

func (c *connection) handle(m *packet.Backend) error {
	if !c.wasUp {
		return c.identify(m)
	}
	switch m.Kind {
	case packet.BackendAnswer, packet.BackendShed, packet.BackendCancelled, packet.BackendItem, packet.BackendPong:
		c.transport.handler.HandleBackend(c.endpoint, m)
		return nil
	}
	return &FrameError{Endpoint: c.endpoint, Kind: m.Kind}
}

// identify checks the first frame.
func (c *connection) identify(m *packet.Backend) error {
	if m.Kind != packet.BackendIdentity {
		return &FrameError{Endpoint: c.endpoint, Kind: m.Kind}
	}
	if m.Service != c.service {
		return &WrongServiceError{Endpoint: c.endpoint, Expected: c.service, Actual: m.Service}
	}
	if !c.accept() {
		return &ForgottenError{Endpoint: c.endpoint}
	}
	c.transport.counters.ups.Add(1)
	c.transport.logger.Info("backend connection up", "endpoint", c.endpoint, "service", m.Service,
		"incarnation", m.Incarnation)
	c.transport.handler.BackendUp(c.endpoint, m.Service, m.Incarnation, int(m.Busy), m.Leaving)
	return nil
}

// accept lets frames in, unless the connection was ended while the Identity was on its way. A frame accepted after the
// end would be neither written nor reported as unsent.
func (c *connection) accept() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.up, c.wasUp, c.upAt = true, true, c.transport.clock.Now()
	return true
}
