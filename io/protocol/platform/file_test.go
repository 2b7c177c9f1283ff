package platform_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
)

const validFile = `version: 3
routes:
  - name: chamber
    address: 10.0.0.1:80
    service: chamber
    pool: chamber
pools:
  - name: chamber
    service: chamber
    endpoints:
      - address: 10.1.0.1:9000
        failure_domain: karachi-1
        slots: 2
        connections: 2000
      - address: "[fd00::1]:9000"
        failure_domain: karachi-2
        slots: 2
        connections: 2000
        leaving: true
`

// TestFileRoundTrip guards against a tables file that the apply command reads differently from what the get command
// wrote.
func TestFileRoundTrip(t *testing.T) {
	for name, file := range map[string]string{"filled": validFile, "empty": "version: 0\nroutes: []\npools: []\n"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			first, err := platform.DecodeTables([]byte(file))
			is.NoErr(err)
			encoded, err := platform.EncodeTables(first)
			is.NoErr(err)
			second, err := platform.DecodeTables(encoded)
			is.NoErr(err)
			is.Equal(second, first)
		})
	}
}

// TestFileFaults guards against accepting a file that is incomplete or that YAML interprets differently from what the
// operator meant.
func TestFileFaults(t *testing.T) {
	cases := map[string]struct {
		old, new string
		want     []string
	}{
		"unknown field":        {"    pool: chamber\n", "    pool: chamber\n    wieght: 1\n", []string{"routes chamber wieght"}},
		"repeated field":       {"slots: 2\n", "slots: 2\n        slots: 3\n", []string{"pools chamber endpoints[0].slots"}},
		"octal":                {"slots: 2\n", "slots: 010\n", []string{"pools chamber endpoints[0].slots"}},
		"fraction":             {"slots: 2\n", "slots: 2.0\n", []string{"pools chamber endpoints[0].slots"}},
		"quoted number":        {"slots: 2\n", "slots: \"2\"\n", []string{"pools chamber endpoints[0].slots"}},
		"negative":             {"slots: 2\n", "slots: -2\n", []string{"pools chamber endpoints[0].slots"}},
		"beyond 64 bits":       {"version: 3", "version: 99999999999999999999", []string{"file  version"}},
		"yes":                  {"leaving: true", "leaving: yes", []string{"pools chamber endpoints[1].leaving"}},
		"padded port":          {"10.0.0.1:80", "10.0.0.1:0080", []string{"routes chamber address"}},
		"padded octet":         {"10.0.0.1:80", "10.0.0.01:80", []string{"routes chamber address"}},
		"host name":            {"10.0.0.1:80", "localhost:80", []string{"routes chamber address"}},
		"long form of address": {"[fd00::1]", "[fd00:0::1]", []string{"pools chamber endpoints[1].address"}},
		"no version":           {"version: 3\n", "", []string{"file  version"}},
		"no pools":             {"pools:\n", "pool:\n", []string{"file  pool", "file  pools"}},
		"no endpoints":         {"    endpoints:\n", "    endpoint:\n", []string{"pools chamber endpoint", "pools chamber endpoints"}},
		"entries of a mapping": {"routes:\n  - name", "routes:\n    name", []string{"file  routes"}},
		"alias":                {"service: chamber\n    pool: chamber\n", "service: &a chamber\n    pool: *a\n", []string{"routes chamber pool"}},
		"two documents":        {"version: 3\n", "version: 3\n---\n", []string{"file  "}},
		"not YAML":             {"routes:\n", "routes: [\n", []string{"file  "}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(validFile, c.old))
			_, err := platform.DecodeTables([]byte(strings.Replace(validFile, c.old, c.new, 1)))
			is.Equal(faultLocations(err), c.want)
		})
	}
}

// faultLocations returns the table, the entry and the field of each fault.
func faultLocations(err error) []string {
	var invalid *table.ValidationError
	if !errors.As(err, &invalid) {
		return nil
	}
	var places []string
	for _, f := range invalid.Faults {
		places = append(places, fmt.Sprintf("%s %s %s", f.Table, f.Entry, f.Field))
	}
	return places
}
