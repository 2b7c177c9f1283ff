package steering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
)

// openNext opens another flow of the client, after the time that a refusal takes to reach it.
func (w *harness) openNext(after time.Duration) steering.Decision {
	w.now = w.now.Add(after)
	_, d := w.open(feedAddress)
	return d
}

// TestClientComesBackAfterRefusal guards against a client whose tries all go to the endpoint that has just refused them:
// it comes back within milliseconds, before a balancer can tell from other flows that the endpoint has crashed.
func TestClientComesBackAfterRefusal(t *testing.T) {
	tests := map[string][]string{ // failure domains of the endpoints
		"several endpoints":                  {"attiki-1", "attiki-1", "attiki-1"},
		"one endpoint in the own domain":     {"attiki-1", "attiki-2", "attiki-3"},
		"no endpoint in the own domain":      {"attiki-2", "attiki-3", "attiki-4"},
		"two endpoints refuse the same flow": {"attiki-1", "attiki-1", "attiki-2"},
	}
	for name, domains := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness()
			for i, d := range domains {
				w.endpoints = append(w.endpoints, endpoint("i-"+string(rune('1'+i)), d))
			}
			w.publish()
			for range 20 {
				used := map[string]bool{}
				for range 3 {
					used[w.openNext(8*time.Millisecond).Endpoint.ID] = true
				}
				is.Equal(len(used), 3)
				w.advance(5 * time.Second)
				w.Tick(w.now)
				for id := range used {
					w.restart(id) // so that nothing is left of its refusals
				}
			}
		})
	}
}

// TestClientOpensSeveralFlows guards against flows that leave the own failure domain because a client opens several at the
// same moment, or because it has closed an earlier one.
func TestClientOpensSeveralFlows(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2"))
	for range 3 {
		is.Equal(w.openNext(0).Endpoint.ID, "i-1")
	}
	w = newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-2"))
	for range 3 {
		f := w.openEstablished(t)
		is.Equal(f.endpoint.ID, "i-1")
		w.now = w.now.Add(8 * time.Millisecond)
	}
}
