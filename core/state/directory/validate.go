package directory

import (
	"fmt"
	"net/netip"
)

// Limits of entries. Balancers send entries to each other, and an entry that one of them accepts must not be refused by
// another.
const (
	MaxNameBytes = 256 // of an endpoint's ID, a service or a failure domain
	MaxTargets   = 256 // of a route
	MaxSlots     = 1_000_000
	MaxWeight    = 1e9 // of a target; the sum of MaxTargets weights is finite
	MaxPriority  = 1_000
	MaxColdRate  = 1e9 // requests per second of a cold endpoint
)

// InvalidError says why an entry cannot be used.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string { return fmt.Sprintf("field %s: %s", e.Field, e.Reason) }

// Validate returns an *InvalidError if the endpoint cannot be used.
func (e *Endpoint) Validate() error {
	for _, x := range []struct{ field, value string }{
		{"id", e.ID}, {"service", e.Service}, {"failure_domain", e.FailureDomain},
	} {
		if err := validateName(x.field, x.value); err != nil {
			return err
		}
	}
	if e.Number == 0 {
		return &InvalidError{Field: "number", Reason: "is 0"}
	}
	if e.Slots < 1 || e.Slots > MaxSlots {
		return &InvalidError{Field: "slots", Reason: fmt.Sprintf("is %d, want 1 to %d", e.Slots, MaxSlots)}
	}
	return validateAddress(e.Address)
}

// Validate returns an *InvalidError if the route cannot be used.
func (r *Route) Validate() error {
	if len(r.Targets) == 0 || len(r.Targets) > MaxTargets {
		return &InvalidError{Field: "targets", Reason: fmt.Sprintf("has %d entries, want 1 to %d", len(r.Targets), MaxTargets)}
	}
	for _, t := range r.Targets {
		if err := validateName("service", t.Service); err != nil {
			return err
		}
		if !(t.Weight > 0 && t.Weight <= MaxWeight) {
			return &InvalidError{Field: "weight", Reason: fmt.Sprintf("is %g, want more than 0 and at most %g", t.Weight, MaxWeight)}
		}
	}
	if r.Priority < 0 || r.Priority > MaxPriority {
		return &InvalidError{Field: "priority", Reason: fmt.Sprintf("is %d, want 0 to %d", r.Priority, MaxPriority)}
	}
	return validateAddress(r.Address)
}

// Validate returns an *InvalidError if a failure domain has an invalid name.
func (e *Evacuations) Validate() error {
	for _, name := range e.Domains {
		if err := validateName("failure_domain", name); err != nil {
			return err
		}
	}
	return nil
}

// Validate returns an *InvalidError if the service cannot be used.
func (s *Service) Validate() error {
	if err := validateName("name", s.Name); err != nil {
		return err
	}
	if !(s.ColdPerSecond >= 0 && s.ColdPerSecond <= MaxColdRate) {
		return &InvalidError{Field: "cold_per_second", Reason: fmt.Sprintf("is %g, want 0 to %g", s.ColdPerSecond, MaxColdRate)}
	}
	return nil
}

func validateName(field, name string) error {
	if name == "" || len(name) > MaxNameBytes {
		return &InvalidError{Field: field, Reason: fmt.Sprintf("has %d bytes, want 1 to %d", len(name), MaxNameBytes)}
	}
	return nil
}

// validateAddress checks an address to which packets are sent.
func validateAddress(a netip.AddrPort) error {
	ip := a.Addr()
	if !ip.Is4() || a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == netip.AddrFrom4([4]byte{255, 255, 255, 255}) {
		return &InvalidError{Field: "address", Reason: fmt.Sprintf("%s is no unicast IPv4 address with a port", a)}
	}
	return nil
}
