package control

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// fakeGroup is a replicated log in memory: it keeps one order of commands and applies them on every
// control VM.
type fakeGroup struct {
	mu       sync.Mutex
	leader   string
	index    uint64
	machines map[string]*Records
	// syncFor is the time until a command is durable on a quorum.
	syncFor time.Duration
	// stuck simulates a lost quorum: commands block until their context ends.
	stuck bool
	// loseAnswers is the number of commands that are applied but answered with an unknown outcome.
	loseAnswers int
	proposed    int
}

// fakeLog is the log of one control VM in a fakeGroup.
type fakeLog struct {
	group *fakeGroup
	self  string
}

func (l *fakeLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if l.group.isStuck() {
		<-ctx.Done()
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown}
	}
	if l.group.syncFor > 0 {
		time.Sleep(l.group.syncFor)
	}
	return l.group.apply(l.self, command)
}

func (g *fakeGroup) isStuck() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stuck
}

func (g *fakeGroup) apply(self string, command []byte) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leader != self {
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}
	}
	g.index++
	g.proposed++
	var result []byte
	for name, machine := range g.machines {
		got := machine.Apply(g.index, command)
		if name == self {
			result = got
		}
	}
	if g.loseAnswers > 0 {
		g.loseAnswers--
		return nil, &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanUnknown}
	}
	return result, nil
}

func (l *fakeLog) Confirm(ctx context.Context) error {
	if l.group.isStuck() {
		<-ctx.Done()
		return &oriolebend.Problem{Reason: oriolebend.ReasonControlAway, Ran: oriolebend.RanNo}
	}
	if name, _ := l.Leader(); name != l.self {
		return &oriolebend.Problem{Reason: oriolebend.ReasonNotLeader, Ran: oriolebend.RanNo}
	}
	return nil
}

func (l *fakeLog) Leader() (name, address string) {
	l.group.mu.Lock()
	defer l.group.mu.Unlock()
	return l.group.leader, l.group.leader
}

// setLeader sets the leader; "" means that none is known.
func (g *fakeGroup) setLeader(name string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leader = name
}

func (g *fakeGroup) set(change func(*fakeGroup)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

// fakeNet opens streams to handlers in this process. Unresponsive addresses accept every message
// and answer none.
type fakeNet struct {
	mu           sync.Mutex
	handlers     map[string]peer.Handler
	unresponsive map[string]bool
	opened       []string
	ctx          context.Context
}

func (n *fakeNet) Open(_ context.Context, address string) (peer.Stream, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.opened = append(n.opened, address)
	handler, ok := n.handlers[address]
	if !ok {
		return nil, io.ErrUnexpectedEOF
	}
	near, far := newPipe()
	if !n.unresponsive[address] {
		go handler(n.ctx, far)
	}
	return near, nil
}

func (n *fakeNet) setUnresponsive(address string, unresponsive bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unresponsive[address] = unresponsive
}

// pipeEnd is one end of a stream in memory.
type pipeEnd struct {
	in, out chan message.Message
	done    chan struct{}
	end     *sync.Once
}

func newPipe() (near, far *pipeEnd) {
	a, b := make(chan message.Message, 64), make(chan message.Message, 64)
	done, end := make(chan struct{}), &sync.Once{}
	return &pipeEnd{in: a, out: b, done: done, end: end}, &pipeEnd{in: b, out: a, done: done, end: end}
}

func (p *pipeEnd) Send(m message.Message) error {
	select {
	case p.out <- m:
		return nil
	case <-p.done:
		return io.ErrClosedPipe
	}
}

func (p *pipeEnd) Receive() (message.Message, error) {
	select {
	case m := <-p.in:
		return m, nil
	case <-p.done:
		return nil, io.EOF
	}
}

func (p *pipeEnd) Close() error {
	p.end.Do(func() { close(p.done) })
	return nil
}

func (p *pipeEnd) Done() <-chan struct{} { return p.done }

func (p *pipeEnd) Peer() string { return "peer" }
