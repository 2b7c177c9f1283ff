package direct

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Fault is a fault of one listener of the store. The zero value is no fault.
type Fault struct {
	Status   int           // answers every call with this status
	IsSilent bool          // accepts calls and never answers
	LoseAll  bool          // closes the connection of every call without an answer
	Delay    time.Duration // before each call is handled
}

// Store keeps objects by kind and name, with the history of their changes.
type Store struct {
	mu          sync.Mutex
	objects     map[string]object // by kind/name
	events      []event
	compactedTo uint64 // the history up to this revision has been dropped
	revision    uint64
	era         uint64        // in the header Store-Era; 0 if it is not sent
	changed     chan struct{} // closed and replaced by each change
	replica     *Store        // answers calls with serializable=1 while they lag; nil if they do not
}

type object struct {
	Meta   objectMeta      `json:"meta"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

type objectMeta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"rev"`
	Finalizers []string `json:"finalizers"`
}

type event struct {
	kind      string
	revision  uint64
	Object    object `json:"object"`
	IsDeleted bool   `json:"deleted"`
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{objects: make(map[string]object), revision: 1, changed: make(chan struct{})}
}

// Put writes an object. An equal spec changes nothing.
func (s *Store) Put(kind, name string, spec any) error {
	b, err := json.Marshal(spec)
	if err != nil {
		return errors.Wrap(err, "encode object")
	}
	s.write(kind, object{Meta: objectMeta{Name: name, Finalizers: []string{}}, Spec: b, Status: json.RawMessage("null")}, false)
	return nil
}

// Delete removes an object, if there is one.
func (s *Store) Delete(kind, name string) {
	s.write(kind, object{Meta: objectMeta{Name: name}}, true)
}

func (s *Store) write(kind string, o object, isDeleted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := kind + "/" + o.Meta.Name
	old, exists := s.objects[key]
	if isDeleted && !exists || !isDeleted && exists && string(old.Spec) == string(o.Spec) {
		return
	}
	s.revision++
	if o.Meta.Revision = s.revision; isDeleted {
		old.Meta.Revision = s.revision
		o = old
		delete(s.objects, key)
	} else {
		s.objects[key] = o
	}
	s.events = append(s.events, event{kind: kind, revision: s.revision, Object: o, IsDeleted: isDeleted})
	close(s.changed)
	s.changed = make(chan struct{})
}

// Compact drops the history, so that a watch from an older revision fails with status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events, s.compactedTo = nil, s.revision
	close(s.changed)
	s.changed = make(chan struct{})
}

// FreezeReplica lets calls with serializable=1 return the present state from now on, whatever changes later.
func (s *Store) FreezeReplica() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replica = &Store{
		objects: maps.Clone(s.objects), events: slices.Clone(s.events), compactedTo: s.compactedTo, revision: s.revision,
		era: s.era, changed: make(chan struct{}),
	}
}

// SetEra makes the store send an era in all its answers. Era 0 is not sent.
func (s *Store) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Copy is the state of a store at one time.
type Copy struct {
	objects     map[string]object
	events      []event
	compactedTo uint64
	revision    uint64
}

// Copy returns a copy of the present state.
func (s *Store) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{
		objects: maps.Clone(s.objects), events: slices.Clone(s.events), compactedTo: s.compactedTo, revision: s.revision,
	}
}

// Restore puts an earlier state back and raises the era. Later changes and their history are lost, and their revisions
// are used again. Watches after a revision that the copy does not have end with status 410.
func (s *Store) Restore(c Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects, s.events = maps.Clone(c.objects), slices.Clone(c.events)
	s.compactedTo, s.revision = c.compactedTo, c.revision
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// StoreListener is one listener of the store, with its own fault.
type StoreListener struct {
	Address string // listen address
	store   *Store
	http    *http.Server
	fault   atomic.Pointer[Fault]
	calls   atomic.Int64 // all calls, also watches and calls without an answer
	reads   atomic.Int64 // calls for a single object; balancers read only the configuration that way

	writes     atomic.Int64 // calls that create or delete an object
	loseWrites atomic.Int64 // number of further writes whose answers are lost
}

// Listen starts a listener. Port 0 selects a free port.
func (s *Store) Listen(address string) (*StoreListener, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrap(err, "listen for store calls")
	}
	d := &StoreListener{Address: l.Addr().String(), store: s}
	d.SetFault(Fault{})
	d.http = &http.Server{Handler: d, ReadHeaderTimeout: time.Minute}
	go func() { _ = d.http.Serve(l) }() // ends with Close
	return d, nil
}

// SetFault replaces the fault of the listener.
func (d *StoreListener) SetFault(f Fault) { d.fault.Store(&f) }

// Calls returns the number of calls so far, and how many of them read the configuration.
func (d *StoreListener) Calls() (all, configuration int64) { return d.calls.Load(), d.reads.Load() }

// Close closes the listener and its connections.
func (d *StoreListener) Close() { _ = d.http.Close() }

// ServeHTTP implements http.Handler.
func (d *StoreListener) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.calls.Add(1)
	f := *d.fault.Load()
	switch {
	case f.IsSilent:
		<-r.Context().Done()
		return
	case f.Status != 0:
		d.store.mu.Lock()
		era := d.store.era
		d.store.mu.Unlock()
		replyStatus(w, era, f.Status)
		return
	case f.LoseAll:
		panic(http.ErrAbortHandler)
	}
	time.Sleep(f.Delay)
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	q := r.URL.Query()
	s := d.store
	s.mu.Lock()
	if s.replica != nil && q.Get("serializable") == "1" {
		s = s.replica
	}
	d.store.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		d.write(w, r, kind, name)
	case hasName:
		d.reads.Add(1)
		s.get(w, kind, name)
	case q.Get("watch") != "":
		s.watch(w, r, kind)
	default:
		s.list(w, kind)
	}
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind+"/"+name]
	era := s.era
	s.mu.Unlock()
	if !ok {
		replyStatus(w, era, http.StatusNotFound)
		return
	}
	reply(w, era, o)
}

func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for key, o := range s.objects {
		if strings.HasPrefix(key, kind+"/") {
			items = append(items, o)
		}
	}
	at, era := s.revision, s.era
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Meta.Name, b.Meta.Name) })
	reply(w, era, map[string]any{"items": items, "more": false, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for hasTimedOut := false; ; {
		s.mu.Lock()
		found := []event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > after {
				found = append(found, e)
			}
		}
		at, era, changed, isGone := s.revision, s.era, s.changed, after < s.compactedTo || after > s.revision
		s.mu.Unlock()
		switch {
		case isGone:
			replyStatus(w, era, http.StatusGone)
			return
		case len(found) > 0 || hasTimedOut:
			reply(w, era, map[string]any{"events": found, "at": at})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			hasTimedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func setEra(w http.ResponseWriter, era uint64) {
	if era != 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
}

func replyStatus(w http.ResponseWriter, era uint64, status int) {
	setEra(w, era)
	w.WriteHeader(status)
}

func reply(w http.ResponseWriter, era uint64, v any) {
	setEra(w, era)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has disconnected
}
