package oriolebend

import "time"

// ChangeAction is what an order does to a resource.
type ChangeAction string

const (
	// ActionApply creates or replaces a resource.
	ActionApply ChangeAction = "apply"
	// ActionDelete deletes a resource.
	ActionDelete ChangeAction = "delete"
	// ActionAdvance raises the revision counter after a restore from a backup.
	ActionAdvance ChangeAction = "advance"
)

// ChangeOutcome is the outcome of an order.
type ChangeOutcome string

const (
	// ChangeApplied means that the change was accepted and is durable.
	ChangeApplied ChangeOutcome = "applied"
	// ChangeUnchanged means that the resource already matched the order.
	ChangeUnchanged ChangeOutcome = "unchanged"
	// ChangeRaced means that the resource is not at the expected revision;
	// Current and Winner describe the change that was applied instead.
	ChangeRaced ChangeOutcome = "raced"
	// ChangeMissing means that the resource does not exist.
	ChangeMissing ChangeOutcome = "missing"
	// ChangeInvalid means that the resource fails validation.
	ChangeInvalid ChangeOutcome = "invalid"
	// ChangeInUse means that other resources refer to this one.
	ChangeInUse ChangeOutcome = "inUse"
	// ChangeOrderReused means that the order id was already used for a different order.
	ChangeOrderReused ChangeOutcome = "orderReused"
)

// ChangeResult is the answer to an operator's order.
type ChangeResult struct {
	Outcome ChangeOutcome `json:"outcome" cbor:"outcome"`
	// Revision is the revision of the resource after the order; for a refused order
	// it is the revision of the whole declared state.
	Revision uint64 `json:"revision" cbor:"revision"`
	// OrderID is the id of the order; an order resent under the same id gets the same
	// answer.
	OrderID string `json:"orderID,omitempty" cbor:"orderID,omitempty"`
	// Resent is true if the order had already been answered before.
	Resent bool `json:"resent,omitempty" cbor:"resent,omitempty"`
	// DryRun is true if nothing was changed because the order was a dry run.
	DryRun bool `json:"dryRun,omitempty" cbor:"dryRun,omitempty"`
	// Current is the present resource, for ChangeRaced.
	Current *Resource `json:"current,omitempty" cbor:"current,omitempty"`
	// Winner is the change that won the race, if it is still known.
	Winner *AuditEntry `json:"winner,omitempty" cbor:"winner,omitempty"`
	// Problems lists the invalid fields for ChangeInvalid, and the
	// resources that refer to this one for ChangeInUse.
	Problems []FieldError `json:"problems,omitempty" cbor:"problems,omitempty"`
}

// Done reports whether the resource now matches the order.
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
	// Resource is the applied resource; nil for a deletion.
	Resource *Resource `json:"resource,omitempty" cbor:"resource,omitempty"`
}
