package oriolebend

import (
	"bytes"
	"encoding/json"
	"errors"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// decodeFields decodes a JSON object into a struct field by field, so that it reports
// every invalid field at once instead of only the first.
func decodeFields(prefix string, data []byte, into any) []FieldError {
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(data, &raw); err != nil {
		return []FieldError{{Field: prefix, Problem: err.Error(), Allowed: "a JSON object"}}
	}
	fields := jsonFields(reflect.ValueOf(into).Elem())
	var wrong []FieldError
	for _, name := range slices.Sorted(maps.Keys(raw)) {
		path := prefix + "." + name
		field, known := fields[name]
		if !known {
			allowed := strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
			wrong = append(wrong, FieldError{Field: path, Problem: "is not known", Allowed: allowed})
			continue
		}
		if err := strictJSON(raw[name], field.Addr().Interface()); err != nil {
			wrong = append(wrong, FieldError{Field: path, Problem: plainProblem(err), Allowed: typeName(field.Type())})
		}
	}
	return wrong
}

// plainProblem describes a JSON decoding error in terms that an operator knows.
func plainProblem(err error) string {
	var wrongType *json.UnmarshalTypeError
	if errors.As(err, &wrongType) {
		return "is a " + wrongType.Value
	}
	return strings.TrimPrefix(err.Error(), "json: ")
}

// jsonFields maps the JSON names of a struct to its fields.
func jsonFields(v reflect.Value) map[string]reflect.Value {
	fields := make(map[string]reflect.Value, v.NumField())
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		fields[name] = v.Field(i)
	}
	return fields
}

// typeName describes a Go type in the terms of JSON and TOML, for operators.
func typeName(t reflect.Type) string {
	if t == reflect.TypeFor[Duration]() {
		return `a duration such as "1.2s"`
	}
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list of strings"
	case reflect.Map:
		return "an object of numbers"
	case reflect.Pointer:
		fields := jsonFields(reflect.New(t.Elem()).Elem())
		return "an object of " + strings.Join(slices.Sorted(maps.Keys(fields)), ", ")
	}
	return t.Kind().String()
}

func strictJSON(data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	return decoder.Decode(into)
}

// ReadSpec decodes the JSON form of a spec and validates the resulting resource. The
// error is an *InvalidError that lists every field that can't be decoded and every
// value that is not allowed.
func ReadSpec(key ResourceKey, data []byte) (Resource, error) {
	r := Resource{Kind: key.Kind, Name: key.Name}
	spec, err := newSpec(key.Kind)
	if err != nil {
		return r, err
	}
	r.Spec = spec
	if len(data) == 0 {
		data = []byte("{}")
	}
	wrong := decodeFields("spec", data, spec)
	seen := map[string]bool{}
	for _, f := range wrong {
		seen[f.Field] = true
	}
	c := &checker{}
	r.check(c)
	for _, f := range c.fields {
		if !seen[f.Field] {
			wrong = append(wrong, f)
		}
	}
	if len(wrong) > 0 {
		return r, &InvalidError{Fields: wrong}
	}
	return r, nil
}
