package caller

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// answerBody is the body of an answer of the completions protocol, or of one event
// of a stream.
type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice holds Text, Message or Delta, depending on the form of the request.
type choice struct {
	Index        int                   `json:"index"`
	Text         *string               `json:"text,omitempty"`
	Message      *answerMessage        `json:"message,omitempty"`
	Delta        *answerMessage        `json:"delta,omitempty"`
	Logprobs     *struct{}             `json:"logprobs"`
	FinishReason *message.FinishReason `json:"finish_reason"`
}

type answerMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answer is the answer to one model request while it is written to its caller.
type answer struct {
	command      command
	promptTokens int
	out          *output
	// attached is true if the caller follows an earlier request by its ID. That request
	// may be a call of a service, even if the caller expects a model's output.
	attached bool
	// text splits the text of a stream at character boundaries.
	text textAligner
}

// body returns the members that are the same in every body of one answer. They
// depend on the record alone, so that a replayed answer is identical byte for byte.
func (a *answer) body(object, idPrefix string) answerBody {
	return answerBody{
		ID:      idPrefix + a.out.requestID,
		Object:  object,
		Created: createdSeconds(a.out.requestID),
		Model:   a.command.RequestedModel,
	}
}

// createdSeconds returns the creation time in a request ID, in seconds since 1970. It
// returns zero if the ID is not a UUID of version 7.
func createdSeconds(requestID string) int64 {
	const version = 7
	id, err := uuid.Parse(requestID)
	if err != nil || id.Version() != version {
		return 0
	}
	seconds, _ := id.Time().UnixTime()
	return seconds
}

func (a *answer) usage() *usage {
	return &usage{
		PromptTokens:     a.promptTokens,
		CompletionTokens: a.out.offset,
		TotalTokens:      a.promptTokens + a.out.offset,
	}
}

// complete returns the body of an answer in one piece.
func (a *answer) complete(text string, finish message.FinishReason) answerBody {
	body := a.body("text_completion", "cmpl-")
	last := choice{Text: &text, FinishReason: &finish}
	if a.command.Form == formChat {
		body = a.body("chat.completion", "chatcmpl-")
		last = choice{Message: &answerMessage{Role: "assistant", Content: text}, FinishReason: &finish}
	}
	body.Choices = []choice{last}
	body.Usage = a.usage()
	return body
}

// writeComplete waits for the complete output and answers with it.
func (h *handler) writeComplete(c *echo.Context, a *answer) error {
	var text strings.Builder
	for {
		next, err := a.out.next(c.Request().Context())
		if err != nil {
			a.setHeaders(c)
			return err
		}
		if next.Call != nil {
			return a.out.problem(oriolebend.ReasonInternal, "a service's answer where a model's was due")
		}
		text.WriteString(next.Text)
		if next.Finish != "" {
			a.setHeaders(c)
			h.extendWriteDeadline(c)
			return c.JSON(http.StatusOK, a.complete(text.String(), next.Finish))
		}
	}
}

// setHeaders sets the headers that identify the record of the answer.
func (a *answer) setHeaders(c *echo.Context) {
	a.out.setHeaders(c.Response().Header())
}

func (o *output) setHeaders(header http.Header) {
	header.Set(HeaderRequestID, o.requestID)
	if o.replayed {
		header.Set(HeaderReplayed, "true")
	}
}
