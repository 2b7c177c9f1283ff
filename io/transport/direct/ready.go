package direct

import (
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// readyTimeout limits the time to read the header of a readiness check.
const readyTimeout = 2 * time.Second

// readyServer answers the fabric's readiness checks: with status 200 if packets may be sent to this balancer, else 503.
type readyServer struct {
	http *http.Server
	done chan struct{}
}

func listenReady(address netip.AddrPort, path string, isReady func() bool, log *slog.Logger) (*readyServer, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness checks")
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	s := &readyServer{http: &http.Server{Handler: mux, ReadHeaderTimeout: readyTimeout}, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			log.Error("readiness server failed; readiness checks are no longer answered", "error", err)
		}
	}()
	return s, nil
}

func (s *readyServer) close() {
	_ = s.http.Close() // readiness checks in progress need not be completed
	<-s.done
}
