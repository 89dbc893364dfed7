// Package mailbox provides an unbounded queue between goroutines. The loops of package role receive
// their events through it, and senders of messages to peers use it as their send queue.
package mailbox

import "sync"

// Mailbox is an unbounded queue between goroutines. Put never blocks, so that the loop of
// a role never waits for a slow caller or peer. Admission, which limits the requests in
// progress, bounds the length of the queue.
type Mailbox[T any] struct {
	mu     sync.Mutex
	items  []T
	signal chan struct{}
}

// New returns an empty mailbox.
func New[T any]() *Mailbox[T] {
	return &Mailbox[T]{signal: make(chan struct{}, 1)}
}

// Put appends an item to the queue.
func (m *Mailbox[T]) Put(item T) {
	m.mu.Lock()
	m.items = append(m.items, item)
	m.mu.Unlock()
	select {
	case m.signal <- struct{}{}:
	default:
	}
}

// Take removes and returns all items.
func (m *Mailbox[T]) Take() []T {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	m.items = nil
	return items
}

// Wait returns a channel that receives a value after an item was put. One value may signal
// several items, or items that were already taken.
func (m *Mailbox[T]) Wait() <-chan struct{} {
	return m.signal
}

// Len returns the number of items in the mailbox.
func (m *Mailbox[T]) Len() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items)
}
