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
	// Voter is false while a new member catches up; it then counts for no
	// quorum.
	Voter bool `cbor:"voter"`
}

// EntryType says what a log entry carries.
type EntryType string

const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryType = "command"
	// EntryNone carries nothing; a new leader appends it to learn what is
	// committed.
	EntryNone EntryType = "none"
	// EntryMembers carries the members that hold from this entry on.
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

// Agreement is the part that all messages of an agreement group share.
type Agreement struct {
	// Group names the group and its generation; a message of another group
	// is ignored.
	Group string `cbor:"group"`
	// Term is the sender's term, or the one it would campaign in for a
	// pre-vote.
	Term uint64 `cbor:"term"`
	// From is the sending member.
	From string `cbor:"from"`
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
}

// Round is one round of messages from the leader to all members; answers
// repeat it, so that the leader knows since when a quorum follows it.
type Round struct {
	Number uint64 `cbor:"number"`
	// Tick is when the round began, by the leader's own clock.
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
	// HintIndex and HintTerm help the leader to step back, if not accepted:
	// the last index at or before PrevIndex whose term is HintTerm or lower.
	HintIndex uint64 `cbor:"hintIndex,omitempty"`
	HintTerm  uint64 `cbor:"hintTerm,omitempty"`
	// Recovering is true while the member grants no vote, since it started
	// with an empty folder and has not caught up.
	Recovering bool  `cbor:"recovering,omitempty"`
	Round      Round `cbor:"round"`
}

// Vote asks for a vote or, with Pre set, whether one would be given.
type Vote struct {
	Agreement
	Pre bool `cbor:"pre,omitempty"`
	// Transfer is set if the leader itself asked the sender to campaign; the
	// receivers then need not wait for the leader's lease to end.
	Transfer bool `cbor:"transfer,omitempty"`
	// Starts names the start of every voter, where each has told that it has followed
	// nobody since: no lease runs then that receivers have to wait for.
	Starts    map[string]uint64 `cbor:"starts,omitempty"`
	LastIndex uint64            `cbor:"lastIndex"`
	LastTerm  uint64            `cbor:"lastTerm"`
}

// VoteAnswer answers a Vote once the vote is synced.
type VoteAnswer struct {
	Agreement
	Pre     bool `cbor:"pre,omitempty"`
	Granted bool `cbor:"granted"`
	// Start is that of a sender that has followed nobody since; zero otherwise. It then
	// would give its vote if Would is set, but for a lease that it may have granted before
	// it started. MembersIndex is that of the members that it knows.
	Start        uint64 `cbor:"start,omitempty"`
	Would        bool   `cbor:"would,omitempty"`
	MembersIndex uint64 `cbor:"membersIndex,omitempty"`
}

// Chunk carries a part of a snapshot to a member whose next entry the leader
// no longer holds.
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

// ChunkAnswer tells how much of a snapshot has arrived.
type ChunkAnswer struct {
	Agreement
	Index uint64 `cbor:"index"`
	// Offset is the next byte wanted.
	Offset int64 `cbor:"offset"`
	// Done is true once the snapshot, or more, is durable.
	Done  bool  `cbor:"done,omitempty"`
	Round Round `cbor:"round"`
}

// Campaign asks a member to stand for election at once, because the leader
// is stopping.
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
