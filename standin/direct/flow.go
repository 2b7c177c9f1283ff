package direct

import (
	"fmt"
	"net/netip"
	"time"
)

// clientFlow is one flow of a client.
type clientFlow struct {
	load     *Load
	address  netip.AddrPort
	port     uint16
	received chan packet
	cookie   uint32
	sequence uint32
	expected uint32 // sequence number of the next byte from the endpoint
}

func (f *clientFlow) run() {
	if !f.open() {
		return
	}
	for i := range f.load.settings.Requests {
		select {
		case <-f.load.stop:
			f.send(flagEnd|flagAck, nil)
			return
		case <-time.After(f.load.settings.Pause):
		}
		if !f.request(fmt.Sprintf("request %d of port %d", i, f.port)) {
			return
		}
	}
	f.send(flagEnd|flagAck, nil)
}

func (f *clientFlow) send(flags byte, data []byte) {
	p := &packet{
		sequence: f.sequence, acknowledgment: f.expected, cookie: f.cookie, flags: flags, data: data,
		source: netip.AddrPortFrom(f.load.settings.Address, f.port), destination: f.address,
	}
	// An error means that the balancer has stopped.
	_, _ = f.load.conn.WriteToUDPAddrPort(p.encode(p.checksum()), f.load.selectBalancer(f.port))
}

// open sends the opening packet, retransmits it twice at most, and reports whether the flow is open.
func (f *clientFlow) open() bool {
	f.sequence = uint32(f.port) << 8
	end := time.After(openTimeout)
	retransmits := []<-chan time.Time{time.After(retransmitInterval), time.After(3 * retransmitInterval)}
	f.send(flagOpen, nil)
	for {
		select {
		case p := <-f.received:
			switch {
			case p.flags&flagReset != 0:
				f.load.result[refused].Add(1)
				time.Sleep(retransmitInterval) // a client waits after a refusal before it opens another flow
				return false
			case p.flags&flagOpen != 0:
				f.sequence++
				f.cookie, f.expected = p.cookie, p.sequence+1
				f.send(flagAck, nil)
				return true
			}
		case <-retransmits[0]:
			f.expected = 1 // in an opening packet: the number of earlier copies
			f.send(flagOpen, nil)
		case <-retransmits[1]:
			f.expected = 2
			f.send(flagOpen, nil)
		case <-end:
			f.load.result[unopened].Add(1)
			return false
		}
	}
}

// request sends a request, retransmits it until the endpoint acknowledges or answers it or the deadline passes, and
// reports whether the flow can be used for another request.
func (f *clientFlow) request(text string) bool {
	r := &f.load.result
	r[requests].Add(1)
	wait := retransmitInterval
	end := time.After(f.load.settings.Deadline)
	retransmit := time.After(wait)
	isRetransmitted := false
	f.send(flagAck, []byte(text))
	for {
		select {
		case p := <-f.received:
			switch {
			case p.flags&flagFromBalancer != 0:
				if _, isLost := f.load.lostEndpoints.Load(f.cookie); isLost {
					r[lostFlows].Add(1)
				} else {
					r[broken].Add(1)
				}
				return false
			case p.flags&flagReset != 0:
				r[ended].Add(1)
				return false
			case len(p.data) > 0 && p.sequence == f.expected:
				f.handleAnswer(p, text, isRetransmitted)
				return true
			case p.flags&flagAck != 0 && p.acknowledgment == f.sequence+uint32(len(text)):
				retransmit = nil // the endpoint has the data
			}
		case <-retransmit:
			wait *= 2
			retransmit, isRetransmitted = time.After(wait), true
			f.send(flagAck, []byte(text))
		case <-end:
			r[timedOut].Add(1)
			f.send(flagReset, nil)
			return false
		}
	}
}

func (f *clientFlow) handleAnswer(p packet, text string, isRetransmitted bool) {
	r := &f.load.result
	f.cookie = p.cookie
	f.sequence += uint32(len(text))
	f.expected += uint32(len(p.data))
	f.send(flagAck, nil)
	r[answered].Add(1)
	if isRetransmitted {
		r[late].Add(1)
	}
	if string(p.data) != f.load.settings.Routes[f.address]+" answers "+text {
		r[misrouted].Add(1)
	}
}
