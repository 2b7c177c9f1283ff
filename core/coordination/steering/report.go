package steering

import (
	"cmp"
	"slices"
	"time"

	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

const (
	// reportAge is how long a report is valid. Reports from a sample of the other balancers arrive about every second.
	reportAge = 10 * time.Second
	// maxReportLoads keeps a report within one datagram, at up to 7 bytes for each load.
	maxReportLoads = 120
	// maxReportSilences does the same for the list of unresponsive endpoints, at 4 bytes each.
	maxReportSilences = 10
	// maxReporters bounds the memory for reports.
	maxReporters = 256
	// reportedSuspicion is how long an endpoint is suspect because another balancer of the failure domain reports it as
	// unresponsive.
	reportedSuspicion = 1500 * time.Millisecond
)

// EndpointLoad is the number of flows of one balancer on one endpoint.
type EndpointLoad struct {
	Cookie uint32 // Cookie(ID, 0) of the endpoint
	Flows  int
}

// EndpointSpeed is the mean response time of one endpoint, relative to the usual one, as one balancer has observed it.
type EndpointSpeed struct {
	Cookie  uint32  // Cookie(ID, 0) of the endpoint
	Samples float64 // number of answers, decayed with time
	Ratio   float64
}

// ServiceRoom is the number of requests of one balancer on one service that have not been answered.
type ServiceRoom struct {
	Service     uint32 // hash of the name
	Outstanding int
}

// Report is what a balancer sends to other balancers: its loads, and its evidence against endpoints.
type Report struct {
	Sender    member.Incarnation
	IsPartial bool // contains only Silences and Speeds; the loads and outcomes of earlier reports stay valid
	Loads     []EndpointLoad
	Silences  []uint32 // Cookie(ID, 0) of endpoints that refuse flows, or do not answer this balancer while others do
	Outcomes  []EndpointOutcomes
	Speeds    []EndpointSpeed
	Rooms     []ServiceRoom
}

// receivedReport is what is kept of another balancer's latest report.
type receivedReport struct {
	at            time.Time
	loads         []EndpointLoad
	outcomes      []EndpointOutcomes // empty if the sender is in another failure domain
	failureDomain string
	rooms         []ServiceRoom
}

// Report returns the present loads of this balancer, the largest first, limited to maxReportLoads, and its evidence
// against endpoints. It excludes what other balancers reported: evidence repeated from one balancer to the next would
// never expire.
func (f *Forwarder) Report(now time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &Report{
		Silences: f.silences(now), Outcomes: f.outcomesToReport(), Speeds: f.speedsToReport(now, false, maxReportSpeeds),
		Rooms: f.roomsToReport(now),
	}
	for id, v := range f.endpointStates {
		if v.flows > 0 {
			r.Loads = append(r.Loads, EndpointLoad{Cookie: directory.Cookie(id, 0), Flows: v.flows})
		}
	}
	slices.SortFunc(r.Loads, func(a, b EndpointLoad) int {
		return cmp.Or(cmp.Compare(b.Flows, a.Flows), cmp.Compare(a.Cookie, b.Cookie))
	})
	r.Loads = r.Loads[:min(len(r.Loads), maxReportLoads-loadsPerRoom*len(r.Rooms))]
	return r
}

// ReportSilences returns a partial report, which lists the unresponsive endpoints only.
func (f *Forwarder) ReportSilences(now time.Time) *Report {
	f.mu.Lock()
	defer f.mu.Unlock()
	return &Report{IsPartial: true, Silences: f.silences(now)}
}

// silences returns Cookie(ID, 0) of endpoints that do not answer this balancer or have refused a flow lately. If there
// are more than a report holds, those whose last report is oldest are included, so that each is included in turn.
func (f *Forwarder) silences(now time.Time) []uint32 {
	var silent []*endpointState
	for v := range f.silentStates {
		if f.isSilent(now, v) || v.hasRefused(now) && !f.isBusy(now, v) {
			silent = append(silent, v)
		}
	}
	slices.SortFunc(silent, func(a, b *endpointState) int { return cmp.Compare(a.endpoint.ID, b.endpoint.ID) })
	if len(silent) > maxReportSilences {
		f.random.Shuffle(len(silent), func(i, j int) { silent[i], silent[j] = silent[j], silent[i] })
		slices.SortStableFunc(silent, func(a, b *endpointState) int { return cmp.Compare(a.lastReport, b.lastReport) })
		silent = silent[:maxReportSilences]
	}
	f.silenceReports++
	var list []uint32
	for _, v := range silent {
		v.lastReport = f.silenceReports
		list = append(list, directory.Cookie(v.endpoint.ID, 0))
	}
	return list
}

// hasRefused reports whether the endpoint has refused an opening packet lately and made no progress since.
func (v *endpointState) hasRefused(now time.Time) bool {
	return !v.refusedAt.IsZero() && v.refusedAt.After(v.progressAt) && now.Sub(v.refusedAt) <= silenceLifetime
}

// ApplyReport takes the loads and the evidence of another balancer into account.
func (f *Forwarder) ApplyReport(now time.Time, r *Report, from Origin) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.snapshot == nil {
		return
	}
	f.warmups.ownership.RecordContact(now, from.FailureDomain)
	if !r.IsPartial {
		f.applyLoads(now, r, from)
	}
	if from.FailureDomain != f.config.FailureDomain {
		return // its network paths to the endpoints differ
	}
	f.applySpeeds(now, r)
	for _, cookie := range r.Silences {
		if v := f.byCookie[cookie]; v != nil {
			f.applySilence(now, v)
		}
	}
}

// applyLoads replaces the loads and outcomes of the sender's former report with those of the new one.
func (f *Forwarder) applyLoads(now time.Time, r *Report, from Origin) {
	_, isKnown := f.reports[r.Sender]
	if !isKnown && len(f.reports) >= maxReporters {
		return
	}
	d := f.domainOf(from.FailureDomain)
	if isKnown {
		f.removeReport(r.Sender)
	}
	d.reporters++
	d.members = from.Members
	f.rescale(from.FailureDomain)
	received := receivedReport{at: now, loads: r.Loads, failureDomain: from.FailureDomain, rooms: r.Rooms}
	f.addRemoteFlows(received.loads, d.scale)
	if from.FailureDomain == f.config.FailureDomain {
		received.outcomes = r.Outcomes
		f.addReported(received.outcomes, 1)
	}
	f.reports[r.Sender] = received
}

// applySilence makes an endpoint suspect that does not answer another balancer, unless it has made progress here
// lately.
func (f *Forwarder) applySilence(now time.Time, v *endpointState) {
	if v.progressAt.After(now.Add(-reportedSuspicion)) {
		return
	}
	if v.failures == 0 {
		v.failures = 1
		f.addHealthEvent(HealthEvent{
			Event: EndpointSuspect, Endpoint: v.endpoint.ID, Failures: 1, For: reportedSuspicion, Cause: "reported by a balancer",
		})
	}
	v.until = later(v.until, now.Add(reportedSuspicion))
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addRemoteFlows adds the loads of a report, multiplied by scale, to the flows of the endpoints.
func (f *Forwarder) addRemoteFlows(loads []EndpointLoad, scale float64) {
	for _, l := range loads {
		if v := f.byCookie[l.Cookie]; v != nil {
			v.remoteFlows = max(v.remoteFlows+scale*float64(l.Flows), 0)
		}
	}
}

// expireReports removes the reports of balancers that no longer report.
func (f *Forwarder) expireReports(now time.Time) {
	for sender, r := range f.reports {
		if now.Sub(r.at) > reportAge {
			f.removeReport(sender)
		}
	}
	for name, d := range f.domains {
		if d.reporters > 0 {
			f.rescale(name)
		}
	}
}

// removeReport removes the report of a balancer. The caller then calls rescale for its failure domain.
func (f *Forwarder) removeReport(sender member.Incarnation) {
	r := f.reports[sender]
	d := f.domainOf(r.failureDomain)
	f.addRemoteFlows(r.loads, -d.scale)
	f.addReported(r.outcomes, -1)
	d.reporters--
	delete(f.reports, sender)
}

// indexCookies rebuilds the lookup of endpoints by Cookie(ID, 0), and recomputes what other balancers report of each
// endpoint.
func (f *Forwarder) indexCookies() {
	f.byCookie = make(map[uint32]*endpointState, len(f.endpointStates))
	for id, v := range f.endpointStates {
		v.remoteFlows, v.reported = 0, evidence{}
		f.byCookie[directory.Cookie(id, 0)] = v
	}
	for _, r := range f.reports {
		f.addRemoteFlows(r.loads, f.domainOf(r.failureDomain).scale)
		f.addReported(r.outcomes, 1)
	}
}
