package capacity

import (
	"math"

	"cornellb/core/state/table"
)

// ScenarioFigure is one quantity in a failure scenario. The report calls scenarios moments.
type ScenarioFigure struct {
	Scenario  string
	Quantity  string
	Unit      string
	Limit     float64 // budget of a node or limit of the platform; 0 if none applies
	Mechanism string  // where work queues up, or which mechanism determines the quantity
	value     func(m *model) float64
}

const (
	scenarioDomainLoss = "a failure domain is lost at the peak"
	scenarioRejoin     = "its 700 nodes rejoin at once"
	scenarioChange     = "a table change during the rejoin"
	scenarioOutage     = "the platform is down for an hour and comes back"
	scenarioRegionCut  = "a region is cut off for an hour"
	backlogSeconds     = 60 // s within which operators repeat the changes that failed during the outage
	changesInHead      = table.ChangeLimit
	pollInterval       = 5 // s, io/transport/platform.PollInterval
	eventsPerDeath     = 2 // membership updates: suspect and dead
)

func (m *model) lostFlows() float64          { return lostDomainBalancers * m.flowsPerNode() }
func (m *model) remainingBalancers() float64 { return m.Balancers - lostDomainBalancers }

// continuousViewCore is the processor time, as % of a core, while views are computed at the shortest interval.
func (m *model) continuousViewCore() float64 {
	spacing := viewSpacingMicros * 1e-6 * m.Balancers
	return 100 * m.viewTime() / max(spacing, m.viewTime())
}

// reopenRate is the number of flows per second that are opened at each remaining node.
func (m *model) reopenRate() float64 {
	return m.lostFlows()/m.remainingBalancers()/reconnectSeconds + m.NewFlows/m.remainingBalancers()
}

// changesDuringOutage is the number of table changes that fall into outageSeconds at the ordinary rate.
func (m *model) changesDuringOutage() float64 { return m.changeRate() * outageSeconds }

// catchUpBytes is the bytes that a node transfers after the region cut: a request with all of its digests, and the
// segments that changed during the cut, compressed. It gets no difference, since no peer still has its version in the
// history.
func (m *model) catchUpBytes() float64 {
	segments := m.at("segments", m.Endpoints)
	changedShare := 1 - math.Exp(-m.changesDuringOutage()/segments)
	return changedShare*m.at("whole_flate", m.Endpoints) + m.at("tables_request", m.Endpoints)
}

// cutOffBalancers is the number of balancers in the region that is cut off.
func (m *model) cutOffBalancers() float64 { return m.Balancers / m.Regions }

// deathUpdateBytes is the bytes that each member receives at least for the deaths of all members of a failure domain.
func (m *model) deathUpdateBytes() float64 {
	return eventsPerDeath * lostDomainBalancers * m.at("members_list", m.Balancers) / m.Balancers
}

// scenarioFigures lists the computed quantities of all failure scenarios, in the order of the report.
var scenarioFigures = []ScenarioFigure{
	{scenarioDomainLoss, "flows that have to be opened again", "flows", 0, "at their callers, until a timeout or a silent feed",
		(*model).lostFlows},
	{scenarioDomainLoss, "opens at each remaining node for 5 s", perSecond, 0, "at the owners' admission, limit 200,000 flows a shard",
		(*model).reopenRate},
	{scenarioDomainLoss, "processor of these opens", percentCore, 0, "data path",
		func(m *model) float64 {
			ns := m.at("forward_codec", payloadBytes) + m.at("choose_endpoints", m.Endpoints) + m.at("owner_packet", m.flowsPerNode())
			return 100 / nanosPerSecond * ns * m.reopenRate()
		}},
	{scenarioDomainLoss, "flows at each node afterwards", "flows", 0, "the same flows on fewer nodes",
		func(m *model) float64 { return m.Flows / m.remainingBalancers() }},
	{scenarioDomainLoss, "bytes that each member must at least receive", bytesUnit, 0, "suspect and dead of each lost member",
		(*model).deathUpdateBytes},
	{scenarioDomainLoss, "gossip of a member meanwhile", bytesPerSec, BudgetBytes, "news wait in the members' change queues",
		func(m *model) float64 { return m.at("domain_bytes", m.Balancers) }},
	{scenarioDomainLoss, "until every member knows every death", seconds, 0, "packets for the dead are lost until then",
		func(m *model) float64 { return m.at("domain_deaths", m.Balancers) }},
	{scenarioDomainLoss, "processor of back-to-back views", percentCore, BudgetCore, "one view every 20 us for each member",
		(*model).continuousViewCore},
	{scenarioRejoin, "member lists and tables fetched", megabytes, 0, "at the peers of the settings and of the own domain",
		func(m *model) float64 {
			return lostDomainBalancers * m.joinSize() / megabyte
		}},
	{scenarioRejoin, "time of one node's list and tables at 4 KB/s", seconds, 0, "the list is paced, the tables are not",
		func(m *model) float64 { return m.joinSize() / BudgetBytes }},
	{scenarioRejoin, "platform reads if none has tables from a peer first", "calls", 0, "each process also reads the store",
		func(m *model) float64 { return lostDomainBalancers * m.bootstrapReads() }},
	{scenarioRejoin, "time of these reads at the platform's limit", seconds, 0, "callers back off after a refusal",
		func(m *model) float64 { return lostDomainBalancers * m.bootstrapReads() / LimitReads }},
	{scenarioRejoin, "until every member knows every one", seconds, 0, "news beyond the byte budget come with full lists",
		func(m *model) float64 { return m.at("domain_joins", m.Balancers) }},
	{scenarioRejoin, "flows handed back, for each remaining node", megabytes, 0, "adopted or handed over with 8 records",
		func(m *model) float64 {
			return m.lostFlows() / m.remainingBalancers() * m.at("handover_bytes", handoverRecords) / megabyte
		}},
	{scenarioChange, "change in force everywhere", seconds, BudgetInForce, "each hop also waits for one view",
		func(m *model) float64 {
			hops := 1 + math.Log(m.Balancers)/math.Log(1+versionFanout)
			return m.inForce() + hops*m.viewTime()
		}},
	{scenarioChange, "processor of views and one change", percentCore, BudgetCore, "mean over one second",
		func(m *model) float64 { return m.continuousViewCore() + 100*min(1, m.applyTime()) }},
	{scenarioOutage, "calls of the readers meanwhile", perSecond, LimitReads, "a poll every 5 s",
		func(m *model) float64 { return m.readers() / pollInterval }},
	{scenarioOutage, "changes that operators could not make", "changes", 0, "nowhere: the command fails and is repeated by hand",
		(*model).changesDuringOutage},
	{scenarioOutage, "processes that start meanwhile", "processes", 0, "tables from peers",
		func(m *model) float64 { return m.eventRate() * outageSeconds }},
	{scenarioOutage, "writes if all changes follow within 60 s", perSecond, LimitWrites, "one compare-and-set after the other",
		func(m *model) float64 {
			return m.changesDuringOutage() * m.at("command_writes", m.Endpoints) / backlogSeconds
		}},
	{scenarioOutage, "segment reads of the readers then", perSecond, LimitReads, "each version that a reader sees",
		func(m *model) float64 {
			return m.changesDuringOutage() * m.at("reader_reads", m.Endpoints) * m.readers() / backlogSeconds
		}},
	{scenarioOutage, "bytes of each node then, if it takes every version", bytesPerSec, BudgetBytes, "a node skips to the newest",
		func(m *model) float64 {
			return m.tableBytes() / m.changeRate() * m.changesDuringOutage() / backlogSeconds
		}},
	{scenarioOutage, "processor of each node then", percentCore, BudgetCore, "versions are applied one after the other",
		func(m *model) float64 { return 100 * min(1, m.applyTime()*m.changesDuringOutage()/backlogSeconds) }},
	{scenarioOutage, "time until a change leaves the head's list", seconds, 0, "a lost response can be settled until then",
		func(m *model) float64 { return changesInHead / (m.changesDuringOutage() / backlogSeconds) }},
	{scenarioOutage, "host list calls on return", perSecond, LimitReads, "owners that all read again", (*model).hostListReads},
	{scenarioRegionCut, "nodes cut off", "nodes", 0, "both sides serve what they can", (*model).cutOffBalancers},
	{scenarioRegionCut, "dead members at the cut-off side", "members", 2 * maxRememberedDead, "4,096 in the view, 4,096 remembered",
		func(m *model) float64 { return m.Balancers - m.cutOffBalancers() }},
	{scenarioRegionCut, "bytes of tables for each node after the cut", bytesUnit, 0, "segments that the hour's changes touched",
		(*model).catchUpBytes},
	{scenarioRegionCut, "time of these bytes at 4 KB/s", seconds, BudgetInForce, "sent at once, over the byte budget",
		func(m *model) float64 { return m.catchUpBytes() / BudgetBytes }},
	{scenarioRegionCut, "bytes of tables for the whole side", megabytes, 0, "one copy for each node",
		func(m *model) float64 { return m.catchUpBytes() * m.cutOffBalancers() / megabyte }},
	{scenarioRegionCut, "until all views are complete", seconds, 0, "full lists from the other side",
		func(m *model) float64 { return m.at("region_heal", m.Balancers) }},
	{scenarioRegionCut, "gossip of a member meanwhile", bytesPerSec, BudgetBytes, "news wait in the change queues",
		func(m *model) float64 { return m.at("region_bytes", m.Balancers) }},
}
