package experiment

import (
	"time"
)

// links carries KV transfers. Each server's link is shared evenly by what it
// sends or receives, and a transfer goes at the lower of its two shares.
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
	users := map[*node]int{}
	for _, t := range l.active {
		users[t.from]++
		users[t.to]++
	}
	first := -1.0
	for _, t := range l.active {
		t.rate = l.rate / float64(max(users[t.from], users[t.to]))
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
