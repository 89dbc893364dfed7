package declared

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Missing describes the first difference between the announced state of a server
// and its target. It is empty if there is none.
func (t Target) Missing(s oriolebend.Server) string {
	if t.State != oriolebend.ServerServing {
		if s.State == oriolebend.ServerServing {
			return fmt.Sprintf("takes new work, declared %s", t.State)
		}
		return ""
	}
	if detail := t.missingHeld(s); detail != "" {
		return detail
	}
	if s.State != oriolebend.ServerServing {
		return fmt.Sprintf("is %s", s.State)
	}
	return ""
}

// missingHeld describes the first difference in the role, the model or the
// adapters.
func (t Target) missingHeld(s oriolebend.Server) string {
	if t.Pool == "" || t.Role == oriolebend.Service {
		return ""
	}
	if s.Role != t.Role {
		return fmt.Sprintf("has role %s, declared %s", s.Role, t.Role)
	}
	wanted := oriolebend.VersionName(t.Held.Model, t.Held.Version)
	loaded := false
	for _, m := range s.Models {
		name := oriolebend.VersionName(m.Model, m.Version)
		if name != wanted {
			return fmt.Sprintf("holds %s, declared %s", name, wanted)
		}
		loaded = true
		for _, adapter := range t.Held.Adapters {
			if !slices.Contains(m.Adapters, adapter) {
				return fmt.Sprintf("lacks adapter %s", adapter)
			}
		}
	}
	if !loaded {
		return fmt.Sprintf("holds no model, declared %s", wanted)
	}
	return ""
}
