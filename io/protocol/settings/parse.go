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

// Fault is one wrong setting.
type Fault struct {
	Field  string // such as weights.urgent or ticket_keys[1].id; "file" for the file as a whole
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

// Parse reads and checks settings. The file name appears in errors only. The faults come in a fixed order: unknown names
// by name, then values that cannot be read and values that are not allowed, both in the order of declaration.
func Parse(file string, data []byte) (*Settings, error) {
	var given map[string]any
	if err := yaml.Unmarshal(data, &given); err != nil {
		return nil, &FaultsError{file, []Fault{{"file", err.Error()}}}
	}
	faults := unknownNames(given, reflect.TypeFor[Settings](), "")
	var s Settings
	unread := s.read(given)
	faults = append(faults, unread...)
	for _, f := range s.check() {
		if !isCovered(f.Field, unread) {
			faults = append(faults, f)
		}
	}
	if len(faults) > 0 {
		return nil, &FaultsError{file, faults}
	}
	return &s, nil
}

// unknownNames finds names that no setting has: go-zero ignores them, so a misspelt name would have no effect.
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

// read fills in the settings one by one, because go-zero's conf package stops at the first fault of a struct.
func (s *Settings) read(given map[string]any) []Fault {
	var faults []Fault
	v := reflect.ValueOf(s).Elem()
	for i := range v.NumField() {
		field := v.Type().Field(i)
		name := nameOf(field)
		one := map[string]any{}
		if value, ok := given[name]; ok {
			one[name] = value
		}
		holder := reflect.New(reflect.StructOf([]reflect.StructField{
			{Name: field.Name, Type: field.Type, Tag: field.Tag},
		}))
		if err := load(one, holder.Interface()); err != nil {
			faults = append(faults, Fault{name, reasonOf(field, len(one) > 0, err)})
			continue
		}
		v.Field(i).Set(holder.Elem().Field(0))
	}
	return faults
}

// reasonOf says what a setting that go-zero refused must be. Its errors name neither the range nor the form of a duration.
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

// isCovered tells whether a setting, or the one around it, could not be read. Its zero value is not what the file says.
func isCovered(field string, unread []Fault) bool {
	return slices.ContainsFunc(unread, func(f Fault) bool {
		rest, ok := strings.CutPrefix(field, f.Field)
		return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
	})
}
