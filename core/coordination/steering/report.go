package steering

import (
	"cmp"
	"slices"
	"time"

	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

const (
	// reportAge is how long a report counts. Reports come about every second from a part of the members.
	reportAge = 10 * time.Second
	// maxReportLoads keeps a report within one datagram, at up to 7 bytes each.
	maxReportLoads = 120
	// maxReportSilences does the same for silent endpoints, at 4 bytes each.
	maxReportSilences = 10
	// maxReporters bounds the memory for reports.
	maxReporters = 256
	// hearsay is how long an endpoint is suspect because another balancer of the failure domain reports it as silent.
	hearsay = 1500 * time.Millisecond
)

// Load is the number of flows of one balancer on one endpoint.
type Load struct {
	Cookie uint32 // the first cookie of the endpoint
	Flows  int
}

// Report is what a balancer tells others of its failure domain.
type Report struct {
	Sender    member.Incarnation
	IsPartial bool // holds silences alone; loads and outcomes of earlier reports stay valid
	Loads     []Load
	Silences  []uint32 // the first cookies of endpoints that refuse flows, or do not answer this balancer while others do
	Outcomes  []Outcome
}

type heardReport struct {
	at            time.Time
	loads         []Load
	outcomes      []Outcome // empty if the links to the endpoints are others
	failureDomain string
	scale         float64
}

// Report returns the present loads of this balancer, the largest first if there are too many, and its evidence against
// endpoints. It never repeats what others reported, because opinions that rest on each other would never end.
func (f *Forwarder) Report(now time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Report{Silences: f.silences(now), Outcomes: f.outcomesToReport()}
	for id, v := range f.servers {
		if v.flows > 0 {
			r.Loads = append(r.Loads, Load{Cookie: directory.Cookie(id, 0), Flows: v.flows})
		}
	}
	slices.SortFunc(r.Loads, func(a, b Load) int { return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cookie, b.Cookie)) })
	r.Loads = r.Loads[:min(len(r.Loads), maxReportLoads)]
	return r
}

// ReportSilences returns a partial report.
func (f *Forwarder) ReportSilences(now time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Report{IsPartial: true, Silences: f.silences(now)}
}

func (f *Forwarder) silences(now time.Time) []uint32 {
	var list []uint32
	for id, v := range f.servers {
		if len(list) < maxReportSilences && (f.isSilent(now, v) || v.hasRefused(now)) {
			list = append(list, directory.Cookie(id, 0))
		}
	}
	return list
}

// hasRefused reports whether the endpoint has refused an opening packet lately and shown no sign of life since.
func (v *server) hasRefused(now time.Time) bool {
	return !v.refusedAt.IsZero() && v.refusedAt.After(v.progressAt) && now.Sub(v.refusedAt) <= silentFor
}

// HearReport takes the loads and the evidence of another balancer into account.
func (f *Forwarder) HearReport(now time.Time, r *Report, from Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot == nil {
		return
	}
	if !r.IsPartial {
		f.hearLoads(now, r, from)
	}
	if from.FailureDomain != f.config.FailureDomain {
		return // its links to the endpoints are others
	}
	for _, cookie := range r.Silences {
		if v := f.byCookie[cookie]; v != nil {
			f.hearSilence(now, v)
		}
	}
}

func (f *Forwarder) hearLoads(now time.Time, r *Report, from Origin) {
	old, isKnown := f.reports[r.Sender]
	if !isKnown && len(f.reports) >= maxReporters {
		return
	}
	f.addRemote(old.loads, -old.scale)
	f.addTold(old.outcomes, -1)
	if !isKnown {
		f.domainOf(from.FailureDomain).reporters++
	}
	heard := heardReport{at: now, loads: r.Loads, failureDomain: from.FailureDomain, scale: f.scaleOf(from)}
	f.addRemote(heard.loads, heard.scale)
	if from.FailureDomain == f.config.FailureDomain {
		heard.outcomes = r.Outcomes
		f.addTold(heard.outcomes, 1)
	}
	f.reports[r.Sender] = heard
}

// hearSilence makes an endpoint suspect that does not answer another balancer.
func (f *Forwarder) hearSilence(now time.Time, v *server) {
	if v.progressAt.After(now.Add(-hearsay)) {
		return
	}
	if v.failures == 0 {
		v.failures = 1
		f.believe(Belief{
			What: EndpointSuspect, Endpoint: v.endpoint.ID, Failures: 1, For: hearsay, Cause: "reported by a balancer",
		})
	}
	v.until = later(v.until, now.Add(hearsay))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Forwarder) addRemote(loads []Load, scale float64) {
	for _, l := range loads {
		if v := f.byCookie[l.Cookie]; v != nil {
			v.remote = max(v.remote+scale*float64(l.Flows), 0)
		}
	}
}

// expireReports forgets balancers that no longer report.
func (f *Forwarder) expireReports(now time.Time) {
	for sender, r := range f.reports {
		if now.Sub(r.at) > reportAge {
			f.addRemote(r.loads, -r.scale)
			f.addTold(r.outcomes, -1)
			f.domainOf(r.failureDomain).reporters--
			delete(f.reports, sender)
		}
	}
}

// indexCookies renews the lookup of servers by their first cookie, and the flows that others have on them.
func (f *Forwarder) indexCookies() {
	f.byCookie = make(map[uint32]*server, len(f.servers))
	for id, v := range f.servers {
		v.remote, v.told = 0, evidence{}
		f.byCookie[directory.Cookie(id, 0)] = v
	}
	for _, r := range f.reports {
		f.addRemote(r.loads, r.scale)
		f.addTold(r.outcomes, 1)
	}
}
