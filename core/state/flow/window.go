package flow

import "time"

// Window keeps the records of a flow's last requests. The zero value is an empty window.
type Window struct {
	floor   uint64
	records []Record // sorted by request number
}

// Floor returns the request number below the window: requests with this number or a lower one are never run.
func (w *Window) Floor() uint64 { return w.floor }

// Find returns the record of a request, or nil.
func (w *Window) Find(request uint64) *Record {
	for i := len(w.records) - 1; i >= 0; i-- {
		if w.records[i].Request == request {
			return &w.records[i]
		}
	}
	return nil
}

// IsTooOld reports whether a request number is below the window.
func (w *Window) IsTooOld(request uint64) bool { return request <= w.floor }

// Add adds a record for a new request number. If the window is full, the record with the lowest number is removed and
// the floor rises to that number. ok is false if the number is too old or already present, or if the window is full and
// its lowest request is not settled or has a higher number than the new one. The pointer is valid until the next Add,
// RemoveIf or Merge.
func (w *Window) Add(request uint64) (r *Record, ok bool) {
	if w.IsTooOld(request) || w.Find(request) != nil {
		return nil, false
	}
	if len(w.records) >= WindowSize {
		if !w.records[0].State.IsFinal() || request < w.records[0].Request {
			return nil, false
		}
		w.floor = w.records[0].Request
		w.records = append(w.records[:0], w.records[1:]...)
	}
	i := len(w.records)
	for i > 0 && w.records[i-1].Request > request {
		i--
	}
	w.records = append(w.records, Record{})
	copy(w.records[i+1:], w.records[i:])
	w.records[i] = Record{Request: request}
	return &w.records[i], true
}

// IsSettled reports whether every request in the window has its outcome.
func (w *Window) IsSettled() bool {
	for i := range w.records {
		if !w.records[i].State.IsFinal() {
			return false
		}
	}
	return true
}

// Each calls f for every record in the order of request numbers.
func (w *Window) Each(f func(*Record)) {
	for i := range w.records {
		f(&w.records[i])
	}
}

// RemoveIf removes the records for which remove is true. The request numbers may be added again.
func (w *Window) RemoveIf(remove func(*Record) bool) {
	kept := w.records[:0]
	for i := range w.records {
		if !remove(&w.records[i]) {
			kept = append(kept, w.records[i])
		}
	}
	clear(w.records[len(kept):])
	w.records = kept
}

// Export copies the window's contents.
func (w *Window) Export() (floor uint64, records []Record) {
	return w.floor, append([]Record(nil), w.records...)
}

// Merge adds records that another owner kept for the same flow. A record that the window already has is not changed.
func (w *Window) Merge(floor uint64, records []Record) {
	for _, r := range records {
		if rec, ok := w.Add(r.Request); ok {
			*rec = r
		}
	}
	if floor > w.floor {
		w.floor = floor
		keep := w.records[:0]
		for _, r := range w.records {
			if r.Request > floor {
				keep = append(keep, r)
			}
		}
		w.records = keep
	}
}

// DropAnswers removes the answers of requests that were settled before a time, and returns their total size in bytes.
func (w *Window) DropAnswers(before time.Time) int {
	released := 0
	for i := range w.records {
		r := &w.records[i]
		if r.Answer != nil && r.SettledAt.Before(before) {
			released += len(r.Answer)
			r.Answer = nil
		}
	}
	return released
}
