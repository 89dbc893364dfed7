package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// sendNewEntries sends to each member the entries that its window has room for.
func (s *State) sendNewEntries() {
	for _, m := range s.Members {
		p := s.lead.progress[m.Name]
		if p == nil || p.probing || p.chunk != nil {
			continue
		}
		for p.next <= s.log.last() && p.next-p.match <= s.Config.WindowEntries {
			if !s.sendEntries(m, p) {
				break
			}
		}
	}
}

// sendRound sends the message of a new round: the next entries to a member that is being probed,
// a heartbeat to any other.
func (s *State) sendRound(m message.Member) {
	p := s.lead.progress[m.Name]
	switch {
	case p.chunk != nil:
		s.retryChunk(m, p)
		s.sendAppend(m, p, s.newAppend(0, 0, nil))
	case p.probing:
		s.sendEntries(m, p)
	default:
		term, ok := s.log.term(p.next - 1)
		if !ok {
			s.beginChunks(m, p)
			return
		}
		s.sendAppend(m, p, s.newAppend(p.next-1, term, nil))
	}
}

func (s *State) sendAppend(m message.Member, p *progress, a message.Append) {
	a.Confirmed = p.recovering && s.confirmedBeside(m.Name, p)
	s.send(m.Name, a, afterNothing)
}

// sendConfirmations sends to recovering members at once that this leader is confirmed. Until then the
// group can't bear the loss of another member.
func (s *State) sendConfirmations() {
	for _, m := range s.Members {
		p := s.lead.progress[m.Name]
		if p != nil && p.recovering && !p.confirmed && s.confirmedBeside(m.Name, p) {
			p.confirmed = true
			s.sendRound(m)
		}
	}
}

// confirmedBeside reports whether so many members have answered a round since a recovering member
// started that every quorum which could have elected a later leader includes one of them.
func (s *State) confirmedBeside(recovering string, p *progress) bool {
	answered := 0
	for _, m := range s.Members {
		other := s.lead.progress[m.Name]
		if !m.Voter || m.Name == recovering || other == nil || other.recovering {
			continue
		}
		if other.acked && other.ackRound > p.recoveringSince {
			answered++
		}
	}
	return answered >= s.voters()-s.quorum()
}

// sendEntries sends the entries from p.next on, or a snapshot if they are no longer held. It
// reports whether p.next has advanced.
func (s *State) sendEntries(m message.Member, p *progress) bool {
	term, ok := s.log.term(p.next - 1)
	if !ok {
		s.beginChunks(m, p)
		return false
	}
	var entries []message.LogEntry
	if p.next <= s.log.last() {
		entries = s.log.slice(p.next, s.Config.AppendBytes)
	}
	s.sendAppend(m, p, s.newAppend(p.next-1, term, entries))
	if p.probing || len(entries) == 0 {
		return false
	}
	p.next += uint64(len(entries))
	return true
}

func (s *State) newAppend(prev, prevTerm uint64, entries []message.LogEntry) message.Append {
	return message.Append{
		Agreement: s.header(),
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    s.Commit,
		Last:      s.log.last(),
		Round:     s.lead.round,
	}
}

func (s *State) handleAppendAnswer(m message.AppendAnswer) {
	p := s.lead.progress[m.From]
	if s.Role != Leader || p == nil {
		return
	}
	if p.precedesRecovery(m) {
		return
	}
	p.leaving = m.Leaving
	begun := m.Recovering && !p.recovering
	p.setRecovering(m.Recovering, s.lead.round.Number)
	if begun {
		s.beginRound() // the answers of the others to it confirm this leader
	}
	s.recordAck(p, m.Agreement, m.Round)
	s.sendConfirmations()
	if m.Accepted {
		s.handleAccepted(m, p)
		return
	}
	s.handleRejected(m, p)
}

// recordAck records the newest round that a member has answered.
func (s *State) recordAck(p *progress, header message.Agreement, round message.Round) {
	if !p.acked || round.Number > p.ackRound {
		p.acked = true
		p.ackRound = round.Number
		p.ackTick = max(p.ackTick, round.Tick)
		if round.Number >= s.Hard.TimeoutScaleRound {
			p.leaseScale = header.TimeoutScale
		}
		s.answerReads()
	}
}

func (s *State) handleAccepted(m message.AppendAnswer, p *progress) {
	p.matchRound = max(p.matchRound, m.Round.Number)
	if m.Match > s.log.last() {
		return
	}
	p.match = max(p.match, m.Match)
	if p.chunk != nil && p.match < p.chunk.meta.Index {
		return
	}
	p.chunk = nil
	p.probing = p.probing && m.Match+1 < p.next
	p.next = max(p.next, p.match+1)
	s.matchAdvanced(m.From, p)
}

// matchAdvanced handles a new match of a member.
func (s *State) matchAdvanced(name string, p *progress) {
	s.finishFounding()
	s.advanceCommit()
	if s.Role != Leader {
		return
	}
	s.promote(name, p)
}

// handleRejected steps back to the last index at which the log of the member may agree with the
// leader's.
func (s *State) handleRejected(m message.AppendAnswer, p *progress) {
	if p.chunk != nil {
		return
	}
	hint := s.lastPossibleMatch(min(m.HintIndex, s.log.last()), m.HintTerm)
	if m.HintIndex < p.match && m.Round.Number > p.matchRound {
		// The member no longer holds entries that it had accepted: its data folder is new. If the
		// leader waited for it to grow past the old match, the member would stay behind forever.
		p.match = 0
	} else if m.PrevIndex <= p.match || (p.probing && m.PrevIndex != p.next-1) {
		return
	}
	p.next = max(p.match, min(hint, m.HintIndex)) + 1
	p.probing = true
	member, _ := s.Member(m.From)
	s.sendEntries(member, p)
}

// lastPossibleMatch returns the last index, at or before index, whose term is not higher than the
// given term. Each call steps over whole terms.
func (s *State) lastPossibleMatch(index, term uint64) uint64 {
	for index > s.log.base {
		own, _ := s.log.term(index)
		if own <= term {
			break
		}
		index--
	}
	return index
}
