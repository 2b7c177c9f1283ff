package peer

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/membership"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/flow"
	wire "cornellb/io/protocol/wire/peer"
)

// ForwardHandler receives forwarded caller datagrams. It is called by several goroutines at once. The payload is valid
// until it returns.
type ForwardHandler interface {
	HandleForward(from netip.AddrPort, payload []byte)
}

// GossipHandler receives gossip messages, which it may keep. It is called by several goroutines at once and must not
// block.
type GossipHandler interface {
	HandleGossip(from netip.AddrPort, m *membership.Message)
}

// HandoverHandler takes over flows from another owner. It is called by several goroutines at once. The text of its
// error is sent to the peer.
type HandoverHandler interface {
	HandleHandover(ctx context.Context, h *flow.Handover) (*flow.HandoverAck, error)
}

// TablesHandler returns tables to peers that have older ones. It is called by several goroutines at once. The text of
// its error is sent to the peer.
type TablesHandler interface {
	HandleTables(ctx context.Context, r *wire.TablesRequest) (*wire.TablesReply, error)
	HandleTablesChange(ctx context.Context, r *wire.TablesChangeRequest) (*wire.TablesChangeReply, error)
}

// MembersHandler returns pages of the member list. It is called by several goroutines at once. The text of its error is
// sent to the peer.
type MembersHandler interface {
	HandleMembers(ctx context.Context, r membership.MembersRequest) (membership.MembersReply, error)
}

// DirectoryHandler receives the messages that balancers in the direct return mode send to each other: announcements of
// versions and endpoint changes, load reports, and requests for the configuration and endpoints that are newer than
// version and revision. Its methods are called by several goroutines at once, and the first two must not block.
type DirectoryHandler interface {
	HandleAnnouncement(from netip.AddrPort, a *spread.Announcement)
	HandleLoadReport(from netip.AddrPort, r *steering.Report)
	HandleDirectory(ctx context.Context, q wire.DirectoryQuery) (*wire.DirectoryUpdate, error)
}

// Handlers receive messages and requests. Gossip and Members are required. Datagrams for a missing handler are dropped
// and counted; requests for one are answered with an error.
type Handlers struct {
	Forward   ForwardHandler
	Gossip    GossipHandler
	Handover  HandoverHandler
	Tables    TablesHandler
	Members   MembersHandler
	Directory DirectoryHandler
}

// Settings configure the links. Zero values select defaults, except for Listen, which is required.
type Settings struct {
	Listen      netip.AddrPort // UDP and TCP
	Readers     int            // number of goroutines that read datagrams
	SocketBytes int            // size of the kernel's UDP receive and send buffers, in bytes
	MaxSessions int            // limit for dialled sessions, and for accepted sessions
	SessionIdle time.Duration  // for dialled sessions without a stream; accepted ones are kept twice as long
	CallTimeout time.Duration  // limit for dialling, request and reply together, and for serving one stream
}

const (
	defaultReaders     = 4
	defaultSocketBytes = 2 << 20
	defaultMaxSessions = 64
	defaultSessionIdle = 30 * time.Second
	defaultCallTimeout = 10 * time.Second
	// maxServing is the number of streams served at a time. It limits the memory for requests to 8 x MaxRequestBytes.
	maxServing = 8
	// listenAttempts limits the search for a port that is free for both UDP and TCP when the system chooses the port.
	listenAttempts = 16
)

// Transport holds the open socket and listener and the sessions. It is safe for concurrent use.
type Transport struct {
	settings     Settings
	handlers     Handlers
	conn         *net.UDPConn
	raw          syscall.RawConn
	listener     *net.TCPListener
	senders      sync.Pool     // of *sender
	servingSlots chan struct{} // holds one token for each stream that is being served
	counters     counters

	ctx     context.Context
	cancel  context.CancelFunc
	closing sync.Once
	work    sync.WaitGroup

	mu       sync.Mutex // guards the fields below
	dialled  map[netip.AddrPort]*session
	accepted map[*session]struct{}
}

// Listen opens the socket and the listener and starts to serve. The error is a *SettingsError or that of the socket.
func Listen(s Settings, h Handlers) (*Transport, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	if h.Gossip == nil || h.Members == nil {
		return nil, &SettingsError{Setting: "handlers", Reason: "Gossip and Members are required"}
	}
	conn, listener, err := open(s.Listen)
	if err != nil {
		return nil, errors.Wrap(err, "peer: listen")
	}
	t := &Transport{
		settings: s, handlers: h, conn: conn, listener: listener, servingSlots: make(chan struct{}, maxServing),
		dialled: map[netip.AddrPort]*session{}, accepted: map[*session]struct{}{},
	}
	t.senders.New = func() any { return newSender() }
	t.ctx, t.cancel = context.WithCancel(context.Background())
	if err := t.setUpSocket(); err != nil {
		_ = t.Close()
		return nil, errors.Wrap(err, "peer: set up socket")
	}
	for range s.Readers {
		t.work.Go(t.receive)
	}
	t.work.Go(t.accept)
	t.work.Go(t.closeIdle)
	return t, nil
}

func (s Settings) withDefaults() (Settings, error) {
	if !s.Listen.IsValid() {
		return s, &SettingsError{Setting: "listen", Reason: "address is missing or invalid"}
	}
	s.Listen = netip.AddrPortFrom(s.Listen.Addr().Unmap(), s.Listen.Port())
	if s.Readers <= 0 {
		s.Readers = min(defaultReaders, runtime.GOMAXPROCS(0))
	}
	if s.SocketBytes <= 0 {
		s.SocketBytes = defaultSocketBytes
	}
	if s.MaxSessions <= 0 {
		s.MaxSessions = defaultMaxSessions
	}
	if s.SessionIdle <= 0 {
		s.SessionIdle = defaultSessionIdle
	}
	if s.CallTimeout <= 0 {
		s.CallTimeout = defaultCallTimeout
	}
	return s, nil
}

// open binds TCP and UDP to the same port. It tries again if the system chose a port for TCP that is in use for UDP.
func open(a netip.AddrPort) (*net.UDPConn, *net.TCPListener, error) {
	suffix := "6"
	if a.Addr().Is4() {
		suffix = "4"
	}
	for attempt := 1; ; attempt++ {
		listener, err := net.ListenTCP("tcp"+suffix, net.TCPAddrFromAddrPort(a))
		if err != nil {
			return nil, nil, err
		}
		bound := listener.Addr().(*net.TCPAddr).AddrPort()
		conn, err := net.ListenUDP("udp"+suffix, net.UDPAddrFromAddrPort(bound))
		if err == nil {
			return conn, listener, nil
		}
		_ = listener.Close()
		if a.Port() != 0 || attempt == listenAttempts {
			return nil, nil, err
		}
	}
}

// setUpSocket sets the sizes of the socket's buffers and prepares raw sends.
func (t *Transport) setUpSocket() error {
	err := t.conn.SetReadBuffer(t.settings.SocketBytes)
	if err == nil {
		err = t.conn.SetWriteBuffer(t.settings.SocketBytes)
	}
	if err == nil {
		t.raw, err = t.conn.SyscallConn()
	}
	return err
}

// Address returns the address of the socket and the listener.
func (t *Transport) Address() netip.AddrPort {
	a := t.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

// Close closes the socket, the listener and all sessions, and waits until no handler call is running. It must not be
// called by a handler.
func (t *Transport) Close() error {
	var err error
	t.closing.Do(func() {
		t.cancel()
		err = t.conn.Close()
		if e := t.listener.Close(); err == nil {
			err = e
		}
		t.closeSessions()
	})
	t.work.Wait()
	return errors.Wrap(err, "peer: close")
}
