package docs_test

import (
	"bytes"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/command"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/io/protocol/platform"
	"cornellb/io/protocol/settings"
	"cornellb/io/transport/operator"
)

// TestSettingsTable guards against settings that are missing from the page, that the code no longer has, or whose
// default on the page is wrong.
func TestSettingsTable(t *testing.T) {
	is := is.New(t)
	var want []string
	for _, d := range settings.Descriptions() {
		value := "none"
		switch {
		case d.IsRequired:
			value = "required"
		case d.Default != "":
			value = "`" + d.Default + "`"
		}
		want = append(want, fmt.Sprintf("`%s` | %s", d.Name, value))
	}
	var got []string
	for _, cells := range tableUnder(t, "OPERATIONS.md", "| setting |") {
		is.Equal(len(cells), 4)                    // setting, default, unit, meaning
		is.True(cells[2] != "" && cells[3] != "")  // unit and meaning
		got = append(got, cells[0]+" | "+cells[1]) // in the order of the code
	}
	is.Equal(got, want)
}

// TestMetricsTable guards against metrics that are missing from the page, that the code no longer has, or that are
// exported under a different name.
func TestMetricsTable(t *testing.T) {
	is := is.New(t)
	m, err := operator.NewMetrics("entry-1", "attiki-1")
	is.NoErr(err)
	counters, histograms, gauges := metricConstants(t)
	for _, c := range counters {
		m.Count(metric.Counter(c), "any", 1)
	}
	for _, h := range histograms {
		m.Observe(metric.Histogram(h), "any", packet.ClassNormal, time.Second)
	}
	for _, g := range gauges {
		is.NoErr(m.Gauge(metric.Gauge(g), func() int64 { return 1 }))
	}
	families, err := m.Registry.Gather()
	is.NoErr(err)
	exported := map[string]bool{}
	for _, f := range families {
		if strings.HasPrefix(f.GetName(), "cornellb_") {
			exported[f.GetName()] = true
		}
	}
	is.Equal(len(exported), len(counters)+len(histograms)+len(gauges))
	listed := map[string]bool{}
	for _, cells := range tableUnder(t, "OPERATIONS.md", "| metric |") {
		is.Equal(len(cells), 4) // metric, label, meaning, what to do
		listed[strings.Trim(cells[0], "`")] = true
	}
	is.Equal(slices.Sorted(maps.Keys(listed)), slices.Sorted(maps.Keys(exported)))
	page, err := os.ReadFile("OPERATIONS.md")
	is.NoErr(err)
	for _, name := range regexp.MustCompile(`\bcornellb_[a-z_]+`).FindAllString(string(page), -1) {
		is.True(exported[name]) // the page, also in its alarm rules, names only metrics that exist
	}
}

// metricConstants returns the metric names in the constants of core/state/metric, by type.
func metricConstants(t *testing.T) (counters, histograms, gauges []string) {
	t.Helper()
	is := is.New(t)
	f, err := parser.ParseFile(token.NewFileSet(), "../core/state/metric/metric.go", nil, 0)
	is.NoErr(err)
	ast.Inspect(f, func(n ast.Node) bool {
		v, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		value, err := strconv.Unquote(v.Values[0].(*ast.BasicLit).Value)
		is.NoErr(err)
		switch v.Type.(*ast.Ident).Name {
		case "Counter":
			counters = append(counters, value)
		case "Histogram":
			histograms = append(histograms, value)
		case "Gauge":
			gauges = append(gauges, value)
		}
		return true
	})
	is.True(len(counters) > 0 && len(histograms) > 0 && len(gauges) > 0)
	return counters, histograms, gauges
}

// TestReasonTable guards against reasons that callers may receive but the page does not explain.
func TestReasonTable(t *testing.T) {
	is := is.New(t)
	var want, got []string
	for r := packet.ReasonNone + 1; r < packet.ReasonCount; r++ {
		want = append(want, "`"+r.String()+"`")
	}
	for _, cells := range tableUnder(t, "OPERATIONS.md", "| reason |") {
		got = append(got, cells[0])
	}
	is.Equal(got, want)
}

// tableUnder returns the cells of each row of the table whose header row begins with the given text.
func tableUnder(t *testing.T, page, heading string) [][]string {
	t.Helper()
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(text), "\n"+heading)
	if !found {
		t.Fatalf("%s has no table whose header row begins with %s", page, heading)
	}
	var rows [][]string
	for i, line := range strings.Split(rest, "\n") {
		if i > 0 && !strings.HasPrefix(line, "|") {
			break
		}
		if i < 2 { // the rest of the header row, and the separator row
			continue
		}
		cells := strings.Split(strings.Trim(line, "| "), " | ")
		for j := range cells {
			cells[j] = strings.TrimSpace(cells[j])
		}
		rows = append(rows, cells)
	}
	return rows
}

// TestExamples guards against examples that cornellb refuses, and against examples whose failure domains, slots or
// endpoints differ from the deployments that they stand for.
func TestExamples(t *testing.T) {
	for _, file := range exampleFiles(t) {
		t.Run(file, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			is.Equal(command.Execute([]string{"check", file}, &out, &out), 0)
			kind := strings.TrimSuffix(filepath.Base(file), ".yaml")
			is.Equal(out.String(), fmt.Sprintf("%s: %s ok\n", file, kind))
		})
	}
	deployments := map[string]struct {
		domains, slots int
		endpoints      map[string]int
	}{
		"card-venture": {3, 3, map[string]int{"reminders": 14, "rendering": 4}},
		"authority":    {4, 2, map[string]int{"chamber": 14, "certificate": 4}},
	}
	for name, want := range deployments {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			data, err := os.ReadFile("../examples/" + name + "/tables.yaml")
			is.NoErr(err)
			tables, err := platform.DecodeTables(data)
			is.NoErr(err)
			domains, endpoints := map[string]bool{}, map[string]int{}
			for _, p := range tables.Pools {
				endpoints[p.Service] = len(p.Endpoints)
				for _, e := range p.Endpoints {
					domains[e.FailureDomain] = true
					is.Equal(e.Slots, want.slots)
					is.Equal(e.Connections, 2000)
				}
			}
			is.Equal(endpoints, want.endpoints)
			is.Equal(len(domains), want.domains)
			s, err := settings.Load("../examples/" + name + "/settings.yaml")
			is.NoErr(err)
			is.True(domains[s.FailureDomain])
		})
	}
}

var pageLink = regexp.MustCompile(`\]\(([^)#:]+)\)`)

// TestLinks guards against links to files that were moved or removed.
func TestLinks(t *testing.T) {
	is := is.New(t)
	pages, err := filepath.Glob("*.md")
	is.NoErr(err)
	for _, page := range append(pages, "../README.md", "../examples/README.md") {
		text, err := os.ReadFile(page)
		is.NoErr(err)
		for _, link := range pageLink.FindAllStringSubmatch(string(text), -1) {
			target := filepath.Join(filepath.Dir(page), link[1])
			if _, err := os.Stat(target); err != nil {
				t.Errorf("%s links to %s: %v", page, link[1], err)
			}
		}
	}
}
