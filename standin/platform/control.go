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

// Fault describes how the platform fails calls. The zero value ends all faults.
type Fault struct {
	Mode          string `json:"mode"`
	Delay         int    `json:"delay_ms"`          // before a call takes effect, in milliseconds
	ResponseDelay int    `json:"response_delay_ms"` // after a call took effect, in milliseconds
	LoseWrites    int    `json:"lose_writes"`       // number of accepted writes, from now on, that get no response
	LoseKind      string `json:"lose_kind"`         // kind of objects whose writes get no response; empty for all
}

// Counters count the calls since the start. A watch counts when it begins.
type Counters struct {
	Reads     uint64 `json:"reads"`
	Writes    uint64 `json:"writes"`
	Watches   uint64 `json:"watches"`
	Limited   uint64 `json:"limited"`   // refused because of the rate limit
	Conflicts uint64 `json:"conflicts"` // refused because if_version did not match
	Faulty    uint64 `json:"faulty"`    // refused, left hanging or without a response because of a fault
}

type callKind int

const (
	kindRead callKind = iota
	kindWatch
	kindWrite
)

// hostSnapshot is a list of hosts and the time at which it was set.
type hostSnapshot struct {
	at    time.Time
	hosts []platform.Host
}

// handleCall wraps a call of the API: it counts it, applies the rate limit and the fault, and writes the answer.
func (v *Server) handleCall(kind callKind, serve func(*http.Request) answer) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		limiter := v.count(kind)
		if v.endedByFault(w, r) {
			return
		}
		if !limiter.Allow() {
			v.countLimited()
			a := errorAnswer(http.StatusTooManyRequests, "rate limit exceeded")
			a.header = map[string]string{"Retry-After": "1"}
			a.write(w)
			return
		}
		f, _ := v.currentFault()
		v.sleep(r, time.Duration(f.Delay)*time.Millisecond, nil)
		a := serve(r)
		v.sleep(r, time.Duration(f.ResponseDelay)*time.Millisecond, nil)
		if kind == kindWrite && a.status == http.StatusOK && v.consumeLostWrite(r.PathValue("kind")) {
			drop(w)
			return
		}
		if v.endedByFault(w, r) { // the fault may have been set while a watch was waiting
			return
		}
		a.write(w)
	}
}

// endedByFault closes the connection of the call without a response if the fault has mode refuse or hang, and reports
// whether it did. In mode hang it first waits until the fault is replaced, for longestWait at most.
func (v *Server) endedByFault(w http.ResponseWriter, r *http.Request) bool {
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

// count counts a call and returns the rate limiter for its kind.
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

// currentFault returns the fault and a channel that is closed when the fault is replaced.
func (v *Server) currentFault() (Fault, <-chan struct{}) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	return v.fault, v.faultChanged
}

// consumeLostWrite reports whether the response to a write of this kind of object must be lost, and counts it if so.
func (v *Server) consumeLostWrite(kind string) bool {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if v.fault.LoseWrites == 0 || v.fault.LoseKind != "" && v.fault.LoseKind != kind {
		return false
	}
	v.fault.LoseWrites--
	v.counters.Faulty++
	return true
}

// sleep waits for d. It returns earlier if cancel or the server is closed or the caller disconnects.
func (v *Server) sleep(r *http.Request, d time.Duration, cancel <-chan struct{}) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-cancel:
	case <-v.closed:
	case <-r.Context().Done():
	}
}

// drop closes the connection without a response.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if connection, _, err := h.Hijack(); err == nil {
			_ = connection.Close() // the connection is given up, so an error does not matter
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
	close(v.faultChanged)
	v.faultChanged = make(chan struct{})
}

// SetHosts replaces the hosts. Callers see the change after the host lag.
func (v *Server) SetHosts(hosts []platform.Host) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.hostSnapshots = append(v.hostSnapshots, hostSnapshot{at: time.Now(), hosts: slices.Clone(hosts)})
	if visible := v.visibleSnapshot(); visible > 0 {
		v.hostSnapshots = slices.Delete(v.hostSnapshots, 0, visible)
	}
}

// visibleSnapshot returns the index of the newest host snapshot that is at least as old as the host lag, or -1.
func (v *Server) visibleSnapshot() int {
	limit := time.Now().Add(-v.settings.HostLag)
	for i := len(v.hostSnapshots) - 1; i >= 0; i-- {
		if !v.hostSnapshots[i].at.After(limit) {
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
	if i := v.visibleSnapshot(); i >= 0 {
		l.Hosts = append(l.Hosts, v.hostSnapshots[i].hosts...)
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
		errorAnswer(http.StatusBadRequest, "unknown mode; want \"refuse\", \"hang\" or \"\"").write(w)
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
		errorAnswer(http.StatusBadRequest, err.Error()).write(w)
		return false
	}
	return true
}

func sortObjects(objects []platform.Object) {
	slices.SortFunc(objects, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
}
