// Package verdict compares what the callers saw with what the backend servers did.
//
// # Usage
//
//	v := verdict.Judge(result, reports, verdict.Limits{})
//	v.Write(os.Stdout)
//	if len(v.Violations) > 0 { ... }
//
// Violations name each guarantee that was violated: a request that ran although it was reported as not run, a request
// that is not idempotent and ran more than once, wrong or partial answers, feed faults, and work at a wrong service or
// at a server that is leaving. Broken flows, imbalance and latencies are measured. The first two, and the share of
// answered requests, are checked if Limits say so.
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

// maxExamples bounds the number of request IDs that a violation names.
const maxExamples = 5

// Limits are optional checks of measured values. A field with its zero value checks nothing. BrokenFlows may point to 0
// to allow none.
type Limits struct {
	BrokenFlows       *int    // largest allowed number
	ServerImbalance   float64 // largest allowed maximum over mean of work per backend server of a service
	CustomerImbalance float64 // the same over customers
	Answered          float64 // smallest allowed share of answered requests
	// LostReports is the number of backend servers whose reports may be missing. If it is not 0, an answer without a
	// recorded execution is no violation.
	LostReports int
}

// Violation is a check that failed.
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

// Verdict has the measured values of a run and its violations.
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

// Judge checks the result of the callers against the reports of all backend servers.
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

// addViolation adds a violation unless count is 0.
func (v *Verdict) addViolation(check string, count int, examples ...string) {
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
		for _, check := range failedChecks(q, executions[q.ID]) {
			faults[check] = append(faults[check], q.ID)
		}
		delete(executions, q.ID)
	}
	if limits.LostReports > 0 {
		delete(faults, checkAnsweredUnexecuted)
	}
	for id := range executions {
		if !strings.HasPrefix(id, result.Name+"/") {
			continue // sent by another run
		}
		faults[checkUnsent] = append(faults[checkUnsent], id)
	}
	for _, check := range slices.Sorted(maps.Keys(faults)) {
		ids := faults[check]
		sort.Strings(ids)
		v.addViolation(check, len(ids), ids[:min(len(ids), maxExamples)]...)
	}
	if len(result.Requests) == 0 {
		v.addViolation("no request was sent", 1)
	}
}

// The checks of single requests.
const (
	checkNotRunExecuted     = "reported as not run, but executed"
	checkRunTwice           = "not idempotent, but executed more than once"
	checkAnsweredUnexecuted = "answered, but not executed"
	checkWrongAnswer        = "wrong or partial answer"
	checkNoOutcome          = "no outcome" // an error of a type that the client library must not return
	checkUnsent             = "executed, but not sent by the caller"
)

func failedChecks(q caller.Record, executions int) (failed []string) {
	if q.Outcome == caller.OutcomeNotRun && executions > 0 {
		failed = append(failed, checkNotRunExecuted)
	}
	if !q.Idempotent && executions > 1 {
		failed = append(failed, checkRunTwice)
	}
	if q.Outcome == caller.OutcomeAnswered && executions == 0 {
		failed = append(failed, checkAnsweredUnexecuted)
	}
	if q.Wrong {
		failed = append(failed, checkWrongAnswer)
	}
	if q.Outcome == caller.OutcomeInvalid {
		failed = append(failed, checkNoOutcome)
	}
	return failed
}

func (v *Verdict) judgeFeeds(f caller.Feeds) {
	v.addViolation("feed gaps", int(f.Gaps))
	v.addViolation("feed duplicates", int(f.Duplicates))
	v.addViolation("feed reorders", int(f.Reorders))
	v.addViolation("wrong feed items", int(f.WrongItems))
}

func (v *Verdict) judgeReports(reports []backend.Report) {
	if len(reports) == 0 {
		v.addViolation("no backend server reported", 1)
	}
	for _, r := range reports {
		v.addViolation("work at a wrong service", int(r.WrongService), r.Address)
		v.addViolation("work before the service was checked", int(r.NoHello), r.Address)
		v.addViolation("new work later than 3 s after leaving began", int(r.LateWork), r.Address)
		v.addViolation("new feed later than 3 s after leaving began", int(r.LateSubscribes), r.Address)
		v.addViolation("attempt or stream number used twice", int(r.Duplicate), r.Address)
		v.addViolation("malformed frames at a backend server", int(r.Malformed), r.Address)
	}
}

func (v *Verdict) judgeLimits(l Limits) {
	if l.BrokenFlows != nil && v.BrokenFlows > *l.BrokenFlows {
		v.addViolation(fmt.Sprintf("broken flows above %d", *l.BrokenFlows), v.BrokenFlows)
	}
	if l.ServerImbalance > 0 {
		for service, x := range v.ServerImbalance {
			if x > l.ServerImbalance {
				v.addViolation(fmt.Sprintf("imbalance %.3f over backend servers above %.3f", x, l.ServerImbalance), 1, service)
			}
		}
	}
	if l.CustomerImbalance > 0 && v.CustomerImbalance > l.CustomerImbalance {
		v.addViolation(fmt.Sprintf("imbalance %.3f over customers above %.3f", v.CustomerImbalance, l.CustomerImbalance), 1)
	}
	if share := float64(v.Answered) / float64(max(v.Requests, 1)); share < l.Answered {
		v.addViolation(fmt.Sprintf("answered share %.3f below %.3f", share, l.Answered), v.Requests-v.Answered)
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

// maxOverMean returns the largest work divided by the mean. It returns 1 if no work was done.
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
