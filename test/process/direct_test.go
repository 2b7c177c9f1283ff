package process_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/standin/direct"
	"cornellb/standin/proxy"
)

const (
	readyTimeout = 10 * time.Second // for a process to become ready; generous for a busy machine
	applyLimit   = 3 * time.Second  // the setting config_apply_ms, within which a version must be in force
)

// Numbers of concurrent flows. Tests of failing endpoints need many, because a balancer considers an endpoint
// failed only if several of its flows are affected.
const (
	fewFlows  = 24
	manyFlows = 96
)

var (
	feedAddress  = netip.MustParseAddrPort("198.18.0.1:8443")
	imageAddress = netip.MustParseAddrPort("198.18.0.2:8443")
	addedAddress = netip.MustParseAddrPort("198.18.0.3:8443")
)

// directFleetCount counts the fleets. Each fleet has its own loopback network, 127.M.N.0/24, where M belongs to this run.
var directFleetCount atomic.Int32

// directNetwork returns the second byte of the addresses of all fleets of this run. It holds a port there until the run
// ends, so that runs beside each other choose different ones. A run alone always has the same one, since ranks of balancers
// depend on their addresses.
var directNetwork = sync.OnceValues(func() (byte, error) {
	const first, count = 78, 40
	var failed error
	for i := range count {
		n := byte(first + i)
		if networkHold, failed = net.Listen("tcp4", fmt.Sprintf("127.%d.0.1:9464", n)); failed == nil {
			return n, nil
		}
	}
	return 0, failed
})

// networkHold holds the port of directNetwork; a listener without a reference would be closed.
var networkHold net.Listener

// directFleet is a running deployment in the direct return mode: the stand-ins in this process, balancers as processes.
type directFleet struct {
	t         *testing.T
	folder    string
	store     *direct.Store
	balancers []*directBalancer
	endpoints map[string]*direct.Endpoint
	port      uint16 // of the packet sockets of balancers and clients
	clients   netip.Addr
	version   uint64
	routes    map[netip.AddrPort]string
	options   directOptions
}

// directOptions are the properties in which directFleets differ.
type directOptions struct {
	era      uint64         // of the store
	bounds   string         // further fields of bounds in the settings
	settings string         // further lines of the settings
	service  map[string]any // further fields of each service in the configuration
}

type directBalancer struct {
	id, domain, settings string
	ready                string // URL
	ip                   netip.Addr
	storeListener        *direct.StoreListener
	proxy                *proxy.Proxy // between the balancer and its store listener
	process              *process
}

// startDirect starts 4 balancers in two failure domains in front of 6 endpoints of two services. The store sends no era.
func startDirect(t *testing.T) *directFleet {
	t.Helper()
	return startDirectWith(t, directOptions{})
}

// startDirectInEra is startDirect with an era of the store.
func startDirectInEra(t *testing.T, era uint64) *directFleet {
	t.Helper()
	return startDirectWith(t, directOptions{era: era})
}

// startDirectWith is startDirect with options.
func startDirectWith(t *testing.T, o directOptions) *directFleet {
	t.Helper()
	port, err := netip.ParseAddrPort(freeAddress(t))
	if err != nil {
		t.Fatal(err)
	}
	f := &directFleet{
		t: t, folder: t.TempDir(), store: direct.NewStore(), port: port.Port(), endpoints: map[string]*direct.Endpoint{},
		routes:  map[netip.AddrPort]string{feedAddress: "feed", imageAddress: "images"},
		options: o,
	}
	f.store.SetEra(o.era)
	t.Cleanup(f.close)
	f.configure()
	for i, domain := range []string{"attiki-a", "attiki-b", "attiki-a", "attiki-b"} {
		f.addEndpoint(fmt.Sprintf("i-f%d", i), "feed", domain)
	}
	f.addEndpoint("i-a0", "images", "attiki-a")
	f.addEndpoint("i-a1", "images", "attiki-b")
	run, err := directNetwork()
	if err != nil {
		t.Fatal(err)
	}
	network := byte(directFleetCount.Add(1))
	f.clients = netip.AddrFrom4([4]byte{127, run, network, 100})
	for i, domain := range []string{"attiki-a", "attiki-a", "attiki-b", "attiki-b"} {
		ip := netip.AddrFrom4([4]byte{127, run, network, byte(i + 1)})
		f.addBalancer(fmt.Sprint("front-", i), domain, ip)
	}
	for _, b := range f.balancers {
		f.start(b)
	}
	for _, b := range f.balancers {
		f.awaitReady(b)
	}
	return f
}

func (f *directFleet) close() {
	for _, b := range f.balancers {
		if b.process != nil {
			b.process.kill()
			if f.t.Failed() {
				b.process.printLog(f.t)
			}
		}
		b.proxy.Close()
		b.storeListener.Close()
	}
	for _, e := range f.endpoints {
		e.Close()
	}
}

// configure writes the routes to the store as a new version.
func (f *directFleet) configure() {
	f.t.Helper()
	f.version += 3
	var routes, services []map[string]any
	for a, service := range f.routes {
		routes = append(routes, map[string]any{
			"name": "r-" + service, "host": a.Addr().String(), "path_prefix": fmt.Sprintf("/%d/", a.Port()),
			"service": service, "type": "safe",
		})
		x := map[string]any{"name": service}
		maps.Copy(x, f.options.service)
		services = append(services, x)
	}
	err := f.store.Put("config", "main", map[string]any{
		"version": f.version, "routes": routes, "services": services, "limits": map[string]any{"idle_timeout_ms": 15000},
	})
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *directFleet) addEndpoint(id, service, domain string) {
	f.t.Helper()
	f.addColdEndpoint(id, service, domain, 0)
}

// addColdEndpoint adds an endpoint that is cold for a time.
func (f *directFleet) addColdEndpoint(id, service, domain string, cold time.Duration) {
	f.t.Helper()
	e, err := direct.StartEndpoint(f.store, direct.EndpointSettings{
		ID: id, Service: service, FailureDomain: domain, Slots: 3, ClientPort: f.port, ColdTime: cold,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.endpoints[id] = e
}

func (f *directFleet) addBalancer(id, domain string, ip netip.Addr) {
	f.t.Helper()
	b := &directBalancer{id: id, domain: domain, ip: ip, settings: filepath.Join(f.folder, id+".yaml"),
		ready: fmt.Sprintf("http://%s:%d/api/readiness", ip, f.port+1)}
	listener, err := f.store.Listen("127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	b.storeListener = listener
	if b.proxy, err = proxy.Listen("127.0.0.1:0", listener.Address); err != nil {
		f.t.Fatal(err)
	}
	f.balancers = append(f.balancers, b)
	text := fmt.Sprintf(`node_name: %s
zone: %s
a_new_field: {that: [is, unknown]}
listen: {datagram_addr: "%[3]s:%[4]d", ready_addr: "%[3]s:%[5]d", control: "%[3]s:%[6]d"}
internal_port_range: [%[7]d, %[7]d]
seeds: ["%[8]s:%[6]d"]
bounds: {config_apply_ms: %[9]d, drain_ms: %[11]d, grace_s: 6, max_flow_s: 60%[12]s}
platform: {address: "%[10]s"}
%[13]s
`, id, domain, ip, f.port, f.port+1, f.port+2, f.port+3, f.balancers[0].ip, applyLimit.Milliseconds(), b.proxy.Address,
		leaveLimit.Milliseconds(), f.options.bounds, f.options.settings)
	if err := os.WriteFile(b.settings, []byte(text), 0o600); err != nil {
		f.t.Fatal(err)
	}
}

func (f *directFleet) start(b *directBalancer) {
	f.t.Helper()
	b.process = startProcess(f.t, f.folder, b.id, "cornellb", "forwarder", "--settings", b.settings)
}

func (f *directFleet) awaitReady(b *directBalancer) {
	f.t.Helper()
	eventually(f.t, readyTimeout, b.id+" is ready", func() error {
		response, err := httpClient.Get(b.ready)
		if err != nil {
			return err
		}
		_ = response.Body.Close()
		if response.StatusCode != 200 {
			return errors.Errorf("status %d", response.StatusCode)
		}
		return nil
	})
}

// startLoad starts clients whose fabric spreads packets over all balancers.
func (f *directFleet) startLoad(flows int) *direct.Load {
	f.t.Helper()
	var balancers []direct.Balancer
	for _, b := range f.balancers {
		balancers = append(balancers, direct.Balancer{PacketAddress: netip.AddrPortFrom(b.ip, f.port), ReadyURL: b.ready})
	}
	l, err := direct.StartClients(direct.ClientSettings{
		Address: f.clients, ClientPort: f.port, Balancers: balancers,
		Routes: map[netip.AddrPort]string{feedAddress: "feed", imageAddress: "images"},
		Flows:  flows, Requests: 12, Pause: 40 * time.Millisecond, Deadline: 3 * time.Second,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return l
}

// checkResult checks the guarantees that hold in every test: requests are answered, no open flow of a live endpoint is
// reset, and no packet is changed or reaches another service.
func (f *directFleet) checkResult(r direct.Result) {
	f.t.Helper()
	f.t.Logf("%+v", r)
	is := is.New(f.t)
	is.True(r.Answered > 500)
	is.Equal(r.Broken, int64(0))
	is.Equal(r.Misrouted, int64(0))
	is.Equal(r.Forged, int64(0))
	for _, e := range f.endpoints {
		is.Equal(e.Forged(), int64(0))
	}
}

// TestDirectPlannedChanges guards against planned changes that break flows or lose requests: balancers are restarted
// one after the other, an endpoint leaves, an endpoint and a route are added. Each request must be answered.
func TestDirectPlannedChanges(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(fewFlows)
	time.Sleep(time.Second)
	is.NoErr(f.endpoints["i-f0"].Drain())
	f.addEndpoint("i-f9", "feed", "attiki-a")
	f.routes[addedAddress] = "feed"
	f.configure()
	for _, b := range f.balancers[:2] {
		b.process.signal(syscall.SIGHUP)
		b.process.signal(syscall.SIGTERM)
		b.process.awaitExit(t, 7*time.Second)
		f.start(b)
		f.awaitReady(b)
		time.Sleep(readyPause)
	}
	opened := f.endpoints["i-f0"].Opened()
	f.endpoints["i-f0"].Remove()
	time.Sleep(time.Second)
	is.Equal(f.endpoints["i-f0"].Opened(), opened) // no new flows for a leaving endpoint
	is.True(f.endpoints["i-f9"].Opened() > 0)
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.Unopened, int64(0))
	is.Equal(r.Refused, int64(0))
	is.Equal(r.TimedOut, int64(0))
}

// readyPause gives the fabric time to return a balancer to its rotation before the next one is stopped.
const readyPause = time.Second

// TestDirectKilledBalancer guards against flows that break when the balancer that forwarded their packets is killed.
func TestDirectKilledBalancer(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(fewFlows)
	time.Sleep(time.Second)
	f.balancers[0].process.kill()
	time.Sleep(3 * time.Second)
	f.start(f.balancers[0])
	f.awaitReady(f.balancers[0])
	time.Sleep(time.Second)
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.TimedOut, int64(0)) // the fabric takes the balancer out of its rotation after about a second
}

// TestDirectVersionWithoutStore guards against a balancer that keeps an old configuration because the store refuses its
// calls, does not answer them, or loses the answers. It must get the version from another balancer.
func TestDirectVersionWithoutStore(t *testing.T) {
	t.Parallel()
	faults := map[string]direct.Fault{
		"refused": {Status: 503}, "limited": {Status: 429}, "silent": {IsSilent: true}, "lost": {LoseAll: true},
	}
	f := startDirect(t)
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			for _, b := range f.balancers[1:] {
				b.storeListener.SetFault(fault)
			}
			f.routes[addedAddress] = "feed"
			f.configure()
			changed := time.Now()
			eventually(t, applyLimit, "new version in force on all balancers", func() error {
				for _, b := range f.balancers {
					if v := f.versionInForce(b); v != f.version {
						return errors.Errorf("%s has version %d", b.id, v)
					}
				}
				return nil
			})
			t.Logf("in force everywhere after %v", time.Since(changed))
			for _, b := range f.balancers {
				b.storeListener.SetFault(direct.Fault{})
			}
			is.True(time.Since(changed) < applyLimit)
		})
	}
}

// TestDirectLostHistory guards against balancers that miss a new endpoint because the store has compacted the history
// that their watch needs.
func TestDirectLostHistory(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(fewFlows)
	f.store.Compact()
	f.addEndpoint("i-f9", "feed", "attiki-a")
	f.store.Compact()
	eventually(t, applyLimit, "a flow at the new endpoint i-f9", func() error {
		if f.endpoints["i-f9"].Opened() == 0 {
			return errors.New("the endpoint has opened no flow")
		}
		return nil
	})
	time.Sleep(time.Second)
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.TimedOut, int64(0))
}

// leaveLimit is the time after which no new flow may reach an endpoint that leaves.
const leaveLimit = 3 * time.Second

// TestDirectStaleReplica guards against new flows for an endpoint that leaves, because balancers follow the endpoints by
// calls that the store may answer from a replica that is seconds behind.
func TestDirectStaleReplica(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(fewFlows)
	time.Sleep(time.Second)
	f.store.FreezeReplica()
	time.Sleep(leaveLimit) // watches that had begun before have ended
	is.NoErr(f.endpoints["i-f0"].Drain())
	f.addEndpoint("i-f9", "feed", "attiki-a")
	time.Sleep(leaveLimit)
	opened := f.endpoints["i-f0"].Opened()
	time.Sleep(2 * time.Second)
	is.Equal(f.endpoints["i-f0"].Opened(), opened)
	is.True(f.endpoints["i-f9"].Opened() > 0)
	f.checkResult(load.Stop())
}

// TestDirectLostReader guards against new flows for an endpoint that leaves, because the reader of its failure domain is
// lost and the connections of the balancer that takes over have gone silent while they were idle.
func TestDirectLostReader(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(fewFlows)
	time.Sleep(2 * time.Second)                     // the balancers know each other, and the connections are idle
	reader, other := f.balancers[0], f.balancers[1] // of the failure domain of i-f0
	if !f.isReader(reader) {
		reader, other = other, reader
	}
	is.True(f.isReader(reader) && !f.isReader(other))
	is.True(other.proxy.Silence() > 0)
	time.Sleep(time.Second)
	reader.process.kill()
	is.NoErr(f.endpoints["i-f0"].Drain())
	f.addEndpoint("i-f9", "feed", reader.domain)
	time.Sleep(leaveLimit)
	opened := f.endpoints["i-f0"].Opened()
	time.Sleep(2 * time.Second)
	is.Equal(f.endpoints["i-f0"].Opened(), opened)
	is.True(f.endpoints["i-f9"].Opened() > 0)
	f.checkResult(load.Stop())
}

// isReader reports whether a balancer reads the store for its failure domain.
func (f *directFleet) isReader(b *directBalancer) bool {
	return f.gauge(b, "cornellb_is_reader") == "1"
}

// gauge returns the value of a gauge that a balancer exports.
func (f *directFleet) gauge(b *directBalancer, name string) string {
	f.t.Helper()
	response, err := httpClient.Get(fmt.Sprintf("http://%s:9464/metrics", b.ip))
	if err != nil {
		f.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, name); ok && (rest[0] == ' ' || rest[0] == '{') {
			fields := strings.Fields(rest)
			return fields[len(fields)-1]
		}
	}
	f.t.Fatalf("%s exports no gauge %s", b.id, name)
	return ""
}

// TestDirectSilentEndpoint guards against new flows for an endpoint that no longer answers, while its entry in the
// store is still valid, and against open flows that wait for their deadline instead of being reset.
func TestDirectSilentEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(manyFlows)
	time.Sleep(time.Second)
	load.MarkLost(directory.Cookie("i-f0", 0))
	is.NoErr(f.endpoints["i-f0"].SetSilent(true))
	time.Sleep(4 * time.Second)
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.Unopened, int64(0))
	is.True(r.Lost > 0)                     // balancers reset flows of the silent endpoint
	is.True(r.TimedOut+r.Lost <= manyFlows) // at most every open flow
	is.True(r.TimedOut*2 <= r.Lost*3)       // at least 40 % are reset before their deadline
}

// failingShare is the part of its usual share of new flows that an endpoint keeps while it fails requests.
const failingShare = 0.05

// TestDirectSlowEndpoint guards against new flows for an endpoint that answers late although it is registered as ready.
// The balancers of its failure domain must notice, and log it for the operators. From then on it must get at most
// failingShare of the flows that the other endpoints of its service get on average. Its open flows must not be reset,
// and their requests must be answered before their deadline.
func TestDirectSlowEndpoint(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	load := f.startLoad(manyFlows)
	time.Sleep(3 * time.Second) // the balancers have measured the usual answer times
	f.endpoints["i-f0"].SetDelay(700 * time.Millisecond)
	for _, b := range f.balancers {
		if b.domain == "attiki-a" {
			eventually(t, readyTimeout, b.id+" logs that i-f0 fails requests", func() error { return b.checkDegraded("i-f0") })
		}
	}
	time.Sleep(time.Second) // the evidence of all balancers has been reported to the others
	slow, others := f.openedFlows("i-f0")
	time.Sleep(3 * time.Second)
	slowAfter, othersAfter := f.openedFlows("i-f0")
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.Unopened, int64(0))
	is.Equal(r.TimedOut, int64(0))
	newSlow, mean := float64(slowAfter-slow), float64(othersAfter-others)/3
	t.Logf("new flows: %v at the slow endpoint, %.1f on average at the others of its service", newSlow, mean)
	is.True(newSlow <= failingShare*mean)
}

// checkDegraded returns an error unless the balancer has logged that the endpoint fails requests.
func (b *directBalancer) checkDegraded(endpoint string) error {
	log, err := os.ReadFile(b.process.logFile)
	if err != nil {
		return err
	}
	for line := range bytes.Lines(log) {
		var entry struct{ Msg, ID string }
		if err := json.Unmarshal(line, &entry); err == nil && entry.Msg == steering.EndpointDegraded && entry.ID == endpoint {
			return nil
		}
	}
	return errors.Errorf("%s has not logged %q for %s", b.id, steering.EndpointDegraded, endpoint)
}

// openedFlows returns the numbers of flows that were opened at one endpoint of the service feed and at its three others.
func (f *directFleet) openedFlows(id string) (one, others int64) {
	for n := range 4 {
		if x := fmt.Sprintf("i-f%d", n); x != id {
			others += f.endpoints[x].Opened()
		}
	}
	return f.endpoints[id].Opened(), others
}

// TestDirectReload guards against a faulty settings file that disturbs a running balancer, and against changed settings
// that never take effect. The file is read again after SIGHUP, and after it has changed without a signal.
func TestDirectReload(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	b := f.balancers[1]
	good, err := os.ReadFile(b.settings)
	is.NoErr(err)
	is.NoErr(os.WriteFile(b.settings, good[:len(good)/2], 0o600)) // half written
	b.process.signal(syscall.SIGHUP)
	b.awaitLine(t, "settings not reloaded")
	is.Equal(f.versionInForce(b), f.version)
	changed := strings.Replace(string(good), "grace_s: 6", "grace_s: 5", 1)
	is.NoErr(os.WriteFile(b.settings, []byte(changed), 0o600))
	b.awaitLine(t, `"changed":["drain_limit"]`) // without a signal
	is.True(b.process.isRunning())
}

// awaitLine waits until the log of the balancer contains the text.
func (b *directBalancer) awaitLine(t *testing.T, text string) {
	t.Helper()
	eventually(t, readyTimeout, b.id+" logs "+text, func() error {
		content, err := os.ReadFile(b.process.logFile)
		if err == nil && !strings.Contains(string(content), text) {
			err = errors.New("the log does not contain the text")
		}
		return err
	})
}

// TestDirectFewReaders guards against store calls that grow with the number of balancers. Only one balancer of each
// failure domain, its reader, reads the configuration from the store at regular intervals.
func TestDirectFewReaders(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	time.Sleep(3 * time.Second) // the balancers discover each other and choose their readers
	before := make([]int64, len(f.balancers))
	for i, b := range f.balancers {
		_, before[i] = b.storeListener.Calls()
	}
	time.Sleep(4 * time.Second)
	readers := 0
	for i, b := range f.balancers {
		if _, after := b.storeListener.Calls(); after-before[i] > 1 {
			readers++
		}
	}
	is.Equal(readers, 2) // one in each failure domain
}

// versionInForce returns the version that a balancer has in force, or 0 if the balancer does not answer.
func (f *directFleet) versionInForce(b *directBalancer) uint64 {
	response, err := httpClient.Get(fmt.Sprintf("http://%s:9464/status", b.ip))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var s struct {
		Version uint64 `json:"version"`
	}
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return 0
	}
	return s.Version
}
