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
	// Tokens counts the complete output of an answered model request.
	Tokens       int                  `json:"tokens,omitempty"`
	FinishReason message.FinishReason `json:"finishReason,omitempty"`
}

// record answers with the state of a request of the caller's organisation. The
// answer for a request of another organisation is the same as for a request that
// never existed.
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
	h.extendWriteDeadline(c)
	return c.JSON(http.StatusOK, recordOf(requestID, found))
}

func unknownRequest() error {
	return &oriolebend.Problem{
		Reason: oriolebend.ReasonUnknownRequest,
		Ran:    oriolebend.RanUnknown,
		Detail: "no record of this request is kept for the organisation",
	}
}

// withRanUnknown sets Ran to "unknown" in the refusal of a query about an earlier
// request: its caller would take Ran "no" as a statement about that request.
func withRanUnknown(err error) error {
	var problem *oriolebend.Problem
	if errors.As(err, &problem) {
		problem.Ran = oriolebend.RanUnknown
	}
	return err
}

// identifyRequest returns the caller's organisation and the request ID in the path.
func (h *handler) identifyRequest(c *echo.Context) (organisation, requestID string, err error) {
	owner, err := h.identify(c.Request())
	if err != nil {
		return "", "", withRanUnknown(err)
	}
	requestID = c.Param("id")
	if !validKey(requestID) {
		return "", "", withRanUnknown(refuse(oriolebend.ReasonMalformed, "the request ID: "+keyRule))
	}
	return owner.Name, requestID, nil
}

func recordOf(requestID string, found message.ClaimAnswer) Record {
	record := Record{
		RequestID: requestID,
		State:     found.State,
		Ran:       ranByState[found.State],
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

// ranByState maps each final state to whether the request ran. A failed request may
// have run in part.
var ranByState = map[message.RecordState]oriolebend.Ran{
	message.RecordAnswered: oriolebend.RanYes,
	message.RecordFailed:   oriolebend.RanUnknown,
	message.RecordNotRun:   oriolebend.RanNo,
	message.RecordUnknown:  oriolebend.RanUnknown,
}

// attach streams a request's output from an offset in bytes. The offset is a query
// parameter, or the ID of the last event that an event source client has received.
func (h *handler) attach(c *echo.Context) error {
	organisation, requestID, err := h.identifyRequest(c)
	if err != nil {
		return err
	}
	offset, err := offsetOf(c)
	if err != nil {
		return withRanUnknown(err)
	}
	cmd, err := attachedCommand(c)
	if err != nil {
		return withRanUnknown(err)
	}
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	out := &output{chunks: h.Router.Attach(ctx, organisation, requestID), requestID: requestID}
	return h.writeStream(c, &answer{command: cmd, out: out, attached: true, text: textAligner{skip: offset}})
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
