package fleet

import (
	"slices"
	"time"
)

// simLink divides its rate evenly among its transfers.
type simLink struct {
	engine    *simEngine
	transfers []*simTransfer
	version   int
	updated   time.Time
}

type simTransfer struct {
	left    float64 // bytes
	stalled bool
	done    func()
}

// add starts a transfer; done is called when it has ended.
func (l *simLink) add(t *simTransfer) {
	l.update()
	l.transfers = append(l.transfers, t)
	l.plan()
}

// remove ends a transfer early.
func (l *simLink) remove(t *simTransfer) {
	l.update()
	if i := slices.Index(l.transfers, t); i >= 0 {
		l.transfers = slices.Delete(l.transfers, i, i+1)
	}
	l.plan()
}

func (l *simLink) update() {
	now := l.engine.fleet().now
	if moving := l.moving(); moving > 0 {
		each := now.Sub(l.updated).Seconds() * linkRate / float64(moving)
		for _, t := range l.transfers {
			if !t.stalled {
				t.left -= each
			}
		}
	}
	l.updated = now
}

func (l *simLink) moving() int {
	n := 0
	for _, t := range l.transfers {
		if !t.stalled {
			n++
		}
	}
	return n
}

// plan schedules the end of the transfer that ends next.
func (l *simLink) plan() {
	l.version++
	var next *simTransfer
	for _, t := range l.transfers {
		if !t.stalled && (next == nil || t.left < next.left) {
			next = t
		}
	}
	if next == nil {
		return
	}
	version, epoch := l.version, l.engine.gate.epoch
	takes := seconds(max(0, next.left) * float64(l.moving()) / linkRate)
	l.engine.fleet().after(takes, func() {
		if version == l.version && epoch == l.engine.gate.epoch {
			l.remove(next)
			next.done()
		}
	})
}
