package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Verdicts on a value with a budget, as printed in the report.
const (
	verdictWithin = "within"
	verdictOver   = "over"
)

// Figure is one computed value. String marks extrapolated values with (e) and noisy ones with (n).
type Figure struct {
	Value        float64
	Extrapolated bool
	Noisy        bool
}

// evaluate computes a value for a fleet and records whether the slopes it used were extrapolated or noisy.
func (s *Slopes) evaluate(f Fleet, value func(m *model) float64) Figure {
	m := &model{Fleet: f, slopes: s}
	v := value(m)
	return Figure{Value: v, Extrapolated: m.extrapolated, Noisy: m.noisy}
}

func (g Figure) String() string {
	text := formatRounded(g.Value)
	if g.Extrapolated {
		text += " (e)"
	}
	if g.Noisy {
		text += " (n)"
	}
	return text
}

func verdict(value, budget float64) string {
	switch {
	case budget == 0:
		return "-"
	case value > budget:
		return verdictOver
	}
	return verdictWithin
}

// formatRounded formats a value with three significant digits and thousands separators.
func formatRounded(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) < 100 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	digits := int(math.Floor(math.Log10(math.Abs(v)))) - 2
	unit := math.Pow(10, float64(digits))
	return withThousandsSeparators(strconv.FormatFloat(math.Round(v/unit)*unit, 'f', 0, 64))
}

// formatExact formats a budget without rounding.
func formatExact(v float64) string {
	if v < 100 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return withThousandsSeparators(strconv.FormatFloat(v, 'f', -1, 64))
}

func withThousandsSeparators(text string) string {
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// maxScaleFactor is the largest multiple of the fleet that maxBalancersWithinBudget tries.
const maxScaleFactor = 4

// maxBalancersWithinBudget returns the number of balancers up to which a row stays within its budget if the whole fleet
// is scaled in proportion. It returns "over" and the largest size tried if the row is within its budget there, and
// "none" if not even one balancer fits.
func (s *Slopes) maxBalancersWithinBudget(f Fleet, r *Row) string {
	fits := func(factor float64) bool { return s.evaluate(f.Scaled(factor), r.value).Value <= r.Budget }
	if fits(maxScaleFactor) {
		return "over " + formatRounded(maxScaleFactor*f.Balancers)
	}
	low, high := 0.0, float64(maxScaleFactor)
	for range 40 {
		if middle := (low + high) / 2; fits(middle) {
			low = middle
		} else {
			high = middle
		}
	}
	if low*f.Balancers < 1 {
		return "none"
	}
	return formatRounded(low * f.Balancers)
}

// Section is one generated table of docs/CAPACITY.md.
type Section struct {
	Name string
	Text string
}

// Sections returns the tables for a fleet in the order in which Markdown prints them.
func (s *Slopes) Sections(f Fleet) []Section {
	return []Section{
		{"fleet", f.markdown()}, {"roles", s.rolesMarkdown(f)}, {"moments", s.scenariosMarkdown(f)},
		{"slopes", s.slopesMarkdown()},
	}
}

func (f Fleet) markdown() string {
	return markdownTable([]string{"size", "value"}, [][]string{
		{"balancers", formatRounded(f.Balancers)}, {"endpoints", formatRounded(f.Endpoints)},
		{"service addresses, one pool each", formatRounded(f.Addresses)}, {"open flows", formatRounded(f.Flows)},
		{"new flows a second", formatRounded(f.NewFlows)}, {"regions", formatRounded(f.Regions)},
		{"failure domains", formatRounded(f.Domains)},
		{"changes a day", formatRounded(f.Changes)}, {"hosts that fail in a day", formatRounded(f.Failed)},
		{"hosts restarted or replaced in a day", formatRounded(f.Restarted)},
		{"caller packets of a flow (assumption)", formatRounded(f.PacketsPerFlow)},
	})
}

func (s *Slopes) rolesMarkdown(f Fleet) string {
	var lines [][]string
	for i := range roleRows {
		r := &roleRows[i]
		g := s.evaluate(f, r.value)
		budget, limit := "-", "-"
		if r.Budget > 0 {
			budget, limit = formatExact(r.Budget), s.maxBalancersWithinBudget(f, r)
		}
		lines = append(lines, []string{
			r.Role, r.Quantity, g.String(), r.Unit, budget, verdict(g.Value, r.Budget), limit, r.Mechanism,
		})
	}
	return markdownTable([]string{
		"role", "quantity", "at this size", "unit", "budget", "verdict", "within up to (balancers)", "mechanism",
	}, lines)
}

func (s *Slopes) scenariosMarkdown(f Fleet) string {
	var lines [][]string
	for i := range scenarioFigures {
		x := &scenarioFigures[i]
		g := s.evaluate(f, x.value)
		limit := "-"
		if x.Limit > 0 {
			limit = formatExact(x.Limit)
		}
		lines = append(lines, []string{
			x.Scenario, x.Quantity, g.String(), x.Unit, limit, verdict(g.Value, x.Limit), x.Mechanism,
		})
	}
	return markdownTable([]string{"moment", "quantity", "value", "unit", "limit", "verdict", "what waits where"}, lines)
}

func (s *Slopes) slopesMarkdown() string {
	var lines [][]string
	for _, x := range s.Slopes {
		var points []string
		for _, p := range x.Points {
			points = append(points, formatRounded(p.Size)+": "+formatRounded(p.Value))
		}
		lines = append(lines, []string{
			x.Title, x.Unit, x.Over, strings.Join(points, "; "), string(x.Growth), x.Quality(), x.Version,
		})
	}
	return markdownTable([]string{"slope", "unit", "over", "measured", "beyond", "runs", "version"}, lines)
}

func markdownTable(header []string, lines [][]string) string {
	var b strings.Builder
	write := func(cells []string) { fmt.Fprintf(&b, "| %s |\n", strings.Join(cells, " | ")) }
	write(header)
	rule := make([]string, len(header))
	for i := range rule {
		rule[i] = "---"
	}
	write(rule)
	for _, l := range lines {
		write(l)
	}
	return b.String()
}

// Markers around a generated table in the page.
func beginMarker(name string) string { return fmt.Sprintf("<!-- begin capacity %s -->\n", name) }
func endMarker(name string) string   { return fmt.Sprintf("<!-- end capacity %s -->\n", name) }

// PageError reports a page without the begin and end markers of a table.
type PageError struct {
	Section string
}

func (e *PageError) Error() string {
	return fmt.Sprintf("the page has no begin and end markers for the table %s", e.Section)
}

// Update replaces the generated tables of a page. It returns a *PageError if the markers of a table are missing.
func (s *Slopes) Update(page string, f Fleet) (string, error) {
	for _, x := range s.Sections(f) {
		from := strings.Index(page, beginMarker(x.Name))
		to := strings.Index(page, endMarker(x.Name))
		if from < 0 || to < from {
			return "", &PageError{Section: x.Name}
		}
		page = page[:from] + beginMarker(x.Name) + "\n" + x.Text + "\n" + page[to:]
	}
	return page, nil
}

// Markdown returns all tables, each with a heading.
func (s *Slopes) Markdown(f Fleet) string {
	var b strings.Builder
	for i, x := range s.Sections(f) {
		if i > 0 {
			b.WriteString("\n")
		}
		fmt.Fprintf(&b, "## %s\n\n%s", x.Name, x.Text)
	}
	return b.String()
}

// Curve is one series of the plot: the share of a budget that is used, by the number of balancers.
type Curve struct {
	Name      string
	Balancers []float64
	Shares    []float64
}

// Curves returns the series of the plot: control bytes, memory, processor and time until a change is in force, for
// scaled sizes of the fleet.
func (s *Slopes) Curves(f Fleet) []Curve {
	var curves []Curve
	for _, c := range []struct {
		name   string
		budget float64
		value  func(m *model) float64
	}{
		{"control bytes a second", BudgetBytes, (*model).controlBytes},
		{"control memory", BudgetMemory, (*model).controlMemory},
		{"control processor", BudgetCore, (*model).controlCore},
		{"time until a change is in force", BudgetInForce, (*model).inForce},
	} {
		x := Curve{Name: c.name}
		for factor := 1.0 / 1024; factor <= 2; factor *= math.Sqrt2 {
			size := f.Scaled(factor)
			x.Balancers = append(x.Balancers, size.Balancers)
			x.Shares = append(x.Shares, s.evaluate(size, c.value).Value/c.budget)
		}
		curves = append(curves, x)
	}
	return curves
}
