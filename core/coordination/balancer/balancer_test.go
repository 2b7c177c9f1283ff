package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/table"
)

var domains = []string{"attiki-1", "attiki-2", "attiki-3"}

// newServiceSimulation starts a simulation with balancers and backend servers of one service, spread over three
// failure domains.
func newServiceSimulation(seed uint64, balancers, endpoints int) *simulation {
	sim := newSimulation(seed)
	t := table.Tables{
		Routes: []table.Route{{Name: "reminders", Address: serviceAddress, Service: "reminders", Pool: "reminders"}},
		Pools:  []table.Pool{{Name: "reminders", Service: "reminders"}},
	}
	for i := range endpoints {
		address, domain := fmt.Sprintf("10.2.0.%d:80", i+1), domains[i%len(domains)]
		s := sim.addBackend(address, domain, "reminders", 3)
		t.Pools[0].Endpoints = append(t.Pools[0].Endpoints,
			table.Endpoint{Address: s.address, FailureDomain: domain, Slots: 3, Connections: 2000})
	}
	for i := range balancers {
		sim.addNode(fmt.Sprintf("entry-%d", i), domains[i%len(domains)])
	}
	sim.publishTables(t, time.Millisecond, 10*time.Millisecond)
	sim.publishViews(nil, time.Millisecond, 10*time.Millisecond)
	sim.run(time.Second)
	return sim
}

// Without network faults, every request must be answered and every feed must deliver its items, through any balancer.
func TestRequestsAndFeedsEndToEnd(t *testing.T) {
	is := is.New(t)
	sim := newServiceSimulation(1, 8, 14)
	var requests, feeds []*caller
	for range 20 {
		requests = append(requests, sim.addCaller(serviceAddress, ""))
		feeds = append(feeds, sim.addCaller(serviceAddress, fmt.Sprintf("feed-%d", len(feeds))))
	}
	sim.run(10 * time.Second)
	sim.check()
	is.Equal(sim.violations, nil)
	for _, c := range requests {
		is.True(c.answered > 50)         // requests make progress
		is.Equal(len(c.unknown), 0)      // no outcome is unknown without faults
		is.Equal(len(c.notRun), 0)       // nothing is refused below capacity
		is.True(c.answered >= c.calls-1) // all but the one in progress
	}
	for _, c := range feeds {
		is.True(c.delivered > 300) // the backend servers sent about 500 items
	}
}
