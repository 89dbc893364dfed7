// Package caller speaks HTTP to callers, in the completions protocol that
// they know and to plain services by path.
package caller

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/entry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Router takes validated requests and answers them; the entry role is one.
type Router interface {
	// Submit starts a request. The channel carries its answer: Chunks, the
	// last of which has End, Call, Replay or Problem set. Ending ctx tells
	// that the caller left; nothing is read from the channel after that.
	Submit(ctx context.Context, r entry.Request) <-chan Chunk
	// Attach follows a request of the organisation; the channel carries what
	// Submit's would, from the first token on. Ending ctx leaves the request
	// itself as it was.
	Attach(ctx context.Context, organisation, requestID string) <-chan Chunk
	// Models lists the models that callers may name now.
	Models() []oriolebend.LoadedModel
	// Record looks a request of an organisation up.
	Record(ctx context.Context, organisation, requestID string) (message.ClaimAnswer, error)
	// Ready reports whether new requests should come here.
	Ready() bool
	// Settled reports whether a model that Models does not list does not exist;
	// before that it may be about to be announced.
	Settled() bool
}

// Chunk is one step of an answer. Exactly one of its parts is set.
type Chunk struct {
	// RequestID names the record that the answer belongs to. It is set on the
	// first chunk of an answer that belongs to an earlier request with the same
	// key, and may be empty otherwise.
	RequestID string
	// Text is output behind Offset tokens; Tokens counts those in it.
	Text   string
	Tokens int
	Offset int
	// End is set on the last chunk of a whole output.
	End *End
	// Call is the whole answer of a plain service.
	Call *message.CallAnswer
	// Replay is a stored answer.
	Replay *message.Answer
	// Problem says why there is no answer, or why the stream broke off.
	Problem *oriolebend.Problem
}

// End tells that an output is whole.
type End struct {
	Finish message.FinishReason
	Tokens int
}

// Last reports whether nothing follows the chunk.
func (c Chunk) Last() bool {
	return c.End != nil || c.Call != nil || c.Replay != nil || c.Problem != nil
}
