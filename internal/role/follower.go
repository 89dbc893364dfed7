package role

import (
	"context"
	"sync"
	"time"

	"github.com/oriolebend/oriolebend/internal/mailbox"
	"github.com/oriolebend/oriolebend/internal/message"
	"github.com/oriolebend/oriolebend/internal/peer"
	"github.com/oriolebend/oriolebend/internal/reducer"
	"github.com/oriolebend/oriolebend/internal/reducer/declared"
	"github.com/oriolebend/oriolebend/internal/reducer/follow"
)

// FollowerConfig configures a Follower.
type FollowerConfig struct {
	Reducer follow.Config
	Dialer  peer.Dialer
	// Apply is called with each new state in force. It is called in the loop of
	// the process and must not retain view: a copy for each change would cost
	// each follower memory of the size of the complete state.
	Apply    func(view declared.View, changed follow.Changed)
	Observer Observer
}

// Follower keeps the declared state and the membership in a process up to date.
type Follower struct {
	// State is the follower's part of the reducer's state.
	State *follow.State

	config FollowerConfig
	post   func(reducer.Event)
	ctx    context.Context

	mu    sync.Mutex
	links map[follow.Link]*followLink
	age   time.Duration
}

// NewFollower returns a follower; Start starts it.
func NewFollower(c FollowerConfig) *Follower {
	return &Follower{config: c, State: follow.New(c.Reducer), links: map[follow.Link]*followLink{}}
}

// Start follows the state until ctx ends; post adds events to the loop of the
// process.
func (f *Follower) Start(ctx context.Context, post func(reducer.Event)) {
	f.ctx, f.post = ctx, post
	post(follow.Started{At: time.Now()})
}

// Tick returns the Tick that triggers the follower's timers in the loop of the
// process.
func (f *Follower) Tick() Tick {
	return Tick{
		Every: follow.TickEvery,
		Event: func(at time.Time) reducer.Event {
			f.updateAge(at)
			return follow.Ticked{At: at}
		},
	}
}

// Age returns how long before the last tick the state in force was known to be
// the newest.
func (f *Follower) Age() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.age
}

// updateAge stores the age for readers outside of the loop.
func (f *Follower) updateAge(at time.Time) {
	age := f.State.Age(at)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.age = age
}

// Perform performs an effect; it is called in the loop of the process.
func (f *Follower) Perform(effect follow.Effect) {
	switch e := effect.(type) {
	case follow.Open:
		f.openWatch(e)
	case follow.Send:
		if l := f.links[e.Link]; l != nil {
			l.put(e.Message)
		}
	case follow.Close:
		if l := f.links[e.Link]; l != nil {
			delete(f.links, e.Link)
			l.cancel()
		}
	case follow.Changed:
		f.config.Apply(f.State.View(), e)
	case follow.Count:
		f.config.Observer.Count("follow."+string(e.What), "", "")
	}
}

// followLink is one watch of one control VM. Messages may be queued before the
// watch is open.
type followLink struct {
	cancel context.CancelFunc
	queue  *mailbox.Mailbox[message.Message]
}

func (l *followLink) put(m message.Message) {
	l.queue.Put(m)
}

func (f *Follower) openWatch(e follow.Open) {
	ctx, cancel := context.WithCancel(f.ctx)
	l := &followLink{cancel: cancel, queue: mailbox.New[message.Message]()}
	f.links[e.Link] = l
	l.put(e.Watch)
	go func() {
		defer cancel()
		f.runWatch(ctx, e, l)
		f.post(follow.Lost{At: time.Now(), Link: e.Link})
	}()
}

// runWatch runs one watch until either side ends it.
func (f *Follower) runWatch(ctx context.Context, e follow.Open, l *followLink) {
	opening, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := f.config.Dialer.Open(opening, e.Address)
	if err != nil {
		return
	}
	defer s.Close()
	defer context.AfterFunc(ctx, func() { s.Close() })()
	out := &peer.Outbox{Stream: s, Queue: l.queue}
	go out.Write()
	for {
		m, err := s.Receive()
		if err != nil {
			return
		}
		if update, ok := m.(message.Update); ok {
			f.post(follow.Received{At: time.Now(), Link: e.Link, Update: update})
		}
	}
}
