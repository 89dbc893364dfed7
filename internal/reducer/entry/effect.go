package entry

import (
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Effect is something that the entry is to do; effects are carried out in
// order and none of them blocks the reducer.
type Effect interface{ entryEffect() }

// AskClaim sends a claim to the control VMs; Claimed follows.
type AskClaim struct{ Claim message.Claim }

// AskSettle sends a record's next state to the control VMs; Settled follows.
type AskSettle struct{ Settle message.Settle }

// OpenSession opens a session with a gate and sends the reservation, or the
// status query in its place if that is set.
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

// CloseSession closes a session; what it held is given back by the gate.
type CloseSession struct{ Session SessionKey }

// AnswerPart gives the caller a run of output.
type AnswerPart struct {
	RequestID string
	Offset    int
	Tokens    int
	Text      string
}

// AnswerEnd tells the caller that its output is whole.
type AnswerEnd struct {
	RequestID string
	Finish    message.FinishReason
	// Tokens counts the whole output.
	Tokens int
}

// AnswerCall gives the caller the whole answer of a plain service.
type AnswerCall struct {
	RequestID string
	Answer    message.CallAnswer
}

// AnswerReplay gives the caller a stored answer.
type AnswerReplay struct {
	RequestID string
	// Record is the request that first used the key.
	Record string
	Answer message.Answer
}

// AnswerAttach has the caller follow the request at its owner.
type AnswerAttach struct {
	RequestID string
	// Record is the request that runs under the key.
	Record       string
	Owner        string
	OwnerAddress string
}

// AnswerProblem tells the caller that the request is refused or failed.
type AnswerProblem struct {
	RequestID string
	Problem   *oriolebend.Problem
}

// Count adds one to the counter of refusals, retries or losses.
type Count struct {
	What         string
	Reason       oriolebend.Reason
	Organisation string
	// Attempt is the one that this is about, for logs; its number is zero
	// before the first.
	Attempt message.Attempt
}

// Observe records a measure of one request, in seconds or as a share.
type Observe struct {
	What    string
	Urgency oriolebend.Urgency
	Value   float64
}

// Drained tells that a stopping entry has no request left.
type Drained struct{}

func (AskClaim) entryEffect()      {}
func (AskSettle) entryEffect()     {}
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
