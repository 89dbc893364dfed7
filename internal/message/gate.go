package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages between an entry and a gate.
const (
	KindReserve     Kind = "reserve"
	KindOffer       Kind = "offer"
	KindGrant       Kind = "grant"
	KindRefusal     Kind = "refusal"
	KindRelease     Kind = "release"
	KindPrefill     Kind = "prefill"
	KindPrefilled   Kind = "prefilled"
	KindDecode      Kind = "decode"
	KindPart        Kind = "part"
	KindCall        Kind = "call"
	KindCallAnswer  Kind = "callAnswer"
	KindStatusQuery Kind = "statusQuery"
)

// Reserve opens a session: it requests a reservation for one attempt from a gate.
type Reserve struct {
	Attempt      Attempt            `cbor:"1,keyasint"`
	Phase        Phase              `cbor:"2,keyasint"`
	Entry        string             `cbor:"3,keyasint"`
	Organisation string             `cbor:"4,keyasint"`
	Urgency      oriolebend.Urgency `cbor:"5,keyasint"`
	Model        string             `cbor:"6,keyasint,omitempty"`
	Version      string             `cbor:"7,keyasint,omitempty"`
	Adapter      string             `cbor:"8,keyasint,omitempty"`
	Service      string             `cbor:"9,keyasint,omitempty"`
	// PromptTokens and MaxTokens determine the memory to reserve.
	PromptTokens int `cbor:"10,keyasint,omitempty"`
	MaxTokens    int `cbor:"11,keyasint,omitempty"`
	// Prefix holds one hash for each leading block of the prompt, the longest last.
	Prefix []uint64 `cbor:"12,keyasint,omitempty"`
	// StartIn is the time from now until the capacity is needed; for decode it is the
	// predicted end of the prefill. While the reservation is queued it remains the time
	// from the grant on.
	StartIn time.Duration `cbor:"13,keyasint,omitempty"`
	// Deadline is how long from now the caller waits for the first token; zero means
	// no limit.
	Deadline time.Duration `cbor:"14,keyasint,omitempty"`
	// Waited is how long the request has waited since it was accepted; gates use it to
	// raise the priority of patient requests over time.
	Waited time.Duration `cbor:"15,keyasint,omitempty"`
	// Hold is true if the request may wait in the gate's queue, false if a gate that
	// can't grant the reservation now should refuse it.
	Hold bool `cbor:"16,keyasint,omitempty"`
	// Once is true for work that may run at most once: the gate then admits the attempt
	// only once.
	Once bool `cbor:"17,keyasint,omitempty"`
}

// Offer answers a Reserve with the actual state of the gate. If Granted is false, the
// reservation waits in the gate's queue and a Grant follows.
type Offer struct {
	Attempt Attempt `cbor:"1,keyasint"`
	Granted bool    `cbor:"2,keyasint,omitempty"`
	// StartIn is the predicted wait until the work could start.
	StartIn time.Duration `cbor:"3,keyasint,omitempty"`
	// Took is the predicted duration of the work itself, for a prefill.
	Took time.Duration `cbor:"4,keyasint,omitempty"`
	// Queued is the number of reservations ahead of this one.
	Queued int `cbor:"5,keyasint,omitempty"`
	// CachedTokens is how many tokens of the prefix the engine has in its cache.
	CachedTokens int `cbor:"6,keyasint,omitempty"`
	// FreeTokens is the free KV memory in tokens.
	FreeTokens int `cbor:"7,keyasint,omitempty"`
	// LinkBytes is the remaining rate of the server's link, in bytes per second.
	LinkBytes float64 `cbor:"8,keyasint,omitempty"`
	// LeaseFor is how long the reservation is valid without renewal.
	LeaseFor time.Duration `cbor:"9,keyasint"`
}

// Grant reports that the capacity of a queued reservation is reserved.
type Grant struct {
	Attempt Attempt `cbor:"attempt"`
	// StartIn is the time from now until the reservation begins: the StartIn of the
	// Reserve.
	StartIn  time.Duration `cbor:"startIn,omitempty"`
	LeaseFor time.Duration `cbor:"leaseFor"`
}

// Refusal answers any message of a session that the gate did not carry out, or reports
// that work failed. It ends the session.
type Refusal struct {
	Attempt Attempt           `cbor:"attempt"`
	Reason  oriolebend.Reason `cbor:"reason"`
	// Ran is "no" only if the work did not run and the gate will never admit this
	// attempt. Refusing a Reserve before it was granted does not close the attempt: the
	// entry may reserve the same attempt again, and only then could it run.
	Ran        oriolebend.Ran `cbor:"ran"`
	RetryAfter time.Duration  `cbor:"retryAfter,omitempty"`
	Detail     string         `cbor:"detail,omitempty"`
	// Ticket is set by control VMs, where one stream carries many requests: the refusal
	// applies only to that request, and the session continues. Detail is then the
	// address of the leader, if it is known.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Release releases a reservation and cancels its work. The gate records the attempt as
// closed and refuses it if it arrives later.
type Release struct {
	Attempt Attempt           `cbor:"attempt"`
	Reason  oriolebend.Reason `cbor:"reason,omitempty"`
}

// Prefill starts the prefill of the session's reservation.
type Prefill struct {
	Attempt Attempt `cbor:"attempt"`
	Prompt  string  `cbor:"prompt"`
}

// Prefilled reports that a prefill ended and where its KV cache can be fetched.
type Prefilled struct {
	Attempt   Attempt `cbor:"attempt"`
	SourceURL string  `cbor:"sourceURL"`
	KVBytes   int64   `cbor:"kvBytes"`
	// CachedTokens is how many tokens of the prompt the engine did not recompute.
	CachedTokens int `cbor:"cachedTokens"`
	// LivesFor is how long the engine holds the result.
	LivesFor time.Duration `cbor:"livesFor"`
	// Took is the time that the engine took.
	Took time.Duration `cbor:"took"`
}

// Decode starts the transfer and the generation of the session's reservation.
type Decode struct {
	Attempt   Attempt `cbor:"attempt"`
	SourceURL string  `cbor:"sourceURL"`
	KVBytes   int64   `cbor:"kvBytes"`
	Prompt    string  `cbor:"prompt"`
	// Delivered is the output that the caller already has; generation continues after
	// it.
	Delivered string `cbor:"delivered,omitempty"`
	// Offset is the number of output tokens in Delivered.
	Offset    int `cbor:"offset,omitempty"`
	MaxTokens int `cbor:"maxTokens"`
	// TransferWithin is the timeout of the transfer, from now.
	TransferWithin time.Duration `cbor:"transferWithin"`
	// StartWithin is how long the decode may wait for its capacity, from now; zero means
	// as long as TransferWithin.
	StartWithin time.Duration `cbor:"startWithin,omitempty"`
}

// FinishReason is the reason why generation ended.
type FinishReason string

const (
	// FinishStop means that the model ended the output.
	FinishStop FinishReason = "stop"
	// FinishLength means that the limit of output tokens was reached.
	FinishLength FinishReason = "length"
)

// Part is a run of output tokens of one attempt.
type Part struct {
	Attempt Attempt `cbor:"attempt"`
	// Offset is the number of output tokens before this part.
	Offset int    `cbor:"offset"`
	Tokens int    `cbor:"tokens"`
	Text   string `cbor:"text"`
	// Finish is set on the last part.
	Finish FinishReason `cbor:"finish,omitempty"`
}

// Call runs one call of a plain service on the session's reservation.
type Call struct {
	Attempt Attempt `cbor:"attempt"`
	Method  string  `cbor:"method"`
	Path    string  `cbor:"path"`
	// Header holds the caller's headers that may be forwarded, first values only.
	Header map[string]string `cbor:"header,omitempty"`
	Body   []byte            `cbor:"body,omitempty"`
	// Identity is the stable downstream identity of the operation; it is the
	// same for every attempt and is sent to the service as Idempotency-Key.
	Identity string `cbor:"identity"`
}

// CallAnswer is the complete answer of a plain service.
type CallAnswer struct {
	Attempt Attempt           `cbor:"attempt"`
	Status  int               `cbor:"status"`
	Header  map[string]string `cbor:"header,omitempty"`
	Body    []byte            `cbor:"body,omitempty"`
}

// StatusQuery makes a gate query its service for the outcome of an operation whose answer
// was lost. It is answered with a CallAnswer or a Refusal.
type StatusQuery struct {
	Attempt  Attempt `cbor:"attempt"`
	Path     string  `cbor:"path"`
	Identity string  `cbor:"identity"`
}

// Kind implements Message.
func (Reserve) Kind() Kind { return KindReserve }

// Kind implements Message.
func (Offer) Kind() Kind { return KindOffer }

// Kind implements Message.
func (Grant) Kind() Kind { return KindGrant }

// Kind implements Message.
func (Refusal) Kind() Kind { return KindRefusal }

// Kind implements Message.
func (Release) Kind() Kind { return KindRelease }

// Kind implements Message.
func (Prefill) Kind() Kind { return KindPrefill }

// Kind implements Message.
func (Prefilled) Kind() Kind { return KindPrefilled }

// Kind implements Message.
func (Decode) Kind() Kind { return KindDecode }

// Kind implements Message.
func (Part) Kind() Kind { return KindPart }

// Kind implements Message.
func (Call) Kind() Kind { return KindCall }

// Kind implements Message.
func (CallAnswer) Kind() Kind { return KindCallAnswer }

// Kind implements Message.
func (StatusQuery) Kind() Kind { return KindStatusQuery }

var (
	_ = Register[Reserve]()
	_ = Register[Offer]()
	_ = Register[Grant]()
	_ = Register[Refusal]()
	_ = Register[Release]()
	_ = Register[Prefill]()
	_ = Register[Prefilled]()
	_ = Register[Decode]()
	_ = Register[Part]()
	_ = Register[Call]()
	_ = Register[CallAnswer]()
	_ = Register[StatusQuery]()
)
