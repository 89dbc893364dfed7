package policy

import "container/heap"

// urgentRun is how many urgent items may pass before a waiting patient one
// goes: patient work always advances, at an eighth of the turns at least.
const urgentRun = 7

// FairQueue orders waiting items: urgent before patient, then fair between
// organisations by their shares, then in the order of coming. Each operation
// costs the logarithm of the number of waiting organisations at most.
type FairQueue[T comparable] struct {
	urgent  class[T]
	patient class[T]
	// run counts urgent items since the last patient one.
	run int
}

// class holds the items of one urgency.
type class[T comparable] struct {
	flows  map[string]*flow[T]
	heap   flows[T]
	passed float64
	length int
}

// flow is one organisation's items. Its pass grows by one over its share with
// each item taken: the lowest pass goes next (stride scheduling).
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

// Len is the number of waiting items.
func (q *FairQueue[T]) Len() int { return q.urgent.length + q.patient.length }

// Push adds an item of an organisation with a share above zero.
func (q *FairQueue[T]) Push(urgent bool, organisation string, share float64, item T) {
	q.class(urgent).push(organisation, share, item)
}

// Pop takes the next item.
func (q *FairQueue[T]) Pop() (T, bool) {
	if q.urgent.length > 0 && (q.patient.length == 0 || q.run < urgentRun) {
		q.run++
		return q.urgent.pop()
	}
	q.run = 0
	return q.patient.pop()
}

// PopUrgent takes the next urgent item, if there is one.
func (q *FairQueue[T]) PopUrgent() (T, bool) { return q.urgent.pop() }

// Remove takes an item out of the middle; it reports whether it was there.
func (q *FairQueue[T]) Remove(urgent bool, organisation string, item T) bool {
	return q.class(urgent).remove(organisation, item)
}

func (q *FairQueue[T]) class(urgent bool) *class[T] {
	if urgent {
		return &q.urgent
	}
	return &q.patient
}

func (c *class[T]) push(organisation string, share float64, item T) {
	f := c.flows[organisation]
	if f == nil {
		if c.flows == nil {
			c.flows = map[string]*flow[T]{}
		}
		// An organisation that comes back starts with the pass of the others,
		// not with turns saved up while it was away.
		f = &flow[T]{name: organisation, pass: c.passed}
		c.flows[organisation] = f
		heap.Push(&c.heap, f)
	}
	f.share = share
	f.items = append(f.items, item)
	c.length++
}

func (c *class[T]) pop() (T, bool) {
	var none T
	if c.length == 0 {
		return none, false
	}
	f := c.heap[0]
	item := f.items[0]
	f.items[0] = none
	f.items = f.items[1:]
	c.length--
	c.passed = f.pass
	f.pass += 1 / f.share
	if len(f.items) == 0 {
		heap.Pop(&c.heap)
		delete(c.flows, f.name)
	} else {
		heap.Fix(&c.heap, 0)
	}
	return item, true
}

func (c *class[T]) remove(organisation string, item T) bool {
	f := c.flows[organisation]
	if f == nil {
		return false
	}
	for i, held := range f.items {
		if held == item {
			f.items = append(f.items[:i:i], f.items[i+1:]...)
			c.length--
			c.dropEmpty(f)
			return true
		}
	}
	return false
}

func (c *class[T]) dropEmpty(f *flow[T]) {
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
