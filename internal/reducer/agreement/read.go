package agreement

// read is a confirmation that waits.
type read struct {
	id uint64
	// round must be answered by a quorum first, zero as long as none has begun
	// for it.
	round uint64
	// index must be applied first; it is set along with round.
	index uint64
}

// confirmAsked begins to confirm that this member leads.
//
// The lease alone is not trusted for reads: a VM that was paused as a whole
// wakes up with a clock that did not run, and would answer from a state that
// another leader has long changed. A round that is answered after the question
// shows that no other leader was elected before it.
func (s *State) confirmAsked(id uint64) {
	if s.Role != Leader {
		s.refuseNotLeader(id)
		return
	}
	s.lead.reads = append(s.lead.reads, read{id: id})
	s.answerReads()
}

// answerReads answers the confirmations that are due, and begins a round for
// those that have none. One round is under way at a time; questions that come
// meanwhile share the next one.
func (s *State) answerReads() {
	if s.Role != Leader || len(s.lead.reads) == 0 || !s.settled() {
		return
	}
	confirmed := s.confirmedRound()
	s.finishReads(confirmed)
	if !s.assignReads(confirmed) {
		return
	}
	s.beginRound()
}

func (s *State) confirmedRound() uint64 {
	return s.nth(s.lead.round.Number, func(p *progress) uint64 { return p.ackRound })
}

func (s *State) finishReads(confirmed uint64) {
	var rest []read
	for _, r := range s.lead.reads {
		if r.round != 0 && r.round <= confirmed && r.index <= s.Applied {
			s.emit(Confirmed{ID: r.id})
			continue
		}
		rest = append(rest, r)
	}
	s.lead.reads = rest
}

// assignReads gives the next round to reads that have none; it is false if
// there are none or a round is still under way for others.
func (s *State) assignReads(confirmed uint64) bool {
	waiting := false
	for _, r := range s.lead.reads {
		if r.round > confirmed {
			return false
		}
		if r.round == 0 {
			waiting = true
		}
	}
	if !waiting {
		return false
	}
	for i := range s.lead.reads {
		if s.lead.reads[i].round == 0 {
			s.lead.reads[i].round = s.lead.round.Number + 1
			s.lead.reads[i].index = s.Commit
		}
	}
	return true
}
