package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"golang.org/x/time/rate"

	"cornellb/io/protocol/platform"
)

// Modes of a Fault.
const (
	ModeOK     = ""       // calls are served
	ModeRefuse = "refuse" // connections are closed without a response and without an effect
	ModeHang   = "hang"   // calls have no effect and get no response until the fault is replaced
)

// Fault makes the platform misbehave. The zero value ends all faults.
type Fault struct {
	Mode          string `json:"mode"`
	Delay         int    `json:"delay_ms"`          // before a call takes effect, in milliseconds
	ResponseDelay int    `json:"response_delay_ms"` // after a call took effect, in milliseconds
	LoseWrites    int    `json:"lose_writes"`       // this many next accepted writes get no response
	LoseKind      string `json:"lose_kind"`         // kind of objects whose writes get no response; empty for all
}

// Counters count the calls since the start. A watch counts when it begins.
type Counters struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Limited   uint64 `json:"limited"`   // refused for their rate
	Conflicts uint64 `json:"conflicts"` // refused for their condition
	Faulty    uint64 `json:"faulty"`    // refused, hung or without their response by a fault
}

type callKind int

const (
	kindRead callKind = iota
	kindWatch
	kindWrite
)

type hostState struct {
	at    time.Time
	hosts []platform.Host
}

// api counts, limits and delays a call, and loses its response if the fault says so.
func (v *Server) api(kind callKind, serve func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limiter := v.count(kind)
		if v.isDead(w, r) {
			return
		}
		if !limiter.Allow() {
			v.countLimited()
			a := failed(http.StatusTooManyRequests, "too many calls")
			a.header = map[string]string{"Retry-After": "1"}
			a.write(w)
			return
		}
		f, _ := v.currentFault()
		v.sleep(r, time.Duration(f.Delay)*time.Millisecond, nil)
		a := serve(r)
		v.sleep(r, time.Duration(f.ResponseDelay)*time.Millisecond, nil)
		if kind == kindWrite && a.status == http.StatusOK && v.losesResponse(r.PathValue("kind")) {
			drop(w)
			return
		}
		if v.isDead(w, r) { // the fault may have begun while a watch was waiting
			return
		}
		a.write(w)
	}
}

// isDead ends the call without a response if the fault says so.
func (v *Server) isDead(w http.ResponseWriter, r *http.Request) bool {
	f, isReplaced := v.currentFault()
	if f.Mode == ModeOK {
		return false
	}
	v.countFaulty()
	if f.Mode == ModeHang {
		v.sleep(r, longestWait, isReplaced)
	}
	drop(w)
	return true
}

func (v *Server) count(kind callKind) *rate.Limiter {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	switch kind {
	case kindWrite:
		v.counters.Writes++
		return v.writes
	case kindWatch:
		v.counters.Watches++
	default:
		v.counters.Reads++
	}
	return v.reads
}

func (v *Server) countFaulty() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.counters.Faulty++
}

func (v *Server) countLimited() {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.counters.Limited++
}

func (v *Server) currentFault() (Fault, <-chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.fault, v.faultSet
}

func (v *Server) losesResponse(kind string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.fault.LoseWrites == 0 || v.fault.LoseKind != "" && v.fault.LoseKind != kind {
		return false
	}
	v.fault.LoseWrites--
	v.counters.Faulty++
	return true
}

func (v *Server) sleep(r *http.Request, d time.Duration, until <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-until:
	case <-v.closed:
	case <-r.Context().Done():
	}
}

// drop closes the connection without a response.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if connection, _, err := h.Hijack(); err == nil {
			_ = connection.Close() // nothing is left to do with it
			return
		}
	}
	panic(http.ErrAbortHandler)
}

// SetFault replaces the fault.
func (v *Server) SetFault(f Fault) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.fault = f
	close(v.faultSet)
	v.faultSet = make(chan struct{})
}

// SetHosts replaces the hosts. Callers see the change after the lag.
func (v *Server) SetHosts(hosts []platform.Host) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.histories = append(v.histories, hostState{at: time.Now(), hosts: slices.Clone(hosts)})
	if visible := v.visible(); visible > 0 {
		v.histories = slices.Delete(v.histories, 0, visible)
	}
}

// visible returns the index of the newest host state that is older than the lag, or -1.
func (v *Server) visible() int {
	limit := time.Now().Add(-v.settings.HostLag)
	for i := len(v.histories) - 1; i >= 0; i-- {
		if !v.histories[i].at.After(limit) {
			return i
		}
	}
	return -1
}

// Counters returns a copy of the counters.
func (v *Server) Counters() Counters {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.counters
}

func (v *Server) hosts(*http.Request) answer {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	l := platform.HostList{AsOf: time.Now().Add(-v.settings.HostLag).UTC(), Hosts: []platform.Host{}}
	if i := v.visible(); i >= 0 {
		l.Hosts = append(l.Hosts, v.histories[i].hosts...)
	}
	return answer{status: http.StatusOK, body: l}
}

func (v *Server) controlFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if !readControl(w, r, &f) {
		return
	}
	switch f.Mode {
	case ModeOK, ModeRefuse, ModeHang:
		v.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	default:
		failed(http.StatusBadRequest, "unknown mode").write(w)
	}
}

func (v *Server) controlHosts(w http.ResponseWriter, r *http.Request) {
	var hosts []platform.Host
	if readControl(w, r, &hosts) {
		v.SetHosts(hosts)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (v *Server) controlCounters(w http.ResponseWriter, _ *http.Request) {
	answer{status: http.StatusOK, body: v.Counters()}.write(w)
}

func readControl(w http.ResponseWriter, r *http.Request, value any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(value); err != nil {
		failed(http.StatusBadRequest, err.Error()).write(w)
		return false
	}
	return true
}

func sortObjects(objects []platform.Object) {
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
}
