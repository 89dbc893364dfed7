package oriolebend

import (
	"fmt"
	"strings"
)

// maxModelNameBytes bounds each part of a model name.
const maxModelNameBytes = 128

// ModelName names a model as callers and operators write it: "model",
// "model@version", "model:adapter" or "model@version:adapter".
type ModelName struct {
	Model string
	// Version is empty if any version matches, Adapter if no adapter is named.
	Version string
	Adapter string
}

// ModelNameError reports a text that is not a model name.
type ModelNameError struct {
	Text string
}

// Error implements error.
func (e *ModelNameError) Error() string {
	return fmt.Sprintf("%.64q is not a model name", e.Text)
}

// ParseModelName parses a model name. Errors are *ModelNameError.
func ParseModelName(text string) (ModelName, error) {
	rest, adapter, hasAdapter := strings.Cut(text, ":")
	model, version, hasVersion := strings.Cut(rest, "@")
	valid := validModelPart(model) &&
		(!hasVersion || validModelPart(version)) &&
		(!hasAdapter || validModelPart(adapter))
	if !valid {
		return ModelName{}, &ModelNameError{Text: text}
	}
	return ModelName{Model: model, Version: version, Adapter: adapter}, nil
}

// String returns the name in the form that ParseModelName parses.
func (n ModelName) String() string {
	text := n.Model
	if n.Version != "" {
		text += "@" + n.Version
	}
	if n.Adapter != "" {
		text += ":" + n.Adapter
	}
	return text
}

// Holds reports whether the loaded model matches the name.
func (m LoadedModel) Holds(n ModelName) bool {
	return m.Model == n.Model && m.matches(n.Version, n.Adapter)
}

func validModelPart(part string) bool {
	if part == "" || len(part) > maxModelNameBytes {
		return false
	}
	for _, r := range part {
		plain := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9'
		if !plain && !strings.ContainsRune("-_./", r) {
			return false
		}
	}
	return true
}
