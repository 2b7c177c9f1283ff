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

// entry is a frame in a batch. message is nil for Hello and Ping, which the connection itself creates and which are
// therefore never reported as unsent.
type entry struct {
	message *packet.Backend
	start   int // offset of the frame in the batch
}

// batch is a sequence of encoded frames that are passed to one call of Write.
type batch struct {
	bytes   []byte
	entries []entry
	hasPing bool
}

func (b *batch) reset() {
	clear(b.entries) // drops the references to the messages, so that they can be garbage collected
	b.entries = b.entries[:0]
	b.hasPing = false
	if cap(b.bytes) > maxRetainedBytes {
		b.bytes = nil
	}
	b.bytes = b.bytes[:0]
}

// messagesFrom returns the messages whose frames start at or after the offset.
func (b *batch) messagesFrom(offset int) []*packet.Backend {
	var out []*packet.Backend
	for _, e := range b.entries {
		if e.start >= offset && e.message != nil {
			out = append(out, e.message)
		}
	}
	return out
}

// connection is one TCP connection, from the time when it is established until its end.
type connection struct {
	transport    *Transport
	endpoint     netip.AddrPort
	service      string
	conn         net.Conn
	errs         chan error    // first error of the reader and of the writer
	wake         chan struct{} // signals the writer that a frame is queued
	ended        chan struct{} // closed by end
	created      time.Time     // when the connection was established
	lastReceived atomic.Int64  // when the last frame was processed, in nanoseconds since created
	handling     atomic.Bool   // the reader is processing a frame, possibly in a handler call

	mu      sync.Mutex
	up      bool // frames are accepted: the Identity has arrived and the connection has not ended
	closed  bool // the connection has ended; no frame is accepted from now on
	waiting batch

	// The results of run, valid after it has returned.
	unsent []*packet.Backend
	wasUp  bool
	upAt   time.Time
}

func newConnection(t *Transport, endpoint netip.AddrPort, service string, conn net.Conn) *connection {
	return &connection{
		transport: t, endpoint: endpoint, service: service, conn: conn, created: t.clock.Now(),
		errs: make(chan error, 2), wake: make(chan struct{}, 1), ended: make(chan struct{}),
	}
}

// run handles the connection until its first error or the end of ctx and returns the cause. When it returns, no handler
// call from the reader is running or will follow.
func (c *connection) run(ctx context.Context) error {
	c.hello()
	var workers sync.WaitGroup
	var unwritten []*packet.Backend // messages of the failed write of which no byte was passed on
	workers.Go(func() { c.errs <- c.read() })
	workers.Go(func() {
		var err error
		if unwritten, err = c.write(); err != nil {
			c.errs <- err
		}
	})
	err := c.supervise(ctx)
	c.end()
	workers.Wait()
	c.unsent = append(unwritten, c.waiting.messagesFrom(0)...)
	return err
}

// end refuses further frames and stops reader and writer. Data that the kernel still holds is discarded, so that a
// backend server does not start work whose outcome nobody waits for.
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

// supervise sends pings until the first error, the silence time-out or the end of ctx, and returns the cause.
func (c *connection) supervise(ctx context.Context) error {
	clock := c.transport.clock
	w := silenceWatch{last: clock.Now(), pinged: clock.Now()}
	for {
		select {
		case err := <-c.errs:
			return err
		case <-ctx.Done():
			return &DisconnectedError{Endpoint: c.endpoint}
		case <-clock.After(checkInterval):
		}
		handling := c.handling.Load() // before the time of the last frame, which is set when the handler returns
		if silence := w.check(clock.Now(), c.lastFrame()); silence >= silenceLimit && !handling {
			return &SilenceError{Endpoint: c.endpoint, Silence: silence}
		}
		if w.isPingDue() {
			c.ping()
		}
	}
}

// lastFrame returns the time of the last frame. It is derived from a time with a monotonic reading, so that setting the
// wall clock does not look like silence.
func (c *connection) lastFrame() time.Time {
	return c.created.Add(time.Duration(c.lastReceived.Load()))
}

// silenceWatch measures for how long no frame arrived. Its method check is called every checkInterval.
type silenceWatch struct {
	last    time.Time // last check
	pinged  time.Time // last ping
	resumed time.Time // last check that came after a pause
}

// check returns for how long no frame arrived, where received is the time of the last frame. If the previous check was
// more than 2 * pingInterval ago, this process was paused. Frames may then be waiting in the socket, so the silence is
// counted from this check.
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

// isPingDue reports whether a ping is due at the time of the last check; if so, it records that time as the time of the
// last ping. A ping, or the Hello before the first ping, is therefore always queued or outstanding when silenceLimit is
// reached.
func (w *silenceWatch) isPingDue() bool {
	if w.last.Sub(w.pinged) < pingInterval {
		return false
	}
	w.pinged = w.last
	return true
}

// startsWork reports whether a frame of the kind makes the backend server start work.
func startsWork(k packet.BackendKind) bool {
	return k == packet.BackendRun || k == packet.BackendSubscribe
}

// send queues a frame passed to Transport.Send. A frame that starts work must name the service of the connection;
// others may leave the service empty.
func (c *connection) send(m *packet.Backend) error {
	counters := &c.transport.counters
	if m.Service != c.service && (m.Service != "" || startsWork(m.Kind)) {
		counters.refusedWrongService.Add(1)
		return &WrongServiceError{Endpoint: c.endpoint, Expected: m.Service, Actual: c.service}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.up {
		counters.refusedNotConnected.Add(1)
		return &NotConnectedError{Endpoint: c.endpoint}
	}
	if c.isFull() {
		counters.refusedQueueFull.Add(1)
		return &QueueFullError{Endpoint: c.endpoint, Frames: len(c.waiting.entries), Bytes: len(c.waiting.bytes)}
	}
	return c.enqueue(m, m)
}

func (c *connection) isFull() bool {
	s := &c.transport.settings
	return len(c.waiting.entries) >= s.QueueFrames || len(c.waiting.bytes) >= s.QueueBytes
}

// hello queues the Hello, which is the first frame.
func (c *connection) hello() {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.enqueue(&packet.Backend{Kind: packet.BackendHello, Service: c.service}, nil)
}

// ping queues a ping, unless one is queued or the backend server has not answered the Hello yet. It is queued also if the
// queue is full: a backend server that reads slowly would otherwise get no ping and be taken for silent.
func (c *connection) ping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.up && !c.waiting.hasPing {
		_ = c.enqueue(&packet.Backend{Kind: packet.BackendPing}, nil)
		c.waiting.hasPing = true
	}
}

// enqueue appends m to the queue in encoded form. message is m if m is to be reported as unsent when it is not written,
// and nil otherwise. c.mu must be locked.
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

// write passes batches to the kernel until the connection ends. After a failed write it returns the messages of the
// batch of which no byte was passed.
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
		if len(writing.entries) == 0 { // the frame behind this wake-up was taken with an earlier batch
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
		c.lastReceived.Store(int64(c.transport.clock.Now().Sub(c.created)))
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

// identify checks that the first frame is an Identity with the expected service, and reports the connection as up.
func (c *connection) identify(m *packet.Backend) error {
	if m.Kind != packet.BackendIdentity {
		return &FrameError{Endpoint: c.endpoint, Kind: m.Kind}
	}
	if m.Service != c.service {
		return &WrongServiceError{Endpoint: c.endpoint, Expected: c.service, Actual: m.Service}
	}
	if !c.startAccepting() {
		return &DisconnectedError{Endpoint: c.endpoint}
	}
	c.transport.counters.connected.Add(1)
	c.transport.logger.Info("connected to backend server", "endpoint", c.endpoint, "service", m.Service,
		"incarnation", m.Incarnation)
	c.transport.handler.BackendUp(c.endpoint, m.Service, m.Incarnation, int(m.Busy), m.Leaving)
	return nil
}

// startAccepting makes send accept frames, unless the connection was ended before the Identity was processed. A frame
// accepted after the end would be neither written nor reported as unsent.
func (c *connection) startAccepting() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.up, c.wasUp, c.upAt = true, true, c.transport.clock.Now()
	return true
}
