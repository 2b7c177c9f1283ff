package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"cornellb/core/state/member"
)

// priority orders the kinds of traffic that share the byte budget. Each kind may spend tokens only down to its floor,
// the part of the token bucket that is reserved for the kinds before it.
type priority uint8

const (
	priorityProbe  priority = iota // pings and acks, no floor
	priorityChange                 // membership changes, with a floor of a third of the bucket
	priorityTable                  // messages sent only for a new table version, with a floor of half of the bucket
)

// floorDivisors give the floor of each priority: the bucket size divided by this number. Infinity gives a floor of 0.
var floorDivisors = [...]float64{priorityProbe: math.Inf(1), priorityChange: 3, priorityTable: 2}

// change is a membership change that is still to be sent to others.
type change struct {
	record *record
	sends  int
	order  uint64 // from Machine.lastChangeOrder; a larger number is a newer change
}

// maxRefreshRecords is the largest number of records of recent senders that are added to a message with room, so that a
// change whose messages were all lost still reaches every member.
const maxRefreshRecords = 4

// enqueue queues the current state of a member for sending, or restarts its send count if it is queued already.
func (m *Machine) enqueue(r *record) {
	m.lastChangeOrder++
	if r.queued == nil {
		r.queued = &change{record: r}
		m.queue = append(m.queue, r.queued)
	}
	r.queued.sends = 0
	r.queued.order = m.lastChangeOrder
}

func (m *Machine) dequeue(r *record) {
	if r.queued == nil {
		return
	}
	if at := slices.Index(m.queue, r.queued); at >= 0 {
		m.queue = slices.Delete(m.queue, at, at+1)
	}
	r.queued = nil
}

// sendLimit returns how often each member sends one change. Each change then reaches all members but a share of about
// e^-limit.
func (m *Machine) sendLimit() int {
	n := len(m.sameDomain) + len(m.otherDomains) + 2
	return 4 * int(math.Ceil(math.Log10(float64(n))))
}

// availableBytes returns the number of bytes that a message of the given priority may use now.
func (m *Machine) availableBytes(p priority) int {
	floor := float64(m.limiter.Burst()) / floorDivisors[p]
	return int(m.limiter.TokensAt(m.now) - floor)
}

// send adds the sender, the digest, the table version and pending changes to a message and sends it. If this process
// considers the receiver suspect, dead or left, the message carries that record too, so that the receiver can refute
// it. It reports false when the byte budget does not allow the message.
func (m *Machine) send(to netip.AddrPort, message *Message, receiver *record, p priority) bool {
	message.Sender = m.self
	message.TableVersion = m.tableVersion
	message.Digest = m.digest()
	size := message.Size() + datagramOverhead
	if receiver != nil && receiver.host.State != member.StateAlive && receiver.host.State != member.StateLeaving {
		message.Changes = append(message.Changes, receiver.host)
		size += HostSize(receiver.host)
	}
	if size > m.availableBytes(p) {
		m.stats.OverBudget++
		return false
	}
	size = m.addChanges(message, size, receiver)
	if !m.limiter.AllowN(m.now, size) {
		m.stats.OverBudget++
		return false
	}
	m.stats.Bytes += uint64(size)
	m.stats.Messages++
	m.out.SendGossip(to, message)
	return true
}

// addChanges adds pending changes to a message, the least often sent first and among these the newest first, and then
// some records of recent senders.
func (m *Machine) addChanges(message *Message, size int, receiver *record) int {
	limit := min(MaxMessageBytes+datagramOverhead, m.availableBytes(priorityChange))
	slices.SortFunc(m.queue, func(a, b *change) int {
		if c := cmp.Compare(a.sends, b.sends); c != 0 {
			return c
		}
		return cmp.Compare(b.order, a.order)
	})
	sendLimit, done := m.sendLimit(), false
	for _, c := range m.queue {
		n := HostSize(c.record.host)
		if size+n > limit {
			break
		}
		if c.record == receiver {
			continue
		}
		message.Changes = append(message.Changes, c.record.host)
		size += n
		c.sends++
		done = done || c.sends >= sendLimit
	}
	if done {
		m.queue = slices.DeleteFunc(m.queue, func(c *change) bool {
			if c.sends >= sendLimit {
				c.record.queued = nil
				return true
			}
			return false
		})
	}
	return m.addRefresh(message, size, limit, receiver)
}

// addRefresh adds records of members whose own messages this process received recently. Older records are not used:
// other members may have declared such a member dead and forgotten it since, and would treat it as a new member.
func (m *Machine) addRefresh(message *Message, size, limit int, receiver *record) int {
	if len(m.recentSenders) == 0 {
		return size
	}
	start := m.random.IntN(len(m.recentSenders))
	for i := range min(maxRefreshRecords, len(m.recentSenders)) {
		r := m.recentSenders[(start+i)%len(m.recentSenders)]
		n := HostSize(r.host)
		if r == receiver || r.queued != nil || r.index < 0 || m.now.Sub(r.lastMessageAt) > DeadMemory/2 || size+n > limit {
			continue
		}
		message.Changes = append(message.Changes, r.host)
		size += n
	}
	return size
}

// tickGossip sends pending changes to random members, which is faster than waiting for pings to carry them. Changes of
// the process itself and new table versions are sent at once.
func (m *Machine) tickGossip() {
	if m.announceSelf {
		m.announceSelf = m.sendAnnounce(versionFanout, priorityChange) == 0
	}
	if m.announceTable {
		m.announceTable = m.sendAnnounce(versionFanout, priorityTable) == 0
	}
	if m.now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = m.now.Add(GossipInterval)
	if len(m.queue) > 0 {
		m.sendAnnounce(gossipFanout, priorityChange)
	}
}

// sendAnnounce sends an Announce message to random members and returns how many messages were sent.
func (m *Machine) sendAnnounce(fanout int, p priority) int {
	sent := 0
	for _, r := range m.randomMembers(fanout, nil) {
		if !m.send(r.host.Address, &Message{Kind: KindAnnounce}, r, p) {
			break
		}
		sent++
	}
	return sent
}

// randomMembers picks up to n different reachable members, never the excepted one.
func (m *Machine) randomMembers(n int, except *record) []*record {
	picked := make([]*record, 0, n)
	// In a small group many tries pick a member again; in a large one the first n tries mostly suffice.
	for tries := 4 * n; len(picked) < n && tries > 0; tries-- {
		r := m.randomMember()
		if r != nil && r != except && !slices.Contains(picked, r) {
			picked = append(picked, r)
		}
	}
	return picked
}

// randomMember picks a reachable member, in half of the cases from the own failure domain, because links between
// failure domains are expensive.
func (m *Machine) randomMember() *record {
	list := m.sameDomain
	if len(list) == 0 || len(m.otherDomains) > 0 && m.random.IntN(2) == 0 {
		list = m.otherDomains
	}
	if len(list) == 0 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}
