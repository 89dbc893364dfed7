package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func (s *State) claim(r *request) {
	s.emit(AskClaim{Claim: message.Claim{
		Scope:       r.Scope,
		RequestID:   r.ID,
		Fingerprint: r.Fingerprint,
		Owner:       s.config.Owner,
		Once:        r.Once,
		LeaseFor:    s.config.ClaimLease,
	}})
	s.setAlarm(r, alarmClaim, s.config.ClaimWithin)
}

// claimDue asks again: the claim is unanswered, or its lease has used up a
// third of its time. A claim of the same owner is answered as the first was.
func (s *State) claimDue(r *request) {
	if r.step == stepClaiming && s.now.Sub(r.arrived) >= s.config.ClaimWithin {
		s.claimProblem(r)
		return
	}
	s.claim(r)
}

func (s *State) claimed(e Claimed) {
	r := s.requests[e.RequestID]
	if r == nil {
		return
	}
	if r.step != stepClaiming {
		s.renewed(r, e)
		return
	}
	if e.Problem != nil {
		s.claimProblem(r)
		return
	}
	switch e.Answer.Outcome {
	case message.ClaimOwned:
		s.owned(r, e.Answer)
	case message.ClaimAttach:
		s.endUnowned(r, AnswerAttach{
			RequestID:    r.ID,
			Record:       e.Answer.RequestID,
			Owner:        e.Answer.Owner,
			OwnerAddress: e.Answer.OwnerAddress,
		})
	case message.ClaimReplay:
		s.replay(r, e.Answer)
	case message.ClaimConflict:
		s.refuseClaimed(r, oriolebend.ReasonKeyReused, oriolebend.RanNo, 0)
	default:
		s.refuseClaimed(r, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 0)
	}
}

// renewed takes the answer to a renewal. Until the record is settled the work
// goes on, also if no quorum answers: the settlement decides whose answer
// counts, and a call that may run once was recorded as running before.
func (s *State) renewed(r *request, e Claimed) {
	if r.step == stepSettling {
		return
	}
	s.setAlarm(r, alarmClaim, s.config.ClaimLease/3)
	if e.Problem != nil {
		s.count("renewalFailed", e.Problem.Reason, r)
		return
	}
	if r.unrecorded && e.Answer.Outcome == message.ClaimOwned {
		// The claim was only late: the request has a record after all.
		r.unrecorded = false
	}
}

// owned accepts the request: from here on it is never dropped.
func (s *State) owned(r *request, a message.ClaimAnswer) {
	r.attempt = max(a.Attempt, 1) - 1
	s.setAlarm(r, alarmClaim, s.config.ClaimLease/3)
	if r.gone {
		r.owned = true
		s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
		return
	}
	if !r.Generated {
		if reason, after := s.admit(r); reason != "" {
			s.count("refusal", reason, r)
			r.owned = true
			s.giveUp(r, reason, after)
			return
		}
	}
	r.owned = true
	s.enqueue(r)
}

// claimProblem is met when no quorum of control VMs answered.
//
// A repeatable request under a key that the entry made runs all the same: no
// other request can hold its key, its work may be repeated, and without it one
// lost quorum would stop all pings. It has no record, so that a later look-up
// by its ID finds none. Any other request is refused: its key may belong to an
// earlier one, or its call may run once at most, which only a quorum can tell.
func (s *State) claimProblem(r *request) {
	if r.gone {
		s.forget(r)
		return
	}
	if r.Generated && !r.Once {
		s.count("unclaimed", oriolebend.ReasonControlAway, r)
		r.owned = true
		r.unrecorded = true
		r.clearAlarm(alarmClaim)
		s.enqueue(r)
		return
	}
	ran := oriolebend.RanUnknown
	if r.Generated {
		ran = oriolebend.RanNo
	}
	s.refuseClaimed(r, oriolebend.ReasonControlAway, ran, comeBack)
}

// replay gives the caller what the record holds.
func (s *State) replay(r *request, a message.ClaimAnswer) {
	switch {
	case a.State == message.RecordNotRun:
		s.refuseClaimed(r, storedReason(a.Answer), oriolebend.RanNo, comeBack)
	case a.State == message.RecordUnknown:
		s.refuseClaimed(r, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 0)
	case a.Answer == nil:
		// The record outlives the stored answer: the request ran and its
		// output is no longer kept.
		s.refuseClaimed(r, oriolebend.ReasonAnswerNotKept, oriolebend.RanYes, 0)
	default:
		s.endUnowned(r, AnswerReplay{RequestID: r.ID, Record: a.RequestID, Answer: *a.Answer})
	}
}

func storedReason(a *message.Answer) oriolebend.Reason {
	if a == nil || a.Reason == "" {
		return oriolebend.ReasonOverloaded
	}
	return a.Reason
}

// refuseClaimed refuses a request that the entry does not own.
func (s *State) refuseClaimed(r *request, reason oriolebend.Reason, ran oriolebend.Ran, after time.Duration) {
	s.count("refusal", reason, r)
	s.endUnowned(r, AnswerProblem{RequestID: r.ID, Problem: &oriolebend.Problem{
		Reason:     reason,
		Ran:        ran,
		RequestID:  r.ID,
		RetryAfter: after,
	}})
}

func (s *State) endUnowned(r *request, e Effect) {
	if !r.gone {
		s.emit(e)
	}
	s.forget(r)
}
