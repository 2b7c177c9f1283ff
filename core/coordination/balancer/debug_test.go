package balancer_test

import (
	"fmt"

	"cornellb/core/state/flow"
)

func (f *fleet) explain(c *caller) string {
	var t flow.Ticket
	_ = f.codec.Open(c.ticket, &t)
	s := fmt.Sprintf("%s ticket shard=%s owner=%x serial=%d ep=%s opened=%v delivered=%d;", c.name, t.Shard, t.Grant.Owner, t.Grant.Serial, t.Endpoint, c.opened, c.delivered)
	for _, n := range f.nodes {
		if n.isDead {
			continue
		}
		s += fmt.Sprintf("\n   node %s %s inc=%x paused=%v tables=%d:", n.host.ID, n.host.FailureDomain, n.host.Incarnation, n.isPaused, n.b.Version())
		for _, h := range n.b.Plan().View.Hosts {
			s += fmt.Sprintf(" %s/%s/%s", h.ID, h.FailureDomain, h.State)
		}
		for k, l := range n.b.Loads() {
			s += fmt.Sprintf(" [%s %+v]", k, l)
		}
		for _, l := range n.sortedLinks() {
			s += fmt.Sprintf(" {%s %s want=%v up=%v}", l.address, l.service, l.wanted, l.server != nil)
		}
	}
	s += fmt.Sprintf("\n tables %+v\n", f.tables)
	for k, v := range f.counts {
		s += fmt.Sprintf(" %s=%d", k, v)
	}
	return s
}
