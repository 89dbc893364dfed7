package experiment

import (
	"time"
)

// links carries KV transfers. Each server's link is shared evenly by what it
// sends or receives; what a transfer can't use because its other end is slower
// goes to the others (max-min fairness).
type links struct {
	clock  *clock
	rate   float64
	active []*transfer
	// version tells the wake-up that counts from those that were set earlier.
	version int
	updated time.Time
}

type transfer struct {
	from, to *node
	left     float64
	rate     float64
	done     func()
}

func (l *links) start(t *transfer) {
	l.settle()
	l.active = append(l.active, t)
	l.share()
}

// stop breaks a transfer off; one that ended is left alone.
func (l *links) stop(t *transfer) {
	for i, other := range l.active {
		if other == t {
			l.settle()
			l.active = append(l.active[:i], l.active[i+1:]...)
			l.share()
			return
		}
	}
}

// settle moves every transfer on to now.
func (l *links) settle() {
	passed := l.clock.now.Sub(l.updated).Seconds()
	for _, t := range l.active {
		t.left -= t.rate * passed
	}
	l.updated = l.clock.now
}

// share sets the rates anew and wakes at the first end.
func (l *links) share() {
	l.fill()
	first := -1.0
	for _, t := range l.active {
		if end := t.left / t.rate; first < 0 || end < first {
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
			l.finish()
		}
	})
}

// fill gives every transfer its rate: the links that leave the smallest share
// first, and what remains to the others.
func (l *links) fill() {
	left, users := map[*node]float64{}, map[*node]int{}
	for _, t := range l.active {
		t.rate = 0
		for _, n := range []*node{t.from, t.to} {
			left[n] = l.rate
			users[n]++
		}
	}
	for open := len(l.active); open > 0; {
		var tight *node
		for _, t := range l.active {
			for _, n := range []*node{t.from, t.to} {
				if t.rate == 0 && (tight == nil || left[n]/float64(users[n]) < left[tight]/float64(users[tight])) {
					tight = n
				}
			}
		}
		share := left[tight] / float64(users[tight])
		for _, t := range l.active {
			if t.rate == 0 && (t.from == tight || t.to == tight) {
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

// finish ends the transfers that have nothing left.
func (l *links) finish() {
	l.settle()
	var left, done []*transfer
	for _, t := range l.active {
		if t.left <= 1 {
			done = append(done, t)
		} else {
			left = append(left, t)
		}
	}
	l.active = left
	l.share()
	for _, t := range done {
		t.done()
	}
}
