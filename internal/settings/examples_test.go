package settings_test

import (
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/oriolebend/oriolebend/internal/settings"
)

func TestExamplesAreValid(t *testing.T) {
	examples := map[string]settings.Role{
		"lintang.toml":              settings.RoleDev,
		"association.toml":          settings.RoleDev,
		"uneven.toml":               settings.RoleDev,
		"production/entry.toml":     settings.RoleEntry,
		"production/forwarder.toml": settings.RoleForwarder,
		"production/sidecar.toml":   settings.RoleSidecar,
		"production/control.toml":   settings.RoleControl,
	}
	for name, role := range examples {
		t.Run(name, func(t *testing.T) {
			i := is.New(t)
			s, err := settings.Load(filepath.Join("../../examples", name))
			i.NoErr(err)
			i.NoErr(settings.Check(role, s))
			i.Equal(settings.RoleOf(s), role)
		})
	}
	s, err := settings.Default()
	i := is.New(t)
	i.NoErr(err)
	i.NoErr(settings.Check(settings.RoleDev, s))
}
