package overload_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/overload"
)

func steady(load float64) func(int) float64 { return func(int) float64 { return load } }

func waves(ms int) float64 { return 0.8 * (1 + 0.55*math.Sin(2*math.Pi*float64(ms)/13_000)) }

// TestOverload guards against more urgent requests that are served worse than less urgent ones, or worse than without the
// part, and against slots that are idle while requests are refused: the served requests must not be worth less.
func TestOverload(t *testing.T) {
	tests := map[string]pattern{
		"burst of the less urgent kind":              {steady(0.6), [2]float64{1, 2.5}, 1, 20, 18},
		"burst of the more urgent kind":              {steady(0.6), [2]float64{5, 1}, 1, 20, 18},
		"burst of both kinds":                        {steady(0.6), [2]float64{2, 2}, 1, 20, 18},
		"third of the endpoints crashed or emptied":  {steady(0.75), [2]float64{1, 1}, 0, 20, 18},
		"third of the endpoints four times slower":   {steady(0.79), [2]float64{1, 1}, 0.25, 20, 18},
		"third four times slower, and burst of both": {steady(0.5), [2]float64{2, 2}, 0.25, 20, 18},
		"waves of 55 % around 80 % of the slots":     {waves, [2]float64{1, 1}, 1, 20, 65},
		"return of the refused clients":              {steady(0.6), [2]float64{2, 2}, 1, 500, 18},
	}
	for name, p := range tests {
		for _, n := range []int{8, 31, 63} {
			t.Run(fmt.Sprintf("%s, %d balancers", name, n), func(t *testing.T) {
				is := is.New(t)
				on, off := run(p, n, true), run(p, n, false)
				t.Logf("served %.3f and %.3f, without the part %.3f and %.3f, worth %+.2f %%",
					on.rate(0), on.rate(1), off.rate(0), off.rate(1), 100*(float64(on.worth())/float64(off.worth())-1))
				is.True(on.rate(0) >= on.rate(1) && on.rate(0) >= off.rate(0))
				is.True(on.worth() >= off.worth())
			})
		}
	}
}

// TestBelowSaturation guards against refused flows while there is room for all.
func TestBelowSaturation(t *testing.T) {
	for _, n := range []int{8, 31, 63} {
		for _, burst := range []float64{1, 1.3} {
			is.New(t).Equal(run(pattern{steady(0.8 / burst), [2]float64{burst, burst}, 1, 20, 18}, n, true).lost, [2]int{})
		}
	}
}

// TestRefusal guards against flows of an urgent priority that are refused before all less urgent ones are, or although
// they can be served in time.
func TestRefusal(t *testing.T) {
	const full, span, target = overload.FullUse, overload.Span, 600 * time.Millisecond
	tests := map[string]struct {
		priorities  []int
		utilization float64
		target      time.Duration
		want        []float64 // refusals, in the same order
	}{
		"room for all":             {[]int{0, 1, 2}, full, target, []float64{0, 0, 0}},
		"some of the least urgent": {[]int{2, 1, 2}, full + span/2, target, []float64{0.5, 0, 0.5}},
		"all of the least urgent":  {[]int{0, 1, 2}, full + span*1.25, target, []float64{0, 0.25, 1}},
		"one priority":             {[]int{1, 1}, 40, target, []float64{0, 0}},
		"no request in time":       {[]int{1, 2}, 30, target, []float64{0.5, 1}},
		"unknown target":           {[]int{1, 2}, 30, 0, []float64{0, 1}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			x := overload.New(c.priorities)
			const requests = 1e12 // without a standard error
			x.Update(time.Unix(0, 0), &overload.Load{Own: requests, Slots: requests / c.utilization, Response: 40 * time.Millisecond})
			for i, priority := range c.priorities {
				is.New(t).True(math.Abs(x.Refusal(priority, c.target)-c.want[i]) < 0.01)
			}
		})
	}
}
