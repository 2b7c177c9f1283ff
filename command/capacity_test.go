package command_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"cornellb/command"
)

const (
	committedSlopes = "../docs/capacity/slopes.yaml"
	committedPage   = "../docs/CAPACITY.md"
)

// TestCapacityPage guards against a page whose tables differ from those computed from the committed slopes: a figure
// was edited by hand, or the slopes were measured again without an update of the page.
func TestCapacityPage(t *testing.T) {
	is := is.New(t)
	want, err := os.ReadFile(committedPage)
	is.NoErr(err)
	copied := filepath.Join(t.TempDir(), "page.md")
	is.NoErr(os.WriteFile(copied, want, 0o644))
	var out bytes.Buffer
	is.Equal(command.Execute([]string{"capacity", "--slopes", committedSlopes, "--page", copied}, &out, &out), 0)
	got, err := os.ReadFile(copied)
	is.NoErr(err)
	is.Equal(string(got), string(want))
	out.Reset()
	is.Equal(command.Execute([]string{"capacity", "--slopes", committedSlopes, "--markdown"}, &out, &out), 0)
	for line := range strings.Lines(out.String()) { // every printed table row is on the page
		if strings.HasPrefix(line, "|") && !strings.Contains(string(want), line) {
			t.Errorf("the page lacks %q", line)
		}
	}
}

// TestCapacityPlot guards against a plot that cannot be drawn, for example because of a value of 0 on a logarithmic
// axis.
func TestCapacityPlot(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "fleet.svg")
	var out bytes.Buffer
	is.Equal(command.Execute([]string{"capacity", "--slopes", committedSlopes, "--plot", file}, &out, &out), 0)
	data, err := os.ReadFile(file)
	is.NoErr(err)
	is.True(bytes.Contains(data, []byte("<svg")))
}

// TestCapacityFaults guards against figures that are computed from faulty input.
func TestCapacityFaults(t *testing.T) {
	data, err := os.ReadFile(committedSlopes)
	is.New(t).NoErr(err)
	for name, test := range map[string]struct {
		slopes  string
		arg     string
		message string
	}{
		"no balancers":    {string(data), "--balancers=0", "balancers must be positive and finite"},
		"not a number":    {string(data), "--flows=NaN", "flows must be positive and finite"},
		"missing slope":   {strings.Replace(string(data), "name: layout_time", "name: other", 1), "", "layout_time: is missing"},
		"duplicate slope": {strings.Replace(string(data), "name: layout_time", "name: shards", 1), "", "shards: is defined more than once"},
		"unknown growth":  {strings.Replace(string(data), "growth: linear", "growth: fast", 1), "", `unknown growth "fast"`},
		"no seed":         {strings.Replace(string(data), `seed: "1"`, `seed: ""`, 1), "", "seed, version or date is missing"},
		"few sizes":       {"slopes: [{name: x, points: [{size: 1}]}]", "", "got 1 sizes, want at least 3"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "slopes.yaml")
			is.NoErr(os.WriteFile(file, []byte(test.slopes), 0o644))
			args := []string{"capacity", "--slopes", file}
			if test.arg != "" {
				args = append(args, test.arg)
			}
			var out bytes.Buffer
			is.Equal(command.Execute(args, &out, &out), 2)
			is.True(strings.Contains(out.String(), test.message))
		})
	}
}
