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

// maxDepth bounds the nesting of a JSON body.
const maxDepth = 32

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
	if err := checkTokens(body); err != nil {
		return nil, err
	}
	var members fields
	if err := json.Unmarshal(body, &members); err != nil || members == nil {
		return nil, refuse(oriolebend.ReasonMalformed, "the body is not a JSON object")
	}
	return members, nil
}

// checkTokens walks a body once for depth, members that stand twice, and
// trailing data.
func checkTokens(body []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	walk := tokenWalk{}
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the body is not JSON, at byte %d", decoder.InputOffset()))
		}
		if err := walk.take(token); err != nil {
			return err
		}
	}
	if walk.values != 1 || len(walk.open) > 0 {
		return refuse(oriolebend.ReasonMalformed, "the body must be one JSON object")
	}
	return nil
}

// tokenWalk knows the objects and arrays that are open at a token.
type tokenWalk struct {
	open   []container
	values int
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

// value counts a value at the top, or has the object around it expect a name.
func (w *tokenWalk) value() {
	top := w.top()
	if top == nil {
		w.values++
		return
	}
	top.nameNext = top.names != nil
}

func (c *container) name(token json.Token) error {
	name, _ := token.(string)
	if c.names[name] {
		return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("the member %.64q stands twice", name))
	}
	c.names[name] = true
	c.nameNext = false
	return nil
}
