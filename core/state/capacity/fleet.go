package capacity

import (
	"fmt"
	"math"
)

// Fleet contains the sizes and rates of the fleet for which the model is computed.
type Fleet struct {
	Balancers      float64
	Endpoints      float64
	Addresses      float64 // service addresses, each with its own pool
	Flows          float64 // open at the same time
	NewFlows       float64 // per second
	Regions        float64
	Domains        float64 // failure domains
	Changes        float64 // changes of the tables per day
	Failed         float64 // hosts that fail per day
	Restarted      float64 // hosts restarted or replaced per day
	PacketsPerFlow float64 // caller packets over the life of a flow; assumed, since the planned sizes do not state it
}

// TwoYearForecast returns the fleet size that docs/design.md plans for in two years.
func TwoYearForecast() Fleet {
	return Fleet{
		Balancers: 12_000, Endpoints: 130_000, Addresses: 13_000, Flows: 190e6, NewFlows: 1.3e6, Regions: 5, Domains: 17,
		Changes: 26_000, Failed: 550, Restarted: 9_800, PacketsPerFlow: 3,
	}
}

// Scaled returns a fleet whose sizes and rates are multiplied by factor. The numbers of regions and failure domains and
// the packets per flow do not change.
func (f Fleet) Scaled(factor float64) Fleet {
	for _, x := range []*float64{
		&f.Balancers, &f.Endpoints, &f.Addresses, &f.Flows, &f.NewFlows, &f.Changes, &f.Failed, &f.Restarted,
	} {
		*x *= factor
	}
	return f
}

// FleetError reports a size that is not positive and finite.
type FleetError struct {
	Size string
}

func (e *FleetError) Error() string { return fmt.Sprintf("%s must be positive and finite", e.Size) }

// Check returns a *FleetError if a size is not positive and finite.
func (f Fleet) Check() error {
	for _, x := range []struct {
		name  string
		value float64
	}{
		{"balancers", f.Balancers}, {"endpoints", f.Endpoints}, {"addresses", f.Addresses}, {"flows", f.Flows},
		{"new flows", f.NewFlows}, {"regions", f.Regions}, {"failure domains", f.Domains}, {"changes", f.Changes},
		{"failed hosts", f.Failed}, {"restarted hosts", f.Restarted}, {"packets per flow", f.PacketsPerFlow},
	} {
		if !(x.value > 0) || math.IsInf(x.value, 0) {
			return &FleetError{Size: x.name}
		}
	}
	return nil
}

// Budgets of a node and limits of the platform. They apply at every fleet size.
const (
	BudgetCore    = 1.7     // % of a core for control work, per node
	BudgetMemory  = 128     // MB for control work, per node
	BudgetBytes   = 4096    // bytes per second of control traffic, per node
	BudgetInForce = 4       // s until a change is in force everywhere
	LimitReads    = 2000    // calls of the platform's API per second; an open watch counts as one call
	LimitWrites   = 300     // calls that write, per second; the lower end of several hundred
	LimitValue    = 1 << 20 // bytes of a value in the platform's store
)

// Parameters of the model. Those with a reference copy a constant of another package and must be changed together with
// it.
const (
	ticksPerSecond      = 20   // io/transport/host.tickInterval
	hostListInterval    = 2    // s, io/transport/host.hostListInterval
	statusInterval      = 5    // s, io/transport/platform.StatusInterval
	historyLimit        = 8    // previous versions kept, core/coordination/configuration.historyLimit
	readersPerDomain    = 2    // core/coordination/configuration.ReaderCount
	versionFanout       = 6    // core/coordination/membership.versionFanout
	viewSpacingMicros   = 20   // us for each member, least time between views; core/coordination/membership.publish
	restartInterval     = 9    // s between the restarts in the benchmark of the slope gossip_restarts
	viewsPerEvent       = 3    // of a failed or restarted host: leaving or suspect, left or dead, and the new process
	maxRememberedDead   = 4096 // dead members in the view, and as many remembered removed ones; core/coordination/membership
	secondsPerDay       = 86_400
	nanosPerSecond      = 1e9
	base64Overhead      = 4.0 / 3 // encoded bytes per byte
	payloadBytes        = 200     // payload of each packet in the model
	handoverRecords     = 8       // records of completed requests for each flow in a handover
	heapGrowthFactor    = 2       // the heap grows to twice the live heap before a garbage collection (GOGC=100)
	outageSeconds       = 3600    // s, duration of the platform outage and of the region cut
	reconnectSeconds    = 5       // s within which the callers of a lost failure domain open their flows again
	lostDomainBalancers = 700     // in the lost failure domain
)

// model computes quantities of a fleet from slopes, and records how reliable the slopes are that were used.
type model struct {
	Fleet
	slopes       *Slopes
	extrapolated bool // a slope other than a flat one was evaluated beyond its largest measured size
	noisy        bool // a slope was evaluated whose runs differ by more than noisySpread
}

// at evaluates a slope at a size.
func (m *model) at(name string, size float64) float64 {
	x := m.slopes.byName[name]
	m.extrapolated = m.extrapolated || x.Growth != GrowthFlat && size > x.Points[len(x.Points)-1].Size
	m.noisy = m.noisy || x.Spread() > noisySpread
	return x.At(size)
}

func (m *model) changeRate() float64     { return m.Changes / secondsPerDay }
func (m *model) eventRate() float64      { return (m.Failed + m.Restarted) / secondsPerDay }
func (m *model) domainMembers() float64  { return m.Balancers / m.Domains }
func (m *model) flowsPerNode() float64   { return m.Flows / m.Balancers }
func (m *model) packetsPerNode() float64 { return m.NewFlows * m.PacketsPerFlow / m.Balancers }
func (m *model) shards() float64         { return m.at("shards", m.Endpoints) }
func (m *model) hosts() float64          { return m.Balancers + m.Endpoints }
func (m *model) readers() float64        { return readersPerDomain * m.Domains }

// tableUpdateTime is the time in s to make and apply the difference of one change, and to join, validate and index the
// tables.
func (m *model) tableUpdateTime() float64 {
	sum := 0.0
	for _, step := range []string{"change_make", "change_apply", "join_time", "validate_time", "index_time"} {
		sum += m.at(step, m.Endpoints)
	}
	return sum / nanosPerSecond
}

// applyTime is the time in s that one change takes at a node, including the assignment of pool shards to owners.
func (m *model) applyTime() float64 {
	return m.tableUpdateTime() + m.at("arrange_tables", m.Endpoints)/nanosPerSecond
}

func (m *model) viewTime() float64 {
	return (m.at("view_time", m.Balancers) + m.at("arrange_view", m.Balancers)) / nanosPerSecond
}

// inForce is the time in s from the write of the head until the last balancer has a change in force. A balancer
// announces a version by gossip only after it fetched and applied it, so each gossip hop adds applyTime.
func (m *model) inForce() float64 {
	hops := 1 + math.Log(m.Balancers)/math.Log(1+versionFanout)
	return m.at("tables_spread", m.Balancers) + hops*m.applyTime()
}

// tableBytes is the bytes per second that a node sends for table changes: on average, one request and one reply with
// the difference for each change.
func (m *model) tableBytes() float64 {
	return (m.at("change_request", m.Endpoints) + m.at("change_reply", m.Endpoints)) * m.changeRate()
}

// uncompressedTableBytes is the traffic that tableBytes would be if uncompressed heads and segments were sent instead
// of differences, as they were before differences were introduced.
func (m *model) uncompressedTableBytes() float64 {
	return (m.at("tables_request", m.Endpoints) + m.at("tables_reply", m.Endpoints)) * m.changeRate()
}

func (m *model) gossipBytes() float64 {
	quiet := m.at("gossip_quiet", m.Balancers)
	return quiet + (m.at("gossip_restarts", m.Balancers)-quiet)*m.eventRate()*restartInterval
}

// joinSize is the bytes that one joining process fetches: the member list and the tables.
func (m *model) joinSize() float64 {
	return m.at("members_list", m.Balancers) + m.at("whole_flate", m.Endpoints)
}

// joinBytes is the bytes per second that joining processes fetch, as the mean over all nodes and the day.
func (m *model) joinBytes() float64 { return m.joinSize() * m.eventRate() / m.Balancers }

func (m *model) handoverPerNode() float64 {
	return m.flowsPerNode() * m.at("handover_bytes", handoverRecords)
}

func (m *model) handoverBytes() float64 {
	return m.handoverPerNode() * m.Restarted / secondsPerDay / m.Balancers
}

func (m *model) hostListBytes() float64 { return m.at("host_list_bytes", m.hosts()) / hostListInterval }

func (m *model) controlBytes() float64 {
	return m.tableBytes() + m.gossipBytes() + m.joinBytes() + m.handoverBytes()
}

func (m *model) gossipRate() float64 {
	events := m.at("join_messages", m.Balancers) + m.at("leave_messages", m.Balancers)
	return m.at("gossip_messages", m.Balancers) + events*m.eventRate()/m.Balancers
}

// gossipCore, viewCore, tableCore, hostListCore and tickCore return the processor time as % of a core.
func (m *model) gossipCore() float64 {
	return 100 / nanosPerSecond *
		(ticksPerSecond*m.at("gossip_tick", m.Balancers) + m.gossipRate()*m.at("gossip_news", m.Balancers))
}

func (m *model) viewCore() float64  { return 100 * m.viewTime() * m.eventRate() * viewsPerEvent }
func (m *model) tableCore() float64 { return 100 * m.applyTime() * m.changeRate() }

func (m *model) hostListCore() float64 {
	return 100 / nanosPerSecond * m.at("host_list_time", m.hosts()) / hostListInterval
}

func (m *model) tickCore() float64 {
	shards := m.shards() / m.Balancers
	return 100 / nanosPerSecond * ticksPerSecond * shards * m.at("owner_tick", m.flowsPerNode()/max(1, shards))
}

func (m *model) controlCore() float64 {
	return m.gossipCore() + m.viewCore() + m.tableCore() + m.hostListCore() + m.tickCore()
}

const megabyte = 1e6

func (m *model) memberMemory() float64 { return m.at("member_memory", m.Balancers) / megabyte }

// tableMemory is the live heap in MB while a change is applied. The old and the new version share their unchanged
// segments; the previous versions in the history keep the segments that were replaced.
func (m *model) tableMemory() float64 {
	current := m.at("tables_memory", m.Endpoints) + m.at("layout_memory", m.Endpoints)
	history := historyLimit *
		(m.at("tables_memory", m.Endpoints)/m.at("segments", m.Endpoints) + m.at("head_bytes", m.Endpoints))
	return (current + history + m.at("tables_joined", m.Endpoints) + m.at("layout_memory", m.Endpoints)) / megabyte
}

func (m *model) controlMemory() float64 {
	return heapGrowthFactor * (m.memberMemory() + m.tableMemory())
}

func (m *model) bootstrapReads() float64 { return 1 + m.at("segments", m.Endpoints) }

// statusRate is the number of status writes per second by all readers together.
func (m *model) statusRate() float64 {
	updateRate := m.changeRate() + m.eventRate()/m.Domains
	return m.readers() * min(1/float64(statusInterval), updateRate)
}

func (m *model) hostListReads() float64 {
	owners := m.Balancers * min(1, m.shards()/m.Balancers)
	return owners / hostListInterval
}

func (m *model) platformReads() float64 {
	perChange := m.at("reader_reads", m.Endpoints) + m.at("reader_watches", m.Endpoints)
	return m.readers() + m.readers()*perChange*m.changeRate() + m.statusRate()*m.at("status_reads", m.domainMembers()) +
		m.changeRate()*m.at("command_reads", m.Endpoints) + m.eventRate()*m.bootstrapReads() + m.hostListReads()
}

func (m *model) platformWrites() float64 {
	return m.changeRate()*m.at("command_writes", m.Endpoints) + m.statusRate()*m.at("status_writes", m.domainMembers())
}
