package settings_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/io/protocol/settings"
)

const valid = `id: entry-1
failure_domain: attiki-1
caller_address: 192.0.2.1:7000
fabric_address: 192.0.2.200:7000
peer_address: 192.0.2.1:7001
operator_address: 192.0.2.1:9000
platform: http://192.0.2.250:7600
ticket_keys:
  - {id: 1, secret: 00112233445566778899aabbccddeeff}
`

// TestParse guards against invalid or unknown settings that are accepted, and against faults that are not reported or
// that are reported in a different order in each run.
func TestParse(t *testing.T) {
	tests := map[string]struct {
		edit func(string) string
		want []string
	}{
		"valid":          {add(""), nil},
		"weights zero":   {add("weights: {urgent: 0, normal: 0, bulk: 0}"), []string{"weights.urgent: must be above 0", "weights.normal: must be above 0", "weights.bulk: must be above 0"}},
		"not YAML":       {add("peers: ["), []string{"file: yaml: line 10: did not find expected node content"}},
		"given twice":    {add("id: entry-2"), []string{"file: yaml: unmarshal errors:\n  line 10: mapping key \"id\" already defined at line 1"}},
		"not a mapping":  {func(string) string { return "- a\n" }, []string{"file: yaml: unmarshal errors:\n  line 1: cannot unmarshal !!seq into map[string]interface {}"}},
		"empty file":     {func(string) string { return "" }, missing("id", "failure_domain", "caller_address", "fabric_address", "peer_address", "operator_address", "platform", "ticket_keys")},
		"unknown":        {add("prefer_local: true\nlog: {levle: info}\nanother: 1"), []string{"another: no such setting", "log.levle: no such setting", "prefer_local: no such setting"}},
		"unknown in key": {replace("{id: 1,", "{id: 1, use: true,"), []string{"ticket_keys[0].use: no such setting"}},
		"names":          {replace("entry-1", strings.Repeat("n", 65)), []string{"id: must have 1 to 64 bytes"}},
		"addresses": {
			func(s string) string {
				s = strings.ReplaceAll(s, "192.0.2.1:7000", "entry-1:7000")
				return strings.ReplaceAll(s, "192.0.2.200:7000", "192.0.2.200") + "peers: [192.0.2.2:7001, 192.0.2.3]\n"
			},
			[]string{
				`caller_address: "entry-1:7000" is not an IP address with a port`,
				`fabric_address: "192.0.2.200" is not an IP address with a port`,
				`peers[1]: "192.0.2.3" is not an IP address with a port`,
			},
		},
		"platform": {replace("http://192.0.2.250:7600", "192.0.2.250"), []string{`platform: "192.0.2.250" is not an http or https URL`}},
		"no key":   {replace("\n  - {id: 1, secret: 00112233445566778899aabbccddeeff}", " []"), []string{"ticket_keys: must have one or two keys, has 0"}},
		"keys": {add("  - {id: 1, secret: \"0011223344\"}"), []string{
			"ticket_keys[1].secret: must be at least 16 bytes in hexadecimal digits", "ticket_keys[1].id: same as ticket_keys[0].id",
		}},
		"ranges": {add("shard_endpoints: 1001\nqueue_limit: 0\nmax_flows: many\ncontrol_bytes_per_second: 1023"), []string{
			"shard_endpoints: must be a whole number in the range [1:1000]",
			"queue_limit: must be a whole number in the range [1:1000000]",
			"max_flows: must be a whole number in the range [1:10000000]",
			"control_bytes_per_second: must be a whole number in the range [1024:1048576]",
		}},
		"durations": {add("drain_limit: 30\nflow_idle: -1s\nslow_start_step: soon"), []string{
			"slow_start_step: must be a duration with a unit, such as 300ms or 30s",
			"drain_limit: must be a duration with a unit, such as 300ms or 30s",
			"flow_idle: must be above 0s",
		}},
		"options": {add("routing_mode: fast"), []string{`routing_mode: value "fast" is not defined in options "[owner hash least_connections]"`}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for range 10 { // the order of map iteration would differ between some of the calls
				_, err := settings.Parse("entry.yaml", []byte(test.edit(valid)))
				var faults *settings.FaultsError
				if !errors.As(err, &faults) {
					faults = &settings.FaultsError{}
				}
				var got []string
				for _, f := range faults.Faults {
					got = append(got, f.String())
				}
				is.Equal(got, test.want)
				is.True(err == nil || strings.HasPrefix(err.Error(), "entry.yaml: "))
			}
		})
	}
}

// TestDefaults guards against defaults that differ from those in the documentation, and against a group of settings
// that loses its defaults if only some of its settings are given.
func TestDefaults(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("entry.yaml", []byte(valid+"weights: {urgent: 8}\n"))
	is.NoErr(err)
	is.Equal(s.Weights, settings.Weights{Urgent: 8, Normal: 3, Bulk: 1})
	is.Equal(s.Log, settings.Log{Format: "json", Level: "info"})
	is.Equal([]time.Duration{s.FlowIdle, s.SlowStartStep, s.DrainLimit}, []time.Duration{5 * time.Minute, time.Second, 30 * time.Second})
	is.Equal([]int{s.ShardEndpoints, s.QueueLimit, s.MaxFlows, s.ControlBytes}, []int{32, 1024, 200000, 4096})
	is.Equal(s.RoutingMode, "owner")
}

func add(line string) func(string) string {
	return func(s string) string { return s + line + "\n" }
}

func replace(from, to string) func(string) string {
	return func(s string) string { return strings.ReplaceAll(s, from, to) }
}

func missing(names ...string) []string {
	for i, name := range names {
		names[i] = name + ": is missing"
	}
	return names
}
