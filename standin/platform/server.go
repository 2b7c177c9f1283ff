// Package platform is an in-memory stand-in for the platform: its object API with versions, conditional updates and
// long polls, its host list, which may be out of date, and its rate limits.
//
// # Usage
//
// New returns a Server, an http.Handler that serves the API that io/protocol/platform describes. Close ends waiting
// watches. Tests control it with SetFault, SetHosts and Counters; the same is available over HTTP:
//
//	PUT /control/fault     Fault, replaces the previous one
//	PUT /control/hosts     JSON array of hosts, visible in the host list after the lag
//	GET /control/counters  Counters
//
// Faults and rate limits do not apply to the control paths.
package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"cornellb/io/protocol/platform"
)

// The platform's limits in calls per second.
const (
	DefaultWrites = 500
	DefaultReads  = 2000
)

const (
	// longestWait bounds a long poll.
	longestWait = time.Minute
	// requestLimit bounds a request body: the largest value in base64, and 1024 bytes for the JSON around it.
	requestLimit = platform.MaxValue*4/3 + 1024
)

// Settings configure a Server.
type Settings struct {
	HostLag         time.Duration // age of the host list that callers see
	WritesPerSecond float64       // 0 selects DefaultWrites
	ReadsPerSecond  float64       // 0 selects DefaultReads; a waiting watch counts as one read
}

// Server is the stand-in for the platform. It implements http.Handler.
type Server struct {
	settings Settings
	mux      *http.ServeMux
	writes   *rate.Limiter
	reads    *rate.Limiter
	closed   chan struct{}
	close    sync.Once

	mutex         sync.Mutex
	objects       map[key]platform.Object
	revision      uint64        // last version given to any object
	changed       chan struct{} // closed and replaced by each write
	hostSnapshots []hostSnapshot
	fault         Fault
	faultChanged  chan struct{} // closed and replaced by SetFault
	counters      Counters
}

type key struct{ kind, name string }

// New returns a server without objects and hosts.
func New(s Settings) *Server {
	if s.WritesPerSecond <= 0 {
		s.WritesPerSecond = DefaultWrites
	}
	if s.ReadsPerSecond <= 0 {
		s.ReadsPerSecond = DefaultReads
	}
	v := &Server{
		settings: s, mux: http.NewServeMux(), closed: make(chan struct{}),
		writes:  rate.NewLimiter(rate.Limit(s.WritesPerSecond), int(s.WritesPerSecond)),
		reads:   rate.NewLimiter(rate.Limit(s.ReadsPerSecond), int(s.ReadsPerSecond)),
		objects: make(map[key]platform.Object), changed: make(chan struct{}), faultChanged: make(chan struct{}),
	}
	v.mux.HandleFunc("GET /v1/objects/{kind}/{name}", v.handleCall(kindRead, v.get))
	v.mux.HandleFunc("GET /v1/objects/{kind}", v.handleCall(kindRead, v.list))
	v.mux.HandleFunc("PUT /v1/objects/{kind}/{name}", v.handleCall(kindWrite, v.put))
	v.mux.HandleFunc("GET /v1/watch/{kind}/{name}", v.handleCall(kindWatch, v.watch))
	v.mux.HandleFunc("GET /v1/hosts", v.handleCall(kindRead, v.hosts))
	v.mux.HandleFunc("PUT /control/fault", v.controlFault)
	v.mux.HandleFunc("PUT /control/hosts", v.controlHosts)
	v.mux.HandleFunc("GET /control/counters", v.controlCounters)
	return v
}

// ServeHTTP serves the API and the control paths.
func (v *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { v.mux.ServeHTTP(w, r) }

// Close ends waiting watches and hanging calls.
func (v *Server) Close() { v.close.Do(func() { close(v.closed) }) }

// answer is the response to a call that has taken effect or was refused.
type answer struct {
	status int
	body   any
	header map[string]string
}

func errorAnswer(status int, message string) answer {
	return answer{status: status, body: platform.ErrorReply{Message: message}}
}

func (a answer) write(w http.ResponseWriter) {
	for name, value := range a.header {
		w.Header().Set(name, value)
	}
	if a.body == nil {
		w.WriteHeader(a.status)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(a.status)
	_ = json.NewEncoder(w).Encode(a.body) // an error means that the caller has disconnected
}

func (v *Server) get(r *http.Request) answer {
	k := key{r.PathValue("kind"), r.PathValue("name")}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	o, found := v.objects[k]
	if !found {
		return errorAnswer(http.StatusNotFound, "no such object")
	}
	return answer{status: http.StatusOK, body: o}
}

func (v *Server) list(r *http.Request) answer {
	kind := r.PathValue("kind")
	v.mutex.Lock()
	defer v.mutex.Unlock()
	l := platform.ObjectList{Objects: []platform.Object{}}
	for k, o := range v.objects {
		if k.kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	sortObjects(l.Objects)
	return answer{status: http.StatusOK, body: l}
}

func (v *Server) put(r *http.Request) answer {
	var p platform.PutRequest
	if err := json.NewDecoder(http.MaxBytesReader(nil, r.Body, requestLimit)).Decode(&p); err != nil {
		return errorAnswer(http.StatusBadRequest, err.Error())
	}
	if len(p.Value) > platform.MaxValue {
		return errorAnswer(http.StatusRequestEntityTooLarge, "the value exceeds 1 MiB")
	}
	k := key{r.PathValue("kind"), r.PathValue("name")}
	v.mutex.Lock()
	defer v.mutex.Unlock()
	current := v.objects[k].Version
	if current != p.IfVersion {
		v.counters.Conflicts++
		reply := platform.ErrorReply{Message: "if_version is not the version of the object", Version: current}
		return answer{status: http.StatusConflict, body: reply}
	}
	v.revision++
	o := platform.Object{Kind: k.kind, Name: k.name, Version: v.revision, Value: p.Value}
	v.objects[k] = o
	close(v.changed)
	v.changed = make(chan struct{})
	o.Value = nil
	return answer{status: http.StatusOK, body: o}
}

func (v *Server) watch(r *http.Request) answer {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "after: "+err.Error())
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return errorAnswer(http.StatusBadRequest, "wait: "+err.Error())
	}
	k := key{r.PathValue("kind"), r.PathValue("name")}
	end := time.NewTimer(min(wait, longestWait))
	defer end.Stop()
	for {
		v.mutex.Lock()
		o, changed := v.objects[k], v.changed
		v.mutex.Unlock()
		if o.Version != after {
			return answer{status: http.StatusOK, body: o}
		}
		select {
		case <-changed:
		case <-end.C:
			return answer{status: http.StatusNoContent}
		case <-r.Context().Done():
			return answer{status: http.StatusNoContent}
		case <-v.closed:
			return answer{status: http.StatusNoContent}
		}
	}
}
