package standin

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// workKey identifies the work of one attempt in one phase.
type workKey struct {
	attempt message.Attempt
	phase   message.Phase
}

// sequence is the work of one attempt in one phase, with the KV memory that it holds.
// The engine's mutex guards its fields.
type sequence struct {
	key     workKey
	model   string
	urgency oriolebend.Urgency
	// arrival orders sequences of the same urgency.
	arrival uint64
	// tokens is the KV memory that the sequence holds, in tokens.
	tokens int

	// blocks, cached and remaining are set for a prefill: the blocks of its prompt,
	// the number of tokens that were cached, and the number of tokens that are still
	// to be computed. cached is -1 until the prefill starts.
	blocks    []prefix.Block
	cached    int
	remaining int

	// produced and limit are set for a decode: the number of output tokens so far,
	// and the number of tokens of the complete output.
	produced int
	limit    int

	// digest identifies the text of a prefill, and handle its result.
	digest uint64
	handle string

	// progress receives an element when the work has progressed.
	progress chan struct{}
	// cancel cancels the work with a cause.
	cancel context.CancelCauseFunc
}

func newSequence(a message.Attempt, p message.Phase, model string, u oriolebend.Urgency, tokens int) *sequence {
	return &sequence{
		key:      workKey{attempt: a, phase: p},
		model:    model,
		urgency:  u,
		tokens:   tokens,
		cached:   -1,
		progress: make(chan struct{}, 1),
	}
}

// signal wakes the goroutine that waits for the sequence.
func (s *sequence) signal() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// precedes reports whether a sequence is scheduled before another: urgent ones first, then by
// arrival.
func (s *sequence) precedes(other *sequence) bool {
	if s.urgency != other.urgency {
		return s.urgency == oriolebend.Urgent
	}
	return s.arrival < other.arrival
}
