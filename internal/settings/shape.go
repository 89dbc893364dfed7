package settings

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"
)

var durationType = reflect.TypeFor[Duration]()

// shapeChecker compares decoded TOML with the types of the settings. It reports every
// unknown key and wrong type and removes them from the tree, so that the rest can still
// be decoded and checked. The library's decoder would stop at the first fault.
type shapeChecker struct {
	faults *faults
}

// table checks a table against a struct type.
func (s shapeChecker) table(path string, tree map[string]any, t reflect.Type) {
	fields := fieldsOf(t)
	for _, key := range slices.Sorted(maps.Keys(tree)) {
		at := joinPath(path, key)
		field, known := fields[key]
		if !known {
			s.faults.add(at, CodeUnknownKey, "unknown key; %s", allowed(key, slices.Sorted(maps.Keys(fields))))
			delete(tree, key)
			continue
		}
		value, ok := s.value(at, tree[key], field)
		if !ok {
			delete(tree, key)
			continue
		}
		tree[key] = value
	}
}

// value checks a value against a type. It returns the value, converted if necessary, or
// false if the value does not have the type.
func (s shapeChecker) value(path string, value any, t reflect.Type) (any, bool) {
	if t == durationType {
		return value, s.duration(path, value)
	}
	switch t.Kind() {
	case reflect.Pointer:
		return s.value(path, value, t.Elem())
	case reflect.Struct:
		tree, ok := value.(map[string]any)
		if !ok {
			return nil, s.wrongType(path, value, "a table")
		}
		s.table(path, tree, t)
		return tree, true
	case reflect.Slice:
		return s.slice(path, value, t.Elem())
	case reflect.String:
		_, ok := value.(string)
		return value, ok || s.wrongType(path, value, `text, such as "abc"`)
	case reflect.Bool:
		_, ok := value.(bool)
		return value, ok || s.wrongType(path, value, "true or false")
	case reflect.Float64:
		return s.float(path, value)
	default:
		_, ok := value.(int64)
		return value, ok || s.wrongType(path, value, "a whole number")
	}
}

func (s shapeChecker) float(path string, value any) (any, bool) {
	switch number := value.(type) {
	case float64:
		return number, true
	case int64:
		return float64(number), true
	default:
		return nil, s.wrongType(path, value, "a number")
	}
}

func (s shapeChecker) slice(path string, value any, t reflect.Type) (any, bool) {
	list, ok := value.([]any)
	if !ok {
		return nil, s.wrongType(path, value, "a list")
	}
	kept := make([]any, 0, len(list))
	for i, element := range list {
		if converted, ok := s.value(elementPath(path, i), element, t); ok {
			kept = append(kept, converted)
		}
	}
	return kept, len(kept) == len(list)
}

func (s shapeChecker) duration(path string, value any) bool {
	text, ok := value.(string)
	if !ok {
		return s.wrongType(path, value, `a duration with its unit as text, such as "1.2s" or "41ms"`)
	}
	if _, err := time.ParseDuration(text); err != nil {
		s.faults.add(path, CodeBadUnit, `%q is no duration; allowed are numbers with the units "ms", "s", "m" or "h", such as "1.2s" or "41ms"`, text)
		return false
	}
	return true
}

func (s shapeChecker) wrongType(path string, value any, want string) bool {
	s.faults.add(path, CodeWrongType, "got %s; allowed is %s", describe(value), want)
	return false
}

func describe(value any) string {
	switch v := value.(type) {
	case string:
		return fmt.Sprintf("text %q", v)
	case int64, float64:
		return fmt.Sprintf("number %v", v)
	case bool:
		return fmt.Sprint(v)
	case []any:
		return "a list"
	case map[string]any:
		return "a table"
	default:
		return "a date or time"
	}
}

// fieldsOf maps the TOML names of a struct's fields to their types.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for _, field := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(field.Tag.Get("toml"), ",")
		if name != "" && name != "-" {
			fields[name] = field.Type
		}
	}
	return fields
}
