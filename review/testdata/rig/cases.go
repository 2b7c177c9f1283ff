package main

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	reminders = "ypenthymisi"
	images    = "ektyposi"
	mainPort  = 8443 // of the route that the cases use
)

// start starts endpoints and balancers, and waits until the balancers have been ready for the stable window.
func (w *world) start(balancers []string, endpoints func() error) error {
	if err := endpoints(); err != nil {
		return err
	}
	if err := w.configure(100, w.routeEntry("feed", mainPort, reminders, 2)); err != nil {
		return err
	}
	for _, zone := range balancers {
		if err := w.startBalancer(zone); err != nil {
			return err
		}
	}
	if err := w.awaitReady(); err != nil {
		return err
	}
	time.Sleep(stableWindow + time.Second)
	w.logf("traffic starts")
	return nil
}

func (w *world) addEndpoints(service, zone string, n, maxConns int, work time.Duration) error {
	for range n {
		e, err := startEndpoint(w, len(w.endpoints), service, zone, maxConns, work)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
	}
	return nil
}

// openSteadily opens a flow every interval until stop is closed, and waits for the end of all.
func (w *world) openSteadily(l load, interval time.Duration, stop <-chan struct{}) {
	var flows sync.WaitGroup
	defer flows.Wait()
	for next := time.Now(); ; {
		select {
		case <-stop:
			return
		case <-time.After(time.Until(next)):
		}
		next = next.Add(interval)
		flows.Go(func() { w.runFlow(l) })
	}
}

// runPause stops one balancer for 3.5 s and lets it continue.
func runPause(w *world) error {
	const zone = "attiki-a"
	err := w.start([]string{zone, zone, zone, "attiki-b", "attiki-b", "attiki-c", "attiki-c"}, func() error {
		for _, x := range []struct {
			zone string
			n    int
		}{{zone, 5}, {"attiki-b", 5}, {"attiki-c", 4}} {
			if err := w.addEndpoints(reminders, x.zone, x.n, 2000, 40*time.Millisecond); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.openSteadily(load{
			zone: zone, route: w.routeAddress(mainPort), life: func() time.Duration { return 9 * time.Second },
			pause: between(7500*time.Millisecond, 8500*time.Millisecond), deadline: 1200 * time.Millisecond,
		}, 20*time.Millisecond, stop)
	}()
	time.Sleep(6 * time.Second)
	const paused = 3500 * time.Millisecond
	if hasTrouble {
		process := w.balancers[0].command.Process
		var continuedAt atomic.Int64 // ns after the start; 0 while the process is stopped
		w.isInTouch = func(machine netip.Addr, now time.Time) bool {
			at := time.Duration(continuedAt.Load())
			return machine != w.balancers[0].ip || at > 0 && now.Sub(w.began) > at+stableWindow
		}
		w.logf("%s is stopped", w.balancers[0].node)
		if err := process.Signal(syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(paused)
		w.logf("%s continues", w.balancers[0].node)
		if err := process.Signal(syscall.SIGCONT); err != nil {
			return err
		}
		continuedAt.Store(int64(time.Since(w.began)))
	} else {
		time.Sleep(paused)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	<-done
	return nil
}

// runMoved moves a route from a service whose endpoints are full to another one.
func runMoved(w *world) error {
	const zone = "attiki-a"
	err := w.start([]string{zone, zone, zone}, func() error {
		if err := w.addEndpoints(reminders, zone, 2, 40, 40*time.Millisecond); err != nil {
			return err
		}
		return w.addEndpoints(images, zone, 4, 2000, 40*time.Millisecond)
	})
	if err != nil {
		return err
	}
	w.watchRun = w.checkRollback
	l := load{
		zone: zone, route: w.routeAddress(mainPort), life: between(1500*time.Millisecond, 2500*time.Millisecond),
		pause: between(60*time.Millisecond, 140*time.Millisecond), deadline: 1200 * time.Millisecond,
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	client := func(stop <-chan struct{}) {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if f := w.runFlow(l); !f.isOpen {
				time.Sleep(between(100*time.Millisecond, 300*time.Millisecond)())
			}
		}
	}
	const usual = 60
	for range usual {
		clients.Go(func() { client(stop) })
	}
	time.Sleep(4 * time.Second)
	if hasTrouble {
		w.logf("burst: 2.4 times the clients")
		for range usual * 14 / 10 {
			clients.Go(func() { client(stop) })
		}
	}
	time.Sleep(3 * time.Second)
	if err := w.configure(107, w.routeEntry("feed", mainPort, images, 2)); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	close(stop)
	clients.Wait()
	return nil
}

// checkRollback checks the second line of the rule CONFIG after the route has moved from reminders to images: once an
// endpoint of images has run a request through a balancer, no request that was sent through this balancer more than
// rollbackSlack later may be run by reminders. A flow counts by the opening packet that its endpoint took.
func (w *world) checkRollback(port uint16, e *endpoint, f *endpointFlow, now time.Time) {
	w.mu.Lock()
	c := w.flows[port]
	if c == nil || int(f.copyNo) >= len(c.synAt) {
		w.mu.Unlock()
		return
	}
	effects := w.effects[f.via]
	if effects == nil {
		effects = map[string]time.Time{}
		w.effects[f.via] = effects
	}
	if effects[e.service].IsZero() {
		effects[e.service] = now
	}
	effect, sentAt, isFirst := effects[images], c.synAt[f.copyNo], c.requests == 1
	w.mu.Unlock()
	if e.service == reminders && isFirst && !effect.IsZero() && sentAt.After(effect.Add(rollbackSlack)) {
		w.breakRule("CONFIG: port %d: copy %d of the SYN was sent through %s at %s, %d ms after an endpoint of %s had run a request "+
			"through it at %s; endpoint %s of the former service runs the request", port, f.copyNo, w.nameOf(f.via), w.clock(sentAt),
			sentAt.Sub(effect).Milliseconds(), images, w.clock(effect), e.name())
	}
}

// runStore changes the address of the store in the settings of all balancers, and later the configuration.
func runStore(w *world) error {
	const zone = "attiki-a"
	err := w.start([]string{zone, zone, zone}, func() error {
		if err := w.addEndpoints(reminders, zone, 3, 2000, 20*time.Millisecond); err != nil {
			return err
		}
		return w.addEndpoints(images, zone, 3, 2000, 20*time.Millisecond)
	})
	if err != nil {
		return err
	}
	var changedAt time.Time
	w.watchRun = func(port uint16, e *endpoint, f *endpointFlow, now time.Time) {
		w.mu.Lock()
		c := w.flows[port]
		var sentAt time.Time
		if c != nil && int(f.copyNo) < len(c.synAt) {
			sentAt = c.synAt[f.copyNo]
		}
		limit := changedAt
		w.mu.Unlock()
		if e.service == reminders && !limit.IsZero() && sentAt.After(limit.Add(configApply+maxStretch)) {
			w.breakRule("CONFIG: port %d: its SYN was sent %d ms after the new configuration was acknowledged; endpoint %s of the former "+
				"service runs the request", port, sentAt.Sub(limit).Milliseconds(), e.name())
		}
	}
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.openSteadily(load{
			zone: zone, route: w.routeAddress(mainPort), life: between(400*time.Millisecond, 800*time.Millisecond),
			pause: between(100*time.Millisecond, 200*time.Millisecond), deadline: 1200 * time.Millisecond,
		}, 100*time.Millisecond, stop)
	}()
	time.Sleep(3 * time.Second)
	if hasTrouble {
		former := w.listener
		if w.listener, err = w.store.Listen(netip.AddrPortFrom(w.ip(2), 0).String()); err != nil {
			return err
		}
		w.logf("the store moves from %s to %s; the settings of the balancers are written, and they get SIGHUP in turn", former.Address,
			w.listener.Address)
		for i, b := range w.balancers {
			if i > 0 {
				time.Sleep(2 * time.Second)
			}
			if err := w.writeSettings(b, w.listener.Address); err != nil {
				return err
			}
			if err := b.command.Process.Signal(syscall.SIGHUP); err != nil {
				return err
			}
		}
		time.Sleep(8 * time.Second)
		former.Close()
		w.logf("the store no longer answers at its former address")
	}
	time.Sleep(stableWindow + 2*time.Second)
	w.mu.Lock()
	changedAt = time.Now()
	w.mu.Unlock()
	if err := w.configure(107, w.routeEntry("feed", mainPort, images, 2)); err != nil {
		return err
	}
	time.Sleep(configApply + maxStretch + 3*time.Second)
	close(stop)
	<-done
	calls := func(l interface{ Calls() (int64, int64) }) int64 { n, _ := l.Calls(); return n }
	w.logf("calls at the present address of the store: %d", calls(w.listener))
	fmt.Println("calls at the present address of the store:", calls(w.listener))
	return nil
}

// runForeign lets another writer replace the entry of one endpoint by one with a service that nobody names, and the endpoint
// write its own entry again with its next heartbeat.
func runForeign(w *world) error {
	const zone = "attiki-a"
	err := w.start([]string{zone, zone, zone}, func() error {
		return w.addEndpoints(reminders, zone, 4, 2000, 20*time.Millisecond)
	})
	if err != nil {
		return err
	}
	victim, other := w.endpoints[0], w.endpoints[1]
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.openSteadily(load{
			zone: zone, route: w.routeAddress(mainPort), life: between(9*time.Second, 12*time.Second),
			pause: between(500*time.Millisecond, 3500*time.Millisecond), deadline: 3 * time.Second,
		}, 50*time.Millisecond, stop)
	}()
	time.Sleep(6 * time.Second)
	if hasTrouble {
		entry := victim.entry(1)
		entry["service"], entry["address"], entry["born"] = "reports", other.address.String(), time.Now().UnixMilli()
		w.logf("another writer replaces the entry of %s: %v", victim.name(), entry)
		if err := w.store.Put("servers", victim.id, entry); err != nil {
			return err
		}
	}
	time.Sleep(heartbeat)
	w.logf("%s writes its entry again", victim.name())
	if err := w.store.Put("servers", victim.id, victim.entry(2)); err != nil {
		return err
	}
	time.Sleep(time.Second)
	w.watchArrivals(true)
	time.Sleep(3 * reorderTime)
	w.watchArrivals(false)
	close(stop)
	<-done
	return nil
}

// runQueue lets many clients upload at once, so that packets wait at the link of a balancer for less than half a second,
// while few clients open flows to another service through the same link.
func runQueue(w *world) error {
	const zone, quietPort = "attiki-a", 8080
	err := w.start([]string{zone, "attiki-b", "attiki-c"}, func() error {
		if err := w.addEndpoints(reminders, zone, 6, 2000, 10*time.Millisecond); err != nil {
			return err
		}
		return w.addEndpoints(images, zone, 8, 2000, 10*time.Millisecond)
	})
	if err != nil {
		return err
	}
	if err := w.configure(107, w.routeEntry("edits", mainPort, reminders, 2),
		w.routeEntry("images", quietPort, images, 2)); err != nil {
		return err
	}
	time.Sleep(configApply)
	w.balancers[0].link = newLink(w, w.balancers[0])
	stop, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		w.openSteadily(load{
			zone: zone, route: w.routeAddress(quietPort), life: between(300*time.Millisecond, 600*time.Millisecond),
			pause: between(200*time.Millisecond, 300*time.Millisecond), deadline: 1500 * time.Millisecond,
		}, 100*time.Millisecond, stop)
	}()
	uploads := load{
		zone: zone, route: w.routeAddress(mainPort), life: between(4*time.Second, 6*time.Second),
		pause: between(15*time.Millisecond, 25*time.Millisecond), deadline: 1500 * time.Millisecond, bytes: 890, isBrief: true,
	}
	var clients sync.WaitGroup
	upload := func(stop <-chan struct{}) {
		for {
			select {
			case <-stop:
				return
			default:
			}
			if f := w.runFlow(uploads); f.end != "closed" {
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
	const usual = 125
	for range usual {
		clients.Go(func() { upload(stop) })
	}
	time.Sleep(4 * time.Second)
	end := make(chan struct{})
	if hasTrouble {
		w.logf("burst: 2.4 times the clients for 6 s")
		for range usual * 14 / 10 {
			clients.Go(func() { upload(end) })
		}
	}
	time.Sleep(6 * time.Second)
	close(end)
	time.Sleep(3 * time.Second)
	close(stop)
	<-done
	clients.Wait()
	longest, lost := w.balancers[0].link.stats()
	w.logf("longest wait at the link: %v; lost there: %d", longest, lost)
	fmt.Println("longest wait at the link:", longest, "lost there:", lost)
	return nil
}
