package backend

import (
	"context"
	"sync"
)

// gate blocks the goroutines of a frozen connection. It is open or shut, and open at first.
type gate struct {
	lock   sync.Mutex
	opened chan struct{} // closed while the gate is open
}

func newGate() *gate {
	g := &gate{opened: make(chan struct{})}
	close(g.opened)
	return g
}

func (g *gate) isOpen() bool {
	select {
	case <-g.opened:
		return true
	default:
		return false
	}
}

func (g *gate) shut() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.isOpen() {
		g.opened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.lock.Lock()
	defer g.lock.Unlock()
	if !g.isOpen() {
		close(g.opened)
	}
}

// wait blocks until the gate is open. It returns false if the context ends first.
func (g *gate) wait(ctx context.Context) bool {
	g.lock.Lock()
	opened := g.opened
	g.lock.Unlock()
	select {
	case <-opened:
		return true
	case <-ctx.Done():
		return false
	}
}
