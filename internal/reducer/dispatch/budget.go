package dispatch

import "time"

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
	allowed := s.config.RetryShare*float64(spent.requests) + s.config.RetrySlack/float64(s.forwarders)
	return float64(spent.retries+1) <= budgetMargin*allowed
}
