package entry

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Effect is an action that the entry has to carry out. Effects are carried out
// in order, and none of them blocks the reducer.
type Effect interface{ entryEffect() }

// SendClaim sends a claim to the control VMs; Claimed follows.
type SendClaim struct{ Claim message.Claim }

// SendSettle sends the next state of a record to the control VMs; Settled
// follows.
type SendSettle struct{ Settle message.Settle }

// OpenSession opens a session with a gate and sends the reservation, or the
// status query instead if Status is set.
type OpenSession struct {
	Session SessionKey
	Address string
	Reserve message.Reserve
	Status  *message.StatusQuery
}

// Send sends a message over an open session.
type Send struct {
	Session SessionKey
	Message message.Message
}

// CloseSession closes a session; the gate then releases the capacity that the
// session held.
type CloseSession struct{ Session SessionKey }

// AnswerPart sends the caller the next part of the output.
type AnswerPart struct {
	RequestID string
	Offset    int
	Tokens    int
	Text      string
}

// AnswerEnd reports to the caller that its output is complete.
type AnswerEnd struct {
	RequestID string
	Finish    message.FinishReason
	// Tokens is the number of tokens of the complete output.
	Tokens int
}

// AnswerCall sends the caller the complete answer of a plain service.
type AnswerCall struct {
	RequestID string
	Answer    message.CallAnswer
}

// AnswerReplay sends the caller a stored answer.
type AnswerReplay struct {
	RequestID string
	// Record is the ID of the request that first used the key.
	Record string
	Answer message.Answer
}

// AnswerAttach lets the caller follow the request at its owner.
type AnswerAttach struct {
	RequestID string
	// Record is the ID of the request that runs under the key.
	Record       string
	Owner        string
	OwnerAddress string
}

// AnswerProblem reports to the caller that the request is refused or has
// failed.
type AnswerProblem struct {
	RequestID string
	Problem   *oriolebend.Problem
}

// Count adds one to a counter of refusals, retries or losses.
type Count struct {
	Name         string
	Reason       oriolebend.Reason
	Organisation string
	// Attempt is the attempt that is counted, for logs; its number is zero
	// before the first attempt.
	Attempt message.Attempt
}

// Observe records a measurement of one request, in seconds or as a ratio.
type Observe struct {
	Name    string
	Urgency oriolebend.Urgency
	Value   float64
}

// Drained reports that a stopping entry has no request left.
type Drained struct{}

func (SendClaim) entryEffect()     {}
func (SendSettle) entryEffect()    {}
func (OpenSession) entryEffect()   {}
func (Send) entryEffect()          {}
func (CloseSession) entryEffect()  {}
func (AnswerPart) entryEffect()    {}
func (AnswerEnd) entryEffect()     {}
func (AnswerCall) entryEffect()    {}
func (AnswerReplay) entryEffect()  {}
func (AnswerAttach) entryEffect()  {}
func (AnswerProblem) entryEffect() {}
func (Count) entryEffect()         {}
func (Observe) entryEffect()       {}
func (Drained) entryEffect()       {}
