// Package serverlimit is the reducer that counts, over all forwarders, what is sent to
// backend servers that have named a limit. One control VM runs it, the leader. It is pure:
// time comes in events.
package serverlimit

import (
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/reducer/limit"
)

const (
	// burstTime is for how long a server's limit may be saved up, beside one request: what is
	// saved up can reach the server all at once.
	burstTime = 500 * time.Millisecond
	// leastPerSecond is how often a server is asked at least, whatever it names: nobody would
	// learn otherwise that its need is over.
	leastPerSecond = 0.1
	// afterLeast is the shortest time that a forwarder is told to wait, and queueMost the most
	// that it is told for others who were refused before it.
	afterLeast = 20 * time.Millisecond
	queueMost  = 4 * time.Second
	// queueShare is which part of the time between two permissions each forwarder waits longer
	// that was refused since the last one. Not all of them come back.
	queueShare = 0.5
	// keptFor is for how long a server is remembered that nobody asks for.
	keptFor = time.Minute
)

// State is what the leader has counted. Only Reduce changes it.
type State struct {
	lead     bool
	term     uint64
	accounts map[message.ServerStart]*account
	// looked is when accounts were looked through last.
	looked time.Time
}

// account is what was counted for one start of a server.
type account struct {
	bucket limit.Bucket
	// named is when the server is known to have named its limit last, lifted when a request
	// was sent to it last whose answer named none.
	named, lifted time.Time
	// refused counts the questions that were refused since one was granted.
	refused int
	// asked is when it was asked for last.
	asked time.Time
	// counted is what there is to see since the last Summarize.
	counted Summary
}

// limited reports whether the server has a limit, as far as is known.
func (a *account) limited() bool { return a.named.After(a.lifted) }

// New returns a state that knows no server.
func New() *State { return &State{accounts: map[message.ServerStart]*account{}} }

// Reduce moves the state on. Asked has exactly one effect, other events have none.
func Reduce(s *State, event Event) []Answer {
	switch e := event.(type) {
	case LeadershipObserved:
		s.leads(e)
	case Requested:
		return []Answer{s.asked(e)}
	case Returned:
		s.returned(e)
	case LimitLifted:
		s.ended(e)
	}
	return nil
}

// leads takes up whether this control VM counts. What another one has permitted a moment ago
// is not known here: one that begins to count begins with nothing.
func (s *State) leads(e LeadershipObserved) {
	if e.Term != s.term || e.Lead && !s.lead || e.ClockJumped {
		clear(s.accounts)
	}
	s.lead, s.term = e.Lead, e.Term
	if e.At.Sub(s.looked) < keptFor {
		return
	}
	s.looked = e.At
	for start, a := range s.accounts {
		if e.At.Sub(a.asked) >= keptFor {
			delete(s.accounts, start)
		}
	}
}

func (s *State) asked(e Requested) Answer {
	if !s.lead {
		return Answer{}
	}
	a := s.accounts[e.Server]
	if a == nil {
		a = &account{}
		s.accounts[e.Server] = a
	}
	a.asked = e.At
	if e.ReportedAt.After(a.named) {
		a.named = e.ReportedAt
		a.set(e.At, e.PerSecond)
	}
	if !a.limited() {
		return Answer{Counted: true, Granted: true, Unlimited: true}
	}
	if !a.bucket.Take(e.At, 1, 0) {
		a.refused++
		a.counted.Refused++
		return Answer{Counted: true, RetryAfter: a.after(e.At)}
	}
	a.refused = 0
	a.counted.Granted++
	return Answer{Counted: true, Granted: true}
}

// set brings a limit into force. The bucket begins empty: what has reached the server before
// is not known.
func (a *account) set(at time.Time, perSecond float64) {
	a.bucket.Level(at)
	a.bucket.PerSecond = max(perSecond, leastPerSecond)
	a.bucket.Burst = 1 + burstTime.Seconds()*a.bucket.PerSecond
	a.bucket.Level(at)
}

// after is when a forwarder may ask again. Each of those who are refused is told a later time,
// so that hundreds of them don't all ask for the same permission.
func (a *account) after(at time.Time) time.Duration {
	each := time.Duration(float64(time.Second) / a.bucket.PerSecond)
	queue := time.Duration(queueShare * float64(a.refused-1) * float64(each))
	return max(a.bucket.Wait(at, 1)+min(queue, queueMost), afterLeast)
}

// returned gives back a permission that was not used.
func (s *State) returned(e Returned) {
	if a := s.accounts[e.Server]; a != nil && s.lead {
		a.bucket.Level(e.At)
		a.bucket.Return(1)
	}
}

// ended takes in that a server named no limit in an answer to a request sent at a time.
func (s *State) ended(e LimitLifted) {
	a := s.accounts[e.Server]
	if a == nil {
		a = &account{}
		s.accounts[e.Server] = a
	}
	if e.Sent.After(a.lifted) {
		a.lifted, a.asked = e.Sent, e.At
	}
}

// Summary is what there is to see of a server with a limit.
type Summary struct {
	Server    message.ServerStart
	PerSecond float64
	// Granted and Refused count the questions since the last summary.
	Granted, Refused int
}

// Summarize tells what was counted for servers that have a limit, and counts anew.
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

// askedLately is for how long a server that somebody asked for still counts as limited.
const askedLately = 15 * time.Second

// Limited reports whether a server has a limit, as far as this control VM counts.
func (s *State) Limited(at time.Time, start message.ServerStart) bool {
	a := s.accounts[start]
	return s.lead && a != nil && a.limited() && at.Sub(a.asked) < askedLately
}
