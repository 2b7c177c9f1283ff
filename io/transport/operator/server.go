// Package operator serves what operators and the fabric ask a balancer over HTTP, and records metrics.
//
// # Usage
//
//	metrics, err := operator.NewMetrics("entry-1", "attiki-1")
//	server, err := operator.Listen("192.0.2.1:9000", metrics, probe)
//	defer server.Close()
//
// Paths: /healthz (the process works), /readyz (the fabric may send packets here), /metrics (Prometheus text format),
// /status (JSON).
package operator

import (
	"context"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout bounds the time in which a request's header must arrive.
const headerTimeout = 5 * time.Second

// closeTimeout bounds the time that requests in progress may take when the server closes.
const closeTimeout = time.Second

// Probe tells the state of the process.
type Probe interface {
	IsReady() bool // false while there are no tables and while draining
	Status() any   // encoded as JSON for /status
}

// Server is the HTTP server for operators.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// Listen starts a server on an address.
func Listen(address string, m *Metrics, probe Probe) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for operators")
	}
	s := &Server{
		http:     &http.Server{Handler: newHandler(m, probe), ReadHeaderTimeout: headerTimeout},
		listener: l,
		done:     make(chan struct{}),
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("operator server stopped", "error", err)
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Close stops the server.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	<-s.done
	return errors.Wrap(err, "close the operator server")
}

func newHandler(m *Metrics, probe Probe) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !probe.IsReady() {
			writeLine(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		writeLine(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(probe.Status()); err != nil {
			slog.Warn("status not written", "error", err)
		}
	})
	return mux
}

func writeLine(w http.ResponseWriter, code int, line string) {
	w.WriteHeader(code)
	_, _ = w.Write([]byte(line + "\n")) // the client is gone if this fails
}
