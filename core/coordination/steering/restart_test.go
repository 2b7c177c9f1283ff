package steering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// restart replaces an endpoint by a new incarnation with the same ID.
func (w *harness) restart(id string) {
	list := make([]*directory.Endpoint, len(w.endpoints))
	for i, e := range w.endpoints {
		list[i] = e
		if e.ID == id {
			restarted := *e
			restarted.StartedAt++
			list[i] = &restarted
		}
	}
	w.endpoints = list
	w.publish()
}

// failing returns a single balancer with i-0 degraded.
func failing(t *testing.T, r reply) (*clientLoad, *harness) {
	t.Helper()
	c := newClientLoad(t, 1, 6)
	c.run(5*time.Second, 100)
	c.reply = func(id string) reply {
		if id == "i-0" {
			return r
		}
		return usualReply
	}
	c.run(4*time.Second, 100)
	is.New(t).Equal(c.balancers[0].DegradedEndpoints(), 1)
	return c, c.balancers[0]
}

// TestRestartEndsDegradation guards against an endpoint that counts as degraded after a restart because its former
// incarnation failed requests: neither the state, nor requests still open, nor reports may outlive it.
func TestRestartEndsDegradation(t *testing.T) {
	for name, r := range map[string]reply{"errors": errorReply, "no answers": noReply} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c, w := failing(t, r)
			w.ApplyReport(w.now, &steering.Report{Sender: 9, Outcomes: []steering.EndpointOutcomes{
				{Cookie: directory.Cookie("i-0", 0), Bad: 12}, {Cookie: directory.Cookie("i-1", 0), Good: 12, Bad: 1},
			}}, ownDomain)
			w.HealthEvents()
			w.restart("i-0")
			is.Equal(w.DegradedEndpoints(), 0)
			is.Equal(w.HealthEvents(), []steering.HealthEvent{
				{Event: steering.EndpointRecovered, Endpoint: "i-0", Cause: "restarted"},
			})
			c.reply = func(string) reply { return usualReply }
			clear(c.opened)
			for range 30 {
				c.run(100*time.Millisecond, 100)
				is.Equal(w.DegradedEndpoints(), 0)
			}
			t.Logf("i-0 got %.2f of an even share after the restart", c.share("i-0"))
			is.True(c.share("i-0") > 0.7)
			for _, e := range w.HealthEvents() {
				if e.Endpoint == "i-0" {
					t.Errorf("health event of the new incarnation: %+v", e)
				}
			}
		})
	}
}

// TestFormerFlowsBlameNobody guards against a new incarnation that counts as suspect, dead or failing because flows of
// its former incarnation get no answer from it: it resets them, which the balancer does not see.
func TestFormerFlowsBlameNobody(t *testing.T) {
	is := is.New(t)
	s := newSilenceHarness(t)
	var opening *flow
	for opening == nil || opening.endpoint.ID != "i-1" {
		opening, _ = s.open(feedAddress)
		if opening.endpoint.ID != "i-1" {
			s.confirm(opening)
		}
	}
	for _, f := range s.silent[:2] {
		s.request(f)
	}
	s.restart("i-1")
	s.step(200*time.Millisecond, true)
	for _, f := range s.silent {
		s.request(f)
	}
	is.Equal(s.repeat(opening).Endpoint.ID, "i-2") // the former incarnation did not answer it
	s.step(200*time.Millisecond, true)
	for _, f := range s.silent {
		is.Equal(s.request(f).Verdict, steering.Forward)
	}
	s.step(400*time.Millisecond, true)
	is.Equal(len(s.Resets()), 0)
	is.Equal(s.SuspectEndpoints(s.now), 0)
	is.Equal(len(s.ReportSilences(s.now).Silences), 0)
	s.step(3*time.Second, true)
	is.Equal(len(s.Report(s.now).Outcomes), 0)
	is.Equal(len(s.HealthEvents()), 0)
}
