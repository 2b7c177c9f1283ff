package process_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"cornellb/standin/caller"
)

// leavingLimit is the time after which a leaving backend server must receive no new work.
const leavingLimit = 3 * time.Second

// TestLeavingServer guards against new work for a backend server that has itself announced that it leaves, in
// particular while the platform is down and cannot report it, and against new work from an owner that took over after
// the announcement.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		isPlatformDown bool
		isOwnerDrained bool
	}{
		"platform alive":                      {},
		"platform dead":                       {isPlatformDown: true},
		"platform dead, new owner takes over": {isPlatformDown: true, isOwnerDrained: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, options{})
			if c.isPlatformDown {
				f.platformProcess.kill()
			}
			f.checkLeaving(f.servers[0], func() {
				if c.isOwnerDrained {
					f.drain(f.owner(reminders))
				}
			})
		})
	}
}

// TestLeavingLastServer guards against flows and feeds that stay with the only backend server of their pool shard.
func TestLeavingLastServer(t *testing.T) {
	t.Parallel()
	f := startFleet(t, options{})
	f.checkLeaving(f.servers[2], func() {})
}

// checkLeaving makes a backend server announce under load that it leaves, without an edit of the tables, and requires
// that other servers take over its feeds and its work. It calls afterLimit once the server must receive no new work.
func (f *fleet) checkLeaving(s *server, afterLimit func()) {
	f.t.Helper()
	feeds := f.openFeeds(6)
	load := f.startLoad(caller.Config{Timeout: plannedTimeout})
	eventually(f.t, eventualTimeout, "a request started at the server", func() error {
		r, err := s.report()
		if err == nil && r.Started == 0 {
			err = errors.New("the server has started no request")
		}
		return err
	})
	f.post(s.control + "/leaving?on=true")
	time.Sleep(leavingLimit)
	afterLimit()
	feeds.awaitProgress()
	f.awaitNoFeeds(s)
	f.awaitService()
	f.checkPlannedChange(load.stop(f.t)) // the verdict includes work that the server started after it left
}
