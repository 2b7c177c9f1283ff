package membership

import (
	"net/netip"
	"time"

	"cornellb/core/state/member"
)

// probe is the health check of one member in the current probe period.
type probe struct {
	active       bool
	acked        bool
	indirectSent bool // ping requests were sent to other members
	target       *record
	sequence     uint64
	started      time.Time
}

// relay is a ping that another member requested.
type relay struct {
	sequence       uint64             // of the own ping
	target         member.Incarnation // of the own ping
	origin         netip.AddrPort     // the member that sent the request
	originSequence uint64             // sequence number of the request, for the ack to the origin
	expires        time.Time
}

// tickProbe sends indirect pings if the probe of the current period has no ack within AckTimeout, and starts the next
// probe at the end of the period.
func (m *Machine) tickProbe() {
	p := &m.probe
	if p.active && !p.acked && !p.indirectSent && m.now.Sub(p.started) >= AckTimeout {
		p.indirectSent = true
		m.sendIndirectProbes()
	}
	if m.now.Before(m.nextProbe) {
		return
	}
	if p.active && !p.acked {
		m.probeFailed(p.target)
	}
	m.startProbe()
}

func (m *Machine) startProbe() {
	m.probe = probe{}
	r := m.nextProbeTarget()
	if r == nil {
		m.nextProbe = m.now.Add(ProbePeriod)
		return
	}
	m.sequence++
	message := &Message{Kind: KindPing, Sequence: m.sequence, Target: r.host.Incarnation}
	if !m.send(r.host.Address, message, r, priorityProbe) {
		// The byte budget does not allow the ping, which says nothing about the member. The next Tick tries again.
		m.probeList = append(m.probeList, r)
		return
	}
	m.probe = probe{active: true, target: r, sequence: m.sequence, started: m.now}
	m.nextProbe = m.now.Add(ProbePeriod)
}

// nextProbeTarget takes the next reachable member from the end of the shuffled probe list, or returns nil. An empty
// list is refilled; members of the own failure domain are in it twice.
func (m *Machine) nextProbeTarget() *record {
	for range 2 {
		for len(m.probeList) > 0 {
			last := len(m.probeList) - 1
			r := m.probeList[last]
			m.probeList = m.probeList[:last]
			if r.index >= 0 {
				return r
			}
		}
		m.probeList = append(append(append(m.probeList, m.sameDomain...), m.sameDomain...), m.otherDomains...)
		m.random.Shuffle(len(m.probeList), func(i, j int) {
			m.probeList[i], m.probeList[j] = m.probeList[j], m.probeList[i]
		})
	}
	return nil
}

// addToProbeList inserts a new member at a random position of the probe list.
func (m *Machine) addToProbeList(r *record) {
	if len(m.probeList) > 2*len(m.sorted)+1 {
		return // members that join and leave in quick succession must not make the list grow
	}
	m.probeList = append(m.probeList, r)
	last := len(m.probeList) - 1
	at := m.random.IntN(last + 1)
	m.probeList[at], m.probeList[last] = m.probeList[last], m.probeList[at]
}

// sendIndirectProbes asks other members to ping the target, since only the path from this process to it may be broken.
func (m *Machine) sendIndirectProbes() {
	target := m.probe.target
	for _, r := range m.randomMembers(indirectProbes, target) {
		m.send(r.host.Address, &Message{
			Kind: KindPingRequest, Sequence: m.probe.sequence, Target: target.host.Incarnation,
			TargetAddress: target.host.Address,
		}, r, priorityProbe)
	}
}

// probeFailed makes an alive member that did not answer suspect. A leaving member keeps its state, because a suspect
// may own pool shards, but expires like a suspect.
func (m *Machine) probeFailed(r *record) {
	switch r.host.State {
	case member.StateAlive:
		m.stats.Suspicions++
		m.setState(r, member.StateSuspect)
		r.suspectedHere = true
		m.pingSuspect(r)
	case member.StateLeaving:
		if !r.unresponsive {
			r.unresponsive = true
			r.stateSince = m.now
			m.addSuspect(r)
		}
	}
}

// pingSuspect sends a member a ping that tells it that it is suspect, so that it can refute this before it is declared
// dead.
func (m *Machine) pingSuspect(r *record) {
	if !r.suspectedHere || m.now.Sub(r.pingedAt) < ProbePeriod/2 {
		return
	}
	m.sequence++
	if m.send(r.host.Address, &Message{Kind: KindPing, Sequence: m.sequence, Target: r.host.Incarnation}, r, priorityProbe) {
		r.pingedAt = m.now
	}
}

// Receive handles a gossip message from an address. It uses the machine time of the last Tick.
func (m *Machine) Receive(from netip.AddrPort, message *Message) {
	sender := message.Sender
	if m.departed || sender.Incarnation == m.self.Incarnation || sender.Incarnation == 0 {
		return
	}
	before := m.records[sender.Incarnation]
	wasReachable := before != nil && before.index >= 0
	m.merge(sender, sourceGossip)
	for _, h := range message.Changes {
		if !m.now.Before(m.settledAt) || h.Incarnation == m.self.Incarnation {
			m.merge(h, sourceGossip)
		}
	}
	r := m.records[sender.Incarnation]
	if r != nil {
		if m.now.Before(m.settledAt) {
			m.dequeue(r) // the message may be from before a pause, and the sender may have stopped since
		}
		m.recordMessage(r, sender)
	}
	m.startHealFetch(r, wasReachable, message.Kind)
	if message.TableVersion > m.tableVersion {
		m.out.ReportNewerTables(sender, message.TableVersion)
	}
	if r != nil && r.index >= 0 {
		m.agreement.count(message.Digest == m.digest())
	}
	if r == nil {
		r = m.recordOf(sender.Incarnation)
	}
	m.respond(from, message, r)
}

// recordMessage records that a message from the member itself arrived, unless the message is older than a known
// refutation.
func (m *Machine) recordMessage(r *record, sender member.Host) {
	if r.index < 0 || sender.Refutation < r.host.Refutation {
		return
	}
	r.unresponsive = false
	if m.now.Before(m.settledAt) {
		return
	}
	r.lastMessageAt = m.now
	if r.isRecentSender {
		return
	}
	r.isRecentSender = true
	if len(m.recentSenders) < maxRecentSenders {
		m.recentSenders = append(m.recentSenders, r)
		return
	}
	m.recentSenders[m.nextSender].isRecentSender = false
	m.recentSenders[m.nextSender] = r
	m.nextSender = (m.nextSender + 1) % maxRecentSenders
}

func (m *Machine) respond(from netip.AddrPort, message *Message, sender *record) {
	switch message.Kind {
	case KindPing:
		p := priorityProbe
		if message.Target == 0 {
			p = priorityChange // pings that search for members must not use up the bytes for acks to members
		}
		m.send(from, &Message{Kind: KindAck, Sequence: message.Sequence, Target: m.self.Incarnation}, sender, p)
	case KindPingRequest:
		m.relayPing(from, message)
	case KindAck:
		m.handleAck(message)
	case KindAnnounce:
		// A sender that is suspect, dead or left in this process must learn this, in order to refute it.
		if sender != nil && sender.host.State != message.Sender.State &&
			(isGone(sender.host.State) || sender.host.State == member.StateSuspect) {
			m.send(from, &Message{Kind: KindAnnounce}, sender, priorityChange)
		}
	}
}

func (m *Machine) handleAck(message *Message) {
	p := &m.probe
	if p.active && message.Sequence == p.sequence && message.Target == p.target.host.Incarnation {
		p.acked = true
		p.target.unresponsive = false
		return
	}
	for i, r := range m.relays {
		if r.sequence == message.Sequence && r.target == message.Target {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.send(r.origin, &Message{Kind: KindAck, Sequence: r.originSequence, Target: r.target}, nil, priorityProbe)
			return
		}
	}
}

func (m *Machine) relayPing(from netip.AddrPort, message *Message) {
	for len(m.relays) > 0 && (m.now.After(m.relays[0].expires) || len(m.relays) >= maxRelays) {
		m.relays = m.relays[1:]
	}
	if !message.TargetAddress.IsValid() || message.TargetAddress == m.self.Address {
		return
	}
	m.sequence++
	ping := &Message{Kind: KindPing, Sequence: m.sequence, Target: message.Target}
	if !m.send(message.TargetAddress, ping, m.records[message.Target], priorityProbe) {
		return
	}
	m.relays = append(m.relays, relay{
		sequence: m.sequence, target: message.Target, origin: from, originSequence: message.Sequence,
		expires: m.now.Add(ProbePeriod),
	})
}
