// Package serverlimit is the reducer that counts, over all forwarders, the requests sent to
// backend servers that have reported a limit. The leading control VM runs it. It is pure: time
// comes in events.
package serverlimit

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/limit"
)

const (
	// burstTime is for how long a server's limit may be saved up, in addition to one request:
	// all saved-up requests can reach the server at once.
	burstTime = 500 * time.Millisecond
	// minPerSecond is the rate at which a server gets requests at least, whatever limit it
	// reports: otherwise no process would learn that the limit no longer applies.
	minPerSecond = 0.1
	// minRetryAfter is the shortest time that a refused forwarder has to wait, and maxQueueDelay
	// the longest additional time for forwarders that were refused before it.
	minRetryAfter = 20 * time.Millisecond
	maxQueueDelay = 4 * time.Second
	// queueShare is the part of the interval between two permissions by which each refused
	// forwarder waits longer than the one refused before it. Not all of them request again.
	queueShare = 0.5
	// accountLifetime is for how long the account of a server is kept without any request.
	accountLifetime = time.Minute
)

// State is the accounting of the leader. Only Reduce changes it.
type State struct {
	lead     bool
	term     uint64
	accounts map[message.ServerStart]*account
	// expiredAt is when unused accounts were deleted last.
	expiredAt time.Time
}

// account is the accounting of one incarnation of a server.
type account struct {
	bucket limit.Bucket
	// reported is the latest known time at which the server reported its limit. lifted is the
	// latest time at which a request was sent whose answer contained no limit.
	reported, lifted time.Time
	// refused counts the refusals since the last permission.
	refused int
	// requested is when a permission for the server was last requested.
	requested time.Time
	// counted holds the counts since the last Summarize.
	counted Summary
}

// limited reports whether the server is known to have a limit.
func (a *account) limited() bool { return a.reported.After(a.lifted) }

// New returns a state without servers.
func New() *State { return &State{accounts: map[message.ServerStart]*account{}} }

// Reduce applies one event. Requested has exactly one effect, other events have none.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case LeadershipObserved:
		s.applyLeadership(e)
	case Requested:
		return []Answer{s.applyRequest(e)}
	case Returned:
		s.applyReturned(e)
	case LimitLifted:
		s.applyLifted(e)
	}
	return nil
}

// applyLeadership updates whether this control VM leads, and deletes unused accounts. A control
// VM that begins to count begins with empty accounts, because it does not know what another
// control VM has just permitted.
func (s *State) applyLeadership(e LeadershipObserved) {
	if e.Term != s.term || e.Lead && !s.lead || e.ClockJumped {
		clear(s.accounts)
	}
	s.lead, s.term = e.Lead, e.Term
	if e.At.Sub(s.expiredAt) < accountLifetime {
		return
	}
	s.expiredAt = e.At
	for start, a := range s.accounts {
		if e.At.Sub(a.requested) >= accountLifetime {
			delete(s.accounts, start)
		}
	}
}

func (s *State) applyRequest(e Requested) Answer {
	if !s.lead {
		return Answer{}
	}
	a := s.accounts[e.Server]
	if a == nil {
		a = &account{}
		s.accounts[e.Server] = a
	}
	a.requested = e.At
	if e.ReportedAt.After(a.reported) {
		a.reported = e.ReportedAt
		a.setLimit(e.At, e.PerSecond)
	}
	if !a.limited() {
		return Answer{Counted: true, Granted: true, Unlimited: true}
	}
	if !a.bucket.Take(e.At, 1, 0) {
		a.refused++
		a.counted.Refused++
		return Answer{Counted: true, RetryAfter: a.retryAfter(e.At)}
	}
	a.refused = 0
	a.counted.Granted++
	return Answer{Counted: true, Granted: true}
}

// setLimit applies a limit to the bucket. A new account's bucket begins empty, because the number
// of requests that have reached the server before is not known.
func (a *account) setLimit(at time.Time, perSecond float64) {
	a.bucket.Level(at)
	a.bucket.PerSecond = max(perSecond, minPerSecond)
	a.bucket.Burst = 1 + burstTime.Seconds()*a.bucket.PerSecond
	a.bucket.Level(at)
}

// retryAfter returns how long a refused forwarder has to wait. Each refused forwarder gets a later
// time, so that hundreds of them don't all request the same permission.
func (a *account) retryAfter(at time.Time) time.Duration {
	each := time.Duration(float64(time.Second) / a.bucket.PerSecond)
	queue := time.Duration(queueShare * float64(a.refused-1) * float64(each))
	return max(a.bucket.Wait(at, 1)+min(queue, maxQueueDelay), minRetryAfter)
}

// applyReturned gives back a permission that was not used.
func (s *State) applyReturned(e Returned) {
	if a := s.accounts[e.Server]; a != nil && s.lead {
		a.bucket.Level(e.At)
		a.bucket.Return(1)
	}
}

// applyLifted records that a server's answer to a request sent at e.Sent contained no limit.
func (s *State) applyLifted(e LimitLifted) {
	a := s.accounts[e.Server]
	if a == nil {
		a = &account{}
		s.accounts[e.Server] = a
	}
	if e.Sent.After(a.lifted) {
		a.lifted, a.requested = e.Sent, e.At
	}
}

// Summary holds the counts of one server with a limit, for the log.
type Summary struct {
	Server    message.ServerStart
	PerSecond float64
	// Granted and Refused count the permissions and refusals since the last summary.
	Granted, Refused int
}

// Summarize returns the counts of all servers that have a limit, and resets them.
func (s *State) Summarize() []Summary {
	var list []Summary
	for start, a := range s.accounts {
		if a.limited() && a.counted != (Summary{}) {
			a.counted.Server, a.counted.PerSecond = start, a.bucket.PerSecond
			list = append(list, a.counted)
		}
		a.counted = Summary{}
	}
	return list
}

// limitedFor is for how long after the last request for it a server is reported as limited.
const limitedFor = 15 * time.Second

// Limited reports whether a server has a limit, according to this control VM's accounting.
func (s *State) Limited(at time.Time, start message.ServerStart) bool {
	a := s.accounts[start]
	return s.lead && a != nil && a.limited() && at.Sub(a.requested) < limitedFor
}
