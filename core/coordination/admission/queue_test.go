package admission

import (
	"fmt"
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

// Guards against shares other than the weights while all classes and customers have work.
func TestBackloggedSharesAreExact(t *testing.T) {
	is := is.New(t)
	q := New(Config{Limit: 6000})
	n := uint64(0)
	for class := range packet.ClassCount {
		for cu := range 4 {
			for range 500 {
				n++
				is.Equal(len(q.Push(epoch, item(n, class, fmt.Sprint(cu)), 0)), 0)
			}
		}
	}
	served := map[packet.Class]int{}
	byCustomer := map[string]int{}
	for range 1000 {
		it, _ := q.Pop(epoch, all, true)
		served[it.Class]++
		byCustomer[it.Customer]++
	}
	is.Equal(served, map[packet.Class]int{packet.ClassUrgent: 600, packet.ClassNormal: 300, packet.ClassBulk: 100})
	is.Equal(byCustomer, map[string]int{"0": 250, "1": 250, "2": 250, "3": 250})
}
