package oriolebend

import "time"

// ChangeAction says what an order does to a resource.
type ChangeAction string

const (
	// ActionApply creates or replaces a resource.
	ActionApply ChangeAction = "apply"
	// ActionDelete deletes a resource.
	ActionDelete ChangeAction = "delete"
	// ActionAdvance lifts the revision after a restore from a backup.
	ActionAdvance ChangeAction = "advance"
)

// ChangeOutcome says what an order met.
type ChangeOutcome string

const (
	// ChangeApplied means that the change is accepted and durable.
	ChangeApplied ChangeOutcome = "applied"
	// ChangeUnchanged means that the resource already was as ordered.
	ChangeUnchanged ChangeOutcome = "unchanged"
	// ChangeRaced means that the resource is not at the expected revision;
	// Current and Winner tell what won.
	ChangeRaced ChangeOutcome = "raced"
	// ChangeMissing means that there is no such resource.
	ChangeMissing ChangeOutcome = "missing"
	// ChangeInvalid means that the resource fails its checks.
	ChangeInvalid ChangeOutcome = "invalid"
	// ChangeInUse means that other resources refer to this one.
	ChangeInUse ChangeOutcome = "inUse"
	// ChangeOrderReused means that the order id was used for another order.
	ChangeOrderReused ChangeOutcome = "orderReused"
)

// ChangeResult is the answer to an order of an operator.
type ChangeResult struct {
	Outcome ChangeOutcome `json:"outcome" cbor:"outcome"`
	// Revision is that of the resource after the order; for a refused order
	// it is that of the whole declared state.
	Revision uint64 `json:"revision" cbor:"revision"`
	// OrderID names the order; an order resent under it gets the same answer.
	OrderID string `json:"orderID,omitempty" cbor:"orderID,omitempty"`
	// Resent is true if the order had been answered before.
	Resent bool `json:"resent,omitempty" cbor:"resent,omitempty"`
	// DryRun is true if nothing was changed because the order asked for that.
	DryRun bool `json:"dryRun,omitempty" cbor:"dryRun,omitempty"`
	// Current is the resource as it stands, for a lost race.
	Current *Resource `json:"current,omitempty" cbor:"current,omitempty"`
	// Winner is the change that won a race, if it is still known.
	Winner *AuditEntry `json:"winner,omitempty" cbor:"winner,omitempty"`
	// Problems lists what is wrong, for an invalid order or one in use.
	Problems []FieldError `json:"problems,omitempty" cbor:"problems,omitempty"`
}

// Done reports whether the resource is as the order wanted it.
func (r ChangeResult) Done() bool {
	return r.Outcome == ChangeApplied || r.Outcome == ChangeUnchanged
}

// AuditEntry is one accepted change.
type AuditEntry struct {
	Revision uint64       `json:"revision" cbor:"revision"`
	At       time.Time    `json:"at" cbor:"at"`
	Who      string       `json:"who" cbor:"who"`
	OrderID  string       `json:"orderID" cbor:"orderID"`
	Action   ChangeAction `json:"action" cbor:"action"`
	Kind     ResourceKind `json:"kind" cbor:"kind"`
	Name     string       `json:"name" cbor:"name"`
	// Resource is what was applied; nil for a deletion.
	Resource *Resource `json:"resource,omitempty" cbor:"resource,omitempty"`
}
