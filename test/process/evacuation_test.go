package process_test

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/standin/direct"
)

const (
	evacuateLimit = 5 * time.Second  // the setting evacuate_ms, within which an evacuation must be in force
	evacuateDelay = 15 * time.Second // how much later it may be in force while the store is not fully available
)

// enableEvacuations adds the limit for evacuations to the settings of all balancers.
func (f *directFleet) enableEvacuations() {
	f.t.Helper()
	for _, b := range f.balancers {
		text, err := os.ReadFile(b.settings)
		if err != nil {
			f.t.Fatal(err)
		}
		changed := strings.Replace(string(text), "bounds: {", fmt.Sprintf("bounds: {evacuate_ms: %d, ", evacuateLimit.Milliseconds()), 1)
		if err := os.WriteFile(b.settings, []byte(changed), 0o600); err != nil {
			f.t.Fatal(err)
		}
		b.process.signal(syscall.SIGHUP)
		b.awaitLine(f.t, `"evacuate_limit"`)
	}
}

func (f *directFleet) evacuate(domain string) {
	f.t.Helper()
	if err := f.store.Put("evacuations", domain, map[string]any{"reason": "power work"}); err != nil {
		f.t.Fatal(err)
	}
}

// checkEvacuated returns an error unless the balancer has exactly these failure domains evacuated.
func (b *directBalancer) checkEvacuated(domains ...string) error {
	response, err := httpClient.Get(fmt.Sprintf("http://%s:9464/status", b.ip))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var s struct {
		Evacuated []string `json:"evacuated"`
	}
	if err := json.NewDecoder(response.Body).Decode(&s); err != nil {
		return err
	}
	if !slices.Equal(s.Evacuated, domains) {
		return errors.Errorf("%s has evacuated %v", b.id, s.Evacuated)
	}
	return nil
}

// awaitEvacuated waits until all balancers have exactly these failure domains evacuated.
func (f *directFleet) awaitEvacuated(limit time.Duration, domains ...string) {
	f.t.Helper()
	began := time.Now()
	eventually(f.t, limit, fmt.Sprintf("evacuated: %v", domains), func() error {
		for _, b := range f.balancers {
			if err := b.checkEvacuated(domains...); err != nil {
				return err
			}
		}
		return nil
	})
	f.t.Logf("evacuated everywhere after %v: %v", time.Since(began).Round(time.Millisecond), domains)
}

// openedIn returns the number of flows that the endpoints of the service feed in a failure domain have opened.
func (f *directFleet) openedIn(domain string) int64 {
	ids := map[string][]string{"attiki-a": {"i-f0", "i-f2"}, "attiki-b": {"i-f1", "i-f3"}}[domain]
	return f.endpoints[ids[0]].Opened() + f.endpoints[ids[1]].Opened()
}

// packetTime is longer than packets are on their way that a balancer has decided on before an evacuation was in force.
const packetTime = 200 * time.Millisecond

// TestDirectEvacuation guards against new flows in an evacuated failure domain and against none in one that is no longer
// evacuated, also on balancers that the store does not serve, or not fully. Open flows must stay.
func TestDirectEvacuation(t *testing.T) {
	t.Parallel()
	tests := map[string]struct {
		affected int // balancers with the fault, the first ones
		fault    direct.Fault
		limit    time.Duration
	}{
		"store answers":                        {limit: evacuateLimit},
		"store refuses one balancer":           {1, direct.Fault{Status: 503}, evacuateLimit},
		"store refuses a whole failure domain": {2, direct.Fault{Status: 503}, evacuateLimit + evacuateDelay},
		"store is silent for a failure domain": {2, direct.Fault{IsSilent: true}, evacuateLimit + evacuateDelay},
		"store is slow for all":                {4, direct.Fault{Delay: time.Second}, evacuateLimit + evacuateDelay},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := startDirect(t)
			f.enableEvacuations()
			load := f.startLoad(fewFlows)
			time.Sleep(3 * time.Second) // the balancers discover each other and choose their readers
			for _, b := range f.balancers[:c.affected] {
				b.storeListener.SetFault(c.fault)
			}
			f.evacuate("attiki-a")
			f.awaitEvacuated(c.limit, "attiki-a")
			time.Sleep(packetTime)
			closed, open := f.openedIn("attiki-a"), f.openedIn("attiki-b")
			time.Sleep(2 * time.Second)
			is.Equal(f.openedIn("attiki-a"), closed)
			is.True(f.openedIn("attiki-b") > open)
			f.store.Delete("evacuations", "attiki-a")
			f.awaitEvacuated(c.limit)
			time.Sleep(time.Second)
			is.True(f.openedIn("attiki-a") > closed)
			r := load.Stop()
			f.checkResult(r)
			is.Equal(r.Refused, int64(0))
			is.Equal(r.TimedOut, int64(0))
			for _, b := range f.balancers {
				log, err := os.ReadFile(b.process.logFile)
				is.NoErr(err)
				is.Equal(strings.Count(string(log), "failure domain evacuated"), 1)
				is.Equal(strings.Count(string(log), "failure domain restored"), 1)
			}
		})
	}
}

// TestDirectStartInEvacuation guards against a balancer that starts during an evacuation, is ready before it knows it, and
// opens flows in the evacuated failure domain.
func TestDirectStartInEvacuation(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	f.enableEvacuations()
	load := f.startLoad(fewFlows)
	f.evacuate("attiki-a")
	f.awaitEvacuated(evacuateLimit, "attiki-a")
	time.Sleep(packetTime)
	opened := f.openedIn("attiki-a")
	b := f.balancers[0]
	b.process.signal(syscall.SIGTERM)
	b.process.awaitExit(t, 7*time.Second)
	f.start(b)
	f.awaitReady(b)
	is.NoErr(b.checkEvacuated("attiki-a"))
	time.Sleep(2 * time.Second)
	is.Equal(f.openedIn("attiki-a"), opened)
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.Refused, int64(0))
}

// TestDirectAllEvacuated guards against clients that wait in vain while all failure domains are evacuated: their flows must
// be reset at once. Flows must open again when one domain is restored.
func TestDirectAllEvacuated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirect(t)
	f.enableEvacuations()
	load := f.startLoad(fewFlows)
	time.Sleep(3 * time.Second)
	f.evacuate("attiki-a")
	f.evacuate("attiki-b")
	f.awaitEvacuated(evacuateLimit, "attiki-a", "attiki-b")
	time.Sleep(packetTime)
	a, b := f.openedIn("attiki-a"), f.openedIn("attiki-b")
	time.Sleep(time.Second)
	is.Equal(f.openedIn("attiki-a"), a)
	is.Equal(f.openedIn("attiki-b"), b)
	f.store.Delete("evacuations", "attiki-b")
	f.awaitEvacuated(evacuateLimit, "attiki-a")
	time.Sleep(time.Second)
	is.True(f.openedIn("attiki-b") > b)
	r := load.Stop()
	f.checkResult(r)
	is.True(r.Refused > 0)
	is.Equal(r.Unopened, int64(0)) // no flow waits for an answer
	is.Equal(r.TimedOut, int64(0))
}
