package platform

import (
	"bytes"
	"fmt"
	"io"
	"net/netip"
	"regexp"
	"strconv"

	"github.com/pkg/errors"
	"gopkg.in/yaml.v3"

	"cornellb/core/state/table"
)

// fileTable is the table name in faults that belong to neither the routes nor the pools.
const fileTable = "file"

// EncodeTables encodes the tables as a YAML file that DecodeTables accepts.
func EncodeTables(t *table.Tables) ([]byte, error) {
	copied := *t
	if copied.Routes == nil {
		copied.Routes = []table.Route{}
	}
	if copied.Pools == nil {
		copied.Pools = []table.Pool{}
	}
	var b bytes.Buffer
	e := yaml.NewEncoder(&b)
	e.SetIndent(2)
	if err := e.Encode(&copied); err != nil {
		return nil, errors.Wrap(err, "encode tables file")
	}
	return b.Bytes(), nil
}

// DecodeTables decodes and validates a tables file. It returns a *table.ValidationError with all faults of the file and
// of its tables. Unknown, repeated and missing fields are faults, and so are addresses that are not in canonical form.
func DecodeTables(data []byte) (*table.Tables, error) {
	r := &fileReader{}
	t := &table.Tables{}
	if node := r.document(data); node != nil {
		r.tables(node, t)
	}
	faults := r.faults
	var invalid *table.ValidationError
	if err := table.Validate(t); errors.As(err, &invalid) {
		faults = append(faults, r.withoutReported(invalid.Faults)...)
	}
	if len(faults) > 0 {
		return nil, &table.ValidationError{Faults: faults}
	}
	return t, nil
}

// fileReader converts the YAML nodes of a file to tables and collects faults.
type fileReader struct {
	faults       []table.Fault
	isIncomplete bool // whole lists or entries could not be read, so table.Validate would report misleading faults
}

// location identifies the entry that is being read. The prefix precedes the names of its fields in faults, such as
// "endpoints[0].".
type location struct {
	table, entry, prefix string
}

// addFault records a fault of a field, with the line of the node if that is known.
func (r *fileReader) addFault(p location, field string, node *yaml.Node, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if node != nil && node.Line > 0 {
		reason = fmt.Sprintf("%s (line %d)", reason, node.Line)
	}
	r.faults = append(r.faults, table.Fault{Table: p.table, Entry: p.entry, Field: p.prefix + field, Reason: reason})
}

// withoutReported returns the validation faults of fields that have no fault of reading yet. A field that could not be
// read has its zero value, for which a validation fault would mislead. If the file is incomplete, it returns none.
func (r *fileReader) withoutReported(faults []table.Fault) []table.Fault {
	if r.isIncomplete {
		return nil
	}
	known := make(map[table.Fault]bool, len(r.faults))
	for _, f := range r.faults {
		known[table.Fault{Table: f.Table, Entry: f.Entry, Field: f.Field}] = true
	}
	var fresh []table.Fault
	for _, f := range faults {
		if !known[table.Fault{Table: f.Table, Entry: f.Entry, Field: f.Field}] {
			fresh = append(fresh, f)
		}
	}
	return fresh
}

// document parses the file and returns the top node of its only YAML document, or nil after a fault.
func (r *fileReader) document(data []byte) *yaml.Node {
	file := location{table: fileTable}
	d := yaml.NewDecoder(bytes.NewReader(data))
	var document, next yaml.Node
	if err := d.Decode(&document); err != nil {
		r.isIncomplete = true
		r.addFault(file, "", nil, "is not YAML: %v", err)
		return nil
	}
	if err := d.Decode(&next); !errors.Is(err, io.EOF) {
		r.isIncomplete = true
		r.addFault(file, "", nil, "contains more than one YAML document")
		return nil
	}
	return document.Content[0]
}

func (r *fileReader) tables(n *yaml.Node, t *table.Tables) {
	file := location{table: fileTable}
	found := r.fields(n, file, map[string]func(*yaml.Node){
		"version":    func(n *yaml.Node) { t.Version = r.number(n, file, "version") },
		table.Routes: func(n *yaml.Node) { t.Routes = list(r, n, table.Routes, r.route) },
		table.Pools:  func(n *yaml.Node) { t.Pools = list(r, n, table.Pools, r.pool) },
	})
	for _, field := range []string{"version", table.Routes, table.Pools} {
		if !found[field] {
			r.isIncomplete = r.isIncomplete || field != "version"
			r.addFault(file, field, nil, "is missing")
		}
	}
}

// list reads the entries of a table with read, which gets the location of each entry.
func list[T any](r *fileReader, n *yaml.Node, name string, read func(*yaml.Node, location) T) []T {
	if n.Kind != yaml.SequenceNode {
		r.isIncomplete = true
		r.addFault(location{table: fileTable}, name, n, "must be a list")
		return nil
	}
	var names table.EntryNames
	entries := make([]T, 0, len(n.Content))
	for i, c := range n.Content {
		entries = append(entries, read(c, location{table: name, entry: names.Next(entryName(c), i)}))
	}
	return entries
}

func (r *fileReader) route(n *yaml.Node, p location) table.Route {
	var route table.Route
	r.fields(n, p, map[string]func(*yaml.Node){
		"name":    func(n *yaml.Node) { route.Name = r.text(n, p, "name") },
		"address": func(n *yaml.Node) { route.Address = r.address(n, p, "address") },
		"service": func(n *yaml.Node) { route.Service = r.text(n, p, "service") },
		"pool":    func(n *yaml.Node) { route.Pool = r.text(n, p, "pool") },
	})
	return route
}

func (r *fileReader) pool(n *yaml.Node, p location) table.Pool {
	var pool table.Pool
	found := r.fields(n, p, map[string]func(*yaml.Node){
		"name":      func(n *yaml.Node) { pool.Name = r.text(n, p, "name") },
		"service":   func(n *yaml.Node) { pool.Service = r.text(n, p, "service") },
		"endpoints": func(n *yaml.Node) { pool.Endpoints = r.endpoints(n, p) },
	})
	if n.Kind == yaml.MappingNode && !found["endpoints"] {
		r.addFault(p, "endpoints", n, "is missing")
	}
	return pool
}

func (r *fileReader) endpoints(n *yaml.Node, p location) []table.Endpoint {
	if n.Kind != yaml.SequenceNode {
		r.addFault(p, "endpoints", n, "must be a list")
		return nil
	}
	endpoints := make([]table.Endpoint, 0, len(n.Content))
	for i, c := range n.Content {
		q := location{table: p.table, entry: p.entry, prefix: fmt.Sprintf("endpoints[%d].", i)}
		endpoints = append(endpoints, r.endpoint(c, q))
	}
	return endpoints
}

func (r *fileReader) endpoint(n *yaml.Node, p location) table.Endpoint {
	var e table.Endpoint
	r.fields(n, p, map[string]func(*yaml.Node){
		"address":        func(n *yaml.Node) { e.Address = r.address(n, p, "address") },
		"failure_domain": func(n *yaml.Node) { e.FailureDomain = r.text(n, p, "failure_domain") },
		"slots":          func(n *yaml.Node) { e.Slots = int(r.number(n, p, "slots")) },
		"connections":    func(n *yaml.Node) { e.Connections = int(r.number(n, p, "connections")) },
		"leaving":        func(n *yaml.Node) { e.Leaving = r.boolean(n, p, "leaving") },
	})
	return e
}

// fields calls the function in readers for each field of a mapping and returns the names of the fields that are
// present, including unknown ones.
func (r *fileReader) fields(n *yaml.Node, p location, readers map[string]func(*yaml.Node)) map[string]bool {
	found := make(map[string]bool, len(readers))
	if n.Kind != yaml.MappingNode {
		r.isIncomplete = true
		r.addFault(p, "", n, "must be a mapping of fields")
		return found
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		read, known := readers[key.Value]
		switch {
		case !known:
			r.addFault(p, key.Value, key, "unknown field")
		case found[key.Value]:
			r.addFault(p, key.Value, key, "is given more than once")
		default:
			read(value)
		}
		found[key.Value] = true
	}
	return found
}

// entryName returns the value of the field "name" of an entry without recording faults, or "" if it cannot be read.
func entryName(n *yaml.Node) string {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "name" {
			return (&fileReader{}).text(n.Content[i+1], location{}, "name")
		}
	}
	return ""
}

// scalar returns the value of a scalar node with one of the tags; otherwise it records that the field must be what want
// describes. Aliases are rejected, because files are edited by hand and reviewed line by line.
func (r *fileReader) scalar(n *yaml.Node, p location, field, want string, tags ...string) (string, bool) {
	for _, tag := range tags {
		if n.Kind == yaml.ScalarNode && n.Tag == tag {
			return n.Value, true
		}
	}
	r.addFault(p, field, n, "must be %s", want)
	return "", false
}

// text reads a string. It accepts integers too, so that a failure domain named 1 needs no quotes.
func (r *fileReader) text(n *yaml.Node, p location, field string) string {
	value, _ := r.scalar(n, p, field, "a string", "!!str", "!!int")
	return value
}

// decimalPattern matches decimal integers of up to 18 digits. It excludes YAML's octal, hexadecimal and signed integers
// and those with underscores; YAML would read 010 as 8.
var decimalPattern = regexp.MustCompile(`^(0|[1-9][0-9]{0,17})$`)

func (r *fileReader) number(n *yaml.Node, p location, field string) uint64 {
	value, ok := r.scalar(n, p, field, "a whole number", "!!int")
	if !ok {
		return 0
	}
	if !decimalPattern.MatchString(value) {
		r.addFault(p, field, n, "must be a whole number in plain decimal digits, not %q", value)
		return 0
	}
	number, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		r.addFault(p, field, n, "%v", err)
	}
	return number
}

func (r *fileReader) boolean(n *yaml.Node, p location, field string) bool {
	value, ok := r.scalar(n, p, field, "true or false", "!!bool")
	if ok && value != "true" && value != "false" {
		r.addFault(p, field, n, "must be true or false, not %q", value)
	}
	return value == "true"
}

func (r *fileReader) address(n *yaml.Node, p location, field string) netip.AddrPort {
	value, ok := r.scalar(n, p, field, "an address with a port", "!!str")
	if !ok {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		r.addFault(p, field, n, "must be an address with a port, not %q", value)
		return netip.AddrPort{}
	case address.String() != value:
		r.addFault(p, field, n, "must be written as %s, not %q", address, value)
		return netip.AddrPort{}
	}
	return address
}
