package caller

import (
	"net/http"
	"strings"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// answerBody is an answer of the completions protocol, whole or one part of a
// stream.
type answerBody struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// choice holds Text, Message or Delta, by the form of the request.
type choice struct {
	Index        int                   `json:"index"`
	Text         *string               `json:"text,omitempty"`
	Message      *said                 `json:"message,omitempty"`
	Delta        *said                 `json:"delta,omitempty"`
	Logprobs     *struct{}             `json:"logprobs"`
	FinishReason *message.FinishReason `json:"finish_reason"`
}

type said struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answer says how the output of one request is written to its caller.
type answer struct {
	command      command
	promptTokens int
	out          *output
	// attached is true if the caller follows a request that it did not start
	// here, and may not know of which kind it is.
	attached bool
	// cut is the text on its way to the caller of a stream.
	cut textCut
}

// body returns the parts that are the same in every body of one answer. They
// depend on the record alone, so that a replay is the same answer byte by byte.
func (a *answer) body(object, idPrefix string) answerBody {
	return answerBody{
		ID:      idPrefix + a.out.requestID,
		Object:  object,
		Created: createdOf(a.out.requestID),
		Model:   a.command.Named,
	}
}

// createdOf returns when a request ID was made, in seconds since 1970.
func createdOf(requestID string) int64 {
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

func (a *answer) whole(text string, finish message.FinishReason) answerBody {
	body := a.body("text_completion", "cmpl-")
	last := choice{Text: &text, FinishReason: &finish}
	if a.command.Form == formChat {
		body = a.body("chat.completion", "chatcmpl-")
		last = choice{Message: &said{Role: "assistant", Content: text}, FinishReason: &finish}
	}
	body.Choices = []choice{last}
	body.Usage = a.usage()
	return body
}

// writeWhole waits for the whole output and answers with it.
func (h *handler) writeWhole(c *echo.Context, a *answer) error {
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
			h.extendWrite(c)
			return c.JSON(http.StatusOK, a.whole(text.String(), next.Finish))
		}
	}
}

// setHeaders names the record that the answer belongs to.
func (a *answer) setHeaders(c *echo.Context) {
	a.out.setHeaders(c.Response().Header())
}

func (o *output) setHeaders(header http.Header) {
	header.Set(HeaderRequestID, o.requestID)
	if o.replayed {
		header.Set(HeaderReplayed, "true")
	}
}
