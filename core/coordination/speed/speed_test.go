package speed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/speed"
)

var start = time.Unix(1_800_000_000, 0)

// TestSumLearnsAsFastAsOne guards against balancers that need longer to notice a slow endpoint the more of them share its
// requests: 2 s after it has become five times slower, the sum of their evidence shows less than half of the usual speed,
// also where each has seen one request in many seconds.
func TestSumLearnsAsFastAsOne(t *testing.T) {
	for _, balancers := range []int{1, 8, 21, 300} {
		t.Run(fmt.Sprint(balancers, " balancers"), func(t *testing.T) {
			is := is.New(t)
			random := rand.New(rand.NewPCG(1, 2))
			own := make([]speed.Evidence, balancers)
			now := start
			evidence := func() speed.Evidence {
				list := make([]speed.Evidence, balancers)
				for i, e := range own {
					e.Decay(now.Sub(e.At))
					list[i] = e
				}
				return speed.Sum(list)
			}
			run := func(d time.Duration, factor float64) float64 {
				for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
					x := factor * math.Exp(0.6*random.NormFloat64()-0.18)
					i := random.IntN(balancers)
					own[i].Decay(now.Sub(own[i].At))
					others := evidence().Samples - own[i].Samples
					own[i].Record(now, x, speed.Limit(balancers, own[i].Samples, others))
				}
				s, _ := speed.Of(evidence(), 0)
				return s
			}
			is.Equal(run(10*time.Second, 1), 1.0)
			is.True(run(2*time.Second, 5) < 0.5)
			is.True(run(3*time.Second, 1) > 0.8)
		})
	}
}

// TestOf guards against speeds outside of the limits and against endpoints that are judged by too few samples.
func TestOf(t *testing.T) {
	tests := map[string]struct {
		samples, ratio, want float64
		known                bool
	}{
		"usual":                       {samples: 6, ratio: 1, want: 1, known: true},
		"faster than the median":      {samples: 6, ratio: 0.3, want: 1, known: true},
		"within the tolerance":        {samples: 6, ratio: 1.7, want: 1, known: true},
		"five times slower":           {samples: 6, ratio: 5, want: 0.2, known: true},
		"slower than the lowest":      {samples: 6, ratio: 50, want: speed.MinSpeed, known: true},
		"too few samples":             {samples: 1, ratio: 8, want: 1},
		"few samples, small evidence": {samples: 2, ratio: 2, want: 1, known: true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s, known := speed.Of(speed.FromRatio(start, c.samples, c.ratio), 0)
			is.True(math.Abs(s-c.want) < 0.001)
			is.Equal(known, c.known)
		})
	}
}

// TestAllSlowAtOnce guards against a burst that takes capacity from a service whose endpoints are all slow.
func TestAllSlowAtOnce(t *testing.T) {
	is := is.New(t)
	list := []speed.Evidence{speed.FromRatio(start, 6, 6), speed.FromRatio(start, 6, 5), speed.FromRatio(start, 6, 7)}
	median, ok := speed.Median(list)
	is.True(ok)
	for _, e := range list {
		s, _ := speed.Of(e, median)
		is.Equal(s, 1.0)
	}
}

// TestCorrect guards against a queue that is taken for slowness.
func TestCorrect(t *testing.T) {
	is := is.New(t)
	is.Equal(speed.Correct(4, 8, 2), 1.0)
	is.Equal(speed.Correct(4, 1, 2), 4.0)
	is.Equal(speed.Correct(4, 3, 0), 4.0/3)
}
