package backend

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
	"cornellb/standin/content"
)

// outgoingFrames is the length of the queue of frames to write. Requests and feeds block while it is full.
const outgoingFrames = 256

// connection is one connection from a balancer.
type connection struct {
	server             *Server
	socket             net.Conn
	gate               *gate
	outgoing           chan *packet.Backend
	ctx                context.Context // ends with the connection
	stop               context.CancelFunc
	running            sync.WaitGroup
	isServiceConfirmed bool // Hello named this server's service; used only by the goroutine that reads

	lock     sync.Mutex
	attempts map[uint64]context.CancelFunc // cancels the running attempts, by attempt number
	streams  map[uint64]*stream
}

func newConnection(s *Server, socket net.Conn) *connection {
	ctx, stop := context.WithCancel(context.Background())
	return &connection{
		server:   s,
		socket:   socket,
		gate:     newGate(),
		outgoing: make(chan *packet.Backend, outgoingFrames),
		ctx:      ctx,
		stop:     stop,
		attempts: make(map[uint64]context.CancelFunc),
		streams:  make(map[uint64]*stream),
	}
}

func (c *connection) start() {
	c.running.Add(2)
	c.server.running.Add(1)
	go c.read()
	go c.write()
	go func() {
		defer c.server.running.Done()
		<-c.ctx.Done()
		_ = c.socket.Close()
		c.running.Wait()
		c.server.remove(c)
	}()
}

// reset closes the connection with a TCP reset instead of an orderly end.
func (c *connection) reset() {
	if t, ok := c.socket.(*net.TCPConn); ok {
		// With a linger time of 0 the kernel drops unsent data and sends a reset.
		_ = t.SetLinger(0)
	}
	c.stop()
}

func (c *connection) read() {
	defer c.running.Done()
	defer c.stop()
	reader := bufio.NewReader(c.socket)
	for {
		var m packet.Backend
		if err := wire.ReadBackend(reader, &m); err != nil {
			return
		}
		if !c.gate.wait(c.ctx) {
			return
		}
		c.handle(&m)
	}
}

func (c *connection) write() {
	defer c.running.Done()
	defer c.stop()
	var buffer []byte
	for {
		select {
		case <-c.ctx.Done():
			return
		case m := <-c.outgoing:
			if !c.gate.wait(c.ctx) {
				return
			}
			var err error
			if buffer, err = wire.AppendBackend(buffer[:0], m); err != nil {
				return
			}
			if _, err = c.socket.Write(buffer); err != nil {
				return
			}
		}
	}
}

// send adds the current load to a frame and queues it. It drops the frame when the connection ends.
func (c *connection) send(m *packet.Backend) {
	s := c.server
	s.lock.Lock()
	m.Busy = s.load.busy(time.Now(), s.busy)
	m.Leaving = s.isLeaving
	s.lock.Unlock()
	select {
	case c.outgoing <- m:
	case <-c.ctx.Done():
	}
}

func (c *connection) handle(m *packet.Backend) {
	switch m.Kind {
	case packet.BackendHello:
		c.isServiceConfirmed = m.Service == c.server.config.Service
		if !c.isServiceConfirmed {
			c.server.count(func(r *Report) { r.WrongHello++ })
		}
		c.send(&packet.Backend{
			Kind: packet.BackendIdentity, Service: c.server.config.Service, Incarnation: c.server.incarnation,
		})
	case packet.BackendRun:
		c.run(m)
	case packet.BackendCancel:
		c.lock.Lock()
		cancel := c.attempts[m.Attempt]
		c.lock.Unlock()
		if cancel != nil {
			cancel()
		}
	case packet.BackendSubscribe:
		c.subscribe(m)
	case packet.BackendItemAck:
		c.acknowledge(m)
	case packet.BackendUnsubscribe:
		c.unsubscribe(m.Stream)
	case packet.BackendPing:
		c.send(&packet.Backend{Kind: packet.BackendPong})
	default:
		c.server.count(func(r *Report) { r.Malformed++ })
	}
}

// accepts checks a frame that carries a request or a subscription. It counts the violations, and reports whether the
// server accepts the frame; late counts a frame that came too long after the server began to leave.
func (c *connection) accepts(service string, late func(r *Report)) bool {
	s := c.server
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.isLeaving && time.Since(s.leavingAt) > lateLimit {
		late(&s.report)
	}
	switch {
	case service != s.config.Service:
		s.report.WrongService++
		return false
	case !c.isServiceConfirmed:
		s.report.NoHello++
		return false
	}
	return true
}

func (c *connection) run(m *packet.Backend) {
	s := c.server
	shed := &packet.Backend{Kind: packet.BackendShed, Attempt: m.Attempt}
	if !c.accepts(m.Service, func(r *Report) { r.LateWork++ }) {
		c.send(shed)
		return
	}
	request, err := content.ParseRequest(m.Payload)
	if err != nil || m.Class >= packet.ClassCount {
		s.count(func(r *Report) { r.Malformed++ })
		c.send(shed)
		return
	}
	c.lock.Lock()
	if c.attempts[m.Attempt] != nil {
		c.lock.Unlock()
		s.count(func(r *Report) { r.Duplicate++ })
		return
	}
	nominal, actual, ok := s.begin(request, m)
	if !ok {
		c.lock.Unlock()
		c.send(shed)
		return
	}
	ctx, cancel := context.WithCancel(c.ctx)
	c.attempts[m.Attempt] = cancel
	c.lock.Unlock()
	c.running.Add(1)
	go c.execute(ctx, &attempt{
		number: m.Attempt, customer: m.Customer, request: request, nominal: nominal, actual: actual,
		timeout: m.Timeout,
	})
}

// begin takes a slot and records the execution. It reports false if no slot is free or the deadline has passed.
func (s *Server) begin(request content.Request, m *packet.Backend) (nominal, actual time.Duration, ok bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if request.Service != s.config.Service {
		s.report.WrongService++
		return 0, 0, false
	}
	if s.busy >= s.config.Slots || m.Timeout <= 0 || len(s.report.Executions) >= maxExecutions {
		s.report.Shed++
		return 0, 0, false
	}
	s.busy++
	s.load.record(time.Now(), s.busy)
	s.report.MaxBusy = max(s.report.MaxBusy, s.busy)
	s.report.Started++
	s.report.Executions[request.ID]++
	nominal, actual = s.serviceTime(request.ID, m.Class)
	return nominal, actual, true
}

// attempt is one execution of a request.
type attempt struct {
	number   uint64
	customer string
	request  content.Request
	nominal  time.Duration
	actual   time.Duration
	timeout  time.Duration
}

// execute occupies the slot of an attempt for its service time, and then replies.
func (c *connection) execute(ctx context.Context, a *attempt) {
	defer c.running.Done()
	timer := time.NewTimer(min(a.actual, a.timeout))
	defer timer.Stop()
	isCancelled := false
	select {
	case <-timer.C:
	case <-ctx.Done():
		isCancelled = true
	}
	isExpired := !isCancelled && a.actual > a.timeout
	c.lock.Lock()
	c.attempts[a.number]()
	delete(c.attempts, a.number)
	c.lock.Unlock()
	c.server.finish(a, isCancelled, isExpired)
	if isCancelled || isExpired {
		c.send(&packet.Backend{Kind: packet.BackendCancelled, Attempt: a.number, Started: true})
		return
	}
	c.send(&packet.Backend{Kind: packet.BackendAnswer, Attempt: a.number, Payload: a.request.Answer()})
}

func (s *Server) finish(a *attempt, isCancelled, isExpired bool) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.busy--
	s.load.record(time.Now(), s.busy)
	switch {
	case isCancelled:
		s.report.Cancelled++
	case isExpired:
		s.report.Expired++
	default:
		s.report.Answered++
		s.report.Work[a.customer] += a.nominal.Seconds()
		s.report.TotalWork += a.nominal.Seconds()
	}
}
