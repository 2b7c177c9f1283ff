// Package backend is a stand-in for backend servers. It implements the backend side of the protocol between balancers
// and backend servers, and records what it ran, so that a test can check cornellb's guarantees from outside the
// balancers.
//
// # Usage
//
//	s, err := backend.Start(backend.Config{Listen: "127.0.0.1:0", Service: "reminders", Slots: 3, Seed: 1})
//	defer s.Close()
//	http.ListenAndServe(address, s.Handler())
//	report := s.Report()
//
// Requests carry a content.Request. The nominal service time of a request is a function of its ID and the seed, so that
// a run has the same work whichever backend server does it. Handler sets faults: freeze, reset, slow factor, leaving,
// and load reports that lag or have a fixed value. Several servers may run in one process.
package backend

import (
	"errors"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/state/packet"
)

const (
	// feedWindow is the largest number of unacknowledged items of a feed.
	feedWindow = 64
	// lateLimit is the time after which a leaving backend server must receive no new work.
	lateLimit = 3 * time.Second
	// maxExecutions bounds the number of recorded request IDs. Further requests are shed.
	maxExecutions = 2_000_000
	// maxTimeFactor bounds a service time, as a multiple of the median, so that a run ends in bounded time.
	maxTimeFactor = 20
)

// Distribution is a log-normal distribution of service times.
type Distribution struct {
	Median time.Duration
	Sigma  float64 // standard deviation of the logarithm; 0 gives a constant
}

// Config configures a backend server.
type Config struct {
	Listen       string
	Service      string
	Slots        int
	Times        [packet.ClassCount]Distribution
	ColdFactor   float64       // factor on service times at the start, falls linearly to 1; none if 1 or less
	ColdPeriod   time.Duration // time after which the factor is 1
	FeedInterval time.Duration // time between items of a feed; 100 ms if 0
	Seed         uint64
}

// Server is a running backend server.
type Server struct {
	config      Config
	listener    net.Listener
	incarnation uint64
	startedAt   time.Time
	running     sync.WaitGroup

	lock        sync.Mutex
	connections map[*connection]struct{}
	isClosed    bool
	isFrozen    bool // new connections start frozen
	isLeaving   bool
	leavingAt   time.Time
	slowFactor  float64
	busy        int
	load        loadReport
	report      Report
}

// Start listens and serves in the background until Close.
func Start(c Config) (*Server, error) {
	if c.FeedInterval <= 0 {
		c.FeedInterval = 100 * time.Millisecond
	}
	listener, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return nil, err
	}
	s := &Server{
		config:      c,
		listener:    listener,
		incarnation: rand.Uint64(),
		startedAt:   time.Now(),
		connections: make(map[*connection]struct{}),
		slowFactor:  1,
		load:        loadReport{fixed: -1},
	}
	s.report = Report{
		Service: c.Service, Address: listener.Addr().String(), Incarnation: s.incarnation, Slots: c.Slots,
		Executions: make(map[string]int), Work: make(map[string]float64),
	}
	s.running.Add(1)
	go s.accept()
	return s, nil
}

// Address returns the address on which the server listens.
func (s *Server) Address() netip.AddrPort { return s.listener.Addr().(*net.TCPAddr).AddrPort() }

// Close stops the server, closes all connections and waits for its goroutines.
func (s *Server) Close() {
	s.lock.Lock()
	s.isClosed = true
	s.lock.Unlock()
	_ = s.listener.Close()
	s.Reset()
	s.running.Wait()
}

func (s *Server) accept() {
	defer s.running.Done()
	for {
		socket, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(time.Millisecond) // for example, the process is out of file descriptors
			continue
		}
		s.lock.Lock()
		if s.isClosed {
			s.lock.Unlock()
			_ = socket.Close()
			return
		}
		c := newConnection(s, socket)
		if s.isFrozen {
			c.gate.shut()
		}
		s.connections[c] = struct{}{}
		s.report.Connections++
		s.lock.Unlock()
		c.start()
	}
}

func (s *Server) remove(c *connection) {
	s.lock.Lock()
	delete(s.connections, c)
	s.lock.Unlock()
}

func (s *Server) openConnections() []*connection {
	s.lock.Lock()
	defer s.lock.Unlock()
	list := make([]*connection, 0, len(s.connections))
	for c := range s.connections {
		list = append(list, c)
	}
	return list
}

// Reset resets all connections without waiting for requests in progress.
func (s *Server) Reset() {
	for _, c := range s.openConnections() {
		c.reset()
	}
}

// Freeze stops the handling of received frames and the writing of replies on all open connections. New connections are
// frozen too if all is set.
func (s *Server) Freeze(all bool) {
	s.lock.Lock()
	s.isFrozen = all
	s.lock.Unlock()
	for _, c := range s.openConnections() {
		c.gate.shut()
	}
}

// Thaw ends Freeze.
func (s *Server) Thaw() {
	s.lock.Lock()
	s.isFrozen = false
	s.lock.Unlock()
	for _, c := range s.openConnections() {
		c.gate.open()
	}
}

// SetLeaving sets whether the server reports to balancers that it is leaving.
func (s *Server) SetLeaving(isLeaving bool) {
	s.lock.Lock()
	if isLeaving && !s.isLeaving {
		s.leavingAt = time.Now()
	}
	s.isLeaving = isLeaving
	s.lock.Unlock()
}

// SetSlowFactor multiplies the service times of requests that start from now on.
func (s *Server) SetSlowFactor(x float64) {
	s.lock.Lock()
	s.slowFactor = x
	s.lock.Unlock()
}

// SetLoadReport delays the reported busy count by lag, or replaces it by the constant fixed unless that is negative.
func (s *Server) SetLoadReport(lag time.Duration, fixed int) {
	s.lock.Lock()
	s.load = loadReport{lag: lag, fixed: fixed}
	s.lock.Unlock()
}

// serviceTime returns the nominal service time of a request and the actual one, which includes the slow and cold
// factors. The caller holds s.lock.
func (s *Server) serviceTime(id string, class packet.Class) (nominal, actual time.Duration) {
	d := s.config.Times[class]
	random := rand.New(rand.NewPCG(xxhash.Sum64String(id), s.config.Seed))
	factor := min(math.Exp(d.Sigma*random.NormFloat64()), maxTimeFactor)
	nominal = time.Duration(float64(d.Median) * factor)
	actual = time.Duration(float64(nominal) * s.slowFactor * s.coldFactor(time.Now()))
	return nominal, actual
}

func (s *Server) coldFactor(now time.Time) float64 {
	left := s.config.ColdPeriod - now.Sub(s.startedAt)
	if s.config.ColdFactor <= 1 || left <= 0 {
		return 1
	}
	return 1 + (s.config.ColdFactor-1)*left.Seconds()/s.config.ColdPeriod.Seconds()
}

// loadReport computes the busy count that the server reports to balancers.
type loadReport struct {
	lag     time.Duration
	fixed   int // constant to report instead of the real count; none if negative
	samples []sample
}

type sample struct {
	at   time.Time
	busy int
}

// record stores a new busy count, if reports lag.
func (l *loadReport) record(now time.Time, busy int) {
	if l.lag <= 0 {
		return
	}
	l.samples = append(l.samples, sample{at: now, busy: busy})
}

// busy returns the count to report.
func (l *loadReport) busy(now time.Time, actual int) uint32 {
	if l.fixed >= 0 {
		return uint32(l.fixed)
	}
	if l.lag <= 0 {
		return uint32(actual)
	}
	for len(l.samples) > 1 && now.Sub(l.samples[1].at) >= l.lag {
		l.samples = l.samples[1:]
	}
	if len(l.samples) == 0 || now.Sub(l.samples[0].at) < l.lag {
		return 0
	}
	return uint32(l.samples[0].busy)
}
