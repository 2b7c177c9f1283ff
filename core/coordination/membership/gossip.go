package membership

import (
	"cmp"
	"math"
	"net/netip"
	"slices"

	"cornellb/core/state/member"
)

// priority orders the uses of the byte budget. A use may spend tokens only down to its floor.
type priority uint8

const (
	priorityProbe  priority = iota // pings and acks, all tokens
	priorityChange                 // membership changes, above a third of the bucket
	priorityTable                  // table versions outside of other messages, above half of the bucket
)

// floorDivisors hold the share of the bucket that each priority leaves to those before it; 0 stands for no share.
var floorDivisors = [...]float64{priorityProbe: math.Inf(1), priorityChange: 3, priorityTable: 2}

// change is a pending piece of news on a member.
type change struct {
	record *record
	sends  int
	order  uint64 // rises with each enqueued change
}

// refreshCount is the number of records of members heard of directly that are added to a message with room, so that
// news whose messages were all lost still reach everybody.
const refreshCount = 4

// enqueue makes the current opinion on a member news.
func (m *Machine) enqueue(r *record) {
	m.order++
	if r.queued == nil {
		r.queued = &change{record: r}
		m.queue = append(m.queue, r.queued)
	}
	r.queued.sends = 0
	r.queued.order = m.order
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

// sendLimit is how often one change is sent. With n members each change reaches all but about e^-limit of them.
func (m *Machine) sendLimit() int {
	n := len(m.near) + len(m.far) + 2
	return 4 * int(math.Ceil(math.Log10(float64(n))))
}

// available returns the bytes that a use of the given priority may spend now.
func (m *Machine) available(p priority) int {
	floor := float64(m.limiter.Burst()) / floorDivisors[p]
	return int(m.limiter.TokensAt(m.now) - floor)
}

// send completes a message with the sender, the opinion on the receiver, pending changes and the table version, and
// sends it. It reports false when the byte budget does not allow the message.
func (m *Machine) send(to netip.AddrPort, message *Message, receiver *record, p priority) bool {
	message.Sender = m.self
	message.TableVersion = m.tableVersion
	message.Digest = m.digest()
	size := message.Size() + datagramOverhead
	if receiver != nil && receiver.host.State != member.StateAlive && receiver.host.State != member.StateLeaving {
		message.Changes = append(message.Changes, receiver.host)
		size += HostSize(receiver.host)
	}
	if size > m.available(p) {
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

// addChanges adds the pending changes, newest and least sent first, and then some refresh records.
func (m *Machine) addChanges(message *Message, size int, receiver *record) int {
	limit := min(MaxMessageBytes+datagramOverhead, m.available(priorityChange))
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

// addRefresh adds records of members that this process heard from lately. Older records are not used, since others may
// have forgotten that such a member is dead.
func (m *Machine) addRefresh(message *Message, size, limit int, receiver *record) int {
	if len(m.heard) == 0 {
		return size
	}
	start := m.random.IntN(len(m.heard))
	for i := range min(refreshCount, len(m.heard)) {
		r := m.heard[(start+i)%len(m.heard)]
		n := HostSize(r.host)
		if r == receiver || r.queued != nil || r.index < 0 || m.now.Sub(r.heardAt) > DeadMemory/2 || size+n > limit {
			continue
		}
		message.Changes = append(message.Changes, r.host)
		size += n
	}
	return size
}

// tickGossip spreads news faster than pings alone would. News of the process itself and new tables go out at once.
func (m *Machine) tickGossip() {
	if m.announceSelf {
		m.announceSelf = m.spread(versionFanout, priorityChange) == 0
	}
	if m.announceTable {
		m.announceTable = m.spread(versionFanout, priorityTable) == 0
	}
	if m.now.Before(m.nextGossip) {
		return
	}
	m.nextGossip = m.now.Add(GossipInterval)
	if len(m.queue) > 0 {
		m.spread(gossipFanout, priorityChange)
	}
}

// spread sends an Announce to random members and returns how many were sent.
func (m *Machine) spread(fanout int, p priority) int {
	sent := 0
	for _, r := range m.randomMembers(fanout, nil) {
		if !m.send(r.host.Address, &Message{Kind: KindAnnounce}, r, p) {
			break
		}
		sent++
	}
	return sent
}

// randomMembers picks up to n different reachable members other than one.
func (m *Machine) randomMembers(n int, except *record) []*record {
	picked := make([]*record, 0, n)
	// In a small group many tries hit the same members; in a large one the first n tries suffice.
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
	list := m.near
	if len(list) == 0 || len(m.far) > 0 && m.random.IntN(2) == 0 {
		list = m.far
	}
	if len(list) == 0 {
		return nil
	}
	return list[m.random.IntN(len(list))]
}
