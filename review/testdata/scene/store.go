package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// answerTime is the time that the store takes for an answer, from the table of SYSTEM.md.
const answerTime = 4 * time.Millisecond

// change is one change of an object, in the order of the store's revisions.
type change struct {
	kind, name string
	revision   uint64
	at         time.Time
	spec       json.RawMessage
	isDeleted  bool
}

// store is the platform's metadata store, as far as balancers call it. Calls with serializable=1 are answered from a
// replica, which may lag behind.
type store struct {
	mu        sync.Mutex
	log       []change
	latest    map[string]int // index in log by kind/name
	lag       time.Duration  // of the replica, from lagFrom on
	lagFrom   time.Time
	calls     int
	lateCalls int // calls answered from a replica that lagged
	conns     map[*storeConn]bool
	server    *http.Server
}

// storeConn is a connection that can fall silent: nothing is read or written any more, and it is not closed.
type storeConn struct {
	net.Conn
	store   *store
	machine int // index of the machine whose listener accepted the connection
	silent  chan struct{}
	once    sync.Once
}

func (c *storeConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *storeConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		select {} // the connection stays open; it ends with this process
	}
	return n, err
}

func (c *storeConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *storeConn) Close() error {
	c.store.mu.Lock()
	delete(c.store.conns, c)
	c.store.mu.Unlock()
	if c.isSilent() {
		return nil
	}
	return c.Conn.Close()
}

type storeListener struct {
	net.Listener
	store   *store
	machine int
}

func (l *storeListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &storeConn{Conn: conn, store: l.store, machine: l.machine, silent: make(chan struct{})}
	l.store.mu.Lock()
	l.store.conns[c] = true
	l.store.mu.Unlock()
	return c, nil
}

// startStore starts the store with one listener for each machine, so that the paths of machines can differ.
func startStore(addresses []string) (*store, error) {
	s := &store{latest: make(map[string]int), conns: make(map[*storeConn]bool)}
	s.server = &http.Server{Handler: s}
	for i, address := range addresses {
		l, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, err
		}
		go func() { _ = s.server.Serve(&storeListener{l, s, i}) }()
	}
	return s, nil
}

// silence makes the connections that a machine has open now fall silent.
func (s *store) silence(machine int) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.machine == machine {
			n++
			c.once.Do(func() { close(c.silent) })
		}
	}
	return n
}

// setLag lets the replica lag behind from now on.
func (s *store) setLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag, s.lagFrom = lag, time.Now()
}

// put writes an object and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	b, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	return s.append(change{kind: kind, name: name, spec: b})
}

func (s *store) remove(kind, name string) time.Time {
	return s.append(change{kind: kind, name: name, isDeleted: true})
}

func (s *store) append(c change) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := c.kind + "/" + c.name
	if i, ok := s.latest[key]; ok && !c.isDeleted && string(s.log[i].spec) == string(c.spec) && !s.log[i].isDeleted {
		return time.Now()
	}
	if c.isDeleted {
		if i, ok := s.latest[key]; ok {
			c.spec = s.log[i].spec
		}
	}
	c.revision, c.at = uint64(len(s.log))+100, time.Now()
	s.latest[key] = len(s.log)
	s.log = append(s.log, c)
	return c.at
}

// visible returns the changes that a call sees. The caller holds mu.
func (s *store) visible(isSerializable bool) []change {
	if !isSerializable || s.lag == 0 {
		return s.log
	}
	now := time.Now()
	until := now.Add(-s.lag)
	if until.Before(s.lagFrom) {
		until = s.lagFrom
	}
	n := sort.Search(len(s.log), func(i int) bool { return s.log[i].at.After(until) })
	if n < len(s.log) {
		s.lateCalls++
	}
	return s.log[:n]
}

func objectOf(c *change) map[string]any {
	return map[string]any{
		"meta": map[string]any{
			"name": c.name, "rev": c.revision, "created": 1, "finalizers": []string{}, "deletion_pending": false,
		},
		"spec": c.spec, "status": nil,
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerTime)
	kind, name, hasName := strings.Cut(strings.TrimPrefix(r.URL.Path, "/api/objects/"), "/")
	q := r.URL.Query()
	isSerializable := q.Get("serializable") == "1"
	s.mu.Lock()
	s.calls++
	s.mu.Unlock()
	switch {
	case r.Method != http.MethodGet:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case hasName:
		s.mu.Lock()
		i, ok := s.latest[kind+"/"+name]
		var c change
		if ok {
			c = s.log[i]
		}
		s.mu.Unlock()
		if !ok || c.isDeleted {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, objectOf(&c))
	case q.Get("watch") != "":
		s.watch(w, r, kind, isSerializable)
	default:
		s.mu.Lock()
		log := s.visible(isSerializable)
		s.mu.Unlock()
		last := make(map[string]*change)
		at := uint64(1)
		for i := range log {
			at = log[i].revision
			if log[i].kind == kind {
				last[log[i].name] = &log[i]
			}
		}
		var names []string
		for n, c := range last {
			if !c.isDeleted {
				names = append(names, n)
			}
		}
		sort.Strings(names)
		items := []any{}
		for _, n := range names {
			items = append(items, objectOf(last[n]))
		}
		answer(w, map[string]any{"items": items, "more": false, "at": at})
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, isSerializable bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		log := s.visible(isSerializable)
		s.mu.Unlock()
		events := []any{}
		at := after
		for i := range log {
			if c := &log[i]; c.revision > after {
				at = c.revision
				if c.kind == kind {
					events = append(events, map[string]any{"object": objectOf(c), "deleted": c.isDeleted})
				}
			}
		}
		if len(events) > 0 || time.Now().After(end) {
			answer(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
