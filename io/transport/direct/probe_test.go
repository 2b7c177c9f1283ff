package direct_test

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"cornellb/core/coordination/steering"
	"cornellb/io/transport/direct"
)

// dialer is a dialer whose outcomes the test sets.
type dialer struct {
	attempts atomic.Int32
	dial     func(ctx context.Context, attempt int32) (net.Conn, error)
}

func (d *dialer) DialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	return d.dial(ctx, d.attempts.Add(1))
}

// failing returns a function that fails with an error of the operating system.
func failing(err error) func(context.Context, int32) (net.Conn, error) {
	return func(context.Context, int32) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", err)}
	}
}

// hanging waits until the attempt is given up, as for a host without power.
func hanging(ctx context.Context, _ int32) (net.Conn, error) {
	<-ctx.Done()
	return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.ErrDeadlineExceeded}
}

// TestProbeResults guards against a host that counts as dead because the balancer could not ask it, because one packet
// was lost, or because it refused: a host that refuses resets the flows of an ended endpoint itself.
func TestProbeResults(t *testing.T) {
	tests := map[string]struct {
		dial func(ctx context.Context, attempt int32) (net.Conn, error)
		want steering.ProbeResult
	}{
		"refused":          {failing(syscall.ECONNREFUSED), steering.ProbeAnswered},
		"reset":            {failing(syscall.ECONNRESET), steering.ProbeAnswered},
		"no answer":        {hanging, steering.ProbeUnanswered},
		"host unreachable": {failing(syscall.EHOSTUNREACH), steering.ProbeUnanswered},
		"no descriptors":   {failing(syscall.EMFILE), steering.ProbeFailed},
		"no ports":         {failing(syscall.EADDRNOTAVAIL), steering.ProbeFailed},
		"connected": {func(context.Context, int32) (net.Conn, error) {
			own, other := net.Pipe()
			_ = other.Close()
			return own, nil
		}, steering.ProbeAnswered},
		"first attempt lost": {func(ctx context.Context, attempt int32) (net.Conn, error) {
			if attempt == 1 {
				return hanging(ctx, attempt)
			}
			return nil, syscall.ECONNREFUSED
		}, steering.ProbeAnswered},
		"one of three without descriptors": {func(ctx context.Context, attempt int32) (net.Conn, error) {
			if attempt == 2 {
				return nil, syscall.EMFILE
			}
			return hanging(ctx, attempt)
		}, steering.ProbeFailed},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address := netip.MustParseAddrPort("192.0.2.1:9000")
			is.Equal(direct.ProbeEndpoint(t.Context(), &dialer{dial: c.dial}, clock{}, address), c.want)
		})
	}
}

// TestProbeEndsWithProcess guards against a balancer that counts endpoints as dead while it stops.
func TestProbeEndsWithProcess(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	began := time.Now()
	d := &dialer{dial: func(ctx context.Context, _ int32) (net.Conn, error) {
		cancel()
		<-ctx.Done()
		return nil, errors.Wrap(ctx.Err(), "dial")
	}}
	is.Equal(direct.ProbeEndpoint(ctx, d, clock{}, netip.MustParseAddrPort("192.0.2.1:9000")), steering.ProbeFailed)
	is.True(time.Since(began) < 5*time.Second)
}
