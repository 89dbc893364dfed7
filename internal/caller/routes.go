package caller

import (
	"context"
	"fmt"

	"github.com/labstack/echo/v5"

	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func (h *handler) completions(c *echo.Context) error {
	return h.complete(c, formCompletion)
}

func (h *handler) chat(c *echo.Context) error {
	return h.complete(c, formChat)
}

// complete serves a model request.
func (h *handler) complete(c *echo.Context, f form) error {
	request, err := h.newRequest(c.Request(), defaultOperation)
	if err != nil {
		return err
	}
	c.Response().Header().Set(HeaderKey, request.Scope.Key)
	body, err := h.readBody(c)
	if err != nil {
		return err
	}
	cmd, err := decodeCommand(body, f)
	if err != nil {
		return err
	}
	if err := h.fillCommand(&request, cmd); err != nil {
		return err
	}
	return h.answerCommand(c, request, cmd)
}

// fillCommand checks the limits of a command and sets it in the request.
func (h *handler) fillCommand(r *entry.Request, cmd command) error {
	if err := h.checkModel(cmd.Model); err != nil {
		return err
	}
	if cmd.MaxTokens > h.Caller.MaxOutputTokens {
		return refuse(oriolebend.ReasonTooLarge, fmt.Sprintf("max_tokens is over %d", h.Caller.MaxOutputTokens))
	}
	r.PromptTokens = h.CountTokens(cmd.Prompt)
	if r.PromptTokens > h.Caller.MaxPromptTokens {
		return refuse(oriolebend.ReasonTooLarge, fmt.Sprintf("the prompt is over %d tokens", h.Caller.MaxPromptTokens))
	}
	r.Model, r.Version, r.Adapter = cmd.Model.Model, cmd.Model.Version, cmd.Model.Adapter
	r.Prompt = cmd.Prompt
	r.Prefix = h.Prefix(cmd.Model.Model, cmd.Prompt)
	r.MaxTokens = cmd.MaxTokens
	if r.MaxTokens == 0 {
		r.MaxTokens = min(unspecifiedOutputTokens, h.Caller.MaxOutputTokens)
	}
	r.Fingerprint = h.Fingerprint(*r)
	return nil
}

// answerCommand submits a request and writes its answer. The context of the request
// is cancelled when the handler returns, for any reason: the caller has
// disconnected, the caller reads no output, or the answer is complete.
func (h *handler) answerCommand(c *echo.Context, r entry.Request, cmd command) error {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	a := &answer{
		command:      cmd,
		promptTokens: r.PromptTokens,
		out:          &output{chunks: h.Router.Submit(ctx, r), requestID: r.ID},
	}
	if cmd.Stream {
		return h.writeStream(c, a)
	}
	return h.writeComplete(c, a)
}
