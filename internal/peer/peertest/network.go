// Package peertest is an in-memory implementation of package peer for tests, with links
// that can be partitioned, delayed and made lossy.
package peertest

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
)

// streamMessages is how many unread messages a stream holds before Send blocks.
const streamMessages = 256

// UnreachableError is returned if no process listens at an address.
type UnreachableError struct{ Address string }

// Error implements error.
func (e *UnreachableError) Error() string { return fmt.Sprintf("no process listens at %s", e.Address) }

// Network connects processes by address.
type Network struct {
	mu       sync.Mutex
	handlers map[string]handler
	cut      map[[2]string]bool
	random   *rand.Rand
	loss     float64
	delay    time.Duration
}

type handler struct {
	name  string
	serve peer.Handler
	ctx   context.Context
}

// NewNetwork returns a network whose message losses are determined by the seed.
func NewNetwork(seed uint64) *Network {
	return &Network{
		handlers: map[string]handler{},
		cut:      map[[2]string]bool{},
		random:   rand.New(rand.NewPCG(seed, 0)),
	}
}

// Listen serves the streams that are opened to an address, until the context ends. Peers
// see the process under the name.
func (n *Network) Listen(ctx context.Context, address, name string, serve peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = handler{name: name, serve: serve, ctx: ctx}
}

// Cut silently drops the messages that one process sends to another, until Heal.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{from, to}] = true
}

// Heal ends all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = map[[2]string]bool{}
}

// Degrade makes every link lose messages and delay the others.
func (n *Network) Degrade(loss float64, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.loss, n.delay = loss, delay
}

// fate returns whether the next message from one process to another is lost, and its delay.
func (n *Network) fate(from, to string) (lost bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	lost = n.cut[[2]string{from, to}] || (n.loss > 0 && n.random.Float64() < n.loss)
	return lost, n.delay
}

// Dialer returns the dialer of one process.
func (n *Network) Dialer(name string) peer.Dialer { return dialer{network: n, name: name} }

type dialer struct {
	network *Network
	name    string
}

// Open implements peer.Dialer.
func (d dialer) Open(ctx context.Context, address string) (peer.Stream, error) {
	if err := ctx.Err(); err != nil {
		return nil, &peer.Error{Code: peer.CodeCancelled, Peer: address, Cause: err}
	}
	d.network.mu.Lock()
	h, ok := d.network.handlers[address]
	d.network.mu.Unlock()
	if !ok || h.ctx.Err() != nil {
		return nil, &UnreachableError{Address: address}
	}
	near, far := pair(d.network, d.name, h.name)
	stop := context.AfterFunc(h.ctx, near.line.kill)
	go func() {
		defer stop()
		defer far.Close()
		h.serve(far.context(h.ctx), far)
	}()
	return near, nil
}

// Pair returns the two ends of one stream between two processes.
func Pair(near, far string) (nearEnd, farEnd peer.Stream) {
	return pair(NewNetwork(0), near, far)
}

func pair(n *Network, near, far string) (nearEnd, farEnd *stream) {
	there := make(chan delivery, streamMessages)
	back := make(chan delivery, streamMessages)
	l := &line{done: make(chan struct{})}
	nearEnd = &stream{n: n, own: near, peer: far, out: there, in: back, line: l}
	farEnd = &stream{n: n, own: far, peer: near, out: back, in: there, line: l}
	return nearEnd, farEnd
}

type delivery struct {
	m  message.Message
	at time.Time
}

// line is the state that the two ends of a stream share.
type line struct {
	done chan struct{}
	once sync.Once
	// closer is the end that closed the stream, nil if its process was killed.
	// It is written before done is closed, and read after.
	closer *stream
}

func (l *line) kill() { l.end(nil) }

func (l *line) end(closer *stream) {
	l.once.Do(func() {
		l.closer = closer
		close(l.done)
	})
}

type stream struct {
	n         *Network
	own, peer string
	out       chan<- delivery
	in        <-chan delivery
	line      *line
}

// context returns a context that ends with the stream.
func (s *stream) context(parent context.Context) context.Context {
	ctx, cancel := context.WithCancel(parent)
	go func() {
		<-s.line.done
		cancel()
	}()
	return ctx
}

// ended returns the error for a stream that has ended.
func (s *stream) ended() error {
	switch s.line.closer {
	case nil:
		return &peer.Error{Code: peer.CodeLost, Peer: s.peer}
	case s:
		return &peer.Error{Code: peer.CodeClosed, Peer: s.peer}
	default:
		return &peer.Error{Code: peer.CodePeerClosed, Peer: s.peer}
	}
}

// Send implements peer.Stream.
func (s *stream) Send(m message.Message) error {
	select {
	case <-s.line.done:
		return s.ended()
	default:
	}
	lost, delay := s.n.fate(s.own, s.peer)
	if lost {
		return nil
	}
	select {
	case <-s.line.done:
		return s.ended()
	case s.out <- delivery{m: m, at: time.Now().Add(delay)}:
		return nil
	}
}

// Receive implements peer.Stream. Messages that the peer sent before it closed are
// still received.
func (s *stream) Receive() (message.Message, error) {
	select {
	case d := <-s.in:
		return d.take(), nil
	case <-s.line.done:
	}
	if err := s.ended(); peer.CodeOf(err) != peer.CodePeerClosed {
		return nil, err
	}
	select {
	case d := <-s.in:
		return d.take(), nil
	default:
		return nil, io.EOF
	}
}

// take waits until the delay of the message is over and returns it.
func (d delivery) take() message.Message {
	time.Sleep(time.Until(d.at))
	return d.m
}

// Close implements peer.Stream.
func (s *stream) Close() error {
	s.line.end(s)
	return nil
}

// Done implements peer.Stream.
func (s *stream) Done() <-chan struct{} { return s.line.done }

// Peer implements peer.Stream.
func (s *stream) Peer() string { return s.peer }
