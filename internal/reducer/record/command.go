package record

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Bounds of the decoder: a command is one group of at most this many parts.
const (
	// MaxParts bounds the claims, the settles and so on of one command.
	MaxParts      = 16384
	maxCBORNested = 16
	maxCBORPairs  = 4096
)

// Command is one entry of the agreed log: a group of what several entries
// asked for, carried out in the order of the fields.
type Command struct {
	// At is the proposer's clock. Applied time never runs backwards.
	At time.Time `cbor:"at"`
	// Limits replaces the limits, if set.
	Limits *Limits `cbor:"limits,omitempty"`
	// Renew lengthens or ends owners' leases.
	Renew []message.Renew `cbor:"renew,omitempty"`
	// Settle moves records on.
	Settle []message.Settle `cbor:"settle,omitempty"`
	// Resolve gives unknown records the outcome that a service told.
	Resolve []Resolve `cbor:"resolve,omitempty"`
	// Claim asks for the ownership of scopes. Claims come after settles, so
	// that a retry in the same group finds the answer and need not attach.
	Claim []message.Claim `cbor:"claim,omitempty"`
	// Expire passes time: it ends leases and removes what is old.
	Expire *Expire `cbor:"expire,omitempty"`
}

// Resolve settles an unknown record by what its service or gate told. It is
// not fenced by an owner, for the owner is gone; it is by the attempt.
type Resolve struct {
	RequestID string `cbor:"requestID"`
	Attempt   uint32 `cbor:"attempt"`
	// State is answered, failed or notRun. It is notRun only if the gate that
	// had the attempt told that it never let it through and never will.
	State  message.RecordState `cbor:"state"`
	Answer *message.Answer     `cbor:"answer,omitempty"`
}

// Expire removes at most Limit records and answers each.
type Expire struct {
	Limit int `cbor:"limit"`
}

// Result is what a command did; each list matches that of the command.
type Result struct {
	Settled  []message.Settled     `cbor:"settled,omitempty"`
	Resolved []message.Settled     `cbor:"resolved,omitempty"`
	Claimed  []message.ClaimAnswer `cbor:"claimed,omitempty"`
	Expired  Expired               `cbor:"expired,omitzero"`
	// Evicted counts answers forgotten before their time, to make room.
	Evicted int `cbor:"evicted,omitempty"`
}

// Expired counts what an Expire did.
type Expired struct {
	// Owners counts owners whose lease ended.
	Owners int `cbor:"owners,omitempty"`
	// NotRun, Unknown and Failed count records that lost their owner, by the
	// state they were moved to.
	NotRun  int `cbor:"notRun,omitempty"`
	Unknown int `cbor:"unknown,omitempty"`
	Failed  int `cbor:"failed,omitempty"`
	// Answers and Records count what was removed.
	Answers int `cbor:"answers,omitempty"`
	Records int `cbor:"records,omitempty"`
	// More is true if the limit left work for the next Expire.
	More bool `cbor:"more,omitempty"`
}

// DecodeError tells of a command or snapshot that cannot be read.
type DecodeError struct {
	What  string
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "record: " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the error beneath.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Reason is the reason of a command that cannot be read.
func (e *DecodeError) Reason() oriolebend.Reason { return oriolebend.ReasonMalformed }

var (
	encoding = newEncoding()
	decoding = newDecoding(maxCBORPairs, MaxParts)
)

// newEncoding builds the deterministic form, so that equal states give equal
// snapshots. It panics only on options that contradict each other.
func newEncoding() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func newDecoding(pairs, elements int) cbor.DecMode {
	options := cbor.DecOptions{
		MaxNestedLevels:  maxCBORNested,
		MaxMapPairs:      pairs,
		MaxArrayElements: elements,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the command as it stands in the log.
func (c Command) Encode() ([]byte, error) {
	return encoding.Marshal(c)
}

// DecodeCommand reads a command; its error is a *DecodeError.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := decoding.Unmarshal(data, &c); err != nil {
		return Command{}, &DecodeError{What: "command", Cause: err}
	}
	return c, nil
}

// Encode returns the result as the log hands it to the proposer.
func (r Result) Encode() ([]byte, error) {
	return encoding.Marshal(r)
}

// DecodeResult reads a result; its error is a *DecodeError.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := decoding.Unmarshal(data, &r); err != nil {
		return Result{}, &DecodeError{What: "result", Cause: err}
	}
	return r, nil
}
