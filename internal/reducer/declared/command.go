// Package declared is the part of the replicated state machine that holds
// what operators declared and which backend servers are members. It is
// deterministic: every control VM that applies the same commands in the same
// order holds the same state, and time comes inside the commands.
package declared

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Command is one entry of the agreed log. Exactly one part is set.
type Command struct {
	// At is when the leader proposed the command, by its clock.
	At      time.Time `cbor:"at"`
	Order   *Order    `cbor:"order,omitempty"`
	Members *Members  `cbor:"members,omitempty"`
	Advance *Advance  `cbor:"advance,omitempty"`
}

// Order is what an operator wants done to one resource.
type Order struct {
	Action oriolebend.ChangeAction `cbor:"action"`
	Kind   oriolebend.ResourceKind `cbor:"kind"`
	Name   string                  `cbor:"name"`
	// Resource is the new resource, for ActionApply; its revision is ignored.
	Resource *oriolebend.Resource `cbor:"resource,omitempty"`
	// Expect is the revision of the resource that the operator has seen; zero
	// means that there must be none yet, nil that any will do.
	Expect *uint64 `cbor:"expect,omitempty"`
	// OrderID is chosen by the operator's program and kept over its retries.
	OrderID string `cbor:"orderID,omitempty"`
	// Who is the operator, by its token.
	Who string `cbor:"who"`
}

// Key names the resource that the order is about.
func (o Order) Key() oriolebend.ResourceKey {
	return oriolebend.ResourceKey{Kind: o.Kind, Name: o.Name}
}

// Members changes the membership: only what is announced anew or ended is
// written, never a renewal.
type Members struct {
	Announced []oriolebend.Server `cbor:"announced,omitempty"`
	Gone      []GoneServer        `cbor:"gone,omitempty"`
}

// GoneServer ends the membership of one start of a sidecar.
type GoneServer struct {
	Name        string `cbor:"name"`
	Incarnation uint64 `cbor:"incarnation"`
}

// Advance lifts the revision counter. After the data folder was restored from
// a backup, followers hold revisions that this state never gave out, and would
// refuse all it says; engines have seen fencing numbers above its own. An
// advance past the highest of them ends that: every follower is sent the whole
// state.
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

// fingerprint tells one order from another of the same order id.
func (o Order) fingerprint() uint64 {
	data, err := encoding.Marshal(o)
	if err != nil {
		return 0 // an order that came out of CBOR goes back into it
	}
	return xxhash.Sum64(data)
}
