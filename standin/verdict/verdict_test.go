package verdict_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cornellb/core/state/packet"
	"cornellb/standin/backend"
	"cornellb/standin/caller"
	"cornellb/standin/fabric"
	"cornellb/standin/verdict"
)

// runStandins runs callers against backend servers through the fabric and a fake balancer with the given fault.
func runStandins(t *testing.T, fault string, faults fabric.Faults) *verdict.Verdict {
	is := is.New(t)
	services := map[netip.AddrPort]string{
		netip.MustParseAddrPort("10.0.0.1:80"): "reminders", netip.MustParseAddrPort("10.0.0.2:80"): "other",
	}
	servers := make(map[string]*backend.Server)
	backends := make(map[string]netip.AddrPort)
	for _, service := range services {
		config := backend.Config{
			Listen: "127.0.0.1:0", Service: service, Slots: 1000, Seed: 1, FeedInterval: 5 * time.Millisecond,
		}
		for class := range config.Times {
			config.Times[class] = backend.Distribution{Median: 2 * time.Millisecond, Sigma: 0.5}
		}
		s, err := backend.Start(config)
		is.NoErr(err)
		defer s.Close()
		servers[service], backends[service] = s, s.Address()
	}
	b := startBalancer(t, services, backends)
	b.fault = fault
	config := fabric.Config{Listen: "127.0.0.1:0", Seed: 1, Balancers: []fabric.Balancer{{Address: b.address()}}}
	for address := range services {
		config.Addresses = append(config.Addresses, fabric.Address{Service: address, Listen: "127.0.0.1:0"})
	}
	f, err := fabric.Start(config)
	is.NoErr(err)
	defer f.Close()
	f.SetFaults(faults)
	b.fabric = f.BalancerAddress()
	go b.serve()
	var targets []caller.Target
	for address, service := range services {
		targets = append(targets, caller.Target{
			Service: service, Address: f.CallerAddress(address).String(), Rate: 100, Feeds: 2,
		})
	}
	result, err := caller.Run(context.Background(), caller.Config{
		Targets: targets, Customers: 3, Duration: time.Second, Seed: 1, Name: "test", IdempotentShare: 0.5,
		ClassShares: [packet.ClassCount]float64{1, 1, 1}, LargeShare: 0.2, Timeout: 20 * time.Second, Sockets: 2,
	})
	is.NoErr(err)
	var reports []backend.Report
	for _, s := range servers {
		reports = append(reports, s.Report())
	}
	return verdict.Judge(result, reports, verdict.Limits{})
}

// TestStandinsTogether guards against stand-ins whose own faults show up as violations by cornellb, on a network with
// loss, duplicates and reordering.
func TestStandinsTogether(t *testing.T) {
	is := is.New(t)
	v := runStandins(t, "", fabric.Faults{
		Loss: 0.05, Duplicate: 0.05, Delay: time.Millisecond, Jitter: 5 * time.Millisecond,
	})
	is.Equal(v.Violations, nil)
	is.Equal(v.Answered, v.Requests)
	is.True(v.Requests > 0)
	is.True(v.Feeds.Items > 0)
	is.Equal(v.BrokenFlows, 0)
	var table strings.Builder
	is.NoErr(v.Write(&table))
	is.True(strings.Contains(table.String(), "imbalance over backend servers, reminders"))
}

// TestFaultsAreNamed guards against a verdict that misses a violation.
func TestFaultsAreNamed(t *testing.T) {
	cases := map[string]string{
		"runs twice":              "not idempotent, but executed more than once",
		"denies running":          "reported as not run, but executed",
		"answers without running": "answered, but not executed",
		"cuts answers":            "wrong or partial answer",
		"crosses services":        "work at a wrong service",
	}
	for fault, check := range cases {
		t.Run(fault, func(t *testing.T) {
			v := runStandins(t, fault, fabric.Faults{})
			for _, x := range v.Violations {
				if x.Check == check {
					return
				}
			}
			t.Fatalf("got %v, want %q", v.Violations, check)
		})
	}
}

// TestJudgeFeedsAndLimits guards against faults that the callers or the backend servers report and the verdict omits.
func TestJudgeFeedsAndLimits(t *testing.T) {
	is := is.New(t)
	zero := 0
	result := &caller.Result{
		Name: "a", Answered: 1, BrokenFlows: 1, Feeds: caller.Feeds{Gaps: 1, Duplicates: 1, Reorders: 1, WrongItems: 1},
		Requests: []caller.Record{{ID: "a/1", Outcome: caller.OutcomeAnswered}, {ID: "a/2", Outcome: caller.OutcomeInvalid}},
	}
	reports := []backend.Report{
		{Service: "s", Executions: map[string]int{"a/1": 1, "a/3": 1, "b/1": 1}, Work: map[string]float64{"x": 3, "y": 1}, TotalWork: 4},
		{Service: "s", LateWork: 1, LateSubscribes: 1, NoHello: 1},
	}
	v := verdict.Judge(result, reports, verdict.Limits{
		BrokenFlows: &zero, ServerImbalance: 1.1, CustomerImbalance: 1.1, Answered: 0.9,
	})
	is.Equal(v.ServerImbalance["s"], 2.0)
	is.Equal(v.CustomerImbalance, 1.5)
	is.Equal(len(v.Violations), 13)
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
