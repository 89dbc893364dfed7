// Package caller serves the HTTP API of an entry for callers: the completions protocol
// for models, and calls of plain services by path.
package caller

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Router accepts validated requests and answers them; the entry role implements it.
type Router interface {
	// Submit starts a request. The channel carries its answer: Chunks, the
	// last of which has End, Call, Replay or Problem set. Cancelling ctx means
	// that the caller has disconnected; the channel is not read after that.
	Submit(ctx context.Context, r entry.Request) <-chan Chunk
	// Attach follows a request of the organisation. The channel carries the same
	// answer as the channel of Submit, from the first token on. Cancelling ctx
	// does not cancel the request.
	Attach(ctx context.Context, organisation, requestID string) <-chan Chunk
	// Models returns the models that callers may name now.
	Models() []oriolebend.LoadedModel
	// Record returns the record of a request of an organisation; its State is
	// empty if there is none.
	Record(ctx context.Context, organisation, requestID string) (message.ClaimAnswer, error)
	// Ready reports whether new requests should be sent to this process.
	Ready() bool
	// Settled reports whether Models is complete. Before that, a model that it does
	// not list may exist and not be announced yet.
	Settled() bool
}

// Chunk is one step of an answer. Exactly one of its parts is set.
type Chunk struct {
	// RequestID identifies the record that the answer belongs to. It is set on the
	// first chunk of an answer that belongs to an earlier request with the same
	// key, and may be empty otherwise.
	RequestID string
	// Text is output that begins after Offset tokens; Tokens counts the tokens in it.
	Text   string
	Tokens int
	Offset int
	// End is set on the last chunk of a complete output.
	End *End
	// Call is the complete answer of a plain service.
	Call *message.CallAnswer
	// Replay is a stored answer.
	Replay *message.Answer
	// Problem is the reason why there is no answer, or why the stream broke off.
	Problem *oriolebend.Problem
}

// End marks an output as complete.
type End struct {
	Finish message.FinishReason
	Tokens int
}

// Last reports whether the chunk is the last one of its answer.
func (c Chunk) Last() bool {
	return c.End != nil || c.Call != nil || c.Replay != nil || c.Problem != nil
}
