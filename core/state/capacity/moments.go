package capacity

import (
	"math"

	"cornellb/core/state/table"
)

// Moment is one figure of a bad moment.
type Moment struct {
	Moment string
	What   string
	Unit   string
	Limit  float64 // 0 if none applies
	Where  string  // what waits where, or the mechanism
	value  func(m *model) float64
}

const (
	momentDomain   = "a failure domain is lost at the peak"
	momentRejoin   = "its 700 nodes rejoin at once"
	momentChange   = "a table change during the rejoin"
	momentOutage   = "the platform is down for an hour and comes back"
	momentRegions  = "a region is cut off for an hour"
	backlogTime    = 60 // s in which operators repeat the changes of the outage
	changesInHead  = table.ChangeLimit
	pollInterval   = 5 // s, io/transport/platform.PollInterval
	eventsPerDeath = 2 // suspect and dead
)

func (m *model) lostFlows() float64 { return lostDomainBalancers * m.flowsPerNode() }
func (m *model) remaining() float64 { return m.Balancers - lostDomainBalancers }

// viewsBusy is the share of a core, in %, that back-to-back views take.
func (m *model) viewsBusy() float64 {
	spacing := viewSpacing * 1e-6 * m.Balancers
	return 100 * m.viewTime() / max(spacing, m.viewTime())
}

func (m *model) reopenRate() float64 {
	return m.lostFlows()/m.remaining()/reconnect + m.NewFlows/m.remaining()
}

func (m *model) backlog() float64 { return m.changeRate() * outage }

// touchedBytes is what a node fetches after the cut: the segments that the changes of the hour touched, compressed, for
// all of its digests, since no peer remembers its version.
func (m *model) touchedBytes() float64 {
	segments := m.at("segments", m.Endpoints)
	touched := 1 - math.Exp(-m.backlog()/segments)
	return touched*m.at("whole_flate", m.Endpoints) + m.at("tables_request", m.Endpoints)
}

func (m *model) cutOff() float64 { return m.Balancers / m.Regions }

func (m *model) newsBytes() float64 {
	return eventsPerDeath * lostDomainBalancers * m.at("members_list", m.Balancers) / m.Balancers
}

// moments are the bad moments.
var moments = []Moment{
	{momentDomain, "flows that have to be opened again", "flows", 0, "at their callers, until a timeout or a silent feed",
		(*model).lostFlows},
	{momentDomain, "opens at each remaining node for 5 s", perSecond, 0, "at the owners' admission, limit 200,000 flows a shard",
		(*model).reopenRate},
	{momentDomain, "processor of these opens", percentCore, 0, "data path",
		func(m *model) float64 {
			ns := m.at("forward_codec", payloadBytes) + m.at("choose_endpoints", m.Endpoints) + m.at("owner_packet", m.flowsPerNode())
			return 100 / nanos * ns * m.reopenRate()
		}},
	{momentDomain, "flows at each node afterwards", "flows", 0, "the same flows on fewer nodes",
		func(m *model) float64 { return m.Flows / m.remaining() }},
	{momentDomain, "bytes that each member must at least receive", bytesUnit, 0, "suspect and dead of each lost member",
		(*model).newsBytes},
	{momentDomain, "gossip of a member meanwhile", bytesPerSec, BudgetBytes, "news wait in the members' change queues",
		func(m *model) float64 { return m.at("domain_bytes", m.Balancers) }},
	{momentDomain, "until every member knows every death", seconds, 0, "packets for the dead are lost until then",
		func(m *model) float64 { return m.at("domain_deaths", m.Balancers) }},
	{momentDomain, "processor of back-to-back views", percentCore, BudgetCore, "one view every 20 us for each member",
		(*model).viewsBusy},
	{momentRejoin, "member lists and tables fetched", megabytes, 0, "at the peers of the settings and of the own domain",
		func(m *model) float64 {
			return lostDomainBalancers * m.joinSize() / megabyte
		}},
	{momentRejoin, "time of one node's list and tables at 4 KB/s", seconds, 0, "the list is paced, the tables are not",
		func(m *model) float64 { return m.joinSize() / BudgetBytes }},
	{momentRejoin, "platform reads if none has tables from a peer first", "calls", 0, "each process also reads the store",
		func(m *model) float64 { return lostDomainBalancers * m.bootstrapReads() }},
	{momentRejoin, "time of these reads at the platform's limit", seconds, 0, "callers back off after a refusal",
		func(m *model) float64 { return lostDomainBalancers * m.bootstrapReads() / LimitReads }},
	{momentRejoin, "until every member knows every one", seconds, 0, "news beyond the byte budget come with full lists",
		func(m *model) float64 { return m.at("domain_joins", m.Balancers) }},
	{momentRejoin, "flows handed back, for each remaining node", megabytes, 0, "adopted or handed over with 8 records",
		func(m *model) float64 {
			return m.lostFlows() / m.remaining() * m.at("handover_bytes", handoverRecords) / megabyte
		}},
	{momentChange, "change in force everywhere", seconds, BudgetInForce, "each hop also waits for one view",
		func(m *model) float64 {
			hops := 1 + math.Log(m.Balancers)/math.Log(1+versionFanout)
			return m.inForce() + hops*m.viewTime()
		}},
	{momentChange, "processor of views and one change", percentCore, BudgetCore, "mean over one second",
		func(m *model) float64 { return m.viewsBusy() + 100*min(1, m.applyTime()) }},
	{momentOutage, "calls of the readers meanwhile", perSecond, LimitReads, "a poll every 5 s",
		func(m *model) float64 { return m.readers() / pollInterval }},
	{momentOutage, "changes that operators could not make", "changes", 0, "nowhere: the command fails and is repeated by hand",
		(*model).backlog},
	{momentOutage, "processes that start meanwhile", "processes", 0, "tables from peers",
		func(m *model) float64 { return m.eventRate() * outage }},
	{momentOutage, "writes if all changes follow within 60 s", perSecond, LimitWrites, "one compare-and-set after the other",
		func(m *model) float64 { return m.backlog() * m.at("command_writes", m.Endpoints) / backlogTime }},
	{momentOutage, "segment reads of the readers then", perSecond, LimitReads, "each version that a reader sees",
		func(m *model) float64 {
			return m.backlog() * m.at("reader_reads", m.Endpoints) * m.readers() / backlogTime
		}},
	{momentOutage, "bytes of each node then, if it takes every version", bytesPerSec, BudgetBytes, "a node skips to the newest",
		func(m *model) float64 { return m.tableBytes() / m.changeRate() * m.backlog() / backlogTime }},
	{momentOutage, "processor of each node then", percentCore, BudgetCore, "versions are applied one after the other",
		func(m *model) float64 { return 100 * min(1, m.applyTime()*m.backlog()/backlogTime) }},
	{momentOutage, "time until a change leaves the head's list", seconds, 0, "a lost response can be settled until then",
		func(m *model) float64 { return changesInHead / (m.backlog() / backlogTime) }},
	{momentOutage, "host list calls on return", perSecond, LimitReads, "owners that all read again", (*model).hostListReads},
	{momentRegions, "nodes cut off", "nodes", 0, "both sides serve what they can", (*model).cutOff},
	{momentRegions, "dead members at the cut-off side", "members", 2 * maxRemembered, "4,096 in the view, 4,096 remembered",
		func(m *model) float64 { return m.Balancers - m.cutOff() }},
	{momentRegions, "bytes of tables for each node after the cut", bytesUnit, 0, "segments that the hour's changes touched",
		(*model).touchedBytes},
	{momentRegions, "time of these bytes at 4 KB/s", seconds, BudgetInForce, "sent at once, over the byte budget",
		func(m *model) float64 { return m.touchedBytes() / BudgetBytes }},
	{momentRegions, "bytes of tables for the whole side", megabytes, 0, "one copy for each node",
		func(m *model) float64 { return m.touchedBytes() * m.cutOff() / megabyte }},
	{momentRegions, "until all views are complete", seconds, 0, "full lists from the other side",
		func(m *model) float64 { return m.at("region_heal", m.Balancers) }},
	{momentRegions, "gossip of a member meanwhile", bytesPerSec, BudgetBytes, "news wait in the change queues",
		func(m *model) float64 { return m.at("region_bytes", m.Balancers) }},
}
