package entry

import (
	"cmp"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// comeBack is the Retry-After of refusals that no better estimate exists for.
const comeBack = time.Second

// arrived takes a new request in.
//
// A request with a key that its caller gave is claimed first and admitted
// after: the key may belong to an earlier request which ran, so that only the
// claim can tell whether "not run" is true. A request whose key the entry made
// is admitted first, since nothing can have run under that key.
func (s *State) arrived(q Request) {
	if s.requests[q.ID] != nil {
		return
	}
	r := s.newRequest(q)
	if len(s.requests) >= s.config.MaxRequests {
		s.refuse(r, oriolebend.ReasonOverloaded, r.unclaimedRan(), comeBack)
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
	s.claim(r)
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

// refuse tells the caller of a request that holds nothing that it is refused.
func (s *State) refuse(r *request, reason oriolebend.Reason, ran oriolebend.Ran, after time.Duration) {
	if r.gone {
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

// unclaimedRan is what is known of a request without its record: under a key
// that the caller gave an earlier request may have run.
func (r *request) unclaimedRan() oriolebend.Ran {
	if r.Generated {
		return oriolebend.RanNo
	}
	return oriolebend.RanUnknown
}

// admit decides whether a request is taken in. It returns the reason of a
// refusal and when to come back, or no reason.
func (s *State) admit(r *request) (oriolebend.Reason, time.Duration) {
	if s.stopping {
		return oriolebend.ReasonStopping, comeBack
	}
	if s.pool(r.pool(r.firstRole())).Len() == 0 {
		return oriolebend.ReasonNoServer, comeBack
	}
	if !s.fitsAnywhere(r) || s.outlivesResult(r) {
		return oriolebend.ReasonTooLarge, 0
	}
	if after, allowed := r.org.rate.Allow(s.now); !allowed {
		return oriolebend.ReasonRateLimited, after
	}
	if s.waiting >= s.config.MaxWaiting {
		return oriolebend.ReasonQueueFull, comeBack
	}
	if s.waitingBytes+len(r.Prompt) > s.config.MaxWaitingBytes {
		return oriolebend.ReasonQueueFull, comeBack
	}
	if late := r.lane.late(r, s.now); late > 0 && !s.config.AdmitAll {
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
// enough for the request, as far as their sizes are known.
func (s *State) fitsAnywhere(r *request) bool {
	if r.Call != nil {
		return true
	}
	return s.pool(r.pool(oriolebend.Prefill)).fits(r.PromptTokens) &&
		s.pool(r.pool(oriolebend.Decode)).fits(r.PromptTokens+r.MaxTokens)
}

// movableShare is the part of its longest time that a transfer may need over a
// link of its own.
const movableShare = 0.9

// outlivesResult reports whether the KV cache of a request can't be moved to
// any decode server while its prefill result lives, as far as the sizes were
// learned. A transfer that begins in time may go on for as long again.
//
// Without it such a request is prefilled again for ever: one would notice one
// request with ever more retries of reason transferStalled.
func (s *State) outlivesResult(r *request) bool {
	f := &r.lane.first
	rate := s.pool(r.pool(oriolebend.Decode)).fastest
	if r.Call != nil || f.livesFor == 0 || rate <= 0 {
		return false
	}
	alone := f.bytesPerToken * float64(r.PromptTokens) / rate
	return alone > movableShare*2*f.livesFor.Seconds()
}
