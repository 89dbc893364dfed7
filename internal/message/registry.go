package message

import (
	"fmt"
	"maps"
	"slices"
)

// Unmarshal decodes the body of a message into the value that target points
// to, as cbor.Unmarshal does.
type Unmarshal func(body []byte, target any) error

// UnknownKindError is returned for a message whose kind has no registered type.
type UnknownKindError struct {
	Kind Kind
}

// Error implements error.
func (e *UnknownKindError) Error() string {
	return fmt.Sprintf("unknown message kind %q", e.Kind)
}

type decoder func(body []byte, unmarshal Unmarshal) (Message, error)

// decoders is written only while the package's variables are initialised.
var decoders = map[Kind]decoder{}

// Register registers T with DecodeBody and returns its kind. It is called once for
// each message type, in a package variable next to the type's declaration:
//
//	var _ = Register[Vote]()
//
// It panics at start if a second type has the same kind, since one of the two could
// never be received.
func Register[T Message]() Kind {
	var zero T
	kind := zero.Kind()
	if _, taken := decoders[kind]; taken {
		panic(fmt.Sprintf("message kind %q is registered twice", kind))
	}
	decoders[kind] = func(body []byte, unmarshal Unmarshal) (Message, error) {
		var m T
		if err := unmarshal(body, &m); err != nil {
			return nil, err
		}
		return m, nil
	}
	return kind
}

// DecodeBody decodes the body of a message of the kind. The message is a value,
// not a pointer. It returns an *UnknownKindError for a kind that is not
// registered, or the error of unmarshal.
func DecodeBody(kind Kind, body []byte, unmarshal Unmarshal) (Message, error) {
	decode, known := decoders[kind]
	if !known {
		return nil, &UnknownKindError{Kind: kind}
	}
	return decode(body, unmarshal)
}

// Kinds returns the registered kinds, sorted.
func Kinds() []Kind {
	return slices.Sorted(maps.Keys(decoders))
}
