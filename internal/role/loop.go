package role

import (
	"context"
	"time"
)

// Loop feeds the events of one role to its reducer, one at a time, and has
// the effects carried out in order.
type Loop[Event, Effect any] struct {
	// Reduce moves the state on.
	Reduce func(Event) []Effect
	// Perform carries an effect out; it must not block.
	Perform func(Effect)
	// Tick makes the event that passes time; it may be nil.
	Tick func(at time.Time) Event
	// TickEvery is the time between ticks; zero means 50ms.
	TickEvery time.Duration

	events *Mailbox[Event]
	done   chan struct{}
}

const defaultTickEvery = 50 * time.Millisecond

// Prepare makes the loop ready for Post; it must be called before Run.
func (l *Loop[Event, Effect]) Prepare() {
	l.events = NewMailbox[Event]()
	l.done = make(chan struct{})
	if l.TickEvery == 0 {
		l.TickEvery = defaultTickEvery
	}
}

// Post queues an event; it never blocks and may be called from Perform.
func (l *Loop[Event, Effect]) Post(e Event) {
	l.events.Put(e)
}

// Waiting returns the number of events not yet reduced.
func (l *Loop[Event, Effect]) Waiting() int {
	return l.events.Len()
}

// Done is closed once Run returned; later events are not reduced.
func (l *Loop[Event, Effect]) Done() <-chan struct{} {
	return l.done
}

// Run reduces events until ctx ends.
func (l *Loop[Event, Effect]) Run(ctx context.Context) {
	defer close(l.done)
	ticker := time.NewTicker(l.TickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.events.Wait():
			l.drain()
		case at := <-ticker.C:
			l.drain()
			if l.Tick != nil {
				l.step(l.Tick(at))
			}
		}
	}
}

func (l *Loop[Event, Effect]) drain() {
	for _, e := range l.events.Take() {
		l.step(e)
	}
}

func (l *Loop[Event, Effect]) step(e Event) {
	for _, effect := range l.Reduce(e) {
		l.Perform(effect)
	}
}
