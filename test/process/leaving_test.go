package process_test

import (
	"testing"
	"time"

	"github.com/pkg/errors"

	"cornellb/standin/caller"
)

// leavingLimit is the time after which a leaving backend server must receive no new work.
const leavingLimit = 3 * time.Second

// TestLeavingServer guards against new work for a backend server that said itself that it leaves, in particular while the
// platform cannot tell, and from an owner that took over later.
func TestLeavingServer(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		isPlatformDead bool
		isOwnerDrained bool
	}{
		"platform alive":                      {},
		"platform dead":                       {isPlatformDead: true},
		"platform dead, new owner takes over": {isPlatformDead: true, isOwnerDrained: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t, options{})
			if c.isPlatformDead {
				f.platforms.kill()
			}
			f.leave(f.servers[0], func() {
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
	f.leave(f.servers[2], func() {})
}

// leave lets a backend server leave under load, by its own control alone, and requires that its feeds and its work go on
// elsewhere. During is called when the server must get no new work any more.
func (f *fleet) leave(s *server, during func()) {
	f.t.Helper()
	feeds := f.openFeeds(6)
	load := f.startLoad(caller.Config{Timeout: patientTimeout})
	eventually(f.t, outcomeLimit, "work for the server", func() error {
		r, err := s.report()
		if err == nil && r.Started == 0 {
			err = errors.New("nothing started")
		}
		return err
	})
	f.post(s.control + "/leaving?on=true")
	time.Sleep(leavingLimit)
	during()
	feeds.awaitProgress()
	f.awaitNoFeeds(s)
	f.awaitService()
	f.judgePlanned(load.stop(f.t)) // the server counts work that came later than the limit
}
