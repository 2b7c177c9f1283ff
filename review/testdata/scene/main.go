// Command scene plays the cases of the review that are scripts: it starts the balancers with the command of the deploy
// file, and stand-ins of the platform's store, the routers, the clients and the endpoints in its own process.
//
// Usage: scene CASE RECORD
//
// It runs in the root of the repository. With TROUBLE=0 in the environment it leaves out the disruption. The exit code
// is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// scene is a small deployment with the figures of the site epeteia-lb.
type scene struct {
	folder             string
	port               uint16 // of the packet sockets of balancers and clients; other ports follow
	network            [2]byte
	store              *store
	balancers          []*balancer
	endpoints          []*endpoint
	clients            []*clients
	fabric             *fabric
	feed, render, edit netip.AddrPort // route addresses
	version            uint64
	hasEnded           atomic.Bool
	hasTrouble         bool
	isZoneQuiet        bool // clients of the first zone open no long flows of their own, and more short ones

	mu     sync.Mutex
	began  time.Time
	record *os.File
}

const (
	serviceFeed   = "ypenthymisi"
	serviceRender = "ektyposi"
	drainTime     = 3000 * time.Millisecond // drain_ms
	applyTime     = 3000 * time.Millisecond // config_apply_ms
	touchTime     = 4000 * time.Millisecond // stable_window_ms
)

var zones = []string{"attiki-a", "attiki-b", "attiki-c"}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: scene CASE RECORD")
		os.Exit(2)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}
	os.Exit(play(run, os.Args[2]))
}

// play starts the scene, runs a case in it and returns the exit code.
func play(run func(s *scene) (breaks int, err error), record string) int {
	s := &scene{began: time.Now(), hasTrouble: os.Getenv("TROUBLE") != "0", isZoneQuiet: os.Args[1] == "busy"}
	defer s.close()
	var err error
	if s.record, err = os.Create(record); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	type result struct {
		breaks int
		err    error
	}
	done := make(chan result, 1)
	go func() {
		if err := s.start(); err != nil {
			done <- result{0, err}
			return
		}
		breaks, err := run(s)
		done <- result{breaks, err}
	}()
	select {
	case r := <-done:
		if r.err != nil {
			s.note("the case could not run: %v", r.err)
			return 2
		}
		s.note("breaks of the rule: %d", r.breaks)
		if r.breaks > 0 {
			return 1
		}
		return 0
	case <-signals:
		s.note("interrupted")
	case <-time.After(110 * time.Second):
		s.note("not finished after 110 s")
	}
	return 2
}

func (s *scene) ip(last byte) netip.Addr {
	return netip.AddrFrom4([4]byte{127, s.network[0], s.network[1], last})
}

// choosePorts selects a range of ports that are free on all addresses.
func (s *scene) choosePorts() error {
	for range 50 {
		s.port = uint16(21000 + 40*rand.IntN(200))
		isFree := true
		for _, offset := range []uint16{0, 1, 2, 10, 30, 31} {
			address := fmt.Sprintf(":%d", s.port+offset)
			l, err := net.Listen("tcp4", address)
			if err != nil {
				isFree = false
				break
			}
			_ = l.Close()
			c, err := net.ListenPacket("udp4", address)
			if err != nil {
				isFree = false
				break
			}
			_ = c.Close()
		}
		if isFree {
			return nil
		}
	}
	return errors.New("no free ports")
}

// machines is the number of balancers.
const machines = 7

// storeAddresses returns the address of the store for each machine.
func (s *scene) storeAddresses() (list []string) {
	for i := range machines {
		list = append(list, netip.AddrPortFrom(s.ip(byte(200+i)), s.port+30).String())
	}
	return list
}

// note writes a line with the time since the start to the record and to the standard output.
func (s *scene) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(s.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = s.record.WriteString(line)
}

func (s *scene) since(t time.Time) string { return fmt.Sprintf("%.3f s", t.Sub(s.began).Seconds()) }

// start starts everything and waits until all balancers are ready and have been in touch.
func (s *scene) start() error {
	var err error
	if s.folder, err = os.MkdirTemp("", "cornellb-review-"); err != nil {
		return err
	}
	if _, err := os.Stat("target/cornellb"); err != nil {
		return err
	}
	s.network = [2]byte{byte(64 + rand.IntN(128)), byte(rand.IntN(250))}
	if err := s.choosePorts(); err != nil {
		return err
	}
	if s.store, err = startStore(s.storeAddresses()); err != nil {
		return err
	}
	s.feed, s.render = netip.AddrPortFrom(s.ip(240), 8443), netip.AddrPortFrom(s.ip(241), 8443)
	s.edit = netip.AddrPortFrom(s.ip(240), 8080)
	s.configure()
	number := byte(0)
	for i, count := range []int{5, 5, 4, 2, 1, 1} {
		service, work := serviceFeed, 40*time.Millisecond
		if i >= 3 {
			service, work = serviceRender, 5*time.Millisecond
		}
		for range count {
			number++
			id := fmt.Sprintf("i-%08x", rand.Uint32()|1)
			e, err := s.startEndpoint(id, service, zones[i%3], s.ip(20+number), work)
			if err != nil {
				return err
			}
			s.endpoints = append(s.endpoints, e)
		}
	}
	seeds := []netip.Addr{s.ip(1), s.ip(4), s.ip(6)}
	for i, zone := range []string{zones[0], zones[0], zones[0], zones[1], zones[1], zones[2], zones[2]} {
		if err := s.addBalancer(fmt.Sprintf("front-%d", i+1), zone, s.ip(byte(i+1)), seeds); err != nil {
			return err
		}
	}
	for _, b := range s.balancers {
		if err := b.start(); err != nil {
			return err
		}
	}
	s.fabric = newFabric(s)
	for i, zone := range zones {
		c, err := s.startClients(zone, s.ip(byte(101+i)))
		if err != nil {
			return err
		}
		s.clients = append(s.clients, c)
	}
	limit := time.Now().Add(15 * time.Second)
	for _, b := range s.balancers {
		for !s.fabric.isReady(b) {
			if time.Now().After(limit) {
				return fmt.Errorf("%s is not ready within 15 s", b.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	s.note("%d balancers are ready, %d endpoints", len(s.balancers), len(s.endpoints))
	for i, c := range s.clients {
		if i == 0 && s.isZoneQuiet {
			go c.render(s.render, 40)
			continue
		}
		go c.render(s.render, 10)
		c.feed(s.feed, 18)
	}
	time.Sleep(touchTime + time.Second)
	return nil
}

// configure writes a new version of the configuration.
func (s *scene) configure() {
	s.version += 3
	type route map[string]any
	routes := []route{}
	add := func(name string, a netip.AddrPort, kind, service string, timeout int) {
		routes = append(routes, route{
			"name": name, "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()), "type": kind,
			"timeout_ms": timeout, "target_latency_ms": 200, "priority": 2, "service": service, "max_attempts": 2,
		})
	}
	add("r-feed", s.feed, "safe", serviceFeed, 1200)
	add("r-render", s.render, "download", serviceRender, 3000)
	add("r-edit", s.edit, "unsafe", serviceFeed, 1500)
	services := []any{}
	for _, name := range []string{serviceFeed, serviceRender} {
		services = append(services, map[string]any{
			"name": name, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": false,
		})
	}
	s.store.put("config", "main", map[string]any{
		"version": s.version, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

func (s *scene) endpointOf(service, zone string) *endpoint {
	for _, e := range s.endpoints {
		if e.service == service && e.zone == zone {
			return e
		}
	}
	return nil
}

func (s *scene) balancerAt(ip netip.Addr) *balancer {
	for _, b := range s.balancers {
		if b.ip == ip {
			return b
		}
	}
	return nil
}

// summarize notes how the requests of the clients ended, and writes each request and each run to the record.
func (s *scene) summarize() {
	s.hasEnded.Store(true)
	var lines []string
	for _, c := range s.clients {
		c.mu.Lock()
		outcomes := map[string]int{}
		for _, a := range c.attempts {
			outcomes[a.outcome]++
			if a.outcome == "200" && a.answerer != s.serviceOf(a.route) {
				s.note("%s, sent to %s, is answered by %s", a.id, a.route, a.answerer)
			}
			lines = append(lines, fmt.Sprintf("sent %8.3f  %s to %s: %s %s", a.sent.Sub(s.began).Seconds(), a.id, a.route, a.outcome, a.answerer))
		}
		s.note("clients of %s: %d requests, by outcome %v; %d packets forged", c.zone, len(c.attempts), outcomes, c.forged)
		c.mu.Unlock()
	}
	for _, e := range s.endpoints {
		e.mu.Lock()
		s.note("endpoint %s of %s in %s: %d openings, %d requests run, %d packets of unknown flows, %d forged", e.id, e.service,
			e.zone, len(e.openings), len(e.runs), e.resets, e.forged)
		for _, r := range e.runs {
			_, id, _ := strings.Cut(r.request, "Request-Id: ")
			id, _, _ = strings.Cut(id, "\r")
			lines = append(lines, fmt.Sprintf("run  %8.3f  %s at %s of %s", r.at.Sub(s.began).Seconds(), id, e.id, e.service))
		}
		e.mu.Unlock()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.record.WriteString(strings.Join(lines, "\n") + "\n")
}

func (s *scene) serviceOf(route netip.AddrPort) string {
	if route == s.render {
		return serviceRender
	}
	return serviceFeed
}

func (s *scene) close() {
	s.hasEnded.Store(true)
	for _, b := range s.balancers {
		b.kill()
	}
	for _, e := range s.endpoints {
		e.close()
	}
	if os.Getenv("KEEP") == "" && strings.Contains(s.folder, "cornellb-review-") {
		_ = os.RemoveAll(s.folder)
	}
	if s.record != nil {
		_ = s.record.Close()
	}
}
