package caller

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Record is the answer of GET /v1/requests/{id}.
type Record struct {
	RequestID string              `json:"requestID"`
	State     message.RecordState `json:"state"`
	// Ran is set once the state is final.
	Ran oriolebend.Ran `json:"ran,omitempty"`
	// Reason is set for a failure.
	Reason oriolebend.Reason `json:"reason,omitempty"`
	// Attempt is the number of the latest attempt.
	Attempt uint32 `json:"attempt,omitempty"`
	// Tokens counts the whole output of an answered model request.
	Tokens       int                  `json:"tokens,omitempty"`
	FinishReason message.FinishReason `json:"finishReason,omitempty"`
}

// record tells the state of a request of the caller's organisation. Requests
// of others are not told from those that never were.
func (h *handler) record(c *echo.Context) error {
	organisation, requestID, err := h.identifyRequest(c)
	if err != nil {
		return err
	}
	found, err := h.Router.Record(c.Request().Context(), organisation, requestID)
	if err != nil {
		return err
	}
	if found.State == "" {
		return unknownRequest()
	}
	h.extendWrite(c)
	return c.JSON(http.StatusOK, recordOf(requestID, found))
}

func unknownRequest() error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonUnknownRequest,
		Ran:    oriolebend.RanUnknown,
		Detail: "no record of this request is kept for the organisation",
	}
}

// aboutRecord takes back that nothing ran from the refusal of a question about
// an earlier request: its caller would read "not run" as told of that request.
func aboutRecord(err error) error {
	var problem *oriolebend.Problem
	if errors.As(err, &problem) {
		problem.Ran = oriolebend.RanUnknown
	}
	return err
}

// identifyRequest returns the caller's organisation and the request that its
// path names.
func (h *handler) identifyRequest(c *echo.Context) (organisation, requestID string, err error) {
	owner, err := h.identify(c.Request())
	if err != nil {
		return "", "", aboutRecord(err)
	}
	requestID = c.Param("id")
	if !validKey(requestID) {
		return "", "", aboutRecord(refuse(oriolebend.ReasonMalformed, "the request ID: "+keyRule))
	}
	return owner.Name, requestID, nil
}

func recordOf(requestID string, found message.ClaimAnswer) Record {
	record := Record{
		RequestID: requestID,
		State:     found.State,
		Ran:       ranIn[found.State],
		Attempt:   found.Attempt,
	}
	if found.Answer != nil {
		record.Tokens = found.Answer.Tokens
		record.FinishReason = found.Answer.Finish
		record.Reason = found.Answer.Reason
		if found.Answer.Ran != "" {
			record.Ran = found.Answer.Ran
		}
	}
	return record
}

// ranIn says for each final state whether the request ran. A failed one may
// have run in part.
var ranIn = map[message.RecordState]oriolebend.Ran{
	message.RecordAnswered: oriolebend.RanYes,
	message.RecordFailed:   oriolebend.RanUnknown,
	message.RecordNotRun:   oriolebend.RanNo,
	message.RecordUnknown:  oriolebend.RanUnknown,
}

// attach streams a request's output from an offset in bytes on: that of the query, or
// the id of the last event that an event source client has seen.
func (h *handler) attach(c *echo.Context) error {
	organisation, requestID, err := h.identifyRequest(c)
	if err != nil {
		return err
	}
	offset, err := offsetOf(c)
	if err != nil {
		return aboutRecord(err)
	}
	asked, err := attachedCommand(c)
	if err != nil {
		return aboutRecord(err)
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	out := &output{chunks: h.Router.Attach(ctx, organisation, requestID), requestID: requestID}
	return h.writeStream(c, &answer{command: asked, out: out, attached: true, cut: textCut{skip: offset}})
}

func offsetOf(c *echo.Context) (int, error) {
	text := c.QueryParam("offset")
	if text == "" {
		text = c.Request().Header.Get("Last-Event-ID")
	}
	if text == "" {
		return 0, nil
	}
	offset, err := strconv.Atoi(text)
	if err != nil || offset < 0 {
		return 0, badField("offset", "must be a number of bytes of output")
	}
	return offset, nil
}

func attachedCommand(c *echo.Context) (command, error) {
	f := form(c.QueryParam("form"))
	switch f {
	case "":
		f = formCompletion
	case formCompletion, formChat:
	default:
		return command{}, badField("form", "must be completion or chat")
	}
	return command{Form: f, Stream: true}, nil
}
