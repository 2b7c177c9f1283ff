package steering_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/steering"
)

// refusals returns the reports of a balancer whose first 25 of 30 endpoints have refused flows at the same moment.
func refusals(t *testing.T, reports int) [][]uint32 {
	t.Helper()
	w := newHarness()
	for i := range 30 {
		w.endpoints = append(w.endpoints, endpoint(fmt.Sprintf("i-%02d", i), "attiki-1"))
	}
	w.publish()
	for range 90 {
		if f, d := w.open(feedAddress); d.Endpoint.ID >= "i-25" {
			w.confirm(f)
		}
	}
	w.advance(400 * time.Millisecond)
	var lists [][]uint32
	for range reports {
		lists = append(lists, w.ReportSilences(w.now).Silences)
	}
	return lists
}

// TestEachSilenceIsReported guards against an unresponsive endpoint that is left out of all reports while there are
// more than a report holds, and against lists that differ between runs with the same seed.
func TestEachSilenceIsReported(t *testing.T) {
	is := is.New(t)
	lists := refusals(t, 12)
	for n := range 10 { // three reports have 30 places for 25 endpoints
		listed := map[uint32]bool{}
		for _, list := range lists[n : n+3] {
			is.Equal(len(list), 10)
			for _, cookie := range list {
				listed[cookie] = true
			}
		}
		is.Equal(len(listed), 25)
	}
	is.Equal(refusals(t, 12), lists)
}

// TestLongestWaitingFlowsAreResetFirst guards against a client that has waited longest on a dead endpoint and gets its
// reset last, because more flows wait than resets can be queued, and against an order that differs between runs.
func TestLongestWaitingFlowsAreResetFirst(t *testing.T) {
	const flows, queued = 4400, 4096
	resets := func() []steering.Packet {
		is := is.New(t)
		w := newHarness(endpoint("i-1", "attiki-1"), endpoint("i-2", "attiki-1"), endpoint("i-3", "attiki-1"), endpoint("i-4", "attiki-1"))
		var silent, living []*flow
		for len(silent) < flows {
			f, _ := w.open(feedAddress)
			if w.confirm(f); f.endpoint.ID >= "i-3" {
				living = append(living, f)
			} else {
				silent = append(silent, f)
			}
		}
		answer := func() {
			for _, f := range living[:20] {
				w.request(f)
				w.answer(f)
			}
		}
		for n, f := range silent {
			if w.request(f); n%44 == 43 {
				w.now = w.now.Add(time.Millisecond) // without Tick, so that all flows are reset at the same moment
			}
		}
		for range 2 { // the other endpoints answer all the while
			w.now = w.now.Add(100 * time.Millisecond)
			answer()
		}
		for _, f := range silent[:20] {
			w.request(f)
		}
		for range 2 {
			w.now = w.now.Add(150 * time.Millisecond)
			answer()
		}
		var list []steering.Packet
		position := map[steering.FlowKey]int{}
		for n, f := range silent {
			position[f.key] = n / 44
		}
		for _, want := range []int{queued, flows - queued} {
			w.advance(100 * time.Millisecond)
			got := w.Resets()
			is.Equal(len(got), want)
			list = append(list, got...)
		}
		for n, p := range list {
			is.Equal(position[p.Flow], n/44)
		}
		return list
	}
	is.New(t).Equal(resets(), resets())
}
