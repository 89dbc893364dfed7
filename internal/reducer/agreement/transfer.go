package agreement

import "github.com/oriolebend/oriolebend/internal/message"

// transferAsked begins to hand leadership to the member that is furthest.
func (s *State) transferAsked() {
	if s.Role != Leader || s.lead.transferTo != "" {
		return
	}
	s.lead.transferTo = s.successor()
	s.lead.transferEnd = s.now + s.Config.ElectionTicks
}

// Transferring tells whether the leader is handing over.
func (s *State) Transferring() bool { return s.lead.transferTo != "" }

// successor returns the voter that answers and is furthest, empty if none.
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

// continueTransfer asks the successor to stand for election once it holds all
// entries and nothing waits here, and steps down.
//
// The successor's election does not wait for the lease, so the leader must
// not go on answering as leader after it has asked.
func (s *State) continueTransfer() {
	to := s.lead.transferTo
	if to == "" || s.Match(to) < s.log.last() || s.Handed < s.log.last() {
		return
	}
	s.send(to, message.Campaign{Agreement: s.part()}, afterNothing)
	s.follow(s.Hard.Term, "")
}

// endTransferLate takes proposals again if the successor did not take over.
func (s *State) endTransferLate() {
	if s.lead.transferTo != "" && s.now >= s.lead.transferEnd {
		s.lead.transferTo = ""
	}
}
