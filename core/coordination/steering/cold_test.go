package steering_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

const (
	coldTime  = 5 * time.Second
	coldRate  = 10.0 // flows per second
	coldBound = 20   // flows in any second, by coldLimit
)

var coldLimit = steering.ColdLimit{Overshoot: 1.5, Slack: 5, HasPeers: true}

// coldSite simulates the balancers of several failure domains, which forward to the same endpoints.
type coldSite struct {
	balancers []*harness
	hosts     []member.Host
	endpoints []*directory.Endpoint
	rate      float64
	open      []fleetFlow
	opened    map[string][]time.Time // by endpoint
	refused   map[steering.Reason]int
	random    *rand.Rand
}

func newColdSite(domains, balancers, endpoints int) *coldSite {
	s := &coldSite{rate: coldRate, opened: map[string][]time.Time{}, random: rand.New(rand.NewPCG(5, 6))}
	for d := range domains {
		name := fmt.Sprint("attiki-", d+1)
		for i := range endpoints {
			s.endpoints = append(s.endpoints, endpoint(fmt.Sprintf("i-%d-%d", d, i), name))
		}
		for range balancers {
			n := len(s.hosts) + 1
			s.hosts = append(s.hosts, member.Host{ID: fmt.Sprint("front-", n), FailureDomain: name, Incarnation: member.Incarnation(n)})
		}
	}
	for i, h := range s.hosts {
		w := newHarness()
		w.Forwarder = steering.New(steering.Config{FailureDomain: h.FailureDomain}, recorder{}, rand.New(rand.NewPCG(uint64(i), 9)))
		w.SetColdLimit(w.now, coldLimit)
		w.SetMembers(w.now, member.NewView(1, h, append([]member.Host(nil), s.hosts...)))
		s.balancers = append(s.balancers, w)
	}
	s.publish()
	return s
}

// publish gives the endpoints to all balancers.
func (s *coldSite) publish() {
	for _, w := range s.balancers {
		c := &directory.Configuration{Version: 1, Routes: w.routes, IdleTimeout: time.Hour, Services: []directory.Service{
			{Name: "feed", ColdTime: coldTime, ColdPerSecond: s.rate, HasColdRate: s.rate >= 0},
		}}
		w.SetSnapshot(w.now, directory.NewSnapshot(c, nil, s.endpoints))
	}
}

// chill restarts all endpoints that are selected, at the same moment.
func (s *coldSite) chill(isSelected func(e *directory.Endpoint) bool) {
	for i, e := range s.endpoints {
		if isSelected(e) {
			cold := *e
			cold.StartedAt++
			cold.WarmAt = s.balancers[0].now.Add(coldTime)
			s.endpoints[i] = &cold
		}
	}
	s.publish()
}

// run advances the time in steps of 20 ms. Flows open on random balancers and end after a second on average, and each
// balancer reports to all others once a second.
func (s *coldSite) run(d time.Duration, perSecond int) {
	const step = 20 * time.Millisecond
	s.opened, s.refused = map[string][]time.Time{}, map[steering.Reason]int{}
	due := 0.0
	for range int(d / step) {
		for i, w := range s.balancers {
			w.advance(step)
			if int(w.now.Sub(start)/step)%50 == i%50 {
				s.report(i)
			}
		}
		for due += float64(perSecond) * step.Seconds(); due >= 1; due-- {
			w := s.balancers[s.random.IntN(len(s.balancers))]
			f, decision := w.open(feedAddress)
			if decision.Verdict != steering.Forward {
				s.refused[decision.Reason]++
				continue
			}
			w.confirm(f)
			s.opened[f.endpoint.ID] = append(s.opened[f.endpoint.ID], w.now)
			s.open = append(s.open, fleetFlow{w, f})
		}
		keep := s.open[:0]
		for _, o := range s.open {
			if s.random.Float64() < step.Seconds() {
				o.balancer.close(o.flow)
				continue
			}
			keep = append(keep, o)
		}
		s.open = keep
	}
}

func (s *coldSite) report(from int) {
	r := s.balancers[from].Report(s.balancers[from].now)
	r.Sender = s.hosts[from].Incarnation
	origin := steering.Origin{FailureDomain: s.hosts[from].FailureDomain}
	for _, h := range s.hosts {
		if h.FailureDomain == origin.FailureDomain {
			origin.Members++
		}
	}
	for to, w := range s.balancers {
		if to != from {
			w.ApplyReport(w.now, r, origin)
		}
	}
}

// inDomain returns the number of flows opened on the endpoints of a failure domain in the last run, and the largest
// number on one of them in a sliding second.
func (s *coldSite) inDomain(name string) (flows, most int) {
	for _, e := range s.endpoints {
		if e.FailureDomain != name {
			continue
		}
		times := s.opened[e.ID]
		flows += len(times)
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			most = max(most, i-first+1)
		}
	}
	return flows, most
}

func inFirstDomain(e *directory.Endpoint) bool { return e.FailureDomain == "attiki-1" }

// TestDomainReturnsCold guards against refused flows, and against cold endpoints with more flows than they can handle,
// when all endpoints of a failure domain are cold at the same moment, as at the end of an evacuation, at 400 new flows
// per second. The others take its flows, and it gets them back when it is warm.
func TestDomainReturnsCold(t *testing.T) {
	is := is.New(t)
	s := newColdSite(3, 4, 10)
	s.run(6*time.Second, 400)
	usual, _ := s.inDomain("attiki-1")
	s.chill(inFirstDomain)
	is.Equal(s.balancers[0].ColdEndpoints(s.balancers[0].now), 10)
	s.run(coldTime, 400)
	cold, most := s.inDomain("attiki-1")
	is.Equal(len(s.refused), 0)
	is.True(most <= coldBound)
	s.run(2*time.Second, 400)
	s.run(4*time.Second, 400)
	warm, _ := s.inDomain("attiki-1")
	t.Logf("flows per second in the domain: %d before, %d while cold (at most %d on one endpoint in a second), %d after 2 s",
		usual/6, cold/5, most, warm/4)
	is.True(cold > 0)                                // the owners use their shares
	is.True(float64(warm)/4 >= 0.8*float64(usual)/6) // it gets its flows back
	is.Equal(s.balancers[0].ColdEndpoints(s.balancers[0].now), 0)
}

// TestOneWarmEndpointIsLeft guards against the overload of the last warm endpoint of a failure domain, with 10 flows per
// slot, while another domain has 1: the cold endpoints next to it have no flows, which must not make the domain look idle.
func TestOneWarmEndpointIsLeft(t *testing.T) {
	is := is.New(t)
	s := newColdSite(2, 2, 16)
	s.rate = 0
	s.run(3*time.Second, 0)
	s.chill(func(e *directory.Endpoint) bool { return inFirstDomain(e) && e.ID != "i-0-0" })
	w := s.balancers[0]
	w.ApplyReport(w.now, &steering.Report{Sender: 9, Loads: []steering.EndpointLoad{{Cookie: directory.Cookie("i-0-0", 0), Flows: 30}}},
		steering.Origin{FailureDomain: "attiki-1", Members: 2})
	other := &steering.Report{Sender: 10}
	for i := range 16 {
		other.Loads = append(other.Loads, steering.EndpointLoad{Cookie: directory.Cookie(fmt.Sprint("i-1-", i), 0), Flows: 3})
	}
	w.ApplyReport(w.now, other, steering.Origin{FailureDomain: "attiki-2", Members: 1})
	w.advance(100 * time.Millisecond)
	onWarm := 0
	for range 50 { // more than this balancer may open on the cold ones
		if w.openEstablished(t).endpoint.ID == "i-0-0" {
			onWarm++
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
	t.Logf("%d of 50 flows on the warm endpoint", onWarm)
	is.True(onWarm <= 6) // those of the 51 ms for which loads are used after the cold ones have got their share
}

// TestServiceIsCold guards against flows that hang, or overload cold endpoints, when all endpoints of a service start at
// the same moment under 900 new flows per second. What is beyond the limit is refused at once.
func TestServiceIsCold(t *testing.T) {
	for name, rate := range map[string]float64{"rate of 10": coldRate, "rate of 0": 0} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newColdSite(3, 4, 3)
			s.rate = rate
			s.run(6*time.Second, 90)
			s.chill(func(*directory.Endpoint) bool { return true })
			s.run(coldTime-20*time.Millisecond, 900)
			for d := range 3 {
				flows, most := s.inDomain(fmt.Sprint("attiki-", d+1))
				t.Logf("failure domain %d: %d flows, at most %d on one endpoint in a second", d+1, flows, most)
				is.True(flows > 0 && float64(most) <= rate*1.5+5)
			}
			t.Logf("refused: %v", s.refused)
			is.True(s.refused[steering.ReasonColdLimit] > 0)
			is.Equal(len(s.refused), 1) // no other reason
			s.run(time.Second, 900)
			is.Equal(s.refused[steering.ReasonColdLimit], 0) // all are warm
		})
	}
}

// TestEndpointBecomesWarm guards against a flow that is refused although an endpoint has become warm, in a domain that is
// not the preferred one, since the loads of the domains were last compared.
func TestEndpointBecomesWarm(t *testing.T) {
	is := is.New(t)
	s := newColdSite(3, 1, 1)
	s.run(3*time.Second, 0)
	s.chill(func(*directory.Endpoint) bool { return true })
	s.endpoints[2].WarmAt = s.balancers[1].now.Add(10 * time.Millisecond)
	s.publish()
	w := s.balancers[1]
	_, d := w.open(feedAddress)
	for d.Verdict == steering.Forward {
		_, d = w.open(feedAddress)
	}
	is.Equal(d.Reason, steering.ReasonColdLimit)
	w.now = w.now.Add(15 * time.Millisecond)
	_, d = w.open(feedAddress)
	is.Equal(d.Verdict, steering.Forward)
}

// TestColdLimitNeedsSettings guards against a limit in deployments that have none: without an overshoot and a slack, or
// without a rate of the service.
func TestColdLimitNeedsSettings(t *testing.T) {
	tests := map[string]struct {
		limit     steering.ColdLimit
		rate      float64 // none if below 0
		isLimited bool
	}{
		"no settings":       {rate: 10},
		"no rate":           {limit: coldLimit, rate: -1},
		"overshoot, rate":   {limit: coldLimit, rate: 10, isLimited: true},
		"slack, rate of 0":  {limit: steering.ColdLimit{Slack: 5, HasPeers: true}, rate: 0, isLimited: true},
		"no peers, no view": {limit: steering.ColdLimit{Overshoot: 1.5, Slack: 5}, rate: 10, isLimited: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newColdSite(1, 1, 1)
			s.rate = c.rate
			s.balancers[0].SetColdLimit(start, c.limit)
			s.run(3*time.Second, 10)
			s.chill(inFirstDomain)
			s.run(2*time.Second, 100)
			flows, _ := s.inDomain("attiki-1")
			is.Equal(flows < 200, c.isLimited)
			s.balancers[0].SetColdLimit(s.balancers[0].now, steering.ColdLimit{}) // reloaded settings
			s.run(time.Second, 100)
			is.Equal(len(s.refused), 0)
		})
	}
}

// TestRetransmissionIsNoNewFlow guards against flows reset or counted again because their opening packet was lost: it
// stays with its cold endpoint, although that may get no more flows.
func TestRetransmissionIsNoNewFlow(t *testing.T) {
	is := is.New(t)
	s := newColdSite(1, 1, 1)
	w := s.balancers[0]
	w.SetColdLimit(start, steering.ColdLimit{Overshoot: 1.5, Slack: 5})
	s.run(3*time.Second, 1)
	s.chill(inFirstDomain)
	var flows []*flow
	for f, d := w.open(feedAddress); d.Verdict == steering.Forward; f, d = w.open(feedAddress) {
		flows = append(flows, f)
	}
	is.Equal(len(flows), coldBound/3)
	for _, wait := range []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond} {
		w.advance(wait)
		is.Equal(w.repeat(flows[0]).Verdict, steering.Forward) // nothing shows that the endpoint lives
	}
	w.advance(310 * time.Millisecond) // more than a second after the first flows
	again := 0
	for _, d := w.open(feedAddress); d.Verdict == steering.Forward; _, d = w.open(feedAddress) {
		again++
	}
	is.Equal(again, coldBound/3)
}

// TestColdTimeEnds guards against an endpoint that stays cold because its entry, which still states the whole time, is
// read again and again.
func TestColdTimeEnds(t *testing.T) {
	is := is.New(t)
	s := newColdSite(1, 1, 1)
	s.chill(inFirstDomain)
	w := s.balancers[0]
	for elapsed := time.Duration(0); elapsed < 2*coldTime; elapsed += 100 * time.Millisecond {
		is.Equal(w.ColdEndpoints(w.now) == 1, elapsed < coldTime)
		w.advance(100 * time.Millisecond)
		again := *s.endpoints[0]
		again.WarmAt = w.now.Add(coldTime)
		s.endpoints[0] = &again
		s.publish()
	}
	s.chill(inFirstDomain)
	is.Equal(w.ColdEndpoints(w.now), 1) // a new incarnation
}

// TestColdAgainWithoutStart guards against an endpoint that counts as warm although its entry has changed and says that it is
// cold: the endpoints of an evacuated failure domain become cold without a new start.
func TestColdAgainWithoutStart(t *testing.T) {
	is := is.New(t)
	s := newColdSite(1, 1, 1)
	w := s.balancers[0]
	for revision := range uint64(3) {
		again := *s.endpoints[0]
		again.WarmAt, again.Revision = w.now.Add(coldTime), revision+1
		s.endpoints[0] = &again
		s.publish()
		is.Equal(w.ColdEndpoints(w.now), 1)
		w.advance(coldTime)
		s.publish()
		is.Equal(w.ColdEndpoints(w.now), 0)
		w.advance(10 * time.Second)
	}
}
