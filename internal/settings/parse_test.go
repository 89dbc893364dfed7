package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/peterbourgon/ff/v4"

	"github.com/oriolebend/oriolebend/internal/settings"
)

func TestMissingFile(t *testing.T) {
	i := is.New(t)
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.toml"))
	faults, typed := errors.AsType[*settings.Errors](err)
	i.True(typed)
	i.Equal(faults.List[0].Code, settings.CodeUnreadable)
	one, typed := errors.AsType[*settings.Error](err)
	i.True(typed)
	i.Equal(one, faults.List[0])
}

func TestValuesAreDecoded(t *testing.T) {
	i := is.New(t)
	s, err := settings.Parse("f.toml", []byte("[policy]\nlease = \"1.5s\"\n[[organisations]]\nname = \"a\"\nshare = 2\n"))
	i.NoErr(err)
	i.Equal(s.Policy.Lease.Or(0), 1500*time.Millisecond)
	i.Equal(s.Policy.KeepAnswers.Or(time.Hour), time.Hour)
	i.Equal(s.Organisations[0].Share, 2.0) // an integer is accepted for a float
}

// TestPrecedence checks that a flag overrides a variable, and a variable the file.
func TestPrecedence(t *testing.T) {
	i := is.New(t)
	path := filepath.Join(t.TempDir(), "f.toml")
	i.NoErr(os.WriteFile(path, []byte("[node]\nname = \"file\"\nregion = \"file\"\n[log]\nlevel = \"warn\"\n"), 0o600))
	t.Setenv("ORIOLEBEND_NODE_NAME", "variable")
	t.Setenv("ORIOLEBEND_LOG_LEVEL", "debug")
	t.Setenv("ORIOLEBEND_CONTROL_DATAFOLDER", "/variable")
	fs := ff.NewFlagSet("test")
	o := settings.Flags(fs)
	args := []string{"--settings", path, "--node.name", "flag"}
	i.NoErr(ff.Parse(fs, args, ff.WithEnvVarPrefix(settings.EnvironmentPrefix)))
	s, err := o.Load(settings.RoleControl)
	i.True(err != nil) // many settings are missing, but the given ones were applied
	i.Equal(s.Node.Name, "flag")
	i.Equal(s.Log.Level, "debug")
	i.Equal(s.Control.DataFolder, "/variable")
	i.Equal(s.Node.Region, "file")
}

// TestBadFlag checks that a fault in the value of a flag names the flag, not a line of
// the file.
func TestBadFlag(t *testing.T) {
	i := is.New(t)
	fs := ff.NewFlagSet("test")
	o := settings.Flags(fs, "log.level")
	i.NoErr(ff.Parse(fs, []string{"--log.level=loud"}))
	_, err := o.Load(settings.RoleDev)
	i.Equal(err.Error(), `--log.level or $ORIOLEBEND_LOG_LEVEL: log.level: "loud" is not known; allowed are debug, info, warn, error`)
}

func TestNoFileMeansDefault(t *testing.T) {
	i := is.New(t)
	o := settings.Flags(ff.NewFlagSet("test"))
	s, err := o.Load(settings.RoleDev)
	i.NoErr(err)
	i.True(len(s.Dev.Servers) > 0)
}

// FuzzParse guards against a panic on a damaged file. The line index parses text that the
// decoder refuses.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"default.toml", "../../examples/lintang.toml", "../../examples/production/control.toml"} {
		data, err := os.ReadFile(name)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte("a.b = [{c = 1}, {c.d = [[1], [2]]}]\n[[a.e]]\n[a.e.f]\n[[a.e.g]]\n"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		s, _ := settings.Parse("f.toml", data)
		_ = settings.Check(settings.RoleOf(s), s)
	})
}
