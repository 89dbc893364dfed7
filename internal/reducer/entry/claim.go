package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// sendClaim requests the ownership of a request's key. The lease belongs to the
// entry process as a whole and is renewed outside the reducer.
func (s *State) sendClaim(r *request) {
	c := message.Claim{
		Scope:       r.Scope,
		RequestID:   r.ID,
		Fingerprint: r.Fingerprint,
		Owner:       s.config.Owner,
		Once:        r.Once,
	}
	if r.StatusPath != "" {
		c.Status = &message.StatusCall{
			Service:  r.Service,
			Path:     r.StatusPath,
			Identity: r.Call.Identity,
		}
	}
	s.emit(SendClaim{Claim: c})
	s.setAlarm(r, alarmClaim, s.config.ClaimWithin)
}

// claimTimedOut refuses the caller of a request whose claim stays unanswered.
// The request is kept until the answer arrives, because a claim that was
// granted has to be closed then.
func (s *State) claimTimedOut(r *request) {
	s.refuseUnclaimed(r, oriolebend.ReasonControlAway)
}

func (s *State) handleClaimed(e Claimed) {
	r := s.requests[e.RequestID]
	if r == nil || r.step != stepClaiming {
		return
	}
	r.clearAlarm(alarmClaim)
	if e.Problem != nil {
		s.handleClaimProblem(r, e.Problem)
		return
	}
	switch e.Answer.Outcome {
	case message.ClaimOwned:
		s.handleOwned(r, e.Answer)
	case message.ClaimAttach:
		s.answerUnowned(r, AnswerAttach{
			RequestID:    r.ID,
			Record:       e.Answer.RequestID,
			Owner:        e.Answer.Owner,
			OwnerAddress: e.Answer.OwnerAddress,
		})
	case message.ClaimReplay:
		s.replay(r, e.Answer)
	case message.ClaimConflict:
		s.refuseUnowned(r, oriolebend.ReasonKeyReused, oriolebend.RanNo, 0)
	case message.ClaimRefused:
		s.refuseUnowned(r, e.Answer.Reason, oriolebend.RanNo, defaultRetryAfter)
	default:
		s.refuseUnowned(r, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 0)
	}
}

// handleOwned continues a request whose key this entry now owns. A request
// whose caller gave the key is admitted here.
func (s *State) handleOwned(r *request, a message.ClaimAnswer) {
	r.record = cmp.Or(a.RequestID, r.ID)
	r.firstAttempt = max(a.Attempt, 1)
	r.attempt = r.firstAttempt - 1
	if r.detached {
		s.giveUp(r, oriolebend.ReasonCallerCancelled, 0)
		return
	}
	if !r.Generated {
		if reason, after := s.admit(r); reason != "" {
			s.count("refusal", reason, r)
			s.giveUp(r, reason, after)
			return
		}
	}
	r.claimed = s.now
	r.unstarted = r.lane.unstarted(r.Urgency).PushBack(r)
	r.accepted = r.Urgency != oriolebend.Urgent
	s.enqueue(r)
}

// handleClaimProblem refuses a request because no quorum of control VMs
// answered its claim. Under a key that the entry made, nothing has run and
// nothing will. Under a key that the caller gave, an earlier request may have
// run, which only a quorum can tell.
//
// Running a repeatable request without its record would keep answers available
// while there is no quorum. But the caller could later get "not run" from a
// record that was closed after a claim whose answer was lost.
func (s *State) handleClaimProblem(r *request, p *oriolebend.Problem) {
	ran := r.unclaimedRan()
	if p.Reason == oriolebend.ReasonRecordsFull {
		ran = oriolebend.RanNo
	}
	s.refuseUnowned(r, p.Reason, ran, cmp.Or(p.RetryAfter, defaultRetryAfter))
}

// replay answers the caller from the record.
func (s *State) replay(r *request, a message.ClaimAnswer) {
	switch {
	case a.State == message.RecordNotRun:
		s.refuseUnowned(r, cmp.Or(a.Reason, oriolebend.ReasonOverloaded), oriolebend.RanNo, defaultRetryAfter)
	case a.Answer == nil:
		// The record outlives the stored answer: the request ran and its output
		// is no longer kept.
		s.refuseUnowned(r, cmp.Or(a.Reason, oriolebend.ReasonAnswerNotKept), oriolebend.RanYes, 0)
	default:
		s.answerUnowned(r, AnswerReplay{RequestID: r.ID, Record: a.RequestID, Answer: *a.Answer})
	}
}

// refuseUnowned refuses a request whose key the entry does not own.
func (s *State) refuseUnowned(r *request, reason oriolebend.Reason, ran oriolebend.Ran, after time.Duration) {
	s.refuse(r, reason, ran, after)
	s.removeRequest(r)
}

func (s *State) answerUnowned(r *request, e Effect) {
	if !r.detached {
		s.emit(e)
	}
	s.removeRequest(r)
}
