package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/oriolebend/oriolebend/pkg/oriolebend"
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

// budget counts the requests and repeats of one service in a sliding window.
type budget struct {
	slices [budgetSlices]counts
	// newest is the number of the newest slice, counted from the Unix epoch.
	newest int64
}

// counts are the requests and repeats of a slice. rejectedPrompts are those of the repeats that were
// prompts, rejected by prefill engines.
type counts struct{ requests, repeats, rejectedPrompts int }

// advance drops the slices that have left the window and returns the newest one.
func (b *budget) advance(now time.Time, window time.Duration) *counts {
	newest := sliceOf(now, window)
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

// sliceOf returns the number of the slice of a moment, counted from the Unix epoch.
func sliceOf(at time.Time, window time.Duration) int64 {
	return at.UnixNano() / int64(window/budgetSlices)
}

// withdraw subtracts a repeat that was counted earlier and did not reach a server. It is subtracted
// from the slice that counted it: once that slice has left the window, there is nothing to subtract.
func (b *budget) withdraw(now, counted time.Time, window time.Duration) {
	b.advance(now, window)
	if slice := sliceOf(counted, window); b.newest-slice < budgetSlices {
		b.slices[slice%budgetSlices].repeats--
	}
}

// sum returns the counts of the window that ends now.
func (b *budget) sum(now time.Time, window time.Duration) counts {
	b.advance(now, window)
	var all counts
	for _, c := range b.slices {
		all.requests += c.requests
		all.repeats += c.repeats
		all.rejectedPrompts += c.rejectedPrompts
	}
	return all
}

// budgetMargin is the part of the shared budget that is used. The rest stays unused because
// forwarders learn late how many they are, and because the window starts at a different
// moment in each of them.
const budgetMargin = 0.7

// countRequest counts a request of a caller.
func (s *State) countRequest(e RequestCounted) {
	if v := s.services[e.Service]; v != nil {
		v.budget.advance(e.At, s.config.RetryWindow).requests++
	}
}

// requestRepeat counts one more arrival of a request, if this forwarder's part of the retry budget
// that all forwarders share has room for it.
//
// Without a shared limit, a fault that makes all sends fail multiplies the load by the
// number of attempts, and the servers stay overloaded after the fault has ended. The symptom
// is that servers receive more requests than callers send.
func (s *State) requestRepeat(at time.Time, name string) Effect {
	v := s.services[name]
	if v == nil {
		return Refused{Reason: oriolebend.ReasonUnknownService, RetryAfter: retryUnknown}
	}
	if !s.hasRoom(v, at) {
		return Refused{Reason: oriolebend.ReasonRetryBudget, RetryAfter: retryBudget}
	}
	v.budget.advance(at, s.config.RetryWindow).repeats++
	return Granted{}
}

// hasRoom reports whether this forwarder's part of the retry budget has room for one more repeat.
func (s *State) hasRoom(v *service, at time.Time) bool {
	spent := v.budget.sum(at, s.config.RetryWindow)
	return float64(spent.repeats+1) <= s.allowedRepeats(at, spent)
}

// requestPrompt decides whether a prompt may be sent to a prefill engine, which may reject it. A
// rejected prompt is one more arrival, and whether it is rejected shows afterwards.
//
// While the budget is spent, no prompt is sent if prefill engines have rejected others: decode
// engines then read the prompts themselves. A budget that was spent in another way does not
// stop prompts, since those that engines accept cost nothing.
func (s *State) requestPrompt(e PromptRequested) Effect {
	v := s.services[e.Service]
	if v != nil && !s.hasRoom(v, e.At) && v.budget.sum(e.At, s.config.RetryWindow).rejectedPrompts > 0 {
		return Refused{Reason: oriolebend.ReasonRetryBudget, RetryAfter: retryBudget}
	}
	return Granted{}
}

// countRejectedPrompt counts a prompt that a prefill engine rejected.
func (s *State) countRejectedPrompt(e PromptRejected) {
	if v := s.services[e.Service]; v != nil {
		newest := v.budget.advance(e.At, s.config.RetryWindow)
		newest.repeats++
		newest.rejectedPrompts++
	}
}

// withdrawRepeat subtracts a repeat that did not reach a server.
func (s *State) withdrawRepeat(e RepeatWithdrawn) {
	if v := s.services[e.Service]; v != nil {
		v.budget.withdraw(e.At, e.Counted, s.config.RetryWindow)
	}
}

// assumedForwarders is the number of forwarders assumed until a control VM reports it.
const assumedForwarders = 32

// sharers returns the number of forwarders that share the slack.
//
// It is the highest of the reported numbers: a control VM that has started a moment ago, or that is
// partitioned from others, knows only a part of the forwarders. If each took the last number,
// hundreds of forwarders could divide the slack by one.
func (s *State) sharers(at time.Time) int {
	return cmp.Or(s.forwarders.Highest(at), assumedForwarders)
}

// slackPart is this forwarder's part of the slack. In the first window of the process it has none: an
// earlier process of this forwarder may have used it.
func (s *State) slackPart(at time.Time) float64 {
	if at.Sub(s.config.Started) < s.config.RetryWindow {
		return 0
	}
	return s.config.RetrySlack / float64(s.sharers(at))
}

// allowedRepeats is how many repeats the window may hold in this forwarder.
func (s *State) allowedRepeats(at time.Time, spent counts) float64 {
	return budgetMargin * (s.config.RetryShare*float64(spent.requests) + s.slackPart(at))
}

// BudgetStatus is the state of the retry budget of one service in this forwarder.
type BudgetStatus struct {
	Service string
	// Requests and Spent are the requests and the counted repeats of the window.
	Requests, Spent int
	// Allowed is how many repeats the window may hold in this forwarder.
	Allowed float64
	// Forwarders is the number of forwarders by which the slack is divided, ForwardersAge the time
	// since a control VM last reported one, negative if none did.
	Forwarders    int
	ForwardersAge time.Duration
}

// RetryBudget returns the state of the retry budget of a service.
func (s *State) RetryBudget(now time.Time, name string) BudgetStatus {
	status := BudgetStatus{Service: name, Forwarders: s.sharers(now), ForwardersAge: -time.Second}
	if reported := s.forwarders.LastReport(); !reported.IsZero() {
		status.ForwardersAge = now.Sub(reported)
	}
	if v := s.services[name]; v != nil {
		spent := v.budget.sum(now, s.config.RetryWindow)
		status.Requests, status.Spent = spent.requests, spent.repeats
		status.Allowed = s.allowedRepeats(now, spent)
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
