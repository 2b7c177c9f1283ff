package dispatch

// listKind selects one of the lists that a flow can be in.
type listKind uint8

const (
	listAll     listKind = iota // flows of the shard
	listFeeds                   // flows with an open feed
	listUnacked                 // feeds with items that the caller has not acknowledged
	listCount
)

// flowList is a set of flows whose order of iteration is deterministic, so that runs with the same inputs are
// reproducible. Adding and removing take constant time. The zero value is an empty list of kind listAll.
type flowList struct {
	kind  listKind
	flows []*flowState
}

func (l *flowList) add(f *flowState) {
	if f.positions[l.kind] != 0 {
		return
	}
	l.flows = append(l.flows, f)
	f.positions[l.kind] = len(l.flows)
}

// remove fills the gap with the last flow.
func (l *flowList) remove(f *flowState) {
	position := f.positions[l.kind]
	if position == 0 {
		return
	}
	last := l.flows[len(l.flows)-1]
	l.flows[position-1], last.positions[l.kind] = last, position
	l.flows[len(l.flows)-1] = nil
	l.flows = l.flows[:len(l.flows)-1]
	f.positions[l.kind] = 0
}

// each calls visit for every flow, last first, so that visit may remove the flow that it is given.
func (l *flowList) each(visit func(*flowState)) {
	for i := len(l.flows) - 1; i >= 0; i-- {
		if i < len(l.flows) {
			visit(l.flows[i])
		}
	}
}
