package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/retry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func (s *State) jitter(r *request) time.Duration {
	return retry.FullJitter(s.rng, s.config.RetryBase, s.config.RetryMax, r.tries)
}

// retryWork has dispatched work that failed run again, within the budgets of
// the organisation and of the lane. An accepted request is not dropped for an
// empty budget: it waits for its place. If that is behind its deadline it gets
// its final answer now and not at the deadline.
func (s *State) retryWork(r *request, reason oriolebend.Reason) {
	s.count("retry", reason, r)
	r.lastReason = reason
	s.dropWasted(r)
	s.closeAll(r)
	if reason == oriolebend.ReasonEngineFailed {
		r.engineFailures++
		if r.engineFailures >= s.config.MaxEngineFailures {
			s.giveUp(r, reason, 0)
			return
		}
	}
	wait := max(r.org.budget.Wait(s.now), r.lane.budget.Wait(s.now))
	if wait > 0 {
		s.count("retryDelayed", oriolebend.ReasonRetryBudget, r)
	}
	if !r.Deadline.IsZero() && s.now.Add(wait).After(r.Deadline) {
		s.giveUp(r, oriolebend.ReasonRetryBudget, wait)
		return
	}
	r.org.budget.Take(s.now)
	r.lane.budget.Take(s.now)
	s.pause(r, wait)
}

// progressed notes that a request came forward: its next failure starts with
// short pauses again.
func (r *request) progressed() {
	r.tries = 0
	r.engineFailures = 0
}
