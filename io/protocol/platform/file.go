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

// fileTable is the table name of faults that belong to neither table.
const fileTable = "file"

// EncodeTables returns the tables as a file that DecodeTables reads back.
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

// DecodeTables reads and validates a tables file. It returns a *table.ValidationError with all faults of the file and of
// its tables. Unknown, repeated and missing fields are faults, and so is any address that is not written in its one
// canonical form.
func DecodeTables(data []byte) (*table.Tables, error) {
	r := &fileReader{}
	t := &table.Tables{}
	if node := r.document(data); node != nil {
		r.tables(node, t)
	}
	faults := r.faults
	var invalid *table.ValidationError
	if err := table.Validate(t); errors.As(err, &invalid) {
		faults = append(faults, r.newFaults(invalid.Faults)...)
	}
	if len(faults) > 0 {
		return nil, &table.ValidationError{Faults: faults}
	}
	return t, nil
}

// fileReader walks the nodes of a file and collects faults.
type fileReader struct {
	faults   []table.Fault
	isBroken bool // the tables are too incomplete for checks across entries
}

// place names the entry that is being read.
type place struct {
	table, entry, prefix string
}

func (r *fileReader) add(p place, field string, node *yaml.Node, format string, args ...any) {
	reason := fmt.Sprintf(format, args...)
	if node != nil && node.Line > 0 {
		reason = fmt.Sprintf("%s (line %d)", reason, node.Line)
	}
	r.faults = append(r.faults, table.Fault{Table: p.table, Entry: p.entry, Field: p.prefix + field, Reason: reason})
}

// newFaults leaves out faults of fields that could not be read: their zero values are not what the file says.
func (r *fileReader) newFaults(faults []table.Fault) []table.Fault {
	if r.isBroken {
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

func (r *fileReader) document(data []byte) *yaml.Node {
	file := place{table: fileTable}
	d := yaml.NewDecoder(bytes.NewReader(data))
	var document, next yaml.Node
	if err := d.Decode(&document); err != nil {
		r.isBroken = true
		r.add(file, "", nil, "is not YAML: %v", err)
		return nil
	}
	if err := d.Decode(&next); !errors.Is(err, io.EOF) {
		r.isBroken = true
		r.add(file, "", nil, "holds more than one document")
		return nil
	}
	return document.Content[0]
}

func (r *fileReader) tables(n *yaml.Node, t *table.Tables) {
	file := place{table: fileTable}
	found := r.fields(n, file, map[string]func(*yaml.Node){
		"version":    func(n *yaml.Node) { t.Version = r.number(n, file, "version") },
		table.Routes: func(n *yaml.Node) { t.Routes = list(r, n, table.Routes, r.route) },
		table.Pools:  func(n *yaml.Node) { t.Pools = list(r, n, table.Pools, r.pool) },
	})
	for _, field := range []string{"version", table.Routes, table.Pools} {
		if !found[field] {
			r.isBroken = r.isBroken || field != "version"
			r.add(file, field, nil, "is missing")
		}
	}
}

// list reads the entries of a table.
func list[T any](r *fileReader, n *yaml.Node, name string, read func(*yaml.Node, place) T) []T {
	if n.Kind != yaml.SequenceNode {
		r.isBroken = true
		r.add(place{table: fileTable}, name, n, "must be a list")
		return nil
	}
	var names table.EntryNames
	entries := make([]T, 0, len(n.Content))
	for i, c := range n.Content {
		entries = append(entries, read(c, place{table: name, entry: names.Next(nameOf(c), i)}))
	}
	return entries
}

func (r *fileReader) route(n *yaml.Node, p place) table.Route {
	var route table.Route
	r.fields(n, p, map[string]func(*yaml.Node){
		"name":    func(n *yaml.Node) { route.Name = r.text(n, p, "name") },
		"address": func(n *yaml.Node) { route.Address = r.address(n, p, "address") },
		"service": func(n *yaml.Node) { route.Service = r.text(n, p, "service") },
		"pool":    func(n *yaml.Node) { route.Pool = r.text(n, p, "pool") },
	})
	return route
}

func (r *fileReader) pool(n *yaml.Node, p place) table.Pool {
	var pool table.Pool
	found := r.fields(n, p, map[string]func(*yaml.Node){
		"name":      func(n *yaml.Node) { pool.Name = r.text(n, p, "name") },
		"service":   func(n *yaml.Node) { pool.Service = r.text(n, p, "service") },
		"endpoints": func(n *yaml.Node) { pool.Endpoints = r.endpoints(n, p) },
	})
	if n.Kind == yaml.MappingNode && !found["endpoints"] {
		r.add(p, "endpoints", n, "is missing")
	}
	return pool
}

func (r *fileReader) endpoints(n *yaml.Node, p place) []table.Endpoint {
	if n.Kind != yaml.SequenceNode {
		r.add(p, "endpoints", n, "must be a list")
		return nil
	}
	endpoints := make([]table.Endpoint, 0, len(n.Content))
	for i, c := range n.Content {
		q := place{table: p.table, entry: p.entry, prefix: fmt.Sprintf("endpoints[%d].", i)}
		endpoints = append(endpoints, r.endpoint(c, q))
	}
	return endpoints
}

func (r *fileReader) endpoint(n *yaml.Node, p place) table.Endpoint {
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

// fields calls the reader of each field of a mapping and returns which fields were present.
func (r *fileReader) fields(n *yaml.Node, p place, readers map[string]func(*yaml.Node)) map[string]bool {
	found := make(map[string]bool, len(readers))
	if n.Kind != yaml.MappingNode {
		r.isBroken = true
		r.add(p, "", n, "must be a mapping of fields")
		return found
	}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		read, known := readers[key.Value]
		switch {
		case !known:
			r.add(p, key.Value, key, "unknown field")
		case found[key.Value]:
			r.add(p, key.Value, key, "is given more than once")
		default:
			read(value)
		}
		found[key.Value] = true
	}
	return found
}

// nameOf returns what text will return for the field name of an entry.
func nameOf(n *yaml.Node) string {
	for i := 0; n.Kind == yaml.MappingNode && i+1 < len(n.Content); i += 2 {
		if n.Content[i].Value == "name" {
			return (&fileReader{}).text(n.Content[i+1], place{}, "name")
		}
	}
	return ""
}

// scalar accepts a plain value. Aliases are refused: files are edited by hand and reviewed line by line.
func (r *fileReader) scalar(n *yaml.Node, p place, field, want string, tags ...string) (string, bool) {
	for _, tag := range tags {
		if n.Kind == yaml.ScalarNode && n.Tag == tag {
			return n.Value, true
		}
	}
	r.add(p, field, n, "must be %s", want)
	return "", false
}

// text accepts numbers too, so that a failure domain named 1 needs no quotes.
func (r *fileReader) text(n *yaml.Node, p place, field string) string {
	value, _ := r.scalar(n, p, field, "a text", "!!str", "!!int")
	return value
}

// decimal excludes the octal, hexadecimal, signed and separated numbers of YAML: 010 would be 8 there.
var decimal = regexp.MustCompile(`^(0|[1-9][0-9]{0,17})$`)

func (r *fileReader) number(n *yaml.Node, p place, field string) uint64 {
	value, ok := r.scalar(n, p, field, "a whole number", "!!int")
	if !ok {
		return 0
	}
	if !decimal.MatchString(value) {
		r.add(p, field, n, "must be a whole number in plain decimal digits, not %q", value)
		return 0
	}
	number, err := strconv.ParseUint(value, 10, 63)
	if err != nil {
		r.add(p, field, n, "%v", err)
	}
	return number
}

func (r *fileReader) boolean(n *yaml.Node, p place, field string) bool {
	value, ok := r.scalar(n, p, field, "true or false", "!!bool")
	if ok && value != "true" && value != "false" {
		r.add(p, field, n, "must be true or false, not %q", value)
	}
	return value == "true"
}

func (r *fileReader) address(n *yaml.Node, p place, field string) netip.AddrPort {
	value, ok := r.scalar(n, p, field, "an address with a port", "!!str")
	if !ok {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(value)
	switch {
	case err != nil:
		r.add(p, field, n, "must be an address with a port, not %q", value)
		return netip.AddrPort{}
	case address.String() != value:
		r.add(p, field, n, "must be written as %s, not %q", address, value)
		return netip.AddrPort{}
	}
	return address
}
