package main

import (
	"net/netip"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond // heartbeat_ms
	reorderTime = 2 * time.Second         // reorder_ms
)

// arrivals holds where the packets of one flow have arrived since the last one at its own endpoint.
type arrivals struct {
	since     time.Time // when the first of them arrived elsewhere
	elsewhere int
}

// watchArrivals begins or ends the check of part (b) of the rule FLOW.
func (w *world) watchArrivals(isOn bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.arrivals = nil
	if isOn {
		w.arrivals = map[uint16]*arrivals{}
	}
}

// noteArrival is called for each packet that reaches an endpoint. While arrivals are watched, it checks whether, for
// reorderTime, three or more of the packets of an open flow reach other endpoints and none its own.
func (w *world) noteArrival(p *packet, e *endpoint, via netip.Addr, isIntended bool) {
	now, port := time.Now(), p.src.Port()
	w.mu.Lock()
	f := w.flows[port]
	if w.arrivals == nil || f == nil || p.flags&flagSyn != 0 || !f.openAt.IsValid() {
		w.mu.Unlock()
		return
	}
	a := w.arrivals[port]
	if a == nil {
		a = &arrivals{}
		w.arrivals[port] = a
	}
	if e.address.Addr() == f.openAt {
		*a = arrivals{}
		w.mu.Unlock()
		return
	}
	if a.elsewhere++; a.elsewhere == 1 {
		a.since = now
		time.AfterFunc(reorderTime, func() { w.checkArrivals(port, f, e, now) })
	}
	w.mu.Unlock()
	w.logf("packet of the flow of port %d, which is open at %s, reaches %s through %s; intended for it: %v", port, w.nameOf(f.openAt), e.name(),
		w.nameOf(via), isIntended)
}

// checkArrivals is called reorderTime after the first packet of a flow has reached another endpoint.
func (w *world) checkArrivals(port uint16, f *clientFlow, e *endpoint, since time.Time) {
	w.mu.Lock()
	a := w.arrivals[port]
	isBroken := a != nil && a.since.Equal(since) && a.elsewhere >= 3 && w.flows[port] == f
	n := 0
	if isBroken {
		n = a.elsewhere
	}
	w.mu.Unlock()
	if isBroken {
		w.breakRule("FLOW: port %d: for %v, from %s, %d packets of the flow reached other endpoints (%s first) and none its own, %s", port, reorderTime,
			w.clock(since), n, e.name(), w.nameOf(f.openAt))
	}
}
