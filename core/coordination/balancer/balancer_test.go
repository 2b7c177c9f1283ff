package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

var domains = []string{"attiki-1", "attiki-2", "attiki-3"}

// newFleet starts balancers and backend servers of one service, spread over three failure domains.
func newFleet(seed uint64, balancers, endpoints int) *world {
	w := newWorld(seed)
	t := table.Tables{
		Routes: []table.Route{{Name: "reminders", Address: serviceAddress, Service: "reminders", Pool: "reminders"}},
		Pools:  []table.Pool{{Name: "reminders", Service: "reminders"}},
	}
	for i := range endpoints {
		address, domain := fmt.Sprintf("10.2.0.%d:80", i+1), domains[i%len(domains)]
		s := w.addBackend(address, domain, "reminders", 3)
		t.Pools[0].Endpoints = append(t.Pools[0].Endpoints,
			table.Endpoint{Address: s.address, FailureDomain: domain, Slots: 3, Connections: 2000})
	}
	for i := range balancers {
		w.addNode(fmt.Sprintf("entry-%d", i), domains[i%len(domains)])
	}
	w.publishTables(t, time.Millisecond, 10*time.Millisecond)
	w.publishViews(nil, time.Millisecond, 10*time.Millisecond)
	w.run(time.Second)
	return w
}

// A request must be answered from end to end through any balancer, without faults in the network.
func TestRequestsAndFeedsEndToEnd(t *testing.T) {
	is := is.New(t)
	w := newFleet(1, 8, 14)
	var requests, feeds []*caller
	for range 20 {
		requests = append(requests, w.addCaller(serviceAddress, ""))
		feeds = append(feeds, w.addCaller(serviceAddress, fmt.Sprintf("feed-%d", len(feeds))))
	}
	w.run(10 * time.Second)
	w.check()
	is.Equal(w.faults, nil)
	for _, c := range requests {
		is.True(c.answered > 50)         // requests make progress
		is.Equal(len(c.unknown), 0)      // nothing is lost without faults
		is.Equal(len(c.notRun), 0)       // nothing is refused below capacity
		is.True(c.answered >= c.calls-1) // all but the one in progress
	}
	for _, c := range feeds {
		is.True(c.delivered > 300) // about 500 items were emitted
	}
}
