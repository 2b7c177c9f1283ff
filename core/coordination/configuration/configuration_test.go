package configuration_test

import (
	"flag"
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"cornellb/core/coordination/configuration"
	"cornellb/core/state/member"
	"cornellb/core/state/table"
)

func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil { // the command line may set another seed
		panic(err)
	}
	os.Exit(m.Run())
}

// recorder records the actions that a State calls.
type recorder struct {
	installed []*table.Index
	fetches   []member.Host
	have      []table.Digest
}

func (r *recorder) PutInForce(x *table.Index) { r.installed = append(r.installed, x) }

func (r *recorder) FetchTables(from member.Host, have []table.Digest) {
	r.fetches, r.have = append(r.fetches, from), have
}

// revision is one version of the tables as written to the store.
type revision struct {
	head     *table.Head
	segments []*table.Segment
}

// newRevision returns the successor of a revision, which may be the zero value. The slots of its endpoints are derived
// from the version, so that tests can tell from which version an entry comes.
func newRevision(before revision, isValid bool) revision {
	version := uint64(1)
	if before.head != nil {
		version = before.head.Version + 1
	}
	t := &table.Tables{Version: version}
	for i := range 3 {
		name := fmt.Sprintf("pool-%d", i)
		e := table.Endpoint{
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1),
			FailureDomain: "a", Slots: int(version%1000) + 1, Connections: 1,
		}
		if !isValid && i == 0 {
			e.Slots = 0
		}
		t.Pools = append(t.Pools, table.Pool{Name: name, Service: name, Endpoints: []table.Endpoint{e}})
	}
	h, segments, err := table.Split(t)
	if err != nil {
		panic(err)
	}
	h.AppendChange(before.head, table.Change{ID: fmt.Sprint(version)})
	return revision{head: h, segments: segments}
}

func host(id, domain string, incarnation member.Incarnation) member.Host {
	return member.Host{ID: id, FailureDomain: domain, Incarnation: incarnation}
}

func newState(clock configuration.Clock) (*configuration.State, *recorder) {
	r := &recorder{}
	return configuration.New(clock, r, slog.New(slog.DiscardHandler)), r
}

// TestReaders guards against a failure domain with too few or too many readers, and against readers that change when
// another member joins or fails.
func TestReaders(t *testing.T) {
	is := is.New(t)
	var hosts []member.Host
	for i := range 12 {
		hosts = append(hosts, host(fmt.Sprintf("host-%d", i), []string{"a", "b"}[i%2], member.Incarnation(i+1)))
	}
	readers := configuration.Readers(member.NewView(1, hosts[0], hosts), "a")
	is.Equal(len(readers), configuration.ReaderCount)
	for i := range hosts {
		if hosts[i].ID == readers[0].ID || hosts[i].ID == readers[1].ID {
			continue
		}
		changed := append([]member.Host{}, hosts...)
		changed[i].State = member.StateDead
		is.Equal(configuration.Readers(member.NewView(2, hosts[0], changed), "a"), readers)
	}
	restarted := append([]member.Host{}, hosts...)
	for i := range restarted {
		if restarted[i].ID == readers[0].ID {
			restarted[i].State = member.StateSuspect
		}
	}
	restarted = append(restarted, host(readers[0].ID, "a", 99))
	got := configuration.Readers(member.NewView(3, hosts[0], restarted), "a")
	is.Equal(got[0].Incarnation, member.Incarnation(99)) // the new incarnation replaces the suspect one of the same host
	is.Equal(got[1], readers[1])
	is.Equal(len(configuration.Readers(member.NewView(4, hosts[0], hosts), "c")), 0)
}

// TestFetchOrder guards against fetches from another failure domain while a local peer can answer, and against a peer
// that does not answer and thereby keeps the balancer from fetching the version from others.
func TestFetchOrder(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s, r := newState(clock)
	self, near, far := host("self", "a", 1), host("near", "a", 2), host("far", "b", 3)
	s.SetView(member.NewView(1, self, []member.Host{self, near, far}))
	first := newRevision(revision{}, true)
	second := newRevision(first, true)

	s.HandlePeerVersion(far.Incarnation, 1) // a balancer without tables does not wait
	is.Equal(r.fetches, []member.Host{far})
	is.Equal(len(r.have), 0)
	is.NoErr(s.Offer(configuration.Source{Peer: far.Incarnation}, first.head, first.segments))
	is.Equal(s.Version(), uint64(1))

	r.fetches = nil
	s.HandlePeerVersion(far.Incarnation, 2)
	is.Equal(len(r.fetches), 0) // readers in the local failure domain have remoteDelay to deliver the version
	s.HandlePeerVersion(near.Incarnation, 2)
	is.Equal(r.fetches, []member.Host{near})
	is.Equal(r.have, first.head.Digests())
	clock.Advance(999 * time.Millisecond)
	s.Tick()
	is.Equal(len(r.fetches), 1)
	clock.Advance(time.Millisecond)
	s.Tick() // the fetch from near exceeds fetchTimeout
	is.Equal(r.fetches, []member.Host{near, far})
	s.FetchFailed(far.Incarnation)
	is.Equal(len(r.fetches), 2)
	clock.Advance(time.Second)
	s.Tick()
	is.Equal(r.fetches, []member.Host{near, far, near})
	is.NoErr(s.Offer(configuration.Source{Peer: far.Incarnation}, second.head, second.segments)) // a late reply
	is.Equal(s.Version(), uint64(2))
	is.NoErr(s.Offer(configuration.Source{Peer: near.Incarnation}, first.head, first.segments)) // a late, old reply
	is.Equal(s.Version(), uint64(2))
	c := s.Counters()
	is.Equal([]uint64{c.InForce, c.Stale, c.Fetches, c.Failures}, []uint64{2, 1, 4, 2})
}

// TestReadiness guards against a joining balancer that serves with a lower version than its peers announced, and
// against balancers that stop being ready at each new version.
func TestReadiness(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	first := newRevision(revision{}, true)
	second := newRevision(first, true)
	self, peer := host("self", "a", 1), host("peer", "a", 2)
	view := member.NewView(1, self, []member.Host{self, peer})

	s, _ := newState(clock)
	s.SetView(view)
	is.True(!s.IsReady())
	s.HandlePeerVersion(peer.Incarnation, 2)
	is.NoErr(s.Offer(configuration.Source{}, first.head, first.segments)) // the store returns an old version
	is.True(!s.IsReady())
	is.NoErr(s.Offer(configuration.Source{Peer: 2}, second.head, second.segments))
	is.True(s.IsReady())
	s.HandlePeerVersion(peer.Incarnation, 3)
	is.True(s.IsReady())

	late, _ := newState(clock)
	late.SetView(view)
	late.HandlePeerVersion(peer.Incarnation, 2)
	is.NoErr(late.Offer(configuration.Source{}, first.head, first.segments))
	clock.Advance(4*time.Second - time.Millisecond)
	is.True(!late.IsReady())
	clock.Advance(time.Millisecond)
	is.True(late.IsReady()) // the peer did not deliver the version that it announced within readyWait
}

// TestRefusedVersion guards against invalid tables being put in force, against fetching them again after each gossip
// message, and against a refused version that blocks the next valid one.
func TestRefusedVersion(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s, r := newState(clock)
	self, peer := host("self", "a", 1), host("peer", "a", 2)
	s.SetView(member.NewView(1, self, []member.Host{self, peer}))
	first := newRevision(revision{}, true)
	second := newRevision(first, false)
	third := newRevision(second, true)
	is.NoErr(s.Offer(configuration.Source{}, first.head, first.segments))
	is.True(s.Offer(configuration.Source{}, second.head, second.segments) != nil)
	is.Equal(s.Version(), uint64(1))
	_, isWanted := s.MissingSegments(second.head)
	is.True(!isWanted)
	s.HandlePeerVersion(peer.Incarnation, 2)
	clock.Advance(10 * time.Second)
	s.Tick()
	is.Equal(len(r.fetches), 0)
	is.Equal(s.Status().Members[1].Refused[0].Version, uint64(2))
	s.HandlePeerVersion(peer.Incarnation, 3)
	is.Equal(len(r.fetches), 1)
	is.NoErr(s.Offer(configuration.Source{Peer: 2}, third.head, third.segments))
	is.Equal(s.Version(), uint64(3))
	is.Equal(s.Counters().Refused, uint64(1))
}

// TestRetryDelayAfterLowerVersion guards against a peer whose fetches fail and that is asked again at once, because an
// old announcement of a lower version arrives between two of the higher version.
func TestRetryDelayAfterLowerVersion(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	s, r := newState(clock)
	self, peer := host("self", "a", 1), host("peer", "a", 2)
	s.SetView(member.NewView(1, self, []member.Host{self, peer}))
	first := newRevision(revision{}, true)
	is.NoErr(s.Offer(configuration.Source{}, first.head, first.segments))
	for range 3 {
		s.HandlePeerVersion(peer.Incarnation, 2)
		s.FetchFailed(peer.Incarnation)
		s.HandlePeerVersion(peer.Incarnation, 1)
	}
	is.Equal(len(r.fetches), 1)
	s.HandlePeerVersion(peer.Incarnation, 2)
	clock.Advance(2*time.Second - time.Millisecond)
	s.Tick()
	is.Equal(len(r.fetches), 1)
	clock.Advance(time.Millisecond)
	s.Tick()
	is.Equal(len(r.fetches), 2)
}
