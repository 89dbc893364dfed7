package standin

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/internal/standin/answer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// defaultTransferWithin is the timeout of a transfer whose request specifies none.
const defaultTransferWithin = 10 * time.Second

// Decode implements engine.Engine.
func (e *Engine) Decode(ctx context.Context, r engine.DecodeRequest, emit func(message.Part) error) error {
	p, err := e.beginCall(ctx, OperationDecode)
	if err != nil {
		return err
	}
	source := answer.Of(r.Model, r.Adapter, r.Prompt)
	limit, finish := source.Length(r.MaxTokens)
	if r.Offset < 0 || r.Offset > limit || source.Text(0, r.Offset) != r.Delivered {
		return newError(oriolebend.ReasonMalformed, "delivered is not this output's first %d tokens", r.Offset)
	}
	tokens := prefix.CountTokens(r.Prompt) + max(r.MaxTokens, 0)
	s := newSequence(r.Attempt, message.PhaseDecode, r.Model, r.Priority, tokens)
	s.produced = r.Offset
	s.limit = limit
	ctx, err = e.admit(ctx, p, s, requirement{oriolebend.Decode, r.Model, r.Version, r.Adapter})
	if err != nil {
		return err
	}
	defer e.releaseSequence(p, s)
	if err := e.fetchKV(ctx, r); err != nil {
		return err
	}
	e.startGeneration(p, s)
	return e.deliverOutput(ctx, s, decodeOutput{source: source, attempt: r.Attempt, finish: finish, offset: r.Offset}, emit)
}

// startGeneration adds a sequence whose KV cache is imported to the running decodes.
func (e *Engine) startGeneration(p *process, s *sequence) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats.Decodes++
	if p.work[s.key] != s {
		return
	}
	if s.produced >= s.limit {
		s.signal()
		return
	}
	p.updateReport()
	p.running = append(p.running, s)
	e.startLoop(p)
}

// decodeOutput is the output of a decode and the offset of the next token to deliver.
type decodeOutput struct {
	source  answer.Source
	attempt message.Attempt
	finish  message.FinishReason
	offset  int
}

// deliverOutput passes each run of new tokens to emit until the last token. If emit is
// slow, one part contains several tokens.
func (e *Engine) deliverOutput(ctx context.Context, s *sequence, o decodeOutput, emit func(message.Part) error) error {
	for {
		select {
		case <-s.progress:
		case <-ctx.Done():
			return contextError(ctx)
		}
		produced := e.producedTokens(s)
		part := message.Part{
			Attempt: o.attempt,
			Offset:  o.offset,
			Tokens:  produced - o.offset,
			Text:    o.source.Text(o.offset, produced),
		}
		if produced == s.limit {
			part.Finish = o.finish
		}
		if err := emit(part); err != nil {
			return &engine.Error{Reason: oriolebend.ReasonCallerCancelled, Cause: err}
		}
		if part.Finish != "" {
			return nil
		}
		if err := e.takeFault(OperationPart); err != nil {
			return err
		}
		o.offset = produced
	}
}

// producedTokens returns the number of output tokens that a decode has produced.
func (e *Engine) producedTokens(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced
}

// fetchKV imports the KV cache of a prompt from the engine that computed it.
func (e *Engine) fetchKV(ctx context.Context, r engine.DecodeRequest) error {
	limit := r.TransferWithin
	if limit <= 0 {
		limit = defaultTransferWithin
	}
	timeout := newError(oriolebend.ReasonTransferStalled, "transfer did not end within %s", limit)
	bounded, cancel := context.WithTimeoutCause(ctx, limit, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, r.SourceURL, nil)
	if err != nil {
		return &engine.Error{Reason: oriolebend.ReasonMalformed, Cause: err}
	}
	response, err := e.config.Transport.RoundTrip(request)
	if err != nil {
		// If the source can't be reached, the results of its process are lost.
		return contextErrorOr(bounded, &engine.Error{Reason: oriolebend.ReasonResultExpired, Detail: "source not reached", Cause: err})
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return newError(oriolebend.ReasonResultExpired, "source answered %s", response.Status)
	}
	if response.Header.Get(headerKVDigest) != strconv.FormatUint(digest(r.Model, r.Adapter, r.Prompt+r.Delivered), 16) {
		return newError(oriolebend.ReasonEngineFailed, "KV cache is of another prompt")
	}
	if err := e.receiveKV(bounded, response); err != nil {
		return contextErrorOr(bounded, &engine.Error{Reason: oriolebend.ReasonTransferStalled, Detail: "transfer broke off", Cause: err})
	}
	return nil
}

// receiveKV reads the body of a transfer at the rate of the engine's own link.
func (e *Engine) receiveKV(ctx context.Context, response *http.Response) error {
	buffer := e.transferBuffer()
	for {
		n, err := response.Body.Read(buffer)
		if linkErr := e.link.Pass(ctx, int64(n)*e.config.BodyScale); linkErr != nil {
			return linkErr
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// contextErrorOr returns the error of ctx if it is cancelled, and other if it is not.
func contextErrorOr(ctx context.Context, other *engine.Error) error {
	if ctx.Err() != nil {
		return contextError(ctx)
	}
	return other
}
