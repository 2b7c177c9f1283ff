package membership

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"cornellb/core/state/member"
)

// keepView is an Output that keeps the newest view, as a balancer does.
type keepView struct {
	discard
	view *member.View
}

func (k *keepView) SetView(v *member.View) { k.view = v }

// BenchmarkMemory measures the heap bytes of the member list: the machine and the published view.
func BenchmarkMemory(b *testing.B) {
	for _, count := range []int{1000, 4000, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			before := heapBytes()
			m, _ := benchMachine(count)
			k := &keepView{}
			m.out = k
			m.publish()
			b.ReportMetric(heapBytes()-before, "heap-bytes")
			b.ReportMetric(0, "ns/op")
			runtime.KeepAlive(m)
			runtime.KeepAlive(k)
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// sent returns the messages and bytes that all running members sent since the last call. Those of a member that stopped
// in between are left out. before holds the message counters at the last call.
func (s *sim) sent(before map[member.Incarnation]uint64) (messages, bytes float64) {
	for _, n := range s.nodes {
		if n != nil {
			i := n.machine.Self().Incarnation
			messages += float64(n.machine.Stats().Messages - before[i])
			before[i] = n.machine.Stats().Messages
		}
	}
	return messages, float64(s.bytes())
}

func (s *sim) running() (count float64) {
	for _, n := range s.nodes {
		if n != nil {
			count++
		}
	}
	return count
}

// eventTime is long enough for one event to reach all members, and is a multiple of the periods of the protocol.
const eventTime = 20 * time.Second

// BenchmarkEvent measures how many messages and bytes one join, one leave and one death cost a group in addition to
// those of a group without changes. The figures are the mean of several events in a row.
func BenchmarkEvent(b *testing.B) {
	const events = 4
	for name, event := range map[string]func(s *sim, slot int){
		"join": func(s *sim, slot int) { s.start(slot) },
		"leave": func(s *sim, slot int) {
			s.nodes[slot].machine.Leave()
			s.run(time.Second)
			s.nodes[slot].machine.Depart()
			s.stop(slot)
		},
		"death": func(s *sim, slot int) { s.stop(slot) },
	} {
		for _, count := range []int{8, 32, 128, 512} {
			b.Run(fmt.Sprintf("%s/%d", name, count), func(b *testing.B) {
				s := simGroup(b, count)
				before := make(map[member.Incarnation]uint64)
				s.sent(before)
				s.run(eventTime)
				quietMessages, quietBytes := s.sent(before)
				messages, bytes := 0.0, 0.0
				for i := range events {
					event(s, eventSlot(name, count, i))
					s.run(eventTime)
					m, n := s.sent(before)
					share := s.running() / float64(count)
					messages += m - share*quietMessages
					bytes += n - share*quietBytes
				}
				b.ReportMetric(messages/events, "messages/event")
				b.ReportMetric(bytes/events, "bytes/event")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// eventSlot returns the slot of the event: an unused one for a join, that of a running member otherwise.
func eventSlot(name string, count, i int) int {
	if name == "join" {
		return count + i
	}
	return count - 1 - i
}

// BenchmarkDomainLost measures the simultaneous loss of all members of one failure domain: the time until no other
// member considers a lost one reachable, and the bytes per member and second until then.
func BenchmarkDomainLost(b *testing.B) {
	for _, count := range []int{60, 180, 540, 1080} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := simGroup(b, count)
			lost := 0
			for i := 2; i < count; i += 17 { // one of 17 failure domains
				s.stop(i)
				lost++
			}
			s.bytes()
			took, ok := s.converge(3 * time.Minute)
			if !ok {
				b.Fatal(s.disagreement())
			}
			b.ReportMetric(took.Seconds(), "all_deaths_s")
			b.ReportMetric(float64(s.bytes())/float64(count-lost)/took.Seconds(), "bytes/member/s")
			s.rejoin(b, count)
			b.ReportMetric(0, "ns/op")
		})
	}
}

// rejoin starts the lost members again, all at once, and reports the time until all views contain them.
func (s *sim) rejoin(b *testing.B, count int) {
	for i := 2; i < count; i += 17 {
		s.start(i)
	}
	s.bytes()
	took, ok := s.converge(3 * time.Minute)
	if !ok {
		b.Fatal(s.disagreement())
	}
	b.ReportMetric(took.Seconds(), "all_joins_s")
	b.ReportMetric(float64(s.bytes())/float64(count)/max(1, took.Seconds()), "join_bytes/member/s")
}

// BenchmarkRegionCut measures the end of a partition that cut off a fifth of the members for longer than dead members
// stay in the view: the time from the end of the partition until all views are complete, and the bytes per member and
// second of that time.
func BenchmarkRegionCut(b *testing.B) {
	for _, count := range []int{60, 180, 540} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := simGroup(b, count)
			for i := 0; i < count; i += 5 {
				s.side[i] = 1
			}
			s.run(3 * DeadMemory)
			clear(s.side)
			s.bytes()
			took, ok := s.converge(10 * time.Minute)
			if !ok {
				b.Fatal(s.disagreement())
			}
			b.ReportMetric(took.Seconds(), "heal_s")
			b.ReportMetric(float64(s.bytes())/float64(count)/took.Seconds(), "bytes/member/s")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkMembersPage measures the time to build the first page of the member list, and reports the number of pages
// and bytes of the full list.
func BenchmarkMembersPage(b *testing.B) {
	for _, count := range []int{1000, 4000, 12000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			k := &keepView{}
			m, _ := benchMachine(count)
			m.out = k
			m.publish()
			r := MembersRequest{FailureDomain: "domain-0"}
			pages, hosts, bytes := 0, 0, 0
			for {
				page := PageOf(k.view, r)
				pages++
				hosts += len(page.Hosts)
				for _, h := range page.Hosts {
					bytes += HostSize(h)
				}
				if page.Last {
					break
				}
				r.After = page.Next
			}
			if hosts != count {
				b.Fatalf("pages contain %d members, want %d", hosts, count)
			}
			for b.Loop() {
				PageOf(k.view, MembersRequest{FailureDomain: "domain-0"})
			}
			b.ReportMetric(float64(pages), "pages")
			b.ReportMetric(float64(bytes), "list-bytes")
		})
	}
}

var _ Output = (*keepView)(nil)
