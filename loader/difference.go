package loader

import (
	"reflect"
	"strings"
)

// Difference returns the names of the settings in which a and b differ, in the order of Settings.
func Difference(a, b Settings) []string {
	return difference(reflect.ValueOf(a), reflect.ValueOf(b), "")
}

// difference compares two structures of the same type, whose names begin with prefix.
func difference(a, b reflect.Value, prefix string) []string {
	var names []string
	for i := range a.NumField() {
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		name = prefix + name
		switch {
		case a.Field(i).Kind() == reflect.Struct:
			names = append(names, difference(a.Field(i), b.Field(i), name+".")...)
		case !a.Field(i).Equal(b.Field(i)):
			names = append(names, name)
		}
	}
	return names
}
