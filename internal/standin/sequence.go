package standin

import (
	"context"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/prefix"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// workKey names the work of one attempt in one phase.
type workKey struct {
	attempt message.Attempt
	phase   message.Phase
}

// sequence is the work of one attempt in one phase, with the KV memory that
// it holds. Its fields are guarded by the engine's mutex.
type sequence struct {
	key     workKey
	model   string
	urgency oriolebend.Urgency
	// arrived orders sequences of the same urgency.
	arrived uint64
	// tokens is the KV memory held.
	tokens int

	// blocks, cached and remaining are of a prefill: its prefix, how much of
	// it was cached, and how many tokens are still to be computed. cached is
	// -1 until the prefill starts.
	blocks    []prefix.Block
	cached    int
	remaining int

	// produced and limit are of a decode: how many output tokens exist, and
	// how many there will be.
	produced int
	limit    int

	// digest names the text of a prefill, and handle its result.
	digest uint64
	handle string

	// progress has an element when the work moved on.
	progress chan struct{}
	// cancel ends the work for a cause.
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

// before orders work: urgent first, then by arrival.
func (s *sequence) before(other *sequence) bool {
	if s.urgency != other.urgency {
		return s.urgency == oriolebend.Urgent
	}
	return s.arrived < other.arrived
}
