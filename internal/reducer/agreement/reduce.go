package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// Reduce carries one event into the state and returns what is to be done.
func Reduce(s *State, e Event) []Effect {
	s.effects = nil
	s.now = max(s.now, e.tick())
	s.checkLease()
	switch e := e.(type) {
	case Ticked:
		s.ticked()
	case Received:
		s.received(e.Message)
	case Proposed:
		s.proposed(e.Proposals)
	case ConfirmAsked:
		s.confirmAsked(e.ID)
	case ChangeAsked:
		s.changeAsked(e)
	case TransferAsked:
		s.transferAsked()
	case Persisted:
		s.persisted(e.Sequence)
	case Applied:
		s.applied(e.Index)
	case SnapshotMade:
		s.snapshotMade(e.Meta)
	case Regrouped:
		if s.empty() {
			s.Config.Group = e.Group
		}
	}
	s.settle()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// settle emits what follows from the event as a whole.
func (s *State) settle() {
	if s.Role == Leader {
		s.broadcastNew()
	}
	s.save()
	s.hand()
	s.continueTransfer()
	s.report()
}

// hand gives out what is committed and durable here.
func (s *State) hand() {
	until := min(s.Commit, s.Synced)
	if until <= s.Handed {
		return
	}
	entries := make([]Committed, 0, until-s.Handed)
	for i := s.Handed + 1; i <= until; i++ {
		entries = append(entries, Committed{Entry: s.log.at(i), ID: s.lead.waiting[i]})
		delete(s.lead.waiting, i)
	}
	s.Handed = until
	s.emit(Apply{Entries: entries})
}

// report tells of a new role, term or leader once.
func (s *State) report() {
	leader, _ := s.Member(s.Leader)
	now := Led{Role: s.Role, Term: s.Hard.Term, Leader: leader}
	if now == s.reported {
		return
	}
	s.reported = now
	s.emit(now)
}

func (s *State) received(m message.Message) {
	part, ok := message.AgreementPart(m)
	if !ok || part.Group != s.Config.Group || part.From == s.Config.Name {
		return
	}
	if !wellFormed(m) {
		return
	}
	if part.Term > s.Hard.Term && !s.meetHigherTerm(m, part) {
		return
	}
	if part.Term < s.Hard.Term {
		s.answerLowerTerm(m, part)
		return
	}
	switch m := m.(type) {
	case message.Append:
		s.appendReceived(m)
	case message.AppendAnswer:
		s.appendAnswered(m)
	case message.Vote:
		s.voteAsked(m)
	case message.VoteAnswer:
		s.voteAnswered(m)
	case message.Chunk:
		s.chunkReceived(m)
	case message.ChunkAnswer:
		s.chunkAnswered(m)
	case message.Campaign:
		s.campaignAsked()
	}
}

// meetHigherTerm takes the higher term over, unless the message does not
// justify that; it is true if the message is to be handled further.
func (s *State) meetHigherTerm(m message.Message, part message.Agreement) bool {
	switch m := m.(type) {
	case message.Vote:
		if m.Pre {
			s.preVoteAsked(m)
			return false
		}
		if s.loyal() && !m.Transfer && !s.waived(m) {
			return false
		}
	case message.VoteAnswer:
		if m.Pre && (m.Granted || m.Start != 0) {
			s.preVoteAnswered(m)
			return false
		}
	}
	s.follow(part.Term, "")
	return true
}

// answerLowerTerm tells an outdated leader or candidate of the newer term.
//
// Without it a member that holds a higher term than the leader would ignore
// its entries for ever: the leader would never learn why, and the group would
// run with one member fewer.
func (s *State) answerLowerTerm(m message.Message, part message.Agreement) {
	switch m := m.(type) {
	case message.Append:
		s.send(part.From, message.AppendAnswer{Agreement: s.part(), Round: m.Round}, afterHard)
	case message.Chunk:
		s.send(part.From, message.AppendAnswer{Agreement: s.part(), Round: m.Round}, afterHard)
	case message.Vote:
		s.send(part.From, message.VoteAnswer{Agreement: s.part(), Pre: m.Pre}, afterHard)
	}
}

func (s *State) part() message.Agreement {
	return message.Agreement{Group: s.Config.Group, Term: s.Hard.Term, From: s.Config.Name}
}
