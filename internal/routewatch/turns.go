package routewatch

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/pause"
)

const (
	// firstMost and turnMost are for how long an opening that gets no answer keeps the others
	// waiting: a control VM that is down must not keep a forwarder from those that are up. One
	// that has a session already can wait for longer, and a control VM that has many to open
	// answers late.
	firstMost = 100 * time.Millisecond
	turnMost  = 200 * time.Millisecond
	// restFactor is how many times as long as an opening took the next one is put off, at most
	// restMost: what a control VM acknowledges while a forwarder does not watch it, the
	// forwarder learns only from the others.
	restFactor = 4
	restMost   = 100 * time.Millisecond
	// gatherWithin is for how long, at random, openings are gathered before the first one, so
	// that forwarders begin with different control VMs and not all in one moment.
	gatherWithin = 20 * time.Millisecond
)

// turns has the sessions of one forwarder opened one after the other.
//
// After a loss of everything each forwarder opens a session with each control VM. At once, that
// is a handshake for each forwarder on every control VM in the same moment: with hundreds of
// them all its processor for a second, in which votes and heartbeats wait and leaders lose
// their office. One session suffices for a start.
type turns struct {
	mutex   sync.Mutex
	taken   bool
	waiting []*turn
}

// turn is an opening that waits.
type turn struct {
	weight uint64
	ready  chan struct{}
}

// take waits for the turn of an opening; those of a higher weight go first. False means that
// ctx ended.
func (t *turns) take(ctx context.Context, weight uint64) bool {
	mine := t.enter(weight)
	select {
	case <-mine.ready:
		return true
	case <-ctx.Done():
		t.leave(mine)
		return false
	}
}

// enter queues for the turn.
func (t *turns) enter(weight uint64) *turn {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	mine := &turn{weight: weight, ready: make(chan struct{})}
	t.waiting = append(t.waiting, mine)
	if !t.taken {
		t.taken = true
		time.AfterFunc(rand.N(gatherWithin), t.give)
	}
	return mine
}

// leave gives up a turn that was waited for.
func (t *turns) leave(mine *turn) {
	t.mutex.Lock()
	i := slices.Index(t.waiting, mine)
	if i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
	t.mutex.Unlock()
	if i < 0 {
		t.give() // it had come just then
	}
}

// give passes the turn on.
func (t *turns) give() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.waiting) == 0 {
		t.taken = false
		return
	}
	next := slices.MaxFunc(t.waiting, func(a, b *turn) int { return cmp.Compare(a.weight, b.weight) })
	t.waiting = slices.DeleteFunc(t.waiting, func(w *turn) bool { return w == next })
	close(next.ready)
}

// run opens something in its turn. The next one comes once it has answered and has had its
// rest, or has not answered for as long as most says then.
func (t *turns) run(ctx context.Context, weight uint64, most func() time.Duration, open func() error) error {
	if !t.take(ctx, weight) {
		return ctx.Err()
	}
	began := time.Now()
	var once sync.Once
	late := time.AfterFunc(most(), func() { once.Do(t.give) })
	err := open()
	if !late.Stop() {
		return err
	}
	rest := min(restMost, restFactor*time.Since(began))
	if err != nil {
		rest = 0
	}
	go once.Do(func() {
		pause.For(ctx, rest)
		t.give()
	})
	return err
}
