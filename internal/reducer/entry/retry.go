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

// retryWork has dispatched work that failed run again, within the budgets of
// the organisation and of the lane. An accepted request is not dropped for an
// empty budget: it waits for its place. If that is behind its deadline it gets
// its final answer now and not at the deadline.
func (s *State) retryWork(r *request, reason oriolebend.Reason) {
	s.count("retry", reason, r)
	// A result that expired behind refusals for lack of room is lack of room.
	crowded := lacksRoom(reason) || reason == oriolebend.ReasonResultExpired && lacksRoom(r.lastReason)
	r.lastReason = reason
	s.dropWasted(r)
	s.closeAll(r)
	if reason == oriolebend.ReasonEngineFailed {
		r.engineFailures++
		if r.engineFailures >= s.config.MaxEngineFailures {
			s.giveUp(r, reason, comeBack)
			return
		}
	}
	moving := reason == oriolebend.ReasonTransferStalled || reason == oriolebend.ReasonResultExpired
	if moving && s.outlivesResult(r) {
		s.giveUp(r, oriolebend.ReasonTooLarge, 0)
		return
	}
	r.owesRetry = !crowded
	if r.lostInARow() {
		s.delayAfterLosses(r, reason)
		return
	}
	if !r.owesRetry {
		s.pause(r, 0)
		return
	}
	if wait := s.retryWait(r); wait > 0 {
		s.delayRetry(r, wait)
		return
	}
	s.pause(r, 0)
}

// lacksRoom reports whether a gate that lives refused work for lack of room.
// That needs no budget: the gate itself holds the load down, and the pauses of
// a request grow. With a budget a burst that meets full memory spends it all,
// and accepted requests then go on one by one at the floor's rate while the
// servers are idle; one would notice retryDelayed that grows beside free memory.
func lacksRoom(reason oriolebend.Reason) bool {
	return reason == oriolebend.ReasonNoMemory || reason == oriolebend.ReasonQueueFull
}

// retryWait is how long the budgets keep a request from trying again.
func (s *State) retryWait(r *request) time.Duration {
	return max(r.org.budget.Wait(s.now), r.lane.budget.Wait(s.now))
}

// delayRetry has a request wait for a budget. It looks again after a random
// pause: successes may fill the budget sooner than its floor.
func (s *State) delayRetry(r *request, wait time.Duration) {
	if !r.Deadline.IsZero() && s.now.Add(wait).After(r.Deadline) {
		s.giveUp(r, oriolebend.ReasonRetryBudget, wait)
		return
	}
	s.count("retryDelayed", oriolebend.ReasonRetryBudget, r)
	s.waitFor(r, retry.FullJitter(s.rng, s.config.RetryMax, s.config.RetryMax, 0))
}

// mayRetry pays for the retry of a request that got its turn; it reports false
// if the budgets are empty, and the request waits on.
func (s *State) mayRetry(r *request) bool {
	if !r.owesRetry {
		return true
	}
	if wait := s.retryWait(r); wait > 0 {
		s.delayRetry(r, wait)
		return false
	}
	r.owesRetry = false
	s.takeRetry(r)
	return true
}

// takeRetry spends one retry of the organisation's and of the lane's budget.
func (s *State) takeRetry(r *request) {
	r.org.budget.Take(s.now)
	r.lane.budget.Take(s.now)
}

// progressed notes that a request came forward: its next failure starts with
// short pauses again.
func (r *request) progressed() {
	r.tries = 0
	r.engineFailures = 0
	r.serversLost = 0
}

const (
	// mostLostInARow is how many servers may be lost under a request before it waits long:
	// two can go with their failure domain while it is tried again.
	mostLostInARow = quarantine.Limit
	// lossWaitFirst and lossWaitMost bound that wait, which doubles with each further loss. A
	// server takes seconds to be back, so that a request which crashes servers then
	// costs one of many at a time, and one in ten minutes in the end.
	lossWaitFirst = 10 * time.Second
	lossWaitMost  = 10 * time.Minute
)

// lostInARow reports whether server after server was lost under a request.
func (r *request) lostInARow() bool { return r.serversLost >= mostLostInARow }

// delayAfterLosses has a request wait under which server after server was lost.
//
// It may crash each server that begins to run it. Tried again within the usual two
// seconds it takes down one server after the other with all that runs there, for as long
// as the budgets have a floor; one notices it by retries for serverLost that follow one
// request. It may also have had bad luck, and is accepted: it is not dropped.
func (s *State) delayAfterLosses(r *request, reason oriolebend.Reason) {
	wait := min(lossWaitMost, lossWaitFirst<<min(r.serversLost-mostLostInARow, maxDoublings))
	if !r.Deadline.IsZero() && s.now.Add(wait).After(r.Deadline) {
		s.giveUp(r, oriolebend.ReasonCrashesServers, wait)
		return
	}
	s.count("retryDelayed", reason, r)
	s.waitFor(r, wait)
}

// maxDoublings keeps the wait within its type; lossWaitMost is reached long before.
const maxDoublings = 16
