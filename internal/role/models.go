package role

import (
	"cmp"
	"maps"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// uniqueModels lists each model version that a decode server has loaded once, with
// every adapter that at least one of these servers has loaded, sorted by model and
// version.
func uniqueModels(servers map[string]oriolebend.Server) []oriolebend.LoadedModel {
	type key struct{ model, version string }
	found := map[key]map[string]bool{}
	for _, s := range servers {
		if s.Role != oriolebend.Decode {
			continue
		}
		for _, m := range s.Models {
			k := key{m.Model, m.Version}
			if found[k] == nil {
				found[k] = map[string]bool{}
			}
			for _, adapter := range m.Adapters {
				found[k][adapter] = true
			}
		}
	}
	models := make([]oriolebend.LoadedModel, 0, len(found))
	for k, adapters := range found {
		models = append(models, oriolebend.LoadedModel{Model: k.model, Version: k.version, Adapters: slices.Sorted(maps.Keys(adapters))})
	}
	slices.SortFunc(models, func(a, b oriolebend.LoadedModel) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version))
	})
	return models
}
