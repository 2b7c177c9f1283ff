package peer

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/member"
)

// Clock gives the time to the membership machine.
type Clock interface{ Now() time.Time }

// Events takes what the membership machine finds. The calls come from the goroutine of the Runner and must not block or call the Runner.
type Events interface {
	// SetView publishes a new view.
	SetView(v *member.View)
	// OfferTables tells that a peer has a higher table version in force. It is repeated with each message of the peer.
	OfferTables(from member.Host, version uint64)
}

const (
	// tickInterval is several ticks per AckTimeout.
	tickInterval = 50 * time.Millisecond
	// inboxSize holds the gossip of some seconds at the largest rate that members of a large group send.
	inboxSize = 1024
	// fetchTimeout ends before the machine asks for a page again.
	fetchTimeout = 4 * time.Second
)

// errNotStarted is returned for member pages before Start.
var errNotStarted = errors.New("membership has not started")

// Runner owns the membership machine of the process. Its methods are safe for concurrent use.
type Runner struct {
	clock     Clock
	events    Events
	inbox     chan func(m *membership.Machine)
	transport *Transport
	machine   *membership.Machine // used by the goroutine of run alone
	view      atomic.Pointer[member.View]
	stats     atomic.Pointer[membership.Stats]
	dropped   atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
}

// NewRunner returns a runner, which keeps a bounded number of messages until Start.
func NewRunner(clock Clock, events Events) *Runner {
	r := &Runner{clock: clock, events: events, inbox: make(chan func(m *membership.Machine), inboxSize)}
	r.ctx, r.cancel = context.WithCancel(context.Background())
	return r
}

// Start creates the machine, publishes its first view and runs it. It must be called once.
func (r *Runner) Start(t *Transport, c membership.Config, random *rand.Rand) {
	r.transport = t
	r.machine = membership.New(c, r.clock.Now(), random, output{r})
	r.stats.Store(&membership.Stats{})
	r.work.Go(r.run)
}

func (r *Runner) run() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-r.ctx.Done():
			return
		case f := <-r.inbox:
			f(r.machine)
		case <-ticker.C:
			r.drain()
			r.machine.Tick(r.clock.Now())
			s := r.machine.Stats()
			r.stats.Store(&s)
		}
	}
}

// drain handles the messages that wait, so that answers which arrived during a pause count before deadlines do.
func (r *Runner) drain() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			f(r.machine)
		default:
			return
		}
	}
}

// do hands an input of the process itself to the machine.
func (r *Runner) do(f func(m *membership.Machine)) {
	select {
	case r.inbox <- f:
	case <-r.ctx.Done():
	}
}

// HandleGossip implements GossipHandler. A message is dropped and counted if too many wait.
func (r *Runner) HandleGossip(from netip.AddrPort, message *membership.Message) {
	select {
	case r.inbox <- func(m *membership.Machine) { m.Receive(from, message) }:
	default:
		r.dropped.Add(1)
	}
}

// HandleMembers implements MembersHandler.
func (r *Runner) HandleMembers(_ context.Context, q membership.MembersRequest) (membership.MembersReply, error) {
	v := r.view.Load()
	if v == nil {
		return membership.MembersReply{}, errNotStarted
	}
	return membership.PageOf(v, q), nil
}

// SetHints replaces the addresses at which other balancers may be found.
func (r *Runner) SetHints(seeds, hosts []netip.AddrPort) {
	r.do(func(m *membership.Machine) { m.SetHints(seeds, hosts) })
}

// SetTableVersion sets the table version in force.
func (r *Runner) SetTableVersion(version uint64) {
	r.do(func(m *membership.Machine) { m.SetTableVersion(version) })
}

// Leave marks the process as leaving.
func (r *Runner) Leave() { r.do(func(m *membership.Machine) { m.Leave() }) }

// Depart marks the process as left and returns when some members were told.
func (r *Runner) Depart() {
	done := make(chan struct{})
	r.do(func(m *membership.Machine) {
		m.Depart()
		close(done)
	})
	select {
	case <-done:
	case <-r.ctx.Done():
	}
}

// View returns the current view, or nil before Start.
func (r *Runner) View() *member.View { return r.view.Load() }

// Stats returns the counters of the machine as of its last tick.
func (r *Runner) Stats() membership.Stats {
	if s := r.stats.Load(); s != nil {
		return *s
	}
	return membership.Stats{}
}

// Dropped returns the number of gossip messages that were dropped because too many waited.
func (r *Runner) Dropped() uint64 { return r.dropped.Load() }

// Close stops the machine without telling others and waits for its goroutines.
func (r *Runner) Close() {
	r.cancel()
	r.work.Wait()
}

// output implements membership.Output.
type output struct{ runner *Runner }

func (o output) SendGossip(to netip.AddrPort, m *membership.Message) {
	o.runner.transport.SendGossip(to, m)
}

func (o output) FetchMembers(from netip.AddrPort, q membership.MembersRequest) {
	r := o.runner
	r.work.Go(func() {
		ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
		defer cancel()
		page, err := r.transport.FetchMembers(ctx, from, q)
		if err != nil {
			page = nil // counted by the transport; the machine asks another peer
		}
		r.do(func(m *membership.Machine) { m.ReceiveMembers(from, page) })
	})
}

func (o output) SetView(v *member.View) {
	o.runner.view.Store(v)
	o.runner.events.SetView(v)
}

func (o output) OfferTables(from member.Host, version uint64) {
	o.runner.events.OfferTables(from, version)
}
