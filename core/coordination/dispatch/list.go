package dispatch

// listKind selects one of the lists that a flow can be in.
type listKind uint8

const (
	listAll     listKind = iota // flows of the shard
	listFeeds                   // flows with an open feed
	listUnacked                 // feeds with items that the caller has not acknowledged
	listCount
)

// flowList is a set of flows with a fixed order of iteration, so that a run with the same inputs repeats exactly. Adding
// and removing take constant time. The zero value is an empty list of kind listAll.
type flowList struct {
	kind  listKind
	flows []*flowState
}

func (l *flowList) add(f *flowState) {
	if f.places[l.kind] != 0 {
		return
	}
	l.flows = append(l.flows, f)
	f.places[l.kind] = len(l.flows)
}

// remove fills the gap with the last flow.
func (l *flowList) remove(f *flowState) {
	place := f.places[l.kind]
	if place == 0 {
		return
	}
	last := l.flows[len(l.flows)-1]
	l.flows[place-1], last.places[l.kind] = last, place
	l.flows[len(l.flows)-1] = nil
	l.flows = l.flows[:len(l.flows)-1]
	f.places[l.kind] = 0
}

// each calls visit for every flow, last first, so that visit may remove the flow that it is given.
func (l *flowList) each(visit func(*flowState)) {
	for i := len(l.flows) - 1; i >= 0; i-- {
		if i < len(l.flows) {
			visit(l.flows[i])
		}
	}
}
