package main

import "cornellb/core/state/capacity"

// Folders of the packages with benchmarks.
const (
	balancer   = "core/coordination/balancer"
	dispatch   = "core/coordination/dispatch"
	membership = "core/coordination/membership"
	routing    = "core/coordination/routing"
	tables     = "core/state/table"
	objects    = "io/protocol/platform"
	wire       = "io/protocol/wire"
	peer       = "io/protocol/wire/peer"
	store      = "io/transport/platform"
)

// definitions lists the slopes in the order of docs/CAPACITY.md.
var definitions = []definition{
	{
		"flow_opened", "heap of a flow without requests", "bytes", "flows",
		capacity.KindCount, capacity.GrowthFlat, dispatch, "BenchmarkIdleFlows/opened/{}", "bytes/flow", "1",
	},
	{
		"flow_one_request", "heap of an idle flow after one request", "bytes", "flows",
		capacity.KindCount, capacity.GrowthFlat, dispatch, "BenchmarkIdleFlows/one_request/{}", "bytes/flow", "1",
	},
	{
		"flow_full_window", "heap of an idle flow with 64 records", "bytes", "flows",
		capacity.KindCount, capacity.GrowthFlat, dispatch, "BenchmarkIdleFlows/full_window/{}", "bytes/flow", "1",
	},
	{
		"owner_packet", "packet of one flow at its owner", "ns", "flows",
		capacity.KindTime, capacity.GrowthLog, dispatch, "BenchmarkOwner/packet/{}", "ns/op", "1",
	},
	{
		"owner_tick", "tick of a pool shard", "ns", "flows",
		capacity.KindTime, capacity.GrowthLog, dispatch, "BenchmarkOwner/tick/{}", "ns/op", "1",
	},
	{
		"forward_codec", "codec work of a forwarded packet", "ns", "payload bytes",
		capacity.KindTime, capacity.GrowthLinear, wire, "BenchmarkForwardPayload/{}", "ns/op", "none",
	},
	{
		"forward_bytes", "forwarded packet", "bytes", "payload bytes",
		capacity.KindTime, capacity.GrowthLinear, wire, "BenchmarkForwardPayload/{}", "bytes-out/op", "none",
	},
	{
		"forward_overhead", "forwarded packet without its payload", "bytes", "payload bytes",
		capacity.KindTime, capacity.GrowthFlat, wire, "BenchmarkForwardPayload/{}", "overhead-bytes/op", "none",
	},
	{
		"forward_allocations", "allocations of a forwarded packet in the codecs", "allocations", "payload bytes",
		capacity.KindTime, capacity.GrowthFlat, wire, "BenchmarkForwardPayload/{}", "allocs/op", "none",
	},
	{
		"ticket_bytes", "ticket", "bytes", "bytes of each name",
		capacity.KindTime, capacity.GrowthLinear, wire, "BenchmarkPin/seal/{}", "ticket-bytes", "none",
	},
	{
		"pin_bytes", "pin in the ticket (0 messages)", "bytes", "bytes of each name",
		capacity.KindTime, capacity.GrowthFlat, wire, "BenchmarkPin/seal/{}", "pin-bytes", "none",
	},
	{
		"ticket_seal", "sealing a ticket", "ns", "bytes of each name",
		capacity.KindTime, capacity.GrowthLinear, wire, "BenchmarkPin/seal/{}", "ns/op", "none",
	},
	{
		"ticket_open", "opening a ticket", "ns", "bytes of each name",
		capacity.KindTime, capacity.GrowthLinear, wire, "BenchmarkPin/open/{}", "ns/op", "none",
	},
	{
		"route_endpoints", "routing decision of a packet with a ticket", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthFlat, balancer, "BenchmarkRoute/endpoints/{}", "ns/op", "1",
	},
	{
		"route_balancers", "routing decision of a packet with a ticket", "ns", "balancers",
		capacity.KindTime, capacity.GrowthFlat, balancer, "BenchmarkRoute/balancers/{}", "ns/op", "1",
	},
	{
		"choose_endpoints", "choice of shard and owner for a new flow", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, routing, "BenchmarkChoose/endpoints/{}", "ns/op", "none",
	},
	{
		"choose_balancers", "choice of shard and owner for a new flow", "ns", "balancers",
		capacity.KindTime, capacity.GrowthLog, routing, "BenchmarkChoose/balancers/{}", "ns/op", "none",
	},
	{
		"owner_first", "first owner lookup of a pool shard in a plan", "ns", "balancers",
		capacity.KindTime, capacity.GrowthLinear, routing, "BenchmarkOwnerLookup/first/{}", "ns/op", "none",
	},
	{
		"owner_later", "later owner lookups", "ns", "balancers",
		capacity.KindTime, capacity.GrowthFlat, routing, "BenchmarkOwnerLookup/later/{}", "ns/op", "none",
	},
	{
		"shards", "pool shards", "shards", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, routing, "BenchmarkLayout/{}", "shards", "none",
	},
	{
		"layout_memory", "heap of the layout", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, routing, "BenchmarkLayout/{}", "heap-bytes", "none",
	},
	{
		"layout_time", "division of a version into pool shards", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, routing, "BenchmarkLayout/{}", "ns/op", "none",
	},
	{
		"arrange_tables", "new tables in the decision core (layout, owners, shards)", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, balancer, "BenchmarkArrange/tables/{}", "ns/op", "1",
	},
	{
		"arrange_view", "new view in the decision core (owners, shards)", "ns", "balancers",
		capacity.KindTime, capacity.GrowthLinear, balancer, "BenchmarkArrange/view/{}", "ns/op", "1",
	},
	{
		"segment_bytes", "segment of a change", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, tables, "BenchmarkChangeBytes/{}", "segment-bytes", "none",
	},
	{
		"segment_flate", "segment of a change with flate", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, tables, "BenchmarkChangeBytes/{}", "segment-flate-bytes", "none",
	},
	{
		"head_bytes", "head", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, tables, "BenchmarkChangeBytes/{}", "head-bytes", "none",
	},
	{
		"head_flate", "head with flate", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, tables, "BenchmarkChangeBytes/{}", "head-flate-bytes", "none",
	},
	{
		"segments", "segments of both tables", "segments", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, tables, "BenchmarkChangeBytes/{}", "segments", "none",
	},
	{
		"tables_bytes", "all segments", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, tables, "BenchmarkChangeBytes/{}", "tables-bytes", "none",
	},
	{
		"tables_memory", "heap of a version: segments, joined tables, index", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, tables, "BenchmarkTablesMemory/{}", "heap-bytes", "none",
	},
	{
		"tables_joined", "of it, joined tables and index", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, tables, "BenchmarkTablesMemory/{}", "joined-bytes", "none",
	},
	{
		"split_time", "splitting tables (command)", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, tables, "BenchmarkChangeSteps/split/{}", "ns/op", "none",
	},
	{
		"parse_time", "parsing the changed segment", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthFlat, tables, "BenchmarkChangeSteps/parse/{}", "ns/op", "none",
	},
	{
		"join_time", "joining segments", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, tables, "BenchmarkChangeSteps/join/{}", "ns/op", "none",
	},
	{
		"validate_time", "validating tables", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, tables, "BenchmarkChangeSteps/validate/{}", "ns/op", "none",
	},
	{
		"index_time", "indexing tables", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, tables, "BenchmarkChangeSteps/index/{}", "ns/op", "none",
	},
	{
		"tables_request", "request with all digests", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkTablesExchange/{}", "request-bytes", "none",
	},
	{
		"tables_reply", "reply with head and segment, plain", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkTablesExchange/{}", "reply-bytes", "none",
	},
	{
		"tables_reply_flate", "reply with head and segment, with flate", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkTablesExchange/{}", "reply-flate-bytes", "none",
	},
	{
		"change_request", "request for a difference", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, peer, "BenchmarkTablesExchange/{}", "change-request-bytes", "none",
	},
	{
		"change_reply", "reply with the difference of one change", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkTablesExchange/{}", "change-reply-bytes", "none",
	},
	{
		"whole_bytes", "reply with all tables, plain", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkTablesExchange/{}", "whole-bytes", "none",
	},
	{
		"whole_flate", "reply with all tables as sent, with flate", "bytes", "endpoints",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkTablesExchange/{}", "whole-flate-bytes", "none",
	},
	{
		"change_make", "making a difference, once for each version", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, peer, "BenchmarkTablesChange/make/{}", "ns/op", "none",
	},
	{
		"change_apply", "applying a difference and parsing its segment", "ns", "endpoints",
		capacity.KindTime, capacity.GrowthLinear, peer, "BenchmarkTablesChange/apply/{}", "ns/op", "none",
	},
	{
		"gossip_quiet", "gossip of a member in a quiet group", "bytes/s", "members",
		capacity.KindCount, capacity.GrowthLog, membership, "BenchmarkGroup/{}", "quiet_bytes/member/s", "3",
	},
	{
		"gossip_messages", "gossip messages of a member in a quiet group", "messages/s", "members",
		capacity.KindCount, capacity.GrowthLog, membership, "BenchmarkGroup/{}", "quiet_messages/member/s", "3",
	},
	{
		"gossip_restarts", "gossip of a member with one restart every 9 s", "bytes/s", "members",
		capacity.KindCount, capacity.GrowthLog, membership, "BenchmarkGroup/{}", "restart_bytes/member/s", "3",
	},
	{
		"tables_spread", "table version from one member to all, without fetch and apply", "s", "members",
		capacity.KindCount, capacity.GrowthLog, membership, "BenchmarkGroup/{}", "tables_s", "3",
	},
	{
		"death_spread", "death of one member known to all", "s", "members",
		capacity.KindCount, capacity.GrowthLog, membership, "BenchmarkGroup/{}", "death_s", "3",
	},
	{
		"gossip_tick", "tick of the membership", "ns", "members",
		capacity.KindTime, capacity.GrowthLinear, membership, "BenchmarkTick/{}", "ns/op", "1",
	},
	{
		"gossip_receive", "gossip message without news", "ns", "members",
		capacity.KindTime, capacity.GrowthLinear, membership, "BenchmarkReceive/{}/known", "ns/op", "1",
	},
	{
		"gossip_news", "gossip message with one piece of news", "ns", "members",
		capacity.KindTime, capacity.GrowthLinear, membership, "BenchmarkReceive/{}/news", "ns/op", "1",
	},
	{
		"view_time", "rebuild of the view", "ns", "members",
		capacity.KindTime, capacity.GrowthLinear, membership, "BenchmarkView/{}", "ns/op", "1",
	},
	{
		"member_memory", "heap of the member list and view", "bytes", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkMemory/{}", "heap-bytes", "1",
	},
	{
		"join_messages", "messages of all members for one join", "messages", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkEvent/join/{}", "messages/event", "3",
	},
	{
		"join_bytes", "bytes of all members for one join", "bytes", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkEvent/join/{}", "bytes/event", "3",
	},
	{
		"leave_messages", "messages of all members for one leave", "messages", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkEvent/leave/{}", "messages/event", "3",
	},
	{
		"leave_bytes", "bytes of all members for one leave", "bytes", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkEvent/leave/{}", "bytes/event", "3",
	},
	{
		"death_messages", "messages of all members for one death", "messages", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkEvent/death/{}", "messages/event", "3",
	},
	{
		"death_bytes", "bytes of all members for one death", "bytes", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkEvent/death/{}", "bytes/event", "3",
	},
	{
		"domain_deaths", "a 17th of the members lost: until all know", "s", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkDomainLost/{}", "all_deaths_s", "3",
	},
	{
		"domain_bytes", "gossip of a member in that time", "bytes/s", "members",
		capacity.KindCount, capacity.GrowthFlat, membership, "BenchmarkDomainLost/{}", "bytes/member/s", "3",
	},
	{
		"domain_joins", "the same members rejoin at once: until all know", "s", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkDomainLost/{}", "all_joins_s", "3",
	},
	{
		"region_heal", "a fifth of the members cut off for 180 s: from the end of the cut until all views are complete", "s", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkRegionCut/{}", "heal_s", "3",
	},
	{
		"region_bytes", "gossip of a member in that time", "bytes/s", "members",
		capacity.KindCount, capacity.GrowthFlat, membership, "BenchmarkRegionCut/{}", "bytes/member/s", "3",
	},
	{
		"members_list", "full member list on the wire", "bytes", "members",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkMembersList/{}", "list-bytes", "none",
	},
	{
		"members_pages", "pages of the full member list", "pages", "members",
		capacity.KindCount, capacity.GrowthLinear, membership, "BenchmarkMembersPage/{}", "pages", "1",
	},
	{
		"handover_bytes", "flow of a handover without kept answers", "bytes", "records",
		capacity.KindCount, capacity.GrowthLinear, peer, "BenchmarkHandover/{}", "bytes/flow", "none",
	},
	{
		"handover_time", "encoding of 256 flows of a handover", "ns", "records",
		capacity.KindTime, capacity.GrowthLinear, peer, "BenchmarkHandover/{}", "ns/op", "none",
	},
	{
		"status_bytes", "body of a status write", "bytes", "members of a domain",
		capacity.KindCount, capacity.GrowthLinear, objects, "BenchmarkStatusBytes/{}", "body-bytes", "none",
	},
	{
		"status_reads", "reads of a status write", "calls", "members of a domain",
		capacity.KindCount, capacity.GrowthFlat, store, "BenchmarkStatusCalls/{}", "reads/status", "none",
	},
	{
		"status_writes", "writes of a status write", "calls", "members of a domain",
		capacity.KindCount, capacity.GrowthFlat, store, "BenchmarkStatusCalls/{}", "writes/status", "none",
	},
	{
		"host_list_bytes", "host list of the platform", "bytes", "hosts",
		capacity.KindCount, capacity.GrowthLinear, objects, "BenchmarkHostListBytes/{}", "body-bytes", "none",
	},
	{
		"host_list_time", "decoding the host list", "ns", "hosts",
		capacity.KindTime, capacity.GrowthLinear, objects, "BenchmarkHostListBytes/{}", "ns/op", "none",
	},
	{
		"command_reads", "reads of a change by the command, without reading the tables", "calls", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, store, "BenchmarkStoreCalls/{}", "command-reads/change", "none",
	},
	{
		"command_writes", "writes of a change by the command", "calls", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, store, "BenchmarkStoreCalls/{}", "command-writes/change", "none",
	},
	{
		"reader_reads", "reads of a change by a reader", "calls", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, store, "BenchmarkStoreCalls/{}", "reader-reads/change", "none",
	},
	{
		"reader_watches", "watches of a change by a reader", "calls", "endpoints",
		capacity.KindCount, capacity.GrowthFlat, store, "BenchmarkStoreCalls/{}", "reader-watches/change", "none",
	},
}
