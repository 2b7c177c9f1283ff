package settings

import (
	"fmt"
	"os"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/zeromicro/go-zero/core/conf"
	"gopkg.in/yaml.v3"
)

// Fault is one invalid setting.
type Fault struct {
	Field  string // full path, such as weights.urgent or ticket_keys[1].id; "file" for the file as a whole
	Reason string
}

// String returns the fault as one line.
func (f Fault) String() string { return f.Field + ": " + f.Reason }

// FaultsError reports all faults of a settings file.
type FaultsError struct {
	File   string // as given to Load or Parse
	Faults []Fault
}

func (e *FaultsError) Error() string {
	noun := "faults"
	if len(e.Faults) == 1 {
		noun = "fault"
	}
	lines := []string{fmt.Sprintf("%s: %d %s in the settings", e.File, len(e.Faults), noun)}
	for _, f := range e.Faults {
		lines = append(lines, "  "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a settings file. It returns a *FaultsError for a file with faults.
func Load(file string) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(file, data)
}

// Parse reads and checks settings. The file name is used in errors only. The faults are in a fixed order: first unknown
// names, sorted, then values that cannot be read, then values that are not allowed, both in the order of declaration.
func Parse(file string, data []byte) (*Settings, error) {
	var given map[string]any
	if err := yaml.Unmarshal(data, &given); err != nil {
		return nil, &FaultsError{file, []Fault{{"file", err.Error()}}}
	}
	faults := unknownNames(given, reflect.TypeFor[Settings](), "")
	var s Settings
	unreadable := s.read(given)
	faults = append(faults, unreadable...)
	for _, f := range s.check() {
		if !isUnreadable(f.Field, unreadable) {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return nil, &FaultsError{file, faults}
	}
	return &s, nil
}

// unknownNames returns a fault for each name that no setting has. go-zero ignores such names, so that a misspelt
// setting would have no effect.
func unknownNames(given map[string]any, t reflect.Type, prefix string) []Fault {
	known := make(map[string]reflect.Type, t.NumField())
	for i := range t.NumField() {
		known[nameOf(t.Field(i))] = t.Field(i).Type
	}
	var faults []Fault
	for _, name := range sortedKeys(given) {
		field := prefix + name
		switch inner, ok := known[name]; {
		case !ok:
			faults = append(faults, Fault{field, "no such setting"})
		case inner.Kind() == reflect.Struct:
			if m, ok := given[name].(map[string]any); ok {
				faults = append(faults, unknownNames(m, inner, field+".")...)
			}
		case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct:
			list, _ := given[name].([]any)
			for i, entry := range list {
				if m, ok := entry.(map[string]any); ok {
					faults = append(faults, unknownNames(m, inner.Elem(), fmt.Sprintf("%s[%d].", field, i))...)
				}
			}
		}
	}
	return faults
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// read sets the fields of s one by one, because go-zero's conf package stops at the first error in a struct. It returns
// a fault for each field that could not be read; the field keeps its zero value.
func (s *Settings) read(given map[string]any) []Fault {
	var faults []Fault
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := nameOf(field)
		single := map[string]any{}
		if value, ok := given[name]; ok {
			single[name] = value
		}
		wrapper := reflect.New(reflect.StructOf([]reflect.StructField{
			{Name: field.Name, Type: field.Type, Tag: field.Tag},
		}))
		if err := load(single, wrapper.Interface()); err != nil {
			faults = append(faults, Fault{name, reasonOf(field, len(single) > 0, err)})
			continue
		}
		v.Field(i).Set(wrapper.Elem().Field(0))
	}
	return faults
}

// reasonOf returns the reason of a fault for a setting that go-zero rejected with err. The errors of go-zero name
// neither the range nor the format of a duration.
func reasonOf(field reflect.StructField, isGiven bool, err error) string {
	allowed := optionsOf(field)["range"]
	switch {
	case !isGiven:
		return "is missing"
	case allowed != "":
		return "must be a whole number in the range " + allowed
	case field.Type == reflect.TypeFor[time.Duration]():
		return "must be a duration with a unit, such as 300ms or 30s"
	}
	return strings.TrimPrefix(err.Error(), "error: ")
}

func load(values map[string]any, into any) error {
	data, err := yaml.Marshal(values)
	if err != nil {
		return err
	}
	return conf.LoadFromYamlBytes(data, into)
}

// isUnreadable reports whether a setting, or one that contains it, is among the settings that could not be read. Its
// zero value is then not the value in the file, so that faults of the value must not be reported.
func isUnreadable(field string, unreadable []Fault) bool {
	return slices.ContainsFunc(unreadable, func(f Fault) bool {
		rest, ok := strings.CutPrefix(field, f.Field)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}
