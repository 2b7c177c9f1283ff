package fabric

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// replyLimit bounds the time for which a test waits. No result depends on it.
const replyLimit = 20 * time.Second

var service = netip.MustParseAddrPort("10.0.0.1:80")

func listen(t *testing.T) *net.UDPConn {
	is := is.New(t)
	c, err := listenUDP("127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(replyLimit)))
	t.Cleanup(func() { c.Close() })
	return c
}

// setUp returns a fabric with two balancers and a caller's socket.
func setUp(t *testing.T, health ...string) (f *Fabric, caller *net.UDPConn, balancers [2]*net.UDPConn) {
	is := is.New(t)
	config := Config{Listen: "127.0.0.1:0", Seed: 1, Addresses: []Address{{Service: service, Listen: "127.0.0.1:0"}}}
	for i := range balancers {
		balancers[i] = listen(t)
		b := Balancer{Address: localAddress(balancers[i])}
		if len(health) > 0 {
			b.Health = health[i]
		}
		config.Balancers = append(config.Balancers, b)
	}
	f, err := Start(config)
	is.NoErr(err)
	t.Cleanup(f.Close)
	caller, err = net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(f.CallerAddress(service)))
	is.NoErr(err)
	is.NoErr(caller.SetReadDeadline(time.Now().Add(replyLimit)))
	t.Cleanup(func() { caller.Close() })
	return f, caller, balancers
}

func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(replyLimit); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: timed out after %v", what, replyLimit)
		}
	}
}

func post(f *Fabric, path, body string) int {
	w := httptest.NewRecorder()
	f.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
	return w.Code
}

// TestSprayAndReturn guards against envelopes with wrong addresses on the way to a balancer and back, datagrams that
// all go to one balancer, and cut-off balancers that still exchange datagrams.
func TestSprayAndReturn(t *testing.T) {
	is := is.New(t)
	f, caller, balancers := setUp(t)
	first, second := f.balancers[0], f.balancers[1]
	for range 100 {
		_, err := caller.Write([]byte("to balancer"))
		is.NoErr(err)
	}
	eventually(t, "spray", func() bool { return first.sprayed.Load()+second.sprayed.Load() == 100 })
	is.True(first.sprayed.Load() > 20 && second.sprayed.Load() > 20)

	buffer := make([]byte, 4096)
	n, err := balancers[0].Read(buffer)
	is.NoErr(err)
	var e packet.Envelope
	is.NoErr(wire.NewDecoder().DecodeEnvelope(buffer[:n], &e))
	is.Equal(e.Service, service)
	is.Equal(e.Caller, localAddress(caller))
	is.Equal(string(e.Packet), "to balancer")

	is.Equal(post(f, "/cut?balancer="+first.Address.String(), ""), 200)
	reply := func(from *net.UDPConn, text string) {
		e.Packet = []byte(text)
		_, err := from.WriteToUDPAddrPort(wire.AppendEnvelope(nil, &e), f.BalancerAddress())
		is.NoErr(err)
	}
	reply(balancers[0], "from cut balancer")
	eventually(t, "cut", func() bool { return f.Counters().Cut == 1 })
	reply(balancers[1], "to caller")
	n, err = caller.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "to caller")

	sprayed := first.sprayed.Load()
	for range 50 {
		_, err := caller.Write([]byte("to balancer"))
		is.NoErr(err)
	}
	eventually(t, "cut", func() bool { return f.Counters().Cut+second.sprayed.Load()-1+sprayed == 150 })
	is.Equal(first.sprayed.Load(), sprayed)
	is.Equal(post(f, "/heal?balancer="+first.Address.String(), ""), 200)
	is.True(!first.isCut.Load())
	is.Equal(post(f, "/cut?balancer=127.0.0.1:1", ""), 404)
	is.Equal(post(f, "/cut?balancer=x", ""), 400)
}

// TestFaults guards against loss and duplication rates that are ignored, and against jitter that does not reorder.
func TestFaults(t *testing.T) {
	is := is.New(t)
	f, caller, balancers := setUp(t)
	is.Equal(post(f, "/faults", `{"loss": 1.5}`), 400)
	is.Equal(post(f, "/faults", `{"loss": 0.2, "duplicate": 0.2, "delay": 1000000, "jitter": 50000000}`), 200)
	for i := range 200 {
		_, err := caller.Write(fmt.Appendf(nil, "%d", i))
		is.NoErr(err)
	}
	sprayed := func() uint64 { return f.balancers[0].sprayed.Load() + f.balancers[1].sprayed.Load() }
	eventually(t, "delivery", func() bool {
		c := f.Counters()
		return c.FromCallers == 200 && sprayed() == 200-c.Lost+c.Duplicated
	})
	c := f.Counters()
	is.True(c.Lost > 20 && c.Lost < 60)
	is.True(c.Duplicated > 10 && c.Duplicated < 60)
	buffer := make([]byte, 4096)
	highest, isReordered := 0, false
	for range f.balancers[0].sprayed.Load() {
		n, err := balancers[0].Read(buffer)
		is.NoErr(err)
		var e packet.Envelope
		is.NoErr(wire.NewDecoder().DecodeEnvelope(buffer[:n], &e))
		var i int
		_, err = fmt.Sscan(string(e.Packet), &i)
		is.NoErr(err)
		isReordered = isReordered || i < highest
		highest = max(highest, i)
	}
	is.True(isReordered)
}

// TestHealth guards against datagrams to a balancer whose last health check has failed.
func TestHealth(t *testing.T) {
	is := is.New(t)
	var isReady [2]atomic.Bool
	var urls []string
	for i := range isReady {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/readyz" || !isReady[i].Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		t.Cleanup(server.Close)
		urls = append(urls, server.URL)
	}
	f, caller, _ := setUp(t, urls...)
	ready := func() int {
		w := httptest.NewRecorder()
		f.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		return w.Code
	}
	_, err := caller.Write([]byte("x"))
	is.NoErr(err)
	eventually(t, "no balancer", func() bool { return f.Counters().NoBalancer == 1 })
	is.Equal(ready(), http.StatusServiceUnavailable)
	isReady[1].Store(true)
	eventually(t, "recovery", func() bool { return ready() == http.StatusOK })
	for range 20 {
		_, err := caller.Write([]byte("x"))
		is.NoErr(err)
	}
	eventually(t, "spray", func() bool { return f.balancers[1].sprayed.Load() == 20 })
	is.Equal(f.balancers[0].sprayed.Load(), uint64(0))
	isReady[1].Store(false)
	eventually(t, "removal", func() bool { return ready() == http.StatusServiceUnavailable })
}
