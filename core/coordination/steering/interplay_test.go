package steering_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/directory"
)

// TestRemovedEndpointIsNotReported guards against a balancer that ends with a nil pointer because an endpoint is removed
// while a request to it waits for its answer.
func TestRemovedEndpointIsNotReported(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), endpoint("i-3", "attiki-1"))
	w.SetLearnsSpeed(true)
	for range 60 { // until the usual response time is known
		f := w.openEstablished(t)
		w.request(f)
		w.advance(20 * time.Millisecond)
		w.answer(f)
		w.close(f)
	}
	waiting := w.openEstablished(t)
	w.request(waiting)
	w.advance(300 * time.Millisecond)
	w.endpoints = slices.DeleteFunc(w.endpoints, func(e *directory.Endpoint) bool { return e == waiting.endpoint })
	w.publish()
	w.advance(300 * time.Millisecond)
	is.True(w.SpeedReport(w.now) == nil)
	is.Equal(len(w.Report(w.now).Speeds), 0)
}
