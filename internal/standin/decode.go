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

// defaultTransferWithin bounds a transfer whose request gives no bound.
const defaultTransferWithin = 10 * time.Second

// Decode implements engine.Engine.
func (e *Engine) Decode(ctx context.Context, r engine.DecodeRequest, emit func(message.Part) error) error {
	p, err := e.enter(ctx, OperationDecode)
	if err != nil {
		return err
	}
	source := answer.Of(r.Model, r.Adapter, r.Prompt)
	limit, finish := source.Length(r.MaxTokens)
	if r.Offset < 0 || r.Offset > limit || source.Text(0, r.Offset) != r.Delivered {
		return fail(oriolebend.ReasonMalformed, "delivered is not this output's first %d tokens", r.Offset)
	}
	tokens := prefix.CountTokens(r.Prompt) + max(r.MaxTokens, 0)
	s := newSequence(r.Attempt, message.PhaseDecode, r.Model, r.Priority, tokens)
	s.produced = r.Offset
	s.limit = limit
	ctx, err = e.admit(ctx, p, s, need{oriolebend.Decode, r.Model, r.Version, r.Adapter})
	if err != nil {
		return err
	}
	defer e.release(p, s)
	if err := e.fetch(ctx, r); err != nil {
		return err
	}
	e.generate(p, s)
	return e.deliver(ctx, s, output{source: source, attempt: r.Attempt, finish: finish, offset: r.Offset}, emit)
}

// generate adds a sequence, whose KV cache is there, to the batch.
func (e *Engine) generate(p *process, s *sequence) {
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
	p.rollReport()
	p.running = append(p.running, s)
	e.wake(p)
}

// output is what a decode hands over and how far it is.
type output struct {
	source  answer.Source
	attempt message.Attempt
	finish  message.FinishReason
	offset  int
}

// deliver hands each run of new tokens over until the last. A slow receiver
// gets several tokens in one part.
func (e *Engine) deliver(ctx context.Context, s *sequence, o output, emit func(message.Part) error) error {
	for {
		select {
		case <-s.progress:
		case <-ctx.Done():
			return ended(ctx)
		}
		produced := e.producedBy(s)
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
		if err := e.fault(OperationPart); err != nil {
			return err
		}
		o.offset = produced
	}
}

func (e *Engine) producedBy(s *sequence) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced
}

// fetch imports the KV cache of a prompt from the engine that computed it.
func (e *Engine) fetch(ctx context.Context, r engine.DecodeRequest) error {
	within := r.TransferWithin
	if within <= 0 {
		within = defaultTransferWithin
	}
	late := fail(oriolebend.ReasonTransferStalled, "transfer did not end within %s", within)
	bounded, cancel := context.WithTimeoutCause(ctx, within, late)
	defer cancel()
	request, err := http.NewRequestWithContext(bounded, http.MethodGet, r.SourceURL, nil)
	if err != nil {
		return &engine.Error{Reason: oriolebend.ReasonMalformed, Cause: err}
	}
	response, err := e.config.Transport.RoundTrip(request)
	if err != nil {
		// What the source's process held is lost with it.
		return endedOr(bounded, &engine.Error{Reason: oriolebend.ReasonResultExpired, Detail: "source not reached", Cause: err})
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fail(oriolebend.ReasonResultExpired, "source answered %s", response.Status)
	}
	if response.Header.Get(headerKVDigest) != strconv.FormatUint(digest(r.Model, r.Adapter, r.Prompt+r.Delivered), 16) {
		return fail(oriolebend.ReasonEngineFailed, "KV cache is of another prompt")
	}
	if err := e.receive(bounded, response); err != nil {
		return endedOr(bounded, &engine.Error{Reason: oriolebend.ReasonTransferStalled, Detail: "transfer broke off", Cause: err})
	}
	return nil
}

// receive reads the body of a transfer at the rate of the engine's own link.
func (e *Engine) receive(ctx context.Context, response *http.Response) error {
	buffer := e.transferBuffer()
	for {
		n, err := response.Body.Read(buffer)
		if passed := e.link.Pass(ctx, int64(n)*e.config.BodyScale); passed != nil {
			return passed
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// endedOr returns why ctx ended, or the other error if it has not.
func endedOr(ctx context.Context, other *engine.Error) error {
	if ctx.Err() != nil {
		return ended(ctx)
	}
	return other
}
