// Package verdict compares what the callers saw with what the backend servers did.
//
// # Usage
//
//	v := verdict.Judge(result, reports, verdict.Limits{})
//	v.Write(os.Stdout)
//	if len(v.Violations) > 0 { ... }
//
// Violations name each broken promise: a request reported as not run that ran, a request that is not idempotent and ran
// more than once, wrong or partial answers, feed faults, and work at a wrong service or at a server that left. Broken
// flows, imbalance and latencies are measured, and checked only if Limits say so.
package verdict

import (
	"fmt"
	"maps"
	"slices"
	"sort"
	"strings"

	"cornellb/standin/backend"
	"cornellb/standin/caller"
)

// maxExamples bounds the request IDs that a violation names.
const maxExamples = 5

// Limits are optional checks of measured values. A zero value checks nothing, except that BrokenFlows is checked if it
// is not nil.
type Limits struct {
	BrokenFlows       *int    // largest allowed number
	ServerImbalance   float64 // largest allowed maximum over mean of work per backend server of a service
	CustomerImbalance float64 // the same over customers
	Answered          float64 // smallest allowed share of answered requests
	LostReports       int     // backend servers whose reports may be missing; answers cannot be traced to runs then
}

// Violation is a promise that was broken.
type Violation struct {
	Check    string
	Count    int
	Examples []string
}

func (v Violation) String() string {
	if len(v.Examples) == 0 {
		return fmt.Sprintf("%s: %d", v.Check, v.Count)
	}
	return fmt.Sprintf("%s: %d, for example %v", v.Check, v.Count, v.Examples)
}

// Verdict is the closing table and the violations.
type Verdict struct {
	Requests          int
	Answered          int
	NotRun            map[string]int
	Unknown           map[string]int
	Flows             int
	BrokenFlows       int
	Feeds             caller.Feeds
	ServerImbalance   map[string]float64 // by service
	CustomerImbalance float64
	LatencyByClass    map[string]caller.Latency
	LatencyByCustomer map[string]caller.Latency
	Violations        []Violation
}

// Judge joins the result with the reports of all backend servers.
func Judge(result *caller.Result, reports []backend.Report, limits Limits) *Verdict {
	v := &Verdict{
		Requests: len(result.Requests), Answered: result.Answered, NotRun: result.NotRun, Unknown: result.Unknown,
		Flows: result.Flows, BrokenFlows: result.BrokenFlows, Feeds: result.Feeds,
		ServerImbalance: serverImbalance(reports), CustomerImbalance: customerImbalance(reports),
		LatencyByClass: result.LatencyByClass, LatencyByCustomer: result.LatencyByCustomer,
	}
	v.judgeRequests(result, reports, limits)
	v.judgeFeeds(result.Feeds)
	v.judgeReports(reports)
	v.judgeLimits(limits)
	return v
}

func (v *Verdict) violate(check string, count int, examples ...string) {
	if count > 0 {
		v.Violations = append(v.Violations, Violation{Check: check, Count: count, Examples: examples})
	}
}

func (v *Verdict) judgeRequests(result *caller.Result, reports []backend.Report, limits Limits) {
	executions := make(map[string]int)
	for _, r := range reports {
		for id, n := range r.Executions {
			executions[id] += n
		}
	}
	faults := make(map[string][]string)
	for _, q := range result.Requests {
		for _, check := range checksOf(q, executions[q.ID]) {
			faults[check] = append(faults[check], q.ID)
		}
		delete(executions, q.ID)
	}
	if limits.LostReports > 0 {
		delete(faults, checkAnswered)
	}
	for id := range executions {
		if !strings.HasPrefix(id, result.Name+"/") {
			continue // sent by another run
		}
		faults[checkUnasked] = append(faults[checkUnasked], id)
	}
	for _, check := range slices.Sorted(maps.Keys(faults)) {
		ids := faults[check]
		sort.Strings(ids)
		v.violate(check, len(ids), ids[:min(len(ids), maxExamples)]...)
	}
	if len(result.Requests) == 0 {
		v.violate("no request was sent", 1)
	}
}

// The checks of single requests.
const (
	checkNotRun   = "reported as not run, but executed"
	checkTwice    = "not idempotent, but executed more than once"
	checkAnswered = "answered, but not executed"
	checkWrong    = "wrong or partial answer"
	checkInvalid  = "no outcome"
	checkUnasked  = "executed, but not sent by the caller"
)

func checksOf(q caller.Record, executions int) (faults []string) {
	if q.Outcome == caller.OutcomeNotRun && executions > 0 {
		faults = append(faults, checkNotRun)
	}
	if !q.Idempotent && executions > 1 {
		faults = append(faults, checkTwice)
	}
	if q.Outcome == caller.OutcomeAnswered && executions == 0 {
		faults = append(faults, checkAnswered)
	}
	if q.Wrong {
		faults = append(faults, checkWrong)
	}
	if q.Outcome == caller.OutcomeInvalid {
		faults = append(faults, checkInvalid)
	}
	return faults
}

func (v *Verdict) judgeFeeds(f caller.Feeds) {
	v.violate("feed gaps", int(f.Gaps))
	v.violate("feed duplicates", int(f.Duplicates))
	v.violate("feed reorders", int(f.Reorders))
	v.violate("wrong feed items", int(f.WrongItems))
}

func (v *Verdict) judgeReports(reports []backend.Report) {
	if len(reports) == 0 {
		v.violate("no backend server reported", 1)
	}
	for _, r := range reports {
		v.violate("work at a wrong service", int(r.WrongService), r.Address)
		v.violate("work before the service was checked", int(r.NoHello), r.Address)
		v.violate("new work later than 3 s after leaving began", int(r.LateWork), r.Address)
		v.violate("new feed later than 3 s after leaving began", int(r.LateSubscribes), r.Address)
		v.violate("attempt or stream number used twice", int(r.Duplicate), r.Address)
		v.violate("malformed frames at a backend server", int(r.Malformed), r.Address)
	}
}

func (v *Verdict) judgeLimits(l Limits) {
	if l.BrokenFlows != nil && v.BrokenFlows > *l.BrokenFlows {
		v.violate(fmt.Sprintf("broken flows above %d", *l.BrokenFlows), v.BrokenFlows)
	}
	if l.ServerImbalance > 0 {
		for service, x := range v.ServerImbalance {
			if x > l.ServerImbalance {
				v.violate(fmt.Sprintf("imbalance %.3f over backend servers above %.3f", x, l.ServerImbalance), 1, service)
			}
		}
	}
	if l.CustomerImbalance > 0 && v.CustomerImbalance > l.CustomerImbalance {
		v.violate(fmt.Sprintf("imbalance %.3f over customers above %.3f", v.CustomerImbalance, l.CustomerImbalance), 1)
	}
	if share := float64(v.Answered) / float64(max(v.Requests, 1)); share < l.Answered {
		v.violate(fmt.Sprintf("answered share %.3f below %.3f", share, l.Answered), v.Requests-v.Answered)
	}
}

func serverImbalance(reports []backend.Report) map[string]float64 {
	work := make(map[string][]float64)
	for _, r := range reports {
		work[r.Service] = append(work[r.Service], r.TotalWork)
	}
	imbalance := make(map[string]float64)
	for service, w := range work {
		imbalance[service] = maxOverMean(w)
	}
	return imbalance
}

func customerImbalance(reports []backend.Report) float64 {
	work := make(map[string]float64)
	for _, r := range reports {
		for customer, w := range r.Work {
			work[customer] += w
		}
	}
	return maxOverMean(slices.Collect(maps.Values(work)))
}

// maxOverMean returns 1 if no work was done.
func maxOverMean(work []float64) float64 {
	total := 0.0
	for _, w := range work {
		total += w
	}
	if total == 0 {
		return 1
	}
	return slices.Max(work) * float64(len(work)) / total
}
