package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// defaultRetryAfter is the Retry-After of refusals without a better estimate.
const defaultRetryAfter = time.Second

// handleArrived admits or refuses a new request.
//
// A request whose caller gave the key is claimed first and admitted afterwards:
// an earlier request may have run under that key, so that only the claim can
// tell whether "not run" is true. A request whose key the entry made is
// admitted first, since nothing can have run under that key.
func (s *State) handleArrived(q Request) {
	if s.requests[q.ID] != nil {
		return
	}
	r := s.newRequest(q)
	if len(s.requests) >= s.config.MaxRequests {
		s.refuse(r, oriolebend.ReasonOverloaded, r.unclaimedRan(), defaultRetryAfter)
		return
	}
	if q.Generated {
		if reason, after := s.admit(r); reason != "" {
			s.refuse(r, reason, r.unclaimedRan(), after)
			return
		}
	}
	s.requests[r.ID] = r
	if !r.Deadline.IsZero() {
		s.setAlarmAt(r, alarmDeadline, r.Deadline)
	}
	s.sendClaim(r)
}

func (s *State) newRequest(q Request) *request {
	q.FirstWithin = cmp.Or(q.FirstWithin, s.config.FirstWithin)
	q.BetweenWithin = cmp.Or(q.BetweenWithin, s.config.BetweenWithin)
	return &request{
		Request: q,
		step:    stepClaiming,
		arrived: s.now,
		org:     s.organisation(q.Scope.Organisation),
		lane:    s.lane(q),
	}
}

// refuse reports a refusal to the caller of a request that holds nothing.
func (s *State) refuse(r *request, reason oriolebend.Reason, ran oriolebend.Ran, after time.Duration) {
	if r.detached {
		return
	}
	s.count("refusal", reason, r)
	s.emit(AnswerProblem{RequestID: r.ID, Problem: &oriolebend.Problem{
		Reason:     reason,
		Ran:        ran,
		RequestID:  r.ID,
		RetryAfter: after,
	}})
}

// unclaimedRan returns what is known about the execution of a request without
// its record: under a key that the caller gave, an earlier request may have
// run.
func (r *request) unclaimedRan() oriolebend.Ran {
	if r.Generated {
		return oriolebend.RanNo
	}
	return oriolebend.RanUnknown
}

// admit decides whether to admit a request. It returns the reason of a refusal
// and when to retry, or no reason.
func (s *State) admit(r *request) (oriolebend.Reason, time.Duration) {
	if s.stopping {
		return oriolebend.ReasonStopping, defaultRetryAfter
	}
	if s.pool(r.pool(r.firstRole())).Len() == 0 {
		return oriolebend.ReasonNoServer, defaultRetryAfter
	}
	if !s.fitsAnywhere(r) || s.transferOutlivesResult(r) {
		return oriolebend.ReasonTooLarge, 0
	}
	if after, allowed := r.org.rate.Allow(s.now); !allowed {
		return oriolebend.ReasonRateLimited, after
	}
	if s.waiting >= s.config.MaxWaiting {
		return oriolebend.ReasonQueueFull, defaultRetryAfter
	}
	if s.waitingBytes+len(r.Prompt) > s.config.MaxWaitingBytes {
		return oriolebend.ReasonQueueFull, defaultRetryAfter
	}
	if late := r.lane.admissionDelay(r, s.now); late > 0 && !s.config.AdmitAll {
		return oriolebend.ReasonOverloaded, late
	}
	return "", 0
}

func (r *request) firstRole() oriolebend.PoolRole {
	if r.Call != nil {
		return oriolebend.Service
	}
	return oriolebend.Prefill
}

// fitsAnywhere reports whether the pools have servers whose memory is large
// enough for the request, as far as the sizes are known.
func (s *State) fitsAnywhere(r *request) bool {
	if r.Call != nil {
		return true
	}
	return s.pool(r.pool(oriolebend.Prefill)).fits(r.PromptTokens) &&
		s.pool(r.pool(oriolebend.Decode)).fits(r.PromptTokens+r.MaxTokens)
}

// maxTransferShare is the largest share of the time allowed for a transfer that
// the transfer may take on an otherwise idle link.
const maxTransferShare = 0.9

// transferOutlivesResult reports whether the KV cache of a request can't be
// moved to any decode server while its prefill result is valid, as far as the
// sizes were learned. A transfer that begins while the result is valid may
// continue for the result's lifetime once more.
//
// Without this check the prefill of such a request would be repeated forever.
// The symptom would be one request with ever more retries for transferStalled.
func (s *State) transferOutlivesResult(r *request) bool {
	f := &r.lane.costs
	rate := s.pool(r.pool(oriolebend.Decode)).fastest
	if r.Call != nil || f.livesFor == 0 || rate <= 0 {
		return false
	}
	alone := f.bytesPerToken * float64(r.PromptTokens) / rate
	return alone > maxTransferShare*2*f.livesFor.Seconds()
}
