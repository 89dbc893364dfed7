package message

// Kinds of the messages between the members of an agreement group.
const (
	KindAppend       Kind = "append"
	KindAppendAnswer Kind = "appendAnswer"
	KindVote         Kind = "vote"
	KindVoteAnswer   Kind = "voteAnswer"
	KindChunk        Kind = "snapshotChunk"
	KindChunkAnswer  Kind = "snapshotChunkAnswer"
	KindCampaign     Kind = "campaign"
)

// Member is one VM of an agreement group.
type Member struct {
	Name          string `cbor:"name"`
	Address       string `cbor:"address"`
	FailureDomain string `cbor:"failureDomain,omitempty"`
	// Voter is false while a new member catches up; the member does not count
	// for a quorum then.
	Voter bool `cbor:"voter"`
}

// EntryType is the type of a log entry's content.
type EntryType string

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryType = "command"
	// EntryNone carries nothing; a new leader appends it to find out which entries are
	// committed.
	EntryNone EntryType = "none"
	// EntryMembers carries the members that are in force from this entry on.
	EntryMembers EntryType = "members"
)

// LogEntry is one entry of an agreed log.
type LogEntry struct {
	Index   uint64    `cbor:"index"`
	Term    uint64    `cbor:"term"`
	Type    EntryType `cbor:"type"`
	Command []byte    `cbor:"command,omitempty"`
	Members []Member  `cbor:"members,omitempty"`
}

// Agreement holds the fields that all messages of an agreement group share.
type Agreement struct {
	// Group names the group and its generation; a message of another group
	// is ignored.
	Group string `cbor:"group"`
	// Term is the sender's term, or for a pre-vote the term that it would campaign in.
	Term uint64 `cbor:"term"`
	// From is the name of the sending member.
	From string `cbor:"from"`
	// TimeoutScale is the factor by which the sender's timeouts are longer than the configured ones; zero
	// stands for one.
	TimeoutScale uint64 `cbor:"timeoutScale,omitempty"`
	// TimeoutScaleRound is the round of the term since which TimeoutScale applies, zero for the election.
	TimeoutScaleRound uint64 `cbor:"timeoutScaleRound,omitempty"`
}

// Append carries entries from the leader, or none as a heartbeat.
type Append struct {
	Agreement
	PrevIndex uint64     `cbor:"prevIndex"`
	PrevTerm  uint64     `cbor:"prevTerm"`
	Entries   []LogEntry `cbor:"entries,omitempty"`
	Commit    uint64     `cbor:"commit"`
	// Last is the index of the leader's last entry.
	Last  uint64 `cbor:"last"`
	Round Round  `cbor:"round"`
	// Confirmed is set for a member that is recovering once other members have followed the leader
	// since that member started, so that it can't have voted for a later leader.
	Confirmed bool `cbor:"confirmed,omitempty"`
}

// Round identifies one round of messages from the leader to all members. Answers repeat
// it, so that the leader knows since when a quorum has followed it.
type Round struct {
	Number uint64 `cbor:"number"`
	// Tick is the tick at which the round began, by the leader's own clock.
	Tick uint64 `cbor:"tick"`
}

// AppendAnswer answers an Append once its entries are synced.
type AppendAnswer struct {
	Agreement
	Accepted bool `cbor:"accepted"`
	// PrevIndex repeats the one of the Append.
	PrevIndex uint64 `cbor:"prevIndex"`
	// Match is the last index known to equal the leader's, if accepted.
	Match uint64 `cbor:"match"`
	// HintIndex and HintTerm help the leader to find the last common entry if the
	// Append is not accepted: HintIndex is the last index at or before PrevIndex whose
	// term is HintTerm or lower.
	HintIndex uint64 `cbor:"hintIndex,omitempty"`
	HintTerm  uint64 `cbor:"hintTerm,omitempty"`
	// Recovering is true while the member grants no vote, because it started with an
	// empty data folder and has not caught up.
	Recovering bool `cbor:"recovering,omitempty"`
	// Leaving is true while the process of the member stops.
	Leaving bool  `cbor:"leaving,omitempty"`
	Round   Round `cbor:"round"`
}

// Vote requests a vote or, with Pre set, asks whether a vote would be granted.
type Vote struct {
	Agreement
	Pre bool `cbor:"pre,omitempty"`
	// Transfer is set if the leader itself asked the sender to campaign; the receivers
	// then need not wait until the leader's lease has expired.
	Transfer bool `cbor:"transfer,omitempty"`
	// Starts holds the Start of every voter, if each has reported that it has followed no
	// leader since that start: no lease that receivers would have to wait for is in force
	// then.
	Starts    map[string]uint64 `cbor:"starts,omitempty"`
	LastIndex uint64            `cbor:"lastIndex"`
	LastTerm  uint64            `cbor:"lastTerm"`
}

// VoteAnswer answers a Vote once the vote is synced.
type VoteAnswer struct {
	Agreement
	Pre     bool `cbor:"pre,omitempty"`
	Granted bool `cbor:"granted"`
	// Start identifies the start of a sender that has followed no leader since; zero
	// otherwise. If Would is set, the sender would grant its vote except for a lease that
	// it may have granted before it started. MembersIndex is the index of the members that
	// the sender knows.
	Start        uint64 `cbor:"start,omitempty"`
	Would        bool   `cbor:"would,omitempty"`
	MembersIndex uint64 `cbor:"membersIndex,omitempty"`
}

// Chunk carries a part of a snapshot to a member whose next log entry the leader no
// longer has.
type Chunk struct {
	Agreement
	Index     uint64   `cbor:"index"`
	IndexTerm uint64   `cbor:"indexTerm"`
	Members   []Member `cbor:"members"`
	Offset    int64    `cbor:"offset"`
	Data      []byte   `cbor:"data"`
	// Last is true for the final chunk.
	Last bool `cbor:"last,omitempty"`
	// LogEnd is the index of the leader's last entry.
	LogEnd uint64 `cbor:"logEnd"`
	Round  Round  `cbor:"round"`
}

// ChunkAnswer reports how much of a snapshot was received.
type ChunkAnswer struct {
	Agreement
	Index uint64 `cbor:"index"`
	// Offset is the offset of the next byte to send.
	Offset int64 `cbor:"offset"`
	// Done is true once the snapshot, or a later state, is durable.
	Done  bool  `cbor:"done,omitempty"`
	Round Round `cbor:"round"`
}

// Campaign asks a member to start an election immediately, because the leader is
// stopping.
type Campaign struct {
	Agreement
}

// Kind implements Message.
func (Append) Kind() Kind { return KindAppend }

// Kind implements Message.
func (AppendAnswer) Kind() Kind { return KindAppendAnswer }

// Kind implements Message.
func (Vote) Kind() Kind { return KindVote }

// Kind implements Message.
func (VoteAnswer) Kind() Kind { return KindVoteAnswer }

// Kind implements Message.
func (Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (ChunkAnswer) Kind() Kind { return KindChunkAnswer }

// Kind implements Message.
func (Campaign) Kind() Kind { return KindCampaign }

// AgreementPart returns the shared part of a message of an agreement group,
// and false for any other message.
func AgreementPart(m Message) (Agreement, bool) {
	switch m := m.(type) {
	case Append:
		return m.Agreement, true
	case AppendAnswer:
		return m.Agreement, true
	case Vote:
		return m.Agreement, true
	case VoteAnswer:
		return m.Agreement, true
	case Chunk:
		return m.Agreement, true
	case ChunkAnswer:
		return m.Agreement, true
	case Campaign:
		return m.Agreement, true
	}
	return Agreement{}, false
}

var (
	_ = Register[Append]()
	_ = Register[AppendAnswer]()
	_ = Register[Vote]()
	_ = Register[VoteAnswer]()
	_ = Register[Chunk]()
	_ = Register[ChunkAnswer]()
	_ = Register[Campaign]()
)

// AgreementKinds lists the kinds with which a member opens a session.
func AgreementKinds() []Kind {
	return []Kind{KindAppend, KindAppendAnswer, KindVote, KindVoteAnswer, KindChunk, KindChunkAnswer, KindCampaign}
}
