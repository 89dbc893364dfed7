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

// DefaultName is the source named by faults in the default settings.
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

// Default returns the default settings of dev: a small site on one machine.
func Default() (Settings, error) {
	return Parse(DefaultName, defaultFile)
}

// Parse parses the text of a settings file; the name is used in messages only. The error
// is an *Errors with the faults that apply to every role. Check reports them again,
// together with the faults for one role. The settings that could be read are returned
// even with an error.
func Parse(name string, data []byte) (Settings, error) {
	o := newOrigin(name)
	o.index(data)
	f := faults{origin: o}
	var s Settings
	tree := map[string]any{}
	if err := toml.Unmarshal(data, &tree); err != nil {
		f.syntax(err)
	} else {
		shapeChecker{faults: &f}.table("", tree, reflect.TypeFor[Settings]())
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

// decode decodes a tree that shapeChecker has accepted. Strict decoding is a second check:
// an unknown key that shapeChecker missed is refused here instead of ignored.
func (f *faults) decode(tree map[string]any, s *Settings) {
	text, err := toml.Marshal(tree)
	if err == nil {
		err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(s)
	}
	if err != nil {
		f.add("", CodeWrongType, "%v", err)
	}
}
