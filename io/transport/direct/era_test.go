package direct_test

import (
	"context"
	"log/slog"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/spread"
	"cornellb/core/state/directory"
	"cornellb/io/transport/direct"

	wire "cornellb/io/protocol/wire/peer"
)

// restorableStore is a store at a position that the test sets. Each watch returns at once.
type restorableStore struct {
	mu        sync.Mutex
	at        directory.Position
	endpoints []directory.Endpoint
	sendsNone bool   // answers have no era
	listsNone bool   // lists have none
	fresh     []bool // of each list
}

func (s *restorableStore) restore(at directory.Position, endpoints ...directory.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.endpoints = at, endpoints
}

func (s *restorableStore) Configuration(context.Context) (*directory.Configuration, []direct.Fault, error) {
	return &directory.Configuration{Version: 7}, nil, nil
}

func (s *restorableStore) position() directory.Position {
	if s.sendsNone {
		return directory.Position{Revision: s.at.Revision}
	}
	return s.at
}

func (s *restorableStore) Endpoints(_ context.Context, isFresh bool) (
	[]directory.Endpoint, directory.Position, []direct.Fault, error,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fresh = append(s.fresh, isFresh)
	if at := s.position(); !s.listsNone {
		return s.endpoints, at, nil, nil
	}
	return s.endpoints, directory.Position{Revision: s.at.Revision}, nil, nil
}

func (s *restorableStore) WatchEndpoints(_ context.Context, after directory.Position, _ time.Duration) (
	[]discovery.Change, directory.Position, []direct.Fault, error,
) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at := s.position(); at.Era > after.Era || at.Revision < after.Revision {
		return nil, directory.Position{}, nil, &direct.HistoryGoneError{Revision: after.Revision, Era: at.Era}
	}
	return nil, s.position(), nil, nil
}

func (s *restorableStore) Evacuations(context.Context) (*directory.Evacuations, []direct.Fault, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &directory.Evacuations{Position: s.position()}, nil, nil
}

func startRestorable(t *testing.T, s *restorableStore) (*direct.Process, *output) {
	t.Helper()
	out := &output{}
	p, err := direct.Start(testSettings(), direct.Adapters{Store: s, Codec: codec{}, Clock: clock{}},
		slog.New(slog.NewTextHandler(out, nil)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	eventually(t, "the first list", func() bool { return p.Position().Revision == 100 })
	return p, out
}

// TestRestoredStoreIsListedAgain guards against a balancer that keeps the endpoints from before a restore, since its
// revision is higher than that of the copy, that lists them from a replica which has not been restored yet, or that lists
// them again and again because the header is missing in the list that follows a watch which has shown the era.
func TestRestoredStoreIsListedAgain(t *testing.T) {
	for _, listsNone := range []bool{false, true} {
		is := is.New(t)
		s := &restorableStore{at: directory.Position{Era: 4, Revision: 100}, listsNone: listsNone}
		p, out := startRestorable(t, s)
		at := directory.Position{Era: 5, Revision: 60}
		eventually(t, "the era of a watch", func() bool { return p.Position().Era == 4 })
		s.restore(at)
		eventually(t, "the position of the copy", func() bool { return p.Position() == at })
		is.Equal(out.count("from=4 era=5"), 1)
		s.mu.Lock()
		is.Equal(s.fresh[len(s.fresh)-1], true)
		is.True(len(s.fresh) <= 3) // at most one more for the first era
		s.mu.Unlock()
	}
}

// TestMissingHeader guards against a balancer that stops to follow a store, or lists all endpoints again and again,
// because the header with the era is missing for a while.
func TestMissingHeader(t *testing.T) {
	is := is.New(t)
	s := &restorableStore{at: directory.Position{Era: 4, Revision: 100}}
	p, out := startRestorable(t, s)
	s.mu.Lock()
	s.sendsNone, s.at.Revision = true, 101
	s.mu.Unlock()
	eventually(t, "a change without the header", func() bool { return p.Position() == directory.Position{Era: 4, Revision: 101} })
	s.mu.Lock()
	s.sendsNone, s.at.Revision = false, 102
	s.mu.Unlock()
	eventually(t, "a change with the header", func() bool { return p.Position() == directory.Position{Era: 4, Revision: 102} })
	is.Equal(out.count("store era increased"), 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	is.Equal(len(s.fresh), 1)
}

// TestRestoreWithoutHeaderBacksOff guards against calls without a pause of a store that was restored and sends no era: its
// lists are ignored and its watches fail until its revisions have passed those from before.
func TestRestoreWithoutHeaderBacksOff(t *testing.T) {
	is := is.New(t)
	s := &restorableStore{at: directory.Position{Revision: 100}, sendsNone: true}
	p, _ := startRestorable(t, s)
	s.restore(directory.Position{Revision: 90})
	lists := func() int {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.fresh)
	}
	time.Sleep(2 * time.Second) // the pauses double up to a second
	before := lists()
	time.Sleep(3 * time.Second)
	is.True(lists()-before <= 4) // one call a second, with jitter
	s.restore(directory.Position{Revision: 101})
	eventually(t, "the position of the store", func() bool { return p.Position().Revision == 101 })
}

// TestMessagesOfFormerEra guards against a balancer that takes over the endpoints from before a restore from a late
// announcement or from a balancer without eras, and against differences for balancers that know another era.
func TestMessagesOfFormerEra(t *testing.T) {
	is := is.New(t)
	s := &restorableStore{at: directory.Position{Era: 4, Revision: 100}, endpoints: []directory.Endpoint{{ID: "i-1"}, {ID: "i-2"}}}
	p, _ := startRestorable(t, s)
	at := directory.Position{Era: 5, Revision: 60}
	s.restore(at, directory.Endpoint{ID: "i-1"})
	eventually(t, "the position of the copy", func() bool { return p.Position() == at })

	for sequence, era := range []uint64{4, 0} {
		p.Peers().HandleAnnouncement(netip.AddrPort{}, &spread.Announcement{
			Reader: 99, Sequence: uint64(sequence + 1), Version: 7, Era: era, Revision: 200, Base: 60,
			Changes: []discovery.Change{{ID: "i-1", Revision: 61}}, LapsedFor: time.Hour,
		})
		is.Equal(p.Position(), at)
	}
	for _, asked := range []directory.Position{{Era: 4, Revision: 100}, {Revision: 100}, {Revision: 60}, {}} {
		d, err := p.Peers().HandleDirectory(t.Context(), wire.DirectoryQuery{Version: 7, Endpoints: asked})
		is.NoErr(err)
		is.Equal(directory.Position{Era: d.Era, Revision: d.Revision}, at)
		is.True(!d.ChangesOnly && len(d.Endpoints) == 1)
		is.True(d.LapsedFor > 0 && d.LapsedFor <= 2200*time.Millisecond) // not from the late announcement
	}
	for _, asked := range []directory.Position{at, {Era: 6, Revision: 1}} {
		d, err := p.Peers().HandleDirectory(t.Context(), wire.DirectoryQuery{Version: 7, Endpoints: asked})
		is.NoErr(err)
		is.Equal(d.Revision, uint64(0))
	}
}

// TestAnswersOfFormerEraConfirmNothing guards against endpoints that count as fresh because of answers from before a
// restore, as a replica gives them that is behind.
func TestAnswersOfFormerEraConfirmNothing(t *testing.T) {
	is := is.New(t)
	s := &restorableStore{at: directory.Position{Era: 5, Revision: 100}}
	p, _ := startRestorable(t, s)
	eventually(t, "a watch", func() bool {
		_, age := p.Ages()
		return age < time.Second
	})
	s.restore(directory.Position{Era: 4, Revision: 200})
	eventually(t, "endpoints that are no longer confirmed", func() bool {
		_, age := p.Ages()
		return age > 2*time.Second
	})
	is.Equal(p.Position(), directory.Position{Era: 5, Revision: 100})
}

// kindlessStore is a restorableStore that has no list of evacuations while there is none.
type kindlessStore struct {
	*restorableStore
	domains []string
	listEra uint64 // of the answer without a list, if not 0
	reads   int
	began   chan struct{}
	release chan struct{} // blocks the next answer without a list, if not nil
}

func (s *kindlessStore) Evacuations(context.Context) (*directory.Evacuations, []direct.Fault, error) {
	s.mu.Lock()
	at, domains, began, release := s.at, s.domains, s.began, s.release
	if s.listEra > 0 {
		at.Era = s.listEra
	}
	s.release = nil
	s.reads++
	s.mu.Unlock()
	if release != nil {
		close(began)
		<-release
	}
	if len(domains) == 0 {
		at.Revision = 0
	}
	return &directory.Evacuations{Position: at, Domains: domains}, nil, nil
}

func (s *kindlessStore) set(change func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change()
}

func startKindless(t *testing.T, s *kindlessStore) (*direct.Process, *output) {
	t.Helper()
	out := &output{}
	p, err := direct.Start(withEvacuations(), direct.Adapters{Store: s, Codec: codec{}, Clock: clock{}},
		slog.New(slog.NewTextHandler(out, nil)))
	is.New(t).NoErr(err)
	t.Cleanup(p.Close)
	eventually(t, "ready", p.IsReady)
	return p, out
}

// TestNoListInNewEra guards against an evacuation that takes no effect after a restore, because an answer without a list
// was given a revision of the former era, which the store has not reached again.
func TestNoListInNewEra(t *testing.T) {
	s := &kindlessStore{restorableStore: &restorableStore{at: directory.Position{Era: 1, Revision: 1000}}}
	p, out := startKindless(t, s)
	s.set(func() { s.at.Revision, s.listEra = 1001, 2 }) // restored between the watch that causes a read and the read
	eventually(t, "set of the new era", func() bool { return p.EvacuationsPosition().Era == 2 })
	s.set(func() { s.at, s.listEra = directory.Position{Era: 2, Revision: 900}, 0 })
	eventually(t, "new era", func() bool { return p.Position().Era == 2 })
	s.set(func() { s.at.Revision, s.domains = 905, []string{"attiki-2"} })
	eventually(t, "evacuated", func() bool { return out.count("failure domain evacuated") > 0 })
}

// TestLateAnswerWithoutList guards against an evacuation that ends on a balancer because a read from before it is answered
// late, without a list.
func TestLateAnswerWithoutList(t *testing.T) {
	is := is.New(t)
	s := &kindlessStore{restorableStore: &restorableStore{at: directory.Position{Era: 1, Revision: 10}}}
	p, out := startKindless(t, s)
	began, release := make(chan struct{}), make(chan struct{})
	s.set(func() { s.at.Revision, s.began, s.release = 11, began, release })
	<-began
	p.Peers().HandleAnnouncement(netip.AddrPort{}, &spread.Announcement{
		Reader: 9, Sequence: 1, Version: 7, Era: 1, Revision: 11, Base: 11,
		Evacuations: &directory.Evacuations{Position: directory.Position{Era: 1, Revision: 20}, Domains: []string{"attiki-2"}},
	})
	eventually(t, "evacuated", func() bool { return out.count("failure domain evacuated") > 0 })
	s.set(func() { s.at.Revision, s.domains = 20, []string{"attiki-2"} })
	close(release)
	time.Sleep(500 * time.Millisecond)
	is.Equal(out.count("failure domain restored"), 0)
}

// TestAnswerOfFormerEraWithoutList guards against an evacuation that ends because of an answer from before a restore.
func TestAnswerOfFormerEraWithoutList(t *testing.T) {
	is := is.New(t)
	s := &kindlessStore{restorableStore: &restorableStore{at: directory.Position{Era: 2, Revision: 20}}, domains: []string{"attiki-2"}}
	_, out := startKindless(t, s)
	is.Equal(out.count("failure domain evacuated"), 1)
	s.set(func() { s.at.Revision, s.domains, s.listEra = 21, nil, 1 })
	eventually(t, "answers of the former era", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.reads >= 3
	})
	is.Equal(out.count("failure domain restored"), 0)
	s.set(func() { s.listEra = 0 })
	eventually(t, "restored", func() bool { return out.count("failure domain restored") > 0 })
}
