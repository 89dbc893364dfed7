package oriolebend

// ResourceKind names a kind of declared resource.
type ResourceKind string

// Kinds of declared resources.
const (
	KindModel   ResourceKind = "model"
	KindVersion ResourceKind = "version"
	KindAdapter ResourceKind = "adapter"
	KindPool    ResourceKind = "pool"
	KindServer  ResourceKind = "server"
	KindPolicy  ResourceKind = "policy"
)

// ResourceKinds returns every kind in the order in which resources can be applied:
// a resource refers only to kinds before its own.
func ResourceKinds() []ResourceKind {
	return []ResourceKind{KindModel, KindVersion, KindAdapter, KindPool, KindServer, KindPolicy}
}

// ResourceKey identifies one resource.
type ResourceKey struct {
	Kind ResourceKind `json:"kind" cbor:"kind"`
	Name string       `json:"name" cbor:"name"`
}

// String returns "kind/name".
func (k ResourceKey) String() string {
	return string(k.Kind) + "/" + k.Name
}

// Less orders keys by kind, then name.
func (k ResourceKey) Less(other ResourceKey) bool {
	if k.Kind != other.Kind {
		return k.Kind < other.Kind
	}
	return k.Name < other.Name
}

// VersionName returns the name of the version resource of a model.
func VersionName(model, version string) string {
	return model + "@" + version
}

// AdapterName returns the name of the adapter resource of a model.
func AdapterName(model, adapter string) string {
	return model + "+" + adapter
}
