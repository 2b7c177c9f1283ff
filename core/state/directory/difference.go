package directory

import (
	"net/netip"
	"slices"
)

// Difference holds the changes from one version of a configuration to a later one. Routes are identified by their
// address.
type Difference struct {
	From, To uint64
	Put      []Route          // new or changed routes
	Removed  []netip.AddrPort // addresses of removed routes
	Rest     Configuration    // the other fields of version To
}

// Diff returns the changes from one configuration to another.
func Diff(from, to *Configuration) *Difference {
	d := &Difference{From: from.Version, To: to.Version, Rest: *to}
	d.Rest.Routes = nil
	old := make(map[netip.AddrPort]*Route, len(from.Routes))
	for i := range from.Routes {
		old[from.Routes[i].Address] = &from.Routes[i]
	}
	for i := range to.Routes {
		r := &to.Routes[i]
		if known := old[r.Address]; known == nil || !known.equals(r) {
			d.Put = append(d.Put, *r)
		}
		delete(old, r.Address)
	}
	for i := range from.Routes { // in the order of the configuration, so that equal inputs give equal differences
		if address := from.Routes[i].Address; old[address] != nil {
			d.Removed = append(d.Removed, address)
			delete(old, address)
		}
	}
	return d
}

func (r *Route) equals(o *Route) bool {
	return r.Name == o.Name && r.Address == o.Address && slices.Equal(r.Targets, o.Targets) &&
		r.Priority == o.Priority && r.Aim == o.Aim && r.Timeout == o.Timeout
}

// Apply returns the later configuration. It reports false if c is not version From, or if To is not newer than From.
func (d *Difference) Apply(c *Configuration) (*Configuration, bool) {
	if c.Version != d.From || d.To <= d.From {
		return nil, false
	}
	replaced := make(map[netip.AddrPort]bool, len(d.Put)+len(d.Removed))
	for i := range d.Put {
		replaced[d.Put[i].Address] = true
	}
	for _, a := range d.Removed {
		replaced[a] = true
	}
	later := d.Rest
	later.Version = d.To
	later.Routes = make([]Route, 0, len(c.Routes)+len(d.Put))
	for i := range c.Routes {
		if !replaced[c.Routes[i].Address] {
			later.Routes = append(later.Routes, c.Routes[i])
		}
	}
	later.Routes = append(later.Routes, d.Put...)
	return &later, true
}

// Merge combines consecutive differences into one. list must not be empty.
func Merge(list []*Difference) *Difference {
	last := list[len(list)-1]
	merged := &Difference{From: list[0].From, To: last.To, Rest: last.Rest}
	put := make(map[netip.AddrPort]*Route)
	removed := make(map[netip.AddrPort]bool)
	var order []netip.AddrPort
	for _, d := range list {
		for i := range d.Put {
			a := d.Put[i].Address
			order = append(order, a)
			put[a] = &d.Put[i]
			delete(removed, a)
		}
		for _, a := range d.Removed {
			order = append(order, a)
			delete(put, a)
			removed[a] = true
		}
	}
	for _, a := range order {
		switch {
		case put[a] != nil:
			merged.Put = append(merged.Put, *put[a])
			delete(put, a)
		case removed[a]:
			merged.Removed = append(merged.Removed, a)
			delete(removed, a)
		}
	}
	return merged
}

// Size returns the number of routes that the difference adds, changes or removes.
func (d *Difference) Size() int { return len(d.Put) + len(d.Removed) }
