package direct

import (
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// readyTimeout bounds a request for readiness.
const readyTimeout = 2 * time.Second

// readyServer answers the fabric's question whether packets may be sent here.
type readyServer struct {
	http *http.Server
	done chan struct{}
}

func listenReady(address netip.AddrPort, path string, isReady func() bool, log *slog.Logger) (*readyServer, error) {
	l, err := net.Listen("tcp4", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "listen for readiness")
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
			log.Error("readiness server stopped", "error", err)
		}
	}()
	return s, nil
}

func (s *readyServer) close() {
	_ = s.http.Close() // its connections carry nothing that is worth waiting for
	<-s.done
}
