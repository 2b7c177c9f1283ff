package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

var cases = map[string]func(s *scene) (breaks int, err error){
	"stale": stale, "silent": silent, "entry": entry, "busy": busy, "burst": burst,
}

// lateOpenings notes and counts the opening packets that an endpoint took later than drain_ms after the store had
// acknowledged its draining, from balancers that were in touch: the cases disturb no other balancer in the 4 s before.
func (s *scene) lateOpenings(e *endpoint, acknowledged time.Time) (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	after, last := 0, time.Duration(0)
	for _, o := range e.openings {
		if o.at.Before(acknowledged) {
			continue
		}
		after++
		last = o.at.Sub(acknowledged)
		if o.at.Sub(acknowledged) <= drainTime || !s.balancerAt(o.via).hasStartedBefore(o.at.Add(-touchTime)) {
			continue
		}
		n++
		s.note("DRAIN: %s took an opening packet %d ms after the store had acknowledged that it drains, at %s, from %s through %s",
			e.id, o.at.Sub(acknowledged).Milliseconds(), s.since(o.at), o.flow.client, s.balancerAt(o.via).name)
	}
	s.note("endpoint %s of %s: %d openings after the acknowledgement, the last one after %d ms, %d of them later than %d ms", e.id,
		e.service, after, last.Milliseconds(), n, drainTime.Milliseconds())
	return n
}

// replicaLag is how far calls with serializable=1 are behind: x of platform_compact in the site's list of troubles.
const replicaLag = 5500 * time.Millisecond

// stale lets the store answer calls with serializable=1 with data that is seconds old, while one endpoint of each
// service drains.
func stale(s *scene) (breaks int, err error) {
	if s.hasTrouble {
		s.store.setLag(replicaLag)
		s.note("calls with serializable=1 return data that is %d ms old from now on", replicaLag.Milliseconds())
	}
	time.Sleep(replicaLag + time.Second)
	var drained []*endpoint
	var acknowledged []time.Time
	for _, service := range []string{serviceFeed, serviceRender} {
		e := s.endpointOf(service, zones[0])
		drained = append(drained, e)
		acknowledged = append(acknowledged, e.drain())
		s.note("the store acknowledges that %s of %s drains", e.id, e.service)
	}
	time.Sleep(drainTime + 5*time.Second)
	for i, e := range drained {
		breaks += s.lateOpenings(e, acknowledged[i])
		e.leave()
		s.note("%s has left", e.id)
	}
	time.Sleep(time.Second)
	s.summarize()
	s.store.mu.Lock()
	s.note("the store had %d calls, of which the replica answered %d looks from old data", s.store.calls, s.store.lateCalls)
	s.store.mu.Unlock()
	return breaks, nil
}

// silent lets the open connections of one machine to the store go silent, and later kills the other balancer of its zone,
// which reads the store for both. Then an endpoint of the zone drains.
func silent(s *scene) (breaks int, err error) {
	zone := zones[1]
	reader := s.readerOf(zone)
	if reader == nil {
		return 0, fmt.Errorf("%s has no reader", zone)
	}
	other := -1
	for i, b := range s.balancers {
		if b.zone == zone && b != reader {
			other = i
		}
	}
	s.note("balancers of %s: %s reads the store, %s does not", zone, reader.name, s.balancers[other].name)
	if s.hasTrouble {
		s.note("%d open connections of %s to the store go silent", s.store.silence(other), s.balancers[other].name)
	}
	time.Sleep(touchTime + time.Second)
	if s.hasTrouble || os.Getenv("KILL") == "1" {
		reader.kill()
		s.note("%s is killed", reader.name)
	}
	var drained []*endpoint
	var acknowledged []time.Time
	for _, service := range []string{serviceFeed, serviceRender} {
		e := s.endpointOf(service, zone)
		drained = append(drained, e)
		acknowledged = append(acknowledged, e.drain())
		s.note("the store acknowledges that %s of %s drains", e.id, e.service)
	}
	time.Sleep(drainTime + 5*time.Second)
	for i, e := range drained {
		breaks += s.lateOpenings(e, acknowledged[i])
	}
	s.summarize()
	return breaks, nil
}

func (s *scene) readerOf(zone string) *balancer {
	for _, b := range s.balancers {
		if b.zone == zone && b.reads() {
			return b
		}
	}
	return nil
}

// entry lets another writer replace the entry of an endpoint, once, by one that lacks fields and names another service.
func entry(s *scene) (breaks int, err error) {
	e := s.endpointOf(serviceFeed, zones[0])
	e.awaitWrite()
	if s.hasTrouble {
		e.mu.Lock()
		odd := e.entry(serviceRender, "ready")
		e.mu.Unlock()
		for _, field := range []string{"version", "cold_remaining_ms", "seq", "born"} {
			delete(odd, field)
		}
		s.store.put("servers", e.id, odd)
		s.note("another writer replaces the entry of %s of %s by %v", e.id, e.service, odd)
	}
	time.Sleep(4 * heartbeat)
	e.mu.Lock()
	for _, r := range e.runs {
		if r.route == s.render {
			breaks++
			s.note("ROUTE: %s of %s ran a request that was sent to %s, which only %s may serve, at %s", e.id, e.service, r.route,
				serviceRender, s.since(r.at))
		}
	}
	e.mu.Unlock()
	s.summarize()
	return breaks, nil
}

// edits opens flows on the route of card-edit until an endpoint holds enough of them: first flows through one balancer and
// behind flows through another one.
func (s *scene) edits(e *endpoint, first, behind int) (one, other []*clientFlow, err error) {
	c := s.clients[0]
	byBalancer := map[*balancer][]*clientFlow{}
	for {
		f := c.newFlow(s.edit)
		if outcome := f.open(); outcome != "" {
			return nil, nil, fmt.Errorf("a flow did not open: %s", outcome)
		}
		time.Sleep(time.Millisecond) // the last packet of the handshake is on its way
		if !e.holds(f.key) {
			f.close()
			continue
		}
		b := s.fabric.choose(c.zone, f.key)
		byBalancer[b] = append(byBalancer[b], f)
		for x, list := range byBalancer {
			for y, few := range byBalancer {
				if x != y && len(list) >= first && len(few) >= behind {
					s.note("%s of %s holds %d flows through %s, and through %s the %d flows that are watched", e.id, e.service, first, x.name,
						y.name, behind)
					return list[:first], few[:behind], nil
				}
			}
		}
	}
}

// sender sends requests on open flows and counts the flows that a balancer has reset.
type sender struct {
	scene  *scene
	e      *endpoint
	work   sync.WaitGroup
	resets atomic.Int32
}

// send sends a request on each of the flows at once.
func (x *sender) send(name string, flows []*clientFlow) {
	for i, f := range flows {
		id := fmt.Sprintf("long-%s-%d", name, i)
		x.work.Go(func() {
			s := x.scene
			sent := time.Now()
			s.note("%s is sent on the open flow of %s", id, f.key.client)
			outcome, _ := f.request(id, 1500*time.Millisecond)
			s.note("%s: %s after %d ms", id, outcome, time.Since(sent).Milliseconds())
			if outcome == "reset by a balancer" && x.e.holds(f.key) {
				x.resets.Add(1)
				s.note("FLOW: %s was reset by a balancer; its endpoint %s lives and holds the flow", f.key.client, x.e.id)
			}
		})
	}
}

// finish waits for all outcomes, and notes when the endpoint has begun to work on the requests.
func (x *sender) finish() int {
	x.work.Wait()
	time.Sleep(time.Second)
	x.e.mu.Lock()
	for _, r := range x.e.runs {
		if _, id, ok := strings.Cut(r.request, "Request-Id: "); ok && strings.HasPrefix(id, "long") {
			id, _, _ = strings.Cut(id, "\r")
			x.scene.note("%s began to work on %s at %s", x.e.id, id, x.scene.since(r.at))
		}
	}
	x.e.mu.Unlock()
	x.scene.summarize()
	return int(x.resets.Load())
}

// Requests at one endpoint, which has 3 slots and queues 12 more: those that come first, and those that wait for them.
const (
	requestsFirst  = 8
	requestsBehind = 3
	behindBy       = 60 * time.Millisecond
)

// burst sends long requests on several flows of one endpoint at once, most of them through one balancer and some through
// another one.
func burst(s *scene) (breaks int, err error) {
	e := s.endpointOf(serviceFeed, zones[0])
	one, other, err := s.edits(e, requestsFirst, requestsBehind)
	if err != nil {
		return 0, err
	}
	x := &sender{scene: s, e: e}
	if s.hasTrouble {
		x.send("first", one)
		time.Sleep(behindBy)
	}
	x.send("watched", other)
	return x.finish(), nil
}

// busy lets another writer replace the entry of an endpoint by one that cannot be used, while the endpoint works on more
// requests than it has slots. One of the flows that wait goes through a balancer of its own.
func busy(s *scene) (breaks int, err error) {
	e := s.endpointOf(serviceFeed, zones[0])
	one, other, err := s.edits(e, requestsFirst, 1)
	if err != nil {
		return 0, err
	}
	e.awaitWrite()
	if s.hasTrouble {
		s.store.put("servers", e.id, map[string]any{"service": nil, "address": e.address.String(), "state": 7})
		s.note("another writer replaces the entry of %s by one without a service and with a number as its state", e.id)
	}
	x := &sender{scene: s, e: e}
	x.send("first", one)
	time.Sleep(behindBy)
	x.send("watched", other)
	return x.finish(), nil
}

func (e *endpoint) holds(k flowKey) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.flows[k] != nil
}

// awaitWrite waits until the endpoint has written its entry.
func (e *endpoint) awaitWrite() {
	seq := func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.seq
	}
	for before := seq(); seq() == before; {
		time.Sleep(time.Millisecond)
	}
}
