package experiment

import (
	"time"
)

// links simulates the KV transfers between servers. The transfers that a server
// sends or receives share its link evenly. Bandwidth that a transfer can't use,
// because the link at its other end is slower, goes to the others (max-min
// fairness).
type links struct {
	clock  *clock
	rate   float64
	active []*transfer
	// version increases with every change of the rates. A timer that was set for an
	// earlier version does nothing.
	version int
	updated time.Time
}

// transfer is one KV transfer, with the remaining bytes and its present rate.
type transfer struct {
	from, to  *node
	remaining float64
	rate      float64
	done      func()
}

// start begins a transfer.
func (l *links) start(t *transfer) {
	l.advance()
	l.active = append(l.active, t)
	l.reallocate()
}

// stop aborts a transfer; it does nothing if the transfer has ended.
func (l *links) stop(t *transfer) {
	for i, other := range l.active {
		if other == t {
			l.advance()
			l.active = append(l.active[:i], l.active[i+1:]...)
			l.reallocate()
			return
		}
	}
}

// advance updates the remaining bytes of every transfer to the present time.
func (l *links) advance() {
	passed := l.clock.now.Sub(l.updated).Seconds()
	for _, t := range l.active {
		t.remaining -= t.rate * passed
	}
	l.updated = l.clock.now
}

// reallocate recomputes the rates and sets a timer for the first transfer to complete.
func (l *links) reallocate() {
	l.allocateRates()
	first := -1.0
	for _, t := range l.active {
		if end := t.remaining / t.rate; first < 0 || end < first {
			first = end
		}
	}
	l.version++
	if first < 0 {
		return
	}
	version := l.version
	wait := time.Duration(max(first, 0)*float64(time.Second)) + 1
	l.clock.after(wait, func() {
		if l.version == version {
			l.completeFinished()
		}
	})
}

// allocateRates sets the rate of every transfer by progressive filling: it fixes the
// rates on the link with the smallest share per transfer first, and divides the
// remaining bandwidth among the other transfers.
func (l *links) allocateRates() {
	left, users := map[*node]float64{}, map[*node]int{}
	for _, t := range l.active {
		t.rate = 0
		for _, n := range []*node{t.from, t.to} {
			left[n] = l.rate
			users[n]++
		}
	}
	for open := len(l.active); open > 0; {
		var bottleneck *node
		for _, t := range l.active {
			for _, n := range []*node{t.from, t.to} {
				if t.rate == 0 && (bottleneck == nil || left[n]/float64(users[n]) < left[bottleneck]/float64(users[bottleneck])) {
					bottleneck = n
				}
			}
		}
		share := left[bottleneck] / float64(users[bottleneck])
		for _, t := range l.active {
			if t.rate == 0 && (t.from == bottleneck || t.to == bottleneck) {
				t.rate = share
				left[t.from] -= share
				left[t.to] -= share
				users[t.from]--
				users[t.to]--
				open--
			}
		}
	}
}

// completeFinished completes the transfers that have at most one byte left, which
// allows for rounding.
func (l *links) completeFinished() {
	l.advance()
	var unfinished, done []*transfer
	for _, t := range l.active {
		if t.remaining <= 1 {
			done = append(done, t)
		} else {
			unfinished = append(unfinished, t)
		}
	}
	l.active = unfinished
	l.reallocate()
	for _, t := range done {
		t.done()
	}
}
