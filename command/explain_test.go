package command_test

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/io/transport/operator"
)

// TestExplainOfBalancer guards against an explanation that lacks what the balancer decides by, or that is an error for a
// request that would be refused.
func TestExplainOfBalancer(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	is.NoErr(f.store.Put("servers", "i-1", map[string]any{
		"service": "feed", "address": "198.51.100.1:8080", "zone": "attiki-2", "version": "v1", "max_concurrency": 2,
		"state": "ready", "cold_remaining_ms": 0, "seq": 1, "born": 1_800_000_000_000,
	}))
	is.NoErr(f.store.Put("config", "main", map[string]any{"version": 8, "services": []any{}, "routes": []any{map[string]any{
		"name": "feed", "host": "198.18.0.1", "path_prefix": "/443/", "type": "safe",
		"traffic_split": []any{map[string]any{"service": "feed", "weight": 3}, map[string]any{"service": "none", "weight": 0}},
	}}}))
	var x operator.Explanation
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		out, code := f.run("explain 198.18.0.1:443 --from 203.0.113.7:40001 --balancer BALANCER --output json")
		is.Equal(code, 0)
		x = operator.Explanation{}
		is.NoErr(json.Unmarshal([]byte(out), &x))
		if x.Verdict == "forward" {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the route is not in force:\n%s", out)
		}
	}
	is.Equal(x.Client.String(), "203.0.113.7:40001")
	is.Equal([]any{x.Host, x.FailureDomain, x.Version, x.Selected}, []any{"front-0", "attiki-1", uint64(8), "feed"})
	is.Equal(x.Route.Targets[0], operator.ExplainedTarget{Service: "feed", Weight: 3})
	is.Equal([]any{x.Candidates[0].Endpoint, x.Candidates[0].Likelihood}, []any{"i-1", 1.0})
	is.Equal([]any{x.FailureDomains[0].Name, x.FailureDomains[0].IsOwn}, []any{"attiki-2", false})

	out, code := f.run("explain 198.18.0.1:444 --balancer BALANCER")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "(an example; --from gives another)"))
	is.True(strings.Contains(out, "decision: reset, no_route\n"))
}
