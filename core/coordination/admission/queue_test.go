package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/packet"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func all(netip.AddrPort) bool { return true }

func item(n uint64, class packet.Class, customer string) *Item {
	it := &Item{Request: n, Class: class, Customer: customer}
	it.Flow[0], it.Flow[1], it.Flow[2] = byte(n), byte(n>>8), byte(n>>16)
	return it
}

// Guards against a flooding class that gets more than the unused share, against unused share that goes to a less urgent
// class than it should, and against customers of equal demand that are served unequally. Demand is given in items per
// service, and the shares must be exact within 8 of 10,000 services.
func TestFloodLeavesExactShares(t *testing.T) {
	tests := map[string]struct{ demand, want [packet.ClassCount]float64 }{
		"bulk floods tenfold, all at share":   {[3]float64{0.6, 0.3, 1}, [3]float64{0.6, 0.3, 0.1}},
		"urgent floods tenfold, all at share": {[3]float64{6, 0.3, 0.1}, [3]float64{0.6, 0.3, 0.1}},
		"all flood":                           {[3]float64{6, 3, 1}, [3]float64{0.6, 0.3, 0.1}},
		"bulk takes what others leave":        {[3]float64{0.4, 0.2, 1}, [3]float64{0.4, 0.2, 0.4}},
		"urgent takes what normal leaves":     {[3]float64{6, 0.1, 1}, [3]float64{0.8, 0.1, 0.1}},
		"urgent first, then bulk":             {[3]float64{0.7, 0.1, 1}, [3]float64{0.7, 0.1, 0.2}},
		"bulk alone":                          {[3]float64{0, 0, 1}, [3]float64{0, 0, 1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			const services = 10000
			q := New(Config{})
			var arrears, served [packet.ClassCount]float64
			var byCustomer [packet.ClassCount][3]float64
			var pushed [packet.ClassCount]int
			n := uint64(0)
			for range services {
				for c, d := range tt.demand {
					for arrears[c] += d; arrears[c] >= 1; arrears[c]-- {
						n++
						pushed[c]++
						q.Push(epoch, item(n, packet.Class(c), fmt.Sprint(pushed[c]%3)), 0)
					}
				}
				if it, _ := q.Pop(epoch, all, true); it != nil {
					served[it.Class]++
					byCustomer[it.Class][it.Customer[0]-'0']++
				}
			}
			for c, want := range tt.want {
				if math.Abs(served[c]-want*services) > 8 {
					t.Errorf("class %d was served %v times, want %v", c, served[c], want*services)
				}
				if of := byCustomer[c]; max(of[0], of[1], of[2])-min(of[0], of[1], of[2]) > 1 {
					t.Errorf("customers of class %d were served %v times", c, of)
				}
			}
		})
	}
}

// Guards against a customer that gains by having no item in the queue after each request, and against unbounded memory
// or starvation caused by many customers that send one request each.
func TestCustomersThatLeaveGainNothing(t *testing.T) {
	is := is.New(t)
	q := New(Config{Limit: 50000})
	served := map[string]int{}
	for n := uint64(1); n <= 6000; n++ {
		q.Push(epoch, item(3*n, packet.ClassNormal, "stays"), 0)
		if q.classes[packet.ClassNormal].lengthOf("leaves") == 0 {
			q.Push(epoch, item(3*n+1, packet.ClassNormal, "leaves"), 0)
		}
		if n > 2000 {
			q.Push(epoch, item(3*n+2, packet.ClassNormal, fmt.Sprint(n)), 0)
		}
		it, _ := q.Pop(epoch, all, true)
		served[it.Customer]++
		if n == 2000 {
			is.True(served["leaves"] <= served["stays"]+1)
		}
	}
	is.True(len(q.classes[packet.ClassNormal].customers) <= q.Len()+maxIdleCustomers)
	is.True(served["stays"] > 1000)
}

// Guards against pinned items that block others while their endpoint is busy, and against a burst of their class or
// customer once the endpoint is free.
func TestBlockedItemsNeitherBlockNorSaveUpShare(t *testing.T) {
	is := is.New(t)
	q := New(Config{Limit: 10000})
	blocked := func(a netip.AddrPort) bool { return a == pinned(1) }
	for n := uint64(0); n < 1000; n++ {
		it := item(n, packet.ClassUrgent, "pinned")
		it.Endpoint = pinned(2)
		q.Push(epoch, it, 0)
		q.Push(epoch, item(1000+n, packet.ClassBulk, "a"), 0)
	}
	for range 500 {
		it, _ := q.Pop(epoch, blocked, true)
		is.Equal(it.Class, packet.ClassBulk)
	}
	bulk := 0
	for range 100 {
		if it, _ := q.Pop(epoch, all, true); it.Class == packet.ClassBulk {
			bulk++
		}
	}
	is.True(bulk >= 9)
	is.Equal(q.Unpin(pinned(2)), q.LenOf(packet.ClassUrgent))
	waiting := q.LenOf(packet.ClassUrgent)
	it, _ := q.Pop(epoch, blocked, true)
	for it.Class == packet.ClassBulk {
		it, _ = q.Pop(epoch, blocked, true)
	}
	is.Equal(it.Request, uint64(1000-waiting)) // in the order of arrival
}

// Guards against an item that waits for many turns of its class, because later items on other endpoints take each turn.
// The bound on the later items that are served first is what the class can be owed.
func TestItemOfBusyEndpointKeepsItsTurn(t *testing.T) {
	is := is.New(t)
	const endpoints = 5
	random := rand.New(rand.NewPCG(1, 1))
	q := New(Config{})
	var waiting [endpoints]*Item
	later := map[*Item]int{} // by waiting item
	most, request := 0, uint64(0)
	for range 5000 {
		request++
		q.Push(epoch, item(request, packet.ClassUrgent, "a"), 0)
		for e, it := range waiting {
			if it == nil {
				request++
				it = item(request, packet.ClassBulk, "a")
				it.Endpoint = pinned(e)
				waiting[e] = it
				q.Push(epoch, it, 0)
			}
		}
		free := random.IntN(endpoints)
		served, _ := q.Pop(epoch, func(a netip.AddrPort) bool { return a == pinned(free) }, true)
		if served.Class == packet.ClassUrgent {
			continue
		}
		most = max(most, later[served])
		delete(later, served)
		waiting[free] = nil
		for _, it := range waiting {
			if it != nil && it.Request < served.Request {
				later[it]++
			}
		}
	}
	t.Logf("at most %d later items were served before an item", most)
	is.True(most <= maxCredit/10)
}

// Guards against endpoints that stay busy and keep their class from its share on the other endpoints.
func TestBusyEndpointsLeaveTheirClassItsShare(t *testing.T) {
	is := is.New(t)
	const busy, services = 32, 2000
	q := New(Config{Limit: 10000})
	for n := range uint64(busy) {
		it := item(n, packet.ClassBulk, "a")
		it.Endpoint = pinned(2 + int(n))
		q.Push(epoch, it, 0)
	}
	bulk, since, longest := 0, 0, 0
	for n := range uint64(services) {
		q.Push(epoch, item(10_000+2*n, packet.ClassUrgent, "a"), 0)
		q.Push(epoch, item(10_001+2*n, packet.ClassBulk, "a"), 0)
		it, _ := q.Pop(epoch, func(netip.AddrPort) bool { return false }, true)
		since++
		if it.Class == packet.ClassBulk {
			bulk++
			since = 0
		}
		longest = max(longest, since)
	}
	is.True(longest <= maxCredit)
	is.True(bulk >= (services-maxCredit)/10)
}

// Guards against the refusal of the wrong item when the queue is full. Items are numbered in the order of their
// addition.
func TestFullQueueRefusesTheNewestAboveItsShare(t *testing.T) {
	type entry struct {
		class    packet.Class
		customer string
		count    int
	}
	const u, n, b = packet.ClassUrgent, packet.ClassNormal, packet.ClassBulk
	tests := map[string]struct {
		queued  []entry
		add     entry
		refused uint64 // number of the refused item; the new one has 20
		reason  packet.Reason
	}{
		"customer above its share is refused itself":  {[]entry{{n, "a", 16}, {n, "b", 4}}, entry{n, "a", 1}, 20, packet.ReasonShare},
		"other customer takes its place":              {[]entry{{n, "a", 16}, {n, "b", 4}}, entry{n, "b", 1}, 15, packet.ReasonShare},
		"class above its share makes room":            {[]entry{{b, "a", 14}, {u, "a", 6}}, entry{u, "a", 1}, 13, packet.ReasonShare},
		"urgent class above its share makes room too": {[]entry{{u, "a", 20}}, entry{b, "a", 1}, 19, packet.ReasonShare},
		"class within its share keeps its items":      {[]entry{{u, "a", 12}, {n, "a", 6}, {b, "a", 2}}, entry{b, "a", 1}, 20, packet.ReasonShare},
		"no customer is above its share":              {[]entry{{u, "a", 12}, {n, "a", 6}, {b, "a", 1}, {b, "b", 1}}, entry{b, "c", 1}, 20, packet.ReasonQueueFull},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			q := New(Config{Limit: 20})
			number := uint64(0)
			for _, e := range append(tt.queued, tt.add) {
				for range e.count {
					refused := q.Push(epoch, item(number, e.class, e.customer), 0)
					number++
					if number <= 20 {
						is.Equal(len(refused), 0)
						continue
					}
					is.Equal(len(refused), 1)
					is.Equal(refused[0].Item.Request, tt.refused)
					is.Equal(refused[0].Reason, tt.reason)
					is.True(refused[0].RetryAfter >= minRetryAfter)
				}
			}
		})
	}
}

// Guards against items that run after their deadline, and against items that are queued although they cannot start in
// time.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	late, kept := item(1, packet.ClassBulk, "a"), item(2, packet.ClassBulk, "a")
	late.Deadline, kept.Deadline = epoch.Add(time.Second), epoch.Add(time.Second)
	refused := q.Push(epoch, late, 1500*time.Millisecond)
	is.Equal(refused, []Refusal{{late, packet.ReasonDeadline, 500 * time.Millisecond}})
	is.Equal(len(q.Push(epoch, kept, 500*time.Millisecond)), 0)
	at, ok := q.NextExpiry()
	is.True(ok && at.Equal(kept.Deadline))
	it, expired := q.Pop(kept.Deadline, all, true)
	is.Equal(it, nil)
	is.Equal(expired, []*Item{kept})
}

// Guards against a second charge for an attempt that the backend server did not start.
func TestItemThatWasNotStartedIsChargedOnce(t *testing.T) {
	is := is.New(t)
	q := New(Config{})
	for n := range uint64(40) {
		q.Push(epoch, item(n, packet.ClassNormal, fmt.Sprint(n%2)), 0)
	}
	served := map[string]int{}
	for range 20 {
		it, _ := q.Pop(epoch, all, true)
		if it.Customer == "0" {
			it.NotStarted = true
			q.Push(epoch, it, 0)
			again, _ := q.Pop(epoch, all, true)
			if again != it {
				served[again.Customer]++
				again, _ = q.Pop(epoch, all, true)
			}
			is.Equal(again, it)
		}
		served[it.Customer]++
	}
	is.True(served["0"]-served["1"] <= 1 && served["1"]-served["0"] <= 1)
}
