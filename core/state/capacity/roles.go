package capacity

// Row is one quantity of the ordinary load of a role.
type Row struct {
	Role      string
	Quantity  string
	Unit      string
	Budget    float64 // 0 if none applies
	Mechanism string
	value     func(m *model) float64
}

const (
	roleIngress  = "balancer at its data path"
	roleFlows    = "owner of flows"
	roleShards   = "owner of pool shards"
	roleReader   = "reader of the platform"
	roleRelay    = "relay of tables"
	roleMember   = "member"
	rolePlatform = "platform's API"
	roleCommand  = "operators' command"
	roleNode     = "a node's whole control"
)

const (
	percentCore = "% of a core"
	bytesPerSec = "bytes/s"
	perSecond   = "/s"
	megabytes   = "MB"
	bytesUnit   = "bytes"
	seconds     = "s"
)

// roleRows lists the quantities of the ordinary load by role, in the order of the report.
var roleRows = []Row{
	{roleIngress, "caller packets", perSecond, 0, "sprayed by the fabric; packets per flow are an assumption",
		(*model).packetsPerNode},
	{roleIngress, "processor: decode, open ticket, route, encode", percentCore, 0, "ticket names the owner",
		func(m *model) float64 {
			ns := m.at("forward_codec", payloadBytes) + m.at("route_balancers", m.Balancers)
			return 100 / nanosPerSecond * ns * m.packetsPerNode()
		}},
	{roleIngress, "state per flow", bytesUnit, 0, "none: the ticket is the state", func(*model) float64 { return 0 }},
	{roleIngress, "overhead of a forwarded packet", bytesUnit, 0, "ticket and header",
		func(m *model) float64 { return m.at("forward_overhead", payloadBytes) }},
	{roleIngress, "choice of shard and owner for new flows", percentCore, 0, "bucket table of the pool",
		func(m *model) float64 {
			return 100 / nanosPerSecond * m.at("choose_endpoints", m.Endpoints) * m.NewFlows / m.Balancers
		}},
	{roleFlows, "open flows", "flows", 0, "one owner for each flow", (*model).flowsPerNode},
	{roleFlows, "memory of flows with one request each", megabytes, 0, "data, not control",
		func(m *model) float64 {
			return m.flowsPerNode() * m.at("flow_one_request", m.flowsPerNode()) / megabyte
		}},
	{roleFlows, "memory if each flow has a full window", megabytes, 0, "data, not control; 64 records",
		func(m *model) float64 {
			return m.flowsPerNode() * m.at("flow_full_window", m.flowsPerNode()) / megabyte
		}},
	{roleFlows, "processor: packets of its flows", percentCore, 0, "hash table of the shard",
		func(m *model) float64 {
			return 100 / nanosPerSecond * m.at("owner_packet", m.flowsPerNode()) * m.packetsPerNode()
		}},
	{roleFlows, "handover of all its flows, 8 records each", megabytes, 0, "one message of up to 256 flows at a time",
		func(m *model) float64 { return m.handoverPerNode() / megabyte }},
	{roleFlows, "handover bytes, mean of the day", bytesPerSec, BudgetBytes, "planned restarts", (*model).handoverBytes},
	{roleShards, "pool shards of the fleet", "shards", 0, "pool and failure domain, up to 32 endpoints", (*model).shards},
	{roleShards, "pool shards", "shards", 0, "rendezvous hash over the members of the domain",
		func(m *model) float64 { return m.shards() / m.Balancers }},
	{roleShards, "messages for pins and slots", perSecond, 0, "none: counts at the owner, pin in the ticket",
		func(*model) float64 { return 0 }},
	{roleShards, "processor: ticks of its shards", percentCore, BudgetCore, "20 ticks a second for each shard",
		(*model).tickCore},
	{roleShards, "bytes received: host list", bytesPerSec, BudgetBytes, "each owner reads the whole list every 2 s",
		(*model).hostListBytes},
	{roleShards, "processor: decoding of the host list", percentCore, BudgetCore, "the same", (*model).hostListCore},
	{roleReader, "waiting watches", "watches", LimitReads, "two readers in each failure domain", (*model).readers},
	{roleReader, "bytes received: heads and segments", bytesPerSec, BudgetBytes, "values in base64",
		func(m *model) float64 {
			return base64Overhead * (m.at("head_bytes", m.Endpoints) + m.at("segment_bytes", m.Endpoints)) * m.changeRate()
		}},
	{roleReader, "bytes sent: status", bytesPerSec, BudgetBytes, "whole object of the domain at most every 5 s",
		func(m *model) float64 { return m.at("status_bytes", m.domainMembers()) * m.statusRate() / m.readers() }},
	{roleRelay, "bytes of one change: request and difference", bytesUnit, 0, "patches of head and segment",
		func(m *model) float64 { return m.at("change_request", m.Endpoints) + m.at("change_reply", m.Endpoints) }},
	{roleRelay, "bytes sent", bytesPerSec, BudgetBytes, "each node fetches, and on average serves, each change once",
		(*model).tableBytes},
	{roleRelay, "bytes sent if no base is known", bytesPerSec, BudgetBytes, "all digests, compressed head and segment",
		func(m *model) float64 {
			return (m.at("tables_request", m.Endpoints) + m.at("tables_reply_flate", m.Endpoints)) * m.changeRate()
		}},
	{roleRelay, "bytes sent before differences", bytesPerSec, BudgetBytes, "all digests, plain head and segment",
		(*model).uncompressedTableBytes},
	{roleRelay, "processor: difference, join, validate, index", percentCore, BudgetCore, "whole tables at each change",
		func(m *model) float64 { return 100 * m.tableUpdateTime() * m.changeRate() }},
	{roleRelay, "processor: pool shards and owners", percentCore, BudgetCore, "changed pools alone; owners are kept",
		func(m *model) float64 {
			return 100 / nanosPerSecond * m.at("arrange_tables", m.Endpoints) * m.changeRate()
		}},
	{roleRelay, "live heap during a change", megabytes, BudgetMemory, "two versions that share their segments",
		(*model).tableMemory},
	{roleRelay, "change in force everywhere", seconds, BudgetInForce, "gossip of the version, fetch and apply at each hop",
		(*model).inForce},
	{roleMember, "gossip bytes sent", bytesPerSec, BudgetBytes, "probes and changes, capped by the token bucket",
		(*model).gossipBytes},
	{roleMember, "gossip messages sent", perSecond, 0, "the same", (*model).gossipRate},
	{roleMember, "processor: gossip", percentCore, BudgetCore, "20 ticks a second and the messages", (*model).gossipCore},
	{roleMember, "processor: views and owners", percentCore, BudgetCore, "all owners anew for each view", (*model).viewCore},
	{roleMember, "live heap of the member list", megabytes, BudgetMemory, "records and one view", (*model).memberMemory},
	{roleMember, "full list and tables at a join", megabytes, 0, "pages from the own domain first; tables from one peer",
		func(m *model) float64 { return m.joinSize() / megabyte }},
	{roleMember, "the same, mean of the day", bytesPerSec, BudgetBytes, "restarts and replacements", (*model).joinBytes},
	{rolePlatform, "calls: watches, segments, status, joins", perSecond, LimitReads, "readers and joining processes",
		func(m *model) float64 { return m.platformReads() - m.hostListReads() }},
	{rolePlatform, "calls: host list", perSecond, LimitReads, "each owner of a pool shard every 2 s", (*model).hostListReads},
	{rolePlatform, "writes: heads, segments, status", perSecond, LimitWrites, "command and readers", (*model).platformWrites},
	{rolePlatform, "largest value: status of a domain", bytesUnit, LimitValue, "one object for each domain",
		func(m *model) float64 { return m.at("status_bytes", m.domainMembers()) / base64Overhead }},
	{rolePlatform, "largest reply: host list", bytesUnit, LimitValue, "one list; the limit is that of a value",
		func(m *model) float64 { return m.at("host_list_bytes", m.hosts()) }},
	{roleCommand, "reads to get the tables", "calls", 0, "head and every segment", (*model).bootstrapReads},
	{roleCommand, "calls of a change: reads and writes", "calls", 0, "head read, segment and head written",
		func(m *model) float64 {
			return m.at("command_reads", m.Endpoints) + m.at("command_writes", m.Endpoints)
		}},
	{roleCommand, "processor of a change", seconds, 0, "splits the whole tables",
		func(m *model) float64 {
			return (m.at("split_time", m.Endpoints) + m.at("validate_time", m.Endpoints)) / nanosPerSecond
		}},
	{roleNode, "bytes sent without status and host list", bytesPerSec, BudgetBytes, "gossip, tables, joins, handovers",
		(*model).controlBytes},
	{roleNode, "processor", percentCore, BudgetCore, "gossip, views, tables, host list, ticks", (*model).controlCore},
	{roleNode, "heap before a collection", megabytes, BudgetMemory, "twice the live heap of tables and members",
		(*model).controlMemory},
}
