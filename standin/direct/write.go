package direct

import (
	"encoding/json"
	"net/http"
)

// LoseWriteAnswers makes the listener close the connection after each of the next n writes that took effect, without an
// answer.
func (d *StoreListener) LoseWriteAnswers(n int) { d.loseWrites.Store(int64(n)) }

// Writes returns the number of calls so far that would write, whether they had an effect or not.
func (d *StoreListener) Writes() int64 { return d.writes.Load() }

// write handles a call that creates or deletes an object, as an operator makes it.
func (d *StoreListener) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	d.writes.Add(1)
	status := http.StatusMethodNotAllowed
	switch r.Method {
	case http.MethodPost:
		status = d.store.create(kind, r)
	case http.MethodDelete:
		status = http.StatusNotFound
		if d.store.has(kind, name) {
			d.store.Delete(kind, name)
			status = http.StatusOK
		}
	}
	if status < http.StatusBadRequest && d.loseWrites.Add(-1) >= 0 {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}

// create creates an object and returns the status of the answer.
func (s *Store) create(kind string, r *http.Request) int {
	var o object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Meta.Name == "" || o.Meta.Finalizers == nil {
		return http.StatusBadRequest
	}
	if s.has(kind, o.Meta.Name) {
		return http.StatusConflict
	}
	s.write(kind, o, false)
	return http.StatusCreated
}

func (s *Store) has(kind, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, ok := s.objects[kind+"/"+name]
	return ok
}
