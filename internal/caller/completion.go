package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// form is the form of the completions protocol that a request uses.
type form string

const (
	formCompletion form = "completion"
	formChat       form = "chat"
)

// command is the decoded and checked body of a model request.
type command struct {
	Form form
	// RequestedModel is the model's name as the caller wrote it.
	RequestedModel string
	Model          oriolebend.ModelName
	Prompt         string
	// MaxTokens is zero if the caller sets no bound.
	MaxTokens    int
	Stream       bool
	IncludeUsage bool
}

// unsupportedFields would change the form of the answer in a way that the router
// does not support. Each maps to a function that reports whether a value changes
// nothing, so that it is accepted.
var unsupportedFields = map[string]func(json.RawMessage) bool{
	"stop":            isNull,
	"suffix":          isNull,
	"echo":            isNullOr("false"),
	"n":               isNullOr("1"),
	"best_of":         isNullOr("1"),
	"logprobs":        isNullOr("false", "0"),
	"top_logprobs":    isNullOr("0"),
	"logit_bias":      isNullOr("{}"),
	"tools":           isNullOr("[]"),
	"tool_choice":     isNullOr(`"none"`),
	"functions":       isNullOr("[]"),
	"function_call":   isNullOr(`"none"`),
	"response_format": isNullOr(`{"type":"text"}`),
	"modalities":      isNullOr(`["text"]`),
	"audio":           isNull,
}

func isNull(value json.RawMessage) bool {
	return string(value) == "null"
}

func isNullOr(defaults ...string) func(json.RawMessage) bool {
	return func(value json.RawMessage) bool {
		var compact bytes.Buffer
		if err := json.Compact(&compact, value); err != nil {
			return false
		}
		return isNull(value) || slices.Contains(defaults, compact.String())
	}
}

// decodeCommand decodes and checks a body of the completions protocol. Errors are
// *oriolebend.Problem.
func decodeCommand(body []byte, f form) (command, error) {
	members, err := decodeObject(body)
	if err != nil {
		return command{}, err
	}
	if err := members.checkUnsupported(); err != nil {
		return command{}, err
	}
	decoded := command{Form: f}
	steps := []func(fields, *command) error{readModel, readPrompt, readMaxTokens, readStream}
	for _, step := range steps {
		if err := step(members, &decoded); err != nil {
			return command{}, err
		}
	}
	return decoded, nil
}

func (m fields) checkUnsupported() error {
	names := make([]string, 0, len(unsupportedFields))
	for name := range unsupportedFields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		value, found := m[name]
		if found && !unsupportedFields[name](value) {
			return badField(name, "is not supported by this router; leave it out")
		}
	}
	return nil
}

// read decodes the named member into target; it reports false if the member is
// missing or null.
func (m fields) read(name string, target any, want string) (bool, error) {
	value, found := m[name]
	if !found || isNull(value) {
		return false, nil
	}
	if err := json.Unmarshal(value, target); err != nil {
		return false, badField(name, "must be "+want)
	}
	return true, nil
}

func badField(name, detail string) error {
	return refuse(oriolebend.ReasonMalformed, fmt.Sprintf("%q %s", name, detail))
}

func readModel(m fields, c *command) error {
	found, err := m.read("model", &c.RequestedModel, "text")
	if err != nil {
		return err
	}
	if !found {
		return badField("model", "is missing")
	}
	name, err := oriolebend.ParseModelName(c.RequestedModel)
	if err != nil {
		return badField("model", "must be like model, model@version, model:adapter or model@version:adapter")
	}
	c.Model = name
	return nil
}

func readPrompt(m fields, c *command) error {
	if c.Form == formChat {
		return readMessages(m, c)
	}
	value, found := m["prompt"]
	if !found || isNull(value) {
		return badField("prompt", "is missing")
	}
	if json.Unmarshal(value, &c.Prompt) == nil {
		return checkPrompt("prompt", c.Prompt)
	}
	var list []string
	if err := json.Unmarshal(value, &list); err != nil || len(list) != 1 {
		return badField("prompt", "must be text, or a list of one text; token numbers and several prompts are not supported")
	}
	c.Prompt = list[0]
	return checkPrompt("prompt", c.Prompt)
}

func checkPrompt(name, prompt string) error {
	if strings.TrimSpace(prompt) == "" {
		return badField(name, "is empty")
	}
	return nil
}

func readMaxTokens(m fields, c *command) error {
	for _, name := range []string{"max_tokens", "max_completion_tokens"} {
		found, err := m.read(name, &c.MaxTokens, "a whole number")
		if err != nil {
			return err
		}
		if found && c.MaxTokens < 1 {
			return badField(name, "must be at least 1")
		}
	}
	return nil
}

func readStream(m fields, c *command) error {
	if _, err := m.read("stream", &c.Stream, "true or false"); err != nil {
		return err
	}
	var options struct {
		IncludeUsage bool `json:"include_usage"`
	}
	if _, err := m.read("stream_options", &options, "an object"); err != nil {
		return err
	}
	c.IncludeUsage = options.IncludeUsage
	return nil
}
