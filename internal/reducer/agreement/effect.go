package agreement

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// Effect is an action for the runtime to carry out. The runtime carries out effects in order, and
// none of them blocks the reducer.
type Effect interface{ agreementEffect() }

// Send sends a message to another member. The message may be lost.
type Send struct {
	To      message.Member
	Message message.Message
}

// SendChunk sends a part of the snapshot at Chunk.Index. The runtime sets Chunk.Last and fills in
// up to Bytes of Data from Chunk.Offset on. If that snapshot is no longer stored, nothing is
// sent.
type SendChunk struct {
	To    message.Member
	Chunk message.Chunk
	Bytes int
}

// HardState is the state, besides the log, that a member must persist.
type HardState struct {
	Term uint64 `cbor:"term"`
	// Vote is the member that this member voted for, or follows, in this term.
	Vote string `cbor:"vote,omitempty"`
	// TimeoutScale is the factor by which the timeouts are longer than the configured ones, zero for one.
	// TimeoutScaleRound is the round of the term since which it applies.
	TimeoutScale      uint64 `cbor:"timeoutScale,omitempty"`
	TimeoutScaleRound uint64 `cbor:"timeoutScaleRound,omitempty"`
	// RecoverTo is set while a member that started with an empty data folder lacks entries that
	// it may have accepted before: it grants no vote until its log reaches this index.
	RecoverTo uint64 `cbor:"recoverTo,omitempty"`
}

// SnapshotMeta describes a snapshot: the last entry that it covers and the members at that entry.
type SnapshotMeta struct {
	Index   uint64           `cbor:"index"`
	Term    uint64           `cbor:"term"`
	Members []message.Member `cbor:"members"`
}

// Snapshot is a complete snapshot.
type Snapshot struct {
	Meta SnapshotMeta
	Data []byte
}

// Persist makes changes durable, in the order of Sequence; Persisted follows once they are
// synced. The snapshot of a Persist is written before its entries.
type Persist struct {
	Sequence uint64
	Hard     *HardState
	// Entries replace all entries from the index of the first one on.
	Entries []message.LogEntry
	// Snapshot replaces the whole log.
	Snapshot *Snapshot
}

// Compact allows the log to drop the entries up to and including Through.
type Compact struct{ Through uint64 }

// Apply passes committed entries to the state machine; Applied follows.
type Apply struct{ Entries []Committed }

// Committed is one entry to apply. ID identifies the proposal or membership change that waits for
// the entry on this member; it is zero if there is none.
type Committed struct {
	Entry message.LogEntry
	ID    uint64
}

// Restore replaces the state of the state machine by a snapshot; Applied follows.
type Restore struct{ Snapshot Snapshot }

// Confirmed answers ConfirmRequested: this member was still the leader after the request, and has
// applied all entries that were accepted before it.
type Confirmed struct{ ID uint64 }

// Refused answers a proposal, membership change or confirmation that was not carried out or, if
// Ran is "unknown", may still be.
type Refused struct {
	ID         uint64
	Reason     oriolebend.Reason
	Ran        oriolebend.Ran
	Detail     string
	RetryAfter time.Duration
}

// LeadershipChanged reports a new role, term, leader or factor of the timeouts.
type LeadershipChanged struct {
	Role   Role
	Term   uint64
	Leader message.Member
	// TimeoutScale is the factor by which the timeouts are longer than the configured ones.
	TimeoutScale uint64
}

// MemberRemoved reports that this leader removes a member that is leaving, or that has not answered
// for Away ticks.
type MemberRemoved struct {
	Member  message.Member
	Leaving bool
	Away    uint64
}

// Fatal stops the process, because continuing would violate a guarantee of the agreement.
type Fatal struct{ Detail string }

func (Send) agreementEffect()              {}
func (SendChunk) agreementEffect()         {}
func (Persist) agreementEffect()           {}
func (Compact) agreementEffect()           {}
func (Apply) agreementEffect()             {}
func (Restore) agreementEffect()           {}
func (Confirmed) agreementEffect()         {}
func (Refused) agreementEffect()           {}
func (LeadershipChanged) agreementEffect() {}
func (MemberRemoved) agreementEffect()     {}
func (Fatal) agreementEffect()             {}
