package table

import (
	"fmt"
	"net/netip"
	"reflect"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-playground/validator/v10"
	"github.com/pkg/errors"
)

// Names of the two tables as they appear in faults and files.
const (
	Routes = "routes"
	Pools  = "pools"
)

// Fault is one reason why tables cannot be put in force.
type Fault struct {
	Table  string // routes, pools, or file for faults outside of both
	Entry  string // name of the entry, or its position (#1, #2 ...) when it has no name
	Field  string // path inside the entry, for example endpoints[2].slots; empty for the whole entry
	Reason string
}

// String returns the fault as one line.
func (f Fault) String() string {
	place := f.Table
	for _, part := range []string{f.Entry, f.Field} {
		if part != "" {
			place += " " + part
		}
	}
	return place + ": " + f.Reason
}

// ValidationError reports all faults of tables.
type ValidationError struct {
	Faults []Fault
}

func (e *ValidationError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("%d faults in the tables", len(e.Faults)))
	if len(e.Faults) == 1 {
		lines[0] = "1 fault in the tables"
	}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Validate checks both tables and returns a *ValidationError with all faults, or nil.
func Validate(t *Tables) error {
	c := &checker{
		addresses: make(map[netip.AddrPort]string, len(t.Routes)),
		endpoints: make(map[netip.AddrPort]string),
		pools:     make(map[string]*Pool, len(t.Pools)),
	}
	c.checkPools(t.Pools)
	c.checkRoutes(t.Routes)
	if len(c.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: c.faults}
}

// EntryName returns the name that faults use for the entry at a position of its table.
func EntryName(name string, position int) string {
	if name == "" || !isPrintable(name) {
		return fmt.Sprintf("#%d", position+1)
	}
	return name
}

type checker struct {
	faults    []Fault
	addresses map[netip.AddrPort]string // service address to route
	endpoints map[netip.AddrPort]string // endpoint address to pool
	pools     map[string]*Pool
}

func (c *checker) add(table, entry, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Table: table, Entry: entry, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRoutes(routes []Route) {
	names := make(map[string]bool, len(routes))
	for i := range routes {
		r := &routes[i]
		entry := EntryName(r.Name, i)
		c.checkTags(Routes, entry, "", r)
		if names[r.Name] && r.Name != "" {
			c.add(Routes, entry, "name", "is used by more than one route")
		}
		names[r.Name] = true
		if c.checkAddress(Routes, entry, "address", r.Address) {
			if other, found := c.addresses[r.Address]; found {
				c.add(Routes, entry, "address", "%s is also the address of route %s", r.Address, other)
			} else {
				c.addresses[r.Address] = entry
			}
		}
		c.checkPoolOf(r, entry)
	}
}

func (c *checker) checkPoolOf(r *Route, entry string) {
	if r.Pool == "" {
		return // reported as a missing value
	}
	p, found := c.pools[r.Pool]
	switch {
	case !found:
		c.add(Routes, entry, "pool", "there is no pool %q", r.Pool)
	case p.Service != r.Service:
		c.add(Routes, entry, "pool", "pool %s is for service %q, the route for service %q", r.Pool, p.Service, r.Service)
	}
}

func (c *checker) checkPools(pools []Pool) {
	for i := range pools {
		p := &pools[i]
		entry := EntryName(p.Name, i)
		c.checkTags(Pools, entry, "", p)
		if _, found := c.pools[p.Name]; found && p.Name != "" {
			c.add(Pools, entry, "name", "is used by more than one pool")
		} else {
			c.pools[p.Name] = p
		}
		for j := range p.Endpoints {
			c.checkEndpoint(entry, fmt.Sprintf("endpoints[%d].", j), &p.Endpoints[j])
		}
	}
}

func (c *checker) checkEndpoint(entry, prefix string, e *Endpoint) {
	c.checkTags(Pools, entry, prefix, e)
	if !c.checkAddress(Pools, entry, prefix+"address", e.Address) {
		return
	}
	if other, found := c.endpoints[e.Address]; found {
		c.add(Pools, entry, prefix+"address", "%s is already an endpoint of pool %s", e.Address, other)
		return
	}
	c.endpoints[e.Address] = entry
}

// checkAddress accepts only one way to write an address. An IPv4 address mapped into IPv6 would otherwise be a second
// key for the same service address, and packets would miss their route.
func (c *checker) checkAddress(table, entry, field string, a netip.AddrPort) bool {
	reason := ""
	switch {
	case !a.IsValid():
		reason = "is missing or not an address with a port"
	case a.Port() == 0:
		reason = "port must not be 0"
	case a.Addr().Is4In6():
		reason = "must be written as an IPv4 address"
	case a.Addr().Zone() != "":
		reason = "must not have a zone"
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		reason = "must be the address of one host"
	default:
		return true
	}
	c.add(table, entry, field, "%s", reason)
	return false
}

// entryValidator reads the validate tags of the entries and names fields as files do.
var entryValidator = newEntryValidator()

func newEntryValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("json"), ",")[0]
	})
	return v
}

// tagReasons words the faults of validate tags. The limit of a text counts characters.
var tagReasons = map[string]func(f validator.FieldError) string{
	"required": func(validator.FieldError) string { return "is missing" },
	"min": func(f validator.FieldError) string {
		return fmt.Sprintf("must be at least %s, is %v", f.Param(), f.Value())
	},
	"max": func(f validator.FieldError) string {
		if f.Kind() == reflect.String {
			return fmt.Sprintf("must have at most %s characters", f.Param())
		}
		return fmt.Sprintf("must be at most %s, is %v", f.Param(), f.Value())
	},
}

func (c *checker) checkTags(table, entry, prefix string, value any) {
	var faults validator.ValidationErrors
	if err := entryValidator.Struct(value); errors.As(err, &faults) {
		for _, f := range faults {
			c.add(table, entry, prefix+f.Field(), "%s", tagReasons[f.Tag()](f))
		}
	}
	c.checkTexts(table, entry, prefix, value)
}

// checkTexts rejects texts that would not survive the encoding of a segment unchanged or would break a log line.
func (c *checker) checkTexts(table, entry, prefix string, value any) {
	switch v := value.(type) {
	case *Route:
		c.checkText(table, entry, prefix+"name", v.Name)
		c.checkText(table, entry, prefix+"service", v.Service)
		c.checkText(table, entry, prefix+"pool", v.Pool)
	case *Pool:
		c.checkText(table, entry, prefix+"name", v.Name)
		c.checkText(table, entry, prefix+"service", v.Service)
	case *Endpoint:
		c.checkText(table, entry, prefix+"failure_domain", v.FailureDomain)
	}
}

func (c *checker) checkText(table, entry, field, text string) {
	if !isPrintable(text) {
		c.add(table, entry, field, "must consist of printable characters, without spaces at its ends")
	}
}

func isPrintable(s string) bool {
	if !utf8.ValidString(s) || strings.TrimSpace(s) != s {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
