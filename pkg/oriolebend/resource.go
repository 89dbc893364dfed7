package oriolebend

import (
	"encoding/json"

	"github.com/fxamacker/cbor/v2"
)

// Resource is one declared resource: the desired state that an operator wrote.
type Resource struct {
	Kind ResourceKind
	Name string
	// Revision is the revision of the whole declared state at which this
	// resource last changed. Writers leave it zero.
	Revision uint64
	// Deleted marks the deletion of a resource in a change feed; Spec is then nil.
	Deleted bool
	// Spec is the part that an operator writes; its type follows from Kind.
	Spec Spec
}

// Key returns the key of the resource.
func (r Resource) Key() ResourceKey {
	return ResourceKey{Kind: r.Kind, Name: r.Name}
}

// resourceForm is the encoded form of a Resource; S holds the encoded spec.
type resourceForm[S any] struct {
	Kind     ResourceKind `json:"kind" cbor:"kind"`
	Name     string       `json:"name" cbor:"name"`
	Revision uint64       `json:"revision,omitempty" cbor:"revision,omitempty"`
	Deleted  bool         `json:"deleted,omitempty" cbor:"deleted,omitempty"`
	Spec     S            `json:"spec,omitempty" cbor:"spec,omitempty"`
}

// MarshalJSON implements json.Marshaler.
func (r Resource) MarshalJSON() ([]byte, error) {
	return json.Marshal(resourceForm[Spec](r))
}

// UnmarshalJSON implements json.Unmarshaler. A field that the kind does not define is
// an error.
func (r *Resource) UnmarshalJSON(data []byte) error {
	var form resourceForm[json.RawMessage]
	if err := strictJSON(data, &form); err != nil {
		return &InvalidError{Fields: []FieldError{{Field: "resource", Problem: err.Error()}}}
	}
	*r = Resource{Kind: form.Kind, Name: form.Name, Revision: form.Revision, Deleted: form.Deleted}
	if form.Deleted {
		return nil
	}
	spec, err := newSpec(form.Kind)
	if err != nil {
		return err
	}
	r.Spec = spec
	if len(form.Spec) == 0 {
		return nil
	}
	if wrong := decodeFields("spec", form.Spec, spec); len(wrong) > 0 {
		return &InvalidError{Fields: wrong}
	}
	return nil
}

// resourceEncoding encodes maps in sorted order, because equal values must have equal
// encodings on every control VM.
var resourceEncoding = func() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err) // unreachable: the library's predefined options are valid
	}
	return mode
}()

// MarshalCBOR implements cbor.Marshaler. Equal resources have equal encodings.
func (r Resource) MarshalCBOR() ([]byte, error) {
	return resourceEncoding.Marshal(resourceForm[Spec](r))
}

// UnmarshalCBOR implements cbor.Unmarshaler.
func (r *Resource) UnmarshalCBOR(data []byte) error {
	var form resourceForm[cbor.RawMessage]
	if err := cbor.Unmarshal(data, &form); err != nil {
		return err
	}
	*r = Resource{Kind: form.Kind, Name: form.Name, Revision: form.Revision, Deleted: form.Deleted}
	if form.Deleted {
		return nil
	}
	spec, err := newSpec(form.Kind)
	if err != nil {
		return err
	}
	if len(form.Spec) > 0 {
		if err := cbor.Unmarshal(form.Spec, spec); err != nil {
			return err
		}
	}
	r.Spec = spec
	return nil
}
