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

// Prefixes of a canonical body. They make a JSON text differ from a body that is
// hashed unchanged and has the same bytes.
const (
	prefixJSON = 'j'
	prefixRaw  = 'r'
)

// maxCanonicalDepth bounds the nesting of a JSON text that is canonicalised.
const maxCanonicalDepth = 64

// errNotCanonical is returned for a body that is hashed unchanged.
var errNotCanonical = errors.New("body has no canonical form")

// canonicalBody returns the canonical form of a body. Two JSON texts that differ
// only in white space, the order of members or the escapes of strings have the
// same canonical form. Numbers keep their text, because 10.0 and 10.00 may be
// different amounts to a service. A body that servers may interpret differently
// (a duplicate member, invalid UTF-8, half a surrogate pair) is not changed.
func canonicalBody(body []byte) []byte {
	if canonical, err := canonicalJSON(body); err == nil {
		return append([]byte{prefixJSON}, canonical...)
	}
	return append([]byte{prefixRaw}, body...)
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

// writeString refuses a text with the replacement character. The decoder
// replaces half a surrogate pair by it, so two different texts would become the
// same.
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
