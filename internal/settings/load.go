package settings

import (
	"bytes"
	_ "embed" // for the default settings
	"errors"
	"os"
	"reflect"

	"github.com/pelletier/go-toml/v2"
)

//go:embed default.toml
var defaultFile []byte

// DefaultName is the source that faults of the default settings name.
const DefaultName = "default.toml"

// Load reads and parses a settings file; see Parse.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		o := newOrigin(path)
		f := faults{origin: o}
		f.add("", CodeUnreadable, "%v", err)
		f.list[0].Line = 0
		return Settings{}, f.err()
	}
	return Parse(path, data)
}

// Default returns the settings of a small site on one machine, for dev.
func Default() (Settings, error) {
	return Parse(DefaultName, defaultFile)
}

// Parse reads settings from the text of a file whose name is given for
// messages. The error is an *Errors with all faults that hold for every role;
// Check finds them again together with those of one role. What could be read
// is returned beside an error.
func Parse(name string, data []byte) (Settings, error) {
	o := newOrigin(name)
	o.index(data)
	f := faults{origin: o}
	var s Settings
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		f.syntax(err)
	} else {
		shape{faults: &f}.table("", tree, reflect.TypeFor[Settings]())
		f.decode(tree, &s)
	}
	o.faults = f.list
	s.origin = o
	f.common(s)
	return s, f.err()
}

func (f *faults) syntax(err error) {
	f.add("", CodeSyntax, "%v", err)
	if typed, ok := errors.AsType[*toml.DecodeError](err); ok {
		f.list[len(f.list)-1].Line, _ = typed.Position()
	}
}

// decode turns a tree of the right shape into settings. Strict decoding stands
// behind the shape's own checks: were these to let a key through, it would
// be refused here and not ignored.
func (f *faults) decode(tree map[string]any, s *Settings) {
	text, err := toml.Marshal(tree)
	if err == nil {
		err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s)
	}
	if err != nil {
		f.add("", CodeWrongType, "%v", err)
	}
}
