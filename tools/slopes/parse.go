package main

import (
	"fmt"
	"strconv"
	"strings"
)

// metricKey names one metric of one benchmark, whose name lacks the suffix with GOMAXPROCS.
type metricKey struct{ benchmark, metric string }

// measured holds the values of each metric, one for each run.
type measured map[metricKey][]float64

// parseBenchmarks reads the output of go test -bench.
func parseBenchmarks(output string) (measured, error) {
	results := make(measured)
	for line := range strings.Lines(output) {
		words := strings.Fields(line)
		if len(words) < 4 || !strings.HasPrefix(words[0], "Benchmark") {
			continue
		}
		name := words[0]
		if at := strings.LastIndex(name, "-"); at > 0 {
			name = name[:at]
		}
		for i := 2; i+1 < len(words); i += 2 {
			value, err := strconv.ParseFloat(words[i], 64)
			if err != nil {
				return nil, fmt.Errorf("benchmark output line %q: %w", line, err)
			}
			key := metricKey{name, words[i+1]}
			results[key] = append(results[key], value)
		}
	}
	return results, nil
}

func parseSize(text string) (float64, bool) {
	size, err := strconv.ParseFloat(text, 64)
	return size, err == nil
}
