package process_test

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
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
	soakLogs  = flag.String("soak.logs", "", "folder to which the logs of the balancers of a failed seed are copied")
)

const (
	soakSteps  = 14
	soakFlows  = 36
	settleTime = 6 * time.Second // after the last fault: store call timeout, another read, fabric readiness checks
)

// soak injects random faults into the processes and connections of a running fleet. Faults may overlap.
type soak struct {
	*directFleet
	random       *rand.Rand
	load         *direct.Load
	faultEnds    sync.WaitGroup // running functions that end a fault
	stop         chan struct{}
	lastEndpoint int // number of the endpoint that was added last

	mu    sync.Mutex // guards directBalancer.process
	fleet sync.Mutex // guards endpoints, routes and version of directFleet, and the fields below

	wanted        map[string]bool      // failure domains that the operator has evacuated
	stored        map[string]time.Time // the same as the store has them, with the time of the write
	evacuations   []evacuation         // that have ended
	disturbances  []period             // in which a balancer was not in contact with the store
	coldEndpoints []coldEndpoint
}

// faults maps each kind of fault to the method that injects it and returns a description for the log.
var faults = map[string]func(s *soak) string{
	"kill":      (*soak).killBalancer,
	"pause":     (*soak).pauseBalancer,
	"restart":   (*soak).restartBalancer,
	"reload":    (*soak).reloadSettings,
	"network":   (*soak).networkFault,
	"store":     (*soak).storeFault,
	"compact":   (*soak).compactStore,
	"configure": (*soak).changeRoutes,
	"replace":   (*soak).replaceEndpoint,
	"silence":   (*soak).silenceEndpoint,
	"slow":      (*soak).slowEndpoint,
	"restore":   (*soak).restoreStore,
	"evacuate":  (*soak).changeEvacuation,
	"cold":      (*soak).startCold,
}

// faultOrder fixes the index of each kind, so that a seed always selects the same faults.
var faultOrder = []string{"kill", "pause", "restart", "reload", "network", "store", "compact", "configure", "replace", "silence", "slow", "restore",
	"evacuate", "cold"}

// TestDirectSoak injects random faults of all kinds into real processes. Meanwhile no open flow may be reset while its
// endpoint is alive, no packet may be changed or reach another service, and no process may go back to an older version.
// Afterwards all balancers must have the last version and answer requests. Seeds that have failed are kept in
// regressions.
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

// regressions maps each seed that has failed to the cause.
var regressions = map[uint64]string{}

func runSoak(t *testing.T, seed uint64) {
	s := &soak{
		directFleet: startDirectWith(t, soakOptions), random: rand.New(rand.NewPCG(seed, 0)), stop: make(chan struct{}),
		lastEndpoint: endpointBase, wanted: map[string]bool{}, stored: map[string]time.Time{},
	}
	t.Cleanup(func() {
		if t.Failed() && *soakLogs != "" {
			t.Log(os.CopyFS(filepath.Join(*soakLogs, fmt.Sprint(seed)), os.DirFS(s.folder)))
		}
	})
	s.load = s.startLoad(soakFlows)
	var watch sync.WaitGroup
	for _, b := range s.balancers {
		watch.Go(func() { s.watchVersion(b) })
	}
	for range soakSteps {
		time.Sleep(time.Duration(s.random.IntN(500)) * time.Millisecond)
		kind := faultOrder[s.random.IntN(len(faultOrder))]
		t.Logf("%s: %s", kind, faults[kind](s))
	}
	s.faultEnds.Wait()
	s.checkRecovery()
	close(s.stop)
	watch.Wait()
}

// checkRecovery ends the remaining faults and checks that the fleet returns to service.
func (s *soak) checkRecovery() {
	s.t.Helper()
	is := is.New(s.t)
	for _, b := range s.balancers {
		b.proxy.Set(proxy.Fault{})
		b.storeListener.SetFault(direct.Fault{})
		s.awaitReady(b)
	}
	s.configure()
	eventually(s.t, settleTime, "last version in force on all balancers", func() error {
		for _, b := range s.balancers {
			if v := s.versionInForce(b); v != s.version {
				return errors.Errorf("%s has version %d, want %d", b.id, v, s.version)
			}
		}
		return nil
	})
	s.endEvacuations()
	time.Sleep(time.Second)
	before := s.load.Result()
	time.Sleep(time.Second)
	r := s.load.Stop()
	s.checkResult(r)
	s.checkEvacuations()
	s.checkCold()
	is.True(r.Answered-before.Answered > 100) // requests are answered
	is.True(r.Unopened-before.Unopened <= 2)
}

// watchVersion checks that a process never goes back to an older version.
func (s *soak) watchVersion(b *directBalancer) {
	var lastVersion uint64
	var lastProcess *process
	for {
		select {
		case <-s.stop:
			return
		case <-time.After(watchInterval):
		}
		p := s.processOf(b)
		v := s.versionInForce(b)
		switch {
		case v == 0 || p != s.processOf(b):
		case p != lastProcess:
			lastProcess, lastVersion = p, v
		case v < lastVersion:
			s.t.Errorf("%s: version went back from %d to %d", b.id, lastVersion, v)
		default:
			lastVersion = v
		}
	}
}

func (s *soak) randomBalancer() *directBalancer { return s.balancers[s.random.IntN(len(s.balancers))] }

// afterRandomTime calls a function after a random time of at most 2 s, and returns that time.
func (s *soak) afterRandomTime(f func()) time.Duration {
	d := time.Duration(100+s.random.IntN(1900)) * time.Millisecond
	s.faultEnds.Go(func() {
		time.Sleep(d)
		f()
	})
	return d
}

func (s *soak) restartIfEnded(b *directBalancer) {
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

func (s *soak) killBalancer() string {
	b := s.randomBalancer()
	s.processOf(b).kill()
	return fmt.Sprintf("%s, back after %v", b.id, s.afterRandomTime(func() { s.restartIfEnded(b) }))
}

func (s *soak) pauseBalancer() string {
	p := s.processOf(s.randomBalancer())
	p.signal(syscall.SIGSTOP)
	return fmt.Sprintf("%s for %v", p.name, s.disturb(s.afterRandomTime(func() { p.signal(syscall.SIGCONT) })))
}

func (s *soak) restartBalancer() string {
	b := s.randomBalancer()
	p := s.processOf(b)
	p.signal(syscall.SIGTERM)
	s.faultEnds.Go(func() {
		select {
		case <-p.done:
		case <-time.After(drainGrace):
			p.kill() // a paused process does not handle SIGTERM
		}
		s.restartIfEnded(b)
	})
	return b.id
}

// drainGrace is the time between SIGTERM and SIGKILL that the platform gives a process.
const drainGrace = 6 * time.Second

func (s *soak) reloadSettings() string {
	b := s.randomBalancer()
	s.processOf(b).signal(syscall.SIGHUP)
	return b.id
}

func (s *soak) networkFault() string {
	b := s.randomBalancer()
	f := proxy.Fault{Mode: proxy.Mode(1 + s.random.IntN(int(proxy.ModeCount)-1)), Delay: 400 * time.Millisecond}
	b.proxy.Set(f)
	return fmt.Sprintf("%s mode %d for %v", b.id, f.Mode,
		s.disturb(s.afterRandomTime(func() { b.proxy.Set(proxy.Fault{}) })))
}

func (s *soak) storeFault() string {
	b := s.randomBalancer()
	f := []direct.Fault{{Status: 503}, {Status: 429}, {IsSilent: true}, {LoseAll: true}}[s.random.IntN(4)]
	b.storeListener.SetFault(f)
	return fmt.Sprintf("%s %+v for %v", b.id, f,
		s.disturb(s.afterRandomTime(func() { b.storeListener.SetFault(direct.Fault{}) })))
}

func (s *soak) compactStore() string {
	s.store.Compact()
	return "store history compacted"
}

func (s *soak) changeRoutes() string {
	s.fleet.Lock()
	defer s.fleet.Unlock()
	if _, ok := s.routes[addedAddress]; ok {
		delete(s.routes, addedAddress)
	} else {
		s.routes[addedAddress] = "feed"
	}
	s.configure()
	return fmt.Sprint("version ", s.version)
}

// replaceEndpoint starts a new endpoint. The first two calls also drain an old one.
func (s *soak) replaceEndpoint() string {
	s.fleet.Lock()
	defer s.fleet.Unlock()
	s.lastEndpoint++
	id := fmt.Sprintf("i-%x", s.lastEndpoint)
	s.addEndpoint(id, "feed", "attiki-a")
	old := fmt.Sprint("i-f", s.lastEndpoint-endpointBase-1)
	if e := s.endpoints[old]; e != nil && s.lastEndpoint <= endpointBase+2 {
		if err := e.Drain(); err != nil {
			s.t.Error(err)
		}
		return fmt.Sprintf("%s added, %s drains", id, old)
	}
	return id + " added"
}

// restoreStore restores the store after a random time from a copy taken now. The endpoints write their entries again
// registerTime later, and the operator writes the configuration.
func (s *soak) restoreStore() string {
	s.fleet.Lock()
	defer s.fleet.Unlock()
	c, evacuated := s.store.Copy(), maps.Clone(s.stored)
	d := s.afterRandomTime(func() {
		s.fleet.Lock()
		s.setStored(evacuated, func() { s.store.Restore(c) })
		s.fleet.Unlock()
		time.Sleep(registerTime)
		s.fleet.Lock()
		defer s.fleet.Unlock()
		s.writeAgain()
		s.writeEvacuations()
	})
	return fmt.Sprintf("a copy of the store comes back after %v", d)
}

// endpointBase is one less than the number of the first endpoint that replaceEndpoint adds.
const endpointBase = 0x100

// slowEndpoint delays the answers of an endpoint for a while. The endpoint is alive, so none of its flows may be reset.
func (s *soak) slowEndpoint() string {
	id := []string{"i-f0", "i-f1", "i-a0"}[s.random.IntN(3)]
	e := s.endpoints[id]
	d := time.Duration(200+s.random.IntN(800)) * time.Millisecond
	e.SetDelay(d)
	return fmt.Sprintf("%s by %v for %v", id, d, s.afterRandomTime(func() { e.SetDelay(0) }))
}

// silenceEndpoint makes an endpoint neither receive nor send for a while. Balancers may reset its flows from then on.
func (s *soak) silenceEndpoint() string {
	id := []string{"i-f2", "i-f3"}[s.random.IntN(2)]
	e := s.endpoints[id]
	s.load.MarkLost(directory.Cookie(id, 0))
	setSilent := func(isSilent bool) {
		if err := e.SetSilent(isSilent); err != nil {
			s.t.Error(err)
		}
	}
	setSilent(true)
	return fmt.Sprintf("%s for %v", id, s.afterRandomTime(func() { setSilent(false) }))
}
