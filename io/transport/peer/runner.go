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

// Clock provides the time for the membership state machine.
type Clock interface{ Now() time.Time }

// Events receives the results of the membership state machine. Its methods are called by the goroutine of the Runner,
// except for the first SetView, which Start calls. They must not block or call the Runner.
type Events interface {
	// SetView publishes a new view.
	SetView(v *member.View)
	// ReportNewerTables reports that a peer has a higher table version in force. It is called for each message of that
	// peer.
	ReportNewerTables(from member.Host, version uint64)
}

const (
	// tickInterval is short enough for several ticks per membership.AckTimeout.
	tickInterval = 50 * time.Millisecond
	// inboxSize is the number of calls that wait for the machine. It is enough for the gossip of some seconds at the
	// highest rate that the members of a large group send.
	inboxSize = 1024
	// fetchTimeout is the limit for fetching a member page, shorter than the time after which the machine asks again.
	fetchTimeout = 4 * time.Second
)

// errNotStarted is returned for member pages before Start.
var errNotStarted = errors.New("membership has not started")

// Runner owns the membership state machine of the process and calls it from one goroutine. Its methods are safe for
// concurrent use.
type Runner struct {
	clock     Clock
	events    Events
	inbox     chan func(m *membership.Machine)
	transport *Transport
	machine   *membership.Machine // used only by the goroutine of run
	view      atomic.Pointer[member.View]
	stats     atomic.Pointer[membership.Stats]
	dropped   atomic.Uint64
	ctx       context.Context
	cancel    context.CancelFunc
	work      sync.WaitGroup
}

// NewRunner returns a Runner that is not started. Until Start it queues up to inboxSize calls and gossip messages.
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
			r.handle(f)
		case <-ticker.C:
			r.handleQueued()
			r.machine.Tick(r.clock.Now())
			s := r.machine.Stats()
			r.stats.Store(&s)
		}
	}
}

// handleQueued handles the queued messages before a tick, so that acks that arrived while the process was paused are
// handled before their deadlines are checked.
func (r *Runner) handleQueued() {
	for range inboxSize {
		select {
		case f := <-r.inbox:
			r.handle(f)
		default:
			return
		}
	}
}

func (r *Runner) handle(f func(m *membership.Machine)) {
	r.machine.CheckPause(r.clock.Now())
	f(r.machine)
}

// submit queues a call of the machine. While the inbox is full, it waits until Close.
func (r *Runner) submit(f func(m *membership.Machine)) {
	select {
	case r.inbox <- f:
	case <-r.ctx.Done():
	}
}

// HandleGossip implements GossipHandler. A message is dropped and counted if the inbox is full.
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
	r.submit(func(m *membership.Machine) { m.SetHints(seeds, hosts) })
}

// SetTableVersion sets the version of the tables that this process uses.
func (r *Runner) SetTableVersion(version uint64) {
	r.submit(func(m *membership.Machine) { m.SetTableVersion(version) })
}

// SetWeight changes the weight of this process for duties.
func (r *Runner) SetWeight(weight uint8) {
	r.submit(func(m *membership.Machine) { m.SetWeight(weight) })
}

// Leave marks the process as leaving.
func (r *Runner) Leave() { r.submit(func(m *membership.Machine) { m.Leave() }) }

// Depart marks the process as left and returns once messages to some members have been sent, or after Close.
func (r *Runner) Depart() {
	done := make(chan struct{})
	r.submit(func(m *membership.Machine) {
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

// Dropped returns the number of gossip messages that were dropped because the inbox was full.
func (r *Runner) Dropped() uint64 { return r.dropped.Load() }

// Close stops the machine without notifying the other members, and waits for the goroutines of the Runner.
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
		r.submit(func(m *membership.Machine) { m.ReceiveMembers(from, page) })
	})
}

func (o output) SetView(v *member.View) {
	o.runner.view.Store(v)
	o.runner.events.SetView(v)
}

func (o output) ReportNewerTables(from member.Host, version uint64) {
	o.runner.events.ReportNewerTables(from, version)
}
