package main

import (
	"net/netip"
	"sync"
	"time"
)

const (
	linkBytesPerSecond = 10e6 / 8               // link_mbps: 10
	linkQueue          = 490 * time.Millisecond // longest wait; further datagrams are lost
)

// link is the link of a balancer in the direction from the clients. Datagrams wait while it is busy.
type link struct {
	world *world
	to    netip.AddrPort
	queue chan delayed

	mu      sync.Mutex
	freeAt  time.Time
	longest time.Duration
	lost    int
}

type delayed struct {
	at       time.Time
	datagram []byte
}

func newLink(w *world, b *balancer) *link {
	l := &link{world: w, to: netip.AddrPortFrom(b.ip, w.port), queue: make(chan delayed, 65536)}
	go func() {
		for d := range l.queue {
			time.Sleep(time.Until(d.at))
			_, _ = w.conn.WriteToUDPAddrPort(d.datagram, l.to) // a lost one is sent again by the client
		}
	}()
	return l
}

func (l *link) push(datagram []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	wait := l.freeAt.Sub(now)
	if wait > linkQueue {
		l.lost++
		return
	}
	l.longest = max(l.longest, wait)
	l.freeAt = l.freeAt.Add(time.Duration(float64(len(datagram)) / linkBytesPerSecond * float64(time.Second)))
	l.queue <- delayed{l.freeAt, datagram}
}

func (l *link) stats() (longest time.Duration, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.longest, l.lost
}
