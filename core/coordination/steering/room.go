package steering

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"cornellb/core/coordination/overload"
	"cornellb/core/state/directory"
	"cornellb/core/state/metric"
)

const (
	// roomReportAge is how long the reported requests of a balancer count. They change faster than its flows.
	roomReportAge = 2 * time.Second
	// maxReportRooms keeps a report within one datagram, at up to 11 bytes for each service. A report has loadsPerRoom
	// loads less for each, which take 7 bytes.
	maxReportRooms = 10
	loadsPerRoom   = 2
	// abandonedTime is the time after which a request whose client is silent does not count: the flow has moved to another
	// balancer, or the client has given up. The longest interval between retransmissions is 1.6 s.
	abandonedTime = 2 * time.Second
	// busyTime is the time for which progress shows that an endpoint which fails to answer is full and not dead, in an
	// overload of its service. A full endpoint answers each of 63 balancers about once in 1.3 s.
	busyTime = 3 * time.Second
	// suspectUse is the time for which the slots and requests of a suspect endpoint still count after its last progress.
	suspectUse = time.Second
	// nearSaturation is the utilization of a service from which placement counts requests instead of flows.
	nearSaturation = 0.8
	// responseUse is the utilization up to which response times count as usual ones, without waiting.
	responseUse = 1.0
	// settlingTime is the time after the start in which no flow is refused for lack of room. A balancer that starts adopts
	// flows that their endpoints have closed meanwhile, and takes their retransmissions for requests without an answer until
	// abandonedTime and a sweep have passed; the last reports of it count for roomReportAge more.
	settlingTime = abandonedTime + sweepInterval + roomReportAge
	// admissionSeed makes the admission of a flow independent of other decisions by its hash.
	admissionSeed = 0x6f766572
)

// room is what a balancer knows of the load of a service whose routes differ in priority.
type room struct {
	*overload.Controller
	name        string
	hash        uint32 // of the name, in reports
	routes      []*directory.Route
	updatedAt   time.Time
	outstanding float64       // requests of all balancers
	flows       float64       // flows of all balancers
	response    time.Duration // usual response time
	openTime    time.Duration // usual time from an opening packet to the client's next one: the way over all links
	isLogged    bool          // as overloaded
}

func roomHash(service string) uint32 { return uint32(xxhash.Sum64String(service)) }

// setRooms updates the rooms from the routes of the snapshot. A service with the same priorities as before keeps its
// room.
func (f *Forwarder) setRooms() {
	if f.roomsOf == f.snapshot.Configuration {
		return
	}
	f.roomsOf = f.snapshot.Configuration
	routes := make(map[string][]*directory.Route)
	for i := range f.roomsOf.Routes {
		r := &f.roomsOf.Routes[i]
		for _, t := range r.Targets {
			routes[t.Service] = append(routes[t.Service], r)
		}
	}
	former := f.rooms
	f.rooms = make(map[string]*room)
	for name, list := range routes {
		var priorities []int
		for _, r := range list {
			priorities = append(priorities, r.Priority)
		}
		c := overload.New(priorities)
		if !c.IsActive() {
			continue
		}
		r := former[name]
		if r == nil || !slices.Equal(r.Priorities(), c.Priorities()) {
			r = &room{Controller: c, name: name, hash: roomHash(name)}
		}
		r.routes = list
		f.rooms[name] = r
	}
	for name, r := range former {
		if r.isLogged && f.rooms[name] != r {
			f.addHealthEvent(HealthEvent{Event: ServiceHasRoom, Service: name, Cause: "priorities changed"})
		}
	}
}

// admits reports whether a new flow of a route may be opened at the present load of the service.
func (f *Forwarder) admits(now time.Time, route *directory.Route, service string, k FlowKey) bool {
	r := f.rooms[service]
	if r == nil {
		return true
	}
	f.refreshRoom(now, r)
	if !f.config.RefusesFlows || now.Sub(f.configuredAt) < settlingTime || r.Admits(route.Priority, cmp.Or(route.Aim, route.Timeout), seededFraction(k, admissionSeed)) {
		return true
	}
	f.recorder.Count(metric.NoRoom, strconv.Itoa(route.Priority), 1)
	return false
}

// refreshRoom updates the load of a service unless it is recent enough.
func (f *Forwarder) refreshRoom(now time.Time, r *room) {
	s := f.serviceNamed(now, r.name)
	if !r.updatedAt.IsZero() && now.Sub(r.updatedAt) < s.sumsAge() {
		return
	}
	r.updatedAt = now
	own, flows, slots := f.ownRequests(now, s, false)
	if slots == 0 {
		own, flows, slots = f.ownRequests(now, s, true)
	}
	l := f.reportedRequests(now, r)
	l.Own, l.Slots = own, slots
	r.outstanding, r.flows = l.Outstanding(), flows
	if r.Utilization() < responseUse || r.response == 0 {
		r.response = f.usualResponse(r)
	}
	l.Response = r.response
	if underWay := min(r.openTime, r.response/2); underWay > 0 {
		l.Slots *= float64(r.response) / float64(r.response-underWay)
	}
	r.Update(now, &l)
	if r.IsOverloaded() == r.isLogged {
		return
	}
	r.isLogged = r.IsOverloaded()
	event := HealthEvent{Event: ServiceHasRoom, Service: r.name, Cause: fmt.Sprintf("utilization %.2f", r.Utilization())}
	if r.isLogged {
		event.Event = ServiceOverloaded
	}
	f.addHealthEvent(event)
}

// recordOpenTime learns how long the packets of a service take on their way. In that time a request is at no endpoint, but
// has no answer yet, so that a service at full use has as many more of them. At most half of the response time counts.
func (f *Forwarder) recordOpenTime(v *endpointState, d time.Duration) {
	if r := f.rooms[v.endpoint.Service]; r != nil && r.response > 0 && r.Utilization() < responseUse {
		r.openTime += time.Duration(smoothingFactor * float64(min(d, r.response)-r.openTime))
	}
}

// ownRequests returns the requests of this balancer that wait for an answer, the flows of all balancers, and the slots,
// on the endpoints that may get new flows. Endpoints that are not in use are left out, with their slots, unless
// withUnused is set.
func (f *Forwarder) ownRequests(now time.Time, s *service, withUnused bool) (own int, flows, slots float64) {
	for _, g := range s.groups {
		if !f.isOpenGroup(g) {
			continue
		}
		for _, v := range g.endpoints {
			if !withUnused && !v.isInUse(now) {
				continue
			}
			own += v.requests()
			flows += float64(v.flows) + v.remoteFlows
			slots += float64(max(v.endpoint.Slots, 1)) * f.speedOf(now, v)
		}
	}
	return own, flows, slots
}

// isInUse reports whether the endpoint counts for the load of its service. Suspect endpoints do only if they have made
// progress lately. Cold endpoints whose flows are limited do not, as most flows may not use their slots.
func (v *endpointState) isInUse(now time.Time) bool {
	return !v.isLimited(now) && (v.failures == 0 || now.Sub(v.progressAt) <= suspectUse)
}

// requests returns the requests of this balancer on the endpoint without an answer. A flow that is opening counts as
// one, since its client sends the first request at once.
func (v *endpointState) requests() int {
	return max(v.waitingFlows-v.abandonedFlows, 0) + v.openingFlows
}

// reportedRequests sums up what other balancers have reported lately.
func (f *Forwarder) reportedRequests(now time.Time, r *room) overload.Load {
	var l overload.Load
	for _, report := range f.reports {
		if now.Sub(report.at) > roomReportAge {
			continue
		}
		l.Reporters++
		for _, x := range report.rooms {
			if x.Service == r.hash {
				l.Reported += x.Outstanding
			}
		}
	}
	for name, d := range f.domains {
		switch {
		case name == f.config.FailureDomain:
			l.Others += max(d.members-1, d.reporters)
		case d.reporters > 0:
			l.Others += max(d.members, d.reporters)
		}
	}
	return l
}

// usualResponse returns the mean time to the first byte over the routes of a service. It is 0 if none is known.
func (f *Forwarder) usualResponse(r *room) time.Duration {
	sum, n := 0.0, 0
	for _, route := range r.routes {
		if u := f.baselines[route.Address]; u != nil && u.isKnown() {
			sum += u.firstByteSeconds
			n++
		}
	}
	return time.Duration(sum / float64(max(n, 1)) / max(r.Utilization(), 1) * float64(time.Second))
}

// tickRooms updates the overloaded services, also those that get no more flows.
func (f *Forwarder) tickRooms(now time.Time) {
	if f.snapshot == nil {
		return
	}
	for _, r := range f.rooms {
		if r.isLogged {
			f.refreshRoom(now, r)
		}
	}
}

// OverloadedServices returns the number of services that refuse flows, or have done so a moment ago.
func (f *Forwarder) OverloadedServices() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, r := range f.rooms {
		if r.isLogged {
			n++
		}
	}
	return n
}

// roomsToReport returns the requests of this balancer without an answer by service, for the services with the most. As in
// the sums for its own decisions, endpoints that get no new flows do not count.
func (f *Forwarder) roomsToReport(now time.Time) []ServiceRoom {
	if len(f.rooms) == 0 {
		return nil
	}
	counts := make(map[string]int)
	for _, v := range f.endpointStates {
		if n := v.requests(); n > 0 && v.isInUse(now) && v.endpoint.IsOpen() && !f.isEvacuated(v.endpoint.FailureDomain) {
			counts[v.endpoint.Service] += n
		}
	}
	var list []ServiceRoom
	for name, n := range counts {
		if r := f.rooms[name]; r != nil {
			list = append(list, ServiceRoom{Service: r.hash, Outstanding: n})
		}
	}
	slices.SortFunc(list, func(a, b ServiceRoom) int {
		return cmp.Or(cmp.Compare(b.Outstanding, a.Outstanding), cmp.Compare(a.Service, b.Service))
	})
	return list[:min(len(list), maxReportRooms)]
}

// requestCost returns what is added to the cost of an endpoint near the saturation of its service. The flows of this
// balancer then count by its requests that wait for an answer there: a long-lived flow without one takes no slot. The
// flows of others keep their weight, since their requests are not reported by endpoint.
func (f *Forwarder) requestCost(now time.Time, v *endpointState) float64 {
	r := f.rooms[v.endpoint.Service]
	if r == nil || r.Utilization() < nearSaturation || r.outstanding <= 0 {
		return 0
	}
	flowsPerRequest := max(r.flows/r.outstanding, 1)
	capacity := float64(max(v.endpoint.Slots, 1)) * f.placementSpeed(now, v) // as in loadOf, so that the flows cancel out
	return (flowsPerRequest*float64(v.requests()) - float64(v.flows)) / capacity
}

// isBusy reports whether an endpoint that does not answer, or refuses flows, is likely to be full: its service is
// overloaded, and it has answered lately. Then most endpoints fail to answer at times. If each failure doubled the time
// without new flows, few endpoints would get all of them.
func (f *Forwarder) isBusy(now time.Time, v *endpointState) bool {
	r := f.rooms[v.endpoint.Service]
	return r != nil && r.Utilization() > overload.FullUse && now.Sub(v.progressAt) <= busyTime
}
