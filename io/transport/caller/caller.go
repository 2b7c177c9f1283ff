package caller

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"

	"cornellb/core/state/packet"

	"github.com/pkg/errors"
)

const (
	// defaultReaders goroutines can decode as fast as one socket delivers, whose reads the kernel serializes.
	defaultReaders = 4
	// defaultSocketBytes holds about 50 ms of full datagrams at 20,000 a second. The kernel may grant less.
	defaultSocketBytes = 2 << 20
)

// Handler receives the packets of callers. It is called by several goroutines at once. Both arguments and their slices
// are valid only until it returns.
type Handler interface {
	HandleCaller(e *packet.Envelope, p *packet.Packet)
}

// Settings configure the socket. Zero values of the numbers select defaults.
type Settings struct {
	Listen      netip.AddrPort // address that the fabric sends to
	Fabric      netip.AddrPort // address of the fabric to which envelopes for callers are sent
	Readers     int            // number of reading goroutines
	SocketBytes int            // size of the kernel's receive and send buffers, in bytes
}

// SettingsError reports a setting that cannot be used.
type SettingsError struct {
	Setting string
	Reason  string
}

// Error implements error.
func (e *SettingsError) Error() string {
	return fmt.Sprintf("caller: setting %s: %s", e.Setting, e.Reason)
}

// Counters count datagrams and errors since the start. The fields that begin with Dropped count the datagrams that this
// socket dropped.
type Counters struct {
	Received          uint64
	Sent              uint64
	DroppedEnvelope   uint64 // received, but the envelope cannot be decoded or has no service address
	DroppedPacket     uint64 // received, but the packet cannot be decoded
	DroppedNoAddress  uint64 // not sent: the address of the caller or of the service is missing
	DroppedTooLarge   uint64 // not sent: the packet is larger than packet.MaxDatagramBytes
	DroppedSocketFull uint64 // not sent: the buffer of the socket or of the kernel was full
	DroppedSendError  uint64 // not sent: the socket failed with another error
	ReadErrors        uint64 // reads that failed while the socket was open
}

type counters struct {
	received, sent, badEnvelope, badPacket                  atomic.Uint64
	noAddress, tooLarge, socketFull, sendErrors, readErrors atomic.Uint64
}

// Transport is the open socket. It is safe for concurrent use.
type Transport struct {
	conn     *net.UDPConn
	raw      syscall.RawConn
	handler  Handler
	fabric   syscall.Sockaddr
	senders  sync.Pool // of *sender
	counters counters
	done     chan struct{}
	closing  sync.Once
	readers  sync.WaitGroup
}

// Listen opens the socket and starts reading. The error is a *SettingsError or wraps the error of the socket.
func Listen(s Settings, h Handler) (*Transport, error) {
	s, err := s.withDefaults()
	if err != nil {
		return nil, err
	}
	network := "udp6"
	if s.Listen.Addr().Is4() {
		network = "udp4"
	}
	conn, err := net.ListenUDP(network, net.UDPAddrFromAddrPort(s.Listen))
	if err != nil {
		return nil, errors.Wrap(err, "caller: listen")
	}
	t, err := newTransport(conn, s, h)
	if err != nil {
		return nil, errors.Wrap(err, "caller: set up socket")
	}
	for range s.Readers {
		t.readers.Go(t.receive)
	}
	return t, nil
}

func newTransport(conn *net.UDPConn, s Settings, h Handler) (*Transport, error) {
	t := &Transport{conn: conn, handler: h, fabric: sockaddr(s.Fabric), done: make(chan struct{})}
	t.senders.New = func() any { return newSender(t) }
	err := conn.SetReadBuffer(s.SocketBytes)
	if err == nil {
		err = conn.SetWriteBuffer(s.SocketBytes)
	}
	if err == nil {
		t.raw, err = conn.SyscallConn()
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return t, nil
}

func (s Settings) withDefaults() (Settings, error) {
	if !s.Listen.IsValid() {
		return s, &SettingsError{Setting: "listen", Reason: "address is missing or invalid"}
	}
	if !s.Fabric.IsValid() || s.Fabric.Port() == 0 {
		return s, &SettingsError{Setting: "fabric", Reason: "address or port is missing or invalid"}
	}
	s.Listen = netip.AddrPortFrom(s.Listen.Addr().Unmap(), s.Listen.Port())
	s.Fabric = netip.AddrPortFrom(s.Fabric.Addr().Unmap(), s.Fabric.Port())
	if s.Listen.Addr().Is4() != s.Fabric.Addr().Is4() {
		return s, &SettingsError{Setting: "fabric", Reason: "address family differs from that of setting listen"}
	}
	if s.Readers <= 0 {
		s.Readers = min(defaultReaders, runtime.GOMAXPROCS(0))
	}
	if s.SocketBytes <= 0 {
		s.SocketBytes = defaultSocketBytes
	}
	return s, nil
}

func sockaddr(a netip.AddrPort) syscall.Sockaddr {
	if a.Addr().Is4() {
		return &syscall.SockaddrInet4{Port: int(a.Port()), Addr: a.Addr().As4()}
	}
	return &syscall.SockaddrInet6{Port: int(a.Port()), Addr: a.Addr().As16()}
}

// Address returns the address that the socket listens on.
func (t *Transport) Address() netip.AddrPort { return t.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// Counters returns the current counts.
func (t *Transport) Counters() Counters {
	c := &t.counters
	return Counters{
		Received:          c.received.Load(),
		Sent:              c.sent.Load(),
		DroppedEnvelope:   c.badEnvelope.Load(),
		DroppedPacket:     c.badPacket.Load(),
		DroppedNoAddress:  c.noAddress.Load(),
		DroppedTooLarge:   c.tooLarge.Load(),
		DroppedSocketFull: c.socketFull.Load(),
		DroppedSendError:  c.sendErrors.Load(),
		ReadErrors:        c.readErrors.Load(),
	}
}

// Close closes the socket and waits until no handler call is running. It must not be called by a handler.
func (t *Transport) Close() error {
	var err error
	t.closing.Do(func() {
		close(t.done)
		err = t.conn.Close()
	})
	t.readers.Wait()
	return errors.Wrap(err, "caller: close")
}
