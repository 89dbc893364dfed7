package role

import (
	"context"
	"time"

	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/reducer"
)

// Loop passes the events of one process to the reducer, one at a time, and performs
// the effects in order.
type Loop struct {
	// State holds the state of the reducers that the process runs.
	State *reducer.State
	// Perform performs an effect; it must not block.
	Perform func(reducer.Effect)
	// Ticks are the periodic events.
	Ticks []Tick

	events *mailbox.Mailbox[reducer.Event]
}

// Tick posts a periodic event to one reducer.
type Tick struct {
	// Every is the time between two events.
	Every time.Duration
	// Event returns the event for a time.
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

// shortestInterval returns the shortest interval of the ticks, at most one second.
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
		// The next event is due half the shortest interval early, as the ticks
		// of a time.Ticker are not evenly spaced.
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
