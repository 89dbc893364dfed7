package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages between an entry and the control VMs about requests.
const (
	KindClaim       Kind = "claim"
	KindClaimAnswer Kind = "claimAnswer"
	KindSettle      Kind = "settle"
	KindSettled     Kind = "settled"
	KindQuery       Kind = "query"
	KindRenew       Kind = "renew"
	KindRenewed     Kind = "renewed"
)

// RecordState is the state of a request record.
type RecordState string

const (
	// RecordClaimed is owned by an entry; no attempt was dispatched.
	RecordClaimed RecordState = "claimed"
	// RecordRunning has a dispatched attempt.
	RecordRunning RecordState = "running"
	// RecordAnswered holds the whole answer.
	RecordAnswered RecordState = "answered"
	// RecordFailed holds a failure that is replayed to retries.
	RecordFailed RecordState = "failed"
	// RecordNotRun is closed: no attempt ran and none ever will.
	RecordNotRun RecordState = "notRun"
	// RecordUnknown was dispatched once and its outcome is lost.
	RecordUnknown RecordState = "unknown"
)

// Scope is what makes a request the same request.
type Scope struct {
	Organisation string `cbor:"organisation"`
	Operation    string `cbor:"operation"`
	Key          string `cbor:"key"`
}

// Answer is a stored answer, kept for replay.
type Answer struct {
	Status int               `cbor:"status"`
	Header map[string]string `cbor:"header,omitempty"`
	Body   []byte            `cbor:"body,omitempty"`
	Tokens int               `cbor:"tokens,omitempty"`
	Finish FinishReason      `cbor:"finish,omitempty"`
	// Reason is set for a stored failure.
	Reason oriolebend.Reason `cbor:"reason,omitempty"`
	// Ran is set with Reason; empty means unknown.
	Ran oriolebend.Ran `cbor:"ran,omitempty"`
}

// Claim asks for the ownership of a scope. The first claim owns it; a claim
// of the same owner is answered as the first was.
type Claim struct {
	Scope       Scope  `cbor:"scope"`
	RequestID   string `cbor:"requestID"`
	Fingerprint string `cbor:"fingerprint"`
	// Owner is the name and start of the claiming entry.
	Owner string `cbor:"owner"`
	// Once is true for a request that may run at most once.
	Once bool `cbor:"once"`
	// LeaseFor is how long the ownership lasts without renewal.
	LeaseFor time.Duration `cbor:"leaseFor"`
	// OwnerAddress is where the owner's peers reach it, told to attachers.
	OwnerAddress string `cbor:"ownerAddress,omitempty"`
	// Status is the call that tells the outcome of a lost dispatch, if the
	// service has one.
	Status *StatusCall `cbor:"status,omitempty"`
	// Ticket matches the answer to the claim on a shared stream.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// StatusCall is how a service is asked for the outcome of an operation.
type StatusCall struct {
	Service string `cbor:"service"`
	Path    string `cbor:"path"`
	// Identity is the stable downstream identity of the operation; empty
	// means the request's id.
	Identity string `cbor:"identity,omitempty"`
}

// ClaimOutcome says what a claim met.
type ClaimOutcome string

const (
	// ClaimOwned means that the claimer owns the request and may run it.
	ClaimOwned ClaimOutcome = "owned"
	// ClaimAttach means that another entry runs it.
	ClaimAttach ClaimOutcome = "attach"
	// ClaimReplay means that the record holds a final answer or failure.
	ClaimReplay ClaimOutcome = "replay"
	// ClaimConflict means that the key holds another command.
	ClaimConflict ClaimOutcome = "conflict"
	// ClaimUnknown means that the outcome of the one dispatch is lost.
	ClaimUnknown ClaimOutcome = "unknown"
	// ClaimRefused means that nothing was claimed; Reason says why.
	ClaimRefused ClaimOutcome = "refused"
	// ClaimNone means that a query found no record.
	ClaimNone ClaimOutcome = "none"
)

// ClaimAnswer is the record as a claim or query found it.
type ClaimAnswer struct {
	Outcome ClaimOutcome `cbor:"outcome"`
	// RequestID is the record's own. For the owner it is the one that it claimed
	// with; for others that of the owner.
	RequestID string      `cbor:"requestID"`
	State     RecordState `cbor:"state"`
	// Owner runs the request, for ClaimAttach.
	Owner string `cbor:"owner,omitempty"`
	// OwnerAddress is where the owner's peers reach it.
	OwnerAddress string `cbor:"ownerAddress,omitempty"`
	// Attempt is the number that the next dispatch must carry.
	Attempt uint32  `cbor:"attempt,omitempty"`
	Answer  *Answer `cbor:"answer,omitempty"`
	// Reason says why there is no answer to replay, or no claim.
	Reason oriolebend.Reason `cbor:"reason,omitempty"`
	// Once repeats whether the request may run at most once.
	Once bool `cbor:"once,omitempty"`
	// Ticket is the claim's or the query's.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// AnyAttempt as the attempt of a Settle closes a record that is still claimed,
// whatever its attempt number, and none that was moved on. It is for claims
// whose answer nobody waited for.
const AnyAttempt uint32 = 0

// Settle moves a record on: to running before a dispatch, to its outcome
// after it.
type Settle struct {
	RequestID string      `cbor:"requestID"`
	Scope     Scope       `cbor:"scope"`
	Owner     string      `cbor:"owner"`
	Attempt   uint32      `cbor:"attempt"`
	State     RecordState `cbor:"state"`
	Server    string      `cbor:"server,omitempty"`
	Answer    *Answer     `cbor:"answer,omitempty"`
	// Ticket matches the answer to the settle on a shared stream.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Settled answers a Settle once it is durable on a quorum. If Accepted is
// false the record had moved on; State tells where.
type Settled struct {
	RequestID string      `cbor:"requestID"`
	Accepted  bool        `cbor:"accepted"`
	State     RecordState `cbor:"state"`
	// Attempt is the record's: once the state is notRun, that attempt and
	// every lower one is closed and gates may refuse it.
	Attempt uint32 `cbor:"attempt,omitempty"`
	// Ticket is the settle's.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Query asks for the record of a request. It is answered by ClaimAnswer.
type Query struct {
	RequestID    string `cbor:"requestID"`
	Organisation string `cbor:"organisation"`
	// Ticket matches the answer to the query on a shared stream.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Renew lengthens the lease of everything that an owner holds. Claims and
// settles of the owner do so too.
type Renew struct {
	Owner    string        `cbor:"owner"`
	Address  string        `cbor:"address,omitempty"`
	LeaseFor time.Duration `cbor:"leaseFor"`
	// Ended is true if the owner stops and holds nothing any more.
	Ended  bool   `cbor:"ended,omitempty"`
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Renewed answers a Renew once it is durable on a quorum.
type Renewed struct {
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Kind implements Message.
func (Claim) Kind() Kind { return KindClaim }

// Kind implements Message.
func (ClaimAnswer) Kind() Kind { return KindClaimAnswer }

// Kind implements Message.
func (Settle) Kind() Kind { return KindSettle }

// Kind implements Message.
func (Settled) Kind() Kind { return KindSettled }

// Kind implements Message.
func (Query) Kind() Kind { return KindQuery }

// Kind implements Message.
func (Renew) Kind() Kind { return KindRenew }

// Kind implements Message.
func (Renewed) Kind() Kind { return KindRenewed }

var (
	_ = Register[Claim]()
	_ = Register[ClaimAnswer]()
	_ = Register[Settle]()
	_ = Register[Settled]()
	_ = Register[Query]()
	_ = Register[Renew]()
	_ = Register[Renewed]()
)
