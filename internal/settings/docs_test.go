package settings_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
)

// keysOf returns the paths of all keys of a type.
func keysOf(path string, t reflect.Type) []string {
	switch {
	case t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Struct:
		return append([]string{path}, keysOf(path+"[]", t.Elem())...)
	case t.Kind() != reflect.Struct:
		return []string{path}
	}
	var keys []string
	for _, field := range reflect.VisibleFields(t) {
		if name := field.Tag.Get("toml"); name != "" {
			keys = append(keys, keysOf(strings.TrimPrefix(path+"."+name, "."), field.Type)...)
		}
	}
	return keys
}

// TestReferenceIsComplete checks that docs/settings.md has a row for each key and no row
// for a key that does not exist.
func TestReferenceIsComplete(t *testing.T) {
	i := is.New(t)
	data, err := os.ReadFile("../../docs/settings.md")
	i.NoErr(err)
	rows := map[string]bool{}
	for line := range strings.Lines(string(data)) {
		if rest, row := strings.CutPrefix(line, "| `"); row {
			key, _, _ := strings.Cut(rest, "`")
			rows[key] = true
		}
	}
	for _, key := range keysOf("", reflect.TypeFor[settings.Settings]()) {
		if !rows[key] && strings.Contains(key, ".") {
			t.Errorf("%s has no row", key)
		}
		delete(rows, key)
	}
	i.Equal(len(rows), 0) // rows of keys that do not exist
}
