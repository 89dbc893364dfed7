package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code is the kind of a fault.
type Code string

const (
	// CodeSyntax is text that is not valid TOML; the text after it was not read.
	CodeSyntax Code = "syntax"
	// CodeUnreadable is a file that could not be read.
	CodeUnreadable Code = "unreadable"
	// CodeUnknownKey is a key that is not a setting.
	CodeUnknownKey Code = "unknownKey"
	// CodeWrongType is a value whose type differs from the setting's type.
	CodeWrongType Code = "wrongType"
	// CodeBadUnit is a duration without a unit or with an unknown unit.
	CodeBadUnit Code = "badUnit"
	// CodeNotAllowed is a value that the setting does not allow.
	CodeNotAllowed Code = "notAllowed"
	// CodeBadAddress is text that is not a valid IP:port or URL.
	CodeBadAddress Code = "badAddress"
	// CodeMissing is a setting that the role needs and that is not set.
	CodeMissing Code = "missing"
	// CodeClash is a setting that contradicts another setting.
	CodeClash Code = "clash"
	// CodeDuplicate is a value that must be unique and occurs twice.
	CodeDuplicate Code = "duplicate"
	// CodeUnknownName is a reference to an undefined name.
	CodeUnknownName Code = "unknownName"
)

// Error is one fault of a settings file, a flag or an environment variable.
type Error struct {
	// Source is the file, or the flag and environment variable that set the key.
	Source string
	// Line counts from 1; it is 0 if the fault has no line.
	Line int
	// Key is the path of the setting, such as "caller.listen".
	Key  string
	Code Code
	// Detail says what is wrong and what is allowed.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Source)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Key != "" {
		b.WriteString(e.Key)
		b.WriteString(": ")
	}
	b.WriteString(e.Detail)
	return b.String()
}

// Errors lists every fault, ordered by source and line.
type Errors struct {
	List []*Error
}

// Error implements error; it returns one line for each fault.
func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, fault := range e.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the individual faults.
func (e *Errors) Unwrap() []error {
	list := make([]error, len(e.List))
	for i, fault := range e.List {
		list[i] = fault
	}
	return list
}

// faults collects errors, each with the source and line of its key.
type faults struct {
	origin *origin
	list   []*Error
}

func (f *faults) add(key string, code Code, format string, a ...any) {
	source, line := f.origin.locate(key)
	f.list = append(f.list, &Error{
		Source: source, Line: line, Key: key, Code: code, Detail: fmt.Sprintf(format, a...),
	})
}

// err returns the collected faults as an *Errors, or nil if there are none.
func (f *faults) err() error {
	if len(f.list) == 0 {
		return nil
	}
	sorted := slices.Clone(f.list)
	slices.SortStableFunc(sorted, func(a, b *Error) int {
		return cmp.Or(cmp.Compare(a.Source, b.Source), cmp.Compare(a.Line, b.Line))
	})
	return &Errors{List: sorted}
}
