package overload_test

import (
	"math/rand/v2"
	"time"

	"cornellb/core/coordination/overload"
)

// The model advances by 1 ms. Clients try a request three times, balancers know the requests of 10 others from reports
// of up to a second ago, and endpoints with 2 slots and a queue of 8 refuse further requests.
const (
	endpoints = 60
	slots     = 2
	queue     = 8
	tries     = 3
	target    = 600 // ms
)

// The two kinds of requests, the more urgent one first.
var (
	priorities = [2]int{1, 2}
	share      = [2]float64{0.27, 0.73} // of the load
	work       = [2]float64{44, 34}     // ms; 3 % of the requests take seven times as long
)

// pattern is a load of each kind, as a part of all slots, and the speed of each endpoint, by the time in ms.
type pattern struct {
	load  func(ms int) float64
	burst [2]float64 // factor for each kind from 5 s to 15 s
	third float64    // speed of a third of the endpoints during that time; 0 if they have crashed
	retry int        // ms that clients wait at most before the next try
	lasts int        // seconds
}

type request struct {
	kind, tries, startedAt, balancer int
	work                             float64 // ms left
}

type balancer struct {
	*overload.Controller
	own           [endpoints]int // requests without an answer
	sum, reported int            // of these, now and in the last report
}

type model struct {
	pattern
	isOn             bool
	random, hashes   *rand.Rand
	balancers        []*balancer
	speeds           [endpoints]float64
	jobs             [endpoints][]*request // the first of these, by the number of slots, are worked on
	due              map[int][]*request    // tries, by time
	sent, good, lost [2]int                // requests that were sent and served in time, and refused flows, by kind
}

func (m *model) rate(kind int) float64 { return float64(m.good[kind]) / float64(m.sent[kind]) }

// worth returns the sum of the requests that were served in time; the more urgent ones count twice.
func (m *model) worth() int { return 2*m.good[0] + m.good[1] }

// run runs a pattern with the part switched on or off.
func run(p pattern, balancers int, isOn bool) *model {
	m := &model{
		pattern: p, isOn: isOn, due: map[int][]*request{},
		random: rand.New(rand.NewPCG(1, 7)), hashes: rand.New(rand.NewPCG(1, 8)),
	}
	for range balancers {
		m.balancers = append(m.balancers, &balancer{Controller: overload.New(priorities[:])})
	}
	arrivals, arrive := [2]float64{}, rand.New(rand.NewPCG(1, 5)) // the same with the part on and off
	for now := range p.lasts * 1000 {
		isBurst := now >= 5_000 && now < 15_000
		for k := range priorities {
			rate := p.load(now) * share[k] * endpoints * slots / (work[k] * (1 + 0.03*6))
			if isBurst {
				rate *= p.burst[k]
			}
			for arrivals[k] += rate * 2 * arrive.Float64(); arrivals[k] >= 1; arrivals[k]-- {
				m.sent[k]++
				x := &request{kind: k, startedAt: now, work: work[k]}
				if arrive.Float64() < 0.03 {
					x.work *= 7
				}
				m.try(now, x)
			}
		}
		for _, x := range m.due[now] {
			m.try(now, x)
		}
		delete(m.due, now)
		for e := range endpoints {
			if m.speeds[e] = 1; e%3 == 0 && isBurst {
				m.speeds[e] = p.third
			}
			m.serve(now, e)
		}
		for i, b := range m.balancers {
			if (now+i*37)%1000 == 0 {
				b.reported = b.sum
			}
			if (now+i*13)%100 == 0 {
				m.update(now, i, b)
			}
		}
	}
	return m
}

func (m *model) update(now, i int, b *balancer) {
	n := len(m.balancers)
	l := overload.Load{Own: b.sum, Others: n - 1, Reporters: min(10, n-1), Response: 40 * time.Millisecond}
	for k := range l.Reporters {
		l.Reported += m.balancers[(i+1+k)%n].reported
	}
	for _, speed := range m.speeds {
		l.Slots += slots * speed
	}
	b.Update(time.UnixMilli(int64(now)), &l)
}

// try sends a request to the best of four endpoints, by the balancer's own requests there.
func (m *model) try(now int, x *request) {
	x.tries++
	x.balancer = m.random.IntN(len(m.balancers))
	b := m.balancers[x.balancer]
	best, lowest := -1, 0.0
	for range 4 {
		e := m.random.IntN(endpoints)
		if cost := float64(b.own[e]+1) / m.speeds[e]; m.speeds[e] > 0 && (best < 0 || cost < lowest) {
			best, lowest = e, cost
		}
	}
	isRefused := m.isOn && !b.Admits(priorities[x.kind], target*time.Millisecond, m.hashes.Float64())
	if isRefused {
		m.lost[x.kind]++
	}
	if isRefused || best < 0 || len(m.jobs[best]) >= slots+queue {
		if x.tries < tries {
			at := now + 1 + m.random.IntN(m.retry)
			m.due[at] = append(m.due[at], x)
		}
		return
	}
	m.jobs[best] = append(m.jobs[best], x)
	b.own[best]++
	b.sum++
}

// serve works for 1 ms. The clients of a crashed endpoint do not try again, as they do not know what has run.
func (m *model) serve(now, e int) {
	waiting := m.jobs[e][:0]
	for n, x := range m.jobs[e] {
		if n < slots {
			x.work -= m.speeds[e]
		}
		if x.work > 0 && m.speeds[e] > 0 {
			waiting = append(waiting, x)
			continue
		}
		m.balancers[x.balancer].own[e]--
		m.balancers[x.balancer].sum--
		if x.work <= 0 && now-x.startedAt <= target {
			m.good[x.kind]++
		}
	}
	m.jobs[e] = waiting
}
