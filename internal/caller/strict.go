package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"unicode/utf8"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// maxDepth bounds the nesting of a member of a JSON body.
const maxDepth = 31

// fields are the members of a JSON object by name.
type fields map[string]json.RawMessage

// decodeObject reads one JSON object and refuses what readers of JSON
// understand in different ways: a member that stands twice, text that is not
// UTF-8, and anything behind the object. Two parts of the system that read such
// a body differently would disagree on what the caller's command is.
func decodeObject(body []byte) (fields, error) {
	if !utf8.Valid(body) {
		return nil, refuse(oriolebend.ReasonMalformed, "the body is not UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return nil, notAnObject(decoder)
	}
	members := fields{}
	for decoder.More() {
		if err := members.readNext(decoder); err != nil {
			return nil, err
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, notAnObject(decoder)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, notAnObject(decoder)
	}
	return members, nil
}

func notAnObject(decoder *json.Decoder) error {
	return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the body is not one JSON object, at byte %d", decoder.InputOffset()))
}

// readNext reads one member. Text needs no walk, so that a long prompt is not
// read more often than it must be.
func (m fields) readNext(decoder *json.Decoder) error {
	token, err := decoder.Token()
	name, isName := token.(string)
	if err != nil || !isName {
		return notAnObject(decoder)
	}
	if _, twice := m[name]; twice {
		return standsTwice(name)
	}
	var value json.RawMessage
	if err := decoder.Decode(&value); err != nil {
		return notAnObject(decoder)
	}
	m[name] = value
	if value[0] == '{' || value[0] == '[' {
		return checkTokens(value)
	}
	return nil
}

func standsTwice(name string) error {
	return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the member %.64q stands twice", name))
}

// checkTokens walks the valid value of a member for depth and members that
// stand twice.
func checkTokens(value []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	walk := tokenWalk{}
	for {
		token, err := decoder.Token()
		if err != nil {
			return nil // the end: the value was decoded before
		}
		if err := walk.take(token); err != nil {
			return err
		}
	}
}

// tokenWalk knows the objects and arrays that are open at a token.
type tokenWalk struct {
	open []container
}

type container struct {
	// names holds the member names seen; nil for an array.
	names map[string]bool
	// nameNext is true if the next token of an object is a name.
	nameNext bool
}

func (w *tokenWalk) take(token json.Token) error {
	if delimiter, ok := token.(json.Delim); ok {
		return w.delimiter(delimiter)
	}
	if top := w.top(); top != nil && top.nameNext {
		return top.name(token)
	}
	w.value()
	return nil
}

func (w *tokenWalk) top() *container {
	if len(w.open) == 0 {
		return nil
	}
	return &w.open[len(w.open)-1]
}

func (w *tokenWalk) delimiter(delimiter json.Delim) error {
	if delimiter == '}' || delimiter == ']' {
		w.open = w.open[:len(w.open)-1]
		return nil
	}
	w.value()
	if len(w.open) == maxDepth {
		return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the body is nested deeper than %d", maxDepth))
	}
	opened := container{}
	if delimiter == '{' {
		opened = container{names: map[string]bool{}, nameNext: true}
	}
	w.open = append(w.open, opened)
	return nil
}

// value has the object around a value expect a name after it.
func (w *tokenWalk) value() {
	if top := w.top(); top != nil {
		top.nameNext = top.names != nil
	}
}

func (c *container) name(token json.Token) error {
	name, _ := token.(string)
	if c.names[name] {
		return standsTwice(name)
	}
	c.names[name] = true
	c.nameNext = false
	return nil
}
