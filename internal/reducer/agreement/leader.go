package agreement

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// leadership is what only a leader knows; it is empty in other roles.
type leadership struct {
	progress map[string]*progress
	// firstIndex is the last index of the log when the term began; once more
	// than that is committed, Commit is current.
	firstIndex uint64
	// round is the newest round of messages.
	round message.Round
	// heartbeatDue is the tick of the next round.
	heartbeatDue uint64
	// waiting holds the proposals and changes that were appended here.
	waiting map[uint64]uint64
	reads   []read
	// transferTo is the member that leadership is being handed to, until
	// transferEnd.
	transferTo  string
	transferEnd uint64
}

// progress is how far one other member is.
type progress struct {
	// match is the last index that it has synced, next the one to send.
	match, next uint64
	// matchRound is the round that the last accepted answer belongs to.
	matchRound uint64
	// probing is true while it is not known where its log meets the leader's;
	// then nothing is sent ahead of an answer.
	probing bool
	// ackRound and ackTick are the newest round that it answered.
	ackRound, ackTick uint64
	acked             bool
	// recovering is true while the member grants no vote.
	recovering bool
	// chunk is the snapshot under way to it, if any.
	chunk *chunkProgress
}

func (s *State) becomeLeader() {
	s.Role = Leader
	s.Leader = s.Config.Name
	s.lead = leadership{
		progress:     map[string]*progress{},
		firstIndex:   s.log.last(),
		waiting:      map[uint64]uint64{},
		heartbeatDue: s.now,
	}
	s.trackMembers()
	for name := range s.election.votes {
		if p := s.lead.progress[name]; p != nil {
			// A vote keeps its giver from electing another for a while, just as
			// an answered round does.
			p.acked, p.ackTick = true, s.election.began
		}
	}
	s.election = election{}
	switch {
	case s.empty():
		s.appendNew(message.LogEntry{Type: message.EntryMembers, Members: s.Members})
	case !s.founding():
		s.appendNew(message.LogEntry{Type: message.EntryNone})
	}
	s.leaderTicked()
}

// found ends the founding of a group: once every founder has synced the first
// entry, none of them is taken for one that lost its folder.
func (s *State) found() {
	if !s.founding() || s.Synced < foundingIndex {
		return
	}
	for _, m := range s.Members {
		p := s.lead.progress[m.Name]
		if p != nil && p.match < foundingIndex {
			return
		}
	}
	s.appendNew(message.LogEntry{Type: message.EntryNone})
}

// appendNew appends one entry of the present term and returns its index.
func (s *State) appendNew(e message.LogEntry) uint64 {
	e.Index = s.log.last() + 1
	e.Term = s.Hard.Term
	s.appendEntries(e)
	if e.Type == message.EntryMembers {
		s.trackMembers()
	}
	return e.Index
}

// trackMembers keeps a progress for each other member and for no one else.
func (s *State) trackMembers() {
	for name := range s.lead.progress {
		if _, ok := s.Member(name); !ok {
			delete(s.lead.progress, name)
		}
	}
	for _, m := range s.Members {
		if m.Name != s.Config.Name && s.lead.progress[m.Name] == nil {
			s.lead.progress[m.Name] = &progress{next: s.log.last() + 1, probing: true}
		}
	}
}

// settled tells whether Commit is known to be current: something of this term
// is committed.
func (s *State) settled() bool {
	return s.Role == Leader && s.Commit > s.lead.firstIndex && s.Commit > foundingIndex
}

func (s *State) leaderTicked() {
	s.endTransferLate()
	if s.now < s.lead.heartbeatDue {
		return
	}
	s.beginRound()
}

// beginRound sends every member a message of a new round.
func (s *State) beginRound() {
	s.lead.heartbeatDue = s.now + s.Config.HeartbeatTicks
	s.lead.round.Number++
	s.lead.round.Tick = s.now
	for _, m := range s.Members {
		if m.Name != s.Config.Name {
			s.sendRound(m)
		}
	}
	s.answerReads()
}

// nth returns the value that a quorum of the voters has reached.
func (s *State) nth(own uint64, of func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		if m.Name == s.Config.Name {
			values = append(values, own)
			continue
		}
		values = append(values, of(s.lead.progress[m.Name]))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-s.quorum()]
}

// checkLease makes a leader step down that no quorum answers.
//
// A leader that is cut off would otherwise go on answering as leader, next to
// the one that the others elect: callers would be told of a leader that can
// accept nothing. Followers wait for ElectionTicks before they elect, which is
// longer.
func (s *State) checkLease() {
	if s.Role != Leader {
		return
	}
	if s.now >= s.LeaseEnd() {
		s.follow(s.Hard.Term, "")
	}
}

// LeaseEnd returns, on a leader, the tick at which it stops leading unless a
// quorum answers before.
func (s *State) LeaseEnd() uint64 {
	since := s.nth(s.now, func(p *progress) uint64 { return p.ackTick })
	return since + s.Config.LeaseTicks
}

// advanceCommit commits what a quorum has synced.
func (s *State) advanceCommit() {
	index := s.nth(s.Synced, func(p *progress) uint64 { return p.match })
	if index <= s.Commit {
		return
	}
	// An entry of an earlier term may be replaced though a quorum holds it;
	// it is committed along with the first one of this term.
	if term, ok := s.log.term(index); !ok || term != s.Hard.Term {
		return
	}
	s.Commit = index
	s.answerReads()
}

// abandonLeadership answers all that waits for this leader.
func (s *State) abandonLeadership() {
	for _, index := range sortedKeys(s.lead.waiting) {
		s.emit(Refused{
			ID:     s.lead.waiting[index],
			Reason: oriolebend.ReasonOutcomeLost,
			Ran:    oriolebend.RanUnknown,
			Detail: "leadership was lost before a quorum had the command",
		})
	}
	for _, r := range s.lead.reads {
		s.refuseNotLeader(r.id)
	}
	s.lead = leadership{}
}

func sortedKeys(m map[uint64]uint64) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
