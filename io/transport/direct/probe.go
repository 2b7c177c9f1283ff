package direct

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornellb/core/coordination/steering"
)

const (
	// probeTimeout is the time in which a host must answer one of the attempts of a probe. It is many times the longest
	// round trip between failure domains, which takes some 10 ms.
	probeTimeout = 200 * time.Millisecond
	// probeAttempts is the number of connection attempts of a probe, probeSpacing the time between two of them. The
	// system itself repeats a lost packet of an attempt only after a second.
	probeAttempts = 3
	probeSpacing  = 60 * time.Millisecond
	// probeOverrun is how much later than probeTimeout a probe may end. If it ends later still, this process was paused and
	// answers may have arrived meanwhile.
	probeOverrun = 100 * time.Millisecond
)

// Dialer opens connections. *net.Dialer implements it.
type Dialer interface {
	DialContext(ctx context.Context, network, address string) (net.Conn, error)
}

// startProbes carries out the probes that the forwarder has requested, in the background.
func (p *Process) startProbes() {
	for _, x := range p.forwarder.Probes() {
		p.work.Go(func() {
			began := p.adapters.Clock.Now()
			r := probe(p.ctx, p.adapters.Dialer, p.adapters.Clock, x.Address)
			now := p.adapters.Clock.Now()
			if r == steering.ProbeUnanswered && now.Sub(began) > probeTimeout+probeOverrun {
				r = steering.ProbeFailed
			}
			p.forwarder.RecordProbe(now, x, r)
		})
	}
}

// probe tries to connect to an endpoint and closes the connection at once. Data is never sent. The first attempt whose
// outcome tells something decides.
func probe(process context.Context, d Dialer, c Clock, address netip.AddrPort) steering.ProbeResult {
	ctx, cancel := context.WithTimeout(process, probeTimeout)
	defer cancel()
	results := make(chan steering.ProbeResult, probeAttempts)
	for i := range probeAttempts {
		go func() {
			select {
			case <-ctx.Done():
				results <- steering.ProbeUnanswered
			case <-c.After(time.Duration(i) * probeSpacing):
				results <- attempt(ctx, d, address)
			}
		}()
	}
	result := steering.ProbeUnanswered
	for range probeAttempts {
		switch r := <-results; r {
		case steering.ProbeAnswered:
			return r
		case steering.ProbeFailed:
			result = r
		}
	}
	if process.Err() != nil {
		return steering.ProbeFailed // the attempts were given up early
	}
	return result
}

// attempt makes one connection attempt. A refusal is an answer of the host, which then also resets the flows of an
// endpoint that has ended. Only silence and an unreachable network mean that there was none.
func attempt(ctx context.Context, d Dialer, address netip.AddrPort) steering.ProbeResult {
	conn, err := d.DialContext(ctx, "tcp4", address.String())
	var timeout net.Error
	switch {
	case err == nil:
		_ = conn.Close()
		return steering.ProbeAnswered
	case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
		return steering.ProbeAnswered
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return steering.ProbeUnanswered
	case errors.As(err, &timeout) && timeout.Timeout():
		return steering.ProbeUnanswered
	default:
		return steering.ProbeFailed
	}
}
