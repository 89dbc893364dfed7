package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// Reduce applies one event to the state and returns the effects to carry out.
func Reduce(s *State, e Event) []Effect {
	s.effects = nil
	s.now = max(s.now, e.tick())
	s.checkLease()
	switch e := e.(type) {
	case Ticked:
		s.handleTick()
	case Received:
		s.handleMessage(e.Message)
	case Proposed:
		s.handleProposals(e.Proposals)
	case ConfirmRequested:
		s.handleConfirm(e.ID)
	case ChangeRequested:
		s.handleChange(e)
	case TransferRequested:
		s.handleTransfer()
	case StopRequested:
		s.handleStop()
	case Persisted:
		s.handlePersisted(e.Sequence)
	case Applied:
		s.handleApplied(e.Index)
	case SnapshotMade:
		s.handleSnapshotMade(e.Meta)
	case GroupChanged:
		if s.empty() {
			s.Config.Group = e.Group
		}
	}
	s.finishEvent()
	return s.effects
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// finishEvent emits the effects that follow from the event as a whole.
func (s *State) finishEvent() {
	if s.Role == Leader {
		s.sendNewEntries()
	}
	s.save()
	s.applyCommitted()
	s.continueTransfer()
	s.reportLeadership()
}

// applyCommitted passes the entries that are committed and durable here to the state machine.
func (s *State) applyCommitted() {
	until := min(s.Commit, s.Synced)
	if until <= s.Applying {
		return
	}
	entries := make([]Committed, 0, until-s.Applying)
	for i := s.Applying + 1; i <= until; i++ {
		entries = append(entries, Committed{Entry: s.log.at(i), ID: s.lead.waiting[i]})
		delete(s.lead.waiting, i)
	}
	s.Applying = until
	s.emit(Apply{Entries: entries})
}

// reportLeadership emits a LeadershipChanged when the role, term or leader has changed.
func (s *State) reportLeadership() {
	leader, _ := s.Member(s.Leader)
	now := LeadershipChanged{Role: s.Role, Term: s.Hard.Term, Leader: leader, TimeoutScale: s.TimeoutScale()}
	if now == s.reported {
		return
	}
	s.reported = now
	s.emit(now)
}

func (s *State) handleMessage(m message.Message) {
	header, ok := message.AgreementPart(m)
	if !ok || header.Group != s.Config.Group || header.From == s.Config.Name {
		return
	}
	if !wellFormed(m) {
		return
	}
	if header.Term > s.Hard.Term && !s.handleHigherTerm(m, header) {
		return
	}
	if header.Term < s.Hard.Term {
		s.rejectLowerTerm(m, header)
		return
	}
	switch m := m.(type) {
	case message.Append:
		s.handleAppend(m)
	case message.AppendAnswer:
		s.handleAppendAnswer(m)
	case message.Vote:
		s.handleVote(m)
	case message.VoteAnswer:
		s.handleVoteAnswer(m)
	case message.Chunk:
		s.handleChunk(m)
	case message.ChunkAnswer:
		s.handleChunkAnswer(m)
	case message.Campaign:
		s.handleCampaign()
	}
}

// handleHigherTerm adopts the higher term of a message, unless the message does not justify that.
// It reports whether the message is to be handled further.
func (s *State) handleHigherTerm(m message.Message, header message.Agreement) bool {
	switch m := m.(type) {
	case message.Vote:
		if m.Pre {
			s.handlePreVote(m)
			return false
		}
		if s.inLease() && !m.Transfer && !s.leaseWaived(m) {
			return false
		}
	case message.VoteAnswer:
		if m.Pre && (m.Granted || m.Start != 0) {
			s.handlePreVoteAnswer(m)
			return false
		}
	}
	s.becomeFollower(header.Term, "")
	if vote, ok := m.(message.Vote); ok {
		s.plannedTerm(vote)
	}
	return true
}

// rejectLowerTerm informs an outdated leader or candidate of the newer term.
//
// Without this answer a member with a higher term than the leader would ignore its entries
// forever: the leader would never learn the reason, and the group would run with one member
// fewer.
func (s *State) rejectLowerTerm(m message.Message, header message.Agreement) {
	switch m := m.(type) {
	case message.Append:
		s.send(header.From, message.AppendAnswer{Agreement: s.header(), Round: m.Round}, afterHardState)
	case message.Chunk:
		s.send(header.From, message.AppendAnswer{Agreement: s.header(), Round: m.Round}, afterHardState)
	case message.Vote:
		s.send(header.From, message.VoteAnswer{Agreement: s.header(), Pre: m.Pre}, afterHardState)
	}
}

func (s *State) header() message.Agreement {
	return message.Agreement{
		Group: s.Config.Group, Term: s.Hard.Term, From: s.Config.Name,
		TimeoutScale: s.Hard.TimeoutScale, TimeoutScaleRound: s.Hard.TimeoutScaleRound,
	}
}
