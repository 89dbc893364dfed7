package agreement

import (
	"slices"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// leadership is the state that only a leader has; it is empty in other roles.
type leadership struct {
	progress map[string]*progress
	// lastBeforeTerm is the last index of the log at the start of the term. Commit is current
	// once it is greater.
	lastBeforeTerm uint64
	// round is the newest round of messages.
	round message.Round
	// heartbeatDue is the tick at which the next round starts.
	heartbeatDue uint64
	// waiting maps the index of an entry to the ID of the proposal or membership change that this
	// leader appended there.
	waiting map[uint64]uint64
	reads   []read
	// transferTo is the member that leadership is being transferred to, until the tick
	// transferEnd.
	transferTo  string
	transferEnd uint64
}

// progress is the replication state of one other member.
type progress struct {
	// match is the last index that the member has synced, next the index of the next entry to
	// send.
	match, next uint64
	// matchRound is the round of the last accepted answer.
	matchRound uint64
	// probing is true while the last index at which the logs of the member and the leader agree
	// is unknown; entries are then sent only after the previous ones are answered.
	probing bool
	// ackRound is the newest round that the member answered, ackTick the start of that round.
	ackRound, ackTick uint64
	acked             bool
	// leaseScale is the factor of the timeouts that the member stated when it answered that round.
	leaseScale uint64
	// recovering is true while the member grants no vote; its answers then count for no quorum.
	// recoveringSince is the newest round when it first answered so, confirmed is set once it was told
	// that others have answered a later one.
	recovering      bool
	recoveringSince uint64
	confirmed       bool
	// leaving is true while the process of the member stops. awaySince is the tick since which the
	// member has not answered, zero while it answers.
	leaving   bool
	awaySince uint64
	// chunk is the snapshot transfer in progress to the member, if any.
	chunk *chunkProgress
}

func (p *progress) setRecovering(recovering bool, round uint64) {
	if recovering && !p.recovering {
		p.recoveringSince, p.confirmed = round, false
	}
	p.recovering = recovering
}

// precedesRecovery reports whether an answer was sent before the member lost its data folder: what it
// had stored by then is gone. All messages since it returned have a later round.
func (p *progress) precedesRecovery(m message.AppendAnswer) bool {
	return p.recovering && !m.Recovering && m.Round.Number <= p.recoveringSince
}

func (s *State) becomeLeader() {
	s.Role = Leader
	s.Leader = s.Config.Name
	s.resetPace()
	s.lead = leadership{
		progress:       map[string]*progress{},
		lastBeforeTerm: s.log.last(),
		waiting:        map[uint64]uint64{},
		heartbeatDue:   s.now,
	}
	s.trackMembers()
	for name := range s.election.votes {
		if p := s.lead.progress[name]; p != nil {
			// A member that granted a vote grants no other for an election timeout, just as one
			// that answered a round. The factor that it stated is not known here.
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
	s.tickLeader()
}

// finishFounding ends the founding of a group: once every founder has synced the founding entry,
// none of them can be mistaken for a member that lost its data folder.
func (s *State) finishFounding() {
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

// appendNew appends one entry of the current term and returns its index.
func (s *State) appendNew(e message.LogEntry) uint64 {
	e.Index = s.log.last() + 1
	e.Term = s.Hard.Term
	s.appendEntries(e)
	if e.Type == message.EntryMembers {
		s.trackMembers()
	}
	return e.Index
}

// trackMembers makes progress hold exactly the other members of the group.
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

// commitIsCurrent reports whether Commit is known to be current: an entry of this term is
// committed.
func (s *State) commitIsCurrent() bool {
	return s.Role == Leader && s.Commit > s.lead.lastBeforeTerm && s.Commit > foundingIndex
}

func (s *State) tickLeader() {
	s.expireTransfer()
	s.removeAway()
	if s.now < s.lead.heartbeatDue {
		return
	}
	s.beginRound()
}

// beginRound starts a new round and sends its message to every other member.
func (s *State) beginRound() {
	s.lead.heartbeatDue = s.now + s.Config.HeartbeatTicks
	s.lead.round.Number++
	s.lead.round.Tick = s.now
	s.adaptTimeouts()
	for _, m := range s.Members {
		if m.Name != s.Config.Name {
			s.sendRound(m)
		}
	}
	s.answerReads()
}

// quorumValue returns the highest value that a quorum of the voters has reached.
func (s *State) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	var values []uint64
	for _, m := range s.Members {
		if !m.Voter {
			continue
		}
		if m.Name == s.Config.Name {
			values = append(values, own)
			continue
		}
		p := s.lead.progress[m.Name]
		if p.recovering {
			values = append(values, 0)
			continue
		}
		values = append(values, value(p))
	}
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-s.quorum()]
}

// checkLease refuses what waits for a leader whose lease expired a heartbeat ago, before another one can
// be elected, and makes it step down GraceTicks after the lease. Without a lease it accepts no proposals,
// and gives way to a candidate.
//
// A VM whose processor is shared with others may answer later than a lease lasts. If the leader stepped
// down at once, the next one would, too, and the group would hold one election after another without
// agreeing on anything.
func (s *State) checkLease() {
	if s.Role != Leader || s.leads() {
		return
	}
	expired := s.now - s.LeaseEnd()
	if expired >= s.Config.HeartbeatTicks {
		s.refuseWaiting()
	}
	if expired >= s.graceTicks() {
		s.becomeFollower(s.Hard.Term, "")
	}
}

// leads reports whether this member holds a lease as leader.
//
// A leader that is cut off must not answer as leader after the other members have elected another one:
// callers would be directed to a leader that can accept nothing. Followers wait for an election
// timeout, which is longer than a lease, before they elect another.
func (s *State) leads() bool { return s.Role == Leader && s.now < s.LeaseEnd() }

// LeaseEnd returns, on a leader, the tick at which its lease ends unless a quorum answers before.
func (s *State) LeaseEnd() uint64 {
	return s.quorumValue(s.now+s.leaseTicks(), func(p *progress) uint64 {
		return p.ackTick + s.Config.LeaseTicks*min(max(1, p.leaseScale), s.TimeoutScale())
	})
}

// advanceCommit commits the entries that a quorum has synced.
func (s *State) advanceCommit() {
	index := s.quorumValue(s.Synced, func(p *progress) uint64 { return p.match })
	if index <= s.Commit {
		return
	}
	// An entry of an earlier term may still be replaced although a quorum holds it; it is
	// committed along with the first entry of this term.
	if term, ok := s.log.term(index); !ok || term != s.Hard.Term {
		return
	}
	s.Commit = index
	s.answerReads()
}

// endLeadership refuses all requests that wait for this leader, and forgets what only a leader knows.
func (s *State) endLeadership() {
	s.refuseWaiting()
	s.lead = leadership{}
}

// refuseWaiting refuses all requests that wait for this leader.
func (s *State) refuseWaiting() {
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
	s.lead.waiting, s.lead.reads = map[uint64]uint64{}, nil
}

func sortedKeys(m map[uint64]uint64) []uint64 {
	keys := make([]uint64, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
