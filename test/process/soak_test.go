package process_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/state/directory"
	"cornellb/standin/direct"
	"cornellb/standin/proxy"
)

var (
	soakFirst = flag.Uint64("soak.first", 1, "first seed of the soak of the direct return mode")
	soakSeeds = flag.Uint64("soak.seeds", 1, "number of seeds of the soak")
)

const (
	soakSteps  = 14
	soakFlows  = 36
	settleTime = 6 * time.Second // after the last fault: a call's limit, a read, and the fabric's checks
)

// soak injects faults into a running fleet, from outside of its processes, in series and overlapping.
type soak struct {
	*directFleet
	random *rand.Rand
	load   *direct.Load
	undo   sync.WaitGroup // faults that end by themselves
	stop   chan struct{}
	next   int // number of the next endpoint

	mu sync.Mutex // guards the processes of balancers
}

// faults are the kinds of trouble. Each starts one and returns what it did.
var faults = map[string]func(s *soak) string{
	"kill":      (*soak).kill,
	"pause":     (*soak).pause,
	"restart":   (*soak).restart,
	"reload":    (*soak).reload,
	"network":   (*soak).network,
	"store":     (*soak).storeFault,
	"compact":   (*soak).compact,
	"configure": (*soak).change,
	"replace":   (*soak).replace,
	"silence":   (*soak).silence,
	"slow":      (*soak).slow,
}

// order fixes the numbers of the kinds, so that a seed always means the same.
var order = []string{"kill", "pause", "restart", "reload", "network", "store", "compact", "configure", "replace", "silence", "slow"}

// TestDirectSoak runs random faults of all kinds against real processes and checks the promises while they run: no open
// flow is reset while its endpoint lives, nothing reaches another service or arrives changed, no process goes back to an
// older version; and afterwards all balancers have the last version and requests are answered. A seed that has failed
// stays in regressions.
func TestDirectSoak(t *testing.T) {
	for i := range *soakSeeds {
		t.Run(fmt.Sprint("seed ", *soakFirst+i), func(t *testing.T) {
			t.Parallel()
			runSoak(t, *soakFirst+i)
		})
	}
	for seed, cause := range regressions {
		t.Run(fmt.Sprintf("regression %d", seed), func(t *testing.T) {
			t.Parallel()
			t.Log(cause)
			runSoak(t, seed)
		})
	}
}

// regressions are seeds that have failed, with the cause.
var regressions = map[uint64]string{}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		directFleet: startDirect(t), random: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{}), next: firstEndpoint,
	}
	s.load = s.startLoad(soakFlows)
	var watch sync.WaitGroup
	for _, b := range s.balancers {
		watch.Go(func() { s.watchVersion(b) })
	}
	for range soakSteps {
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
		kind := order[s.random.IntN(len(order))]
		t.Logf("%s: %s", kind, faults[kind](s))
	}
	s.undo.Wait()
	s.recover()
	close(s.stop)
	watch.Wait()
}

// recover checks that the fleet serves again once all faults have ended.
func (s *soak) recover() {
	s.t.Helper()
	is := is.New(s.t)
	for _, b := range s.balancers {
		b.proxy.Set(proxy.Fault{})
		b.door.SetFault(direct.Fault{})
		s.awaitReady(b)
	}
	s.configure()
	eventually(s.t, settleTime, "the last version is in force", func() error {
		for _, b := range s.balancers {
			if v := s.status(b); v != s.version {
				return errors.Errorf("%s has version %d, want %d", b.id, v, s.version)
			}
		}
		return nil
	})
	time.Sleep(time.Second)
	before := s.load.Result()
	time.Sleep(time.Second)
	r := s.load.Stop()
	s.judge(r)
	is.True(r.Answered-before.Answered > 100) // requests are answered
	is.True(r.Unopened-before.Unopened <= 2)
}

// watchVersion checks that a process never goes back to an older version.
func (s *soak) watchVersion(b *directBalancer) {
	var last uint64
	var of *process
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(watchInterval):
		}
		p := s.processOf(b)
		v := s.status(b)
		switch {
		case v == 0 || p != s.processOf(b):
		case p != of:
			of, last = p, v
		case v < last:
			s.t.Errorf("%s went back from version %d to %d", b.id, last, v)
		default:
			last = v
		}
	}
}

func (s *soak) balancer() *directBalancer { return s.balancers[s.random.IntN(len(s.balancers))] }

// later runs a function after a random time of at most 2 s.
func (s *soak) later(f func()) time.Duration {
	d := time.Duration(100+s.random.IntN(1900)) * time.Millisecond
	s.undo.Go(func() {
		time.Sleep(d)
		f()
	})
	return d
}

func (s *soak) startAgain(b *directBalancer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !b.process.isRunning() {
		s.start(b)
	}
}

func (s *soak) processOf(b *directBalancer) *process {
	s.mu.Lock()
	defer s.mu.Unlock()
	return b.process
}

func (s *soak) kill() string {
	b := s.balancer()
	s.processOf(b).kill()
	return fmt.Sprintf("%s, back after %v", b.id, s.later(func() { s.startAgain(b) }))
}

func (s *soak) pause() string {
	p := s.processOf(s.balancer())
	p.signal(syscall.SIGSTOP)
	return fmt.Sprintf("%s for %v", p.name, s.later(func() { p.signal(syscall.SIGCONT) }))
}

func (s *soak) restart() string {
	b := s.balancer()
	p := s.processOf(b)
	p.signal(syscall.SIGTERM)
	s.undo.Go(func() {
		select {
		case <-p.done:
		case <-time.After(drainGrace):
			p.kill() // it was paused
		}
		s.startAgain(b)
	})
	return b.id
}

// drainGrace is the time that the platform gives a process after SIGTERM.
const drainGrace = 6 * time.Second

func (s *soak) reload() string {
	b := s.balancer()
	s.processOf(b).signal(syscall.SIGHUP)
	return b.id
}

func (s *soak) network() string {
	b := s.balancer()
	f := proxy.Fault{Mode: proxy.Mode(1 + s.random.IntN(int(proxy.ModeCount)-1)), Delay: 400 * time.Millisecond}
	b.proxy.Set(f)
	return fmt.Sprintf("%s mode %d for %v", b.id, f.Mode, s.later(func() { b.proxy.Set(proxy.Fault{}) }))
}

func (s *soak) storeFault() string {
	b := s.balancer()
	f := []direct.Fault{{Status: 503}, {Status: 429}, {IsSilent: true}, {LoseAll: true}}[s.random.IntN(4)]
	b.door.SetFault(f)
	return fmt.Sprintf("%s %+v for %v", b.id, f, s.later(func() { b.door.SetFault(direct.Fault{}) }))
}

func (s *soak) compact() string {
	s.store.Compact()
	return "history"
}

func (s *soak) change() string {
	if _, ok := s.routes[addedAddress]; ok {
		delete(s.routes, addedAddress)
	} else {
		s.routes[addedAddress] = "feed"
	}
	s.configure()
	return fmt.Sprint("version ", s.version)
}

// replace starts a new endpoint; the first two times an old one leaves.
func (s *soak) replace() string {
	s.next++
	id := fmt.Sprintf("i-%x", s.next)
	s.addEndpoint(id, "feed", "attiki-a")
	old := fmt.Sprint("i-f", s.next-firstEndpoint-1)
	if e := s.endpoints[old]; e != nil && s.next <= firstEndpoint+2 {
		if err := e.Drain(); err != nil {
			s.t.Error(err)
		}
		return fmt.Sprintf("%s comes, %s leaves", id, old)
	}
	return id + " comes"
}

// firstEndpoint is the number before those of new endpoints.
const firstEndpoint = 0x100

// slow lets an endpoint answer late for a time. It lives, so none of its flows may be reset.
func (s *soak) slow() string {
	id := []string{"i-f0", "i-f1", "i-a0"}[s.random.IntN(3)]
	e := s.endpoints[id]
	d := time.Duration(200+s.random.IntN(800)) * time.Millisecond
	e.SetDelay(d)
	return fmt.Sprintf("%s by %v for %v", id, d, s.later(func() { e.SetDelay(0) }))
}

// silence lets an endpoint fall silent for a time. Balancers may reset its flows from then on.
func (s *soak) silence() string {
	id := []string{"i-f2", "i-f3"}[s.random.IntN(2)]
	e := s.endpoints[id]
	s.load.MarkLost(directory.Cookie(id, 0))
	e.SetSilent(true)
	return fmt.Sprintf("%s for %v", id, s.later(func() { e.SetSilent(false) }))
}
