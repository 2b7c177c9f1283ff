package steering_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// answeringAll lets the hosts of all endpoints answer connection attempts.
func (s *silenceHarness) answeringAll() {
	s.answersProbes = make(map[string]bool)
	for _, e := range s.endpoints {
		s.answersProbes[e.ID] = true
	}
}

// wait lets flows wait for an answer for 2.5 s with the retransmissions of their clients, while i-2 answers its own. It
// returns the number of flows that were reset.
func (s *silenceHarness) wait(flows []*flow) int {
	reset := make(map[steering.FlowKey]bool)
	for _, pause := range []time.Duration{200, 400, 800, 1100} {
		for _, f := range flows {
			if !reset[f.key] && s.request(f).Verdict == steering.Reset {
				reset[f.key] = true
			}
		}
		s.step(pause*time.Millisecond, true)
		for _, p := range s.Resets() {
			reset[p.Flow] = true
		}
	}
	return len(reset)
}

// TestBusyEndpointKeepsItsFlows guards against resets of flows whose endpoint lives and works on longer requests of
// other clients first. To one balancer its full queue looks like an endpoint that has lost power.
func TestBusyEndpointKeepsItsFlows(t *testing.T) {
	tests := map[string]func(t *testing.T) (*silenceHarness, []*flow){
		"burst of requests": func(t *testing.T) (*silenceHarness, []*flow) {
			s := newSilenceHarness(t)
			return s, s.silent[:4]
		},
		"entry cannot be used": func(t *testing.T) (*silenceHarness, []*flow) {
			s := newSilenceHarness(t)
			lapsed := *s.endpoints[0]
			lapsed.IsGone = true
			s.endpoints = []*directory.Endpoint{&lapsed, s.endpoints[1]}
			s.publish()
			return s, s.silent[:1]
		},
		"burst in another failure domain": func(t *testing.T) (*silenceHarness, []*flow) {
			s := newCutHarness(t)
			return s, s.silent[:3]
		},
	}
	for name, newCase := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, flows := newCase(t)
			s.answeringAll()
			is.Equal(s.wait(flows), 0)

			s, flows = newCase(t)
			is.Equal(s.wait(flows), len(flows)) // the hosts have lost power
		})
	}
}

// TestHostLostUnderBurst guards against clients that wait until their deadlines because the host answered a probe before
// it lost power.
func TestHostLostUnderBurst(t *testing.T) {
	is := is.New(t)
	s := newSilenceHarness(t)
	s.answeringAll()
	is.Equal(s.stall(3, true), []steering.Verdict{steering.Forward, steering.Forward, steering.Forward})
	s.answersProbes["i-1"] = false
	s.step(800*time.Millisecond, true)
	is.Equal(len(s.Resets()), 3)
}

// TestFailedProbeIsNoEvidence guards against resets that follow from a probe which the balancer could not carry out, for
// example for lack of file descriptors.
func TestFailedProbeIsNoEvidence(t *testing.T) {
	is := is.New(t)
	s := newSilenceHarness(t)
	for range 10 {
		for _, f := range s.silent[:3] {
			is.Equal(s.request(f).Verdict, steering.Forward)
		}
		for _, p := range s.probes {
			s.RecordProbe(s.now, p.Probe, steering.ProbeFailed)
		}
		s.probes = nil
		s.step(200*time.Millisecond, true)
	}
	is.Equal(len(s.Resets()), 0)
}

// TestReplacedEndpoint guards against clients that wait until their deadlines because another endpoint has started at the
// address of the one that they wait for, and its host answers the probes.
func TestReplacedEndpoint(t *testing.T) {
	tests := map[string]struct {
		isGone    bool
		startedAt int64 // of the endpoint at the same address, which the silent one started at 100
		resets    int
	}{
		"replaced":                       {isGone: true, startedAt: 200, resets: 3},
		"still registered":               {startedAt: 200},
		"the other one started earlier":  {isGone: true, startedAt: 50},
		"no other one has its address":   {isGone: true},
		"registered, and none is at its": {},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newSilenceHarness(t)
			old, other := *s.endpoints[0], endpoint("i-9", "attiki-1")
			old.Address, old.StartedAt, old.IsGone = netip.MustParseAddrPort("10.9.0.1:9000"), 100, c.isGone
			s.endpoints = []*directory.Endpoint{&old, s.endpoints[1]}
			if c.startedAt > 0 {
				other.Service, other.Address, other.StartedAt = "images", old.Address, c.startedAt
				s.endpoints = append(s.endpoints, other)
			}
			s.publish()
			for _, f := range s.living {
				s.answer(f) // flows opened before the entry changed
			}
			s.silent = nil
			s.answeringAll()
			for len(s.silent) < 3 {
				f := &flow{key: steering.FlowKey{
					Client: netip.AddrPortFrom(netip.MustParseAddr("100.64.0.8"), uint16(len(s.silent)+1)), Service: feedAddress,
				}, cookie: directory.Cookie("i-1", 0), sequence: 1000, received: 5000}
				s.silent = append(s.silent, f)
			}
			is.Equal(s.wait(s.silent), c.resets)
		})
	}
}

// TestProbesAreBounded guards against connection attempts to endpoints that answer, and against many of them to one
// endpoint or at one time.
func TestProbesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newSilenceHarness(t)
	s.step(2*time.Second, true)
	is.Equal(len(s.probes), 0)
	count := 0
	for range 20 { // 2 s
		for _, f := range s.silent {
			s.request(f)
		}
		for _, p := range s.probes {
			count++
			s.RecordProbe(s.now, p.Probe, steering.ProbeAnswered)
		}
		s.probes = nil
		s.step(100*time.Millisecond, true)
	}
	is.True(count >= 3)
	is.True(count <= 4)

	w := newHarness()
	for i := range 100 {
		w.endpoints = append(w.endpoints, endpoint(fmt.Sprintf("i-%x", i+1), "attiki-1"))
	}
	w.publish()
	var flows []*flow
	for range 300 {
		flows = append(flows, w.openEstablished(t))
	}
	for range 3 {
		for _, f := range flows {
			w.request(f)
		}
		is.True(len(w.probes) <= 32)
		w.advance(150 * time.Millisecond)
	}
	is.Equal(len(w.probes), 32)
	w.advance(time.Second)
	is.True(len(w.probes) > 0) // the ones that had to wait
}

// TestProbeOfFormerIncarnation guards against a result that is counted against an endpoint which has started again under
// the same ID since.
func TestProbeOfFormerIncarnation(t *testing.T) {
	is := is.New(t)
	s := newSilenceHarness(t)
	s.request(s.silent[0])
	s.step(200*time.Millisecond, true)
	s.request(s.silent[0])
	is.Equal(len(s.probes), 1)
	again := *s.endpoints[0]
	again.StartedAt++
	s.endpoints = []*directory.Endpoint{&again, s.endpoints[1]}
	s.publish()
	s.HealthEvents()
	s.RecordProbe(s.now, s.probes[0].Probe, steering.ProbeUnanswered)
	for _, e := range s.HealthEvents() {
		is.True(e.Event != steering.EndpointProbed)
	}
}
