// Package process_test checks the guarantees of docs/design.md section 1 with real processes on loopback, some of which
// it kills, stops, drains and replaces under load.
//
// # Usage
//
//	f := startFleet(t, options{})
//	load := f.startLoad(caller.Config{})
//	f.balancers[0].process.kill()
//	f.checkResult(load.stop(t))
//
// During the whole test, the fleet fails the test if the table version of a balancer goes down.
package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/state/table"
	protocol "cornellb/io/protocol/platform"
	"cornellb/io/transport/host"
	"cornellb/standin/backend"
	"cornellb/standin/platform"
)

const (
	reminders       = "reminders"
	rendering       = "rendering"
	slots           = 3
	connections     = 2000
	eventualTimeout = 20 * time.Second // for every condition that must hold eventually; generous for a busy machine
	drainLimit      = 10 * time.Second // setting of the balancers
	drainMargin     = 10 * time.Second // beyond the drain limit, for the last handovers and a busy machine
	watchInterval   = 100 * time.Millisecond
	ticketSecret    = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

var (
	services = map[string]netip.AddrPort{
		reminders: netip.MustParseAddrPort("10.1.0.1:80"), rendering: netip.MustParseAddrPort("10.1.0.2:80"),
	}
	domains = []string{"attiki-1", "attiki-2", "attiki-3"}
	// httpClient has a timeout because a stopped process never answers.
	httpClient = &http.Client{Timeout: 2 * time.Second}
)

// options configure a fleet. The zero value gives 4 running balancers and 5 backend servers.
type options struct {
	drainLimit  time.Duration
	serviceTime time.Duration // median; 30 ms if 0
	bulkTime    time.Duration // median for requests of the class bulk; serviceTime if 0
	spare       int           // number of the 4 balancers that startFleet does not start
}

// balancer is the ID, settings and addresses of one balancer. Its process may be replaced.
type balancer struct {
	id, settings, caller, operator string
	process                        *process // nil before it is started
}

// server is one backend server.
type server struct {
	service, domain, control string
	address                  netip.AddrPort
	process                  *process
	lastReport               *backend.Report // read before the process was killed; nil while it runs
}

// fleet is a running deployment.
type fleet struct {
	t               *testing.T
	options         options
	folder          string
	platform        string // URL
	fabric          string // control URL
	platformProcess *process
	targets         map[string]string // address for callers by service
	balancers       []*balancer
	servers         []*server // the first 4 serve reminders, in the domains 1, 2, 3 and 1; the last one serves rendering
	tables          table.Tables
	runs            int // loads started so far

	lock      sync.Mutex
	processes []*process
}

func startFleet(t *testing.T, o options) *fleet {
	t.Helper()
	if o.drainLimit == 0 {
		o.drainLimit = drainLimit
	}
	if o.serviceTime == 0 {
		o.serviceTime = 30 * time.Millisecond
	}
	if o.bulkTime == 0 {
		o.bulkTime = o.serviceTime
	}
	f := &fleet{t: t, options: o, folder: t.TempDir(), targets: map[string]string{}}
	t.Cleanup(f.close)
	f.platform = "http://" + freeAddress(t)
	f.startPlatform()
	for i := range 4 {
		f.addServer(reminders, domains[i%len(domains)])
	}
	f.addServer(rendering, domains[1])
	f.writeSettingsAndStartFabric(4)
	f.tables = f.initialTables()
	f.awaitStandins()
	f.apply(func(*table.Tables) {})
	for _, b := range f.balancers[:len(f.balancers)-o.spare] {
		f.startBalancer(b)
	}
	for _, b := range f.live() {
		f.awaitReady(b)
	}
	f.awaitMembers()
	stop := f.watchVersions()
	t.Cleanup(stop)
	return f
}

func (f *fleet) start(name, program string, args ...string) *process {
	f.t.Helper()
	p := startProcess(f.t, f.folder, name, program, args...)
	f.lock.Lock()
	defer f.lock.Unlock()
	f.processes = append(f.processes, p)
	return p
}

// close ends all processes, and prints their logs if the test failed.
func (f *fleet) close() {
	for _, p := range f.processes {
		p.kill()
	}
	if !f.t.Failed() {
		return
	}
	for _, p := range f.processes {
		p.printLog(f.t)
	}
}

func (f *fleet) startPlatform() {
	f.platformProcess = f.start("platform", "standin", "platform", "--listen", strings.TrimPrefix(f.platform, "http://"))
}

// addServer starts a backend server. No table names it yet.
func (f *fleet) addServer(service, domain string) *server {
	control := freeAddress(f.t)
	s := &server{
		service: service, domain: domain, control: "http://" + control,
		address: netip.MustParseAddrPort(freeAddress(f.t)),
	}
	s.process = f.start(fmt.Sprintf("server-%d", len(f.servers)), "standin", "backend", "--listen", s.address.String(),
		"--control", control, "--service", service, "--slots", fmt.Sprint(slots), "--feed-interval", feedInterval.String(),
		"--normal-time", f.options.serviceTime.String(), "--bulk-time", f.options.bulkTime.String())
	f.servers = append(f.servers, s)
	return s
}

func (s *server) endpoint() table.Endpoint {
	return table.Endpoint{Address: s.address, FailureDomain: s.domain, Slots: slots, Connections: connections}
}

func (s *server) report() (backend.Report, error) {
	if s.lastReport != nil {
		return *s.lastReport, nil
	}
	var r backend.Report
	return r, call(http.MethodGet, s.control+"/report", nil, &r)
}

// stopServer reads the report of a backend server and kills its process.
func (f *fleet) stopServer(s *server) {
	f.t.Helper()
	r, err := s.report()
	if err != nil {
		f.t.Fatal(err)
	}
	s.lastReport = &r
	s.process.kill()
}

// writeSettingsAndStartFabric writes the settings files of the balancers and starts the fabric in front of them.
func (f *fleet) writeSettingsAndStartFabric(count int) {
	inner, control := freeAddress(f.t), freeAddress(f.t)
	f.fabric = "http://" + control
	args := []string{"fabric", "--listen", inner, "--control", control}
	for name, a := range services {
		f.targets[name] = freeAddress(f.t)
		args = append(args, "--address", fmt.Sprintf("%s=%s", a, f.targets[name]))
	}
	var peers []string
	for range count {
		peers = append(peers, freeAddress(f.t))
	}
	for i, peer := range peers {
		b := &balancer{id: fmt.Sprintf("balancer-%d", i), caller: freeAddress(f.t), operator: freeAddress(f.t)}
		var text strings.Builder
		fmt.Fprintf(&text, "id: %s\nfailure_domain: %s\ncaller_address: %s\nfabric_address: %s\n", b.id,
			domains[i%len(domains)], b.caller, inner)
		fmt.Fprintf(&text, "peer_address: %s\noperator_address: %s\nplatform: %s\n", peer, b.operator, f.platform)
		fmt.Fprintf(&text, "drain_limit: %s\nticket_keys:\n  - id: 1\n    secret: %s\npeers:\n", f.options.drainLimit,
			ticketSecret)
		for j, p := range peers {
			if j != i {
				fmt.Fprintf(&text, "  - %s\n", p)
			}
		}
		b.settings = filepath.Join(f.folder, b.id+".yaml")
		if err := os.WriteFile(b.settings, []byte(text.String()), 0o600); err != nil {
			f.t.Fatal(err)
		}
		args = append(args, "--balancer", b.caller, "--health", b.caller+"=http://"+b.operator)
		f.balancers = append(f.balancers, b)
	}
	f.start("fabric", "standin", args...)
}

func (f *fleet) initialTables() table.Tables {
	t := table.Tables{}
	for _, name := range []string{reminders, rendering} {
		t.Routes = append(t.Routes, table.Route{Name: name, Address: services[name], Service: name, Pool: name})
		t.Pools = append(t.Pools, table.Pool{Name: name, Service: name})
	}
	for _, s := range f.servers {
		p := poolOf(&t, s.service)
		p.Endpoints = append(p.Endpoints, s.endpoint())
	}
	return t
}

func poolOf(t *table.Tables, name string) *table.Pool {
	for i := range t.Pools {
		if t.Pools[i].Name == name {
			return &t.Pools[i]
		}
	}
	return nil
}

func (f *fleet) awaitStandins() {
	f.t.Helper()
	urls := []string{f.platform + "/control/counters", f.fabric + "/counters"}
	for _, s := range f.servers {
		urls = append(urls, s.control+"/readyz")
	}
	for _, u := range urls {
		eventually(f.t, eventualTimeout, "start of the stand-ins", func() error { return call(http.MethodGet, u, nil, nil) })
	}
}

// startBalancer starts a process with the balancer's settings, so with the same ID and addresses as the one before it.
func (f *fleet) startBalancer(b *balancer) {
	f.t.Helper()
	b.process = f.start(b.id, "cornellb", "balancer", "--settings", b.settings)
}

func (f *fleet) awaitReady(b *balancer) {
	f.t.Helper()
	eventually(f.t, eventualTimeout, b.id+" ready", func() error {
		return call(http.MethodGet, "http://"+b.operator+"/readyz", nil, nil)
	})
}

// awaitMembers waits until all live balancers know each other, and the fabric knows them.
func (f *fleet) awaitMembers() {
	f.t.Helper()
	live := f.live()
	eventually(f.t, eventualTimeout, "membership and fabric", func() error {
		for _, b := range live {
			s, err := b.status()
			if err != nil {
				return err
			}
			alive := 0
			for _, m := range s.Members {
				if m.State == "alive" {
					alive++
				}
			}
			if alive != len(live) {
				return errors.Errorf("%s knows %d of %d alive members", b.id, alive, len(live))
			}
		}
		var healthy []string
		if err := call(http.MethodGet, f.fabric+"/health", nil, &healthy); err != nil {
			return err
		}
		if len(healthy) != len(live) {
			return errors.Errorf("the fabric lists %d healthy balancers, want %d", len(healthy), len(live))
		}
		return nil
	})
}

// live returns the balancers whose processes run.
func (f *fleet) live() (list []*balancer) {
	for _, b := range f.balancers {
		if b.process != nil && b.process.isRunning() {
			list = append(list, b)
		}
	}
	return list
}

func (b *balancer) status() (s host.Status, err error) {
	err = call(http.MethodGet, "http://"+b.operator+"/status", nil, &s)
	return s, err
}

// owner returns the balancer with the most requests and flows in pool shards of a pool.
func (f *fleet) owner(pool string) *balancer {
	f.t.Helper()
	var owner *balancer
	eventually(f.t, eventualTimeout, "owner of "+pool, func() error {
		most := 0
		for _, b := range f.live() {
			s, err := b.status()
			if err != nil {
				return err
			}
			n := 0
			for key, load := range s.Shards {
				if strings.Contains(key, pool) && load.InFlight > 0 {
					n += load.Flows + load.InFlight
				}
			}
			if n > most {
				most, owner = n, b
			}
		}
		if owner == nil {
			return errors.New("no balancer has a request in progress")
		}
		return nil
	})
	return owner
}

// drain sends a balancer SIGTERM and requires that it exits with code 0 within the drain limit and drainMargin.
func (f *fleet) drain(b *balancer) {
	f.t.Helper()
	b.process.signal(syscall.SIGTERM)
	b.process.awaitExit(f.t, f.options.drainLimit+drainMargin)
}

// setFault replaces the fault that the platform injects.
func (f *fleet) setFault(x platform.Fault) {
	f.t.Helper()
	if err := call(http.MethodPut, f.platform+"/control/fault", x, nil); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) post(url string) {
	f.t.Helper()
	if err := call(http.MethodPost, url, nil, nil); err != nil {
		f.t.Fatal(err)
	}
}

// writeTables writes a tables file and returns its name.
func (f *fleet) writeTables(t *table.Tables) string {
	f.t.Helper()
	data, err := protocol.EncodeTables(t)
	if err != nil {
		f.t.Fatal(err)
	}
	file, err := os.CreateTemp(f.folder, "tables-*.yaml")
	if err != nil {
		f.t.Fatal(err)
	}
	defer file.Close()
	if _, err := file.Write(data); err != nil {
		f.t.Fatal(err)
	}
	return file.Name()
}

// apply edits the tables and requires that the edit is accepted as the next version.
func (f *fleet) apply(edit func(t *table.Tables)) {
	f.t.Helper()
	edit(&f.tables)
	out, code := runCommand(f.t, "apply", f.writeTables(&f.tables), "--platform", f.platform)
	want := fmt.Sprintf("accepted as version %d\n", f.tables.Version+1)
	if code != 0 || out != want {
		f.t.Fatalf("apply: exit code %d, output %q, want %q", code, out, want)
	}
	f.tables.Version++
}

// awaitVersion waits until every live balancer has the version, or a higher one, in force. It logs how long that took.
func (f *fleet) awaitVersion(version uint64) {
	f.t.Helper()
	began := time.Now()
	eventually(f.t, eventualTimeout, "version in force", func() error {
		for _, b := range f.live() {
			s, err := b.status()
			if err != nil {
				return err
			}
			if s.TableVersion < version {
				return errors.Errorf("%s has version %d, want %d", b.id, s.TableVersion, version)
			}
		}
		return nil
	})
	f.t.Logf("version %d in force on %d balancers %v after it was accepted", version, len(f.live()),
		time.Since(began).Round(time.Millisecond))
}

// watchVersions fails the test if the table version of a balancer process ever goes down.
func (f *fleet) watchVersions() (stop func()) {
	done := make(chan struct{})
	var watch sync.WaitGroup
	for _, b := range f.balancers {
		watch.Go(func() {
			highest := map[uint64]uint64{} // by incarnation
			for {
				select {
				case <-done:
					return
				case <-time.After(watchInterval):
				}
				s, err := b.status()
				if err != nil {
					continue // not running, or stopped
				}
				if s.TableVersion < highest[s.Incarnation] {
					f.t.Errorf("%s: version %d after %d", b.id, s.TableVersion, highest[s.Incarnation])
				}
				highest[s.Incarnation] = max(highest[s.Incarnation], s.TableVersion)
			}
		})
	}
	return func() {
		close(done)
		watch.Wait()
	}
}

// call sends a request with an optional JSON body and decodes the JSON reply if one is wanted.
func call(method, url string, body, reply any) error {
	var content io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, url, content)
	if err != nil {
		return err
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode/100 != 2 {
		return errors.Errorf("%s %s: %s", method, url, response.Status)
	}
	if reply == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(response.Body).Decode(reply), url)
}
