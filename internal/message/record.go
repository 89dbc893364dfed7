package message

import (
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Kinds of the messages between an entry and the control VMs about request records.
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
	// RecordClaimed means that an entry owns the request and no attempt was dispatched.
	RecordClaimed RecordState = "claimed"
	// RecordRunning means that an attempt was dispatched.
	RecordRunning RecordState = "running"
	// RecordAnswered means that the record holds the complete answer.
	RecordAnswered RecordState = "answered"
	// RecordFailed means that the record holds a failure that is replayed to retries.
	RecordFailed RecordState = "failed"
	// RecordNotRun means that the record is closed: no attempt ran and none ever will.
	RecordNotRun RecordState = "notRun"
	// RecordUnknown means that the request was dispatched once and its outcome is lost.
	RecordUnknown RecordState = "unknown"
)

// Scope identifies a request: requests with the same scope are the same request.
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

// Claim requests the ownership of a scope. The first claim owns it; a repeated claim of
// the same owner receives the same answer as the first.
type Claim struct {
	Scope       Scope  `cbor:"scope"`
	RequestID   string `cbor:"requestID"`
	Fingerprint string `cbor:"fingerprint"`
	// Owner is the name and incarnation of the claiming entry.
	Owner string `cbor:"owner"`
	// Once is true for a request that may run at most once.
	Once bool `cbor:"once"`
	// LeaseFor is how long the ownership lasts without renewal.
	LeaseFor time.Duration `cbor:"leaseFor"`
	// OwnerAddress is the address at which other entries that attach to the request
	// reach the owner.
	OwnerAddress string `cbor:"ownerAddress,omitempty"`
	// Status is the call that returns the outcome of a lost dispatch, if the service
	// has one.
	Status *StatusCall `cbor:"status,omitempty"`
	// Ticket matches the answer to the claim on a shared stream.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// StatusCall is the call that queries a service for the outcome of an operation.
type StatusCall struct {
	Service string `cbor:"service"`
	Path    string `cbor:"path"`
	// Identity is the stable downstream identity of the operation; empty
	// means the request's id.
	Identity string `cbor:"identity,omitempty"`
}

// ClaimOutcome is the result of a claim.
type ClaimOutcome string

const (
	// ClaimOwned means that the claimer owns the request and may run it.
	ClaimOwned ClaimOutcome = "owned"
	// ClaimAttach means that another entry runs the request.
	ClaimAttach ClaimOutcome = "attach"
	// ClaimReplay means that the record holds a final answer or failure.
	ClaimReplay ClaimOutcome = "replay"
	// ClaimConflict means that the key was used for a different command.
	ClaimConflict ClaimOutcome = "conflict"
	// ClaimUnknown means that the outcome of the one dispatch is lost.
	ClaimUnknown ClaimOutcome = "unknown"
	// ClaimRefused means that nothing was claimed, for the Reason given.
	ClaimRefused ClaimOutcome = "refused"
	// ClaimNone means that a query found no record.
	ClaimNone ClaimOutcome = "none"
)

// ClaimAnswer answers a Claim or a Query with the state of the record.
type ClaimAnswer struct {
	Outcome ClaimOutcome `cbor:"outcome"`
	// RequestID is the request ID of the record: the owner receives the ID of its own claim,
	// others receive the ID of the owner's claim.
	RequestID string      `cbor:"requestID"`
	State     RecordState `cbor:"state"`
	// Owner is the entry that runs the request, for ClaimAttach.
	Owner string `cbor:"owner,omitempty"`
	// OwnerAddress is the address at which other entries reach the owner.
	OwnerAddress string `cbor:"ownerAddress,omitempty"`
	// Attempt is the number that the next dispatch must have.
	Attempt uint32  `cbor:"attempt,omitempty"`
	Answer  *Answer `cbor:"answer,omitempty"`
	// Reason is why there is no answer to replay, or no claim.
	Reason oriolebend.Reason `cbor:"reason,omitempty"`
	// Once is true if the request may run at most once.
	Once bool `cbor:"once,omitempty"`
	// Ticket is the ticket of the claim or the query.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// AnyAttempt as the attempt of a Settle closes a record in state claimed, whatever its
// attempt number, and no record in a later state. It is used for claims that were
// cancelled before their answer arrived.
const AnyAttempt uint32 = 0

// Settle changes the state of a record: to running before a dispatch, to its outcome
// after the dispatch.
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

// Settled answers a Settle once it is durable on a quorum. If Accepted is false, the
// Settle changed no record. State is the current state of the request; it is empty if the
// request has no record.
type Settled struct {
	RequestID string      `cbor:"requestID"`
	Accepted  bool        `cbor:"accepted"`
	State     RecordState `cbor:"state"`
	// Attempt is the attempt of the record: once the state is notRun, this attempt and every
	// lower one is closed, and gates may refuse them.
	Attempt uint32 `cbor:"attempt,omitempty"`
	// Ticket is the ticket of the settle.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Query requests the record of a request. It is answered with a ClaimAnswer.
type Query struct {
	RequestID    string `cbor:"requestID"`
	Organisation string `cbor:"organisation"`
	// Ticket matches the answer to the query on a shared stream.
	Ticket uint64 `cbor:"ticket,omitempty"`
}

// Renew extends the lease of all records that an owner holds. Claims and settles of the
// owner do so too.
type Renew struct {
	Owner    string        `cbor:"owner"`
	Address  string        `cbor:"address,omitempty"`
	LeaseFor time.Duration `cbor:"leaseFor"`
	// Ended is true if the owner stops and no longer holds any record.
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
