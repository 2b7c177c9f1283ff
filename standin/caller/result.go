package caller

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"cornellb/core/state/packet"
	"cornellb/io/transport/client"
)

// Outcome names the result of a request.
type Outcome string

// The outcomes. OutcomeInvalid stands for an error of a type that the client library must not return.
const (
	OutcomeAnswered Outcome = "answered"
	OutcomeNotRun   Outcome = "not_run"
	OutcomeUnknown  Outcome = "unknown"
	OutcomeInvalid  Outcome = "invalid"
)

// Latencies are recorded in microseconds between these bounds.
const (
	lowestLatency  = 1
	highestLatency = int64(2 * time.Minute / time.Microsecond)
	latencyDigits  = 3
)

// Record is one request and its outcome.
type Record struct {
	ID         string  `json:"id"`
	Service    string  `json:"service"`
	Customer   string  `json:"customer"`
	Class      string  `json:"class"`
	Idempotent bool    `json:"idempotent"`
	Outcome    Outcome `json:"outcome"`
	Reason     string  `json:"reason,omitempty"`
	Wrong      bool    `json:"wrong,omitempty"` // the answer differs from the expected one
}

// Latency describes the answered requests of one class or customer.
type Latency struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"` // milliseconds
	P99   float64 `json:"p99"` // milliseconds
}

// Feeds describes all feeds together.
type Feeds struct {
	Opened       int     `json:"opened"`
	Items        uint64  `json:"items"`
	Gaps         uint64  `json:"gaps"`
	Duplicates   uint64  `json:"duplicates"` // items that repeat the highest sequence so far
	Reorders     uint64  `json:"reorders"`   // items with a lower sequence than the highest so far
	WrongItems   uint64  `json:"wrong_items"`
	Ended        int     `json:"ended"`         // feeds that were not opened, ended early, paused too long or had no item
	LongestPause float64 `json:"longest_pause"` // longest time without an item of a feed until the end of the run, seconds
}

// Result describes what the callers saw.
type Result struct {
	Name               string             `json:"name"` // prefix of the request IDs
	Seed               uint64             `json:"seed"`
	Seconds            float64            `json:"seconds"`
	Answered           int                `json:"answered"`
	NotRun             map[string]int     `json:"not_run"` // by reason
	Unknown            map[string]int     `json:"unknown"` // by reason
	Invalid            int                `json:"invalid"`
	Wrong              int                `json:"wrong"` // incomplete or incorrect answers
	Flows              int                `json:"flows"`
	FlowsRefused       map[string]int     `json:"flows_refused"` // failed attempts to open a flow, by reason
	FlowsSkipped       int                `json:"flows_skipped"` // not begun because too many were open
	BrokenFlows        int                `json:"broken_flows"`  // feeds that ended and flows that had to be reopened
	Feeds              Feeds              `json:"feeds"`
	LatencyByClass     map[string]Latency `json:"latency_by_class"`
	LatencyByCustomer  map[string]Latency `json:"latency_by_customer"`
	AnsweredByCustomer map[string]int     `json:"answered_by_customer"`
	Client             client.Counters    `json:"client"`
	Requests           []Record           `json:"requests"`
}

// recorder collects the result. Its methods may be called concurrently.
type recorder struct {
	lock       sync.Mutex
	result     Result
	byClass    map[string]*hdrhistogram.Histogram
	byCustomer map[string]*hdrhistogram.Histogram
}

func newRecorder(name string, seed uint64) *recorder {
	return &recorder{
		result: Result{
			Name: name, Seed: seed, NotRun: make(map[string]int), Unknown: make(map[string]int), FlowsRefused: make(map[string]int),
			LatencyByClass: make(map[string]Latency), LatencyByCustomer: make(map[string]Latency),
			AnsweredByCustomer: make(map[string]int),
		},
		byClass:    make(map[string]*hdrhistogram.Histogram),
		byCustomer: make(map[string]*hdrhistogram.Histogram),
	}
}

// recordRequest adds a request. The record's outcome and reason are derived from err.
func (r *recorder) recordRequest(x Record, latency time.Duration, err error) {
	var notRun *client.NotRunError
	var unknown *client.UnknownError
	r.lock.Lock()
	defer r.lock.Unlock()
	switch {
	case err == nil:
		x.Outcome = OutcomeAnswered
		r.result.Answered++
		r.result.AnsweredByCustomer[x.Customer]++
		if x.Wrong {
			r.result.Wrong++
		}
		observe(r.byClass, x.Class, latency)
		observe(r.byCustomer, x.Customer, latency)
	case errors.As(err, &notRun):
		x.Outcome, x.Reason = OutcomeNotRun, notRun.Reason.String()
		r.result.NotRun[x.Reason]++
	case errors.As(err, &unknown):
		x.Outcome, x.Reason = OutcomeUnknown, unknown.Reason.String()
		r.result.Unknown[x.Reason]++
	default:
		x.Outcome, x.Reason = OutcomeInvalid, err.Error()
		r.result.Invalid++
	}
	r.result.Requests = append(r.result.Requests, x)
}

func observe(m map[string]*hdrhistogram.Histogram, key string, latency time.Duration) {
	h := m[key]
	if h == nil {
		h = hdrhistogram.New(lowestLatency, highestLatency, latencyDigits)
		m[key] = h
	}
	// The value is within the bounds, so RecordValue cannot fail.
	_ = h.RecordValue(min(max(latency.Microseconds(), lowestLatency), highestLatency))
}

// update applies a change to the result under the lock.
func (r *recorder) update(change func(r *Result)) {
	r.lock.Lock()
	defer r.lock.Unlock()
	change(&r.result)
}

// recordRefusal counts a failed attempt to open a flow.
func (r *recorder) recordRefusal(err error) {
	reason := packet.ReasonNone.String()
	var notRun *client.NotRunError
	if errors.As(err, &notRun) {
		reason = notRun.Reason.String()
	}
	r.update(func(r *Result) { r.FlowsRefused[reason]++ })
}

// finish adds the duration, the client counters and the latencies, and returns the result.
func (r *recorder) finish(duration time.Duration, counters client.Counters) *Result {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.result.Seconds = duration.Seconds()
	r.result.Client = counters
	for class, h := range r.byClass {
		r.result.LatencyByClass[class] = latencyOf(h)
	}
	for customer, h := range r.byCustomer {
		r.result.LatencyByCustomer[customer] = latencyOf(h)
	}
	return &r.result
}

func latencyOf(h *hdrhistogram.Histogram) Latency {
	milliseconds := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Latency{Count: h.TotalCount(), P50: milliseconds(50), P99: milliseconds(99)}
}
