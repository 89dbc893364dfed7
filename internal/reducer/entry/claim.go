package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// claim asks for the ownership of a request's key. The lease of what an entry
// owns is the process's own and is renewed beside the reducer.
func (s *State) claim(r *request) {
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
	s.emit(AskClaim{Claim: c})
	s.setAlarm(r, alarmClaim, s.config.ClaimWithin)
}

// claimDue is met when a claim stays unanswered. The caller is refused now;
// the request is kept until the answer, whose claim has then to be closed.
func (s *State) claimDue(r *request) {
	s.endUnclaimed(r, oriolebend.ReasonControlAway)
}

func (s *State) claimed(e Claimed) {
	r := s.requests[e.RequestID]
	if r == nil || r.step != stepClaiming {
		return
	}
	r.clearAlarm(alarmClaim)
	if e.Problem != nil {
		s.claimProblem(r, e.Problem)
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
	case message.ClaimRefused:
		s.refuseClaimed(r, e.Answer.Reason, oriolebend.RanNo, comeBack)
	default:
		s.refuseClaimed(r, oriolebend.ReasonOutcomeLost, oriolebend.RanUnknown, 0)
	}
}

// owned takes a request on whose key is this entry's now. One whose key the
// caller gave is admitted here.
func (s *State) owned(r *request, a message.ClaimAnswer) {
	r.record = cmp.Or(a.RequestID, r.ID)
	r.first = max(a.Attempt, 1)
	r.attempt = r.first - 1
	if r.gone {
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
	r.unstarted = r.lane.unstarted(r.Urgency).PushBack(r)
	r.accepted = r.Urgency != oriolebend.Urgent
	s.enqueue(r)
}

// claimProblem is met when no quorum of control VMs answered: the request is
// refused. Under a key that the entry made nothing ran and nothing will. Under
// a key that the caller gave an earlier request may have run, which only a
// quorum could tell.
//
// To run a repeatable request without its record would keep answering while
// no quorum is there, but its caller could be told "not run" later by a record
// that was closed behind a claim whose answer was lost.
func (s *State) claimProblem(r *request, p *oriolebend.Problem) {
	ran := r.unclaimedRan()
	if p.Reason == oriolebend.ReasonRecordsFull {
		ran = oriolebend.RanNo
	}
	s.refuseClaimed(r, p.Reason, ran, cmp.Or(p.RetryAfter, comeBack))
}

// replay gives the caller what the record holds.
func (s *State) replay(r *request, a message.ClaimAnswer) {
	switch {
	case a.State == message.RecordNotRun:
		s.refuseClaimed(r, cmp.Or(a.Reason, oriolebend.ReasonOverloaded), oriolebend.RanNo, comeBack)
	case a.Answer == nil:
		// The record outlives the stored answer: the request ran and its
		// output is no longer kept.
		s.refuseClaimed(r, cmp.Or(a.Reason, oriolebend.ReasonAnswerNotKept), oriolebend.RanYes, 0)
	default:
		s.endUnowned(r, AnswerReplay{RequestID: r.ID, Record: a.RequestID, Answer: *a.Answer})
	}
}

// refuseClaimed refuses a request that the entry does not own.
func (s *State) refuseClaimed(r *request, reason oriolebend.Reason, ran oriolebend.Ran, after time.Duration) {
	s.refuse(r, reason, ran, after)
	s.forget(r)
}

func (s *State) endUnowned(r *request, e Effect) {
	if !r.gone {
		s.emit(e)
	}
	s.forget(r)
}
