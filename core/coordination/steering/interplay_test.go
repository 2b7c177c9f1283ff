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
		w := newRoomHarness(4)
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
