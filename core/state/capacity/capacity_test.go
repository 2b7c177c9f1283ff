package capacity

import (
	"math"
	"testing"

	"github.com/matryer/is"
)

// TestAt guards against interpolation or extrapolation that does not follow the growth of the slope, which the page
// states.
func TestAt(t *testing.T) {
	points := []Point{{Size: 10, Value: 1}, {Size: 100, Value: 2}, {Size: 1000, Value: 4}}
	for name, test := range map[string]struct {
		growth Growth
		size   float64
		want   float64
	}{
		"below":              {GrowthLinear, 1, 1},
		"measured":           {GrowthLinear, 100, 2},
		"between":            {GrowthLinear, 55, 1.5},
		"linear beyond":      {GrowthLinear, 1900, 6},
		"logarithmic beyond": {GrowthLog, 10_000, 6},
		"between logarithms": {GrowthLog, math.Sqrt(1000), 1.5},
		"flat beyond":        {GrowthFlat, 1e6, 4},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Slope{Points: points, Growth: test.growth}
			is.New(t).True(math.Abs(s.At(test.size)-test.want) < 1e-9)
		})
	}
}

// TestMaxBalancersWithinBudget guards against a reported fleet size other than the one at which the value exceeds its
// budget.
func TestMaxBalancersWithinBudget(t *testing.T) {
	is := is.New(t)
	s, f := &Slopes{}, TwoYearForecast()
	maxBalancers := func(budget float64) string {
		return s.maxBalancersWithinBudget(f, &Row{Budget: budget, value: func(m *model) float64 { return m.Balancers }})
	}
	is.Equal(maxBalancers(3000), "3,000")
	is.Equal(maxBalancers(1e9), "over 48,000")
	is.Equal(maxBalancers(0.5), "none")
}

// TestFormatRounded guards against figures that are printed with the wrong magnitude or rounding.
func TestFormatRounded(t *testing.T) {
	for want, v := range map[string]float64{
		"0": 0, "0.0123": 0.01234, "12.3": 12.34, "123": 123.4, "1,230": 1234, "190,000,000": 190e6, "-1,230": -1234,
		"1,000": 999.9,
	} {
		is.New(t).Equal(formatRounded(v), want)
	}
}
