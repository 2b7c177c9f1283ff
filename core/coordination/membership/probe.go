package membership

import (
	"net/netip"
	"time"

	"cornellb/core/state/member"
)

// probe is the check of one member in the current period.
type probe struct {
	active   bool
	acked    bool
	indirect bool // others were asked
	target   *record
	sequence uint64
	started  time.Time
}

// relay is a ping on behalf of another member.
type relay struct {
	sequence uint64             // of the own ping
	target   member.Incarnation // of the own ping
	origin   netip.AddrPort
	returned uint64 // sequence to return to the origin
	expires  time.Time
}

// tickProbe runs the probe of the current period.
func (m *Machine) tickProbe() {
	p := &m.probe
	if p.active && !p.acked && !p.indirect && m.now.Sub(p.started) >= AckTimeout {
		p.indirect = true
		m.askOthers()
	}
	if m.now.Before(m.nextProbe) {
		return
	}
	if p.active && !p.acked {
		m.doubt(p.target)
	}
	m.startProbe()
}

func (m *Machine) startProbe() {
	m.probe = probe{}
	r := m.nextTarget()
	if r == nil {
		m.nextProbe = m.now.Add(ProbePeriod)
		return
	}
	m.sequence++
	message := &Message{Kind: KindPing, Sequence: m.sequence, Target: r.host.Incarnation}
	if !m.send(r.host.Address, message, r, priorityProbe) {
		// Without bytes for a ping there is no verdict on the member; it is tried again at the next Tick.
		m.probeList = append(m.probeList, r)
		return
	}
	m.probe = probe{active: true, target: r, sequence: m.sequence, started: m.now}
	m.nextProbe = m.now.Add(ProbePeriod)
}

// nextTarget takes the next member of the shuffled list, in which members of the own failure domain are twice. The list
// is consumed from its end.
func (m *Machine) nextTarget() *record {
	for range 2 {
		for len(m.probeList) > 0 {
			last := len(m.probeList) - 1
			r := m.probeList[last]
			m.probeList = m.probeList[:last]
			if r.index >= 0 {
				return r
			}
		}
		m.probeList = append(append(append(m.probeList, m.near...), m.near...), m.far...)
		m.random.Shuffle(len(m.probeList), func(i, j int) {
			m.probeList[i], m.probeList[j] = m.probeList[j], m.probeList[i]
		})
	}
	return nil
}

// insertProbe puts a new member at a random place of the current round.
func (m *Machine) insertProbe(r *record) {
	if len(m.probeList) > 2*len(m.sorted)+1 {
		return // members that come and go quickly must not make the list grow
	}
	m.probeList = append(m.probeList, r)
	last := len(m.probeList) - 1
	at := m.random.IntN(last + 1)
	m.probeList[at], m.probeList[last] = m.probeList[last], m.probeList[at]
}

// askOthers asks other members to ping the target, since only the path from here may be broken.
func (m *Machine) askOthers() {
	target := m.probe.target
	for _, r := range m.randomMembers(indirectProbes, target) {
		m.send(r.host.Address, &Message{
			Kind: KindPingRequest, Sequence: m.probe.sequence, Target: target.host.Incarnation,
			TargetAddress: target.host.Address,
		}, r, priorityProbe)
	}
}

// doubt marks a member that did not answer. A leaving member keeps its state, because a suspect may own pool shards.
func (m *Machine) doubt(r *record) {
	switch r.host.State {
	case member.StateAlive:
		m.stats.Suspicions++
		m.setState(r, member.StateSuspect)
		r.isOwn = true
		m.pingSuspect(r)
	case member.StateLeaving:
		if !r.doubtful {
			r.doubtful = true
			r.since = m.now
			m.addSuspect(r)
		}
	}
}

// pingSuspect tells a member that it is suspect, so that it can overrule this before it is declared dead.
func (m *Machine) pingSuspect(r *record) {
	if !r.isOwn || m.now.Sub(r.pingedAt) < ProbePeriod/2 {
		return
	}
	m.sequence++
	if m.send(r.host.Address, &Message{Kind: KindPing, Sequence: m.sequence, Target: r.host.Incarnation}, r, priorityProbe) {
		r.pingedAt = m.now
	}
}

// Receive takes a gossip message that came from an address. Its time is that of the last Tick.
func (m *Machine) Receive(from netip.AddrPort, message *Message) {
	sender := message.Sender
	if m.departed || sender.Incarnation == m.self.Incarnation || sender.Incarnation == 0 {
		return
	}
	before := m.records[sender.Incarnation]
	wasReachable := before != nil && before.index >= 0
	m.merge(sender, sourceGossip)
	for _, h := range message.Changes {
		if !m.now.Before(m.settled) || h.Incarnation == m.self.Incarnation {
			m.merge(h, sourceGossip)
		}
	}
	r := m.records[sender.Incarnation]
	if r != nil {
		m.hear(r, sender)
	}
	m.healFetch(r, wasReachable, message.Kind)
	if message.TableVersion > m.tableVersion {
		m.out.OfferTables(sender, message.TableVersion)
	}
	if r != nil && r.index >= 0 {
		m.agreement.count(message.Digest == m.digest())
	}
	if r == nil {
		r = m.opinionOn(sender.Incarnation)
	}
	m.answer(from, message, r)
}

// hear records a sign of life from the member itself.
func (m *Machine) hear(r *record, sender member.Host) {
	if r.index < 0 || sender.Refutation < r.host.Refutation {
		return
	}
	r.doubtful = false
	r.heardAt = m.now
	if r.isHeard {
		return
	}
	r.isHeard = true
	if len(m.heard) < maxHeard {
		m.heard = append(m.heard, r)
		return
	}
	m.heard[m.heardNext].isHeard = false
	m.heard[m.heardNext] = r
	m.heardNext = (m.heardNext + 1) % maxHeard
}

func (m *Machine) answer(from netip.AddrPort, message *Message, sender *record) {
	switch message.Kind {
	case KindPing:
		p := priorityProbe
		if message.Target == 0 {
			p = priorityChange // a search for members, which must not use up the bytes for acks to members
		}
		m.send(from, &Message{Kind: KindAck, Sequence: message.Sequence, Target: m.self.Incarnation}, sender, p)
	case KindPingRequest:
		m.relayPing(from, message)
	case KindAck:
		m.acknowledge(message)
	case KindAnnounce:
		// A sender that is not alive here must learn so, in order to overrule it.
		if sender != nil && sender.host.State != message.Sender.State &&
			(isGone(sender.host.State) || sender.host.State == member.StateSuspect) {
			m.send(from, &Message{Kind: KindAnnounce}, sender, priorityChange)
		}
	}
}

func (m *Machine) acknowledge(message *Message) {
	p := &m.probe
	if p.active && message.Sequence == p.sequence && message.Target == p.target.host.Incarnation {
		p.acked = true
		p.target.doubtful = false
		return
	}
	for i, r := range m.relays {
		if r.sequence == message.Sequence && r.target == message.Target {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.send(r.origin, &Message{Kind: KindAck, Sequence: r.returned, Target: r.target}, nil, priorityProbe)
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
		sequence: m.sequence, target: message.Target, origin: from, returned: message.Sequence,
		expires: m.now.Add(ProbePeriod),
	})
}
