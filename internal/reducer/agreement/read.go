package agreement

// read is a pending confirmation of leadership.
type read struct {
	id uint64
	// round must be answered by a quorum first. It is zero until a round is assigned.
	round uint64
	// index must be applied first. It is set along with round.
	index uint64
}

// handleConfirm begins to confirm that this member leads.
//
// The lease alone does not suffice for reads: a VM that was paused as a whole resumes with a
// clock that did not run, and would answer from a state that another leader has long changed. A
// round that a quorum answers after the request shows that no other leader was elected before the
// request.
func (s *State) handleConfirm(id uint64) {
	if s.Role != Leader {
		s.refuseNotLeader(id)
		return
	}
	s.lead.reads = append(s.lead.reads, read{id: id})
	s.answerReads()
}

// answerReads answers the confirmations that are due, and begins a round for those that have
// none. One round is in progress at a time; requests that arrive meanwhile share the next one.
func (s *State) answerReads() {
	if s.Role != Leader || len(s.lead.reads) == 0 || !s.commitIsCurrent() {
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
	return s.quorumValue(s.lead.round.Number, func(p *progress) uint64 { return p.ackRound })
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

// assignReads assigns the next round to the reads that have none. It returns false if there are
// none, or if a round for earlier reads is still in progress.
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
