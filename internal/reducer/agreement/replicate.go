package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// broadcastNew sends each member the entries that it can take now.
func (s *State) broadcastNew() {
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

// sendRound sends the message of a new round: the next entries to a member
// that is being probed, else none.
func (s *State) sendRound(m message.Member) {
	p := s.lead.progress[m.Name]
	switch {
	case p.chunk != nil:
		s.retryChunk(m, p)
		s.send(m.Name, s.newAppend(0, 0, nil), afterNothing)
	case p.probing:
		s.sendEntries(m, p)
	default:
		term, ok := s.log.term(p.next - 1)
		if !ok {
			s.beginChunks(m, p)
			return
		}
		s.send(m.Name, s.newAppend(p.next-1, term, nil), afterNothing)
	}
}

// sendEntries sends entries from p.next on, or a snapshot if they are no
// longer held; it is true if p.next moved on.
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
	s.send(m.Name, s.newAppend(p.next-1, term, entries), afterNothing)
	if p.probing || len(entries) == 0 {
		return false
	}
	p.next += uint64(len(entries))
	return true
}

func (s *State) newAppend(prev, prevTerm uint64, entries []message.LogEntry) message.Append {
	return message.Append{
		Agreement: s.part(),
		PrevIndex: prev,
		PrevTerm:  prevTerm,
		Entries:   entries,
		Commit:    s.Commit,
		Last:      s.log.last(),
		Round:     s.lead.round,
	}
}

func (s *State) appendAnswered(m message.AppendAnswer) {
	p := s.lead.progress[m.From]
	if s.Role != Leader || p == nil {
		return
	}
	s.acknowledged(p, m.Round)
	if m.Accepted {
		s.accepted(m, p)
		return
	}
	s.rejected(m, p)
}

// acknowledged notes that a member follows this leader since the round.
func (s *State) acknowledged(p *progress, round message.Round) {
	if !p.acked || round.Number > p.ackRound {
		p.acked = true
		p.ackRound = round.Number
		p.ackTick = max(p.ackTick, round.Tick)
		s.answerReads()
	}
}

func (s *State) accepted(m message.AppendAnswer, p *progress) {
	p.recovering = m.Recovering
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
	s.matchMoved(m.From, p)
}

// matchMoved follows up on a member's new match.
func (s *State) matchMoved(name string, p *progress) {
	s.found()
	s.advanceCommit()
	if s.Role != Leader {
		return
	}
	s.promote(name, p)
}

// rejected steps back to where the member's log may meet the leader's.
func (s *State) rejected(m message.AppendAnswer, p *progress) {
	if p.chunk != nil {
		return
	}
	hint := s.meetingPoint(min(m.HintIndex, s.log.last()), m.HintTerm)
	if m.HintIndex < p.match && m.Round.Number > p.matchRound {
		// The member no longer holds what it had accepted: its folder is new.
		// Waiting for it to grow past the old match would leave it behind for
		// ever.
		p.match = 0
	} else if m.PrevIndex <= p.match || (p.probing && m.PrevIndex != p.next-1) {
		return
	}
	p.next = max(p.match, min(hint, m.HintIndex)) + 1
	p.probing = true
	member, _ := s.Member(m.From)
	s.sendEntries(member, p)
}

// meetingPoint returns the last index, at or before the hint, whose term is
// not higher than the hint's: a whole term is stepped over at once.
func (s *State) meetingPoint(index, term uint64) uint64 {
	for index > s.log.base {
		own, _ := s.log.term(index)
		if own <= term {
			break
		}
		index--
	}
	return index
}
