package caller

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"cornellb/core/state/packet"
	"cornellb/io/protocol/wire"
)

// serve answers the packets that arrive at the socket until it is closed. A packet without a reply is ignored.
func serve(socket net.PacketConn, reply func(p *packet.Packet) *packet.Packet) {
	decoder := wire.NewDecoder()
	buffer := make([]byte, packet.MaxDatagramBytes)
	for {
		n, from, err := socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		var p packet.Packet
		if decoder.DecodePacket(buffer[:n], &p) != nil {
			continue
		}
		if r := reply(&p); r != nil {
			_, _ = socket.WriteTo(wire.AppendPacket(nil, r), from)
		}
	}
}

// TestUnsentRequests guards against requests that are recorded as answered although they were never sent, because their
// flow could not be opened, or not be opened again after its ticket was rejected.
func TestUnsentRequests(t *testing.T) {
	cases := map[string]struct {
		opened int // opens that succeed, before all others are refused
		notRun map[string]int
	}{
		"flow not opened":       {opened: 0, notRun: map[string]int{packet.ReasonLimit.String(): 4}},
		"flow not opened again": {opened: 1, notRun: map[string]int{packet.ReasonBadTicket.String(): 1, packet.ReasonLimit.String(): 3}},
		"all tickets rejected":  {opened: 5, notRun: map[string]int{packet.ReasonBadTicket.String(): 4}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			socket, err := net.ListenPacket("udp", "127.0.0.1:0")
			is.NoErr(err)
			defer socket.Close()
			tickets := make(map[packet.FlowID][]byte)
			go serve(socket, func(p *packet.Packet) *packet.Packet {
				switch {
				case p.Kind == packet.KindRequest:
					return &packet.Packet{
						Kind: packet.KindNotRun, Flow: p.Flow, Request: p.Request, Reason: packet.ReasonBadTicket,
					}
				case p.Kind != packet.KindOpen:
					return nil
				case tickets[p.Flow] == nil && len(tickets) == c.opened:
					return &packet.Packet{Kind: packet.KindNotRun, Flow: p.Flow, Reason: packet.ReasonLimit}
				}
				tickets[p.Flow] = []byte("ticket")
				return &packet.Packet{Kind: packet.KindOpened, Flow: p.Flow, Ticket: tickets[p.Flow]}
			})
			r, err := Run(context.Background(), Config{
				Targets:  []Target{{Service: "reminders", Address: socket.LocalAddr().String(), Rate: 0.001}},
				Duration: 50 * time.Millisecond, RequestsPerFlow: 4, Sockets: 1,
			})
			is.NoErr(err)
			is.Equal(r.Answered, 0)
			is.Equal(r.NotRun, c.notRun)
			is.Equal(len(r.Requests), 4)
			is.Equal(len(r.LatencyByClass), 0)
		})
	}
}
