package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"cornellb/standin/direct"
)

const (
	clientHost    = 200 // last byte of the clients' address
	routeHost     = 250 // of the address that the routes have
	readyInterval = 500 * time.Millisecond
	readyMisses   = 2
)

// Bounds of the site sites/epeteia-lb.toml, as the platform writes them into the settings.
const (
	configApply   = 3 * time.Second
	rollbackSlack = 250 * time.Millisecond
	maxStretch    = 12 * time.Second
	stableWindow  = 4 * time.Second
)

// balancer is one process of the software under review.
type balancer struct {
	node, zone string
	ip         netip.Addr
	settings   string
	command    *exec.Cmd
	ended      chan struct{} // closed when the process has ended
	log        *os.File
	link       *link // that packets of clients pass; nil if they arrive at once

	mu     sync.Mutex
	misses int
	isIn   bool
}

func (b *balancer) name() string {
	if b == nil {
		return "nobody"
	}
	return b.node
}

// world is one small deployment on loopback addresses.
type world struct {
	prefix       [2]byte
	port         uint16 // datagram_addr of the balancers, and where clients receive
	readyPort    uint16
	controlPort  uint16
	internalPort uint16
	endpointPort uint16
	folder       string
	program      string
	store        *direct.Store
	listener     *direct.StoreListener
	balancers    []*balancer
	endpoints    []*endpoint
	conn         *net.UDPConn
	began        time.Time

	record   *bufio.Writer
	recordMu sync.Mutex
	file     *os.File

	mu        sync.Mutex
	nextPort  uint16
	flows     map[uint16]*clientFlow
	resets    map[uint16]endpointReset // last reset of each flow that an endpoint sent
	effects   map[netip.Addr]map[string]time.Time
	broken    []string
	counts    map[string]int
	isInTouch func(machine netip.Addr, now time.Time) bool // nil if all machines are
	arrivals  map[uint16]*arrivals
	watchRun  func(port uint16, e *endpoint, f *endpointFlow, now time.Time)
}

type endpointReset struct {
	endpoint *endpoint
	via      netip.Addr
	at       time.Time
}

func newWorld(program, record string) (*world, error) {
	w := &world{
		program: program, flows: map[uint16]*clientFlow{}, resets: map[uint16]endpointReset{}, counts: map[string]int{},
		effects: map[netip.Addr]map[string]time.Time{}, store: direct.NewStore(), began: time.Now(),
		nextPort: 1024 + uint16(rand.N(2000)),
	}
	var err error
	if w.file, err = os.Create(record); err != nil {
		return nil, err
	}
	w.record = bufio.NewWriter(w.file)
	if w.folder, err = os.MkdirTemp("", "review"); err != nil {
		return nil, err
	}
	if err = w.findPorts(); err != nil {
		return nil, err
	}
	if w.conn, err = net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(w.ip(clientHost), w.port))); err != nil {
		return nil, err
	}
	_ = w.conn.SetReadBuffer(8 << 20)
	go w.receive()
	w.listener, err = w.store.Listen(netip.AddrPortFrom(w.ip(1), 0).String())
	return w, err
}

// findPorts selects a loopback network and ports that nobody uses there.
func (w *world) findPorts() error {
	for range 50 {
		w.prefix = [2]byte{byte(130 + rand.N(100)), byte(rand.N(250))}
		base := uint16(20000 + rand.N(8000))
		w.port, w.readyPort, w.controlPort, w.internalPort, w.endpointPort = base, base+1, base+2, base+10, base+40
		l, err := net.Listen("tcp4", netip.AddrPortFrom(w.ip(10), 9464).String())
		if err != nil {
			continue
		}
		_ = l.Close()
		return nil
	}
	return fmt.Errorf("no free loopback network found")
}

func (w *world) ip(host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, w.prefix[0], w.prefix[1], byte(host)})
}

func (w *world) routeAddress(port uint16) netip.AddrPort {
	return netip.AddrPortFrom(w.ip(routeHost), port)
}

// writeSettings writes the settings file of a balancer, as the platform does.
func (w *world) writeSettings(b *balancer, store string) error {
	text := fmt.Sprintf(`node_name: %q
role: "balancer"
machine_class: "front"
serves: ["front", "control"]
ip: "%s"
zone: %q
region: "attiki"
zones: {attiki-a: "attiki", attiki-b: "attiki", attiki-c: "attiki"}
listen:
  datagram_addr: "%s:%d"
  ready_addr: "%s:%d"
  control: "%s:%d"
internal_port_range: [%d, %d]
seeds: ["%s:%d", "%s:%d"]
bootstrap: true
loss_counts: false
limits: {cpu_share: 0.088, cores: 1, memory_mb: 284, max_fds: 4100, link_mbps: 1000.0, disk_mb: 0}
data_dir: null
discovery: "platform"
entry: "announce"
heartbeat_ms: 1200
contracts: ["base", "drain", "config", "cost", "recover", "flows", "platform"]
fault_tolerance: {machines: 2, zones: 1, regions: 0}
bounds: {seed_lag_s: 3, reuse_after_s: 2, stable_window_ms: 4000, ack_ms: 5000, catch_up_s: 4, drain_ms: 3000, grace_s: 6,
  loss_slack_ms: 200, config_apply_ms: 3000, rollback_slack_ms: 250, max_stretch_ms: 12000, recovery_s: 12,
  reorder_ms: 2000, max_flow_s: 60}
hash: "steady"
encap: "echo"
platform: {address: %q, encap: "objects", writes_per_s: 400, reads_per_s: 2000, history_s: 20, max_value_bytes: 1048576,
  min_ttl_ms: 1000}
`, b.node, b.ip, b.zone, b.ip, w.port, b.ip, w.readyPort, b.ip, w.controlPort, w.internalPort, w.internalPort+15,
		w.ip(10), w.controlPort, w.ip(11), w.controlPort, store)
	temporary := b.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, b.settings)
}

// startBalancer starts a balancer with the command of the deploy file. It must be called by the main goroutine.
func (w *world) startBalancer(zone string) error {
	n := len(w.balancers)
	b := &balancer{ended: make(chan struct{}), node: fmt.Sprintf("front-%s-%d", zone, n), zone: zone, ip: w.ip(10 + n)}
	b.settings = filepath.Join(w.folder, b.node+".yaml")
	if err := w.writeSettings(b, w.listener.Address); err != nil {
		return err
	}
	var err error
	if b.log, err = os.Create(filepath.Join(w.folder, b.node+".log")); err != nil {
		return err
	}
	b.command = exec.Command(w.program, "forwarder")
	b.command.Env = []string{"PATH=" + os.Getenv("PATH"), "CORNELLB_BOOT=" + b.settings}
	b.command.Stdout, b.command.Stderr = b.log, b.log
	b.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := b.command.Start(); err != nil {
		return err
	}
	go func() {
		defer close(b.ended)
		_ = b.command.Wait()
	}()
	w.balancers = append(w.balancers, b)
	go w.checkReadiness(b)
	return nil
}

// checkReadiness asks a balancer twice a second whether it is ready, as the routers do.
func (w *world) checkReadiness(b *balancer) {
	client := http.Client{Timeout: readyInterval}
	url := fmt.Sprintf("http://%s:%d/api/readiness", b.ip, w.readyPort)
	for next := time.Now(); ; {
		response, err := client.Get(url)
		isReady := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		b.mu.Lock()
		was := b.isIn
		if b.misses++; isReady {
			b.misses, b.isIn = 0, true
		} else if b.misses >= readyMisses {
			b.isIn = false
		}
		is := b.isIn
		b.mu.Unlock()
		if was != is {
			w.logf("%s in rotation: %v", b.node, is)
		}
		next = next.Add(readyInterval)
		time.Sleep(time.Until(next))
	}
}

func (b *balancer) inRotation() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isIn
}

// awaitReady waits until all balancers are in rotation.
func (w *world) awaitReady() error {
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, b := range w.balancers {
			if b.inRotation() {
				n++
			}
		}
		if n == len(w.balancers) {
			return nil
		}
	}
	return fmt.Errorf("not all balancers became ready")
}

// route returns the balancer for a flow: by rendezvous hash over the zone's balancers in rotation, or over all of the
// zone if fewer than half are.
func (w *world) route(zone string, port uint16) *balancer {
	var all, in []*balancer
	for _, b := range w.balancers {
		if b.zone != zone {
			continue
		}
		all = append(all, b)
		if b.inRotation() {
			in = append(in, b)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *balancer
	var highest uint64
	for _, b := range in {
		h := fnv.New64a()
		_, _ = fmt.Fprintf(h, "%d/%s/%d", port, b.node, int(port)*2654435761)
		if rank := h.Sum64(); best == nil || rank > highest {
			best, highest = b, rank
		}
	}
	return best
}

func (w *world) sendToBalancer(b *balancer, datagram []byte) {
	if b.link != nil {
		b.link.push(datagram)
		return
	}
	_, _ = w.conn.WriteToUDPAddrPort(datagram, netip.AddrPortFrom(b.ip, w.port)) // a lost one is sent again by the client
}

// receive passes the packets for clients on to their flows.
func (w *world) receive() {
	b := make([]byte, 4096)
	for {
		n, from, err := w.conn.ReadFromUDPAddrPort(b)
		if err != nil {
			return
		}
		p, isSealed, ok := decode(b[:n])
		if !ok || !isSealed && p.flags != flagReset {
			w.logf("MIXED a client got a packet that its sender did not write")
			continue
		}
		w.mu.Lock()
		f := w.flows[p.dst.Port()]
		w.mu.Unlock()
		if f == nil {
			continue
		}
		select {
		case f.received <- datagram{packet: p, from: from.Addr(), isSealed: isSealed}:
		default:
		}
	}
}

func (w *world) register(f *clientFlow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.nextPort++; w.nextPort < 1024 || w.flows[w.nextPort] != nil; w.nextPort++ {
	}
	f.port = w.nextPort
	w.flows[f.port] = f
}

func (w *world) unregister(f *clientFlow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.flows, f.port)
}

// nameOf returns the name of the process at an address.
func (w *world) nameOf(a netip.Addr) string {
	for _, b := range w.balancers {
		if b.ip == a {
			return b.node
		}
	}
	for _, e := range w.endpoints {
		if e.address.Addr() == a {
			return e.name()
		}
	}
	return a.String()
}

func (w *world) serviceAt(a netip.Addr) string {
	for _, e := range w.endpoints {
		if e.address.Addr() == a {
			return e.service
		}
	}
	return ""
}

// configure writes a configuration as the operator does.
func (w *world) configure(version int, routes ...map[string]any) error {
	err := w.store.Put("config", "main", map[string]any{
		"version": version, "routes": routes, "limits": map[string]any{"idle_timeout_ms": 30000},
		"services": []map[string]any{{"name": "ypenthymisi"}, {"name": "ektyposi"}},
	})
	w.logf("the store has acknowledged configuration %d: %v", version, routes)
	return err
}

func (w *world) routeEntry(name string, port uint16, service string, priority int) map[string]any {
	return map[string]any{
		"name": name, "host": w.ip(routeHost).String(), "path_prefix": fmt.Sprintf("/%d/", port), "service": service,
		"type": "safe", "timeout_ms": 2000, "target_latency_ms": 200, "priority": priority, "max_attempts": 1,
	}
}

func (w *world) clock(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(w.began).Seconds()) }

func (w *world) logf(format string, args ...any) {
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%s %s\n", w.clock(time.Now()), fmt.Sprintf(format, args...))
}

// breakRule records that the rule was broken.
func (w *world) breakRule(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.logf("BROKEN %s", text)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broken = append(w.broken, text)
}

func (w *world) logFlow(f *clientFlow) {
	if f.isBrief {
		w.logf("port %d: opening packets %d, first sent %s; requests %d, answered %d by %s; end: %s", f.port, len(f.synAt), w.clock(f.synAt[0]),
			f.requests, f.answered, f.endpoint, f.end)
		w.count("uploads " + f.end)
		return
	}
	syns := ""
	for i, at := range f.synAt {
		syns += fmt.Sprintf(" %s via %s", w.clock(at), f.synVia[i].name())
	}
	at := "no endpoint"
	if f.isOpen {
		at = w.nameOf(f.endpoint)
	}
	w.logf("flow of port %d to %s: SYN sent%s; open at %s; %d requests, %d answered; end: %s", f.port, f.route, syns, at, f.requests,
		f.answered, f.end)
	w.count("flows " + strings.Fields(f.end)[0])
}

func (w *world) count(what string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[what]++
}

// isBrief returns whether the flow of a client port gets one line in the record.
func (w *world) isBrief(port uint16) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.flows[port]
	return f == nil || f.isBrief
}

func (w *world) noteAnswer(f *clientFlow, text, answer string, began time.Time, via *balancer) {
	f.logf("%s: sent %s via %s, answered: %s", brief(text), w.clock(began), via.name(), brief(answer))
	w.count("requests answered")
}

func (w *world) noteOpened(port uint16, e *endpoint, f *endpointFlow, now time.Time) {
	if w.isBrief(port) {
		return
	}
	w.logf("endpoint %s opens flow of port %d from copy %d of its SYN, through %s", e.name(), port, f.copyNo, w.nameOf(f.via))
}

// noteRun is called when an endpoint begins to work on a request.
func (w *world) noteRun(port uint16, e *endpoint, f *endpointFlow, text string, now time.Time) {
	if !w.isBrief(port) {
		w.logf("endpoint %s runs %s", e.name(), brief(text))
	}
	if w.watchRun != nil {
		w.watchRun(port, e, f, now)
	}
}

func (w *world) noteEndpointReset(port uint16, e *endpoint, via netip.Addr, now time.Time) {
	w.logf("endpoint %s resets the flow of port %d, which it does not hold; packet through %s", e.name(), port, w.nameOf(via))
	w.mu.Lock()
	defer w.mu.Unlock()
	w.resets[port] = endpointReset{e, via, now}
}

// noteClientReset is called when a client gets a reset on an open flow.
func (w *world) noteClientReset(f *clientFlow, d datagram) {
	w.mu.Lock()
	r, ok := w.resets[f.port]
	w.mu.Unlock()
	if d.isSealed && d.from == f.endpoint {
		return
	}
	via, machine := "nobody", d.from
	if d.isSealed && ok {
		via, machine = w.nameOf(r.via), r.via
	}
	if w.isInTouch != nil && !w.isInTouch(machine, time.Now()) {
		w.logf("not counted, as %s is not in touch: the client of port %d gets a reset from %s", w.nameOf(machine), f.port, w.nameOf(d.from))
		return
	}
	w.breakRule("FLOW: the client of port %d gets a reset from %s; its flow is open at %s since %s; the packet that was reset went through %s",
		f.port, w.nameOf(d.from), w.nameOf(f.endpoint), w.clock(f.openedAt), via)
}

// close ends all processes that the world has started.
func (w *world) close() {
	for _, b := range w.balancers {
		_ = b.command.Process.Kill() // an error means that it has ended
		<-b.ended
		_ = b.log.Close()
	}
	for _, e := range w.endpoints {
		e.close()
	}
	_ = w.conn.Close()
	w.recordMu.Lock()
	_ = w.record.Flush()
	_ = w.file.Close()
	w.recordMu.Unlock()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.folder)
	}
}
