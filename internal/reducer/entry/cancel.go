package entry

import (
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// handleCallerLeft cancels a request whose caller left, unless it has to
// continue.
func (s *State) handleCallerLeft(id string) {
	r := s.requests[id]
	if r == nil || r.detached {
		return
	}
	r.detached = true
	s.cancelDetached(r)
}

// cancelDetached cancels a request that no caller waits for. All its sessions
// are closed in the same event, so that no engine memory stays held. A request
// whose claim is unanswered is kept until the answer: its record is then
// closed, since otherwise a retry of the caller would find a claim that no
// entry works on.
func (s *State) cancelDetached(r *request) {
	if !r.detached || r.KeepRunning {
		return
	}
	if r.step == stepClaiming || r.step == stepSettling {
		return
	}
	s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
}

// handleDeadline ends a request when its caller stops waiting.
func (s *State) handleDeadline(r *request) {
	switch r.step {
	case stepSettling:
	case stepClaiming:
		s.refuseUnclaimed(r, oriolebend.ReasonDeadline)
	case stepQuerying:
		s.concludeUnknown(r)
	default:
		s.giveUp(r, oriolebend.ReasonDeadline, defaultRetryAfter)
	}
}

// refuseUnclaimed refuses a request whose claim is unanswered. The request is
// kept until the answer: if the entry then owns the key, it closes the record.
// Without that no other entry could ever run the request, because this entry
// would own it without working on it.
func (s *State) refuseUnclaimed(r *request, reason oriolebend.Reason) {
	s.refuse(r, reason, r.unclaimedRan(), defaultRetryAfter)
	r.outcome.reported = true
	r.detached = true
	r.clearAlarm(alarmClaim)
}
