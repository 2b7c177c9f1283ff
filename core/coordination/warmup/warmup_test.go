package warmup_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/warmup"
	"cornellb/core/state/member"
)

// owner runs an Ownership whose view holds itself and other members.
type owner struct {
	*warmup.Ownership
	now    time.Time
	isDeaf bool // gets no messages
}

func (o *owner) run(d time.Duration) {
	for range int(d / step) {
		o.now = o.now.Add(step)
		o.Tick(o.now)
		if !o.isDeaf {
			o.RecordContact(o.now, "attiki-1")
		}
	}
}

// see replaces the view by a number of balancers of the failure domain, this one included, and one of another domain.
func (o *owner) see(alive, suspect, elsewhere int) {
	self := member.Host{ID: "front-0", FailureDomain: "attiki-1", Incarnation: 1}
	hosts := []member.Host{self}
	for i := 1; i < alive+suspect+elsewhere; i++ {
		h := member.Host{ID: string(rune('a' + i)), FailureDomain: "attiki-1", Incarnation: member.Incarnation(1 + i)}
		if i >= alive {
			h.State = member.StateSuspect
		}
		if i >= alive+suspect {
			h.State, h.FailureDomain = member.StateAlive, "attiki-2"
		}
		hosts = append(hosts, h)
	}
	o.SetView(o.now, member.NewView(1, self, hosts))
}

// TestConditionsOfUse guards against a balancer that opens flows on cold endpoints while it may be cut off, may have an old
// view, or has just started, and against one that opens none although it is the only one.
func TestConditionsOfUse(t *testing.T) {
	const long = 40 * time.Second // more than the time over which the number of members is kept
	tests := map[string]struct {
		hasNoPeers   bool
		do           func(o *owner)
		own, foreign bool // whether it opens flows in its own failure domain, and in another one
	}{
		"only balancer":                  {hasNoPeers: true, do: func(o *owner) { o.run(long) }, own: true, foreign: true},
		"only balancer, just started":    {hasNoPeers: true, do: func(o *owner) { o.run(time.Second) }},
		"reaches none of its peers":      {do: func(o *owner) { o.see(1, 0, 0); o.run(long) }},
		"only one of its domain":         {do: func(o *owner) { o.see(1, 0, 1); o.run(long) }, own: true},
		"has ranked first for too short": {do: func(o *owner) { o.see(3, 0, 0); o.run(1900 * time.Millisecond) }},
		"majority":                       {do: func(o *owner) { o.see(3, 0, 1); o.run(long); o.see(3, 2, 1); o.run(long) }, own: true},
		"half":                           {do: func(o *owner) { o.see(4, 0, 1); o.run(long); o.see(2, 2, 1); o.run(5 * time.Second) }},
		"half of it is gone": {
			do: func(o *owner) { o.see(4, 0, 1); o.run(long); o.see(2, 0, 1); o.run(25 * time.Second) },
		},
		"half of it has been gone for long": {
			do: func(o *owner) { o.see(4, 0, 1); o.run(long); o.see(2, 0, 1); o.run(long) }, own: true,
		},
		"no messages":                         {do: func(o *owner) { o.see(4, 0, 1); o.run(long); o.isDeaf = true; o.run(4 * time.Second) }},
		"only one of its domain, no messages": {do: func(o *owner) { o.isDeaf = true; o.see(1, 0, 1); o.run(long) }},
		"paused": {do: func(o *owner) {
			o.see(3, 0, 1)
			o.run(long)
			o.now = o.now.Add(time.Second)
			o.run(time.Second)
		}},
		"learns members one by one": {do: func(o *owner) {
			for n := 2; n < 12; n++ {
				o.see(n, 0, 1)
				o.run(1500 * time.Millisecond)
			}
		}},
		"lost the others, settings name none": {
			hasNoPeers: true, do: func(o *owner) { o.see(3, 0, 1); o.run(long); o.see(1, 0, 0); o.run(20 * time.Second) },
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o := &owner{Ownership: warmup.New("attiki-1"), now: start}
			o.SetPeers(!c.hasNoPeers)
			o.Tick(o.now)
			c.do(o)
			owned := map[string]int{}
			for i := range 100 {
				for _, domain := range []string{"attiki-1", "attiki-2"} {
					if claim := warmup.NewClaim(string(rune('A'+i)), domain); o.Owns(o.now, &claim) {
						owned[domain]++
					}
				}
			}
			is.Equal(owned["attiki-1"] > 0, c.own)
			is.Equal(owned["attiki-2"] > 0, c.foreign)
		})
	}
}

// TestLimiterIsExact guards against a limiter that adds a burst to the rate: no second, wherever it begins, has more flows
// than the limit, and a flow is allowed as soon as the first of the last ones is more than a second old.
func TestLimiterIsExact(t *testing.T) {
	is := is.New(t)
	var l warmup.Limiter
	now, opened := start, []time.Time{}
	for range 1000 {
		now = now.Add(7 * time.Millisecond)
		isDue := len(opened) < 10 || now.Sub(opened[len(opened)-10]) > time.Second
		is.Equal(l.Allows(now, 10), isDue)
		if isDue {
			l.Record(now)
			opened = append(opened, now)
		}
	}
	is.True(!l.Allows(now.Add(time.Hour), 0)) // a bound below 2 allows none
}
