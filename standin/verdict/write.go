package verdict

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"

	"cornellb/standin/caller"
)

// Write prints the summary table of the run, with the violations at its end.
func (v *Verdict) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(name, format string, values ...any) {
		fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("requests", "%d", v.Requests)
	row("answered", "%d", v.Answered)
	row("refused as not run", "%s", counts(v.NotRun))
	row("outcome unknown", "%s", counts(v.Unknown))
	row("flows opened", "%d", v.Flows)
	row("broken flows", "%d", v.BrokenFlows)
	row("feeds", "%d with %d items, longest pause %.2f s", v.Feeds.Opened, v.Feeds.Items, v.Feeds.LongestPause)
	for _, service := range slices.Sorted(maps.Keys(v.ServerImbalance)) {
		row("imbalance over backend servers, "+service, "%.3f", v.ServerImbalance[service])
	}
	row("imbalance over customers", "%.3f", v.CustomerImbalance)
	writeLatencies(row, "class", v.LatencyByClass)
	writeLatencies(row, "customer", v.LatencyByCustomer)
	row("violated checks", "%d", len(v.Violations))
	for _, x := range v.Violations {
		row("violated", "%s", x)
	}
	return t.Flush()
}

func writeLatencies(row func(string, string, ...any), kind string, m map[string]caller.Latency) {
	for _, name := range slices.Sorted(maps.Keys(m)) {
		l := m[name]
		row("latency, "+kind+" "+name, "p50 %.1f ms, p99 %.1f ms, %d answers", l.P50, l.P99, l.Count)
	}
}

// counts formats the total of the values, and in parentheses the values by reason.
func counts(m map[string]int) string {
	total := 0
	var parts []string
	for _, reason := range slices.Sorted(maps.Keys(m)) {
		total += m[reason]
		parts = append(parts, fmt.Sprintf("%s %d", reason, m[reason]))
	}
	if len(parts) == 0 {
		return "0"
	}
	return fmt.Sprintf("%d (%s)", total, strings.Join(parts, ", "))
}
