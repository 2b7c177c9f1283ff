// Command slopes runs the benchmarks that measure the slopes of docs/CAPACITY.md and writes them to a file.
//
// # Usage
//
//	go run ./tools/slopes -out docs/capacity/slopes.yaml
//
// Counts are measured once, since their seeds are fixed; times are the lowest of several runs, since other work on the
// machine only makes them longer. The variable definitions lists every slope with its benchmark.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gopkg.in/yaml.v3"

	"cornellb/core/state/capacity"
)

// Number of runs of a benchmark for each kind of slope, and the -benchtime of a timed run.
const (
	countRuns = 1
	timeRuns  = 3
	benchTime = "100ms"
)

func main() {
	out := flag.String("out", "docs/capacity/slopes.yaml", "file to write")
	only := flag.String("only", "", "benchmark to run again; the other slopes of the file are kept")
	flag.Parse()
	if err := run(*out, *only); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func run(out, only string) error {
	version, err := exec.Command("git", "describe", "--always", "--dirty").Output()
	if err != nil {
		return fmt.Errorf("git describe: %w", err)
	}
	if err := os.MkdirAll(filepath.Dir(out), 0o755); err != nil { // before the long run of benchmarks, not after it
		return err
	}
	results := make(map[string]measured)
	kept, err := keptSlopes(out, only)
	if err != nil {
		return err
	}
	file := &capacity.Slopes{}
	for _, d := range definitions {
		if only != "" && !strings.HasPrefix(d.pattern, only+"/") {
			file.Slopes = append(file.Slopes, kept[d.name])
			continue
		}
		command := d.command()
		if _, found := results[command]; !found {
			fmt.Fprintln(os.Stderr, command)
			if results[command], err = measure(command); err != nil {
				return err
			}
		}
		s, err := d.slope(results[command])
		if err != nil {
			return err
		}
		s.Command, s.Version, s.Date = command, strings.TrimSpace(string(version)), time.Now().UTC().Format(time.DateOnly)
		file.Slopes = append(file.Slopes, s)
	}
	data, err := yaml.Marshal(file)
	if err != nil {
		return err
	}
	return os.WriteFile(out, data, 0o644)
}

// keptSlopes returns the slopes of the file by name, or nil if all benchmarks are run again.
func keptSlopes(out, only string) (map[string]*capacity.Slope, error) {
	if only == "" {
		return nil, nil
	}
	data, err := os.ReadFile(out)
	if err != nil {
		return nil, err
	}
	file, err := capacity.Load(data)
	if err != nil {
		return nil, err
	}
	kept := make(map[string]*capacity.Slope)
	for _, s := range file.Slopes {
		kept[s.Name] = s
	}
	return kept, nil
}

func measure(command string) (measured, error) {
	words := strings.Fields(strings.ReplaceAll(command, "'", ""))
	data, err := exec.Command(words[0], words[1:]...).CombinedOutput()
	if err != nil {
		return nil, fmt.Errorf("%s: %w\n%s", command, err, data)
	}
	return parseBenchmarks(string(data))
}

// definition describes a slope and how it is measured: path is the folder of the package, pattern the name of the
// benchmark with {} for the size, metric the unit in its output, and seed the one that the benchmark uses. sizeUnit
// says what the sizes count.
type definition struct {
	name, title, unit, sizeUnit string
	kind                        capacity.Kind
	growth                      capacity.Growth
	path, pattern, metric       string
	seed                        string
}

func (d *definition) command() string {
	top, _, _ := strings.Cut(d.pattern, "/")
	span, runs := "1x", countRuns
	if d.kind == capacity.KindTime {
		span, runs = benchTime, timeRuns
	}
	return fmt.Sprintf("go test -run '^$' -bench '^%s$' -benchtime=%s -count=%d ./%s", top, span, runs, d.path)
}

func (d *definition) slope(results measured) (*capacity.Slope, error) {
	s := &capacity.Slope{
		Name: d.name, Title: d.title, Unit: d.unit, Over: d.sizeUnit, Kind: d.kind, Growth: d.growth, Seed: d.seed,
	}
	before, after, _ := strings.Cut(d.pattern, "{}")
	for key, values := range results {
		if key.metric != d.metric || !strings.HasPrefix(key.benchmark, before) || !strings.HasSuffix(key.benchmark, after) {
			continue
		}
		size, isSize := parseSize(key.benchmark[len(before) : len(key.benchmark)-len(after)])
		if !isSize {
			continue
		}
		s.Points = append(s.Points, capacity.Point{Size: size, Value: slices.Min(values), Highest: slices.Max(values)})
		s.Runs = len(values)
	}
	if len(s.Points) == 0 {
		return nil, fmt.Errorf("slope %s: no output of %s with metric %s", d.name, d.pattern, d.metric)
	}
	slices.SortFunc(s.Points, func(a, b capacity.Point) int { return int(a.Size - b.Size) })
	return s, nil
}
