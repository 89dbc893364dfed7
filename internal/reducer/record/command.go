package record

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Bounds of the decoder.
const (
	// MaxParts bounds each list of one command, such as its claims or settles.
	MaxParts       = 16384
	maxCBORNesting = 16
	maxCBORPairs   = 4096
)

// Command is one entry of the replicated log. It groups the messages of several
// entries, which are applied in the order of the fields.
type Command struct {
	// At is the proposer's clock. The time of the state never goes back.
	At time.Time `cbor:"at"`
	// Limits replaces the limits, if set.
	Limits *Limits `cbor:"limits,omitempty"`
	// Renew extends or ends leases of owners.
	Renew []message.Renew `cbor:"renew,omitempty"`
	// Settle changes the states of records.
	Settle []message.Settle `cbor:"settle,omitempty"`
	// Resolve settles unknown records with the outcomes that their services
	// reported.
	Resolve []Resolve `cbor:"resolve,omitempty"`
	// Claim requests the ownership of scopes. Claims are applied after settles,
	// so that a retry in the same group finds the answer and need not attach.
	Claim []message.Claim `cbor:"claim,omitempty"`
	// Expire ends leases and removes old answers and records.
	Expire *Expire `cbor:"expire,omitempty"`
}

// Resolve settles an unknown record with the outcome that its service or gate
// reported. It is fenced by the attempt and not by an owner, because the record
// has no live owner any more.
type Resolve struct {
	RequestID string `cbor:"requestID"`
	Attempt   uint32 `cbor:"attempt"`
	// State is answered, failed or notRun. It is notRun only if the gate that
	// had the attempt reported that it never let the attempt through and never
	// will.
	State  message.RecordState `cbor:"state"`
	Answer *message.Answer     `cbor:"answer,omitempty"`
}

// Expire ends leases and removes old answers and records. Limit bounds each of
// these steps.
type Expire struct {
	Limit int `cbor:"limit"`
}

// Result is the result of a command. Each list has the order of the list in the
// command.
type Result struct {
	Settled  []message.Settled     `cbor:"settled,omitempty"`
	Resolved []message.Settled     `cbor:"resolved,omitempty"`
	Claimed  []message.ClaimAnswer `cbor:"claimed,omitempty"`
	Expired  Expired               `cbor:"expired,omitzero"`
	// Evicted counts answers that were removed before their retention ended, to
	// make room for new ones.
	Evicted int `cbor:"evicted,omitempty"`
}

// Expired counts the changes that an Expire made.
type Expired struct {
	// Owners counts owners whose lease ended.
	Owners int `cbor:"owners,omitempty"`
	// NotRun, Unknown and Failed count records whose owner's lease ended, by the
	// state that they were moved to.
	NotRun  int `cbor:"notRun,omitempty"`
	Unknown int `cbor:"unknown,omitempty"`
	Failed  int `cbor:"failed,omitempty"`
	// Answers and Records count removed answers and records.
	Answers int `cbor:"answers,omitempty"`
	Records int `cbor:"records,omitempty"`
	// More is true if an expiry reached the limit and left work for the next one.
	More bool `cbor:"more,omitempty"`
}

// DecodeError is returned for a command, result or snapshot that can't be
// decoded.
type DecodeError struct {
	What  string // "command", "result" or "snapshot"
	Cause error
}

// Error implements error.
func (e *DecodeError) Error() string { return "record: " + e.What + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Reason returns the reason with which a malformed command is refused.
func (e *DecodeError) Reason() oriolebend.Reason { return oriolebend.ReasonMalformed }

var (
	encoding = newEncoding()
	decoding = newDecoding(maxCBORPairs, MaxParts)
)

// newEncoding returns the deterministic encoding, with which equal states have
// equal snapshots. It panics only if the options contradict each other.
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
		MaxNestedLevels:  maxCBORNesting,
		MaxMapPairs:      pairs,
		MaxArrayElements: elements,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the command as a log entry.
func (c Command) Encode() ([]byte, error) {
	return encoding.Marshal(c)
}

// DecodeCommand decodes a command. Its error is a *DecodeError.
func DecodeCommand(data []byte) (Command, error) {
	var c Command
	if err := decoding.Unmarshal(data, &c); err != nil {
		return Command{}, &DecodeError{What: "command", Cause: err}
	}
	return c, nil
}

// Encode returns the result as the log passes it to the proposer.
func (r Result) Encode() ([]byte, error) {
	return encoding.Marshal(r)
}

// DecodeResult decodes a result. Its error is a *DecodeError.
func DecodeResult(data []byte) (Result, error) {
	var r Result
	if err := decoding.Unmarshal(data, &r); err != nil {
		return Result{}, &DecodeError{What: "result", Cause: err}
	}
	return r, nil
}
