package host

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/configuration"
	"cornellb/core/coordination/dispatch"
	"cornellb/core/state/flow"
	"cornellb/core/state/member"
	"cornellb/core/state/metric"
	"cornellb/core/state/packet"
	"cornellb/core/state/table"
	"cornellb/io/protocol/platform"
	"cornellb/io/protocol/wire"
	peerwire "cornellb/io/protocol/wire/peer"
)

// peerCallTimeout bounds one call to another balancer.
const peerCallTimeout = 2 * time.Second

// callerSender implements dispatch.CallerSender.
type callerSender struct{ h *Host }

func (c callerSender) SendCaller(service netip.AddrPort, to packet.CallerAddress, p *packet.Packet) {
	c.h.caller.SendCaller(service, to, p)
}

// backendEvents implements backend.Handler.
type backendEvents struct{ h *Host }

func (e backendEvents) BackendUp(a netip.AddrPort, service string, incarnation uint64, busy int, leaving bool) {
	e.h.balancer.BackendUp(a, service, incarnation, busy, leaving)
}

func (e backendEvents) HandleBackend(a netip.AddrPort, m *packet.Backend) {
	e.h.balancer.HandleBackend(a, m)
}

func (e backendEvents) BackendDown(a netip.AddrPort, _ error, unsent []*packet.Backend) {
	e.h.balancer.BackendDown(a, unsent)
}

// forwardSender implements balancer.PeerSender.
type forwardSender struct{ h *Host }

var forwardBuffers = sync.Pool{New: func() any { return new([]byte) }}

func (s forwardSender) SendForward(to member.Host, f *packet.Forward) {
	buffer := forwardBuffers.Get().(*[]byte)
	*buffer = wire.AppendForward((*buffer)[:0], f)
	if !s.h.peer.SendForward(to.Address, *buffer) {
		s.h.metrics.Count(metric.Dropped, "forward_socket", 1)
	}
	forwardBuffers.Put(buffer)
}

// forwardHandler implements peer.ForwardHandler. Decoders are pooled, since it is called by several goroutines.
type forwardHandler struct {
	h        *Host
	decoders sync.Pool
}

func newForwardHandler(h *Host) *forwardHandler {
	return &forwardHandler{h: h, decoders: sync.Pool{New: func() any { return wire.NewDecoder() }}}
}

func (f *forwardHandler) HandleForward(_ netip.AddrPort, payload []byte) {
	d := f.decoders.Get().(*wire.Decoder)
	defer f.decoders.Put(d)
	var forward packet.Forward
	var p packet.Packet
	if err := d.DecodeForward(payload, &forward); err != nil {
		f.h.metrics.Count(metric.Dropped, "bad_forward", 1)
		return
	}
	if err := d.DecodePacket(forward.Packet, &p); err != nil {
		f.h.metrics.Count(metric.Dropped, "bad_packet", 1)
		return
	}
	f.h.balancer.HandleForward(&forward, &p)
}

// handoverSender implements dispatch.HandoverSender. SendHandover must not block, since it is called with the shard
// locked.
type handoverSender struct{ h *Host }

func (s handoverSender) SendHandover(to member.Host, m *flow.Handover) {
	s.h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(s.h.ctx, peerCallTimeout)
		defer cancel()
		ack, err := s.h.peer.SendHandover(ctx, to.Address, m)
		switch {
		case err != nil:
		case ack.By != m.To:
			err = errors.Errorf("handover answered by incarnation %x, want %x", uint64(ack.By), uint64(m.To))
		case len(ack.Flows) == 0:
			err = &dispatch.HandoverRefusedError{Shard: m.Shard}
		}
		s.h.balancer.HandoverDone(m, err)
	})
}

// handoverHandler implements peer.HandoverHandler.
type handoverHandler struct{ h *Host }

func (x handoverHandler) HandleHandover(_ context.Context, m *flow.Handover) (*flow.HandoverAck, error) {
	ack := &flow.HandoverAck{By: x.h.self.Incarnation}
	err := x.h.balancer.HandleHandover(m)
	var refused *dispatch.HandoverRefusedError
	if errors.As(err, &refused) {
		return ack, nil // an ack without flows means refused: this process holds none of them
	}
	if err != nil {
		return nil, err
	}
	for i := range m.Flows {
		ack.Flows = append(ack.Flows, m.Flows[i].Ticket.Flow)
	}
	return ack, nil
}

// membershipEvents implements peer.Events.
type membershipEvents struct{ h *Host }

func (e membershipEvents) SetView(v *member.View) {
	e.h.tables.SetView(v)
	e.h.handleView(v)
}

func (e membershipEvents) ReportNewerTables(from member.Host, version uint64) {
	e.h.tables.HandlePeerVersion(from.Incarnation, version)
}

// tableActions implements configuration.Actions.
type tableActions struct{ h *Host }

func (a tableActions) PutInForce(x *table.Index) { a.h.balancer.SetTables(x) }

func (a tableActions) FetchTables(from member.Host, have []table.Digest) {
	a.h.goroutines.Go(func() {
		if err := a.h.fetchTables(from, have); err != nil {
			a.h.metrics.Count(metric.Dropped, "tables_fetch", 1)
			if !table.IsCorrupt(err) { // else the core has ended the fetch
				a.h.tables.FetchFailed(from.Incarnation)
			}
		}
	})
}

// fetchTables fetches the tables of a peer and offers them to the configuration core, or reports that they are corrupt.
func (h *Host) fetchTables(from member.Host, have []table.Digest) error {
	ctx, cancel := context.WithTimeout(h.ctx, peerCallTimeout)
	defer cancel()
	source := configuration.Source{Peer: from.Incarnation}
	if head, segments, ok := h.fetchTablesChange(ctx, from); ok {
		return h.tables.Offer(source, head, segments)
	}
	head, segments, err := h.fetchFullTables(ctx, from, have)
	if table.IsCorrupt(err) {
		h.tables.OfferFailed(source)
	}
	if err != nil {
		return err
	}
	return h.tables.Offer(source, head, segments)
}

// fetchTablesChange fetches the difference from the tables in force here to those of a peer. It reports false if no
// tables are in force, or if the peer does not know them, runs an older release without this request, or sends a
// difference that cannot be applied.
func (h *Host) fetchTablesChange(ctx context.Context, from member.Host) (*table.Head, []*table.Segment, bool) {
	base := h.tables.Snapshot()
	if base == nil {
		return nil, nil, false
	}
	request := &peerwire.TablesChangeRequest{Base: string(base.Digest)}
	reply, err := h.peer.FetchTablesChange(ctx, from.Address, request)
	if err != nil || !reply.GetIsKnown() {
		return nil, nil, false
	}
	head, segments, err := reply.Apply(base)
	if err != nil {
		h.metrics.Count(metric.Dropped, "tables_change", 1)
		return nil, nil, false
	}
	return head, segments, true
}

func (h *Host) fetchFullTables(
	ctx context.Context, from member.Host, have []table.Digest,
) (*table.Head, []*table.Segment, error) {
	request := &peerwire.TablesRequest{HaveVersion: h.tables.Version(), AcceptsFlate: true}
	for _, d := range have {
		request.Have = append(request.Have, string(d))
	}
	reply, err := h.peer.FetchTables(ctx, from.Address, request)
	if err != nil {
		return nil, nil, err
	}
	if len(reply.GetHead()) == 0 {
		return nil, nil, errors.New("peer has no tables")
	}
	head, err := table.DecodeHead(reply.GetHead())
	if err != nil {
		return nil, nil, err
	}
	var segments []*table.Segment
	for digest, data := range reply.GetSegments() {
		segment, err := table.ParseSegment(table.Digest(digest), data)
		if err != nil {
			return nil, nil, err
		}
		segments = append(segments, segment)
	}
	return head, segments, nil
}

// tablesHandler implements peer.TablesHandler.
type tablesHandler struct{ h *Host }

func (t tablesHandler) HandleTables(_ context.Context, r *peerwire.TablesRequest) (*peerwire.TablesReply, error) {
	have := make([]table.Digest, len(r.GetHave()))
	for i, d := range r.GetHave() {
		have[i] = table.Digest(d)
	}
	head, segments := t.h.tables.ExportTables(have)
	if head == nil {
		return &peerwire.TablesReply{}, nil
	}
	encoded, err := head.Encode()
	if err != nil {
		return nil, err
	}
	reply := &peerwire.TablesReply{Head: encoded, Segments: make(map[string][]byte, len(segments))}
	for _, s := range segments {
		reply.Segments[string(s.Digest)] = s.Data
	}
	return reply, nil
}

// HandleTablesChange implements peer.TablesHandler. Most peers request the same difference, so the last reply is
// cached.
func (t tablesHandler) HandleTablesChange(
	_ context.Context, r *peerwire.TablesChangeRequest,
) (*peerwire.TablesChangeReply, error) {
	change := t.h.tables.DifferenceSince(table.Digest(r.GetBase()))
	if change == nil {
		return peerwire.NewTablesChangeReply(nil)
	}
	last := &t.h.changeReply
	last.Lock()
	defer last.Unlock()
	if last.reply == nil || last.from != change.From.Digest || last.to != change.To.Digest {
		reply, err := peerwire.NewTablesChangeReply(change)
		if err != nil {
			return nil, err
		}
		last.from, last.to, last.reply = change.From.Digest, change.To.Digest, reply
	}
	return last.reply, nil
}

// cachedChangeReply is the last encoded difference between two table versions that was sent to a peer.
type cachedChangeReply struct {
	sync.Mutex
	from, to table.Digest // of the encoded heads
	reply    *peerwire.TablesChangeReply
}

// pollHostList reads the platform's host list at intervals: the balancers in it are hints for the membership, and
// backend servers that are leaving get no new work. The list may be outdated, so it never takes precedence over the
// member states known from gossip.
func (h *Host) pollHostList() {
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(hostListInterval):
		}
		if !h.tables.IsReader() && !h.ownsShards() {
			continue
		}
		ctx, cancel := context.WithTimeout(h.ctx, platformTimeout)
		list, err := h.client.Hosts(ctx)
		cancel()
		if err == nil {
			h.applyHostList(list)
		}
	}
}

func (h *Host) ownsShards() bool { return len(h.balancer.Loads()) > 0 }

func (h *Host) applyHostList(list platform.HostList) {
	var balancers, leaving []netip.AddrPort
	for _, x := range list.Hosts {
		a, err := netip.ParseAddrPort(x.Address)
		switch {
		case err != nil:
		case x.Role == platform.RoleBalancer && x.Live:
			balancers = append(balancers, a)
		case x.Role == platform.RoleBackend && x.Leaving:
			leaving = append(leaving, a)
		}
	}
	h.runner.SetHints(parseAddresses(h.settings.Peers), balancers)
	h.balancer.SetLeavingEndpoints(leaving)
}
