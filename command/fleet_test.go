package command_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/command"
	"cornellb/io/transport/direct"
	"cornellb/io/transport/operator"
	transport "cornellb/io/transport/platform"
	"cornellb/platform"
	standin "cornellb/standin/direct"
)

const evacuateLimit = 5 * time.Second // evacuate_ms of the specification

// fleet is three balancers of the direct return mode in this process, on addresses of their own with common ports.
type fleet struct {
	store     *standin.Store
	url       string
	balancers []*direct.Process
	settings  []*direct.Settings
}

// run executes a command line, in which STORE and BALANCER are those of the fleet, and returns its output and exit code.
func (f *fleet) run(line string) (string, int) {
	line = strings.NewReplacer("STORE", f.url, "BALANCER", f.settings[0].OperatorAddress.String()).Replace(line)
	var out bytes.Buffer
	code := command.Execute(strings.Fields(line), &out, &out)
	return out.String(), code
}

// startFleet starts the balancers, the last one of which does not know evacuations.
func startFleet(t *testing.T) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{store: standin.NewStore()}
	is.NoErr(f.store.Put("config", "main", map[string]any{"version": 7, "routes": []any{}, "services": []any{}}))
	listener, err := f.store.Listen("127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(listener.Close)
	f.url = "http://" + listener.Address
	address := func(i int, port uint16) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 79, 1, byte(i + 1)}), port)
	}
	operatorPort, peerPort := freePort(t), freePort(t)
	for i, domain := range []string{"attiki-1", "attiki-1", "attiki-2"} {
		s := &direct.Settings{
			ID: fmt.Sprint("front-", i), FailureDomain: domain, PacketAddress: address(i, 0), ReadyAddress: address(i, 0),
			ReadyPath: "/ready", OperatorAddress: address(i, operatorPort), PeerAddress: address(i, peerPort),
			Peers: []netip.AddrPort{address(0, peerPort)}, FlowAge: time.Minute, EvacuateLimit: evacuateLimit,
		}
		if i == 2 {
			s.EvacuateLimit = 0
		}
		clock := transport.SystemClock{}
		p, err := direct.Start(s, direct.Adapters{
			Store: &platform.Store{Client: transport.NewClient(f.url, 0, clock), Clock: clock}, Codec: platform.Codec{}, Clock: clock,
		}, slog.New(slog.NewTextHandler(io.Discard, nil)))
		is.NoErr(err)
		t.Cleanup(p.Close)
		f.balancers, f.settings = append(f.balancers, p), append(f.settings, s)
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if out, _ := f.run("status --balancer BALANCER"); strings.Contains(out, "3 of 3 answer, 3 ready") {
			return f
		} else if time.Now().After(end) {
			t.Fatalf("the balancers have not met:\n%s", out)
		}
	}
}

// freePort returns a port that is free for TCP and UDP on all loopback addresses of the fleet, below the ephemeral ones.
func freePort(t *testing.T) uint16 {
	t.Helper()
	for port := uint16(20000 + time.Now().UnixNano()%10000); port < 32000; port++ {
		l, err := net.Listen("tcp4", fmt.Sprint("0.0.0.0:", port))
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp4", fmt.Sprint("0.0.0.0:", port))
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return port
		}
	}
	t.Fatal("no free port")
	return 0
}

// TestEvacuationOfFleet guards against an operator who is told that an evacuation is in force or lifted everywhere while a
// balancer is behind, here because its settings have no limit for evacuations.
func TestEvacuationOfFleet(t *testing.T) {
	is := is.New(t)
	f := startFleet(t)
	out, code := f.run("evacuate attiki-2 --platform STORE --balancer BALANCER --timeout 6s")
	is.Equal(code, 1)
	is.Equal(out, "failure domain attiki-2 evacuated\n"+
		"cornellb: the evacuation of attiki-2 is not in force on 1 of 3 reachable balancers: front-2\n")
	brief, err := http.Get("http://" + f.settings[1].OperatorAddress.String() + "/status?brief=1")
	is.NoErr(err)
	defer brief.Body.Close()
	body, err := io.ReadAll(brief.Body)
	is.NoErr(err)
	is.True(bytes.Contains(body, []byte(`"evacuated":["attiki-2"]`)) && !bytes.Contains(body, []byte("members")))
	out, code = f.run("status --balancer BALANCER")
	is.Equal(code, 0)
	is.Equal(out, `balancers: 3 of 3 answer, 3 ready

FAILURE DOMAIN  BALANCERS  ANSWER  READY  VERSIONS
attiki-1        2          2       2      7 on 2
attiki-2        1          1       1      7 on 1

evacuated attiki-2: in force on 2 of 3 balancers that answer, not on front-2
`)
	out, code = f.run("status --balancer BALANCER --output json")
	is.Equal(code, 0)
	var s operator.Summary
	is.NoErr(json.Unmarshal([]byte(out), &s))
	is.Equal(s.Evacuations, []operator.EvacuationSummary{{FailureDomain: "attiki-2", InForce: 2, Behind: []string{"front-2"}}})

	reloaded := *f.settings[2]
	reloaded.EvacuateLimit = evacuateLimit
	f.balancers[2].Reload(&reloaded)
	out, code = f.run("evacuate attiki-2 --platform STORE --balancer BALANCER")
	is.Equal(code, 0)
	is.Equal(out, "failure domain attiki-2 was evacuated already\nin force on 3 of 3 reachable balancers\n")
	out, code = f.run("restore attiki-2 --platform STORE --balancer BALANCER")
	is.Equal(code, 0)
	is.Equal(out, "failure domain attiki-2 restored\nlifted on 3 of 3 reachable balancers\n")
	out, code = f.run("watch --balancer BALANCER --until 7")
	is.Equal(code, 0)
	is.Equal(out, "attiki-1: 2 of 2 balancers ready, version 7 on 2\nattiki-2: 1 of 1 balancers ready, version 7 on 1\n")
	out, code = f.run("evacuate atikki-2 --platform STORE --balancer BALANCER")
	is.Equal(code, 0)
	is.True(strings.Contains(out, "no balancer is in failure domain atikki-2; check the name\n"))
}

// TestManyBehind guards against a wait that counts balancers without an answer as done, and against an error that names
// thousands of balancers.
func TestManyBehind(t *testing.T) {
	is := is.New(t)
	store, err := standin.NewStore().Listen("127.0.0.1:0")
	is.NoErr(err)
	defer store.Close()
	dead, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	is.NoErr(dead.Close())
	status := operator.BalancerStatus{
		Host: "front-0", IsReady: true, Evacuated: []string{"attiki-1"}, Evacuations: &operator.EvacuationsPosition{Revision: 1000},
	}
	for i := range 9 {
		status.Members = append(status.Members, operator.BalancerMember{
			ID: fmt.Sprint("front-", i), FailureDomain: "attiki-1", OperatorAddress: dead.Addr().String(),
		})
	}
	asked := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(status)
	}))
	defer asked.Close()
	var out bytes.Buffer
	code := command.Execute([]string{"evacuate", "attiki-1", "--platform", "http://" + store.Address, "--timeout", "1s",
		"--balancer", asked.Listener.Addr().String()}, &out, &out)
	is.Equal(code, 1)
	is.Equal(out.String(), "failure domain attiki-1 evacuated\ncornellb: the evacuation of attiki-1 is not in force on 8 of 9 "+
		"reachable balancers: front-1 (no answer), front-2 (no answer), front-3 (no answer), front-4 (no answer), "+
		"front-5 (no answer), 3 others\n")
}

// TestOldSetIsBehind guards against an evacuation that is reported as lifted while a balancer has not even put it in force:
// it was ended at once, and the balancer has the set from before both writes.
func TestOldSetIsBehind(t *testing.T) {
	for revision, want := range map[uint64]int{1: 1, 3: 0} { // the store has revision 3 after the command
		t.Run(fmt.Sprint(revision), func(t *testing.T) {
			is := is.New(t)
			s := standin.NewStore()
			is.NoErr(s.Put("evacuations", "attiki-1", struct{}{}))
			store, err := s.Listen("127.0.0.1:0")
			is.NoErr(err)
			defer store.Close()
			asked := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_ = json.NewEncoder(w).Encode(operator.BalancerStatus{
					Host: "front-0", IsReady: true, Evacuations: &operator.EvacuationsPosition{Revision: revision},
					Members: []operator.BalancerMember{{ID: "front-0", FailureDomain: "attiki-1"}},
				})
			}))
			defer asked.Close()
			var out bytes.Buffer
			code := command.Execute([]string{"restore", "attiki-1", "--platform", "http://" + store.Address, "--timeout", "2s",
				"--balancer", asked.Listener.Addr().String()}, &out, &out)
			is.Equal(code, want)
		})
	}
}
