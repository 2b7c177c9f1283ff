package steering_test

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

// TestScaleFollowsReporters guards against the flows of a failure domain counted several times over, or in part, for
// up to the lifetime of a report after the number of its balancers or of those that report has changed.
func TestScaleFollowsReporters(t *testing.T) {
	type report struct {
		after   time.Duration // since the one before
		sender  member.Incarnation
		members int
	}
	tests := map[string]struct {
		reports []report
		wait    time.Duration
		want    float64 // flows of all balancers on the endpoint; each has 10
	}{
		"more balancers begin to report": {
			reports: []report{{0, 1, 6}, {0, 2, 6}, {0, 3, 6}, {0, 4, 6}, {0, 5, 6}, {0, 6, 6}}, want: 60,
		},
		"one of six still reports": {
			reports: []report{{0, 1, 6}, {0, 2, 6}, {0, 3, 6}, {0, 4, 6}, {0, 5, 6}, {9 * time.Second, 6, 6}},
			wait:    2 * time.Second, want: 60,
		},
		"twice as many balancers": {reports: []report{{0, 1, 2}, {0, 2, 2}, {time.Second, 1, 4}}, want: 40},
		"half of them left":       {reports: []report{{0, 1, 4}, {0, 2, 4}, {time.Second, 1, 2}}, want: 20},
		"all reports are too old": {reports: []report{{0, 1, 6}, {0, 2, 5}, {0, 3, 4}}, wait: 12 * time.Second, want: 0},
		"report after all others": {
			reports: []report{{0, 1, 6}, {0, 2, 6}, {12 * time.Second, 3, 5}}, wait: time.Second, want: 50,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newHarness(endpoint("i-1", "attiki-2"))
			for _, r := range c.reports {
				w.advance(r.after)
				w.ApplyReport(w.now, &steering.Report{Sender: r.sender, Loads: []steering.EndpointLoad{
					{Cookie: directory.Cookie("i-1", 0), Flows: 10},
				}}, steering.Origin{FailureDomain: "attiki-2", Members: r.members})
			}
			w.advance(c.wait)
			for range 2 {
				f, d := w.open(feedAddress)
				is.Equal(math.Round(d.Load*3)-1, c.want) // it has 3 slots, and this flow
				w.close(f)
				w.publish() // recomputes the sums
			}
		})
	}
}

// TestScaleOfManyReporters guards against an estimate that drifts while many balancers of a large failure domain begin
// and cease to report one after the other: each of them changes the scale by little.
func TestScaleOfManyReporters(t *testing.T) {
	is := is.New(t)
	w := newHarness(endpoint("i-1", "attiki-2"))
	for n := range 400 {
		w.advance(100 * time.Millisecond) // so that 100 of them have reported within the lifetime of a report
		w.ApplyReport(w.now, &steering.Report{Sender: member.Incarnation(n + 1), Loads: []steering.EndpointLoad{
			{Cookie: directory.Cookie("i-1", 0), Flows: 10},
		}}, steering.Origin{FailureDomain: "attiki-2", Members: 500})
		f, d := w.open(feedAddress)
		w.close(f)
		flows := d.Load*3 - 1
		if n < 31 {
			is.True(math.Abs(flows-160*float64(n+1)) <= 0.06*flows) // a scale above maxScale is reduced to it
			continue
		}
		is.True(math.Abs(flows-5000) <= 0.06*5000)
	}
}
