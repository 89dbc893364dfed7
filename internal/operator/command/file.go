package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// entry is one resource of a file, as it will be sent.
type entry struct {
	Kind     oriolebend.ResourceKind `json:"kind"`
	Name     string                  `json:"name"`
	Revision uint64                  `json:"revision,omitempty"`
	Spec     json.RawMessage         `json:"spec"`
}

func (e entry) key() oriolebend.ResourceKey {
	return oriolebend.ResourceKey{Kind: e.Kind, Name: e.Name}
}

// FileError means that a file of resources can't be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the error beneath.
func (e *FileError) Unwrap() error { return e.Cause }

// readFile reads the resources of a TOML or JSON file, or of standard input
// for "-", in an order in which they can be applied.
func readFile(name string, stdin io.Reader) ([]entry, error) {
	data, err := readAll(name, stdin)
	if err != nil {
		return nil, &FileError{File: name, Cause: err}
	}
	entries, err := parse(name, data)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Cause: &FileError{File: name, Cause: err}}
	}
	slices.SortStableFunc(entries, func(a, b entry) int { return rank(a.Kind) - rank(b.Kind) })
	return entries, nil
}

func readAll(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(name)
}

// rank puts what is referred to before what refers to it.
func rank(kind oriolebend.ResourceKind) int {
	return slices.Index(oriolebend.ResourceKinds(), kind)
}

// parse reads TOML with a [[resources]] table for each resource, or JSON: one
// resource, a list of them, or what "get --output json" prints.
func parse(name string, data []byte) ([]entry, error) {
	text := strings.TrimSpace(string(data))
	if filepath.Ext(name) != ".toml" && (strings.HasPrefix(text, "{") || strings.HasPrefix(text, "[") && !strings.HasPrefix(text, "[[")) {
		return parseJSON([]byte(text))
	}
	var file struct {
		Resources []map[string]any `toml:"resources"`
	}
	if err := toml.NewDecoder(strings.NewReader(text)).DisallowUnknownFields().Decode(&file); err != nil {
		return nil, err
	}
	encoded, err := json.Marshal(file.Resources)
	if err != nil {
		return nil, err
	}
	return parseJSON(encoded)
}

func parseJSON(data []byte) ([]entry, error) {
	var entries []entry
	if err := json.Unmarshal(data, &entries); err == nil {
		return checked(entries)
	}
	var list struct {
		Items []entry `json:"items"`
	}
	if err := json.Unmarshal(data, &list); err == nil && len(list.Items) > 0 {
		return checked(list.Items)
	}
	var one entry
	if err := json.Unmarshal(data, &one); err != nil {
		return nil, err
	}
	return checked([]entry{one})
}

// NamelessError is a resource of a file without its kind or name.
type NamelessError struct{ Index int }

// Error implements error.
func (e *NamelessError) Error() string {
	return fmt.Sprintf("resource %d has no kind or no name", e.Index+1)
}

func checked(entries []entry) ([]entry, error) {
	for i, e := range entries {
		if e.Kind == "" || e.Name == "" {
			return nil, &NamelessError{Index: i}
		}
	}
	return entries, nil
}
