package spread_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/spread"
	"cornellb/core/state/member"
)

// TestHostWeight guards against duties on hosts of a twentieth of a core or with a slow link, and against a change of the
// reader where hosts differ only beyond what the duties need.
func TestHostWeight(t *testing.T) {
	tests := map[string]struct {
		cores, link float64
		want        uint8
	}{
		"unknown":                   {want: 100},
		"large":                     {cores: 0.8, link: 200, want: 100},
		"equal small hosts, 1 GBit": {cores: 0.4, link: 1000, want: 100},
		"slow link":                 {cores: 0.8, link: 10, want: 20},
		"weak processor":            {cores: 0.06, link: 200, want: 30},
		"weakest":                   {cores: 0.001, link: 1, want: 10},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(spread.HostWeight(c.cores, c.link), c.want) })
	}
}

// TestReaderHasRoom guards against a reader with 0.061 cores beside hosts of 0.8: every member names a strong one as its
// reader, and another strong one when that leaves.
func TestReaderHasRoom(t *testing.T) {
	is := is.New(t)
	var hosts []member.Host
	for i := range 21 {
		h := member.Host{
			ID: string(rune('a' + i)), FailureDomain: "attiki-1", Incarnation: member.Incarnation(i + 1),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7720), Weight: 20,
		}
		if i == 7 || i == 13 {
			h.Weight = 0
		}
		hosts = append(hosts, h)
	}
	readers := func(hosts []member.Host) (list []member.Incarnation) {
		for _, h := range hosts {
			p := spread.New(h.Incarnation, "attiki-1", spread.Limits{})
			p.SetView(member.NewView(1, h, append([]member.Host(nil), hosts...)))
			if p.IsReader() && h.CanOwn() {
				list = append(list, h.Incarnation)
			}
		}
		return list
	}
	first := readers(hosts)
	is.Equal(len(first), 1)
	is.True(first[0] == 8 || first[0] == 14)
	hosts[first[0]-1].State = member.StateLeaving
	second := readers(hosts)
	is.Equal(len(second), 1)
	is.True(second[0] != first[0] && (second[0] == 8 || second[0] == 14))
}

// TestSlowness guards against a slow host that keeps its duties, and against duties that move because of a short burst or
// a pause.
func TestSlowness(t *testing.T) {
	const interval = 100 * time.Millisecond
	tests := map[string]struct {
		delays []time.Duration // of the ticks, each for 4 s
		want   []bool          // after each of these spans
	}{
		"in time":             {delays: []time.Duration{0, 20 * time.Millisecond}, want: []bool{false, false}},
		"slow":                {delays: []time.Duration{0, 300 * time.Millisecond}, want: []bool{false, true}},
		"recovered":           {delays: []time.Duration{200 * time.Millisecond, 0, 0, 0}, want: []bool{true, true, true, false}},
		"late once more":      {delays: []time.Duration{200 * time.Millisecond, 0, 0, 60 * time.Millisecond, 0, 0}, want: []bool{true, true, true, true, true, true}},
		"paused now and then": {delays: []time.Duration{2500 * time.Millisecond, 0}, want: []bool{false, false}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := spread.NewSlowness(interval)
			now := start
			for i, delay := range c.delays {
				isSlow := false
				for end := now.Add(4 * time.Second); now.Before(end); {
					now = now.Add(interval + delay)
					isSlow = s.Tick(now)
				}
				is.New(t).Equal(isSlow, c.want[i])
			}
		})
	}
}
