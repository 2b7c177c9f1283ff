package steering

import (
	"time"

	"cornellb/core/state/directory"
)

const (
	// firstSuspicion is how long an endpoint gets no new flows after a first failure. A lost packet costs little: the
	// next sign of life ends it.
	firstSuspicion = 500 * time.Millisecond
	// maxSuspicion bounds the time until an endpoint that came back is tried again.
	maxSuspicion = 8 * time.Second
	// coldShare is the part of its usual speed that an endpoint reaches in its first seconds, which stops it from getting
	// all new flows at once.
	coldShare = 0.6
)

// server is one endpoint as seen from this balancer.
type server struct {
	endpoint     *directory.Endpoint
	cookie       uint32
	hasCookie    bool    // false if every cookie of the endpoint belongs to another one too
	flows        int     // tracked here, those that are opening included
	remote       int     // as other balancers of the failure domain report
	placed       float64 // flows placed here lately; halves with each sweep
	opening      int     // tracked here, not answered yet
	waiting      int     // flows with data that is not answered yet
	progressAt   time.Time
	failures     int // since the last progress
	suspectUntil time.Time
}

// restart drops what was learned about the former incarnation. Its flows are forgotten as they end.
func (v *server) restart() {
	v.progressAt, v.failures, v.suspectUntil = time.Time{}, 0, time.Time{}
}

// progress notes a sign of life.
func (v *server) progress(now time.Time) {
	v.progressAt, v.failures, v.suspectUntil = now, 0, time.Time{}
}

// fail notes that the endpoint did not answer.
func (v *server) fail(now time.Time) {
	pause := min(firstSuspicion<<min(v.failures, 8), maxSuspicion)
	v.failures++
	if until := now.Add(pause); until.After(v.suspectUntil) {
		v.suspectUntil = until
	}
}

// isTrusted reports whether the endpoint may get a new flow without a sign that it may be lost. After a suspicion it is
// tried with one flow at a time until it shows a sign of life.
func (v *server) isTrusted(now time.Time) bool {
	return v.failures == 0 || !now.Before(v.suspectUntil) && v.opening == 0
}

// load returns the flows in proportion to what the endpoint can bear, with one more flow. Each of the other balancers
// decides like this one and reports later, so that flows placed here lately count once more for each of them. Otherwise
// all would fill an endpoint that has just come.
func (v *server) load(now time.Time, others int) float64 {
	capacity := float64(max(v.endpoint.Slots, 1))
	if now.Before(v.endpoint.WarmAt) {
		capacity *= coldShare
	}
	return (float64(v.flows+v.remote+1) + float64(others)*v.placed) / capacity
}
