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
	// firstOpenLimit and openLimit are how long an opening without an answer delays the next one: a
	// control VM that is down must not keep a forwarder from those that are up. firstOpenLimit
	// applies while the forwarder has no session. Otherwise it can wait for longer, since a
	// control VM with many sessions to open answers late.
	firstOpenLimit = 100 * time.Millisecond
	openLimit      = 200 * time.Millisecond
	// openDelayFactor times the duration of an opening, but at most maxOpenDelay, is the delay before
	// the next opening. The delay is bounded because a forwarder that does not watch a control VM
	// yet receives the changes that this control VM acknowledges only from the other control VMs.
	openDelayFactor = 4
	maxOpenDelay    = 100 * time.Millisecond
	// maxStartJitter bounds the random delay before the first opening. Meanwhile openings are
	// queued, so that forwarders begin with different control VMs and at different moments.
	maxStartJitter = 20 * time.Millisecond
)

// openQueue opens the sessions of one forwarder one after the other.
//
// After a crash of the whole system each forwarder opens a session with each control VM. If
// all were opened together, every control VM would carry out one handshake per forwarder at the
// same moment. With hundreds of forwarders that takes its whole processor for a second, in
// which votes and heartbeats wait and leaders lose their leadership. A forwarder needs only one
// session to start.
type openQueue struct {
	mutex   sync.Mutex
	busy    bool
	waiting []*queuedOpen
}

// queuedOpen is one opening that waits in the queue.
type queuedOpen struct {
	weight uint64
	ready  chan struct{}
}

// acquire waits until an opening may begin; openings of a higher weight go first. It returns
// false if ctx ended.
func (t *openQueue) acquire(ctx context.Context, weight uint64) bool {
	o := t.enqueue(weight)
	select {
	case <-o.ready:
		return true
	case <-ctx.Done():
		t.cancel(o)
		return false
	}
}

// enqueue adds an opening to the queue.
func (t *openQueue) enqueue(weight uint64) *queuedOpen {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	o := &queuedOpen{weight: weight, ready: make(chan struct{})}
	t.waiting = append(t.waiting, o)
	if !t.busy {
		t.busy = true
		time.AfterFunc(rand.N(maxStartJitter), t.release)
	}
	return o
}

// cancel removes an opening from the queue.
func (t *openQueue) cancel(o *queuedOpen) {
	t.mutex.Lock()
	i := slices.Index(t.waiting, o)
	if i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
	t.mutex.Unlock()
	if i < 0 {
		t.release() // the opening was chosen just before it was cancelled
	}
}

// release lets the waiting opening of the highest weight begin.
func (t *openQueue) release() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if len(t.waiting) == 0 {
		t.busy = false
		return
	}
	next := slices.MaxFunc(t.waiting, func(a, b *queuedOpen) int { return cmp.Compare(a.weight, b.weight) })
	t.waiting = slices.DeleteFunc(t.waiting, func(w *queuedOpen) bool { return w == next })
	close(next.ready)
}

// run calls open once the queue lets it begin. After a successful open the next opening begins
// openDelayFactor times its duration later, at most maxOpenDelay; after an error it begins
// immediately. If open takes longer than limit returned when it began, the next opening does
// not wait for it.
func (t *openQueue) run(ctx context.Context, weight uint64, limit func() time.Duration, open func() error) error {
	if !t.acquire(ctx, weight) {
		return ctx.Err()
	}
	began := time.Now()
	var once sync.Once
	late := time.AfterFunc(limit(), func() { once.Do(t.release) })
	err := open()
	if !late.Stop() {
		return err
	}
	delay := min(maxOpenDelay, openDelayFactor*time.Since(began))
	if err != nil {
		delay = 0
	}
	go once.Do(func() {
		pause.For(ctx, delay)
		t.release()
	})
	return err
}
