package membership

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"cornellb/core/state/member"
)

// discard is an Output that ignores everything but counts fetches.
type discard struct{ fetches int }

func (*discard) SendGossip(netip.AddrPort, *Message)                {}
func (d *discard) FetchMembers(netip.AddrPort, MembersRequest)      { d.fetches++ }
func (*discard) SetView(*member.View)                               {}
func (*discard) ReportNewerTables(from member.Host, version uint64) {}

func benchHost(i int) member.Host {
	return member.Host{
		ID: fmt.Sprintf("host-%05d", i), FailureDomain: fmt.Sprintf("domain-%d", i%17), Incarnation: member.Incarnation(i + 1),
		Address: simAddress(i), StartedAt: 1_700_000_000_000,
	}
}

// benchMachine returns a machine with count members, including itself.
func benchMachine(count int) (*Machine, time.Time) {
	now := time.Unix(1_000_000, 0)
	h := benchHost(0)
	m := New(Config{
		ID: h.ID, FailureDomain: h.FailureDomain, Address: h.Address, Incarnation: h.Incarnation, StartedAt: now,
	}, now, rand.New(rand.NewPCG(1, 1)), &discard{})
	for i := 1; i < count; i++ {
		m.merge(benchHost(i), sourceMemberList)
	}
	m.fetch = fetch{}
	return m, now
}

// BenchmarkTick measures ticks at the interval that a balancer uses, with members that answer every ping.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{8, 100, 1000, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			m, now := benchMachine(count)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(50 * time.Millisecond)
				m.probe.acked = true
				m.Tick(now)
			}
		})
	}
}

// BenchmarkReceive measures received pings with their ack. Each ping carries four records, of which none ("known") or
// one ("news") changes something.
func BenchmarkReceive(b *testing.B) {
	for _, count := range []int{8, 100, 1000, 12000} {
		for name, changes := range map[string]uint32{"known": 0, "news": 1} {
			b.Run(fmt.Sprintf("%d/%s", count, name), func(b *testing.B) {
				m, now := benchMachine(count)
				refutations := make([]uint32, count)
				b.ReportAllocs()
				i := 0
				for b.Loop() {
					i++
					if i%2 == 0 { // two messages per second arrive in a quiet group
						now = now.Add(maxStep)
						m.advance(now)
						m.queue = m.queue[:0]
					}
					message := &Message{Kind: KindPing, Sequence: uint64(i), Sender: benchHost(1 + i%(count-1))}
					message.Sender.Refutation = refutations[1+i%(count-1)]
					for k := range 4 {
						at := 1 + (i*7+k)%(count-1)
						if k == 0 {
							refutations[at] += changes
						}
						h := benchHost(at)
						h.Refutation = refutations[at]
						message.Changes = append(message.Changes, h)
					}
					m.Receive(message.Sender.Address, message)
				}
			})
		}
	}
}

// BenchmarkView measures one rebuild of the view. Rebuilds are batched per tick.
func BenchmarkView(b *testing.B) {
	for _, count := range []int{1000, 4000, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			m, _ := benchMachine(count)
			b.ReportAllocs()
			for b.Loop() {
				m.publish()
			}
		})
	}
}

// simGroup returns a simulated network whose members know each other from the start.
func simGroup(b *testing.B, count int) *sim {
	s := newSim(3, b.Fatalf)
	for i := range count {
		s.start(i)
	}
	for _, n := range s.nodes {
		for _, o := range s.nodes {
			if n != o {
				n.machine.merge(o.machine.self, sourceMemberList)
			}
		}
		n.machine.announceSelf = false
	}
	s.run(5 * time.Second)
	return s
}

func (s *sim) bytes() int {
	total := 0
	for _, n := range s.nodes {
		if n != nil {
			total += n.sentBytes
			n.sentBytes = 0
		}
	}
	return total
}

// BenchmarkStart measures on the fake clock how long a group whose members all start at once takes until every view is
// correct, and how long it takes after a partition of 300 s that cut off a third of the members.
func BenchmarkStart(b *testing.B) {
	for _, count := range []int{8, 100, 300} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := newSim(3, b.Fatalf)
			for i := range count {
				s.start(i)
			}
			started, isStarted := s.converge(10 * time.Minute)
			for i := range count {
				s.side[i] = i % 3 / 2
			}
			s.run(300 * time.Second)
			s.side = map[int]int{}
			healed, isHealed := s.converge(10 * time.Minute)
			if !isStarted || !isHealed {
				b.Fatal(s.disagreement())
			}
			b.ReportMetric(started.Seconds(), "start_s")
			b.ReportMetric(healed.Seconds(), "heal_s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkGroup measures a whole group on the fake clock: bytes sent per member and second while nothing changes and
// with one restart every 9 s, and how long a table version and a death take to reach every member. It runs once,
// independent of b.N, since its figures are those of the fake clock.
func BenchmarkGroup(b *testing.B) {
	for _, count := range []int{8, 100, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := simGroup(b, count)
			perMember := func(d time.Duration) float64 { return float64(s.bytes()) / float64(count) / d.Seconds() }
			before := make(map[member.Incarnation]uint64)
			s.sent(before)
			s.run(30 * time.Second)
			messages, bytes := s.sent(before)
			b.ReportMetric(bytes/float64(count)/30, "quiet_bytes/member/s")
			b.ReportMetric(messages/float64(count)/30, "quiet_messages/member/s")
			s.bytes() // resets the counters
			for i := range 4 {
				s.stop(2 + i)
				s.start(2 + i)
				s.run(9 * time.Second)
			}
			b.ReportMetric(perMember(36*time.Second), "restart_bytes/member/s")
			s.nodes[0].machine.SetTableVersion(1)
			start := s.now
			for s.lowestTables() < 1 && s.now.Sub(start) < time.Minute {
				s.run(simTick)
			}
			b.ReportMetric(s.now.Sub(start).Seconds(), "tables_s")
			s.stop(count - 1)
			took, ok := s.converge(time.Minute)
			if !ok {
				b.Fatal(s.disagreement())
			}
			b.ReportMetric(took.Seconds(), "death_s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func (s *sim) lowestTables() uint64 {
	lowest := ^uint64(0)
	for _, n := range s.nodes {
		if n != nil {
			lowest = min(lowest, n.machine.tableVersion)
		}
	}
	return lowest
}
