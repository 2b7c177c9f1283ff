package admission

import (
	"flag"
	"fmt"
	"math"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cornellb/core/state/packet"
)

// A fixed seed makes a failure in CI reproducible, and many steps fill the queue. -rapid.seed and -rapid.steps on the
// command line override these values.
func init() {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.steps", "300")
}

// model is the reference that random runs compare the queue with: the set of queued items, without their order.
type model struct {
	q      *Queue
	now    time.Time
	next   uint64
	queued map[*Item]bool
	popped []*Item
}

// leave records that an item left the queue.
func (m *model) leave(t *rapid.T, it *Item, how string) {
	if it != nil && !m.queued[it] {
		t.Fatalf("%s returned item %d, which is not queued", how, it.Request)
	}
	delete(m.queued, it)
}

func (m *model) push(t *rapid.T, it *Item) {
	wait := time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Second
	m.queued[it] = true
	for _, r := range m.q.Push(m.now, it, wait) {
		m.leave(t, r.Item, "refusal")
		if r.Reason == packet.ReasonNone || r.RetryAfter <= 0 {
			t.Fatalf("refusal has no reason or no retry time: %+v", r)
		}
	}
}

func (m *model) pushNew(t *rapid.T) {
	m.next++
	it := item(m.next, packet.Class(rapid.IntRange(0, 2).Draw(t, "class")), fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "customer")))
	it.Flow = packet.FlowID{byte(rapid.IntRange(0, 5).Draw(t, "flow"))}
	it.Cost = float64(rapid.IntRange(0, 3).Draw(t, "cost"))
	if pin := rapid.IntRange(0, 4).Draw(t, "pin"); pin > 0 {
		it.Endpoint = pinned(pin)
	}
	if d := rapid.IntRange(0, 5).Draw(t, "deadline"); d > 0 {
		it.Deadline = m.now.Add(time.Duration(d) * time.Second)
	}
	m.push(t, it)
}

func (m *model) pushAgain(t *rapid.T) {
	if len(m.popped) == 0 {
		return
	}
	it := m.popped[len(m.popped)-1]
	m.popped = m.popped[:len(m.popped)-1]
	it.NotStarted = rapid.Bool().Draw(t, "notStarted")
	m.push(t, it)
}

func (m *model) pop(t *rapid.T) {
	mask := rapid.IntRange(0, 15).Draw(t, "free")
	anyFree := rapid.Bool().Draw(t, "anyFree")
	canRun := func(a netip.AddrPort) bool { return mask>>(int(a.Port())-1)&1 == 1 }
	isRunnable := func(it *Item) bool {
		return it.Endpoint.IsValid() && canRun(it.Endpoint) || !it.Endpoint.IsValid() && anyFree
	}
	it, expired := m.q.Pop(m.now, canRun, anyFree)
	for _, e := range expired {
		m.leave(t, e, "expiry")
	}
	for o := range m.queued {
		if it == nil && isRunnable(o) {
			t.Fatalf("Pop returned no item, but item %d can run", o.Request)
		}
		if it != nil && o.Class == it.Class && o.Customer == it.Customer && isRunnable(o) && o.sequence < it.sequence {
			t.Fatalf("Pop returned item %d before the older item %d of the same customer", it.Request, o.Request)
		}
	}
	if it != nil {
		m.leave(t, it, "pop")
		if !isRunnable(it) || !it.Deadline.IsZero() && !it.Deadline.After(m.now) {
			t.Fatalf("Pop returned item %d, whose endpoint is busy or whose deadline has passed: %+v", it.Request, it)
		}
		m.popped = append(m.popped, it)
	}
}

func (m *model) check(t *rapid.T) {
	byClass := [packet.ClassCount]int{}
	for o := range m.queued {
		byClass[o.Class]++
	}
	if m.q.Len() != len(m.queued) || m.q.Len() > m.q.limit {
		t.Fatalf("queue has %d items, model has %d, limit is %d", m.q.Len(), len(m.queued), m.q.limit)
	}
	for i, c := range m.q.classes {
		if c.count != byClass[i] || c.byLength.len()+c.idle.len() != len(c.customers) || c.idle.len() > maxIdleCustomers {
			t.Fatalf("class %d has %d items, model has %d; %d customers with items and %d idle ones of %d", i, c.count, byClass[i], c.byLength.len(), c.idle.len(), len(c.customers))
		}
		for _, cu := range c.idle.nodes {
			if cu.count != 0 || len(cu.subqueues) != 0 || cu.start <= c.virtualTime {
				t.Fatalf("class %d keeps idle customer %+v, which has items or is not ahead of virtual time %v", i, cu, c.virtualTime)
			}
		}
	}
}

// Guards against items that are lost, returned twice, out of order or after their deadline, against a free slot while
// an item could use it, and against customers that are kept without need after their items have left.
func TestRandomRunsKeepEveryItem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{q: New(Config{Limit: 24, CustomerLimit: 16}), now: epoch, queued: map[*Item]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"push":      m.pushNew,
			"pushMore":  m.pushNew,
			"pushAgain": m.pushAgain,
			"pop":       m.pop,
			"wait":      func(*rapid.T) { m.now = m.now.Add(300 * time.Millisecond) },
			"cancel": func(t *rapid.T) {
				flow, n := packet.FlowID{byte(rapid.IntRange(0, 5).Draw(t, "flow"))}, rapid.Uint64Range(0, m.next).Draw(t, "request")
				m.leave(t, m.q.Remove(flow, n), "Remove")
			},
			"close": func(t *rapid.T) {
				for _, it := range m.q.RemoveFlow(packet.FlowID{byte(rapid.IntRange(0, 5).Draw(t, "flow"))}) {
					m.leave(t, it, "RemoveFlow")
				}
			},
			"unpin": func(t *rapid.T) { m.q.Unpin(pinned(rapid.IntRange(1, 4).Draw(t, "endpoint"))) },
			"":      m.check,
		})
	})
}

// Guards against a class or customer below its guaranteed share while it has work, for any demand and any costs.
func TestRandomDemandKeepsGuaranteedShares(t *testing.T) {
	const steps, maxCost, customers = 600, 3.0, 4
	rapid.Check(t, func(t *rapid.T) {
		q := New(Config{Limit: 1 << 20})
		demand := [packet.ClassCount][customers]float64{}
		for c := range demand {
			for cu := range customers {
				demand[c][cu] = rapid.SampledFrom([]float64{0, 0.01, 0.05, 0.2, 1}).Draw(t, "demand")
			}
		}
		var total float64
		var served [packet.ClassCount][customers + 1]float64 // the last counts the class
		var arrears [packet.ClassCount][customers]float64
		var totalAt [packet.ClassCount]float64 // total when the class last became busy
		var servedAt [packet.ClassCount]float64
		n := uint64(0)
		for range steps {
			for c := range demand {
				wasEmpty := q.LenOf(packet.Class(c)) == 0
				for cu, d := range demand[c] {
					for arrears[c][cu] += d; arrears[c][cu] >= 1; arrears[c][cu]-- {
						n++
						it := item(n, packet.Class(c), fmt.Sprint(cu))
						it.Cost = float64(1 + n%uint64(maxCost))
						q.Push(epoch, it, 0)
					}
				}
				if wasEmpty {
					totalAt[c], servedAt[c] = total, served[c][customers]
				}
			}
			if it, _ := q.Pop(epoch, all, true); it != nil {
				total += it.Cost
				served[it.Class][customers] += it.Cost
				served[it.Class][it.Customer[0]-'0'] += it.Cost
			}
			for c, w := range DefaultWeights {
				got, due := served[c][customers]-servedAt[c], (total-totalAt[c])*w/10
				if q.LenOf(packet.Class(c)) > 0 && got < due-12-3*maxCost {
					t.Fatalf("class %d was served a cost of %v, guaranteed share is %v", c, got, due)
				}
			}
		}
		for c := range demand {
			for a := range customers {
				for b := range customers {
					if demand[c][a] == 1 && demand[c][b] == 1 && math.Abs(served[c][a]-served[c][b]) > 2*maxCost {
						t.Fatalf("class %d: customers of equal demand were served costs of %v and %v", c, served[c][a], served[c][b])
					}
				}
			}
		}
	})
}

func pinned(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i))
}
