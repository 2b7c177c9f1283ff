package capacity

import (
	"fmt"
	"math"
	"strconv"
	"strings"
)

// Verdicts.
const (
	within = "within"
	over   = "over"
)

// Figure is one computed value.
type Figure struct {
	Value        float64
	Extrapolated bool
	Noisy        bool
}

// figure computes a value for a fleet.
func (s *Slopes) figure(f Fleet, value func(m *model) float64) Figure {
	m := &model{Fleet: f, s: s}
	v := value(m)
	return Figure{Value: v, Extrapolated: m.extrapolated, Noisy: m.noisy}
}

func (g Figure) String() string {
	text := number(g.Value)
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
		return over
	}
	return within
}

// number writes a value with three significant digits and separators.
func number(v float64) string {
	if v == 0 {
		return "0"
	}
	if math.Abs(v) < 100 {
		return strconv.FormatFloat(v, 'g', 3, 64)
	}
	digits := int(math.Floor(math.Log10(math.Abs(v)))) - 2
	unit := math.Pow(10, float64(digits))
	return separated(strconv.FormatFloat(math.Round(v/unit)*unit, 'f', 0, 64))
}

// exact writes a budget without rounding.
func exact(v float64) string {
	if v < 100 {
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return separated(strconv.FormatFloat(v, 'f', -1, 64))
}

func separated(text string) string {
	for i := len(text) - 3; i > 0 && text[i-1] != '-'; i -= 3 {
		text = text[:i] + "," + text[i:]
	}
	return text
}

// largestFactor bounds the search for the size at which a budget ends.
const largestFactor = 4

// carriesUpTo returns the number of balancers up to which a row stays within its budget when the whole fleet shrinks or
// grows in proportion.
func (s *Slopes) carriesUpTo(f Fleet, r *Row) string {
	fits := func(factor float64) bool { return s.figure(f.Scaled(factor), r.value).Value <= r.Budget }
	if fits(largestFactor) {
		return "over " + number(largestFactor*f.Balancers)
	}
	low, high := 0.0, float64(largestFactor)
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
	return number(low * f.Balancers)
}

// Section is one generated table of the page.
type Section struct {
	Name string
	Text string
}

// Sections returns the tables of a fleet in the order of the page.
func (s *Slopes) Sections(f Fleet) []Section {
	return []Section{
		{"fleet", f.markdown()}, {"roles", s.rolesMarkdown(f)}, {"moments", s.momentsMarkdown(f)},
		{"slopes", s.slopesMarkdown()},
	}
}

func (f Fleet) markdown() string {
	return markdownTable([]string{"size", "value"}, [][]string{
		{"balancers", number(f.Balancers)}, {"endpoints", number(f.Endpoints)},
		{"service addresses, one pool each", number(f.Addresses)}, {"open flows", number(f.Flows)},
		{"new flows a second", number(f.NewFlows)}, {"regions", number(f.Regions)}, {"failure domains", number(f.Domains)},
		{"changes a day", number(f.Changes)}, {"hosts that fail in a day", number(f.Failed)},
		{"hosts restarted or replaced in a day", number(f.Restarted)},
		{"caller packets of a flow (assumption)", number(f.PacketsPerFlow)},
	})
}

func (s *Slopes) rolesMarkdown(f Fleet) string {
	var lines [][]string
	for i := range rows {
		r := &rows[i]
		g := s.figure(f, r.value)
		budget, limit := "-", "-"
		if r.Budget > 0 {
			budget, limit = exact(r.Budget), s.carriesUpTo(f, r)
		}
		lines = append(lines, []string{
			r.Role, r.What, g.String(), r.Unit, budget, verdict(g.Value, r.Budget), limit, r.Mechanism,
		})
	}
	return markdownTable([]string{
		"role", "quantity", "at this size", "unit", "budget", "verdict", "within up to (balancers)", "mechanism",
	}, lines)
}

func (s *Slopes) momentsMarkdown(f Fleet) string {
	var lines [][]string
	for i := range moments {
		x := &moments[i]
		g := s.figure(f, x.value)
		limit := "-"
		if x.Limit > 0 {
			limit = exact(x.Limit)
		}
		lines = append(lines, []string{x.Moment, x.What, g.String(), x.Unit, limit, verdict(g.Value, x.Limit), x.Where})
	}
	return markdownTable([]string{"moment", "quantity", "value", "unit", "limit", "verdict", "what waits where"}, lines)
}

func (s *Slopes) slopesMarkdown() string {
	var lines [][]string
	for _, x := range s.Slopes {
		var points []string
		for _, p := range x.Points {
			points = append(points, number(p.Size)+": "+number(p.Value))
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

// Marks of a generated table in the page.
func begin(name string) string { return fmt.Sprintf("<!-- begin capacity %s -->\n", name) }
func end(name string) string   { return fmt.Sprintf("<!-- end capacity %s -->\n", name) }

// PageError reports a page without the marks of a table.
type PageError struct {
	Section string
}

func (e *PageError) Error() string {
	return fmt.Sprintf("the page has no marks of table %s", e.Section)
}

// Update replaces the tables of a page. It returns a *PageError for missing marks.
func (s *Slopes) Update(page string, f Fleet) (string, error) {
	for _, x := range s.Sections(f) {
		from := strings.Index(page, begin(x.Name))
		to := strings.Index(page, end(x.Name))
		if from < 0 || to < from {
			return "", &PageError{Section: x.Name}
		}
		page = page[:from] + begin(x.Name) + "\n" + x.Text + "\n" + page[to:]
	}
	return page, nil
}

// Markdown returns all tables with headings.
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

// Curve is one series of the plot: values as shares of their budget over the number of balancers.
type Curve struct {
	Name      string
	Balancers []float64
	Shares    []float64
}

// Curves returns control bytes, memory, processor and time in force against the size of the fleet.
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
			x.Shares = append(x.Shares, s.figure(size, c.value).Value/c.budget)
		}
		curves = append(curves, x)
	}
	return curves
}
