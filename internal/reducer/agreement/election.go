package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// handleTick starts a new round on a leader that is due for one; on another member it may start a
// pre-vote or an election.
func (s *State) handleTick() {
	if s.Role == Leader {
		s.tickLeader()
		return
	}
	s.tickRestart()
	if s.now < s.electionDue {
		return
	}
	s.resetElection()
	if s.mayCampaign() {
		s.startPreVote()
	}
	if s.Role == PreCandidate {
		s.electionDue = s.now + s.Config.PreVoteTicks + s.random.Uint64N(s.Config.PreVoteTicks)
	}
}

func (s *State) mayCampaign() bool {
	return s.isVoter(s.Config.Name) && !s.recovering() && !(s.Config.JoinOnly && s.empty())
}

func (s *State) resetElection() {
	s.electionDue = s.now + s.electionTicks() + s.random.Uint64N(s.electionTicks())
}

// inLease reports whether a leader may still hold a lease that this member has granted, or
// whether this member has just granted a vote.
//
// If it voted at once for any candidate, a leader that is cut off from that candidate only could
// be replaced while its lease still runs, and two members would answer as leader at the same
// time.
func (s *State) inLease() bool {
	return s.leads() || s.now < s.lastContact+s.electionTicks()
}

// LastContact returns the tick of the last message from a leader or of the last vote granted. It is later
// by as much as the election timeout is longer than the configured one.
func (s *State) LastContact() uint64 {
	return s.lastContact + s.electionTicks() - s.Config.ElectionTicks
}

// becomeFollower makes the member a follower in a term; the leader may not be known yet.
func (s *State) becomeFollower(term uint64, leader string) {
	wasLeader := s.Role == Leader
	if term > s.Hard.Term {
		s.enterTerm(term)
	}
	s.Role = Follower
	s.Leader = leader
	s.election = election{}
	if wasLeader {
		s.endLeadership()
		s.resetElection()
	}
}

// startPreVote asks the voters whether this member would win an election, without starting a new
// term. A pre-candidate asks again after PreVoteTicks: after a power loss of all members they
// restart over half a second, and each votes only when a lease that it may have granted has
// expired. Retrying only after an election timeout left the group without a leader, and all
// requests unanswered, for 170 ms longer than necessary.
//
// A member that was cut off and had increased its term would depose a healthy leader on its
// return; a pre-vote changes nothing on the other members.
func (s *State) startPreVote() {
	s.Role = PreCandidate
	s.Leader = ""
	s.election = election{votes: map[string]bool{s.Config.Name: true}, began: s.now}
	if s.elected() {
		s.campaign(message.Vote{})
		return
	}
	header := s.header()
	header.Term++
	s.requestVotes(message.Vote{Agreement: header, Pre: true}, afterNothing)
}

// campaign stands for election in a new term. The fields that the caller set in vote tell the
// receivers why they need not wait for a lease.
func (s *State) campaign(vote message.Vote) {
	s.restart.fresh = false
	s.Role = Candidate
	s.Leader = ""
	s.enterTerm(s.Hard.Term + 1)
	s.Hard.Vote = s.Config.Name
	s.plannedTerm(vote)
	s.slowDownCandidate()
	s.resetElection()
	s.election = election{
		votes:           map[string]bool{},
		began:           s.now,
		transfer:        vote.Transfer,
		ownVoteSequence: s.saving.sequence + 1,
	}
	vote.Agreement = s.header()
	s.requestVotes(vote, afterHardState)
}

func (s *State) requestVotes(vote message.Vote, condition sendCondition) {
	vote.LastIndex = s.log.last()
	vote.LastTerm = s.log.lastTerm()
	for _, m := range s.Members {
		if m.Voter && m.Name != s.Config.Name {
			s.send(m.Name, vote, condition)
		}
	}
}

// countOwnVote counts the vote for this member itself once it is synced.
func (s *State) countOwnVote() {
	if s.Role != Candidate || s.saving.syncedSequence < s.election.ownVoteSequence {
		return
	}
	s.election.votes[s.Config.Name] = true
	s.countVotes()
}

func (s *State) countVotes() {
	if !s.elected() {
		return
	}
	switch s.Role {
	case PreCandidate:
		s.campaign(message.Vote{})
	case Candidate:
		s.becomeLeader()
	}
}

// elected reports whether the votes suffice. A group that is still being founded needs the votes
// of all voters.
//
// Otherwise two members that both lost their data folders could found a new, empty group and
// overwrite the log of the third. Since every vote is needed, the third can refuse them.
func (s *State) elected() bool {
	granted := 0
	for _, m := range s.Members {
		if m.Voter && s.election.votes[m.Name] {
			granted++
		}
	}
	if s.founding() {
		return granted == s.voters()
	}
	return granted >= s.quorum()
}

// handlePreVote answers whether this member would grant its vote.
func (s *State) handlePreVote(m message.Vote) {
	answer := message.VoteAnswer{Agreement: s.header(), Pre: true}
	if m.Term > s.Hard.Term {
		answer.Start, answer.MembersIndex = s.freshStart(), s.MembersIndex
		answer.Would = answer.Start != 0 && s.electable(m)
		answer.Granted = !s.inLease() && s.electable(m)
	}
	if answer.Granted || answer.Start != 0 {
		answer.Term = m.Term
	}
	s.send(m.From, answer, afterHardState)
}

// electable reports whether the candidate's log holds all entries that this member may have
// accepted.
func (s *State) electable(m message.Vote) bool {
	if s.recovering() {
		return false
	}
	if s.empty() && m.LastIndex > foundingIndex {
		// This member has no log while the group is older: it may have lost entries that it
		// accepted, and a candidate that never had them would pass the check below.
		return false
	}
	if m.LastTerm != s.log.lastTerm() {
		return m.LastTerm > s.log.lastTerm()
	}
	return m.LastIndex >= s.log.last()
}

func (s *State) handleVote(m message.Vote) {
	if m.Pre {
		s.handlePreVote(m)
		return
	}
	answer := message.VoteAnswer{Agreement: s.header()}
	free := s.Hard.Vote == "" || s.Hard.Vote == m.From
	if s.mayVote(m) && free && s.electable(m) {
		answer.Granted = true
		s.restart.fresh = false
		s.Role = Follower
		s.election = election{} // answers to an earlier pre-vote must not make this member a rival
		s.lastContact = s.now
		if s.Hard.Vote != m.From {
			s.Hard.Vote = m.From
			s.setTimeoutScale(m.TimeoutScale, 0)
			s.markHardStateDirty()
		}
		s.resetElection()
	}
	s.send(m.From, answer, afterHardState)
}

func (s *State) mayVote(m message.Vote) bool {
	idle := s.Role == Follower || s.Role == PreCandidate
	return idle && s.Leader == "" && (m.Transfer || !s.inLease() || s.leaseWaived(m))
}

// handlePreVoteAnswer counts a granted pre-vote, and records a voter that is fresh after a
// restart.
func (s *State) handlePreVoteAnswer(m message.VoteAnswer) {
	if m.Granted {
		s.countPreVote(m)
	}
	if m.Start != 0 {
		s.handleFreshVoter(m)
	}
}

func (s *State) countPreVote(m message.VoteAnswer) {
	if s.Role != PreCandidate || m.Term != s.Hard.Term+1 {
		return
	}
	s.election.votes[m.From] = true
	s.countVotes()
}

func (s *State) handleVoteAnswer(m message.VoteAnswer) {
	if s.Role != Candidate || m.Pre || !m.Granted {
		return
	}
	s.election.votes[m.From] = true
	s.countVotes()
}

// handleCampaign stands for election at once, because the leader is stopping.
func (s *State) handleCampaign() {
	if s.Role == Follower && s.mayCampaign() {
		s.campaign(message.Vote{Transfer: true})
	}
}
