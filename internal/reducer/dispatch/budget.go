package dispatch

import "time"

// budgetSlices is into how many parts the window of a budget is cut; the oldest
// part is dropped as a whole.
const budgetSlices = 20

// budget counts requests and repeats of one service in a sliding window.
type budget struct {
	slices [budgetSlices]counts
	// at is the number of the newest slice since the zero time.
	at int64
}

type counts struct{ requests, repeats int }

// advance drops the slices that have left the window.
func (b *budget) advance(now time.Time, window time.Duration) *counts {
	at := now.UnixNano() / int64(window/budgetSlices)
	if at-b.at >= budgetSlices {
		b.slices = [budgetSlices]counts{}
		b.at = at
	}
	for b.at < at {
		b.at++
		b.slices[b.at%budgetSlices] = counts{}
	}
	return &b.slices[b.at%budgetSlices]
}

func (b *budget) request(now time.Time, window time.Duration) { b.advance(now, window).requests++ }
func (b *budget) repeat(now time.Time, window time.Duration)  { b.advance(now, window).repeats++ }

// withdraw takes back a repeat that was not sent.
func (b *budget) withdraw(now time.Time, window time.Duration) { b.advance(now, window).repeats-- }

func (b *budget) sum() counts {
	var all counts
	for _, c := range b.slices {
		all.requests += c.requests
		all.repeats += c.repeats
	}
	return all
}

// budgetMargin keeps a part of the shared budget unused: forwarders learn late how
// many they are, and a window counts from another moment at each of them.
const budgetMargin = 0.7

// mayRepeat reports whether this forwarder's part of the retry budget that all
// forwarders share has room for one more sending.
//
// Without a bound that is shared, a fault which makes all sendings fail
// multiplies the load by the number of tries, and the servers stay down after
// the fault is gone; one would notice more arrivals at servers than requests.
func (s *State) mayRepeat(v *service, now time.Time) bool {
	v.budget.advance(now, s.config.RetryWindow)
	spent := v.budget.sum()
	allowed := s.config.RetryShare*float64(spent.requests) + s.config.RetrySlack/float64(s.forwarders)
	return float64(spent.repeats+1) <= budgetMargin*allowed
}
