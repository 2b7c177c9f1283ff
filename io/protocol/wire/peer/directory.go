package peer

import (
	"errors"
	"math"
	"time"

	"google.golang.org/protobuf/proto"

	"cornellb/core/coordination/discovery"
	"cornellb/core/coordination/spread"
	"cornellb/core/coordination/steering"
	"cornellb/core/state/directory"
	"cornellb/core/state/member"
)

// Limits of received messages.
const (
	maxChanges       = 64
	maxReportEntries = 256
	maxEndpoints     = 1 << 20
	maxRoutes        = 1 << 20
	maxEvacuations   = 1 << 10
)

// DirectoryUpdate holds the configuration and the endpoints of a balancer that are newer than those of a requester,
// each in full or as a difference.
type DirectoryUpdate struct {
	Configuration *directory.Configuration // in force; nil if the requester's is as new, or if Difference is set
	Difference    *directory.Difference    // from the requester's configuration; used instead of Configuration
	Era           uint64                   // of Revision and the changes
	Revision      uint64                   // 0 if the requester's endpoints are as new
	ChangesOnly   bool                     // whether Changes is used instead of Endpoints
	Changes       []discovery.Change       // all after the requester's revision
	Endpoints     []directory.Endpoint     // all that are registered at Revision
	LapsedFor     time.Duration            // how long endpoints whose registration lapsed during an outage stay usable

	Evacuations    *directory.Evacuations // nil if unknown
	EvacuationsAge time.Duration          // since they were last known to be the newest
}

// DirectoryQuery says what the balancer that asks for a DirectoryUpdate has.
type DirectoryQuery struct {
	Version     uint64             // of its configuration
	Endpoints   directory.Position // of its endpoints
	Evacuations directory.Position // of its evacuations
}

// NewDirectoryRequest converts a query to its message.
func NewDirectoryRequest(q DirectoryQuery) *DirectoryRequest {
	return &DirectoryRequest{
		Version: q.Version, Era: q.Endpoints.Era, Revision: q.Endpoints.Revision,
		EvacuationsAt: &Evacuations{Era: q.Evacuations.Era, Revision: q.Evacuations.Revision},
	}
}

// Core converts the message to a query.
func (x *DirectoryRequest) Core() DirectoryQuery {
	return DirectoryQuery{
		Version:     x.GetVersion(),
		Endpoints:   directory.Position{Era: x.GetEra(), Revision: x.GetRevision()},
		Evacuations: directory.Position{Era: x.GetEvacuationsAt().GetEra(), Revision: x.GetEvacuationsAt().GetRevision()},
	}
}

func newEvacuations(e *directory.Evacuations) *Evacuations {
	if e == nil {
		return nil
	}
	return &Evacuations{Era: e.Era, Revision: e.Revision, FailureDomains: e.Domains}
}

func (c *checker) evacuations(x *Evacuations) *directory.Evacuations {
	if x == nil || !c.checkLimit("evacuations", len(x.GetFailureDomains()), maxEvacuations) {
		return nil
	}
	e := &directory.Evacuations{
		Position: directory.Position{Era: x.GetEra(), Revision: x.GetRevision()}, Domains: x.GetFailureDomains(),
	}
	c.checkEntry("evacuations", e.Validate())
	return e
}

func toMilliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

func fromMilliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// AppendAnnouncement appends the encoded announcement to dst and returns the extended slice. It fails if a name is not
// valid UTF-8.
func AppendAnnouncement(dst []byte, a *spread.Announcement, now time.Time) ([]byte, error) {
	x := &Announcement{
		Reader: uint64(a.Reader), Sequence: a.Sequence, Version: a.Version, VersionAgeMs: toMilliseconds(a.VersionAge),
		Revision: a.Revision, RevisionAgeMs: toMilliseconds(a.RevisionAge), Base: a.Base,
		LapsedMs: toMilliseconds(a.LapsedFor), Era: a.Era, Evacuations: newEvacuations(a.Evacuations),
		EvacuationsAgeMs: toMilliseconds(a.EvacuationsAge),
	}
	x.Changes = newChanges(a.Changes, now)
	return proto.MarshalOptions{}.MarshalAppend(dst, x)
}

func newChanges(changes []discovery.Change, now time.Time) []*EndpointChange {
	list := make([]*EndpointChange, 0, len(changes))
	for _, c := range changes {
		e := &EndpointChange{Id: c.ID, Revision: c.Revision}
		if c.Endpoint != nil {
			e.Endpoint = newEndpoint(c.Endpoint, now)
		}
		list = append(list, e)
	}
	return list
}

func (c *checker) changes(list []*EndpointChange, limit int, now time.Time) []discovery.Change {
	if !c.checkLimit("changes", len(list), limit) {
		return nil
	}
	var changes []discovery.Change
	for _, e := range list {
		change := discovery.Change{ID: e.GetId(), Revision: e.GetRevision()}
		if change.ID == "" || len(change.ID) > directory.MaxNameBytes {
			c.fail("changes.id", ReasonOutOfRange)
		}
		if e.GetEndpoint() != nil {
			change.Endpoint = c.endpoint(e.GetEndpoint(), now)
		}
		changes = append(changes, change)
	}
	return changes
}

// DecodeAnnouncement decodes and checks an announcement. The error is a *DecodeError.
func DecodeAnnouncement(b []byte, now time.Time) (*spread.Announcement, error) {
	c := checker{message: "Announcement"}
	var x Announcement
	if err := proto.Unmarshal(b, &x); err != nil {
		return nil, &DecodeError{Message: "Announcement", Reason: ReasonMalformed}
	}
	if x.GetReader() == 0 || x.GetSequence() == 0 {
		c.fail("reader", ReasonMissing)
	}
	a := &spread.Announcement{
		Reader: member.Incarnation(x.GetReader()), Sequence: x.GetSequence(), Version: x.GetVersion(),
		VersionAge: fromMilliseconds(x.GetVersionAgeMs()), Revision: x.GetRevision(),
		RevisionAge: fromMilliseconds(x.GetRevisionAgeMs()), Base: x.GetBase(), LapsedFor: fromMilliseconds(x.GetLapsedMs()),
		Era: x.GetEra(), EvacuationsAge: fromMilliseconds(x.GetEvacuationsAgeMs()),
	}
	a.Evacuations = c.evacuations(x.GetEvacuations())
	a.Changes = c.changes(x.GetChanges(), maxChanges, now)
	if c.err != nil {
		return nil, c.err
	}
	return a, nil
}

// checkEntry reports the field of an *directory.InvalidError. err may be nil.
func (c *checker) checkEntry(entry string, err error) {
	var invalid *directory.InvalidError
	if errors.As(err, &invalid) {
		c.fail(entry+"."+invalid.Field, ReasonOutOfRange)
	}
}

func newEndpoint(e *directory.Endpoint, now time.Time) *Endpoint {
	x := &Endpoint{
		Id: e.ID, Number: e.Number, Service: e.Service, FailureDomain: e.FailureDomain, Address: encodeAddress(e.Address),
		Slots: uint32(e.Slots), Leaving: e.IsLeaving, StartedAt: e.StartedAt,
	}
	if e.WarmAt.After(now) {
		x.ColdMs = toMilliseconds(e.WarmAt.Sub(now))
	}
	return x
}

func (c *checker) endpoint(x *Endpoint, now time.Time) *directory.Endpoint {
	e := &directory.Endpoint{
		ID: x.GetId(), Number: x.GetNumber(), Service: x.GetService(), FailureDomain: x.GetFailureDomain(),
		Address: c.address("endpoint.address", x.GetAddress(), true), Slots: int(min(x.GetSlots(), math.MaxInt32)),
		IsLeaving: x.GetLeaving(), StartedAt: x.GetStartedAt(),
	}
	c.checkEntry("endpoint", e.Validate())
	if x.GetColdMs() > 0 {
		e.WarmAt = now.Add(fromMilliseconds(x.GetColdMs()))
	}
	return e
}

// NewDirectoryReply converts a directory to its message.
func NewDirectoryReply(d *DirectoryUpdate, now time.Time) *DirectoryReply {
	x := &DirectoryReply{
		Era: d.Era, Revision: d.Revision, ChangesOnly: d.ChangesOnly, Changes: newChanges(d.Changes, now),
		LapsedMs: toMilliseconds(d.LapsedFor), Evacuations: newEvacuations(d.Evacuations),
		EvacuationsAgeMs: toMilliseconds(d.EvacuationsAge),
	}
	for i := range d.Endpoints {
		x.Endpoints = append(x.Endpoints, newEndpoint(&d.Endpoints[i], now))
	}
	if d.Configuration != nil {
		x.Configuration = newConfiguration(d.Configuration, d.Configuration.Routes)
	}
	if d.Difference != nil {
		x.ConfigurationChange = &ConfigurationChange{
			From: d.Difference.From, To: newConfiguration(&d.Difference.Rest, d.Difference.Put),
		}
		for _, a := range d.Difference.Removed {
			x.ConfigurationChange.Removed = append(x.ConfigurationChange.Removed, encodeAddress(a))
		}
	}
	return x
}

func newConfiguration(c *directory.Configuration, routes []directory.Route) *Configuration {
	x := &Configuration{Version: c.Version, IdleTimeoutMs: toMilliseconds(c.IdleTimeout)}
	for _, r := range routes {
		route := &Route{
			Name: r.Name, Address: encodeAddress(r.Address), Priority: uint32(r.Priority),
			AimMs: toMilliseconds(r.Aim), TimeoutMs: toMilliseconds(r.Timeout),
		}
		for _, t := range r.Targets {
			route.Targets = append(route.Targets, &Target{Service: t.Service, Weight: t.Weight})
		}
		x.Routes = append(x.Routes, route)
	}
	for _, v := range c.Services {
		x.Services = append(x.Services, &Service{
			Name: v.Name, ColdMs: toMilliseconds(v.ColdTime), ColdPerSecond: v.ColdPerSecond, HasColdRate: v.HasColdRate,
		})
	}
	return x
}

// Core checks the message and converts it to a directory. The error is a *DecodeError.
func (x *DirectoryReply) Core(now time.Time) (*DirectoryUpdate, error) {
	c := checker{message: "DirectoryReply"}
	d := &DirectoryUpdate{
		Era: x.GetEra(), Revision: x.GetRevision(), ChangesOnly: x.GetChangesOnly(),
		LapsedFor: fromMilliseconds(x.GetLapsedMs()), EvacuationsAge: fromMilliseconds(x.GetEvacuationsAgeMs()),
	}
	d.Evacuations = c.evacuations(x.GetEvacuations())
	d.Changes = c.changes(x.GetChanges(), maxEndpoints, now)
	if !c.checkLimit("endpoints", len(x.GetEndpoints()), maxEndpoints) {
		return nil, c.err
	}
	for _, e := range x.GetEndpoints() {
		d.Endpoints = append(d.Endpoints, *c.endpoint(e, now))
	}
	if x.GetConfiguration() != nil {
		d.Configuration = c.configuration(x.GetConfiguration())
	}
	if x.GetConfigurationChange() != nil {
		d.Difference = c.difference(x.GetConfigurationChange())
	}
	if c.err != nil {
		return nil, c.err
	}
	return d, nil
}

func (c *checker) configuration(x *Configuration) *directory.Configuration {
	r := &directory.Configuration{Version: x.GetVersion(), IdleTimeout: fromMilliseconds(x.GetIdleTimeoutMs())}
	if r.Version == 0 {
		c.fail("configuration.version", ReasonMissing)
	}
	if !c.checkLimit("configuration.routes", len(x.GetRoutes()), maxRoutes) {
		return nil
	}
	for _, route := range x.GetRoutes() {
		y := directory.Route{
			Name: route.GetName(), Address: c.address("route.address", route.GetAddress(), true),
			Priority: int(min(route.GetPriority(), directory.MaxPriority)), Aim: fromMilliseconds(route.GetAimMs()),
			Timeout: fromMilliseconds(route.GetTimeoutMs()),
		}
		for _, t := range route.GetTargets() {
			y.Targets = append(y.Targets, directory.Target{Service: t.GetService(), Weight: t.GetWeight()})
		}
		c.checkEntry("route", y.Validate())
		r.Routes = append(r.Routes, y)
	}
	if !c.checkLimit("configuration.services", len(x.GetServices()), maxRoutes) {
		return nil
	}
	for _, v := range x.GetServices() {
		y := directory.Service{
			Name: v.GetName(), ColdTime: fromMilliseconds(v.GetColdMs()), ColdPerSecond: v.GetColdPerSecond(),
			HasColdRate: v.GetHasColdRate(),
		}
		c.checkEntry("service", y.Validate())
		r.Services = append(r.Services, y)
	}
	return r
}

func (c *checker) difference(x *ConfigurationChange) *directory.Difference {
	to := c.configuration(x.GetTo())
	if to == nil || !c.checkLimit("configuration_change.removed", len(x.GetRemoved()), maxRoutes) {
		return nil
	}
	if x.GetFrom() == 0 || x.GetFrom() >= to.Version {
		c.fail("configuration_change.from", ReasonOutOfRange)
	}
	d := &directory.Difference{From: x.GetFrom(), To: to.Version, Put: to.Routes, Rest: *to}
	d.Rest.Routes = nil
	for _, a := range x.GetRemoved() {
		d.Removed = append(d.Removed, c.unicastAddress("configuration_change.removed", a, true))
	}
	return d
}

// AppendLoadReport appends the encoded report to dst and returns the extended slice.
func AppendLoadReport(dst []byte, r *steering.Report) ([]byte, error) {
	x := &LoadReport{Sender: uint64(r.Sender), Partial: r.IsPartial, Silences: r.Silences}
	for _, l := range r.Loads {
		x.Cookies = append(x.Cookies, l.Cookie)
		x.Flows = append(x.Flows, uint32(l.Flows))
	}
	for _, o := range r.Outcomes {
		x.Outcomes = append(x.Outcomes, &Outcome{Cookie: o.Cookie, GoodTenths: toTenths(o.Good), BadTenths: toTenths(o.Bad)})
	}
	for _, s := range r.Speeds {
		x.Speeds = append(x.Speeds, &Speed{
			Cookie: s.Cookie, SampleTenths: toTenths(s.Samples),
			RatioHundredths: uint32(math.Round(100 * min(max(s.Ratio, 0), maxReportedRatio))),
		})
	}
	for _, v := range r.Rooms {
		x.Rooms = append(x.Rooms, &Room{Service: v.Service, Outstanding: uint32(min(max(v.Outstanding, 0), maxReportedFlows))})
	}
	return proto.MarshalOptions{}.MarshalAppend(dst, x)
}

func toTenths(requests float64) uint32 {
	return uint32(math.Round(10 * min(max(requests, 0), maxReportedRequests)))
}

func fromTenths(tenths uint32) float64 { return min(float64(tenths)/10, maxReportedRequests) }

// DecodeLoadReport decodes and checks a report. The error is a *DecodeError.
func DecodeLoadReport(b []byte) (*steering.Report, error) {
	c := checker{message: "LoadReport"}
	var x LoadReport
	if err := proto.Unmarshal(b, &x); err != nil {
		return nil, &DecodeError{Message: "LoadReport", Reason: ReasonMalformed}
	}
	if x.GetSender() == 0 {
		c.fail("sender", ReasonMissing)
	}
	c.checkLimit("cookies", len(x.GetCookies()), maxReportEntries)
	if len(x.GetFlows()) != len(x.GetCookies()) {
		c.fail("flows", ReasonWrongLength)
	}
	c.checkLimit("silences", len(x.GetSilences()), maxReportEntries)
	c.checkLimit("outcomes", len(x.GetOutcomes()), maxReportEntries)
	c.checkLimit("speeds", len(x.GetSpeeds()), maxReportEntries)
	c.checkLimit("rooms", len(x.GetRooms()), maxReportEntries)
	if c.err != nil {
		return nil, c.err
	}
	r := &steering.Report{
		Sender: member.Incarnation(x.GetSender()), IsPartial: x.GetPartial(), Silences: x.GetSilences(),
	}
	for i, cookie := range x.GetCookies() {
		r.Loads = append(r.Loads, steering.EndpointLoad{Cookie: cookie, Flows: int(min(x.GetFlows()[i], maxReportedFlows))})
	}
	for _, o := range x.GetOutcomes() {
		r.Outcomes = append(r.Outcomes, steering.EndpointOutcomes{
			Cookie: o.GetCookie(), Good: fromTenths(o.GetGoodTenths()), Bad: fromTenths(o.GetBadTenths()),
		})
	}
	for _, s := range x.GetSpeeds() {
		r.Speeds = append(r.Speeds, steering.EndpointSpeed{
			Cookie: s.GetCookie(), Samples: fromTenths(s.GetSampleTenths()),
			Ratio: min(float64(s.GetRatioHundredths())/100, maxReportedRatio),
		})
	}
	for _, v := range x.GetRooms() {
		r.Rooms = append(r.Rooms, steering.ServiceRoom{
			Service: v.GetService(), Outstanding: int(min(v.GetOutstanding(), maxReportedFlows)),
		})
	}
	return r, nil
}

// maxReportedRatio is the largest response time, relative to the usual one, that a peer may report; larger ones are
// reduced to it.
const maxReportedRatio = 100

// maxReportedFlows is the largest number of flows that a peer may report for one endpoint; larger numbers are reduced
// to it.
const maxReportedFlows = 1 << 20

// maxReportedRequests limits the weight of the report of one balancer. It is more than the requests that a balancer
// forwards to one endpoint in some seconds; larger numbers are reduced to it.
const maxReportedRequests = 100
