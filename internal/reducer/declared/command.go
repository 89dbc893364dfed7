// Package declared is the part of the replicated state machine that holds the
// resources that operators declared and the backend servers that are members. It
// is deterministic: every control VM that applies the same commands in the same
// order has the same state. The package reads no clock; commands carry the time.
package declared

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Command is one entry of the replicated log. Exactly one of Order, Members and
// Advance is set.
type Command struct {
	// At is the leader's clock when it proposed the command.
	At      time.Time `cbor:"at"`
	Order   *Order    `cbor:"order,omitempty"`
	Members *Members  `cbor:"members,omitempty"`
	Advance *Advance  `cbor:"advance,omitempty"`
}

// Order is an operator's request to apply or delete one resource.
type Order struct {
	Action oriolebend.ChangeAction `cbor:"action"`
	Kind   oriolebend.ResourceKind `cbor:"kind"`
	Name   string                  `cbor:"name"`
	// Resource is the new resource, for ActionApply; its revision is ignored.
	Resource *oriolebend.Resource `cbor:"resource,omitempty"`
	// Expect is the revision that the resource must have. Zero means that the
	// resource must not exist; nil accepts any revision.
	Expect *uint64 `cbor:"expect,omitempty"`
	// OrderID is chosen by the operator's program and stays the same over its
	// retries.
	OrderID string `cbor:"orderID,omitempty"`
	// Who is the operator, identified by its token.
	Who string `cbor:"who"`
}

// Key returns the key of the resource that the order applies to.
func (o Order) Key() oriolebend.ResourceKey {
	return oriolebend.ResourceKey{Kind: o.Kind, Name: o.Name}
}

// Members changes the membership. It holds only changed announcements and ended
// memberships, never renewals of leases.
type Members struct {
	Announced []oriolebend.Server `cbor:"announced,omitempty"`
	Ended     []EndedMember       `cbor:"gone,omitempty"`
}

// EndedMember ends the membership of one incarnation of a sidecar.
type EndedMember struct {
	Name        string `cbor:"name"`
	Incarnation uint64 `cbor:"incarnation"`
}

// Advance raises the revision counter. After the data folder was restored from a
// backup, followers have revisions that this state never assigned, so they would
// refuse all its updates, and engines have seen fencing numbers above its
// revision. An advance past the highest of these numbers resolves both: every
// follower is sent the complete state.
type Advance struct {
	To  uint64 `cbor:"to"`
	Who string `cbor:"who"`
}

// encoding is deterministic, so that equal states have equal snapshots.
var encoding = func() cbor.EncMode {
	options := cbor.CoreDetEncOptions()
	options.Time = cbor.TimeRFC3339NanoUTC
	mode, err := options.EncMode()
	if err != nil {
		panic(err) // the library's own options are valid
	}
	return mode
}()

// MarshalCBOR implements cbor.Marshaler.
func (c Command) MarshalCBOR() ([]byte, error) {
	type plain Command
	return encoding.Marshal(plain(c))
}

// fingerprint returns a hash that distinguishes orders with the same order id.
func (o Order) fingerprint() uint64 {
	data, err := encoding.Marshal(o)
	if err != nil {
		return 0 // can't happen: the order was decoded from CBOR
	}
	return xxhash.Sum64(data)
}
