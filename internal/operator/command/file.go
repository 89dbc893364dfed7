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

// fileEntry is one resource in a file.
type fileEntry struct {
	Kind     oriolebend.ResourceKind `json:"kind"`
	Name     string                  `json:"name"`
	Revision uint64                  `json:"revision,omitempty"`
	Spec     json.RawMessage         `json:"spec"`
}

func (e fileEntry) key() oriolebend.ResourceKey {
	return oriolebend.ResourceKey{Kind: e.Kind, Name: e.Name}
}

// FileError means that a file with resources or a routing can't be read.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return e.File + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// readFile reads the resources in a TOML or JSON file, or from standard input for
// "-". It returns them in an order in which they can be applied.
func readFile(name string, stdin io.Reader) ([]fileEntry, error) {
	data, err := readAll(name, stdin)
	if err != nil {
		return nil, &FileError{File: name, Cause: err}
	}
	entries, err := parse(name, data)
	if err != nil {
		return nil, &ExitError{Code: ExitInvalid, Cause: &FileError{File: name, Cause: err}}
	}
	slices.SortStableFunc(entries, func(a, b fileEntry) int { return applyOrder(a.Kind) - applyOrder(b.Kind) })
	return entries, nil
}

func readAll(name string, stdin io.Reader) ([]byte, error) {
	if name == "-" {
		return io.ReadAll(stdin)
	}
	return os.ReadFile(name)
}

// applyOrder returns the position of a kind in the order of application. A kind comes
// before the kinds that refer to it.
func applyOrder(kind oriolebend.ResourceKind) int {
	return slices.Index(oriolebend.ResourceKinds(), kind)
}

// parse parses TOML with a [[resources]] table for each resource, or JSON. The JSON is
// one resource, a list of resources, or the output of "get --output json".
func parse(name string, data []byte) ([]fileEntry, error) {
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

func parseJSON(data []byte) ([]fileEntry, error) {
	var entries []fileEntry
	if err := json.Unmarshal(data, &entries); err == nil {
		return checkNames(entries)
	}
	var list struct {
		Items []fileEntry `json:"items"`
	}
	if err := json.Unmarshal(data, &list); err == nil && len(list.Items) > 0 {
		return checkNames(list.Items)
	}
	var one fileEntry
	if err := json.Unmarshal(data, &one); err != nil {
		return nil, err
	}
	return checkNames([]fileEntry{one})
}

// NamelessError means that a resource in a file has no kind or no name.
type NamelessError struct{ Index int }

// Error implements error.
func (e *NamelessError) Error() string {
	return fmt.Sprintf("resource %d has no kind or no name", e.Index+1)
}

// checkNames returns a *NamelessError if a resource has no kind or no name.
func checkNames(entries []fileEntry) ([]fileEntry, error) {
	for i, e := range entries {
		if e.Kind == "" || e.Name == "" {
			return nil, &NamelessError{Index: i}
		}
	}
	return entries, nil
}
