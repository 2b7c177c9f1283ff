package main

import (
	"testing"

	"github.com/matryer/is"

	"cornellb/core/state/capacity"
)

const output = `goos: linux
BenchmarkX/some/1000-10   	  5	  20.0 ns/op	  7 B/op
BenchmarkX/some/10-10     	  5	  10.0 ns/op	  7 B/op
BenchmarkX/some/1000-10   	  5	  15.5 ns/op	  7 B/op
BenchmarkX/other/10-10    	  5	  99.0 ns/op
PASS
`

// TestSlope guards against values that are assigned to the wrong size, variant or metric, and against lost runs.
func TestSlope(t *testing.T) {
	is := is.New(t)
	results, err := parseBenchmarks(output)
	is.NoErr(err)
	d := &definition{pattern: "BenchmarkX/some/{}", metric: "ns/op", kind: capacity.KindTime, path: "core/x"}
	s, err := d.slope(results)
	is.NoErr(err)
	is.Equal(s.Points, []capacity.Point{{Size: 10, Value: 10, Highest: 10}, {Size: 1000, Value: 15.5, Highest: 20}})
	is.Equal(d.command(), "go test -run '^$' -bench '^BenchmarkX$' -benchtime=100ms -count=3 ./core/x")
	_, err = (&definition{name: "y", pattern: "BenchmarkY/{}", metric: "ns/op"}).slope(results)
	is.True(err != nil) // a renamed benchmark must be an error, not an empty slope
}
