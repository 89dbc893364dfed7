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

// fields holds the members of a JSON object by name.
type fields map[string]json.RawMessage

// decodeObject decodes one JSON object. It refuses input that JSON parsers read in
// different ways: a duplicate member, text that is not UTF-8, and anything after
// the object. Two parts of the system that read such a body differently would
// disagree on the caller's command.
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

// readNext decodes one member. A string has no members to check, so a long prompt
// is not scanned another time.
func (m fields) readNext(decoder *json.Decoder) error {
	token, err := decoder.Token()
	name, isName := token.(string)
	if err != nil || !isName {
		return notAnObject(decoder)
	}
	if _, duplicate := m[name]; duplicate {
		return duplicateMember(name)
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

func duplicateMember(name string) error {
	return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the member %.64q stands twice", name))
}

// checkTokens checks the depth of a valid JSON value, and that no object in it has
// a duplicate member.
func checkTokens(value []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	checker := tokenChecker{}
	for {
		token, err := decoder.Token()
		if err != nil {
			return nil // the end of the value, which was decoded before and is valid
		}
		if err := checker.check(token); err != nil {
			return err
		}
	}
}

// tokenChecker tracks the objects and arrays that are open at a token.
type tokenChecker struct {
	open []container
}

type container struct {
	// names holds the member names read so far; it is nil for an array.
	names map[string]bool
	// nameNext is true if the next token of an object is a name.
	nameNext bool
}

func (w *tokenChecker) check(token json.Token) error {
	if delimiter, ok := token.(json.Delim); ok {
		return w.checkDelimiter(delimiter)
	}
	if top := w.top(); top != nil && top.nameNext {
		return top.addName(token)
	}
	w.beginValue()
	return nil
}

func (w *tokenChecker) top() *container {
	if len(w.open) == 0 {
		return nil
	}
	return &w.open[len(w.open)-1]
}

func (w *tokenChecker) checkDelimiter(delimiter json.Delim) error {
	if delimiter == '}' || delimiter == ']' {
		w.open = w.open[:len(w.open)-1]
		return nil
	}
	w.beginValue()
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

// beginValue records the start of a value: after it, the object around it expects
// a name.
func (w *tokenChecker) beginValue() {
	if top := w.top(); top != nil {
		top.nameNext = top.names != nil
	}
}

func (c *container) addName(token json.Token) error {
	name, _ := token.(string)
	if c.names[name] {
		return duplicateMember(name)
	}
	c.names[name] = true
	c.nameNext = false
	return nil
}
