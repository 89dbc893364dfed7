package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// ticked passes time: a leader begins a round, others may stand for election.
func (s *State) ticked() {
	if s.Role == Leader {
		s.leaderTicked()
		return
	}
	s.restartTicked()
	if s.now < s.electionDue {
		return
	}
	s.resetElection()
	if s.mayCampaign() {
		s.preCampaign()
	}
	if s.Role == PreCandidate {
		s.electionDue = s.now + s.Config.PreVoteTicks + s.random.Uint64N(s.Config.PreVoteTicks)
	}
}

func (s *State) mayCampaign() bool {
	return s.isVoter(s.Config.Name) && !s.recovering()
}

func (s *State) resetElection() {
	s.electionDue = s.now + s.Config.ElectionTicks + s.random.Uint64N(s.Config.ElectionTicks)
}

// loyal tells whether the member holds to a leader, or to a vote just given.
//
// Were it to vote at once for whoever asks, a leader that is cut off from the
// asker only could be replaced while its lease still runs, and two members
// would answer as leader at the same time.
func (s *State) loyal() bool {
	return s.Role == Leader || s.now < s.heard+s.Config.ElectionTicks
}

// follow becomes a follower in a term; the leader may not be known yet.
func (s *State) follow(term uint64, leader string) {
	wasLeader := s.Role == Leader
	if term > s.Hard.Term {
		s.Hard.Term = term
		s.Hard.Vote = ""
		s.changeHard()
	}
	s.Role = Follower
	s.Leader = leader
	s.election = election{}
	if wasLeader {
		s.abandonLeadership()
		s.resetElection()
	}
}

// preCampaign asks whether an election would be won, without a new term. It is asked
// again soon: after a power loss of everything members come back over half a second, and
// each votes only when a lease that it may have granted before is over. Who asked a
// moment too early, and again only after the time of an election, left the group without
// a leader for 170 ms longer than need be, in which no request is answered.
//
// A member that was cut off and counted its term up would depose a healthy
// leader on its return; the question changes nothing at the others.
func (s *State) preCampaign() {
	s.Role = PreCandidate
	s.Leader = ""
	s.election = election{votes: map[string]bool{s.Config.Name: true}, began: s.now}
	if s.elected() {
		s.campaign(message.Vote{})
		return
	}
	part := s.part()
	part.Term++
	s.askVotes(message.Vote{Agreement: part, Pre: true}, afterNothing)
}

// campaign stands for election in a new term; the vote tells why receivers need not wait.
func (s *State) campaign(vote message.Vote) {
	s.restart.fresh = false
	s.Role = Candidate
	s.Leader = ""
	s.Hard.Term++
	s.Hard.Vote = s.Config.Name
	s.changeHard()
	s.resetElection()
	s.election = election{
		votes:    map[string]bool{},
		began:    s.now,
		transfer: vote.Transfer,
		ownVote:  s.saving.sequence + 1,
	}
	vote.Agreement = s.part()
	s.askVotes(vote, afterHard)
}

func (s *State) askVotes(vote message.Vote, what after) {
	vote.LastIndex = s.log.last()
	vote.LastTerm = s.log.lastTerm()
	for _, m := range s.Members {
		if m.Voter && m.Name != s.Config.Name {
			s.send(m.Name, vote, what)
		}
	}
}

// ownVoteSaved counts the vote for oneself once it is synced.
func (s *State) ownVoteSaved() {
	if s.Role != Candidate || s.saving.done < s.election.ownVote {
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

// elected tells whether the votes suffice. A group that is still being founded
// needs them all.
//
// Two members that both lost their folders could otherwise found a new, empty
// group and overwrite the log of the third. With every vote needed, the third
// refuses them.
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

// preVoteAsked answers whether a vote would be given.
func (s *State) preVoteAsked(m message.Vote) {
	answer := message.VoteAnswer{Agreement: s.part(), Pre: true}
	if m.Term > s.Hard.Term {
		answer.Start, answer.MembersIndex = s.startOf(), s.MembersIndex
		answer.Would = answer.Start != 0 && s.electable(m)
		answer.Granted = !s.loyal() && s.electable(m)
	}
	if answer.Granted || answer.Start != 0 {
		answer.Term = m.Term
	}
	s.send(m.From, answer, afterHard)
}

// electable tells whether the candidate's log holds all that this member may
// have accepted.
func (s *State) electable(m message.Vote) bool {
	if s.recovering() {
		return false
	}
	if s.empty() && m.LastIndex > foundingIndex {
		// This member's folder is new while the group is older: it may have
		// lost entries that it accepted, and a candidate that never had them
		// would pass its check.
		return false
	}
	if m.LastTerm != s.log.lastTerm() {
		return m.LastTerm > s.log.lastTerm()
	}
	return m.LastIndex >= s.log.last()
}

func (s *State) voteAsked(m message.Vote) {
	if m.Pre {
		s.preVoteAsked(m)
		return
	}
	answer := message.VoteAnswer{Agreement: s.part()}
	free := s.Hard.Vote == "" || s.Hard.Vote == m.From
	if s.mayVote(m) && free && s.electable(m) {
		answer.Granted = true
		s.restart.fresh = false
		s.heard = s.now
		s.resetElection()
		if s.Hard.Vote != m.From {
			s.Hard.Vote = m.From
			s.changeHard()
		}
	}
	s.send(m.From, answer, afterHard)
}

func (s *State) mayVote(m message.Vote) bool {
	idle := s.Role == Follower || s.Role == PreCandidate
	return idle && s.Leader == "" && (m.Transfer || !s.loyal() || s.waived(m))
}

// preVoteAnswered takes in a vote that would be given, and that another voter has just started.
func (s *State) preVoteAnswered(m message.VoteAnswer) {
	if m.Granted {
		s.preVoteGranted(m)
	}
	if m.Start != 0 {
		s.startTold(m)
	}
}

func (s *State) preVoteGranted(m message.VoteAnswer) {
	if s.Role != PreCandidate || m.Term != s.Hard.Term+1 {
		return
	}
	s.election.votes[m.From] = true
	s.countVotes()
}

func (s *State) voteAnswered(m message.VoteAnswer) {
	if s.Role != Candidate || m.Pre || !m.Granted {
		return
	}
	s.election.votes[m.From] = true
	s.countVotes()
}

// campaignAsked stands for election at once, since the leader is stopping.
func (s *State) campaignAsked() {
	if s.Role == Follower && s.mayCampaign() {
		s.campaign(message.Vote{Transfer: true})
	}
}
