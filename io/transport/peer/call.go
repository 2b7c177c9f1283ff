package peer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/membership"
	"cornellb/core/state/flow"
	wire "cornellb/io/protocol/wire/peer"
)

const (
	// MaxRequestBytes is the largest request, in bytes. A handover whose recorded answers exceed it must be split, or
	// some answers dropped.
	MaxRequestBytes = 4 << 20
	// MaxReplyBytes is the largest reply, in bytes. Tables of 130,000 endpoints take up half of it.
	MaxReplyBytes = 16 << 20
)

var (
	errReplyType = errors.New("reply type does not match the request")
	errNotServed = errors.New("this balancer does not serve the request in its mode")
)

// SendHandover sends flows to another owner and returns its acknowledgement. The error is a *CallError.
func (t *Transport) SendHandover(ctx context.Context, to netip.AddrPort, h *flow.Handover) (*flow.HandoverAck, error) {
	x := &wire.Request{Body: &wire.Request_Handover{Handover: wire.NewHandover(h)}}
	reply, err := t.call(ctx, to, KindHandover, x)
	if err != nil {
		return nil, err
	}
	ack, ok := reply.GetBody().(*wire.Reply_Handover)
	if !ok {
		return nil, t.callFailed(KindHandover, to, StageDecode, errReplyType)
	}
	a, err := ack.Handover.Core()
	if err != nil {
		return nil, t.callFailed(KindHandover, to, StageDecode, err)
	}
	return a, nil
}

// FetchTables asks a peer for its tables. The error is a *CallError.
func (t *Transport) FetchTables(ctx context.Context, to netip.AddrPort, r *wire.TablesRequest) (*wire.TablesReply, error) {
	reply, err := t.call(ctx, to, KindTables, &wire.Request{Body: &wire.Request_Tables{Tables: r}})
	if err != nil {
		return nil, err
	}
	tables, ok := reply.GetBody().(*wire.Reply_Tables)
	if !ok {
		return nil, t.callFailed(KindTables, to, StageDecode, errReplyType)
	}
	x, err := tables.Tables.Decompress()
	if err == nil {
		err = x.Check()
	}
	if err != nil {
		return nil, t.callFailed(KindTables, to, StageDecode, err)
	}
	return x, nil
}

// FetchTablesChange asks a peer for the difference between its tables and a base version. The error is a *CallError.
func (t *Transport) FetchTablesChange(
	ctx context.Context, to netip.AddrPort, r *wire.TablesChangeRequest,
) (*wire.TablesChangeReply, error) {
	reply, err := t.call(ctx, to, KindTables, &wire.Request{Body: &wire.Request_TablesChange{TablesChange: r}})
	if err != nil {
		return nil, err
	}
	change, ok := reply.GetBody().(*wire.Reply_TablesChange)
	if !ok {
		return nil, t.callFailed(KindTables, to, StageDecode, errReplyType)
	}
	if err := change.TablesChange.Check(); err != nil {
		return nil, t.callFailed(KindTables, to, StageDecode, err)
	}
	return change.TablesChange, nil
}

// FetchMembers asks a peer for a page of its member list. The error is a *CallError.
func (t *Transport) FetchMembers(
	ctx context.Context, to netip.AddrPort, r membership.MembersRequest,
) (*membership.MembersReply, error) {
	x := &wire.Request{Body: &wire.Request_Members{Members: wire.NewMembersRequest(r)}}
	reply, err := t.call(ctx, to, KindMembers, x)
	if err != nil {
		return nil, err
	}
	members, ok := reply.GetBody().(*wire.Reply_Members)
	if !ok {
		return nil, t.callFailed(KindMembers, to, StageDecode, errReplyType)
	}
	page, err := members.Members.Core()
	if err != nil {
		return nil, t.callFailed(KindMembers, to, StageDecode, err)
	}
	return &page, nil
}

// FetchDirectory asks a peer for a configuration and endpoints that are newer than those of the query. The error
// is a *CallError.
func (t *Transport) FetchDirectory(ctx context.Context, to netip.AddrPort, q wire.DirectoryQuery) (
	*wire.DirectoryUpdate, error,
) {
	x := &wire.Request{Body: &wire.Request_Directory{Directory: wire.NewDirectoryRequest(q)}}
	reply, err := t.call(ctx, to, KindDirectory, x)
	if err != nil {
		return nil, err
	}
	directory, ok := reply.GetBody().(*wire.Reply_Directory)
	if !ok {
		return nil, t.callFailed(KindDirectory, to, StageDecode, errReplyType)
	}
	d, err := directory.Directory.Core(time.Now())
	if err != nil {
		return nil, t.callFailed(KindDirectory, to, StageDecode, err)
	}
	return d, nil
}

// callFailed counts a failed call and returns its error.
func (t *Transport) callFailed(k TrafficKind, to netip.AddrPort, s Stage, err error) error {
	t.counters.callsFailed.Add(1)
	return &CallError{Kind: k, To: to, Stage: s, Err: err}
}

// call sends one request to a peer on a stream of its own and reads the reply.
func (t *Transport) call(ctx context.Context, to netip.AddrPort, k TrafficKind, x *wire.Request) (*wire.Reply, error) {
	if size := proto.Size(x); size > MaxRequestBytes {
		return nil, t.callFailed(k, to, StageEncode, &TooLargeError{Bytes: size, Limit: MaxRequestBytes})
	}
	ctx, cancel := context.WithTimeout(ctx, t.settings.CallTimeout)
	defer cancel()
	defer context.AfterFunc(t.ctx, cancel)()
	s, stage, err := t.acquire(ctx, to)
	if err != nil {
		return nil, t.callFailed(k, to, stage, err)
	}
	defer t.release(s)
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, t.callFailed(k, to, StageOpen, err)
	}
	defer func() { _ = stream.Close() }()
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	defer context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })()
	reply, stage, err := t.exchange(stream, k, x)
	if err != nil {
		return nil, t.callFailed(k, to, stage, err)
	}
	return reply, nil
}

// exchange writes a request to a stream and reads the reply. On an error it returns the stage that failed.
func (t *Transport) exchange(stream net.Conn, k TrafficKind, x *wire.Request) (*wire.Reply, Stage, error) {
	sent, err := protodelim.MarshalTo(stream, x)
	if err != nil {
		return nil, StageRequest, err
	}
	t.counters.sent[k].Add(uint64(sent))
	reply := &wire.Reply{}
	if err := readMessage(stream, reply, MaxReplyBytes); err != nil {
		return nil, StageReply, err
	}
	t.counters.received[k].Add(delimitedSize(reply))
	if reply.GetBody() == nil {
		return nil, StageRemote, &RemoteError{Text: reply.GetError()}
	}
	return reply, "", nil
}

// readMessage reads one length-prefixed message of at most limit bytes.
func readMessage(r net.Conn, m proto.Message, limit int64) error {
	return protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(bufio.NewReader(r), m)
}

// delimitedSize returns the size of a message with its length prefix.
func delimitedSize(m proto.Message) uint64 {
	n := proto.Size(m)
	return uint64(protowire.SizeVarint(uint64(n)) + n)
}

// serveStream reads one request, calls its handler and writes the reply.
func (t *Transport) serveStream(stream net.Conn) {
	defer func() { _ = stream.Close() }()
	ctx, cancel := context.WithTimeout(t.ctx, t.settings.CallTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	_ = stream.SetDeadline(deadline)
	request := &wire.Request{}
	if err := readMessage(stream, request, MaxRequestBytes); err != nil {
		t.counters.streamsFaulty.Add(1)
		return
	}
	reply, k, err := t.dispatch(ctx, request)
	if err != nil {
		reply = &wire.Reply{Error: errorText(err)}
	}
	if k == KindCount {
		t.counters.streamsFaulty.Add(1)
		return
	}
	t.counters.received[k].Add(delimitedSize(request))
	sent, err := protodelim.MarshalTo(stream, reply)
	if err == nil {
		t.counters.sent[k].Add(uint64(sent))
		t.counters.streamsServed.Add(1)
	}
}

// dispatch calls the handler of a request. The kind is KindCount for a request whose body is missing or unknown.
func (t *Transport) dispatch(ctx context.Context, x *wire.Request) (*wire.Reply, TrafficKind, error) {
	h := &t.handlers
	switch b := x.GetBody().(type) {
	case *wire.Request_Handover:
		if h.Handover == nil {
			return nil, KindHandover, errNotServed
		}
		reply, err := t.handover(ctx, b.Handover)
		return reply, KindHandover, err
	case *wire.Request_Tables:
		if h.Tables == nil {
			return nil, KindTables, errNotServed
		}
		reply, err := t.tables(ctx, b.Tables)
		return reply, KindTables, err
	case *wire.Request_TablesChange:
		if h.Tables == nil {
			return nil, KindTables, errNotServed
		}
		reply, err := t.tablesChange(ctx, b.TablesChange)
		return reply, KindTables, err
	case *wire.Request_Members:
		reply, err := t.members(ctx, b.Members)
		return reply, KindMembers, err
	case *wire.Request_Directory:
		if h.Directory == nil {
			return nil, KindDirectory, errNotServed
		}
		reply, err := t.directory(ctx, b.Directory)
		return reply, KindDirectory, err
	}
	return nil, KindCount, nil
}

func (t *Transport) handover(ctx context.Context, x *wire.Handover) (*wire.Reply, error) {
	h, err := x.Core()
	if err != nil {
		return nil, err
	}
	ack, err := t.handlers.Handover.HandleHandover(ctx, h)
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Body: &wire.Reply_Handover{Handover: wire.NewHandoverAck(ack)}}, nil
}

func (t *Transport) tables(ctx context.Context, x *wire.TablesRequest) (*wire.Reply, error) {
	if err := x.Check(); err != nil {
		return nil, err
	}
	r, err := t.handlers.Tables.HandleTables(ctx, x)
	if err != nil {
		return nil, err
	}
	if x.GetAcceptsFlate() {
		if r, err = r.Compress(); err != nil {
			return nil, err
		}
	}
	reply := &wire.Reply{Body: &wire.Reply_Tables{Tables: r}}
	if size := proto.Size(reply); size > MaxReplyBytes {
		return nil, &TooLargeError{Bytes: size, Limit: MaxReplyBytes}
	}
	return reply, nil
}

func (t *Transport) tablesChange(ctx context.Context, x *wire.TablesChangeRequest) (*wire.Reply, error) {
	if err := x.Check(); err != nil {
		return nil, err
	}
	r, err := t.handlers.Tables.HandleTablesChange(ctx, x)
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Body: &wire.Reply_TablesChange{TablesChange: r}}, nil
}

func (t *Transport) members(ctx context.Context, x *wire.MembersRequest) (*wire.Reply, error) {
	r, err := x.Core()
	if err != nil {
		return nil, err
	}
	page, err := t.handlers.Members.HandleMembers(ctx, r)
	if err != nil {
		return nil, err
	}
	return &wire.Reply{Body: &wire.Reply_Members{Members: wire.NewMembersReply(page)}}, nil
}

func (t *Transport) directory(ctx context.Context, x *wire.DirectoryRequest) (*wire.Reply, error) {
	d, err := t.handlers.Directory.HandleDirectory(ctx, x.Core())
	if err != nil {
		return nil, err
	}
	reply := &wire.Reply{Body: &wire.Reply_Directory{Directory: wire.NewDirectoryReply(d, time.Now())}}
	if size := proto.Size(reply); size > MaxReplyBytes {
		return nil, &TooLargeError{Bytes: size, Limit: MaxReplyBytes}
	}
	return reply, nil
}

// errorText returns the text of an error, shortened to the limit of a reply and to valid UTF-8.
func errorText(err error) string {
	text := err.Error()
	if len(text) > wire.MaxErrorBytes {
		text = text[:wire.MaxErrorBytes]
	}
	return strings.ToValidUTF8(text, "")
}
