package spread

import "time"

// ReadsEvacuations reports whether this balancer reads the evacuations from the store now.
func (p *Plan) ReadsEvacuations(now time.Time) bool { return p.reads(now, &p.evacuations) }

// ConfirmEvacuations records that the known set of evacuations was the newest at the given time.
func (p *Plan) ConfirmEvacuations(at time.Time) { p.evacuations.confirm(at) }

// UpdateEvacuations ends a takeover of reading the evacuations after a fresh announcement of a balancer with a better rank.
// An announcement without an age says nothing about them.
func (p *Plan) UpdateEvacuations(a *Announcement) {
	if a.Evacuations == nil && a.EvacuationsAge == 0 {
		return
	}
	if p.rankOf(a.Reader) < p.rank && a.EvacuationsAge <= p.evacuations.limit/2 {
		p.evacuations.hasTakenOver = false
	}
}
