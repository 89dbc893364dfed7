package dispatch

import (
	"slices"
	"strings"
	"time"
)

// RepeatKind is the way by which a request reaches a server of its service once more.
type RepeatKind string

const (
	// RepeatRetry is a send to another server, after a send without success or beside it.
	RepeatRetry RepeatKind = "retry"
	// RepeatResend is a further send to the same server.
	RepeatResend RepeatKind = "resend"
	// RepeatPrompt is a prompt that is sent to a prefill engine after one has accepted it.
	RepeatPrompt RepeatKind = "prompt"
	// RepeatRejectedPrompt is a prompt that a prefill engine rejected.
	RepeatRejectedPrompt RepeatKind = "rejectedPrompt"
)

// budgetSlices is the number of slices in the window of a budget; the oldest slice is
// dropped as a whole.
const budgetSlices = 20

// budget counts the requests and retries of one service in a sliding window.
type budget struct {
	slices [budgetSlices]counts
	// newest is the number of the newest slice, counted from the Unix epoch.
	newest int64
}

type counts struct{ requests, retries int }

// advance drops the slices that have left the window and returns the newest one.
func (b *budget) advance(now time.Time, window time.Duration) *counts {
	newest := now.UnixNano() / int64(window/budgetSlices)
	if newest-b.newest >= budgetSlices {
		b.slices = [budgetSlices]counts{}
		b.newest = newest
	}
	for b.newest < newest {
		b.newest++
		b.slices[b.newest%budgetSlices] = counts{}
	}
	return &b.slices[b.newest%budgetSlices]
}

func (b *budget) addRequest(now time.Time, window time.Duration) { b.advance(now, window).requests++ }

func (b *budget) addRetry(now time.Time, window time.Duration) { b.advance(now, window).retries++ }

// withdrawRetry subtracts a retry that was not sent.
func (b *budget) withdrawRetry(now time.Time, window time.Duration) { b.advance(now, window).retries-- }

func (b *budget) sum() counts {
	var all counts
	for _, c := range b.slices {
		all.requests += c.requests
		all.retries += c.retries
	}
	return all
}

// budgetMargin is the part of the shared budget that is used. The rest stays unused because
// forwarders learn late how many they are, and because the window starts at a different
// moment in each of them.
const budgetMargin = 0.7

// mayRetry reports whether this forwarder's part of the retry budget that all forwarders
// share has room for one more retry.
//
// Without a shared limit, a fault that makes all sends fail multiplies the load by the
// number of attempts, and the servers stay overloaded after the fault has ended. The symptom
// is that servers receive more requests than callers send.
func (s *State) mayRetry(v *service, now time.Time) bool {
	v.budget.advance(now, s.config.RetryWindow)
	spent := v.budget.sum()
	return float64(spent.retries+1) <= s.allowedRetries(spent)
}

// allowedRetries is how many retries the window may hold in this forwarder.
func (s *State) allowedRetries(spent counts) float64 {
	return budgetMargin * (s.config.RetryShare*float64(spent.requests) + s.config.RetrySlack/float64(s.forwarders))
}

// BudgetStatus is the state of the retry budget of one service in this forwarder.
type BudgetStatus struct {
	Service string
	// Requests and Spent are the requests and the counted repeats of the window.
	Requests, Spent int
	// Allowed is how many repeats the window may hold in this forwarder.
	Allowed float64
	// Forwarders is the number of forwarders by which the slack is divided, ForwardersAge the time
	// since a control VM last reported one.
	Forwarders    int
	ForwardersAge time.Duration
}

// RetryBudget returns the state of the retry budget of a service.
func (s *State) RetryBudget(now time.Time, name string) BudgetStatus {
	status := BudgetStatus{Service: name, Forwarders: s.forwarders, ForwardersAge: now.Sub(s.forwardersAt)}
	if v := s.services[name]; v != nil {
		v.budget.advance(now, s.config.RetryWindow)
		spent := v.budget.sum()
		status.Requests, status.Spent = spent.requests, spent.retries
		status.Allowed = s.allowedRetries(spent)
	}
	return status
}

// RetryBudgets returns the state of the retry budget of each service, sorted by name.
func (s *State) RetryBudgets(now time.Time) []BudgetStatus {
	var all []BudgetStatus
	for name := range s.services {
		all = append(all, s.RetryBudget(now, name))
	}
	slices.SortFunc(all, func(a, b BudgetStatus) int { return strings.Compare(a.Service, b.Service) })
	return all
}
