package role

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/reducer"
)

// Loop feeds the events of one process to the reducer, one at a time, and has
// the effects carried out in order.
type Loop struct {
	// State holds the parts that the process runs.
	State *reducer.State
	// Perform carries an effect out; it must not block.
	Perform func(reducer.Effect)
	// Ticks are the events that pass time.
	Ticks []Tick

	events *mailbox.Mailbox[reducer.Event]
}

// Tick passes time to one part.
type Tick struct {
	// Every is the time between two events.
	Every time.Duration
	// Event makes the event.
	Event func(at time.Time) reducer.Event

	due time.Time
}

// NewLoop returns a loop that is ready for Post; Run starts it.
func NewLoop(s *reducer.State, perform func(reducer.Effect), ticks ...Tick) *Loop {
	return &Loop{
		State:   s,
		Perform: perform,
		Ticks:   ticks,
		events:  mailbox.New[reducer.Event](),
	}
}

// Post queues an event; it never blocks and may be called from Perform.
func (l *Loop) Post(e reducer.Event) {
	l.events.Put(e)
}

// Waiting returns the number of events not yet reduced.
func (l *Loop) Waiting() int {
	return l.events.Len()
}

// Run reduces events until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(l.shortestInterval())
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.events.Wait():
			l.drain()
		case at := <-ticker.C:
			l.drain()
			l.tick(at)
		}
	}
}

// shortest is the time between the ticks of the part that needs most.
func (l *Loop) shortestInterval() time.Duration {
	shortest := time.Second
	for _, t := range l.Ticks {
		shortest = min(shortest, t.Every)
	}
	return shortest
}

func (l *Loop) tick(at time.Time) {
	for i := range l.Ticks {
		t := &l.Ticks[i]
		if at.Before(t.due) {
			continue
		}
		// A little early, for a ticker's ticks are not evenly spaced.
		t.due = at.Add(t.Every - l.shortestInterval()/2)
		l.reduce(t.Event(at))
	}
}

func (l *Loop) drain() {
	for _, e := range l.events.Take() {
		l.reduce(e)
	}
}

func (l *Loop) reduce(e reducer.Event) {
	for _, effect := range reducer.Reduce(l.State, e) {
		l.Perform(effect)
	}
}
