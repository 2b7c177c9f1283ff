package settings

import (
	"reflect"
	"strings"
)

// Description describes one setting that takes a value, as its struct field and tag define it.
type Description struct {
	Name       string // full path, such as weights.urgent or ticket_keys[].id
	Default    string // empty if there is none
	IsRequired bool
}

// Names returns the names of all top-level settings, in the order of their declaration.
func Names() []string {
	t := reflect.TypeFor[Settings]()
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = nameOf(t.Field(i))
	}
	return names
}

// Descriptions describes all settings that take a value, nested ones included, in the order of their declaration.
func Descriptions() []Description { return describe(reflect.TypeFor[Settings](), "") }

func describe(t reflect.Type, prefix string) []Description {
	var list []Description
	for i := range t.NumField() {
		f := t.Field(i)
		name := prefix + nameOf(f)
		switch {
		case f.Type.Kind() == reflect.Struct:
			list = append(list, describe(f.Type, name+".")...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			list = append(list, describe(f.Type.Elem(), name+"[].")...)
		default:
			list = append(list, describeValue(f, name))
		}
	}
	return list
}

func describeValue(f reflect.StructField, name string) Description {
	options := optionsOf(f)
	_, hasDefault := options["default"]
	_, isOptional := options["optional"]
	return Description{Name: name, Default: options["default"], IsRequired: !hasDefault && !isOptional}
}

// optionsOf returns the options of go-zero's conf package in the json tag of a field, by name.
func optionsOf(f reflect.StructField) map[string]string {
	options := make(map[string]string)
	for _, option := range strings.Split(f.Tag.Get("json"), ",")[1:] {
		key, value, _ := strings.Cut(option, "=")
		options[key] = value
	}
	return options
}

func nameOf(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}
