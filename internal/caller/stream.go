package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/logging"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// streamDone is the last event of a complete stream.
const streamDone = "[DONE]"

// stream writes one answer as server-sent events.
type stream struct {
	handler *handler
	context *echo.Context
	answer  *answer
	begun   bool
}

// writeStream writes the output as it arrives. A failure before the first output is
// answered with its status, like a failure of an answer in one piece.
func (h *handler) writeStream(c *echo.Context, a *answer) error {
	s := &stream{handler: h, context: c, answer: a}
	for {
		next, err := a.out.next(c.Request().Context())
		if err != nil {
			return s.fail(err)
		}
		if next.Call != nil && a.attached && !s.begun {
			a.setHeaders(c)
			return h.writeCall(c, next.Call)
		}
		if next.Call != nil {
			return s.fail(a.out.problem(oriolebend.ReasonInternal, "a service's answer where a model's was due"))
		}
		if err := s.sendStep(next); err != nil {
			return s.fail(err)
		}
		if next.Finish != "" {
			return s.end()
		}
	}
}

// writeFailed returns the problem of a caller that does not read the stream.
func (s *stream) writeFailed(cause error) error {
	problem := s.answer.out.problem(oriolebend.ReasonCallerCancelled, "the caller takes no output")
	problem.Cause = cause
	return problem
}

// begin sends the head of the answer.
func (s *stream) begin() {
	s.begun = true
	header := s.context.Response().Header()
	s.answer.setHeaders(s.context)
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-store")
	header.Set("X-Accel-Buffering", "no")
	s.context.Response().WriteHeader(http.StatusOK)
}

// sendStep sends one run of output, with the finish reason if it is the last run.
func (s *stream) sendStep(next step) error {
	text, valid := s.answer.text.add(next.Text, next.Finish != "")
	if !valid {
		return withRanUnknown(badField("offset", "ends inside a character, or behind the end of the output"))
	}
	if text == "" && next.Finish == "" {
		return nil
	}
	if !s.begun {
		s.begin()
	}
	body := s.body()
	body.Choices = []choice{s.choice(text, next.Finish)}
	if err := s.send(body); err != nil {
		return s.writeFailed(err)
	}
	return nil
}

func (s *stream) body() answerBody {
	if s.answer.command.Form == formChat {
		return s.answer.body("chat.completion.chunk", "chatcmpl-")
	}
	return s.answer.body("text_completion", "cmpl-")
}

func (s *stream) choice(text string, finish message.FinishReason) choice {
	part := choice{Text: &text}
	if s.answer.command.Form == formChat {
		part = choice{Delta: &answerMessage{Role: "assistant", Content: text}}
	}
	if finish != "" {
		part.FinishReason = &finish
	}
	return part
}

// send writes one event and flushes it. Its id is the offset, in bytes of
// output, from which a caller attaches again if it loses the stream after the event.
func (s *stream) send(content any) error {
	data, err := json.Marshal(content)
	if err != nil {
		return err
	}
	event := "id: " + strconv.Itoa(s.answer.text.position) + "\ndata: " + string(data) + "\n\n"
	return s.write(event)
}

func (s *stream) write(event string) error {
	s.handler.extendWriteDeadline(s.context)
	if _, err := s.context.Response().Write([]byte(event)); err != nil {
		return err
	}
	return http.NewResponseController(s.context.Response()).Flush()
}

func (s *stream) end() error {
	if s.answer.command.IncludeUsage {
		body := s.body()
		body.Choices = []choice{}
		body.Usage = s.answer.usage()
		if err := s.send(body); err != nil {
			return s.fail(s.writeFailed(err))
		}
	}
	if err := s.write("data: " + streamDone + "\n\n"); err != nil {
		return s.fail(s.writeFailed(err))
	}
	return nil
}

// fail ends a stream that broke off. It sends an event with the problem and not the
// last event, so that no client takes an incomplete output for a complete one.
func (s *stream) fail(err error) error {
	if !s.begun {
		s.answer.setHeaders(s.context)
		return err
	}
	var problem *oriolebend.Problem
	if !errors.As(err, &problem) {
		return err
	}
	s.handler.logProblem(s.context.Request().Context(), problem)
	if problem.Reason == oriolebend.ReasonCallerCancelled {
		return nil
	}
	if err := s.send(documentOf(problem)); err != nil {
		s.handler.Logger.Debug("caller disconnected before the failure was sent", logging.RequestID(problem.RequestID))
	}
	return nil
}
