package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Code names what is wrong with one setting.
type Code string

const (
	// CodeSyntax is text that is no TOML; what follows it was not read.
	CodeSyntax Code = "syntax"
	// CodeUnreadable is a file that can't be read.
	CodeUnreadable Code = "unreadable"
	// CodeUnknownKey is a key that no setting has.
	CodeUnknownKey Code = "unknownKey"
	// CodeWrongType is a value of another type than the setting's.
	CodeWrongType Code = "wrongType"
	// CodeBadUnit is a duration without a unit, or with one that is not known.
	CodeBadUnit Code = "badUnit"
	// CodeNotAllowed is a value outside of what the setting allows.
	CodeNotAllowed Code = "notAllowed"
	// CodeBadAddress is text that is no IP:port or URL.
	CodeBadAddress Code = "badAddress"
	// CodeMissing is a setting that the role needs and the file lacks.
	CodeMissing Code = "missing"
	// CodeClash is two settings that can't both hold.
	CodeClash Code = "clash"
	// CodeDuplicate is a name that is given twice.
	CodeDuplicate Code = "duplicate"
	// CodeUnknownName is a reference to a name that is defined nowhere.
	CodeUnknownName Code = "unknownName"
)

// Error is one fault of a settings file, a flag or an environment variable.
type Error struct {
	// Source is the file, or the flag or variable that set the key.
	Source string
	// Line counts from 1; it is 0 if the source is no file.
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

// Errors holds every fault that was found, in the order of their lines.
type Errors struct {
	List []*Error
}

// Error implements error, with one fault a line.
func (e *Errors) Error() string {
	lines := make([]string, len(e.List))
	for i, fault := range e.List {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the faults one by one.
func (e *Errors) Unwrap() []error {
	list := make([]error, len(e.List))
	for i, fault := range e.List {
		list[i] = fault
	}
	return list
}

// faults collects errors, each at the place of its key.
type faults struct {
	origin *origin
	list   []*Error
}

func (f *faults) add(key string, code Code, format string, a ...any) {
	source, line := f.origin.place(key)
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
