package agreement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Effect is something that the member is to do; effects are carried out in
// order and none of them blocks the reducer.
type Effect interface{ agreementEffect() }

// Send sends a message to another member; it may be lost.
type Send struct {
	To      message.Member
	Message message.Message
}

// SendChunk sends a part of the snapshot at Chunk.Index: the runtime fills in
// up to Bytes of Data from Chunk.Offset on, and Last. If that snapshot is no
// longer held nothing is sent.
type SendChunk struct {
	To    message.Member
	Chunk message.Chunk
	Bytes int
}

// HardState is what a member must never forget, besides its log.
type HardState struct {
	Term uint64 `cbor:"term"`
	// Vote is whom the member voted for, or follows, in this term.
	Vote string `cbor:"vote,omitempty"`
	// RecoverTo is set while a member that started with an empty folder is
	// still to receive what it may have accepted before: until its log reaches
	// this index it grants no vote.
	RecoverTo uint64 `cbor:"recoverTo,omitempty"`
}

// SnapshotMeta says what a snapshot contains.
type SnapshotMeta struct {
	Index   uint64           `cbor:"index"`
	Term    uint64           `cbor:"term"`
	Members []message.Member `cbor:"members"`
}

// Snapshot is a whole snapshot.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Persist makes changes durable, in order of Sequence; Persisted follows once
// they are synced. Within one, the snapshot comes first.
type Persist struct {
	Sequence uint64
	Hard     *HardState
	// Entries replace all entries from the first one's index on.
	Entries []message.LogEntry
	// Snapshot replaces the whole log.
	Snapshot *Snapshot
}

// Compact allows the log to drop entries up to Through.
type Compact struct{ Through uint64 }

// Apply feeds committed entries to the machine; Applied follows.
type Apply struct{ Entries []Committed }

// Committed is one entry to apply, with the ID of the proposal or change that
// waits for it here, or zero.
type Committed struct {
	Entry message.LogEntry
	ID    uint64
}

// Restore replaces the machine's state by a snapshot; Applied follows.
type Restore struct{ Snapshot Snapshot }

// Confirmed answers ConfirmAsked: this member led after the question, and has
// applied all that was accepted before it.
type Confirmed struct{ ID uint64 }

// Refused answers a proposal, change or confirmation that was not carried out
// or, with Ran "unknown", may still be.
type Refused struct {
	ID         uint64
	Reason     oriolebend.Reason
	Ran        oriolebend.Ran
	Detail     string
	RetryAfter time.Duration
}

// Led tells of a new role, term or leader.
type Led struct {
	Role   Role
	Term   uint64
	Leader message.Member
}

// Fatal stops the process: going on would break what was promised.
type Fatal struct{ Detail string }

func (Send) agreementEffect()      {}
func (SendChunk) agreementEffect() {}
func (Persist) agreementEffect()   {}
func (Compact) agreementEffect()   {}
func (Apply) agreementEffect()     {}
func (Restore) agreementEffect()   {}
func (Confirmed) agreementEffect() {}
func (Refused) agreementEffect()   {}
func (Led) agreementEffect()       {}
func (Fatal) agreementEffect()     {}
