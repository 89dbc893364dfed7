package peer

import (
	"context"
	"sync"
)

// pool shares connections by address. Concurrent callers with the same address wait
// for one dial.
type pool struct {
	dial  func(address string) (*connection, error)
	lock  sync.Mutex
	slots map[string]*slot
}

// slot holds a connection or the dial that establishes it.
type slot struct {
	ready      chan struct{}
	connection *connection
	err        error
}

func newPool(dial func(address string) (*connection, error)) *pool {
	return &pool{dial: dial, slots: map[string]*slot{}}
}

func (p *pool) get(ctx context.Context, address string) (*connection, error) {
	s := p.slotFor(address)
	select {
	case <-s.ready:
		return s.connection, s.err
	case <-ctx.Done():
		return nil, errorf(CodeCancelled, address, ctx.Err(), "wait for a connection")
	}
}

// slotFor returns the usable slot of an address. If there is none, it starts a dial
// in a new slot.
func (p *pool) slotFor(address string) *slot {
	p.lock.Lock()
	defer p.lock.Unlock()
	if s := p.slots[address]; s != nil && s.usable() {
		return s
	}
	s := &slot{ready: make(chan struct{})}
	p.slots[address] = s
	go p.connect(address, s)
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

// connect dials the address. The slot is removed from the pool when the dial fails or
// the connection ends, so that an address that is never used again holds no memory.
func (p *pool) connect(address string, s *slot) {
	s.connection, s.err = p.dial(address)
	close(s.ready)
	if s.err != nil {
		p.remove(address, s)
		return
	}
	context.AfterFunc(s.connection.quic.Context(), func() { p.remove(address, s) })
}

func (p *pool) remove(address string, s *slot) {
	p.lock.Lock()
	defer p.lock.Unlock()
	if p.slots[address] == s {
		delete(p.slots, address)
	}
}
