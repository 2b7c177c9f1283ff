package settings

import (
	"reflect"
	"strings"
)

// Names returns the names of all settings on the top level, in the order of their declaration.
func Names() []string {
	t := reflect.TypeFor[Settings]()
	names := make([]string, t.NumField())
	for i := range names {
		names[i], _, _ = strings.Cut(t.Field(i).Tag.Get("json"), ",")
	}
	return names
}
