package balancer_test

import (
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/state/member"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil { // the command line may set another seed
		panic(err)
	}
	flag.Parse()
	if !isSet("rapid.checks") {
		if err := flag.Set("rapid.checks", "40"); err != nil { // keeps the run in CI short; make soak sets a higher number
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func isSet(name string) bool {
	found := false
	flag.Visit(func(f *flag.Flag) { found = found || f.Name == name })
	return found
}

// detectionTime is the time from the failure of a balancer until the views show it as dead.
const detectionTime = 4 * time.Second

// fleet adds operations to a simulation: planned changes by operators, and failures.
type fleet struct {
	*simulation
	states     map[*node]member.State
	nextNumber int
}

func newRandomFleet(seed uint64) *fleet {
	f := &fleet{simulation: newServiceSimulation(seed, 5, 6), states: map[*node]member.State{}, nextNumber: 100}
	f.addBackend("10.3.0.1:80", domains[0], "rendering", 3)
	t := f.cloneTables()
	t.Routes = append(t.Routes, table.Route{Name: "rendering", Address: otherAddress, Service: "rendering", Pool: "rendering"})
	t.Pools = append(t.Pools, table.Pool{Name: "rendering", Service: "rendering", Endpoints: []table.Endpoint{
		{Address: f.backend("10.3.0.1:80").address, FailureDomain: domains[0], Slots: 3, Connections: 2000},
	}})
	f.publishTables(t, 0+time.Millisecond, 10*time.Millisecond)
	for i := range 6 {
		f.addCaller(serviceAddress, "")
		f.addCaller(serviceAddress, fmt.Sprintf("feed-%d", i))
		f.addCaller(otherAddress, "")
	}
	f.run(time.Second)
	return f
}

func (f *fleet) cloneTables() table.Tables {
	t := *f.tables
	t.Routes = slices.Clone(t.Routes)
	t.Pools = slices.Clone(t.Pools)
	for i := range t.Pools {
		t.Pools[i].Endpoints = slices.Clone(t.Pools[i].Endpoints)
	}
	return t
}

func (f *fleet) backend(address string) *backendServer {
	for a, s := range f.backends {
		if a.String() == address {
			return s
		}
	}
	return nil
}

func (f *fleet) publishStates() { f.publishViews(f.states, time.Millisecond, time.Second) }

func (f *fleet) pickNode(isCandidate func(*node) bool) *node {
	var list []*node
	for _, n := range f.nodes {
		if !n.isDead && !n.isPaused && f.states[n] == member.StateAlive && isCandidate(n) {
			list = append(list, n)
		}
	}
	if len(list) < 3 { // the remaining balancers must be able to serve
		return nil
	}
	return list[f.random.IntN(len(list))]
}

func anyNode(*node) bool { return true }

func (f *fleet) killBalancer() {
	if n := f.pickNode(anyNode); n != nil {
		n.kill()
		f.after(detectionTime, func() { f.states[n] = member.StateDead; f.publishStates() })
	}
}

func (f *fleet) pauseBalancer() {
	n := f.pickNode(anyNode)
	if n == nil {
		return
	}
	n.isPaused = true
	pause := f.jitter(500*time.Millisecond, 12*time.Second)
	if pause > detectionTime {
		f.after(detectionTime, func() { f.states[n] = member.StateDead; f.publishStates() })
	}
	f.after(pause, func() {
		n.resume()
		f.after(time.Second, func() { f.states[n] = member.StateAlive; f.publishStates() })
	})
}

func (f *fleet) drainBalancer() {
	n := f.pickNode(anyNode)
	if n == nil {
		return
	}
	f.states[n] = member.StateLeaving
	f.publishStates()
	drainedFor := 0
	f.every(100*time.Millisecond, func() bool {
		if n.isDead || !n.b.IsDrained() {
			drainedFor = 0
			return !n.isDead
		}
		if drainedFor++; drainedFor < 10 {
			return true
		}
		n.kill()
		f.states[n] = member.StateLeft
		f.publishStates()
		return false
	})
}

func (f *fleet) joinBalancer() {
	f.nextNumber++
	f.addNode(fmt.Sprintf("entry-%d", f.nextNumber), domains[f.random.IntN(len(domains))])
	f.publishStates()
}

// cutDomain partitions one failure domain from the others for 1 s to 10 s. detectionTime after the cut, the views of
// each side show the other side as dead.
func (f *fleet) cutDomain() {
	d := domains[f.random.IntN(len(domains))]
	cut := func(isCut bool) {
		for _, o := range domains {
			if o != d {
				f.cut[[2]string{d, o}], f.cut[[2]string{o, d}] = isCut, isCut
			}
		}
		for _, n := range f.nodes {
			for _, l := range n.sortedLinks() {
				if isCut && l.server != nil && f.cut[[2]string{n.host.FailureDomain, l.server.domain}] {
					l.server.disconnect(l)
				}
			}
		}
	}
	cut(true)
	f.after(detectionTime, func() {
		f.publishViewsOf(func(observer, target *node) member.State {
			if f.states[target] == member.StateAlive && (observer.host.FailureDomain == d) != (target.host.FailureDomain == d) {
				return member.StateDead
			}
			return f.states[target]
		}, time.Millisecond, time.Second)
	})
	f.after(f.jitter(time.Second, 10*time.Second), func() {
		cut(false)
		f.after(time.Second, f.publishStates)
	})
}

func (f *fleet) changePool(name string, change func(*table.Pool)) {
	t := f.cloneTables()
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			change(&t.Pools[i])
		}
	}
	f.publishTables(t, time.Millisecond, 2*time.Second)
}

func (f *fleet) drainBackend() {
	f.changePool("reminders", func(p *table.Pool) {
		serving := 0
		for _, e := range p.Endpoints {
			if !e.Leaving {
				serving++
			}
		}
		if serving <= 3 {
			return
		}
		i := f.random.IntN(len(p.Endpoints))
		s := f.backends[p.Endpoints[i].Address]
		p.Endpoints[i].Leaving = true
		if s != nil {
			f.after(8*time.Second, func() { // drained and stopped
				if f.backends[s.address] == s {
					s.kill()
				}
			})
		}
		if s != nil && f.random.IntN(2) == 0 { // the backend server also reports it itself
			s.leaving, s.leftAt = true, f.now
		}
	})
}

func (f *fleet) removeBackend() {
	f.changePool("reminders", func(p *table.Pool) {
		if len(p.Endpoints) > 4 {
			i := f.random.IntN(len(p.Endpoints))
			p.Endpoints = slices.Delete(p.Endpoints, i, i+1)
		}
	})
}

func (f *fleet) addBackendServer() {
	f.nextNumber++
	d := domains[f.random.IntN(len(domains))]
	s := f.addBackend(fmt.Sprintf("10.2.1.%d:80", f.nextNumber), d, "reminders", 3)
	f.changePool("reminders", func(p *table.Pool) {
		p.Endpoints = append(p.Endpoints, table.Endpoint{Address: s.address, FailureDomain: d, Slots: 3, Connections: 2000})
	})
}

// reuseAddress kills a backend server and starts one of another service at its address. The new tables reach the
// balancers up to 5 s later.
func (f *fleet) reuseAddress() {
	t := f.cloneTables()
	p := &t.Pools[0]
	if len(p.Endpoints) <= 4 {
		return
	}
	i := f.random.IntN(len(p.Endpoints))
	e := p.Endpoints[i]
	if s := f.backends[e.Address]; s != nil {
		s.kill()
	}
	f.addBackend(e.Address.String(), e.FailureDomain, "rendering", 3)
	e.Leaving = false
	p.Endpoints = slices.Delete(p.Endpoints, i, i+1)
	t.Pools[1].Endpoints = append(t.Pools[1].Endpoints, e)
	f.publishTables(t, time.Millisecond, 5*time.Second)
}

func (f *fleet) restartBackend() {
	p := f.tables.Pools[0]
	e := p.Endpoints[f.random.IntN(len(p.Endpoints))]
	s := f.backends[e.Address]
	if s == nil {
		return
	}
	s.kill()
	f.after(f.jitter(100*time.Millisecond, 5*time.Second), func() {
		if f.backends[e.Address] == nil {
			f.addBackend(e.Address.String(), e.FailureDomain, "reminders", 3)
		}
	})
}

// operations are the changes and failures that a random run draws from.
var operations = map[string]func(*fleet){
	"kill balancer": (*fleet).killBalancer, "pause balancer": (*fleet).pauseBalancer,
	"drain balancer": (*fleet).drainBalancer, "join balancer": (*fleet).joinBalancer,
	"cut domain": (*fleet).cutDomain, "drain backend": (*fleet).drainBackend,
	"remove backend": (*fleet).removeBackend, "add backend": (*fleet).addBackendServer,
	"reuse address": (*fleet).reuseAddress, "restart backend": (*fleet).restartBackend,
}

func operationNames() []string {
	var names []string
	for name := range operations {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// Failures of any kind, in any order and at the same time, must never run a request twice, report "not run" for a
// request that ran, mix up or truncate an answer, send a frame to another service, or end a feed permanently.
func TestRandomFailures(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		f := newRandomFleet(rapid.Uint64().Draw(rt, "seed"))
		f.loss = rapid.Float64Range(0, 0.1).Draw(rt, "loss")
		for range rapid.IntRange(1, 12).Draw(rt, "operations") {
			name := rapid.SampledFrom(operationNames()).Draw(rt, "operation")
			operations[name](f)
			f.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "milliseconds")) * time.Millisecond)
		}
		f.loss = 0
		f.run(30 * time.Second) // every failure ends within this time
		f.checkProgress(10 * time.Second)
		f.check()
		if len(f.violations) > 0 {
			rt.Fatalf("found %d violations, the first are: %v", len(f.violations), f.violations[:min(5, len(f.violations))])
		}
	})
}

// checkProgress records a violation for each caller that makes too little progress within d.
func (f *fleet) checkProgress(d time.Duration) {
	answered, delivered := map[*caller]int{}, map[*caller]uint64{}
	for _, c := range f.callers {
		answered[c], delivered[c] = c.answered, c.delivered
	}
	f.run(d)
	for _, c := range f.callers {
		if c.feed != "" && c.delivered < delivered[c]+100 {
			f.recordViolation("feed of %s delivered %d items in %v, want at least 100", c.name, c.delivered-delivered[c], d)
		}
		if c.feed == "" && c.answered < answered[c]+20 {
			f.recordViolation("%s got %d answers in %v, want at least 20", c.name, c.answered-answered[c], d)
		}
	}
}

// plannedChanges are the planned changes that operators make.
var plannedChanges = map[string]func(*fleet){
	"replace every balancer, one after the other": func(f *fleet) {
		for _, n := range slices.Clone(f.nodes) {
			f.joinBalancer()
			f.run(3 * time.Second)
			f.drain(n)
			f.run(5 * time.Second)
		}
	},
	"balancers join": func(f *fleet) {
		for range 4 {
			f.joinBalancer()
			f.run(3 * time.Second)
		}
	},
	"backend servers drain and leave": func(f *fleet) {
		for range 3 {
			f.drainBackend()
			f.run(5 * time.Second)
		}
	},
	"pool grows": func(f *fleet) {
		for range 6 {
			f.addBackendServer()
			f.run(2 * time.Second)
		}
	},
	"balancer drains while a backend server drains and the pool grows": func(f *fleet) {
		for range 2 {
			f.drain(f.pickNode(anyNode))
			f.drainBackend()
			f.addBackendServer()
			f.run(8 * time.Second)
		}
	},
	"pool is renamed": func(f *fleet) {
		t := f.cloneTables()
		t.Routes[0].Pool, t.Pools[0].Name = "renamed", "renamed"
		f.publishTables(t, time.Millisecond, 2*time.Second)
		f.run(8 * time.Second)
	},
	"all backend servers of a failure domain report that they are leaving": func(f *fleet) {
		for _, e := range f.tables.Pools[0].Endpoints {
			if e.FailureDomain == domains[1] {
				s := f.backends[e.Address]
				s.leaving, s.leftAt = true, f.now
			}
		}
		f.run(10 * time.Second)
	},
	"route gets a second address": func(f *fleet) {
		t := f.cloneTables()
		t.Routes = append(t.Routes, table.Route{Name: "second", Address: thirdAddress, Service: "reminders", Pool: "reminders"})
		f.publishTables(t, time.Millisecond, 2*time.Second)
		f.run(5 * time.Second)
	},
}

func (f *fleet) drain(n *node) {
	f.states[n] = member.StateLeaving
	f.publishStates()
	f.every(100*time.Millisecond, func() bool {
		if f.now.Sub(n.drainedAt()) < time.Second {
			return true
		}
		n.kill()
		f.states[n] = member.StateLeft
		f.publishStates()
		return false
	})
}

// A planned change must not break a flow: every request is answered, every feed continues, and no flow loses its owner.
func TestPlannedChangesBreakNothing(t *testing.T) {
	t.Parallel()
	for name, change := range plannedChanges {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRandomFleet(7)
			change(f)
			f.run(10 * time.Second)
			f.checkProgress(5 * time.Second)
			f.check()
			is.Equal(f.violations, nil)
			for _, c := range f.callers {
				is.Equal(c.unknown, map[string]packet.Reason{}) // no outcome is unknown
				is.Equal(c.notRun, map[string]packet.Reason{})  // no request is refused
			}
			is.Equal(f.counts["flows_adopted/owner_lost"], int64(0)) // no flow lost its owner
		})
	}
}

// Runs of the same failures with the same seed must be identical: otherwise the seed in a failure report does not
// reproduce the failure. The order of messages must not be the random order of a map.
func TestFailuresRepeat(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	for seed := range uint64(3) {
		var first []any
		for range 2 {
			f := newRandomFleet(seed)
			f.loss = 0.05
			for _, name := range operationNames() {
				operations[name](f)
				f.run(time.Second)
			}
			var leaving []netip.AddrPort
			for _, e := range f.tables.Pools[0].Endpoints[:3] {
				leaving = append(leaving, e.Address)
			}
			for _, addresses := range [][]netip.AddrPort{leaving, nil} {
				for _, n := range f.nodes {
					n.deliver(func() { n.b.SetLeavingEndpoints(addresses) })
				}
				f.run(3 * time.Second)
			}
			run := []any{f.trace.Sum64(), f.sequence, f.counts}
			if first == nil {
				first = run
			}
			is.Equal(run, first)
		}
	}
}
