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
	endpoint   *directory.Endpoint
	cookie     uint32
	hasCookie  bool    // false if every cookie of the endpoint belongs to another one too
	flows      int     // tracked here, those that are opening included
	remote     float64 // as other balancers report, extrapolated to all of them
	placed     float64 // flows placed here lately; halves with each sweep
	opening    int     // tracked here, not answered yet
	waiting    int     // flows with data that is not answered yet
	progressAt time.Time
	suspicion
	silentFlows int       // flows that have repeated data in vain since the last progress
	silentSince time.Time // when the first of these data was sent
	silentAt    time.Time // when such data were last repeated
	refusedAt   time.Time // when it last refused an opening packet

	seen       evidence // requests judged here
	told       evidence // as other balancers of the failure domain report
	evidence   evidence // both, as last compared
	penalty    float64  // part of its share of new flows that the endpoint does not get
	isDegraded bool     // as last logged
}

// restart drops what was learned about the former incarnation. Its flows are forgotten as they end.
func (v *server) restart() {
	v.progressAt, v.refusedAt, v.suspicion, v.silentFlows = time.Time{}, time.Time{}, suspicion{}, 0
	v.seen, v.penalty = evidence{}, 0
}

// fill returns the flows for each slot.
func (v *server) fill() float64 {
	return (float64(v.flows) + v.remote) / float64(max(v.endpoint.Slots, 1))
}

// What a balancer believes of an endpoint, as it appears in log lines.
const (
	EndpointSuspect = "endpoint suspect"
	EndpointDead    = "endpoint dead"
	EndpointAnswers = "endpoint answers again"

	EndpointDegraded  = "endpoint fails requests"
	EndpointRecovered = "endpoint has recovered"
)

// Belief is a change of what a balancer believes of an endpoint.
type Belief struct {
	What     string // one of the constants
	Endpoint string // ID
	Failures int    // in a row
	For      time.Duration
	Cause    string
}

// maxBeliefs bounds the changes that wait to be logged.
const maxBeliefs = 64

// Beliefs returns the changes since the last call, at most maxBeliefs.
func (f *Forwarder) Beliefs() []Belief {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := f.beliefs
	f.beliefs = nil
	return list
}

func (f *Forwarder) believe(b Belief) {
	if len(f.beliefs) < maxBeliefs {
		f.beliefs = append(f.beliefs, b)
	}
}

// answers notes a sign of life.
func (f *Forwarder) answers(now time.Time, v *server) {
	if v.failures > 0 {
		f.believe(Belief{What: EndpointAnswers, Endpoint: v.endpoint.ID, Failures: v.failures})
	}
	v.progressAt, v.suspicion, v.silentFlows = now, suspicion{}, 0
	f.domainOf(v.endpoint.FailureDomain).suspicion = suspicion{}
	f.progress.note(now, v)
}

// fail notes that the endpoint did not answer a packet that was sent at a time.
func (f *Forwarder) fail(now, sentAt time.Time, v *server, cause string) {
	if v.endpoint.FailureDomain != f.config.FailureDomain {
		f.domainOf(v.endpoint.FailureDomain).suspicion.fail(now, sentAt)
	}
	pause, isNew := v.suspicion.fail(now, sentAt)
	if !isNew {
		return
	}
	f.believe(Belief{
		What: EndpointSuspect, Endpoint: v.endpoint.ID, Failures: v.failures, For: pause, Cause: cause,
	})
}

// isTrusted reports whether the endpoint may get a new flow without a sign that it may be lost. After a suspicion it is
// tried with one flow at a time until it shows a sign of life.
func (v *server) isTrusted(now time.Time) bool {
	return v.failures == 0 || v.suspicion.isTrusted(now) && v.opening == 0
}

// load returns the flows in proportion to what the endpoint can bear, with one more flow. Each of the other balancers
// decides like this one and reports later, so that flows placed here lately count once more for each of them. Otherwise
// all would fill an endpoint that has just come.
func (v *server) load(now time.Time, others int) float64 {
	capacity := float64(max(v.endpoint.Slots, 1))
	if now.Before(v.endpoint.WarmAt) {
		capacity *= coldShare
	}
	return (float64(v.flows+1) + v.remote + float64(others)*v.placed) / capacity
}
