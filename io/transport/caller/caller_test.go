package caller

import (
	"bytes"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"

	"github.com/matryer/is"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

var (
	loopback = netip.MustParseAddrPort("127.0.0.1:0")
	service  = netip.MustParseAddrPort("192.0.2.1:7000")
)

type receivedPacket struct {
	envelope packet.Envelope
	packet   packet.Packet
}

// recorder is a handler that sends copies of its arguments to a channel.
type recorder chan receivedPacket

func (r recorder) HandleCaller(e *packet.Envelope, p *packet.Packet) {
	c := receivedPacket{*e, *p}
	c.envelope.Packet = bytes.Clone(e.Packet)
	c.packet.Payload = bytes.Clone(p.Payload)
	r <- c
}

type counter struct{ n atomic.Int64 }

func (c *counter) HandleCaller(*packet.Envelope, *packet.Packet) { c.n.Add(1) }

func listen(t testing.TB, h Handler) (*Transport, *net.UDPConn) {
	is := is.New(t)
	fabric, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(loopback))
	is.NoErr(err)
	tr, err := Listen(Settings{Listen: loopback, Fabric: fabric.LocalAddr().(*net.UDPAddr).AddrPort()}, h)
	is.NoErr(err)
	t.Cleanup(func() {
		is.NoErr(tr.Close())
		is.NoErr(fabric.Close())
	})
	return tr, fabric
}

func envelope(p *packet.Packet) []byte {
	return wire.AppendEnvelope(nil, &packet.Envelope{Caller: netip.MustParseAddrPort("10.1.2.3:4000"),
		Service: service, Packet: wire.AppendPacket(nil, p)})
}

// TestReceive guards against an undecodable datagram that stops the readers, reaches the handler or is not counted.
func TestReceive(t *testing.T) {
	is := is.New(t)
	r := make(recorder, 1)
	tr, fabric := listen(t, r)
	want := packet.Packet{Kind: packet.KindRequest, Request: 7, Payload: []byte("payload")}
	noService := wire.AppendEnvelope(nil, &packet.Envelope{Caller: loopback, Packet: wire.AppendPacket(nil, &want)})
	faulty := [][]byte{{}, {0xff}, make([]byte, 2000), noService, envelope(&packet.Packet{}), envelope(&want)[:20]}
	for _, b := range append(faulty, envelope(&want)) {
		_, err := fabric.WriteToUDPAddrPort(b, tr.Address())
		is.NoErr(err)
	}
	got := <-r
	is.Equal(got.packet, want)
	is.Equal(got.envelope.Caller.String(), "10.1.2.3:4000")
	is.Equal(got.envelope.Service, service)
	for tr.Counters().Received < uint64(len(faulty)+1) { // another reader may still be processing an earlier datagram
		time.Sleep(time.Millisecond)
	}
	is.NoErr(tr.Close())
	c := tr.Counters()
	is.Equal(c.DroppedEnvelope, uint64(5))
	is.Equal(c.DroppedPacket, uint64(1))
}

// TestSend guards against packets that do not reach the fabric, and against failed sends that are not counted.
func TestSend(t *testing.T) {
	is := is.New(t)
	tr, fabric := listen(t, &counter{})
	want := packet.Packet{Kind: packet.KindAnswer, Payload: []byte("answer")}
	to := netip.MustParseAddrPort("10.1.2.3:4000")
	tr.SendCaller(service, to, &packet.Packet{Kind: packet.KindAnswer, Payload: make([]byte, 1300)})
	tr.SendCaller(netip.AddrPort{}, to, &want)
	tr.SendCaller(service, to, &want)
	b := make([]byte, 2000)
	n, err := fabric.Read(b)
	is.NoErr(err)
	var e packet.Envelope
	var p packet.Packet
	d := wire.NewDecoder()
	is.NoErr(d.DecodeEnvelope(b[:n], &e))
	is.NoErr(d.DecodePacket(e.Packet, &p))
	is.Equal(e.Caller, to)
	is.Equal(e.Service, service)
	is.Equal(p, want)
	is.NoErr(tr.Close())
	tr.SendCaller(service, to, &want)
	c := tr.Counters()
	is.Equal(c.Sent, uint64(1))
	is.Equal(c.DroppedNoAddress, uint64(1))
	is.Equal(c.DroppedTooLarge, uint64(1))
	is.Equal(c.DroppedSendError, uint64(1))
}

// TestPathsDoNotAllocate guards against an allocation per packet between the socket and the handler, in either
// direction.
func TestPathsDoNotAllocate(t *testing.T) {
	is := is.New(t)
	tr, _ := listen(t, &counter{})
	p := packet.Packet{Kind: packet.KindRequest, Customer: "customer", Payload: make([]byte, 200)}
	in := envelope(&p)
	r := &receiver{decoder: wire.NewDecoder()}
	is.Equal(testing.AllocsPerRun(1000, func() { tr.handle(r, in) }), 0.0)
	s := newSender(tr) // not from the pool, since the race detector makes sync.Pool drop entries at random
	is.Equal(testing.AllocsPerRun(1000, func() { s.send(service, loopback, &p) }), 0.0)
}

func BenchmarkReceive(b *testing.B) {
	h := &counter{}
	tr, _ := listen(b, h)
	in := envelope(&packet.Packet{Kind: packet.KindRequest, Customer: "customer", Payload: make([]byte, 200)})
	r := &receiver{decoder: wire.NewDecoder()}
	b.ReportAllocs()
	for b.Loop() {
		tr.handle(r, in)
	}
}

func BenchmarkSend(b *testing.B) {
	tr, _ := listen(b, &counter{})
	p := packet.Packet{Kind: packet.KindAnswer, Payload: make([]byte, 200)}
	b.ReportAllocs()
	for b.Loop() {
		tr.SendCaller(service, loopback, &p)
	}
}
