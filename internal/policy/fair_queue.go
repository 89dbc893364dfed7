package policy

import "container/heap"

// maxUrgentRun is the number of urgent items that Pop may return in a row while a
// patient item waits. Patient work thus gets at least one of eight turns.
const maxUrgentRun = 7

// FairQueue orders waiting items: urgent before patient, then fairly between
// organisations by their shares, then in order of arrival. Push and Pop take
// logarithmic time in the number of waiting organisations at most. Remove scans the
// items of one organisation, and all flows if that organisation has no items left.
type FairQueue[T comparable] struct {
	urgent  urgencyClass[T]
	patient urgencyClass[T]
	// urgentRun counts the urgent items returned since the last patient one.
	urgentRun int
}

// urgencyClass holds the items of one urgency.
type urgencyClass[T comparable] struct {
	flows    map[string]*flow[T]
	heap     flows[T]
	lastPass float64
	count    int
}

// flow holds the items of one organisation. Its pass grows by 1/share with each
// item that is popped, and the flow with the lowest pass is next (stride scheduling).
type flow[T comparable] struct {
	name  string
	items []T
	share float64
	pass  float64
}

type flows[T comparable] []*flow[T]

func (f flows[T]) Len() int { return len(f) }

func (f flows[T]) Less(i, j int) bool {
	if f[i].pass == f[j].pass {
		return f[i].name < f[j].name
	}
	return f[i].pass < f[j].pass
}

func (f flows[T]) Swap(i, j int) { f[i], f[j] = f[j], f[i] }

// Push implements heap.Interface.
func (f *flows[T]) Push(x any) { *f = append(*f, x.(*flow[T])) }

// Pop implements heap.Interface.
func (f *flows[T]) Pop() any {
	last := len(*f) - 1
	popped := (*f)[last]
	(*f)[last] = nil
	*f = (*f)[:last]
	return popped
}

// Len returns the number of waiting items.
func (q *FairQueue[T]) Len() int { return q.urgent.count + q.patient.count }

// Push adds an item of an organisation. The share must be above zero.
func (q *FairQueue[T]) Push(urgent bool, organisation string, share float64, item T) {
	q.class(urgent).push(organisation, share, item)
}

// Pop removes and returns the next item, if there is one.
func (q *FairQueue[T]) Pop() (T, bool) {
	if q.urgent.count > 0 && (q.patient.count == 0 || q.urgentRun < maxUrgentRun) {
		q.urgentRun++
		return q.urgent.pop()
	}
	q.urgentRun = 0
	return q.patient.pop()
}

// PopUrgent removes and returns the next urgent item, if there is one.
func (q *FairQueue[T]) PopUrgent() (T, bool) { return q.urgent.pop() }

// Remove removes an item from any position and reports whether it was queued.
func (q *FairQueue[T]) Remove(urgent bool, organisation string, item T) bool {
	return q.class(urgent).remove(organisation, item)
}

func (q *FairQueue[T]) class(urgent bool) *urgencyClass[T] {
	if urgent {
		return &q.urgent
	}
	return &q.patient
}

func (c *urgencyClass[T]) push(organisation string, share float64, item T) {
	f := c.flows[organisation]
	if f == nil {
		if c.flows == nil {
			c.flows = map[string]*flow[T]{}
		}
		// An organisation that had no items starts at the pass of the last popped
		// flow, so that it accumulates no turns while it is idle.
		f = &flow[T]{name: organisation, pass: c.lastPass}
		c.flows[organisation] = f
		heap.Push(&c.heap, f)
	}
	f.share = share
	f.items = append(f.items, item)
	c.count++
}

func (c *urgencyClass[T]) pop() (T, bool) {
	var zero T
	if c.count == 0 {
		return zero, false
	}
	f := c.heap[0]
	item := f.items[0]
	f.items[0] = zero
	f.items = f.items[1:]
	c.count--
	c.lastPass = f.pass
	f.pass += 1 / f.share
	if len(f.items) == 0 {
		heap.Pop(&c.heap)
		delete(c.flows, f.name)
	} else {
		heap.Fix(&c.heap, 0)
	}
	return item, true
}

func (c *urgencyClass[T]) remove(organisation string, item T) bool {
	f := c.flows[organisation]
	if f == nil {
		return false
	}
	for i, held := range f.items {
		if held == item {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			c.count--
			c.dropEmpty(f)
			return true
		}
	}
	return false
}

func (c *urgencyClass[T]) dropEmpty(f *flow[T]) {
	if len(f.items) > 0 {
		return
	}
	delete(c.flows, f.name)
	for i, held := range c.heap {
		if held == f {
			heap.Remove(&c.heap, i)
			return
		}
	}
}
