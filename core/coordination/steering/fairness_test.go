package steering_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
)

// TestManyChoosersShareFairly guards against endpoints of one failure domain that get clearly more new flows than the
// others, because many balancers choose by reports of the same age. The bound is the target for a calm day.
func TestManyChoosersShareFairly(t *testing.T) {
	tests := map[string]struct {
		balancers, endpoints int
		perSecond            int // new flows of all balancers
		life                 time.Duration
	}{
		"3 balancers, downloads":                     {balancers: 3, endpoints: 5, perSecond: 100, life: 100 * time.Millisecond},
		"3 balancers, long flows":                    {balancers: 3, endpoints: 5, perSecond: 100, life: 2 * time.Second},
		"27 balancers, downloads":                    {balancers: 27, endpoints: 40, perSecond: 1000, life: 100 * time.Millisecond},
		"59 balancers, downloads on few endpoints":   {balancers: 59, endpoints: 24, perSecond: 600, life: 100 * time.Millisecond},
		"59 balancers, long flows on many endpoints": {balancers: 59, endpoints: 96, perSecond: 1000, life: 2 * time.Second},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var endpoints []*directory.Endpoint
			for i := range c.endpoints {
				endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%d", i), "attiki-1"))
			}
			f := newFleet(c.balancers, endpoints...)
			f.run(t, 6*time.Second, c.perSecond, c.life)
			f.opened = map[string]int{}
			f.run(t, 24*time.Second, c.perSecond, c.life)
			busiest, sum, squares := 0, 0, 0.0
			for _, e := range endpoints {
				busiest = max(busiest, f.opened[e.ID])
				sum += f.opened[e.ID]
			}
			mean := float64(sum) / float64(len(endpoints))
			for _, e := range endpoints {
				squares += (float64(f.opened[e.ID]) - mean) * (float64(f.opened[e.ID]) - mean)
			}
			t.Logf("%.0f new flows each, busiest over mean %.3f, standard deviation %.3f of the mean (%.3f at random)",
				mean, float64(busiest)/mean, math.Sqrt(squares/float64(len(endpoints)))/mean, 1/math.Sqrt(mean))
			is.True(float64(busiest) <= 1.15*mean)
		})
	}
}

// countingSource counts the random numbers that are drawn.
type countingSource struct {
	rand.Source
	count int
}

func (s *countingSource) Uint64() uint64 {
	s.count++
	return s.Source.Uint64()
}

// TestManyEndpoints guards against a choice of an endpoint that looks at all endpoints of a large service. It draws a
// random number for each endpoint that it looks at, and one for its place in the list.
func TestManyEndpoints(t *testing.T) {
	for _, n := range []int{96, 480, 4800} {
		t.Run(fmt.Sprint(n, " endpoints"), func(t *testing.T) {
			is := is.New(t)
			var endpoints []*directory.Endpoint
			for i := range n {
				endpoints = append(endpoints, endpoint(fmt.Sprintf("i-%d", i), fmt.Sprint("attiki-", 1+i%5)))
			}
			w := newHarness(endpoints...)
			source := &countingSource{Source: rand.NewPCG(1, 2)}
			w.Forwarder = steering.New(testConfig, recorder{}, rand.New(source))
			w.publish()
			const flows = 100
			used := map[string]bool{}
			for range flows {
				w.now = w.now.Add(time.Millisecond)
				_, d := w.open(feedAddress)
				used[d.Endpoint.ID] = true
			}
			is.True(source.count <= flows*2*40)
			is.True(len(used) >= min(n/5, flows)*6/10) // not the same ones over and over
		})
	}
}
