package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"unicode/utf8"
)

// Marks before a canonical body, so that a JSON text and the same bytes taken
// as they are never count as the same.
const (
	markJSON = 'j'
	markRaw  = 'r'
)

// maxCanonicalDepth bounds the nesting that is canonicalised.
const maxCanonicalDepth = 64

// errNotCanonical marks a body that is hashed as it is.
var errNotCanonical = errors.New("body has no canonical form")

// canonicalBody returns a body such that two JSON texts that differ in white
// space, the order of members or the escapes of strings give the same bytes.
// Numbers keep their text: 10.0 and 10.00 may be different amounts to a
// service. A body that servers read in different ways (a member twice, broken
// UTF-8, half a surrogate pair) is taken as it is.
func canonicalBody(body []byte) []byte {
	if canonical, err := canonicalJSON(body); err == nil {
		return append([]byte{markJSON}, canonical...)
	}
	return append([]byte{markRaw}, body...)
}

func canonicalJSON(body []byte) ([]byte, error) {
	if !utf8.Valid(body) {
		return nil, errNotCanonical
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var out bytes.Buffer
	if err := writeValue(decoder, &out, maxCanonicalDepth); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errNotCanonical
	}
	return out.Bytes(), nil
}

func writeValue(d *json.Decoder, out *bytes.Buffer, depth int) error {
	token, err := d.Token()
	if err != nil {
		return err
	}
	if depth == 0 {
		return errNotCanonical
	}
	switch t := token.(type) {
	case json.Delim:
		if t == '{' {
			return writeObject(d, out, depth-1)
		}
		return writeArray(d, out, depth-1)
	case string:
		return writeString(out, t)
	case json.Number:
		out.WriteString(t.String())
	case bool:
		writeBool(out, t)
	default:
		out.WriteString("null")
	}
	return nil
}

func writeBool(out *bytes.Buffer, b bool) {
	if b {
		out.WriteString("true")
		return
	}
	out.WriteString("false")
}

// writeString refuses the replacement character: the decoder puts it in for
// half a surrogate pair, and two different texts would become the same.
func writeString(out *bytes.Buffer, text string) error {
	if strings.ContainsRune(text, utf8.RuneError) {
		return errNotCanonical
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return err
	}
	out.Write(quoted)
	return nil
}

func writeArray(d *json.Decoder, out *bytes.Buffer, depth int) error {
	out.WriteByte('[')
	for d.More() {
		if err := writeValue(d, out, depth); err != nil {
			return err
		}
		out.WriteByte(',')
	}
	out.WriteByte(']')
	_, err := d.Token()
	return err
}

func writeObject(d *json.Decoder, out *bytes.Buffer, depth int) error {
	members := map[string]string{}
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return err
		}
		var value bytes.Buffer
		if err := writeValue(d, &value, depth); err != nil {
			return err
		}
		text, _ := name.(string)
		if _, twice := members[text]; twice {
			return errNotCanonical
		}
		members[text] = value.String()
	}
	if _, err := d.Token(); err != nil {
		return err
	}
	return writeMembers(out, members)
}

func writeMembers(out *bytes.Buffer, members map[string]string) error {
	names := make([]string, 0, len(members))
	for name := range members {
		names = append(names, name)
	}
	slices.Sort(names)
	out.WriteByte('{')
	for _, name := range names {
		if err := writeString(out, name); err != nil {
			return err
		}
		out.WriteByte(':')
		out.WriteString(members[name])
		out.WriteByte(',')
	}
	out.WriteByte('}')
	return nil
}
