// Package agreement implements the reducer of one member of an agreement group,
// which replicates a log to a quorum of its members in the manner of Raft. The
// reducer is pure: it uses no clock, socket, disk or unseeded randomness.
//
// It guarantees:
//   - A vote or an acceptance is sent only after it is synced.
//   - A term has at most one leader.
//   - An entry that a quorum has synced is never lost or moved.
//   - A leader that no quorum answers steps down before another can be elected.
//   - A member that lost its data folder grants no vote until it has received
//     again every entry that it may have accepted.
package agreement

import (
	"math/rand/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Role is the role of a member in its term.
type Role string

const (
	// Follower accepts entries from a leader.
	Follower Role = "follower"
	// PreCandidate asks the voters whether they would elect it (pre-vote).
	PreCandidate Role = "preCandidate"
	// Candidate stands for election.
	Candidate Role = "candidate"
	// Leader appends entries and replicates them.
	Leader Role = "leader"
)

// Restored is the persisted state that a member loads at start.
type Restored struct {
	Hard     HardState
	Snapshot SnapshotMeta
	// Entries have consecutive indexes; the first may precede the index of the snapshot.
	Entries []message.LogEntry
}

// State is the complete state of a member. Only Reduce changes it.
type State struct {
	Config Config
	Role   Role
	Hard   HardState
	// Leader is the leader of the term, empty if unknown.
	Leader string
	// Members are the members in the last EntryMembers of the log, committed or not, at
	// MembersIndex.
	Members      []message.Member
	MembersIndex uint64
	// Synced is the last index that is durable here, Commit the last that is known to be
	// committed, Applying the last that was passed to the state machine and Applied the last that
	// the state machine has applied.
	Synced, Commit, Applying, Applied uint64
	Snapshot                          SnapshotMeta

	log    entryLog
	now    uint64
	random *rand.Rand

	// lastContact is the tick of the last message from a leader, or of the last vote granted; for an
	// election timeout from then this member grants no vote.
	lastContact uint64
	electionDue uint64
	// election is the campaign in progress.
	election election
	restart  restart
	pace     pace
	lead     leadership
	incoming incoming
	// leaving is set once the process of this member stops.
	leaving bool
	// leaderConfirmed is set once a leader is known to be the newest that this member can have voted
	// for; it counts while the member is recovering.
	leaderConfirmed bool
	// previous is the snapshot before the newest; it is still stored on disk.
	previous SnapshotMeta
	saving   saving

	effects  []Effect
	reported LeadershipChanged
}

// election is the state of a campaign and of the votes that it has received.
type election struct {
	votes    map[string]bool
	began    uint64
	transfer bool
	// ownVoteSequence is the sequence of the Persist that carries the vote for this member
	// itself.
	ownVoteSequence uint64
}

// New returns the state of a member that starts at the given tick.
func New(config Config, restored Restored, tick uint64) *State {
	config = config.withDefaults()
	s := &State{
		Config:      config,
		Role:        Follower,
		Hard:        restored.Hard,
		Snapshot:    restored.Snapshot,
		now:         tick,
		lastContact: tick,
		random:      rand.New(rand.NewPCG(config.Seed, 0)),
		restart:     restart{fresh: config.Start != 0},
	}
	s.log = restoredLog(restored)
	s.Commit = restored.Snapshot.Index
	s.Applying = s.Commit
	s.Applied = s.Commit
	s.Synced = s.log.last()
	s.adoptMembers()
	s.resetElection()
	if s.onlyVoter() {
		s.electionDue = tick
	}
	return s
}

func restoredLog(r Restored) entryLog {
	if len(r.Entries) == 0 {
		return entryLog{base: r.Snapshot.Index, baseTerm: r.Snapshot.Term}
	}
	first := r.Entries[0].Index
	if first == r.Snapshot.Index+1 {
		return entryLog{base: r.Snapshot.Index, baseTerm: r.Snapshot.Term, entries: r.Entries}
	}
	// The term before the first entry is not known, so that entry itself becomes the base.
	return entryLog{base: first, baseTerm: r.Entries[0].Term, entries: r.Entries[1:]}
}

// Last returns the index of the last entry.
func (s *State) Last() uint64 { return s.log.last() }

// Unapplied returns the number of entries that are appended and not yet applied.
func (s *State) Unapplied() uint64 { return s.Last() - min(s.Applied, s.Last()) }

// Member returns the member with the given name.
func (s *State) Member(name string) (message.Member, bool) {
	for _, m := range s.Members {
		if m.Name == name {
			return m, true
		}
	}
	return message.Member{}, false
}

func (s *State) isVoter(name string) bool {
	m, ok := s.Member(name)
	return ok && m.Voter
}

func (s *State) voters() int {
	count := 0
	for _, m := range s.Members {
		if m.Voter {
			count++
		}
	}
	return count
}

func (s *State) quorum() int { return s.voters()/2 + 1 }

func (s *State) onlyVoter() bool {
	return s.voters() == 1 && s.isVoter(s.Config.Name)
}

// empty reports whether the member has neither entries nor a snapshot.
func (s *State) empty() bool { return s.log.last() == 0 }

// foundingIndex is the index of the entry that lists the founders. No further entry is appended
// until every founder has synced that one.
const foundingIndex = 1

// founding reports whether the log ends at or before the founding entry.
func (s *State) founding() bool { return s.log.last() <= foundingIndex }

// recovering reports whether the member may lack entries that it accepted, or a term in which it
// voted, before it lost its data folder.
func (s *State) recovering() bool {
	return s.Hard.RecoverTo > 0 && (s.Synced < s.Hard.RecoverTo || !s.leaderConfirmed)
}
