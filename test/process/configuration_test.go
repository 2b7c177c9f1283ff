package process_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/table"
	protocol "cornellb/io/protocol/platform"
	transport "cornellb/io/transport/platform"
	"cornellb/standin/caller"
	"cornellb/standin/platform"
)

// TestRacingEdits guards against an edit that is reported as failed because its response was lost, against two edits of
// one version that are both accepted, and against balancers that do not get the accepted one.
func TestRacingEdits(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := startFleet(t, options{})
	f.setFault(platform.Fault{LoseWrites: 1, LoseKind: protocol.KindTables})
	f.apply(func(t *table.Tables) { poolOf(t, reminders).Endpoints[0].Slots = 2 })
	f.awaitVersion(f.tables.Version)
	for range 3 {
		// The delay lets both edits read the same version. The response that is lost is that of the accepted write.
		f.setFault(platform.Fault{LoseWrites: 1, LoseKind: protocol.KindTables, Delay: 50})
		version := f.tables.Version
		accepted := fmt.Sprintf("accepted as version %d\n", version+1)
		conflict := fmt.Sprintf("cornellb: conflict: the tables were edited from version %d, but the platform has version %d\n",
			version, version+1)
		outputs := f.race(func(n int, t *table.Tables) {
			poolOf(t, reminders).Endpoints[0].Connections = 100 + 10*int(version) + n
		})
		f.tables.Version++
		winner := 0
		if outputs[1] == accepted {
			winner = 1
		}
		is.Equal(outputs[winner], accepted)
		is.Equal(outputs[1-winner], conflict)
		f.awaitVersion(f.tables.Version)
		stored, code := runCommand(t, "get", "--platform", f.platform)
		is.Equal(code, 0)
		is.True(strings.Contains(stored, fmt.Sprintf("connections: %d\n", 100+10*version+uint64(winner))))
	}
	f.awaitService()
}

// race runs two apply commands for edits of the same version concurrently and returns their outputs.
func (f *fleet) race(edit func(n int, t *table.Tables)) (outputs [2]string) {
	f.t.Helper()
	var files [2]string
	for n := range files {
		edit(n, &f.tables)
		files[n] = f.writeTables(&f.tables)
	}
	var running sync.WaitGroup
	for n, file := range files {
		running.Go(func() { outputs[n], _ = runCommand(f.t, "apply", file, "--platform", f.platform) })
	}
	running.Wait()
	return outputs
}

// TestJoinWithoutPlatform guards against a balancer that cannot start, or has no tables, while the platform is down.
func TestJoinWithoutPlatform(t *testing.T) {
	t.Parallel()
	cases := map[string]func(f *fleet){
		"dead":    func(f *fleet) { f.platformProcess.kill() },
		"silent":  func(f *fleet) { f.setFault(platform.Fault{Mode: platform.ModeHang}) },
		"refuses": func(f *fleet) { f.setFault(platform.Fault{Mode: platform.ModeRefuse}) },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := startFleet(t, options{spare: 1})
			feeds := f.openFeeds(4)
			load := f.startLoad(caller.Config{Timeout: plannedTimeout})
			fail(f)
			out, code := runCommand(t, "apply", f.writeTables(&f.tables), "--platform", f.platform, "--timeout", "1s")
			is.Equal(code, 1)
			is.True(strings.HasPrefix(out, "cornellb: the platform is unavailable: "))
			joined := f.balancers[len(f.balancers)-1]
			f.startBalancer(joined)
			f.awaitReady(joined)
			f.awaitVersion(f.tables.Version)
			f.awaitMembers()
			feeds.awaitProgress()
			f.awaitService()
			f.checkPlannedChange(load.stop(t))
		})
	}
}

// TestPlatformLosesState guards against balancers that fall back to older tables, or to none, because the platform was
// restarted with an older state. watchVersions checks during the whole test that no version goes down.
func TestPlatformLosesState(t *testing.T) {
	t.Parallel()
	cases := map[string]bool{"empty": false, "old head": true}
	for name, isOld := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, options{spare: 1})
			old := f.saveObjects()
			for i := range 3 {
				f.apply(func(t *table.Tables) { poolOf(t, reminders).Endpoints[0].Connections = 100 + i })
			}
			version := f.tables.Version
			f.awaitVersion(version)
			load := f.startLoad(caller.Config{Timeout: plannedTimeout})
			f.platformProcess.kill()
			f.startPlatform()
			f.awaitStandins()
			if isOld {
				f.restoreObjects(old)
				f.tables.Version = 1
			} else {
				f.tables.Version = 0
			}
			joined := f.balancers[len(f.balancers)-1]
			f.startBalancer(joined)
			f.awaitReady(joined)
			f.awaitVersion(version)
			// An edit whose version is below the version in force must not replace it. Readers see the edit at once through a
			// watch, or later when they poll, hence the wait.
			f.apply(func(t *table.Tables) { poolOf(t, reminders).Endpoints[0].Connections = 50 })
			time.Sleep(lateRunTime)
			f.awaitVersion(version)
			for f.tables.Version <= version {
				f.apply(func(t *table.Tables) { poolOf(t, reminders).Endpoints[0].Connections++ })
			}
			f.awaitVersion(f.tables.Version)
			f.awaitService()
			f.checkPlannedChange(load.stop(t))
		})
	}
}

// saveObjects returns the objects in the platform that hold the tables.
func (f *fleet) saveObjects() (objects []protocol.Object) {
	f.t.Helper()
	client := transport.NewClient(f.platform, 0, transport.SystemClock{})
	defer client.Close()
	for _, kind := range []string{protocol.KindSegment, protocol.KindTables} {
		list, err := client.List(context.Background(), kind)
		if err != nil {
			f.t.Fatal(err)
		}
		objects = append(objects, list...)
	}
	return objects
}

func (f *fleet) restoreObjects(objects []protocol.Object) {
	f.t.Helper()
	client := transport.NewClient(f.platform, 0, transport.SystemClock{})
	defer client.Close()
	for _, o := range objects {
		if _, err := client.Put(context.Background(), o.Kind, o.Name, o.Value, 0); err != nil {
			f.t.Fatal(err)
		}
	}
}
