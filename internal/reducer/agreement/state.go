// Package agreement is the reducer of one member of an agreement group: a log
// that is agreed by a quorum of the members, in the manner of Raft. It is
// pure: no clock, socket, disk or unseeded randomness.
//
// What it holds to: a vote or an acceptance is told only after it is synced;
// one leader a term; an entry that a quorum has synced is never lost or
// moved; a leader that no quorum answers stops leading before another can be
// elected; a member that lost its folder grants no vote until it has received
// again whatever it may have accepted.
package agreement

import (
	"math/rand/v2"

	"github.com/oriolebend/oriolebend/internal/message"
)

// Role is what a member does in its term.
type Role string

const (
	// Follower takes entries from a leader.
	Follower Role = "follower"
	// PreCandidate asks whether it would be elected.
	PreCandidate Role = "preCandidate"
	// Candidate stands for election.
	Candidate Role = "candidate"
	// Leader appends entries.
	Leader Role = "leader"
)

// Restored is what a member finds on its disk at start.
type Restored struct {
	Hard     HardState
	Snapshot SnapshotMeta
	// Entries follow each other; they may begin before the snapshot's index.
	Entries []message.LogEntry
}

// State is all that a member knows. Only Reduce changes it.
type State struct {
	Config Config
	Role   Role
	Hard   HardState
	// Leader is the leader of the term, empty if not known.
	Leader string
	// Members are those of the last members entry, committed or not, at
	// MembersIndex.
	Members      []message.Member
	MembersIndex uint64
	// Synced is the last index that is durable here, Commit the last that is
	// known to be committed, Handed the last given out to be applied and
	// Applied the last that the machine has applied.
	Synced, Commit, Handed, Applied uint64
	Snapshot                        SnapshotMeta

	log    entryLog
	now    uint64
	random *rand.Rand

	// heard is when a leader was last heard of, or a vote given; the member
	// gives no vote for ElectionTicks from then.
	heard       uint64
	electionDue uint64
	// election holds the answers to a campaign.
	election election
	restart  restart
	lead     leadership
	incoming incoming
	// previous is the snapshot before the newest, which the disk still holds.
	previous SnapshotMeta
	saving   saving

	effects  []Effect
	reported Led
}

// election is a campaign in progress.
type election struct {
	votes    map[string]bool
	began    uint64
	transfer bool
	// ownVote is the Persist sequence of the vote for oneself.
	ownVote uint64
}

// New returns the state of a member that starts at the tick.
func New(config Config, restored Restored, tick uint64) *State {
	config = config.withDefaults()
	s := &State{
		Config:   config,
		Role:     Follower,
		Hard:     restored.Hard,
		Snapshot: restored.Snapshot,
		now:      tick,
		heard:    tick,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		restart:  restart{fresh: config.Start != 0},
	}
	s.log = restoredLog(restored)
	s.Commit = restored.Snapshot.Index
	s.Handed = s.Commit
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
	// The term before the first entry held is not known, so that entry itself
	// becomes the base.
	return entryLog{base: first, baseTerm: r.Entries[0].Term, entries: r.Entries[1:]}
}

// Last returns the index of the last entry.
func (s *State) Last() uint64 { return s.log.last() }

// Unapplied returns how many entries are appended and not applied.
func (s *State) Unapplied() uint64 { return s.Last() - min(s.Applied, s.Last()) }

// Member returns a member by its name.
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

// empty tells whether the member has neither entries nor a snapshot.
func (s *State) empty() bool { return s.log.last() == 0 }

// foundingIndex is the index of the entry that names the founders. No further
// entry is appended until every founder has synced it.
const foundingIndex = 1

// founding tells whether the member's log does not reach past the founding
// entry.
func (s *State) founding() bool { return s.log.last() <= foundingIndex }

// recovering tells whether the member lacks entries that it may have accepted
// before it lost its folder.
func (s *State) recovering() bool { return s.Synced < s.Hard.RecoverTo }
