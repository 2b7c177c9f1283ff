package capacity

import (
	"fmt"
	"math"
)

// Fleet is a size for which the model is computed.
type Fleet struct {
	Balancers      float64
	Endpoints      float64
	Addresses      float64 // service addresses, one pool each
	Flows          float64 // open at a time
	NewFlows       float64 // per second
	Regions        float64
	Domains        float64 // failure domains
	Changes        float64 // of the tables, per day
	Failed         float64 // hosts per day
	Restarted      float64 // hosts restarted or replaced per day
	PacketsPerFlow float64 // of callers, over the life of a flow; an assumption, since no size states it
}

// TwoYears returns the two-year size of docs/design.md.
func TwoYears() Fleet {
	return Fleet{
		Balancers: 12_000, Endpoints: 130_000, Addresses: 13_000, Flows: 190e6, NewFlows: 1.3e6, Regions: 5, Domains: 17,
		Changes: 26_000, Failed: 550, Restarted: 9_800, PacketsPerFlow: 3,
	}
}

// Scaled returns a fleet with the same shape and another size. Regions and failure domains stay.
func (f Fleet) Scaled(factor float64) Fleet {
	for _, x := range []*float64{
		&f.Balancers, &f.Endpoints, &f.Addresses, &f.Flows, &f.NewFlows, &f.Changes, &f.Failed, &f.Restarted,
	} {
		*x *= factor
	}
	return f
}

// FleetError reports a size that is not positive.
type FleetError struct {
	Size string
}

func (e *FleetError) Error() string { return fmt.Sprintf("%s must be positive", e.Size) }

// Check returns a *FleetError for a size with which the model can't be computed.
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

// Budgets and limits at every size.
const (
	BudgetCore    = 1.7     // % of a core for control, per node
	BudgetMemory  = 128     // MB for control, per node
	BudgetBytes   = 4096    // bytes per second for control, per node
	BudgetInForce = 4       // s until a change is in force everywhere
	LimitReads    = 2000    // calls of the platform per second; a waiting watch counts as one
	LimitWrites   = 300     // the lower end of several hundred writes per second
	LimitValue    = 1 << 20 // bytes of a value of the platform
)

// Rates of the product that the model uses. A change of one of these constants in its package has to be made here too.
const (
	ticksPerSecond      = 20   // io/transport/host.tickInterval
	hostListInterval    = 2    // s, io/transport/host.hostListInterval
	statusInterval      = 5    // s, io/transport/platform.StatusInterval
	historyLimit        = 8    // former versions, core/coordination/configuration
	readersPerDomain    = 2    // core/coordination/configuration.ReaderCount
	versionFanout       = 6    // core/coordination/membership.versionFanout
	viewSpacing         = 20   // us per member, core/coordination/membership.publish
	restartInterval     = 9    // s between the restarts of the slope gossip_restarts
	viewsPerEvent       = 3    // leaving or suspect, left or dead, and the new process
	maxRemembered       = 4096 // dead members in the view, and as many forgotten ones; core/coordination/membership
	day                 = 86_400
	nanos               = 1e9
	base64Share         = 4.0 / 3
	payloadBytes        = 200  // of the packets in the model
	handoverRecords     = 8    // settled records of a flow in a handover
	garbageShare        = 2    // the heap grows to twice its live bytes before a collection (GOGC=100)
	outage              = 3600 // s
	reconnect           = 5    // s in which the callers of a lost failure domain come back
	lostDomainBalancers = 700
)

// model is a fleet with its slopes.
type model struct {
	Fleet
	s            *Slopes
	extrapolated bool // a slope was read beyond its largest measured size, and it grows there
	noisy        bool // a slope was read whose runs differ by more than noisySpread
}

func (m *model) at(name string, size float64) float64 {
	x := m.s.byName[name]
	m.extrapolated = m.extrapolated || x.Growth != GrowthFlat && size > x.Points[len(x.Points)-1].Size
	m.noisy = m.noisy || x.Spread() > noisySpread
	return x.At(size)
}

func (m *model) changeRate() float64     { return m.Changes / day }
func (m *model) eventRate() float64      { return (m.Failed + m.Restarted) / day }
func (m *model) domainMembers() float64  { return m.Balancers / m.Domains }
func (m *model) flowsPerNode() float64   { return m.Flows / m.Balancers }
func (m *model) packetsPerNode() float64 { return m.NewFlows * m.PacketsPerFlow / m.Balancers }
func (m *model) shards() float64         { return m.at("shards", m.Endpoints) }
func (m *model) hosts() float64          { return m.Balancers + m.Endpoints }
func (m *model) readers() float64        { return readersPerDomain * m.Domains }

// tableSteps is the time of one change in the tables themselves, in s.
func (m *model) tableSteps() float64 {
	sum := 0.0
	for _, step := range []string{"change_make", "change_apply", "join_time", "validate_time", "index_time"} {
		sum += m.at(step, m.Endpoints)
	}
	return sum / nanos
}

// applyTime is the time of one change at a node, in s.
func (m *model) applyTime() float64 {
	return m.tableSteps() + m.at("arrange_tables", m.Endpoints)/nanos
}

func (m *model) viewTime() float64 {
	return (m.at("view_time", m.Balancers) + m.at("arrange_view", m.Balancers)) / nanos
}

// inForce is the time from the write of the head until the last balancer has a change in force: each hop of the gossip
// announces a version only after it was fetched and applied.
func (m *model) inForce() float64 {
	hops := 1 + math.Log(m.Balancers)/math.Log(1+versionFanout)
	return m.at("tables_spread", m.Balancers) + hops*m.applyTime()
}

func (m *model) tableBytes() float64 {
	return (m.at("change_request", m.Endpoints) + m.at("change_reply", m.Endpoints)) * m.changeRate()
}

// plainBytes is the same for whole heads and segments, as before differences were sent.
func (m *model) plainBytes() float64 {
	return (m.at("tables_request", m.Endpoints) + m.at("tables_reply", m.Endpoints)) * m.changeRate()
}

func (m *model) gossipBytes() float64 {
	quiet := m.at("gossip_quiet", m.Balancers)
	return quiet + (m.at("gossip_restarts", m.Balancers)-quiet)*m.eventRate()*restartInterval
}

// joinSize is what one joining process fetches.
func (m *model) joinSize() float64 {
	return m.at("members_list", m.Balancers) + m.at("whole_flate", m.Endpoints)
}

// joinBytes is what joining processes fetch, spread over all nodes and the day.
func (m *model) joinBytes() float64 { return m.joinSize() * m.eventRate() / m.Balancers }

func (m *model) handoverPerNode() float64 {
	return m.flowsPerNode() * m.at("handover_bytes", handoverRecords)
}

func (m *model) handoverBytes() float64 { return m.handoverPerNode() * m.Restarted / day / m.Balancers }

func (m *model) hostListBytes() float64 { return m.at("host_list_bytes", m.hosts()) / hostListInterval }

func (m *model) controlBytes() float64 {
	return m.tableBytes() + m.gossipBytes() + m.joinBytes() + m.handoverBytes()
}

func (m *model) gossipRate() float64 {
	events := m.at("join_messages", m.Balancers) + m.at("leave_messages", m.Balancers)
	return m.at("gossip_messages", m.Balancers) + events*m.eventRate()/m.Balancers
}

// gossipCore, viewCore, tableCore, hostListCore and tickCore are % of a core.
func (m *model) gossipCore() float64 {
	return 100 / nanos * (ticksPerSecond*m.at("gossip_tick", m.Balancers) + m.gossipRate()*m.at("gossip_news", m.Balancers))
}

func (m *model) viewCore() float64  { return 100 * m.viewTime() * m.eventRate() * viewsPerEvent }
func (m *model) tableCore() float64 { return 100 * m.applyTime() * m.changeRate() }

func (m *model) hostListCore() float64 {
	return 100 / nanos * m.at("host_list_time", m.hosts()) / hostListInterval
}

func (m *model) tickCore() float64 {
	shards := m.shards() / m.Balancers
	return 100 / nanos * ticksPerSecond * shards * m.at("owner_tick", m.flowsPerNode()/max(1, shards))
}

func (m *model) controlCore() float64 {
	return m.gossipCore() + m.viewCore() + m.tableCore() + m.hostListCore() + m.tickCore()
}

const megabyte = 1e6

func (m *model) memberMemory() float64 { return m.at("member_memory", m.Balancers) / megabyte }

// tableMemory is the live heap in MB while a change is applied: both versions share their segments, and
// the former versions keep those that were replaced.
func (m *model) tableMemory() float64 {
	kept := m.at("tables_memory", m.Endpoints) + m.at("layout_memory", m.Endpoints)
	former := historyLimit * (m.at("tables_memory", m.Endpoints)/m.at("segments", m.Endpoints) + m.at("head_bytes", m.Endpoints))
	return (kept + former + m.at("tables_joined", m.Endpoints) + m.at("layout_memory", m.Endpoints)) / megabyte
}

func (m *model) controlMemory() float64 { return garbageShare * (m.memberMemory() + m.tableMemory()) }

func (m *model) bootstrapReads() float64 { return 1 + m.at("segments", m.Endpoints) }

// statusRate is the number of status writes a second of all readers.
func (m *model) statusRate() float64 {
	news := m.changeRate() + m.eventRate()/m.Domains
	return m.readers() * min(1/float64(statusInterval), news)
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
