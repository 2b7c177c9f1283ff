package spread_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/spread"
	"cornellb/core/state/directory"
)

// TestTakeoverOfEvacuations guards against balancers of which none, or all at once, read the evacuations when the reader no
// longer announces them, and against a takeover that never ends.
func TestTakeoverOfEvacuations(t *testing.T) {
	is := is.New(t)
	const limit = 3250 * time.Millisecond
	reading := func(all []*spread.Plan, now time.Time) (n int) {
		for _, p := range all {
			if p.ReadsEvacuations(now) {
				n++
			}
		}
		return n
	}
	var reader *spread.Plan
	var others []*spread.Plan
	for _, p := range plans(12) {
		p.SetLimits(spread.Limits{Configuration: time.Hour, Endpoints: time.Hour, Evacuations: limit})
		p.MarkStarted(start)
		p.ConfirmEvacuations(start)
		if p.IsReader() {
			reader = p
			continue
		}
		others = append(others, p)
	}
	is.Equal(reading(others, start.Add(limit)), 0)
	is.Equal(reading(others, start.Add(limit+time.Millisecond)), 1) // the next in rank goes first
	is.Equal(reading(others, start.Add(limit+time.Second)), len(others))
	a := &spread.Announcement{}
	reader.Complete(start, a)
	for _, p := range others {
		p.ConfirmEvacuations(start.Add(limit + time.Second))
		p.UpdateEvacuations(a) // says nothing of evacuations
	}
	is.Equal(reading(others, start.Add(limit+time.Second)), len(others))
	a.Evacuations = &directory.Evacuations{}
	for _, p := range others {
		p.UpdateEvacuations(a)
	}
	is.Equal(reading(others, start.Add(limit+time.Second)), 0)
}
