package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// class holds the waiting reservations of one urgency.
type class struct {
	shares map[string]float64
	lines  map[string]*line
	// active is a heap of the lines that hold reservations.
	active lineHeap
	// virtual is the virtual time of the last line served; a line that was
	// empty starts from it and gains nothing by having been away.
	virtual float64
	length  int
	cost    float64
}

// line holds the waiting reservations of one organisation.
type line struct {
	organisation string
	virtual      float64
	cost         float64
	waiting      []*reservation
	index        int
}

// idleLines is how many lines without reservations are kept with their
// virtual time.
const idleLines = 1024

func newClass(c Config) class {
	return class{shares: c.Shares, lines: map[string]*line{}}
}

func (c *class) first() *reservation {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].waiting[0]
}

// arrive readies an organisation's line for one more; after having been empty
// it starts from the present virtual time.
func (c *class) arrive(organisation string) {
	l := c.lines[organisation]
	if l == nil {
		c.forgetIdle()
		l = &line{organisation: organisation}
		c.lines[organisation] = l
	}
	if len(l.waiting) == 0 {
		l.virtual = max(l.virtual, c.virtual)
	}
}

func (c *class) add(r *reservation) {
	l := c.lines[r.reserve.Organisation]
	at, _ := slices.BinarySearchFunc(l.waiting, r, byAcceptance)
	l.waiting = slices.Insert(l.waiting, at, r)
	l.cost += r.cost
	c.cost += r.cost
	c.length++
	if len(l.waiting) == 1 {
		heap.Push(&c.active, l)
		return
	}
	heap.Fix(&c.active, l.index)
}

func (c *class) remove(r *reservation) {
	l := c.lines[r.reserve.Organisation]
	at, _ := slices.BinarySearchFunc(l.waiting, r, byAcceptance)
	l.waiting = slices.Delete(l.waiting, at, at+1)
	l.cost -= r.cost
	c.cost -= r.cost
	c.length--
	if len(l.waiting) > 0 {
		heap.Fix(&c.active, l.index)
		return
	}
	l.cost = 0
	heap.Remove(&c.active, l.index)
	if c.length == 0 {
		c.cost = 0
	}
}

// charge moves the virtual time of the reservation's organisation on by its
// cost over the organisation's share.
func (c *class) charge(r *reservation) {
	l := c.lines[r.reserve.Organisation]
	share := c.shares[l.organisation]
	if share <= 0 {
		share = 1
	}
	c.virtual = max(c.virtual, l.virtual)
	l.virtual += r.cost / share
	if len(l.waiting) > 0 {
		heap.Fix(&c.active, l.index)
	}
}

// oldest is the earliest acceptance among the waiting.
func (c *class) oldest() time.Time {
	var oldest time.Time
	for _, l := range c.active {
		at := l.waiting[0].acceptedAt
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// dearest is the largest cost among the first of each line; it bounds the
// credit of the aged.
func (c *class) dearest() float64 {
	dearest := 0.0
	for _, l := range c.active {
		dearest = max(dearest, l.waiting[0].cost)
	}
	return dearest
}

// longest returns the line in which most wait, or nil.
func (c *class) longest() *line {
	var longest *line
	for _, l := range c.active {
		if longest == nil || len(l.waiting) > len(longest.waiting) ||
			(len(l.waiting) == len(longest.waiting) && l.organisation < longest.organisation) {
			longest = l
		}
	}
	return longest
}

// last returns the reservation that was accepted last.
func (l *line) last() *reservation { return l.waiting[len(l.waiting)-1] }

// ahead counts those before r: with fair shares, as many of each other line
// as are before it in its own.
func (c *class) ahead(r *reservation) int {
	l := c.lines[r.reserve.Organisation]
	if l == nil {
		return 0
	}
	at, _ := slices.BinarySearchFunc(l.waiting, r, byAcceptance)
	return min(c.length-1, (at+1)*len(c.active)-1)
}

// costAhead sums the work before r in the same way.
func (c *class) costAhead(r *reservation) float64 {
	own := 0.0
	others := len(c.active)
	if l := c.lines[r.reserve.Organisation]; l != nil && len(l.waiting) > 0 {
		own = l.cost
		others--
	}
	return min(c.cost, own+float64(others)*(own+r.cost))
}

// forgetIdle drops the lines that are empty once there are many of them.
func (c *class) forgetIdle() {
	if len(c.lines)-len(c.active) < idleLines {
		return
	}
	for name, l := range c.lines {
		if len(l.waiting) == 0 {
			delete(c.lines, name)
		}
	}
}

func byAcceptance(a, b *reservation) int {
	if order := a.acceptedAt.Compare(b.acceptedAt); order != 0 {
		return order
	}
	return cmp.Compare(a.order, b.order)
}

// lineHeap orders lines by virtual time, then by acceptance of their first.
type lineHeap []*line

func (h lineHeap) Len() int { return len(h) }

func (h lineHeap) Less(i, j int) bool {
	if h[i].virtual != h[j].virtual {
		return h[i].virtual < h[j].virtual
	}
	return byAcceptance(h[i].waiting[0], h[j].waiting[0]) < 0
}

func (h lineHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index = i
	h[j].index = j
}

// Push implements heap.Interface.
func (h *lineHeap) Push(x any) {
	l := x.(*line)
	l.index = len(*h)
	*h = append(*h, l)
}

// Pop implements heap.Interface.
func (h *lineHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}
