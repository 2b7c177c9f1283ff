package spread_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"cornellb/core/coordination/spread"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

const domain = "attiki-1"

var (
	start  = time.Unix(1_800_000_000, 0)
	limits = spread.Limits{Configuration: 2 * time.Second, Endpoints: 2600 * time.Millisecond}
)

func host(i int) member.Host {
	return member.Host{
		ID: fmt.Sprintf("entry-%03d", i), FailureDomain: domain, Incarnation: member.Incarnation(i + 1),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7720),
	}
}

// plans returns the plans of n balancers with the same view, which also has a member in another failure domain.
func plans(n int) map[member.Incarnation]*spread.Plan {
	var hosts []member.Host
	for i := range n {
		hosts = append(hosts, host(i))
	}
	other := host(n)
	other.FailureDomain = "attiki-2"
	hosts = append(hosts, other)
	byIncarnation := make(map[member.Incarnation]*spread.Plan)
	for _, h := range hosts[:n] {
		p := spread.New(h.Incarnation, domain, limits)
		p.SetView(member.NewView(1, h, append([]member.Host{}, hosts...)))
		byIncarnation[h.Incarnation] = p
	}
	return byIncarnation
}

// TestOneReader guards against failure domains without a reader, and against several readers that load the store.
func TestOneReader(t *testing.T) {
	is := is.New(t)
	readers := 0
	for _, p := range plans(24) {
		if p.IsReader() {
			readers++
		}
	}
	is.Equal(readers, 1)
	is.True(spread.New(1, domain, limits).IsReader()) // a balancer that knows no others reads the store itself
}

// TestAnnouncementReachesAll guards against balancers that an announcement does not reach, and against balancers that
// receive it twice.
func TestAnnouncementReachesAll(t *testing.T) {
	for _, n := range []int{1, 2, 8, 9, 24, 700} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			all := plans(n)
			for _, reader := range []member.Incarnation{1, member.Incarnation(n)} {
				reached := map[member.Incarnation]int{reader: 1}
				queue := []member.Incarnation{reader}
				steps := 0
				for ; len(queue) > 0; steps++ {
					for _, h := range all[queue[0]].Children(reader) {
						reached[h.Incarnation]++
						queue = append(queue, h.Incarnation)
					}
					queue = queue[1:]
				}
				is.Equal(len(reached), n)
				for _, times := range reached {
					is.Equal(times, 1)
				}
			}
		})
	}
}

// TestTakeover guards against balancers that keep an old state when their reader is gone, cut off or rejected by the
// store, and against all of them reading at once.
func TestTakeover(t *testing.T) {
	is := is.New(t)
	all := plans(24)
	for _, p := range all {
		p.ConfirmConfiguration(start)
		p.ConfirmEndpoints(start)
	}
	count := func(now time.Time, reads func(*spread.Plan, time.Time) bool) int {
		n := 0
		for _, p := range all {
			if reads(p, now) && !p.IsReader() {
				n++
			}
		}
		return n
	}
	is.Equal(count(start.Add(limits.Configuration), (*spread.Plan).ReadsConfiguration), 0)
	is.Equal(count(start.Add(limits.Configuration+time.Millisecond), (*spread.Plan).ReadsConfiguration), 1)
	is.Equal(count(start.Add(limits.Configuration+500*time.Millisecond), (*spread.Plan).ReadsConfiguration), 23)
	is.Equal(count(start.Add(limits.Endpoints+time.Millisecond), (*spread.Plan).ReadsEndpoints), 1)
}

// TestTakeoverLasts guards against a state that is renewed only when it is already too old while the reader is gone:
// the balancer that has taken over continues until it receives a fresh announcement of one with a better rank.
func TestTakeoverLasts(t *testing.T) {
	is := is.New(t)
	all := plans(3)
	var second *spread.Plan
	var reader member.Incarnation
	for i, p := range all {
		p.ConfirmConfiguration(start)
		switch {
		case p.IsReader():
			reader = i
		case p.ReadsConfiguration(start.Add(limits.Configuration + time.Millisecond)):
			second = p
		}
	}
	now := start.Add(limits.Configuration + 10*time.Millisecond)
	second.ConfirmConfiguration(now)
	is.True(second.ReadsConfiguration(now))
	second.UpdateAges(now, &spread.Announcement{Reader: reader, VersionAge: limits.Configuration}, 1, directory.Position{Revision: 1})
	is.True(second.ReadsConfiguration(now)) // the reader announces again, but cannot reach the store
	second.UpdateAges(now, &spread.Announcement{Reader: reader}, 1, directory.Position{Revision: 1})
	is.True(!second.ReadsConfiguration(now))
}

// TestOutageInLargeDomain guards against calls to an unavailable store in proportion to the balancers of a failure domain:
// all of them need the answer, and one of them announces it to the others.
func TestOutageInLargeDomain(t *testing.T) {
	const outage = 6 * time.Second
	tests := map[string]struct {
		balancers int
		most      int // calls of the failure domain during the outage, besides one of each balancer
	}{
		"3 balancers":   {balancers: 3, most: 3 * 10},
		"24 balancers":  {balancers: 24, most: 4*10 + 20*4},
		"59 balancers":  {balancers: 59, most: 4*10 + 55*3},
		"700 balancers": {balancers: 700, most: 4*10 + 696*3},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			calls, soonest := 0, outage
			for _, p := range plans(c.balancers) {
				failures, at := 0, time.Duration(0)
				for at < outage {
					failures++
					delay := p.RetryDelay(failures)
					is.True(delay > 0 && delay <= 3*time.Second)
					at += delay
					calls++
				}
				soonest = min(soonest, at-outage)
			}
			t.Logf("%d calls in %v", calls, outage)
			is.True(calls <= c.balancers+c.most)
			is.True(soonest <= time.Second) // some balancer notices soon that the store is back
		})
	}
}

// TestStart guards against balancers that all read the store again and again while there is no configuration in it yet.
func TestStart(t *testing.T) {
	is := is.New(t)
	reading := 0
	for _, p := range plans(24) {
		is.True(p.ReadsConfiguration(start)) // each reads once
		p.MarkStarted(start)
		if p.ReadsConfiguration(start.Add(time.Second)) {
			reading++
		}
	}
	is.Equal(reading, 1)
}

// TestStartClaimsNothing guards against balancers that rely on one which has just started: its first list may be seconds
// old, or the read may have failed, and it announces what it knows nevertheless.
func TestStartClaimsNothing(t *testing.T) {
	is := is.New(t)
	all := plans(2)
	started, other := all[1], all[2]
	started.MarkStarted(start)
	a := &spread.Announcement{Version: 7, Revision: 9}
	now := start.Add(100 * time.Millisecond)
	started.Complete(now, a)
	other.ConfirmConfiguration(start.Add(-limits.Configuration))
	other.ConfirmEndpoints(start.Add(-limits.Endpoints))
	other.UpdateAges(now, a, 7, directory.Position{Revision: 9})
	_, age := other.Ages(now)
	is.Equal(age, limits.Endpoints+100*time.Millisecond)
	is.True(other.ReadsConfiguration(now))
	is.True(other.ReadsEndpoints(now))

	for _, p := range all {
		p.MarkStarted(start)
		is.Equal(p.ReadsEndpoints(start.Add(time.Second)), p.IsReader()) // the others wait for its announcement
		is.True(p.ReadsEndpoints(start.Add(limits.Endpoints + 500*time.Millisecond)))
	}
}

// TestStaleAnnouncement guards against balancers that rely on a reader which can no longer reach the store.
func TestStaleAnnouncement(t *testing.T) {
	is := is.New(t)
	p := plans(2)[1]
	if p.IsReader() {
		p = plans(2)[2]
	}
	a := &spread.Announcement{Reader: 99, Sequence: 1, Version: 7, VersionAge: 3 * time.Second, Revision: 9}
	p.UpdateAges(start, a, 7, directory.Position{Revision: 9})
	is.True(p.ReadsConfiguration(start))
	is.True(!p.ReadsEndpoints(start.Add(time.Second)))

	behind := &spread.Announcement{Reader: 99, Sequence: 2, Version: 8, Revision: 9}
	p.UpdateAges(start, behind, 7, directory.Position{Revision: 9}) // version 8 is announced and not applied here
	is.True(p.ReadsConfiguration(start))
}

// TestRepeatedAnnouncement guards against announcements that circulate, and against memory that grows with the number
// of readers.
func TestRepeatedAnnouncement(t *testing.T) {
	is := is.New(t)
	p := plans(2)[1]
	is.True(p.Accept(&spread.Announcement{Reader: 2, Sequence: 5}))
	is.True(!p.Accept(&spread.Announcement{Reader: 2, Sequence: 5}))
	is.True(!p.Accept(&spread.Announcement{Reader: 2, Sequence: 4}))
	is.True(!p.Accept(&spread.Announcement{Reader: 1, Sequence: 9})) // its own
	accepted := 0
	for i := range 10000 {
		if p.Accept(&spread.Announcement{Reader: member.Incarnation(100 + i), Sequence: 1}) {
			accepted++
		}
	}
	is.True(accepted < 100)
}

// TestRandomViews guards against balancers that keep an old state because their views differ: whatever members
// each balancer has in its view, one that receives nothing fresh reads the store within its limit and delay.
func TestRandomViews(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 12).Draw(t, "balancers")
		all := make([]*spread.Plan, n)
		for i := range all {
			view := []member.Host{host(i)}
			for j := range n {
				if j != i && rapid.Bool().Draw(t, "known") {
					h := host(j)
					h.State = member.State(rapid.IntRange(0, int(member.StateCount)-1).Draw(t, "state"))
					view = append(view, h)
				}
			}
			all[i] = spread.New(host(i).Incarnation, domain, limits)
			all[i].SetView(member.NewView(1, host(i), view))
			all[i].ConfirmConfiguration(start)
		}
		for i, p := range all {
			if !p.ReadsConfiguration(start.Add(limits.Configuration + 500*time.Millisecond)) {
				t.Fatalf("balancer %d does not read the configuration after its limit and delay", i)
			}
			for _, h := range p.Children(member.Incarnation(i + 1)) {
				if h.Incarnation == member.Incarnation(i+1) {
					t.Fatalf("balancer %d forwards an announcement to itself", i)
				}
			}
		}
	})
}
