package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// Event is an input of Reduce. Tick is the time of the event, counted by the monotonic clock of
// this member since its start; after a pause of the process the tick jumps ahead.
type Event interface{ tick() uint64 }

// Ticked reports that time has passed.
type Ticked struct{ Tick uint64 }

// Received is a message from another member.
type Received struct {
	Tick    uint64
	Message message.Message
}

// Proposed requests that commands be appended, in order.
type Proposed struct {
	Tick      uint64
	Proposals []Proposal
}

// Proposal is one command to append. Apply or Refused returns its ID, which must be nonzero and
// unique.
type Proposal struct {
	ID      uint64
	Command []byte
}

// ConfirmRequested requests a confirmation that this member leads; Confirmed or Refused follows
// with the same ID.
type ConfirmRequested struct {
	Tick uint64
	ID   uint64
}

// ChangeAction is the kind of a membership change.
type ChangeAction string

const (
	// ChangeAdd adds a non-voting member, which becomes a voter once it has caught up.
	ChangeAdd ChangeAction = "add"
	// ChangeRemove removes a member.
	ChangeRemove ChangeAction = "remove"
)

// ChangeRequested requests a membership change; Apply or Refused follows with the same ID.
type ChangeRequested struct {
	Tick   uint64
	ID     uint64
	Action ChangeAction
	Member message.Member
}

// TransferRequested asks a leader to transfer leadership to another member; the leader refuses
// proposals until the transfer has succeeded or failed.
type TransferRequested struct{ Tick uint64 }

// StopRequested reports that the process of this member stops. A leader transfers its leadership as
// after TransferRequested; the member reports in its answers that it leaves.
type StopRequested struct{ Tick uint64 }

// Persisted reports that all Persist effects up to Sequence are synced.
type Persisted struct {
	Tick     uint64
	Sequence uint64
}

// Applied reports that the state machine has applied all entries up to Index.
type Applied struct {
	Tick  uint64
	Index uint64
}

// SnapshotMade reports that a snapshot of the state machine at Index is durable.
type SnapshotMade struct {
	Tick uint64
	Meta SnapshotMeta
}

// GroupChanged assigns a member without entries or a snapshot to another group: a later
// generation, which it is to join.
type GroupChanged struct {
	Tick  uint64
	Group string
}

func (e Ticked) tick() uint64            { return e.Tick }
func (e Received) tick() uint64          { return e.Tick }
func (e Proposed) tick() uint64          { return e.Tick }
func (e ConfirmRequested) tick() uint64  { return e.Tick }
func (e ChangeRequested) tick() uint64   { return e.Tick }
func (e TransferRequested) tick() uint64 { return e.Tick }
func (e StopRequested) tick() uint64     { return e.Tick }
func (e Persisted) tick() uint64         { return e.Tick }
func (e Applied) tick() uint64           { return e.Tick }
func (e SnapshotMade) tick() uint64      { return e.Tick }
func (e GroupChanged) tick() uint64      { return e.Tick }
