package process_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/standin/direct"
)

// registerTime is the time after the return of a restored store until the endpoints have written their entries again.
const registerTime = 2 * time.Second

// lapsedLimit is the time after the return of a restored store until endpoints that are still missing must be gone: the
// balancers' time for registering again, and the limit for leaving endpoints until they have all read the new list.
const lapsedLimit = 2200*time.Millisecond + leaveLimit

// writeAgain writes all endpoints' entries and the configuration to the store, but for the endpoints with the given IDs.
func (f *directFleet) writeAgain(lost ...string) {
	f.t.Helper()
	for id, e := range f.endpoints {
		if strings.Contains(strings.Join(lost, " "), id) {
			continue
		}
		if err := e.Register(); err != nil {
			f.t.Error(err)
		}
	}
	f.configure()
}

// TestDirectRestoredStore guards against new flows for an endpoint that leaves, against flows that break and against a
// version that goes back, because the store is restored from a copy that is older than these changes: i-f0 has begun to
// leave since the copy, i-f9 and i-f8 have been added, and a version has been written. i-f8 never registers again.
func TestDirectRestoredStore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startDirectInEra(t, 1)
	load := f.startLoad(manyFlows)
	time.Sleep(time.Second)
	c := f.store.Copy()
	is.NoErr(f.endpoints["i-f0"].Drain())
	f.addEndpoint("i-f9", "feed", "attiki-a")
	f.addEndpoint("i-f8", "feed", "attiki-b")
	f.configure()
	time.Sleep(leaveLimit)
	drained, version := f.endpoints["i-f0"].Opened(), f.version
	is.True(f.endpoints["i-f9"].Opened() > 0)

	for _, b := range f.balancers {
		b.storeListener.SetFault(direct.Fault{Status: http.StatusServiceUnavailable})
	}
	time.Sleep(500 * time.Millisecond)
	f.store.Restore(c)
	for _, b := range f.balancers {
		b.storeListener.SetFault(direct.Fault{})
	}
	restored := time.Now()
	added := f.endpoints["i-f9"].Opened()
	time.Sleep(registerTime)
	is.True(f.endpoints["i-f9"].Opened() > added) // its entry is missing, but it may register again
	for _, b := range f.balancers {
		is.Equal(f.versionInForce(b), version) // the store has an older one
	}
	f.writeAgain("i-f8")

	time.Sleep(time.Until(restored.Add(lapsedLimit)))
	lost, again := f.endpoints["i-f8"].Opened(), f.endpoints["i-f9"].Opened()
	time.Sleep(leaveLimit)
	is.Equal(f.endpoints["i-f0"].Opened(), drained)
	is.Equal(f.endpoints["i-f8"].Opened(), lost)
	is.True(f.endpoints["i-f9"].Opened() > again)
	for _, b := range f.balancers {
		is.Equal(f.versionInForce(b), f.version)
		is.Equal(f.gauge(b, "cornellb_store_era"), "2")
		b.awaitLine(t, "store era increased")
	}
	r := load.Stop()
	f.checkResult(r)
	is.Equal(r.Unopened, int64(0))
	is.Equal(r.TimedOut, int64(0))
}
