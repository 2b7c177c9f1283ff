package steering_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
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

// TestReturningDomainSpreads guards against a failure domain whose balancers all choose the same other one while their own
// endpoints are cold, as after an evacuation: reports show the others' choice only some seconds later.
func TestReturningDomainSpreads(t *testing.T) {
	is := is.New(t)
	var endpoints []*directory.Endpoint
	for i := range 12 {
		e := endpoint(fmt.Sprint("i-", i), fmt.Sprint("attiki-", i%3+1))
		if e.FailureDomain == "attiki-1" {
			e.WarmAt = start.Add(time.Minute)
		}
		endpoints = append(endpoints, e)
	}
	const balancers, flows = 12, 6
	opened := map[string]int{}
	for b := range balancers {
		w := newHarness(endpoints...)
		w.Forwarder = steering.New(testConfig, recorder{}, rand.New(rand.NewPCG(uint64(b), 9)))
		w.SetColdLimit(w.now, coldLimit)
		c := &directory.Configuration{Version: 1, Routes: w.routes, Services: []directory.Service{{Name: "feed", HasColdRate: true}}}
		w.SetSnapshot(w.now, directory.NewSnapshot(c, nil, endpoints))
		for i, load := range []int{20, 24} { // flows on each endpoint of the other domains
			r := &steering.Report{Sender: member.Incarnation(i + 1)}
			for _, e := range endpoints {
				if e.FailureDomain == fmt.Sprint("attiki-", i+2) {
					r.Loads = append(r.Loads, steering.EndpointLoad{Cookie: directory.Cookie(e.ID, 0), Flows: load})
				}
			}
			w.ApplyReport(w.now, r, steering.Origin{FailureDomain: fmt.Sprint("attiki-", i+2), Members: 1})
		}
		for range flows {
			opened[w.openEstablished(t).endpoint.FailureDomain]++
			w.advance(100 * time.Millisecond)
		}
	}
	t.Logf("flows by failure domain: %v", opened)
	// Within SpillFactor of each other, as for an evacuated domain, and 3 standard deviations of a random choice.
	is.Equal(opened["attiki-1"], 0)
	is.True(opened["attiki-3"] >= balancers*flows*2/5-16)
	is.True(opened["attiki-2"] >= balancers*flows*2/5-16)
}

// TestColdSlotsAreNoRoom guards against flows that are admitted for the slots of cold endpoints, which may not get them.
func TestColdSlotsAreNoRoom(t *testing.T) {
	is := is.New(t)
	refused := map[int]int{}
	for _, cold := range []int{0, 4} {
		w := newSettledHarness(4)
		w.idle = time.Hour
		for i := range cold {
			e := endpoint(fmt.Sprint("cold-", i), "attiki-1")
			e.WarmAt = start.Add(time.Minute)
			w.endpoints = append(w.endpoints, e)
		}
		w.SetColdLimit(w.now, coldLimit)
		c := &directory.Configuration{Version: 9, Routes: w.routes, Services: []directory.Service{{Name: "feed", HasColdRate: true}}}
		w.SetSnapshot(w.now, directory.NewSnapshot(c, nil, w.endpoints))
		w.reportRequests(60)
		for range 100 {
			if f, d := w.open(feedAddress); d.Reason == steering.ReasonNoRoom {
				refused[cold]++
			} else {
				w.close(f)
			}
		}
	}
	is.True(refused[0] > 0)
	is.Equal(refused[4], refused[0])
}

// TestIdleFlowsOnSlowAndFailing guards against a slow endpoint that fails requests and is preferred near saturation, because
// its idle flows reduce its cost below that of the others.
func TestIdleFlowsOnSlowAndFailing(t *testing.T) {
	is := is.New(t)
	w := newRoomHarness(2)
	w.idle = time.Hour
	w.publish()
	w.SetLearnsSpeed(true)
	flows := map[string]int{}
	for range 24 {
		flows[w.openEstablished(t).endpoint.ID]++
	}
	is.True(flows["i-1"] > 8 && flows["i-2"] > 8)
	for range 8 { // the utilization is an average
		w.ApplyReport(w.now, &steering.Report{
			Sender: 7, Rooms: []steering.ServiceRoom{{Service: steering.RoomHash("feed"), Outstanding: 8}},
			Speeds: []steering.EndpointSpeed{
				{Cookie: directory.Cookie("i-1", 0), Samples: 6, Ratio: 6}, {Cookie: directory.Cookie("i-2", 0), Samples: 6, Ratio: 1},
			},
			Outcomes: []steering.EndpointOutcomes{
				{Cookie: directory.Cookie("i-1", 0), Good: 7, Bad: 2.5}, {Cookie: directory.Cookie("i-2", 0), Good: 12},
			},
		}, ownDomain)
		w.advance(time.Second) // so that the flows are not new any more
		f, _ := w.open(urgentAddress)
		w.confirm(f)
		w.close(f)
	}
	is.Equal(w.SlowEndpoints(), 1)
	opened := map[string]int{}
	for range 10 {
		f, d := w.open(urgentAddress)
		is.Equal(d.Verdict, steering.Forward)
		opened[f.endpoint.ID]++
		w.advance(2 * time.Millisecond)
		w.confirm(f)
		w.close(f)
	}
	t.Logf("new flows: %v, open flows: %v", opened, flows)
	is.Equal(opened["i-1"], 0) // it has as many flows as the other, which is faster and fails none
}

// TestRefusedPortIsForgotten guards against a former flow that counts as load for the whole idle time, after its client has
// used the port again and was refused for lack of room.
func TestRefusedPortIsForgotten(t *testing.T) {
	is := is.New(t)
	w := newSettledHarness(1)
	f := w.openEstablished(t)
	w.request(f)
	for range 20 {
		w.reportRequests(200)
		w.advance(100 * time.Millisecond)
		w.open(urgentAddress)
	}
	f.sequence += 5000
	is.Equal(w.repeat(f).Reason, steering.ReasonNoRoom)
	before := w.TrackedFlows()
	is.Equal(w.repeat(f).Reason, steering.ReasonNoRoom)
	is.Equal(w.TrackedFlows(), before)
	d := w.request(f)
	is.Equal(d.Verdict, steering.Forward)
	is.Equal(w.TrackedFlows(), before+1) // adopted anew, since it was forgotten
}

// TestDuplicateOfOpenFlow guards against a reset of an open flow by a late duplicate of its opening packet, while the service
// is overloaded: the endpoint may run its request.
func TestDuplicateOfOpenFlow(t *testing.T) {
	is := is.New(t)
	w := newSettledHarness(1)
	var open []*flow
	for range 40 {
		open = append(open, w.openEstablished(t))
	}
	for range 10 {
		w.reportRequests(400)
		w.advance(100 * time.Millisecond)
		w.open(urgentAddress)
	}
	refused := 0
	for _, f := range open {
		is.True(w.repeat(f).Verdict != steering.Reset)
		if _, d := w.open(feedAddress); d.Reason == steering.ReasonNoRoom {
			refused++
		}
	}
	is.True(refused > 0)
}

// TestAbandonedRequestsHideNoSlowness guards against an endpoint that is slow and counts as fast, because the requests of
// clients that have given up, or whose flows reach other balancers now, count as its queue.
func TestAbandonedRequestsHideNoSlowness(t *testing.T) {
	is := is.New(t)
	w := newHarness()
	for i := range 4 {
		w.endpoints = append(w.endpoints, endpoint(fmt.Sprint("i-", i), "attiki-1"))
	}
	w.idle = time.Hour
	w.publish()
	w.SetLearnsSpeed(true)
	flows := map[string][]*flow{}
	for range 120 {
		f := w.openEstablished(t)
		flows[f.endpoint.ID] = append(flows[f.endpoint.ID], f)
	}
	serve := func(rounds int, slow time.Duration) {
		for n := range rounds {
			for id, list := range flows {
				f := list[n%5]
				w.request(f)
				w.advance(20 * time.Millisecond)
				if id == "i-0" {
					w.advance(slow)
				}
				w.answer(f)
			}
		}
	}
	serve(20, 0)
	for _, f := range flows["i-0"][5:] { // of these clients nothing is heard any more
		w.request(f)
	}
	w.advance(4 * time.Second)
	w.advance(time.Second)
	serve(40, 80*time.Millisecond)
	is.Equal(w.SlowEndpoints(), 1)
}

// TestSlowBeforeFailing guards against flows that pass over a slow endpoint and go to one that fails most requests, when few
// endpoints are left.
func TestSlowBeforeFailing(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"))
	w.SetLearnsSpeed(true)
	opened := map[string]int{}
	for range 100 {
		w.ApplyReport(w.now, &steering.Report{
			Sender: 7,
			Speeds: []steering.EndpointSpeed{
				{Cookie: directory.Cookie("i-1", 0), Samples: 6, Ratio: 4}, {Cookie: directory.Cookie("i-2", 0), Samples: 6, Ratio: 1},
			},
			Outcomes: []steering.EndpointOutcomes{
				{Cookie: directory.Cookie("i-1", 0), Good: 12}, {Cookie: directory.Cookie("i-2", 0), Good: 2, Bad: 10},
			},
		}, ownDomain)
		w.advance(100 * time.Millisecond)
		f := w.openEstablished(t)
		opened[f.endpoint.ID]++
		w.close(f)
	}
	t.Logf("new flows: %v", opened)
	is.True(opened["i-1"] > opened["i-2"])
}
