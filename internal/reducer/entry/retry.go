package entry

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/reducer/quarantine"
	"github.com/oriolebend/oriolebend/internal/reducer/retry"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

func (s *State) jitter(r *request) time.Duration {
	return retry.FullJitter(s.rng, s.config.RetryBase, s.config.RetryMax, r.tries)
}

// retryWork retries dispatched work that failed, within the budgets of the
// organisation and of the lane. An accepted request is not dropped because a
// budget is empty: it waits. If the wait would end after its deadline, the
// request gets its final answer now instead of at the deadline.
func (s *State) retryWork(r *request, reason oriolebend.Reason) {
	s.count("retry", reason, r)
	// A result that expired after refusals for lack of room is itself a lack of
	// room.
	noRoom := lacksRoom(reason) || reason == oriolebend.ReasonResultExpired && lacksRoom(r.lastReason)
	r.lastReason = reason
	s.countWastedPrefill(r)
	s.closeAll(r)
	if reason == oriolebend.ReasonEngineFailed {
		r.engineFailures++
		if r.engineFailures >= s.config.MaxEngineFailures {
			s.giveUp(r, reason, defaultRetryAfter)
			return
		}
	}
	transferFailed := reason == oriolebend.ReasonTransferStalled || reason == oriolebend.ReasonResultExpired
	if transferFailed && s.transferOutlivesResult(r) {
		s.giveUp(r, oriolebend.ReasonTooLarge, 0)
		return
	}
	r.needsRetryToken = !noRoom
	if r.lostTooManyServers() {
		s.delayAfterLosses(r, reason)
		return
	}
	if !r.needsRetryToken {
		s.pause(r, 0)
		return
	}
	if wait := s.retryWait(r); wait > 0 {
		s.delayRetry(r, wait)
		return
	}
	s.pause(r, 0)
}

// lacksRoom reports whether a live gate refused work for lack of room. Such a
// retry needs no budget: the gate itself limits the load, and the pauses of a
// request grow. With a budget, a burst that meets full memory would spend all
// of it, and accepted requests would then continue one by one at the floor's
// rate while the servers are idle. The symptom would be a growing retryDelayed
// while memory is free.
func lacksRoom(reason oriolebend.Reason) bool {
	return reason == oriolebend.ReasonNoMemory || reason == oriolebend.ReasonQueueFull
}

// retryWait returns how long the budgets keep a request from being retried.
func (s *State) retryWait(r *request) time.Duration {
	return max(r.org.budget.Wait(s.now), r.lane.budget.Wait(s.now))
}

// delayRetry lets a request wait for a budget. The budget is checked again
// after a random pause, because successes may fill it sooner than its floor
// does.
func (s *State) delayRetry(r *request, wait time.Duration) {
	if !r.Deadline.IsZero() && s.now.Add(wait).After(r.Deadline) {
		s.giveUp(r, oriolebend.ReasonRetryBudget, wait)
		return
	}
	s.count("retryDelayed", oriolebend.ReasonRetryBudget, r)
	s.waitAndRetry(r, retry.FullJitter(s.rng, s.config.RetryMax, s.config.RetryMax, 0))
}

// acquireRetry charges the budgets for the retry of a request whose turn has
// come. If they are empty, it returns false and the request waits on.
func (s *State) acquireRetry(r *request) bool {
	if !r.needsRetryToken {
		return true
	}
	if wait := s.retryWait(r); wait > 0 {
		s.delayRetry(r, wait)
		return false
	}
	r.needsRetryToken = false
	s.spendRetry(r)
	return true
}

// spendRetry spends one retry of the organisation's and of the lane's budget.
func (s *State) spendRetry(r *request) {
	r.org.budget.Take(s.now)
	r.lane.budget.Take(s.now)
}

// resetFailures is called on progress of a request: its next failure starts
// with short pauses again.
func (r *request) resetFailures() {
	r.tries = 0
	r.engineFailures = 0
	r.serversLost = 0
}

const (
	// maxServersLost is the number of servers lost in a row, while they worked
	// on a request, from which the request waits long: two can be lost with
	// their failure domain while the request is retried.
	maxServersLost = quarantine.Limit
	// minLossWait and maxLossWait bound that wait, which doubles with each
	// further loss. A server takes seconds to return, so that a request which
	// crashes servers then takes down one of many at a time, and in the end one
	// in ten minutes.
	minLossWait = 10 * time.Second
	maxLossWait = 10 * time.Minute
)

// lostTooManyServers reports whether several servers in a row were lost while
// they worked on the request.
func (r *request) lostTooManyServers() bool { return r.serversLost >= maxServersLost }

// delayAfterLosses lets a request wait after several servers in a row were lost
// while they worked on it.
//
// The request may crash each server that begins to run it. Retried within the
// usual two seconds, it would take down one server after the other with
// everything that runs there, for as long as the budgets have a floor. The
// symptom would be retries for serverLost that follow one request. The losses
// may also be a coincidence, and the request is accepted: it is not dropped.
func (s *State) delayAfterLosses(r *request, reason oriolebend.Reason) {
	wait := min(maxLossWait, minLossWait<<min(r.serversLost-maxServersLost, maxDoublings))
	if !r.Deadline.IsZero() && s.now.Add(wait).After(r.Deadline) {
		s.giveUp(r, oriolebend.ReasonCrashesServers, wait)
		return
	}
	s.count("retryDelayed", reason, r)
	s.waitAndRetry(r, wait)
}

// maxDoublings keeps the wait from overflowing; maxLossWait is reached long
// before.
const maxDoublings = 16
