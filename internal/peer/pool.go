package peer

import (
	"context"
	"sync"
)

// pool shares connections by address. Callers that ask for the same address
// at once wait for one dial.
type pool struct {
	dial  func(address string) (*connection, error)
	lock  sync.Mutex
	slots map[string]*slot
}

// slot is a connection or the dial that makes it.
type slot struct {
	ready      chan struct{}
	connection *connection
	err        error
}

func newPool(dial func(address string) (*connection, error)) *pool {
	return &pool{dial: dial, slots: map[string]*slot{}}
}

func (p *pool) take(ctx context.Context, address string) (*connection, error) {
	s := p.slotFor(address)
	select {
	case <-s.ready:
		return s.connection, s.err
	case <-ctx.Done():
		return nil, errorf(CodeCancelled, address, ctx.Err(), "wait for a connection")
	}
}

// slotFor returns the slot of an address, and begins a dial if it has none
// that is usable.
func (p *pool) slotFor(address string) *slot {
	p.lock.Lock()
	defer p.lock.Unlock()
	if s := p.slots[address]; s != nil && s.usable() {
		return s
	}
	s := &slot{ready: make(chan struct{})}
	p.slots[address] = s
	go p.fill(address, s)
	return s
}

func (s *slot) usable() bool {
	select {
	case <-s.ready:
		return s.err == nil && s.connection.usable()
	default:
		return true
	}
}

// fill dials. The slot leaves the pool when the dial fails or the connection
// ends, so that an address which is gone for good holds no memory.
func (p *pool) fill(address string, s *slot) {
	s.connection, s.err = p.dial(address)
	close(s.ready)
	if s.err != nil {
		p.forget(address, s)
		return
	}
	context.AfterFunc(s.connection.quic.Context(), func() { p.forget(address, s) })
}

func (p *pool) forget(address string, s *slot) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.slots[address] == s {
		delete(p.slots, address)
	}
}
