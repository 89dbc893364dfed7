package entry

import (
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// callerGone ends a request whose caller left, unless it is to go on.
func (s *State) callerGone(id string) {
	r := s.requests[id]
	if r == nil || r.gone {
		return
	}
	r.gone = true
	s.endUnheard(r)
}

// endUnheard cancels a request that nobody waits for. All its sessions are
// closed in the same event, so that no engine memory stays held. One that is
// still being claimed is kept until the answer: its record is then closed,
// else a retry of the caller would find a claim that nobody works on.
func (s *State) endUnheard(r *request) {
	if !r.gone || r.KeepRunning {
		return
	}
	if r.step == stepClaiming || r.step == stepSettling {
		return
	}
	s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
}

// deadlinePassed gives a request up whose caller stops waiting now.
func (s *State) deadlinePassed(r *request) {
	switch r.step {
	case stepSettling:
	case stepClaiming:
		s.endUnclaimed(r, oriolebend.ReasonDeadline)
	case stepAsking:
		s.unknown(r)
	default:
		s.giveUp(r, oriolebend.ReasonDeadline, comeBack)
	}
}

// endUnclaimed refuses a request whose claim is unanswered. The request is
// kept until the answer: if it is owned by then its record is closed, else no
// other entry could ever run what this one holds and does not work on.
func (s *State) endUnclaimed(r *request, reason oriolebend.Reason) {
	s.refuse(r, reason, r.unclaimedRan(), comeBack)
	r.outcome.told = true
	r.gone = true
	r.clearAlarm(alarmClaim)
}
