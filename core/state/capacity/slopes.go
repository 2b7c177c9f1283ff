// Package capacity computes the resource use of each role in a fleet of a given size from measured slopes, and compares
// it with the budgets. A slope is a quantity, such as bytes or processor time, measured at several sizes.
//
// # Usage
//
// Load parses the slopes that `make capacity` measured. Markdown returns the report for a Fleet: ordinary load by role,
// load in failure scenarios (worst moments), and the fleet size up to which each role stays within its budget. Update
// inserts the same tables into a page, and Curves returns the series of the plot. The package itself measures nothing.
package capacity

import (
	"fmt"
	"math"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"
)

// Growth determines how a slope is extrapolated beyond the largest measured size.
type Growth string

// Kinds of growth. Between measured sizes, all of them interpolate.
const (
	GrowthFlat   Growth = "flat"        // constant, the value at the largest measured size
	GrowthLinear Growth = "linear"      // along the line through the points of the two largest sizes
	GrowthLog    Growth = "logarithmic" // the same, as a function of the logarithm of the size
)

// Kind is the kind of quantity that a slope measures, which determines how reliable its values are.
type Kind string

// Kinds of quantities. Counts do not depend on the load of the machine; times do, and are the minimum of several runs.
const (
	KindCount Kind = "count"
	KindTime  Kind = "time"
)

// Point is the result of the runs at one size.
type Point struct {
	Size    float64 `yaml:"size"`
	Value   float64 `yaml:"value"`   // the lowest of all runs
	Highest float64 `yaml:"highest"` // the highest of all runs
}

// Slope is one quantity measured at several sizes.
type Slope struct {
	Name    string  `yaml:"name"`
	Title   string  `yaml:"title"`
	Unit    string  `yaml:"unit"`
	Over    string  `yaml:"over"` // what is counted by the sizes, for example endpoints
	Kind    Kind    `yaml:"kind"`
	Growth  Growth  `yaml:"growth"`
	Points  []Point `yaml:"points"` // three or more, in order of size
	Runs    int     `yaml:"runs"`
	Command string  `yaml:"command"`
	Seed    string  `yaml:"seed"`
	Version string  `yaml:"version"`
	Date    string  `yaml:"date"`
}

// noisySpread is the difference between the runs at one size, as a share of the lowest, above which a slope is marked
// as noisy.
const noisySpread = 0.3

// Spread returns the largest difference between the runs at one size, as a share of the lowest value.
func (s *Slope) Spread() float64 {
	spread := 0.0
	for _, p := range s.Points {
		if p.Value != 0 {
			spread = max(spread, (p.Highest-p.Value)/math.Abs(p.Value))
		}
	}
	return spread
}

// Quality describes the number of runs and how much they differ.
func (s *Slope) Quality() string {
	switch {
	case s.Kind == KindCount && s.Runs < 2:
		return "one run of a fixed seed"
	case s.Spread() > noisySpread:
		return fmt.Sprintf("noisy: lowest of %d runs, which differ by up to %.0f %%", s.Runs, 100*s.Spread())
	case s.Spread() == 0:
		return fmt.Sprintf("%d equal runs", s.Runs)
	}
	return fmt.Sprintf("lowest of %d runs, which differ by up to %.0f %%", s.Runs, 100*s.Spread())
}

// At returns the value for a size: interpolated between measured sizes, extrapolated above the largest one according to
// the growth of the slope, and constant below the smallest one.
func (s *Slope) At(size float64) float64 {
	p := s.Points
	last := len(p) - 1
	switch {
	case size <= p[0].Size:
		return p[0].Value
	case size >= p[last].Size && s.Growth == GrowthFlat:
		return p[last].Value
	}
	i := 1
	for i < last && p[i].Size < size {
		i++
	}
	position := func(x float64) float64 {
		if s.Growth == GrowthLog {
			return math.Log(x)
		}
		return x
	}
	share := (position(size) - position(p[i-1].Size)) / (position(p[i].Size) - position(p[i-1].Size))
	return p[i-1].Value + share*(p[i].Value-p[i-1].Value)
}

// Slopes is the content of a file of slopes.
type Slopes struct {
	Slopes []*Slope `yaml:"slopes"`
	byName map[string]*Slope
}

// SlopeError reports a slope that is missing, duplicate or invalid.
type SlopeError struct {
	Name   string
	Reason string
}

func (e *SlopeError) Error() string { return fmt.Sprintf("slope %s: %s", e.Name, e.Reason) }

// Load parses and checks a file of slopes. It returns a *SlopeError for an invalid or duplicate slope, or if one
// of requiredSlopes is missing.
func Load(data []byte) (*Slopes, error) {
	s := &Slopes{byName: make(map[string]*Slope)}
	if err := yaml.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "read slopes")
	}
	for _, x := range s.Slopes {
		if err := x.check(); err != nil {
			return nil, err
		}
		if s.byName[x.Name] != nil {
			return nil, &SlopeError{Name: x.Name, Reason: "is defined more than once"}
		}
		s.byName[x.Name] = x
	}
	for _, name := range requiredSlopes {
		if s.byName[name] == nil {
			return nil, &SlopeError{Name: name, Reason: "is missing"}
		}
	}
	return s, nil
}

const minPoints = 3

func (s *Slope) check() error {
	if len(s.Points) < minPoints {
		return &SlopeError{Name: s.Name, Reason: fmt.Sprintf("got %d sizes, want at least %d", len(s.Points), minPoints)}
	}
	for i, p := range s.Points {
		if i > 0 && p.Size <= s.Points[i-1].Size || p.Highest < p.Value {
			return &SlopeError{Name: s.Name, Reason: "sizes or values are out of order"}
		}
	}
	if s.Growth != GrowthFlat && s.Growth != GrowthLinear && s.Growth != GrowthLog {
		return &SlopeError{Name: s.Name, Reason: fmt.Sprintf("unknown growth %q", s.Growth)}
	}
	for _, text := range []string{s.Unit, s.Command, s.Seed, s.Version, s.Date} {
		if text == "" {
			return &SlopeError{Name: s.Name, Reason: "unit, command, seed, version or date is missing"}
		}
	}
	return nil
}
