package backend

import (
	"encoding/json"
	"maps"
	"net/http"
	"strconv"
	"time"
)

// Report describes what a backend server did.
type Report struct {
	Service     string             `json:"service"`
	Address     string             `json:"address"`
	Incarnation uint64             `json:"incarnation"`
	Slots       int                `json:"slots"`
	Executions  map[string]int     `json:"executions"` // starts by request ID
	Work        map[string]float64 `json:"work"`       // nominal service time of answered requests by customer, seconds
	TotalWork   float64            `json:"total_work"` // seconds
	MaxBusy     int                `json:"max_busy"`

	Connections    uint64 `json:"connections"`
	Started        uint64 `json:"started"`
	Answered       uint64 `json:"answered"`
	Shed           uint64 `json:"shed"`
	Cancelled      uint64 `json:"cancelled"`       // stopped by a Cancel frame
	Expired        uint64 `json:"expired"`         // stopped at the deadline
	WrongService   uint64 `json:"wrong_service"`   // requests and subscriptions for another service; must stay 0
	WrongHello     uint64 `json:"wrong_hello"`     // connections meant for another service
	NoHello        uint64 `json:"no_hello"`        // requests and subscriptions before a Hello for the right service
	LateWork       uint64 `json:"late_work"`       // new work more than 3 s after the server began to leave; must stay 0
	LateSubscribes uint64 `json:"late_subscribes"` // the same for feeds; must stay 0
	Duplicate      uint64 `json:"duplicate"`       // attempt or stream numbers used twice on a connection
	Malformed      uint64 `json:"malformed"`
	Subscribed     uint64 `json:"subscribed"`
	Items          uint64 `json:"items"`
}

// Report returns what the server has done so far.
func (s *Server) Report() Report {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := s.report
	r.Executions = maps.Clone(r.Executions)
	r.Work = maps.Clone(r.Work)
	return r
}

// count updates the report under the lock.
func (s *Server) count(change func(r *Report)) {
	s.lock.Lock()
	defer s.lock.Unlock()
	change(&s.report)
}

// Handler returns the control endpoint:
//
//	GET  /readyz                         succeeds
//	GET  /report                         Report
//	POST /leaving?on=BOOL                SetLeaving
//	POST /freeze?all=BOOL                Freeze
//	POST /thaw                           Thaw
//	POST /reset                          Reset
//	POST /slow?factor=NUMBER             SetSlowFactor
//	POST /load?lag=DURATION&lie=NUMBER   SetLoadReport
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("GET /report", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(s.Report())
	})
	mux.HandleFunc("POST /thaw", func(http.ResponseWriter, *http.Request) { s.Thaw() })
	mux.HandleFunc("POST /reset", func(http.ResponseWriter, *http.Request) { s.Reset() })
	mux.HandleFunc("POST /leaving", withQueryValue("on", strconv.ParseBool, s.SetLeaving))
	mux.HandleFunc("POST /freeze", withQueryValue("all", strconv.ParseBool, s.Freeze))
	mux.HandleFunc("POST /slow", withQueryValue("factor", parseFactor, s.SetSlowFactor))
	mux.HandleFunc("POST /load", s.handleLoad)
	return mux
}

func parseFactor(v string) (float64, error) {
	x, err := strconv.ParseFloat(v, 64)
	if err == nil && !(x > 0) {
		err = strconv.ErrRange
	}
	return x, err
}

// withQueryValue returns a handler that parses one query value and applies it.
func withQueryValue[T any](name string, parse func(string) (T, error), apply func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		v, err := parse(r.URL.Query().Get(name))
		if err != nil {
			http.Error(w, name+": "+err.Error(), http.StatusBadRequest)
			return
		}
		apply(v)
	}
}

func (s *Server) handleLoad(w http.ResponseWriter, r *http.Request) {
	lag, fixed := time.Duration(0), -1
	var err error
	if v := r.URL.Query().Get("lag"); v != "" {
		if lag, err = time.ParseDuration(v); err != nil {
			http.Error(w, "lag: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	if v := r.URL.Query().Get("lie"); v != "" {
		if fixed, err = strconv.Atoi(v); err != nil {
			http.Error(w, "lie: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	s.SetLoadReport(lag, fixed)
}
