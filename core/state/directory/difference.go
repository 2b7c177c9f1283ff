package directory

import (
	"net/netip"
	"slices"
)

// Difference is what leads from one version of a configuration to a later one. Routes are told apart by their address.
type Difference struct {
	From, To uint64
	Put      []Route          // new or changed
	Removed  []netip.AddrPort // addresses of routes
	Rest     Configuration    // as of To, without its routes
}

// Diff returns what leads from one configuration to another.
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
	return r.Name == o.Name && r.Address == o.Address && slices.Equal(r.Targets, o.Targets)
}

// Apply returns the later configuration. It reports false if the difference does not follow on c.
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

// Join returns one difference in place of some that follow on each other.
func Join(list []*Difference) *Difference {
	last := list[len(list)-1]
	joined := &Difference{From: list[0].From, To: last.To, Rest: last.Rest}
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
			joined.Put = append(joined.Put, *put[a])
			delete(put, a)
		case removed[a]:
			joined.Removed = append(joined.Removed, a)
			delete(removed, a)
		}
	}
	return joined
}

// Size returns the number of routes that the difference names.
func (d *Difference) Size() int { return len(d.Put) + len(d.Removed) }
