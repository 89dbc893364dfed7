package role

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/oriolebend/oriolebend/internal/engine"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
	"github.com/oriolebend/oriolebend/internal/reducer/gate"
	"github.com/oriolebend/oriolebend/internal/reducer/order"
	"github.com/oriolebend/oriolebend/internal/service"
	"github.com/oriolebend/oriolebend/pkg/oriolebend"
)

// SidecarConfig configures a Sidecar.
type SidecarConfig struct {
	Reducer gate.Config
	// Server is the server that the sidecar announces; its role, models and memory
	// are filled in from the engine.
	Server oriolebend.Server
	// Engine is the engine behind the gate; nil for a plain service.
	Engine engine.Engine
	// Service is the plain service behind the gate; nil for an engine.
	Service service.Service
	// Announcer announces the server's state to the control VMs.
	Announcer *Announcer
	// Orders configures the orders to the engine.
	Orders order.Config
	// Follow configures the follower of the declared state, and Dialer opens its
	// watches.
	Follow follow.Config
	Dialer peer.Dialer
	// Left is called when a server that was declared stopping has left.
	Left     func()
	Observer Observer
	Logger   *slog.Logger
}

// Sidecar is the role that runs the gate in front of one backend server.
type Sidecar struct {
	config      SidecarConfig
	loop        *Loop
	ctx         context.Context
	lastSession atomic.Uint64
	drained     chan struct{}
	drainedOnce sync.Once
	work        *engineWork
	orders      *Orders
	follower    *Follower

	mu           sync.Mutex
	openSessions map[gate.SessionID]*peer.Outbox
	server       oriolebend.Server
	// stopping is true once Stop was called.
	stopping bool
}

// sessionRenewInterval is how often the sidecar renews the leases of sessions with an
// open connection. The idle timeout of the connection ends the sessions of a lost
// peer, so that renewals need no messages.
const sessionRenewInterval = 500 * time.Millisecond

// NewSidecar returns a sidecar; Run starts it.
func NewSidecar(c SidecarConfig) *Sidecar {
	s := &Sidecar{
		config:       c,
		drained:      make(chan struct{}),
		openSessions: map[gate.SessionID]*peer.Outbox{},
		server:       c.Server,
	}
	s.follower = NewFollower(FollowerConfig{
		Reducer:  c.Follow,
		Dialer:   c.Dialer,
		Apply:    func(view declared.View, _ follow.Changed) { s.ApplyDeclared(view) },
		Observer: c.Observer,
	})
	s.orders = &Orders{
		Engine:    c.Engine,
		Announcer: c.Announcer,
		SetState:  s.setGateState,
		Left:      c.Left,
		Observer:  c.Observer,
	}
	state := &reducer.State{Gate: gate.New(c.Reducer), Order: order.New(c.Orders), Follow: s.follower.State}
	s.loop = NewLoop(state, s.perform, s.follower.Tick(), s.orders.Tick(), Tick{
		Every: gateTickInterval,
		Event: func(at time.Time) reducer.Event { return gate.Ticked{At: at} },
	})
	s.work = newEngineWork(c.Engine, c.Service, s.loop.Post)
	c.Announcer.Clean = s.orders.Clean
	return s
}

// Run serves the gate until ctx ends.
func (s *Sidecar) Run(ctx context.Context) {
	s.ctx = ctx
	s.work.ctx = ctx
	go s.renewSessions(ctx)
	s.orders.Start(ctx, s.loop.Post)
	s.follower.Start(ctx, s.loop.Post)
	if s.config.Engine != nil {
		go s.watchEngine(ctx)
	}
	s.loop.Run(ctx)
}

// ApplyDeclared applies the declared state in force.
func (s *Sidecar) ApplyDeclared(view declared.View) {
	s.config.Announcer.SetReached(view.Revision)
	s.mu.Lock()
	server := s.server
	s.mu.Unlock()
	s.orders.ApplyDeclared(view, server)
}

// setGateState sets whether the gate accepts new work.
func (s *Sidecar) setGateState(state oriolebend.ServerState) {
	s.loop.Post(gate.Declared{At: time.Now(), State: state})
}

// workEnded notifies Stop, or else the orders, that the gate has no work left.
func (s *Sidecar) workEnded() {
	s.mu.Lock()
	stopping := s.stopping
	s.mu.Unlock()
	if stopping {
		s.drainedOnce.Do(func() { close(s.drained) })
		return
	}
	s.orders.WorkEnded()
}

// Stop refuses new work and returns once the work in progress has ended or ctx ends.
func (s *Sidecar) Stop(ctx context.Context) error {
	s.mu.Lock()
	s.stopping = true
	s.mu.Unlock()
	s.orders.Stopping()
	s.loop.Post(gate.Stopping{At: time.Now()})
	select {
	case <-s.drained:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Ready reports whether the server accepts new work.
func (s *Sidecar) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.stopping && s.server.State == oriolebend.ServerServing
}

// sessionsOpen counts the open sessions of entries.
func (s *Sidecar) sessionsOpen() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.openSessions)
}

// Serve is the peer.Handler for sessions that entries open.
func (s *Sidecar) Serve(_ context.Context, stream peer.Stream) {
	id := gate.SessionID(fmt.Sprintf("%s/%d", stream.Peer(), s.lastSession.Add(1)))
	session := peer.NewOutbox(stream)
	s.mu.Lock()
	s.openSessions[id] = session
	s.mu.Unlock()
	go session.Write()
	for {
		m, err := stream.Receive()
		if err != nil {
			break
		}
		s.loop.Post(gate.Received{At: time.Now(), Session: id, Message: m})
	}
	s.mu.Lock()
	delete(s.openSessions, id)
	s.mu.Unlock()
	s.loop.Post(gate.Closed{At: time.Now(), Session: id})
	session.End()
}

// renewSessions renews the lease of every session with an open connection.
func (s *Sidecar) renewSessions(ctx context.Context) {
	ticker := time.NewTicker(sessionRenewInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case at := <-ticker.C:
			s.mu.Lock()
			for id := range s.openSessions {
				s.loop.Post(gate.Renewed{At: at, Session: id})
			}
			s.mu.Unlock()
		}
	}
}

// announce announces the server with a new state to the control VMs.
func (s *Sidecar) announce(state oriolebend.ServerState) {
	s.mu.Lock()
	s.server.State = state
	server := s.server
	s.mu.Unlock()
	s.config.Announcer.SetServer(server)
}

// gateTickInterval is the interval of the gate's ticks.
const gateTickInterval = 50 * time.Millisecond

// perform performs one effect of the reducer.
func (s *Sidecar) perform(effect reducer.Effect) {
	switch f := effect.(type) {
	case gate.Effect:
		s.performGate(f)
	case order.Effect:
		s.orders.Perform(f)
	case follow.Effect:
		s.follower.Perform(f)
	}
}

func (s *Sidecar) performGate(effect gate.Effect) {
	switch f := effect.(type) {
	case gate.Reply:
		s.reply(f)
	case gate.EndSession:
		s.endSession(f.Session)
	case gate.Announce:
		s.announce(f.State)
	case gate.Count:
		s.config.Observer.Count(f.What, f.Reason, "")
	case gate.Drained:
		s.workEnded()
	default:
		s.work.perform(effect)
	}
}

func (s *Sidecar) reply(f gate.Reply) {
	s.mu.Lock()
	session := s.openSessions[f.Session]
	s.mu.Unlock()
	if session != nil {
		session.Put(f.Message)
	}
}

func (s *Sidecar) endSession(id gate.SessionID) {
	s.mu.Lock()
	session := s.openSessions[id]
	s.mu.Unlock()
	if session != nil {
		session.End()
	}
}
