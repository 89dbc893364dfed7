package fleet

import (
	"container/heap"
	"time"
)

// clock runs functions in the order of their virtual times.
type clock struct {
	now   time.Time
	seq   uint64
	queue jobs
}

type job struct {
	at  time.Time
	seq uint64
	run func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }

func (j jobs) Less(a, b int) bool {
	if j[a].at.Equal(j[b].at) {
		return j[a].seq < j[b].seq
	}
	return j[a].at.Before(j[b].at)
}

func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }

// Push implements heap.Interface.
func (j *jobs) Push(x any) { *j = append(*j, x.(job)) }

// Pop implements heap.Interface.
func (j *jobs) Pop() any {
	last := len(*j) - 1
	popped := (*j)[last]
	(*j)[last] = job{}
	*j = (*j)[:last]
	return popped
}

func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, job{at: c.now.Add(d), seq: c.seq, run: run})
}

// every runs a function periodically.
func (c *clock) every(d time.Duration, run func()) {
	c.after(d, func() {
		run()
		c.every(d, run)
	})
}

func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		next := heap.Pop(&c.queue).(job)
		c.now = next.at
		next.run()
	}
	c.now = end
}
