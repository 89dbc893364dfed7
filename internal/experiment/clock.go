package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in virtual time. Events of the same time run in the order in
// which they were scheduled, so that messages between the same two processes keep
// their order.
type clock struct {
	now    time.Time
	seq    uint64
	events events
}

type event struct {
	at  time.Time
	seq uint64
	run func()
}

// after schedules a function to run after a delay; a negative delay counts as zero.
func (c *clock) after(wait time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now.Add(max(wait, 0)), seq: c.seq, run: run})
}

// runUntil runs every event that is due before end and advances the clock to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && c.events[0].at.Before(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at.Equal(e[j].at) {
		return e[i].seq < e[j].seq
	}
	return e[i].at.Before(e[j].at)
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := len(*e) - 1
	popped := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return popped
}
