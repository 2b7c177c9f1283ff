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
	// maxReportLoads keeps a report within one datagram, at up to 8 bytes each.
	maxReportLoads = 120
	// maxReportSilent does the same for silent endpoints.
	maxReportSilent = 20
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
	Sender member.Incarnation
	Loads  []Load
	Silent []uint32 // first cookies of endpoints that do not answer the sender
}

type heardReport struct {
	at    time.Time
	loads []Load
}

// Report returns the present loads of this balancer, the largest first if there are too many.
func (f *Forwarder) Report(now time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Report{}
	for id, v := range f.servers {
		cookie := directory.Cookie(id, 0)
		if v.flows > 0 {
			r.Loads = append(r.Loads, Load{Cookie: cookie, Flows: v.flows})
		}
		if v.failures > 0 && now.Before(v.suspectUntil) && len(r.Silent) < maxReportSilent {
			r.Silent = append(r.Silent, cookie)
		}
	}
	slices.SortFunc(r.Loads, func(a, b Load) int { return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cookie, b.Cookie)) })
	r.Loads = r.Loads[:min(len(r.Loads), maxReportLoads)]
	return r
}

// HearReport takes the loads of another balancer into account.
func (f *Forwarder) HearReport(now time.Time, r *Report) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot == nil {
		return
	}
	old, isKnown := f.reports[r.Sender]
	if !isKnown && len(f.reports) >= maxReporters {
		return
	}
	f.addRemote(old.loads, -1)
	f.addRemote(r.Loads, 1)
	f.reports[r.Sender] = heardReport{at: now, loads: r.Loads}
	for _, cookie := range r.Silent {
		if v := f.byCookie[cookie]; v != nil && !v.progressAt.After(now.Add(-hearsay)) {
			if v.failures == 0 {
				v.failures = 1
				f.believe(Belief{
					What: "endpoint suspect", Endpoint: v.endpoint.ID, Failures: 1, For: hearsay, Cause: "reported by a balancer",
				})
			}
			v.suspectUntil = later(v.suspectUntil, now.Add(hearsay))
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (f *Forwarder) addRemote(loads []Load, sign int) {
	for _, l := range loads {
		if v := f.byCookie[l.Cookie]; v != nil {
			v.remote = max(v.remote+sign*l.Flows, 0)
		}
	}
}

// expireReports forgets balancers that no longer report.
func (f *Forwarder) expireReports(now time.Time) {
	for sender, r := range f.reports {
		if now.Sub(r.at) > reportAge {
			f.addRemote(r.loads, -1)
			delete(f.reports, sender)
		}
	}
}

// indexCookies renews the lookup of servers by their first cookie, and the flows that others have on them.
func (f *Forwarder) indexCookies() {
	f.byCookie = make(map[uint32]*server, len(f.servers))
	for id, v := range f.servers {
		v.remote = 0
		f.byCookie[directory.Cookie(id, 0)] = v
	}
	for _, r := range f.reports {
		f.addRemote(r.loads, 1)
	}
}
