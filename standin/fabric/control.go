package fabric

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// watchHealth polls a balancer's readiness until the fabric stops. A cut-off balancer counts as not ready.
func (f *Fabric) watchHealth(ctx context.Context, b *balancer) {
	defer f.running.Done()
	ticker := time.NewTicker(healthPeriod)
	defer ticker.Stop()
	for {
		b.isHealthy.Store(!b.isCut.Load() && f.isReady(ctx, b.Health))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (f *Fabric) isReady(ctx context.Context, base string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := f.client.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Handler returns the control endpoint:
//
//	GET  /readyz                succeeds while a balancer is healthy
//	GET  /counters              Counters
//	GET  /health                healthy balancers as a JSON list
//	POST /cut?balancer=ADDRESS  drops all datagrams from and to a balancer
//	POST /heal?balancer=ADDRESS ends the cut
//	POST /faults                takes Faults as JSON
func (f *Fabric) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if len(f.healthy()) == 0 {
			http.Error(w, "no balancer is healthy", http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { reply(w, f.Counters()) })
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { reply(w, f.healthy()) })
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, r *http.Request) { f.handleCut(w, r, true) })
	mux.HandleFunc("POST /heal", func(w http.ResponseWriter, r *http.Request) { f.handleCut(w, r, false) })
	mux.HandleFunc("POST /faults", f.handleFaults)
	return mux
}

func (f *Fabric) healthy() []string {
	list := []string{}
	for _, b := range f.balancers {
		if b.isHealthy.Load() {
			list = append(list, b.Address.String())
		}
	}
	return list
}

func (f *Fabric) handleCut(w http.ResponseWriter, r *http.Request, isCut bool) {
	address, err := netip.ParseAddrPort(r.URL.Query().Get("balancer"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !f.SetCut(address, isCut) {
		http.Error(w, "no such balancer", http.StatusNotFound)
	}
}

func (f *Fabric) handleFaults(w http.ResponseWriter, r *http.Request) {
	var x Faults
	if err := json.NewDecoder(r.Body).Decode(&x); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !isRate(x.Loss) || !isRate(x.Duplicate) || x.Delay < 0 || x.Jitter < 0 {
		http.Error(w, "rates are between 0 and 1, times are not negative", http.StatusBadRequest)
		return
	}
	f.SetFaults(x)
}

func isRate(r float64) bool { return r >= 0 && r <= 1 }

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
