package gate

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// class holds the waiting reservations of one urgency.
type class struct {
	shares    map[string]float64
	orgQueues map[string]*orgQueue
	// active is a heap of the queues that hold reservations.
	active orgQueueHeap
	// virtualTime is the virtual time of the last queue served. A queue that
	// was empty starts from it, so that it gains nothing by having been empty.
	virtualTime float64
	length      int
	cost        float64
}

// orgQueue holds the waiting reservations of one organisation.
type orgQueue struct {
	organisation string
	virtualTime  float64
	cost         float64
	waiting      []*reservation
	heapIndex    int
}

// maxIdleQueues is how many empty queues are kept for their virtual time.
const maxIdleQueues = 1024

func newClass(c Config) class {
	return class{shares: c.Shares, orgQueues: map[string]*orgQueue{}}
}

func (c *class) first() *reservation {
	if len(c.active) == 0 {
		return nil
	}
	return c.active[0].waiting[0]
}

// prepare readies an organisation's queue for one more reservation. A queue
// that was empty starts no earlier than at the current virtual time.
func (c *class) prepare(organisation string) {
	oq := c.orgQueues[organisation]
	if oq == nil {
		c.removeIdle()
		oq = &orgQueue{organisation: organisation}
		c.orgQueues[organisation] = oq
	}
	if len(oq.waiting) == 0 {
		oq.virtualTime = max(oq.virtualTime, c.virtualTime)
	}
}

func (c *class) add(r *reservation) {
	oq := c.orgQueues[r.reserve.Organisation]
	at, _ := slices.BinarySearchFunc(oq.waiting, r, compareAcceptance)
	oq.waiting = slices.Insert(oq.waiting, at, r)
	oq.cost += r.cost
	c.cost += r.cost
	c.length++
	if len(oq.waiting) == 1 {
		heap.Push(&c.active, oq)
		return
	}
	heap.Fix(&c.active, oq.heapIndex)
}

func (c *class) remove(r *reservation) {
	oq := c.orgQueues[r.reserve.Organisation]
	at, _ := slices.BinarySearchFunc(oq.waiting, r, compareAcceptance)
	oq.waiting = slices.Delete(oq.waiting, at, at+1)
	oq.cost -= r.cost
	c.cost -= r.cost
	c.length--
	if len(oq.waiting) > 0 {
		heap.Fix(&c.active, oq.heapIndex)
		return
	}
	oq.cost = 0
	heap.Remove(&c.active, oq.heapIndex)
	if c.length == 0 {
		c.cost = 0
	}
}

// charge advances the virtual time of the reservation's organisation by the
// cost divided by the organisation's share.
func (c *class) charge(r *reservation) {
	oq := c.orgQueues[r.reserve.Organisation]
	share := c.shares[oq.organisation]
	if share <= 0 {
		share = 1
	}
	c.virtualTime = max(c.virtualTime, oq.virtualTime)
	oq.virtualTime += r.cost / share
	if len(oq.waiting) > 0 {
		heap.Fix(&c.active, oq.heapIndex)
	}
}

// oldest returns the earliest time of acceptance among the waiting
// reservations.
func (c *class) oldest() time.Time {
	var oldest time.Time
	for _, oq := range c.active {
		at := oq.waiting[0].acceptedAt
		if oldest.IsZero() || at.Before(oldest) {
			oldest = at
		}
	}
	return oldest
}

// maxHeadCost returns the largest cost among the first reservations of all
// queues. It bounds the credit of aged reservations.
func (c *class) maxHeadCost() float64 {
	maxCost := 0.0
	for _, oq := range c.active {
		maxCost = max(maxCost, oq.waiting[0].cost)
	}
	return maxCost
}

// longest returns the queue that holds most reservations, or nil.
func (c *class) longest() *orgQueue {
	var longest *orgQueue
	for _, oq := range c.active {
		if longest == nil || len(oq.waiting) > len(longest.waiting) ||
			(len(oq.waiting) == len(longest.waiting) && oq.organisation < longest.organisation) {
			longest = oq
		}
	}
	return longest
}

// last returns the reservation that was accepted last.
func (oq *orgQueue) last() *reservation { return oq.waiting[len(oq.waiting)-1] }

// countAhead estimates how many reservations are served before r. With fair
// shares, each other queue has as many served before r as r's own queue has.
func (c *class) countAhead(r *reservation) int {
	oq := c.orgQueues[r.reserve.Organisation]
	if oq == nil {
		return 0
	}
	at, _ := slices.BinarySearchFunc(oq.waiting, r, compareAcceptance)
	return min(c.length-1, (at+1)*len(c.active)-1)
}

// costAhead sums the cost of the work before r in the same way.
func (c *class) costAhead(r *reservation) float64 {
	own := 0.0
	others := len(c.active)
	if oq := c.orgQueues[r.reserve.Organisation]; oq != nil && len(oq.waiting) > 0 {
		own = oq.cost
		others--
	}
	return min(c.cost, own+float64(others)*(own+r.cost))
}

// removeIdle removes the empty queues once there are many of them.
func (c *class) removeIdle() {
	if len(c.orgQueues)-len(c.active) < maxIdleQueues {
		return
	}
	for name, oq := range c.orgQueues {
		if len(oq.waiting) == 0 {
			delete(c.orgQueues, name)
		}
	}
}

func compareAcceptance(a, b *reservation) int {
	if order := a.acceptedAt.Compare(b.acceptedAt); order != 0 {
		return order
	}
	return cmp.Compare(a.sequence, b.sequence)
}

// orgQueueHeap orders queues by virtual time, then by the acceptance of their
// first reservation.
type orgQueueHeap []*orgQueue

func (h orgQueueHeap) Len() int { return len(h) }

func (h orgQueueHeap) Less(i, j int) bool {
	if h[i].virtualTime != h[j].virtualTime {
		return h[i].virtualTime < h[j].virtualTime
	}
	return compareAcceptance(h[i].waiting[0], h[j].waiting[0]) < 0
}

func (h orgQueueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex = i
	h[j].heapIndex = j
}

// Push implements heap.Interface.
func (h *orgQueueHeap) Push(x any) {
	oq := x.(*orgQueue)
	oq.heapIndex = len(*h)
	*h = append(*h, oq)
}

// Pop implements heap.Interface.
func (h *orgQueueHeap) Pop() any {
	last := len(*h) - 1
	oq := (*h)[last]
	*h = (*h)[:last]
	return oq
}
