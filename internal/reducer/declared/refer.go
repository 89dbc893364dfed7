package declared

import (
	"fmt"
	"slices"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// brokenReferences lists the references of a resource to resources that do not
// exist. They are checked by the state machine and not before, because only the
// order of commands in the log decides a race between a deletion and an apply.
func (v View) brokenReferences(r oriolebend.Resource) []oriolebend.FieldError {
	switch s := r.Spec.(type) {
	case *oriolebend.Version:
		return v.checkModel(s.Model)
	case *oriolebend.Adapter:
		return v.checkModel(s.Model)
	case *oriolebend.Model:
		return v.droppedVersions(r.Name, s)
	case *oriolebend.Pool:
		return v.checkPool(s)
	case *oriolebend.DeclaredServer:
		if s.Pool != "" && v.Pool(s.Pool) == nil {
			return []oriolebend.FieldError{notDeclared("spec.pool", oriolebend.KindPool, s.Pool)}
		}
	}
	return nil
}

func notDeclared(field string, kind oriolebend.ResourceKind, name string) oriolebend.FieldError {
	return oriolebend.FieldError{
		Field:   field,
		Problem: fmt.Sprintf("%s %q is not declared", kind, name),
		Allowed: "a declared " + string(kind),
	}
}

func (v View) checkModel(model string) []oriolebend.FieldError {
	if v.Model(model) != nil {
		return nil
	}
	return []oriolebend.FieldError{notDeclared("spec.model", oriolebend.KindModel, model)}
}

func (v View) checkPool(p *oriolebend.Pool) []oriolebend.FieldError {
	if p.Role == oriolebend.Service {
		return nil
	}
	broken := v.checkModel(p.Model)
	if m := v.Model(p.Model); m != nil && !slices.Contains(m.Versions, p.Version) {
		broken = append(broken, oriolebend.FieldError{
			Field:   "spec.version",
			Problem: fmt.Sprintf("%q is not wanted by model %q", p.Version, p.Model),
			Allowed: fmt.Sprint(m.Versions),
		})
	}
	if v.Version(p.Model, p.Version) == nil {
		broken = append(broken, notDeclared("spec.version", oriolebend.KindVersion,
			oriolebend.VersionName(p.Model, p.Version)))
	}
	for i, adapter := range p.Adapters {
		if v.Adapter(p.Model, adapter) == nil {
			broken = append(broken, notDeclared(fmt.Sprintf("spec.adapters[%d]", i), oriolebend.KindAdapter,
				oriolebend.AdapterName(p.Model, adapter)))
		}
	}
	return broken
}

// droppedVersions lists the pools that serve a version that the model no longer
// declares.
func (v View) droppedVersions(model string, m *oriolebend.Model) []oriolebend.FieldError {
	var broken []oriolebend.FieldError
	for _, r := range v.List(oriolebend.KindPool) {
		p := r.Spec.(*oriolebend.Pool)
		if p.Model == model && !slices.Contains(m.Versions, p.Version) {
			broken = append(broken, oriolebend.FieldError{
				Field:   "spec.versions",
				Problem: fmt.Sprintf("lacks %q, which %s serves", p.Version, r.Key()),
				Allowed: "every version that a pool serves",
			})
		}
	}
	return broken
}

// referrers lists the resources that refer to the resource with the key.
func (v View) referrers(key oriolebend.ResourceKey) []oriolebend.FieldError {
	var referrers []oriolebend.FieldError
	for _, r := range v.List("") {
		if refers(r, key) {
			referrers = append(referrers, oriolebend.FieldError{
				Field:   r.Key().String(),
				Problem: "refers to " + key.String(),
				Allowed: "delete or change it first",
			})
		}
	}
	return referrers
}

func refers(r oriolebend.Resource, key oriolebend.ResourceKey) bool {
	for _, used := range references(r) {
		if used == key {
			return true
		}
	}
	return false
}

// references lists the keys of the resources that a resource refers to.
func references(r oriolebend.Resource) []oriolebend.ResourceKey {
	switch s := r.Spec.(type) {
	case *oriolebend.Version:
		return []oriolebend.ResourceKey{{Kind: oriolebend.KindModel, Name: s.Model}}
	case *oriolebend.Adapter:
		return []oriolebend.ResourceKey{{Kind: oriolebend.KindModel, Name: s.Model}}
	case *oriolebend.DeclaredServer:
		return []oriolebend.ResourceKey{{Kind: oriolebend.KindPool, Name: s.Pool}}
	case *oriolebend.Pool:
		keys := []oriolebend.ResourceKey{
			{Kind: oriolebend.KindModel, Name: s.Model},
			{Kind: oriolebend.KindVersion, Name: oriolebend.VersionName(s.Model, s.Version)},
		}
		for _, adapter := range s.Adapters {
			keys = append(keys, oriolebend.ResourceKey{
				Kind: oriolebend.KindAdapter,
				Name: oriolebend.AdapterName(s.Model, adapter),
			})
		}
		return keys
	}
	return nil
}
