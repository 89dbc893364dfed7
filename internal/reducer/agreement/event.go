package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// Event is something that happened to a member. Tick is when, counted by the
// member's own steady clock since its start; a process that was paused sees
// it jump.
type Event interface{ tick() uint64 }

// Ticked passes time.
type Ticked struct{ Tick uint64 }

// Received is a message of another member.
type Received struct {
	Tick    uint64
	Message message.Message
}

// Proposed asks to append commands, in order.
type Proposed struct {
	Tick      uint64
	Proposals []Proposal
}

// Proposal is one command to append. ID comes back with the outcome; it is
// not zero and never used again.
type Proposal struct {
	ID      uint64
	Command []byte
}

// ConfirmAsked asks to confirm that this member leads; Confirmed or Refused
// follows with the same ID.
type ConfirmAsked struct {
	Tick uint64
	ID   uint64
}

// ChangeAction says what a change of members does.
type ChangeAction string

const (
	// ChangeAdd adds a member, which votes once it has caught up.
	ChangeAdd ChangeAction = "add"
	// ChangeRemove removes a member.
	ChangeRemove ChangeAction = "remove"
)

// ChangeAsked asks to change the members; Apply or Refused follows with the
// same ID.
type ChangeAsked struct {
	Tick   uint64
	ID     uint64
	Action ChangeAction
	Member message.Member
}

// TransferAsked asks a leader to hand over to another member; it takes no
// more proposals until that has happened or failed.
type TransferAsked struct{ Tick uint64 }

// Persisted tells that all Persist effects up to Sequence are synced.
type Persisted struct {
	Tick     uint64
	Sequence uint64
}

// Applied tells that the machine has applied all entries up to Index.
type Applied struct {
	Tick  uint64
	Index uint64
}

// SnapshotMade tells that a snapshot of the machine at Index is durable.
type SnapshotMade struct {
	Tick uint64
	Meta SnapshotMeta
}

// Regrouped gives a member with an empty folder another group: the one of a
// later generation that it is to join.
type Regrouped struct {
	Tick  uint64
	Group string
}

func (e Ticked) tick() uint64        { return e.Tick }
func (e Received) tick() uint64      { return e.Tick }
func (e Proposed) tick() uint64      { return e.Tick }
func (e ConfirmAsked) tick() uint64  { return e.Tick }
func (e ChangeAsked) tick() uint64   { return e.Tick }
func (e TransferAsked) tick() uint64 { return e.Tick }
func (e Persisted) tick() uint64     { return e.Tick }
func (e Applied) tick() uint64       { return e.Tick }
func (e SnapshotMade) tick() uint64  { return e.Tick }
func (e Regrouped) tick() uint64     { return e.Tick }
