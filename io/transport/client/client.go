// Package client is the library with which callers use a service behind cornellb.
//
// # Usage
//
// Dial opens one flow over its own socket. A program with many flows calls Connect once per socket and Client.Open for
// each flow:
//
//	flow, err := client.Dial(ctx, "192.0.2.1:4000", client.Options{Customer: "attiki", Class: packet.ClassNormal})
//	answer, err := flow.Do(ctx, client.Request{Payload: p, Timeout: time.Second})
//
// Do returns exactly one of: the whole answer, a *NotRunError (the request did not run and will not run), or an
// *UnknownError (it may have run). A *NotRunError may be followed by another Do after its RetryAfter. A caller that
// repeats a request after an *UnknownError accepts that it may run twice.
//
// Subscribe starts the flow's feed. Feed.Next returns its items in order, without gap or duplicate, while balancers and
// backend servers change. Every flow must be closed.
//
// Opens and requests are retransmitted until their deadline. The owner of a flow is the balancer that runs its
// requests; the ticket names it. All retransmissions of a request have the same number and ticket, because the owner
// recognises a retransmission by the number, and only the owner that the ticket names may run a request that is not
// idempotent.
package client

import (
	"context"
	crand "crypto/rand"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

const (
	defaultTimeout = 5 * time.Second
	firstBackoff   = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// segmentWait is the time without a new segment after which the missing ones are requested. Owners send at most 64
	// segments for each request packet, so it limits the throughput of large answers.
	segmentWait = 20 * time.Millisecond
	tickPeriod  = 25 * time.Millisecond
	pingPeriod  = time.Second
	// readPause is the wait after a failed read. Without it, a socket that reports errors, such as a refused port on
	// loopback, would cause a busy loop.
	readPause = 10 * time.Millisecond
	// receiveBufferBytes is enough for a few whole answers of the largest size.
	receiveBufferBytes = 4 << 20
)

// Settings are the parameters of a Client.
type Settings struct {
	Clock  Clock       // SystemClock if nil
	Random rand.Source // source of flow IDs and jitter; randomly seeded if nil
}

// Options are the parameters of a flow.
type Options struct {
	Customer string
	Class    packet.Class
	Timeout  time.Duration // limit for opening the flow; 5 s if 0
	Clock    Clock         // used by Dial only
}

// Client is a socket that several flows may share. Its methods may be called concurrently.
type Client struct {
	connection io.ReadWriteCloser
	clock      Clock
	counters   counters
	done       chan struct{} // closed by Close, with the lock held
	running    sync.WaitGroup
	closeOnce  sync.Once

	randomLock sync.Mutex
	random     *rand.Rand

	lock  sync.RWMutex
	flows map[packet.FlowID]*Flow
}

// Dial opens a flow over a socket of its own, which Flow.Close closes. It returns a *NotRunError if a balancer refused
// the flow or none answered in time.
func Dial(ctx context.Context, address string, o Options) (*Flow, error) {
	c, err := Connect(address, Settings{Clock: o.Clock})
	if err != nil {
		return nil, err
	}
	f, err := c.Open(ctx, o)
	if err != nil {
		c.Close()
		return nil, err
	}
	f.ownsClient = true
	return f, nil
}

// Connect opens a socket for a service address. It sends nothing.
func Connect(address string, s Settings) (*Client, error) {
	connection, err := net.Dial("udp", address)
	if err != nil {
		return nil, err
	}
	if u, ok := connection.(*net.UDPConn); ok {
		// If the kernel grants a smaller buffer, the only effect is more retransmissions.
		_ = u.SetReadBuffer(receiveBufferBytes)
	}
	return New(connection, s), nil
}

// New returns a client that uses a connection with datagram boundaries. Client.Close closes the connection.
func New(connection io.ReadWriteCloser, s Settings) *Client {
	if s.Clock == nil {
		s.Clock = SystemClock{}
	}
	if s.Random == nil {
		var seed [32]byte
		// crypto/rand.Read never returns an error.
		_, _ = crand.Read(seed[:])
		s.Random = rand.NewChaCha8(seed)
	}
	c := &Client{
		connection: connection,
		clock:      s.Clock,
		done:       make(chan struct{}),
		random:     rand.New(s.Random),
		flows:      make(map[packet.FlowID]*Flow),
	}
	c.running.Add(2)
	go c.receive()
	go c.tick()
	return c
}

// Counters returns the current counts.
func (c *Client) Counters() Counters { return c.counters.snapshot() }

// Close closes all flows and the socket.
func (c *Client) Close() {
	c.closeOnce.Do(func() {
		c.lock.Lock()
		close(c.done)
		c.lock.Unlock()
		for _, f := range c.list() {
			f.shutDown()
		}
		_ = c.connection.Close()
	})
	c.running.Wait()
}

func (c *Client) list() []*Flow {
	c.lock.RLock()
	defer c.lock.RUnlock()
	flows := make([]*Flow, 0, len(c.flows))
	for _, f := range c.flows {
		flows = append(flows, f)
	}
	return flows
}

func (c *Client) receive() {
	defer c.running.Done()
	buffer := make([]byte, 2*packet.MaxDatagramBytes)
	decoder := wire.NewDecoder()
	var p packet.Packet
	for {
		n, err := c.connection.Read(buffer)
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) || !c.pause(readPause) {
				return
			}
			continue
		}
		c.counters.received.Add(1)
		if err := decoder.DecodePacket(buffer[:n], &p); err != nil {
			c.counters.malformed.Add(1)
			continue
		}
		c.handle(&p)
	}
}

func (c *Client) handle(p *packet.Packet) {
	c.lock.RLock()
	f := c.flows[p.Flow]
	c.lock.RUnlock()
	if f == nil {
		c.counters.otherFlow.Add(1)
		return
	}
	f.handle(p)
}

func (c *Client) tick() {
	defer c.running.Done()
	for c.pause(tickPeriod) {
		now := c.clock.Now()
		for _, f := range c.list() {
			f.tick(now)
		}
	}
}

// pause waits for d or until Close, and reports whether the client is still open.
func (c *Client) pause(d time.Duration) bool {
	expired, stop := c.clock.NewTimer(d)
	defer stop()
	select {
	case <-expired:
		return true
	case <-c.done:
		return false
	}
}

func (c *Client) send(p *packet.Packet) {
	encoded := wire.AppendPacket(make([]byte, 0, packet.MaxDatagramBytes), p)
	c.counters.sent.Add(1)
	if _, err := c.connection.Write(encoded); err != nil {
		c.counters.sendErrors.Add(1)
	}
}

// jitter returns a random duration between three quarters and five quarters of d.
func (c *Client) jitter(d time.Duration) time.Duration {
	c.randomLock.Lock()
	defer c.randomLock.Unlock()
	return d*3/4 + time.Duration(c.random.Int64N(int64(d/2)+1))
}

func (c *Client) newFlowID() (id packet.FlowID) {
	c.randomLock.Lock()
	defer c.randomLock.Unlock()
	for i := 0; i < len(id); i += 8 {
		v := c.random.Uint64()
		for j := range 8 {
			id[i+j] = byte(v >> (8 * j))
		}
	}
	return id
}

// retransmit calls send again and again, with backoff, until settled is closed, and then returns nil. Otherwise it
// returns a *DeadlineError, a *ClosedError if closed is closed, or the error of the context. A receive from progress
// starts the wait for the next call again, with the backoff reset to segmentWait.
func (c *Client) retransmit(ctx context.Context, deadline time.Time, settled, closed <-chan struct{},
	progress <-chan struct{}, send func(left time.Duration),
) error {
	backoff := firstBackoff
	for n := 0; ; n++ {
		left := deadline.Sub(c.clock.Now())
		if left <= 0 {
			return &DeadlineError{}
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		if n > 0 {
			c.counters.retransmitted.Add(1)
		}
		send(left)
		for again := true; again; {
			wait := min(c.jitter(backoff), deadline.Sub(c.clock.Now()))
			expired, stop := c.clock.NewTimer(wait)
			select {
			case <-settled:
				stop()
				return nil
			case <-closed:
				stop()
				return &ClosedError{}
			case <-ctx.Done():
				stop()
				return ctx.Err()
			case <-progress:
				stop()
				backoff = segmentWait
			case <-expired:
				again = false
			}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}
