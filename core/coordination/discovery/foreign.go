package discovery

import "cornellb/core/state/directory"

// contradicts reports whether an entry cannot be of the endpoint that it names: it has another service or address, but
// no later start. Such an entry was written by somebody else; the endpoint's own next entry replaces it.
func (s *State) contradicts(x *directory.Endpoint) bool {
	known := s.entries[x.ID]
	if known == nil {
		return false
	}
	e := known.endpoint
	return x.StartedAt <= e.StartedAt && (x.Service != e.Service || x.Address != e.Address)
}

// dropContradictions returns the changes without the endpoints of entries that contradict what is known. Such a change
// removes the registration.
func (s *State) dropContradictions(changes []Change) []Change {
	var list []Change
	for i, c := range changes {
		if c.Endpoint == nil || !s.contradicts(c.Endpoint) {
			continue
		}
		if list == nil {
			list = append(list, changes...)
		}
		list[i].Endpoint = nil
	}
	if list == nil {
		return changes
	}
	return list
}
