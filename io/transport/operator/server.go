// Package operator is the HTTP server of a balancer for operators and the fabric, and records its metrics.
//
// # Usage
//
//	metrics, err := operator.NewMetrics("entry-1", "attiki-1")
//	server, err := operator.Listen("192.0.2.1:9000", metrics, state)
//	defer server.Close()
//
// Paths: /healthz (the process is running), /readyz (the fabric may send packets), /metrics (Prometheus text format),
// /status (JSON), and in the direct return mode /explain?service=ADDRESS:PORT&client=ADDRESS:PORT (JSON): where a request
// would go now.
//
// A Client reads /status of the balancers of a fleet in the direct return mode, and Summarize adds up what they have in
// force:
//
//	members, err := client.Members(ctx, "192.0.2.1:9000")
//	summary := operator.Summarize(client.Ask(ctx, members))
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

// headerTimeout bounds the time to read the header of a request.
const headerTimeout = 5 * time.Second

// closeTimeout bounds the time that requests in progress may take when the server closes.
const closeTimeout = time.Second

// StateProvider provides the state of the process to the server.
type StateProvider interface {
	IsReady() bool // false before there are tables or a configuration, and while draining
	Status() any   // encoded as JSON for /status
}

// BriefStatusProvider is a StateProvider that has a status without its members too, for callers that ask all members.
type BriefStatusProvider interface {
	BriefStatus() any
}

// briefQuery selects the brief status. A process without one returns the whole status.
const briefQuery = "brief=1"

// Server is the HTTP server for operators.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// Listen starts a server on a TCP address.
func Listen(address string, m *Metrics, state StateProvider) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen on the operator address")
	}
	s := &Server{
		http:     &http.Server{Handler: newHandler(m, state), ReadHeaderTimeout: headerTimeout},
		listener: l,
		done:     make(chan struct{}),
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	defer close(s.done)
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		slog.Error("operator server failed; metrics, health checks and status are no longer served", "error", err)
	}
}

// Address returns the address that the server listens on.
func (s *Server) Address() net.Addr { return s.listener.Addr() }

// Close stops the server. It waits up to closeTimeout for requests in progress.
func (s *Server) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := s.http.Shutdown(ctx)
	<-s.done
	return errors.Wrap(err, "close the operator server")
}

func newHandler(m *Metrics, state StateProvider) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.Registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		writeLine(w, http.StatusOK, "ok")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !state.IsReady() {
			writeLine(w, http.StatusServiceUnavailable, "not ready")
			return
		}
		writeLine(w, http.StatusOK, "ready")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		status := state.Status
		if b, ok := state.(BriefStatusProvider); ok && r.URL.RawQuery == briefQuery {
			status = b.BriefStatus
		}
		if err := json.NewEncoder(w).Encode(status()); err != nil {
			slog.Warn("response to GET /status not written", "error", err)
		}
	})
	if e, ok := state.(Explainer); ok {
		mux.HandleFunc("GET "+explainPath, newExplainHandler(e))
	}
	return mux
}

func writeLine(w http.ResponseWriter, code int, line string) {
	w.WriteHeader(code)
	_, _ = w.Write([]byte(line + "\n")) // the client is gone if this fails
}
