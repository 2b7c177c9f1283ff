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

// Names of the two tables in faults and in files.
const (
	Routes = "routes"
	Pools  = "pools"
)

// Fault is one reason why tables are invalid.
type Fault struct {
	Table  string // "routes", "pools", or "file" for a fault outside both tables
	Entry  string // name of the entry as returned by EntryNames.Next, for example chamber, #3 or chamber (#2)
	Field  string // path within the entry, for example endpoints[2].slots; empty for the whole entry
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
		pools:     make(map[string]*Pool, len(t.Pools)),
	}
	c.checkPools(t.Pools)
	c.checkRoutes(t.Routes)
	if len(c.faults) == 0 {
		return nil
	}
	return &ValidationError{Faults: c.faults}
}

// EntryNames generates unique names for the entries of one table, for use in faults. An entry whose name is empty or
// not printable is identified by its position (#1, #2 ...). If an earlier entry has the same name, the position is
// appended.
type EntryNames struct {
	seen map[string]bool
}

// Next returns the name to use for the entry at a position, which counts from 0. It must be called once for each entry,
// in order.
func (n *EntryNames) Next(name string, position int) string {
	if name == "" || !isPrintable(name) {
		return fmt.Sprintf("#%d", position+1)
	}
	if n.seen == nil {
		n.seen = make(map[string]bool)
	}
	if n.seen[name] {
		return fmt.Sprintf("%s (#%d)", name, position+1)
	}
	n.seen[name] = true
	return name
}

// checker collects the faults of one call of Validate.
type checker struct {
	faults    []Fault
	addresses map[netip.AddrPort]string // service address to entry name of its route
	endpoints map[netip.AddrPort]int32  // endpoint address to index of its pool in poolNames
	poolNames []string                  // entry names of the pools checked so far
	pools     map[string]*Pool
}

func (c *checker) addFault(table, entry, field, format string, args ...any) {
	c.faults = append(c.faults, Fault{Table: table, Entry: entry, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkRoutes(routes []Route) {
	var entries EntryNames
	names := make(map[string]bool, len(routes))
	for i := range routes {
		r := &routes[i]
		entry := entries.Next(r.Name, i)
		c.checkTags(Routes, entry, "", r)
		if names[r.Name] && r.Name != "" {
			c.addFault(Routes, entry, "name", "is used by more than one route")
		}
		names[r.Name] = true
		if reason := addressFault(r.Address); reason != "" {
			c.addFault(Routes, entry, "address", "%s", reason)
		} else if other, found := c.addresses[r.Address]; found {
			c.addFault(Routes, entry, "address", "%s is also the address of route %s", r.Address, other)
		} else {
			c.addresses[r.Address] = entry
		}
		c.checkPoolReference(r, entry)
	}
}

func (c *checker) checkPoolReference(r *Route, entry string) {
	if r.Pool == "" {
		return // reported as a missing value
	}
	p, found := c.pools[r.Pool]
	switch {
	case !found:
		c.addFault(Routes, entry, "pool", "there is no pool %q", r.Pool)
	case p.Service != r.Service:
		c.addFault(Routes, entry, "pool", "pool %s is for service %q, the route for service %q", r.Pool, p.Service, r.Service)
	}
}

func (c *checker) checkPools(pools []Pool) {
	var entries EntryNames
	count := 0
	for i := range pools {
		count += len(pools[i].Endpoints)
	}
	c.endpoints = make(map[netip.AddrPort]int32, count)
	for i := range pools {
		p := &pools[i]
		entry := entries.Next(p.Name, i)
		c.checkTags(Pools, entry, "", p)
		if _, found := c.pools[p.Name]; found && p.Name != "" {
			c.addFault(Pools, entry, "name", "is used by more than one pool")
		} else {
			c.pools[p.Name] = p
		}
		c.poolNames = append(c.poolNames, entry)
		for j := range p.Endpoints {
			c.checkEndpoint(entry, j, &p.Endpoints[j])
		}
	}
}

func (c *checker) checkEndpoint(entry string, position int, e *Endpoint) {
	if !satisfiesTags(e) {
		c.checkTags(Pools, entry, endpointPrefix(position), e)
	}
	if reason := addressFault(e.Address); reason != "" {
		c.addFault(Pools, entry, endpointPrefix(position)+"address", "%s", reason)
		return
	}
	if other, found := c.endpoints[e.Address]; found {
		c.addFault(Pools, entry, endpointPrefix(position)+"address", "%s is already an endpoint of pool %s",
			e.Address, c.poolNames[other])
		return
	}
	c.endpoints[e.Address] = int32(len(c.poolNames) - 1)
}

func endpointPrefix(position int) string { return fmt.Sprintf("endpoints[%d].", position) }

// satisfiesTags reports whether an endpoint passes checkTags, without the reflection that evaluating the validate tags
// needs. Balancers validate up to 130,000 endpoints for each change, and evaluating the tags takes most of that time.
// The bounds must not be wider than those of the tags. False only means that the tags have to be evaluated.
func satisfiesTags(e *Endpoint) bool {
	return e.Slots >= 1 && e.Slots <= 1000 && e.Connections >= 1 && e.Connections <= 100000 &&
		e.FailureDomain != "" && len(e.FailureDomain) <= 64 && isPrintable(e.FailureDomain)
}

// addressFault returns why an address cannot be used, or an empty string. An IPv4-mapped IPv6 address is rejected: it
// would be a second key for the same service address, and packets would not find their route.
func addressFault(a netip.AddrPort) string {
	switch {
	case !a.IsValid():
		return "is missing or not an address with a port"
	case a.Port() == 0:
		return "port must not be 0"
	case a.Addr().Is4In6():
		return "must be written as an IPv4 address"
	case a.Addr().Zone() != "":
		return "must not have a zone"
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return "must be the address of one host"
	}
	return ""
}

// entryValidator evaluates the validate tags of entries. It reports fields by their JSON names, which files use too.
var entryValidator = newEntryValidator()

func newEntryValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		return strings.Split(f.Tag.Get("json"), ",")[0]
	})
	return v
}

// tagReasons returns the reason of a fault by the validate tag that failed. The max tag of a string counts characters.
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
			c.addFault(table, entry, prefix+f.Field(), "%s", tagReasons[f.Tag()](f))
		}
	}
	c.checkTexts(table, entry, prefix, value)
}

// checkTexts rejects strings that JSON encoding would alter, such as invalid UTF-8, and strings that would break a log
// line.
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
		c.addFault(table, entry, field, "must consist of printable characters, without spaces at its ends")
	}
}

func isPrintable(s string) bool {
	if !utf8.ValidString(s) || strings.TrimSpace(s) != s {
		return false
	}
	return strings.IndexFunc(s, func(r rune) bool { return !unicode.IsPrint(r) }) < 0
}
