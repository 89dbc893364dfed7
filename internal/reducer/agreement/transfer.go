package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// handleTransfer begins to transfer leadership to the active voter with the longest log.
func (s *State) handleTransfer() {
	if s.Role != Leader || s.lead.transferTo != "" {
		return
	}
	s.lead.transferTo = s.successor()
	s.lead.transferEnd = s.now + s.electionTicks()
}

// Transferring reports whether a transfer of leadership is in progress.
func (s *State) Transferring() bool { return s.lead.transferTo != "" }

// successor returns the active voter with the longest log, empty if there is none.
func (s *State) successor() string {
	best := ""
	for _, m := range s.Members {
		if !m.Voter || m.Name == s.Config.Name || !s.Active(m.Name) {
			continue
		}
		if best == "" || s.Match(m.Name) > s.Match(best) {
			best = m.Name
		}
	}
	return best
}

// continueTransfer asks the successor to stand for election and steps down, once the successor has
// synced all entries and this member has passed them to its state machine.
//
// The election of the successor does not wait for the lease, so the leader must not keep
// answering as leader after the request.
func (s *State) continueTransfer() {
	to := s.lead.transferTo
	if to == "" || s.Match(to) < s.log.last() || s.Applying < s.log.last() {
		return
	}
	s.send(to, message.Campaign{Agreement: s.header()}, afterNothing)
	s.becomeFollower(s.Hard.Term, "")
}

// expireTransfer ends a transfer that did not complete in time, so that proposals are accepted
// again.
func (s *State) expireTransfer() {
	if s.lead.transferTo != "" && s.now >= s.lead.transferEnd {
		s.lead.transferTo = ""
	}
}
