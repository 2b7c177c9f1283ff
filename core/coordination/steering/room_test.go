package steering_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
)

var urgentAddress = netip.MustParseAddrPort("198.18.0.1:500")

// newRoomHarness returns a harness with endpoints of a service that has a more urgent and a less urgent route.
func newRoomHarness(endpoints int) *harness {
	w := newHarness()
	w.SetRefusesFlows(true)
	w.answersProbes = map[string]bool{}
	for i := range endpoints {
		e := endpoint(fmt.Sprintf("i-%x", i+1), "attiki-1")
		w.endpoints, w.answersProbes[e.ID] = append(w.endpoints, e), true
	}
	w.routes[0].Priority, w.routes[0].Aim = 2, 600*time.Millisecond
	w.routes = append(w.routes, w.routes[0])
	w.routes[1].Address, w.routes[1].Priority = urgentAddress, 1
	w.publish()
	return w
}

// newSettledHarness returns the same some time after the start, when flows may be refused for lack of room.
func newSettledHarness(endpoints int) *harness {
	w := newRoomHarness(endpoints)
	w.advance(settled)
	return w
}

// settled is longer than the time after the start in which no flow is refused for lack of room.
const settled = 6 * time.Second

// reportRequests delivers a report of another balancer with requests without an answer.
func (w *harness) reportRequests(requests int) {
	w.ApplyReport(w.now, &steering.Report{
		Sender: 7, Rooms: []steering.ServiceRoom{{Service: steering.RoomHash("feed"), Outstanding: requests}},
	}, ownDomain)
}

// TestNoRoom guards against flows of the less urgent route that take the room of the more urgent one, and against refused
// flows while there is room, or while the routes do not differ in priority.
func TestNoRoom(t *testing.T) {
	tests := map[string]struct {
		requests       int // of another balancer; there are 12 slots
		urgentPriority int
		refused        bool // the less urgent flows
	}{
		"no requests":       {0, 1, false},
		"slots in use":      {20, 1, false},
		"too many requests": {80, 1, true},
		"same priority":     {80, 2, false},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newSettledHarness(4)
			w.routes[1].Priority = c.urgentPriority
			w.publish()
			w.reportRequests(c.requests)
			f, d := w.open(feedAddress)
			is.Equal(d.Verdict == steering.Reset, c.refused)
			is.Equal(d.Reason == steering.ReasonNoRoom, c.refused)
			again := steering.Packet{Flow: f.key, IsOpening: true, Sequence: f.sequence, Copy: 1}
			is.Equal(w.Handle(w.now, &again).Verdict, steering.Forward) // the first copy may have opened it elsewhere
			_, d = w.open(urgentAddress)
			is.Equal(d.Verdict, steering.Forward)
			events := w.HealthEvents()
			is.Equal(len(events) == 1 && events[0].Event == steering.ServiceOverloaded && events[0].Service == "feed", c.refused)
			is.Equal(w.OverloadedServices() == 1, c.refused)
			for range 6 {
				w.advance(time.Second) // the report becomes too old
			}
			is.Equal(w.OverloadedServices(), 0)
		})
	}
}

// TestReportedRooms guards against reports that omit requests without an answer, or count those of clients that have given
// up or whose packets reach another balancer now, or those on endpoints whose slots do not count.
func TestReportedRooms(t *testing.T) {
	is := is.New(t)
	w := newRoomHarness(1)
	waiting, answered := w.openEstablished(t), w.openEstablished(t)
	w.request(waiting)
	w.request(answered)
	w.answer(answered)
	w.open(feedAddress)
	is.Equal(w.Report(w.now).Rooms, []steering.ServiceRoom{{Service: steering.RoomHash("feed"), Outstanding: 2}})
	for range 4 {
		w.advance(time.Second)
	}
	is.Equal(len(w.Report(w.now).Rooms), 0)
	w.request(answered)
	w.answer(answered) // the endpoint is not suspect
	w.request(waiting) // its client sends the data again
	w.advance(time.Second)
	is.Equal(w.Report(w.now).Rooms[0].Outstanding, 1)
	waiting.endpoint.IsLeaving = true // its slots count no more
	w.publish()
	is.Equal(len(w.Report(w.now).Rooms), 0)
}

// TestTimeUnderWay guards against refused flows on long links: the requests on their way take no slot.
func TestTimeUnderWay(t *testing.T) {
	is := is.New(t)
	for openTime, want := range map[time.Duration]steering.Verdict{0: steering.Reset, 20 * time.Millisecond: steering.Forward} {
		w := newRoomHarness(4)
		for range 100 {
			f, _ := w.open(feedAddress)
			w.advance(openTime)
			w.confirm(f)
			w.request(f)
			w.advance(40 * time.Millisecond)
			w.answer(f)
			w.close(f)
		}
		verdict := steering.Forward
		for range 100 {
			w.advance(50 * time.Millisecond)
			w.reportRequests(60)
			f, d := w.open(feedAddress)
			w.close(f)
			verdict = max(verdict, d.Verdict)
		}
		is.Equal(verdict, want)
	}
}

// TestPlacementByRequests guards against a request that waits in a queue while another endpoint, with more long-lived flows,
// has free slots.
func TestPlacementByRequests(t *testing.T) {
	is := is.New(t)
	for reported, want := range map[int]string{0: "i-1", 12: "i-2"} {
		w := newRoomHarness(2)
		flows := map[string][]*flow{}
		for len(flows["i-1"]) < 6 || len(flows["i-2"]) < 6 {
			f := w.openEstablished(t)
			flows[f.endpoint.ID] = append(flows[f.endpoint.ID], f)
		}
		for i, f := range flows["i-1"] {
			if w.request(f); i >= 4 {
				w.close(f)
			}
		}
		w.reportRequests(reported)
		for range 4 { // the utilization is an average
			w.advance(300 * time.Millisecond)
			f, _ := w.open(urgentAddress)
			w.close(f)
		}
		_, d := w.open(urgentAddress)
		is.Equal(d.Endpoint.ID, want)
	}
}

// TestFullEndpoints guards against an overload in which endpoints get no new flows for seconds, or have their flows reset as
// if they were dead, since full ones do not answer opening packets: the few that are left would get all flows.
func TestFullEndpoints(t *testing.T) {
	is := is.New(t)
	w := newRoomHarness(3)
	var flows []*flow
	for range 9 {
		flows = append(flows, w.openEstablished(t))
	}
	for range 10 { // the utilization is an average
		w.reportRequests(60)
		w.advance(100 * time.Millisecond)
		f, _ := w.open(urgentAddress)
		w.confirm(f)
		w.close(f)
	}
	for range 2 {
		w.reportRequests(60)
		for range 12 {
			f, _ := w.open(urgentAddress)
			flows = append(flows, f)
		}
		w.advance(200 * time.Millisecond)
		for i, f := range flows {
			if i < 9 {
				w.request(f)
			} else {
				w.repeat(f)
			}
		}
		is.Equal(w.SuspectEndpoints(w.now), 3)
		w.advance(400 * time.Millisecond) // those of the clients that went elsewhere count as refused
		is.Equal(len(w.Report(w.now).Silences), 0)
		w.advance(600 * time.Millisecond)
		is.Equal(w.SuspectEndpoints(w.now), 0) // each may get a flow again
		is.Equal(len(w.Resets()), 0)
	}
}

// TestStartRefusesNothing guards against flows that are refused because a balancer that has just started takes the
// retransmissions of flows that no longer exist for requests without an answer, as after a loss of all hosts.
func TestStartRefusesNothing(t *testing.T) {
	is := is.New(t)
	former := newRoomHarness(4)
	w := newHarness()
	w.SetRefusesFlows(true)
	w.endpoints, w.routes = former.endpoints, former.routes
	w.publish()
	for range 300 {
		f, _ := former.open(feedAddress)
		w.request(f) // adopted, and never answered
	}
	for elapsed := time.Duration(0); elapsed < settled; elapsed += 100 * time.Millisecond {
		w.advance(100 * time.Millisecond)
		f, d := w.open(feedAddress)
		is.Equal(d.Verdict, steering.Forward)
		w.confirm(f)
	}
}
