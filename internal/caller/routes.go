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

// complete takes a model request from its headers to the end of its answer.
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
	asked, err := decodeCommand(body, f)
	if err != nil {
		return err
	}
	if err := h.fillCommand(&request, asked); err != nil {
		return err
	}
	return h.answerCommand(c, request, asked)
}

// fillCommand puts a command that is within bounds into the request.
func (h *handler) fillCommand(r *entry.Request, asked command) error {
	if err := h.checkModel(asked.Model); err != nil {
		return err
	}
	if asked.MaxTokens > h.Caller.MaxOutputTokens {
		return refuse(oriolebend.ReasonTooLarge, fmt.Sprintf("max_tokens is over %d", h.Caller.MaxOutputTokens))
	}
	r.PromptTokens = h.CountTokens(asked.Prompt)
	if r.PromptTokens > h.Caller.MaxPromptTokens {
		return refuse(oriolebend.ReasonTooLarge, fmt.Sprintf("the prompt is over %d tokens", h.Caller.MaxPromptTokens))
	}
	r.Model, r.Version, r.Adapter = asked.Model.Model, asked.Model.Version, asked.Model.Adapter
	r.Prompt = asked.Prompt
	r.Prefix = h.Prefix(asked.Model.Model, asked.Prompt)
	r.MaxTokens = asked.MaxTokens
	if r.MaxTokens == 0 {
		r.MaxTokens = min(unsaidOutputTokens, h.Caller.MaxOutputTokens)
	}
	r.Fingerprint = h.Fingerprint(*r)
	return nil
}

// answerCommand submits a request and writes its answer. Its context ends with
// the handler, whatever ended that: a caller that left, that takes no output,
// or an answer that is whole.
func (h *handler) answerCommand(c *echo.Context, r entry.Request, asked command) error {
	ctx, cancel := context.WithCancel(c.Request().Context())
	defer cancel()
	a := &answer{
		command:      asked,
		promptTokens: r.PromptTokens,
		out:          &output{chunks: h.Router.Submit(ctx, r), requestID: r.ID},
	}
	if asked.Stream {
		return h.writeStream(c, a)
	}
	return h.writeWhole(c, a)
}
